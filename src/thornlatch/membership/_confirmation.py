"""Confirmation that this host may act, from log reads and answers of voters."""

import math
from dataclasses import dataclass

from thornlatch.membership._messages import HeartbeatAnswer
from thornlatch.membership._settings import MembershipSettings
from thornlatch.membership._view import MembershipView


@dataclass(frozen=True)
class Support:
    """Latest supporting answer of one voter.

    Parameters
    ----------
    sent_at : float
        Seconds at which this host sent the heartbeat that was answered.
    view_offset : int
        View offset of the voter when it answered.
    """

    sent_at: float
    view_offset: int


class Confirmation:
    """Tracks for how long log reads and voters' answers let this host act.

    Reads and answers count from the time at which this host sent the request, since
    the state that they report may be as old as that.

    Parameters
    ----------
    settings : MembershipSettings
    host : str
        Host id of this process.
    """

    def __init__(self, settings: MembershipSettings, host: str) -> None:
        self.settings = settings
        self.host = host
        self.read_sent_at = -math.inf
        self.round_sent_at: dict[int, float] = {}
        self.supports: dict[str, Support] = {}

    def note_heartbeat_round(self, number: int, *, now: float) -> None:
        """Record that the heartbeats of round `number` are sent at `now`."""
        self.round_sent_at[number] = now
        for old in list(self.round_sent_at):
            if now - self.round_sent_at[old] <= self.settings.safe_s:
                break
            del self.round_sent_at[old]
        # Peers that are no longer watched would otherwise keep their entries for good.
        self.supports = {
            voter: support
            for voter, support in self.supports.items()
            if now - support.sent_at < self.settings.safe_s
        }

    def note_read(self, *, sent_at: float) -> None:
        """Record that a read of the log's tail sent at `sent_at` is applied."""
        self.read_sent_at = max(self.read_sent_at, sent_at)

    def note_answer(self, voter: str, answer: HeartbeatAnswer, *, now: float) -> bool:
        """Apply an answer to a heartbeat.

        Parameters
        ----------
        voter : str
            Host id of the sender.
        answer : HeartbeatAnswer
        now : float

        Returns
        -------
        bool
            Whether the answer is to a recent round of this host.
        """
        sent_at = self.round_sent_at.get(answer.number)
        if sent_at is None or now - sent_at > self.settings.safe_s:
            return False
        previous = self.supports.get(voter)
        if previous is not None and previous.sent_at > sent_at:
            return True
        if answer.is_supporting:
            self.supports[voter] = Support(sent_at, answer.view_offset)
        else:
            self.supports.pop(voter, None)
        return True

    def has_recent_read(self, *, now: float) -> bool:
        """Return whether a read of the log's tail is recent enough to act on."""
        return now - self.read_sent_at < self.settings.safe_s

    def is_within_outage_limit(self, *, now: float) -> bool:
        """Return whether voters may still confirm this host in place of the log."""
        return now - self.read_sent_at < self.settings.outage_limit_s

    def is_supported(self, view: MembershipView, *, now: float) -> bool:
        """Return whether this host and its supporters are a majority of voters."""
        count = sum(self._is_supporter(voter, view, now) for voter in view.voters)
        return view.is_majority(count)

    def is_confirmed(self, view: MembershipView, *, now: float) -> bool:
        """Return whether this host may act on its grants at `now`."""
        if self.has_recent_read(now=now):
            return True
        return self.is_within_outage_limit(now=now) and self.is_supported(view, now=now)

    def _is_supporter(self, voter: str, view: MembershipView, now: float) -> bool:
        if voter == self.host:
            return True
        support = self.supports.get(voter)
        if support is None or now - support.sent_at >= self.settings.safe_s:
            return False
        # A voter that has read further may know of a change of the voters.
        return self._is_view_covered(support, view)

    def _is_view_covered(self, support: Support, view: MembershipView) -> bool:
        return support.view_offset <= view.offset
