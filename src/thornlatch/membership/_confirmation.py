"""Whether this host may use its rights: reads of the log and answers of voters."""

import math
from dataclasses import dataclass

from thornlatch.membership._messages import HeartbeatAnswer
from thornlatch.membership._settings import MembershipSettings
from thornlatch.membership._view import ViewFold


@dataclass(frozen=True)
class Support:
    """The newest supporting answer of one voter.

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
    """Dates reads and answers by the time at which this host asked for them.

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

    def note_round(self, number: int, *, now: float) -> None:
        """Note that the heartbeats of round `number` are sent at `now`."""
        self.round_sent_at[number] = now
        for old in list(self.round_sent_at):
            if now - self.round_sent_at[old] <= self.settings.safe_s:
                break
            del self.round_sent_at[old]
        # Answers come from all peers ever watched; those too old to count are dropped.
        self.supports = {
            voter: support
            for voter, support in self.supports.items()
            if now - support.sent_at < self.settings.safe_s
        }

    def note_read(self, *, sent_at: float) -> None:
        """Note that a read of the log's tail sent at `sent_at` is applied."""
        self.read_sent_at = max(self.read_sent_at, sent_at)

    def note_answer(self, voter: str, answer: HeartbeatAnswer, *, now: float) -> bool:
        """Take in an answer to a heartbeat.

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
        known = self.supports.get(voter)
        if known is not None and known.sent_at > sent_at:
            return True
        if answer.is_supporting:
            self.supports[voter] = Support(sent_at, answer.view_offset)
        else:
            self.supports.pop(voter, None)
        return True

    def is_read(self, *, now: float) -> bool:
        """Return whether a read of the log's tail is recent enough to act on."""
        return now - self.read_sent_at < self.settings.safe_s

    def is_within_outage_limit(self, *, now: float) -> bool:
        """Return whether voters may still stand in for the log."""
        return now - self.read_sent_at < self.settings.outage_limit_s

    def is_supported(self, view: ViewFold, *, now: float) -> bool:
        """Return whether this host and its supporters are a majority of voters."""
        count = sum(self._is_supporter(voter, view, now) for voter in view.voters)
        return view.is_majority(count)

    def is_confirmed(self, view: ViewFold, *, now: float) -> bool:
        """Return whether this host may act on its rights at `now`."""
        if self.is_read(now=now):
            return True
        return self.is_within_outage_limit(now=now) and self.is_supported(view, now=now)

    def _is_supporter(self, voter: str, view: ViewFold, now: float) -> bool:
        if voter == self.host:
            return True
        support = self.supports.get(voter)
        if support is None or now - support.sent_at >= self.settings.safe_s:
            return False
        # A voter that has read further may know of another electorate.
        return self._is_view_shared(support, view)

    def _is_view_shared(self, support: Support, view: ViewFold) -> bool:
        return support.view_offset <= view.offset
