"""Records that a member appends to the control stream while it can read the log."""

from collections.abc import Callable
from math import inf
from random import Random
from typing import Any

from thornlatch.core import Action, Append
from thornlatch.membership._accuser import Accuser
from thornlatch.membership._records import (
    CONTROL_STREAM,
    Accused,
    Defended,
    Expelled,
    HostRemoved,
    KeysReleased,
    ViewAcknowledged,
    ViewRecorded,
)
from thornlatch.membership._settings import MembershipSettings
from thornlatch.membership._suspects import Suspects
from thornlatch.membership._takeover_waits import TakeoverWaits
from thornlatch.membership._timers import RetryTimers
from thornlatch.membership._view import MembershipView
from thornlatch.membership._view_state import dump_state

APPEND_RETRY_S = 1.0
RANK_STAGGER_S = 2.0
# Rate over all members, since a join is acknowledged by every one of them.
ACKNOWLEDGEMENTS_PER_S = 100.0


class ControlWriter:
    """Appends this host's records, repeating each until it is read back.

    Parameters
    ----------
    settings : MembershipSettings
    host : str
        Host id of this process.
    random : random.Random
        Seeded generator for jitter.

    Attributes
    ----------
    has_open_orders : callable
        Takes `now` and returns whether targets may still begin orders that this host
        sent; a join is acknowledged only when the orders from before it have ended.
    """

    def __init__(
        self, settings: MembershipSettings, *, host: str, random: Random
    ) -> None:
        self.settings = settings
        self.host = host
        self.random = random
        self.timers = RetryTimers(APPEND_RETRY_S)
        self.accuser = Accuser(host)
        self.has_open_orders: Callable[[float], bool] = lambda now: False
        self.acknowledged_offset = -1
        self.relinquished_at = -inf
        self.is_releasing = False
        self.released_at: float | None = None
        self.acknowledge_at: float | None = None
        self.defend_at: float | None = None
        self.view_recorded_at: float | None = None

    def append(self, purpose: str, record: Any, *, now: float) -> list[Action]:
        """Append a record unless one was appended for `purpose` within the retry time.

        Parameters
        ----------
        purpose : str
            Key of the retry timer.
        record : object
        now : float

        Returns
        -------
        list of Action
        """
        if not self.timers.start(purpose, now=now):
            return []
        return [Append(CONTROL_STREAM, record)]

    def tick(
        self,
        view: MembershipView,
        suspects: Suspects,
        waits: TakeoverWaits,
        *,
        now: float,
    ) -> list[Action]:
        """Append the records that are due.

        Parameters
        ----------
        view : MembershipView
        suspects : Suspects
        waits : TakeoverWaits
        now : float

        Returns
        -------
        list of Action
        """
        return [
            *self._release_keys(view, now),
            *self._acknowledge(view, now),
            *self._defend(view, now),
            *self._accuse(view, suspects, now),
            *self._expel(view, suspects, now),
            *self._remove(view, waits, now),
            *self._record_view(view, now),
        ]

    def _acknowledge(self, view: MembershipView, now: float) -> list[Action]:
        required = view.get_required_acknowledgement(self.host)
        if view.acknowledged[self.host] >= required:
            self.acknowledge_at = None
            return []
        if self.acknowledge_at is None:
            spread_s = len(view.members) / ACKNOWLEDGEMENTS_PER_S
            self.acknowledge_at = now + spread_s * self.random.random()
        # A new purpose after each acknowledgement that was read back, so that its
        # retry timer doesn't delay the one of a later join.
        purpose = f"acknowledge {view.acknowledged[self.host]}"
        if now < self.acknowledge_at or not self.timers.is_due(purpose, now=now):
            return []
        if self.acknowledged_offset < required:
            # From here on `LeaseTable` doesn't let this host act on the keys that move.
            self.acknowledged_offset = view.offset
            self.relinquished_at = now
        if self._has_pending_orders(self.relinquished_at, now):
            return []
        record = ViewAcknowledged(self.host, self.acknowledged_offset)
        return self.append(purpose, record, now=now)

    def _release_keys(self, view: MembershipView, now: float) -> list[Action]:
        is_released = view.releases.get(self.host)
        if is_released is False:
            # No other member can own the keys, and later records have no effect.
            self.released_at = None
        if not self.is_releasing or is_released is not None:
            return []
        if self.released_at is None:
            if not view.established.keys() - {self.host}:
                return []
            # From here on this host acts as no key's owner unless it reads that the
            # record had no effect: a repeated append may reach the log late.
            self.released_at = now
        if self._has_pending_orders(self.released_at, now):
            return []
        return self.append("release keys", KeysReleased(self.host), now=now)

    def _has_pending_orders(self, relinquished_at: float, now: float) -> bool:
        has_ended = now - relinquished_at >= self.settings.order_limit_s
        return not has_ended and self.has_open_orders(now)

    def _defend(self, view: MembershipView, now: float) -> list[Action]:
        accusations = view.accusations.get(self.host)
        if not accusations:
            self.defend_at = None
            return []
        if self.defend_at is None:
            # If most voters don't hear this host, their accusations must be able to
            # reach a majority before a defence clears them.
            self.defend_at = now + self.settings.defence_s / 2
        if now < self.defend_at:
            return []
        latest = max(accusation.offset for accusation in accusations.values())
        return self.append("defend", Defended(self.host, latest), now=now)

    def _accuse(
        self, view: MembershipView, suspects: Suspects, now: float
    ) -> list[Action]:
        actions: list[Action] = []
        suspected = suspects.find_suspects(view, now=now)
        for host in suspects.find_accusable(view, now=now):
            is_suspect = host in suspected and not suspects.watch.is_backing_off(
                host, now=now
            )
            if self.accuser.is_due(host, view, is_suspect=is_suspect, now=now):
                self.accuser.note_sent(host, view, now=now)
                record = Accused(host, self.host, view.offset)
                actions.append(Append(CONTROL_STREAM, record))
        return actions

    def _expel(
        self, view: MembershipView, suspects: Suspects, now: float
    ) -> list[Action]:
        accused = [h for h in view.members if h in self.accuser.unanswered_since]
        suspected = suspects.find_suspects(view, now=now) if accused else set()
        for host in accused:
            timeout_s = self.settings.expulsion_delay_s
            is_fast = view.has_lost_majority(host)
            if view.has_outdated_accusation(host) and not is_fast:
                # The accusers need time to repeat their accusations, which count only
                # if they were made after the last change of the voters.
                timeout_s *= 2
            accusation = self.accuser.find_unanswered(
                host, view, timeout_s=timeout_s, now=now
            )
            if accusation is None or host not in suspected:
                continue
            # One at a time: an expulsion changes the voters, and they determine the
            # takeover wait of the next one.
            record = Expelled(host, accusation.offset, self.host, is_fast)
            return self.append(f"expel {host} {is_fast}", record, now=now)
        return []

    def _remove(
        self, view: MembershipView, waits: TakeoverWaits, now: float
    ) -> list[Action]:
        if not waits.pending:
            return []
        actions: list[Action] = []
        overdue_s = self._get_stagger_s(view)
        for host in waits.iter_overdue_slow(overdue_s=overdue_s, now=now):
            record = HostRemoved(host, self.host)
            actions += self.append(f"remove {host}", record, now=now)
        return actions

    def _record_view(self, view: MembershipView, now: float) -> list[Action]:
        if self.view_recorded_at is None:
            self.view_recorded_at = now
        elapsed_s = now - self.view_recorded_at
        if elapsed_s < self.settings.record_view_s:
            return []
        if elapsed_s < self.settings.record_view_s + self._get_stagger_s(view):
            return []
        record = ViewRecorded(self.host, view.offset, dump_state(view))
        return self.append("record view", record, now=now)

    def _get_stagger_s(self, view: MembershipView) -> float:
        """Return the seconds to wait, so that earlier members append a record first."""
        return list(view.members).index(self.host) * RANK_STAGGER_S
