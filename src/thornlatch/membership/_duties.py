"""What a member writes to the control stream while it can read the log."""

from collections.abc import Callable
from math import inf
from random import Random
from typing import Any

from thornlatch.core import Action, Append
from thornlatch.membership._accuser import Accuser
from thornlatch.membership._recorded import record_state
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
from thornlatch.membership._timers import RetryTimers
from thornlatch.membership._view import ViewFold
from thornlatch.membership._waits import Waits

RETRY_S = 1.0
RANK_STAGGER_S = 2.0
ACKNOWLEDGEMENTS_PER_S = 100.0


class Duties:
    """Records that this host owes; each is repeated until it is read back.

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
        sent; a join is acknowledged only when those from before it have ended.
    """

    def __init__(
        self, settings: MembershipSettings, *, host: str, random: Random
    ) -> None:
        self.settings = settings
        self.host = host
        self.random = random
        self.timers = RetryTimers(RETRY_S)
        self.accuser = Accuser(host)
        self.has_open_orders: Callable[[float], bool] = lambda now: False
        self.acknowledged_offset = -1
        self.given_up_at = -inf
        self.is_releasing = False
        self.released_at: float | None = None
        self.acknowledge_at: float | None = None
        self.defend_at: float | None = None
        self.view_recorded_at: float | None = None

    def append(self, purpose: str, record: Any, *, now: float) -> list[Action]:
        """Append a record unless it was appended for `purpose` just before.

        Parameters
        ----------
        purpose : str
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
        self, view: ViewFold, suspects: Suspects, waits: Waits, *, now: float
    ) -> list[Action]:
        """Append what is due.

        Parameters
        ----------
        view : ViewFold
        suspects : Suspects
        waits : Waits
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

    def _acknowledge(self, view: ViewFold, now: float) -> list[Action]:
        required = view.get_required_acknowledgement(self.host)
        if view.acknowledged[self.host] >= required:
            self.acknowledge_at = None
            return []
        if self.acknowledge_at is None:
            spread_s = len(view.members) / ACKNOWLEDGEMENTS_PER_S
            self.acknowledge_at = now + spread_s * self.random.random()
        # An acknowledgement that was read back must not delay that of a later join.
        purpose = f"acknowledge {view.acknowledged[self.host]}"
        if now < self.acknowledge_at or not self.timers.is_due(purpose, now=now):
            return []
        if self.acknowledged_offset < required:
            # From here on this host doesn't act on the keys that move.
            self.acknowledged_offset = view.offset
            self.given_up_at = now
        if self._has_orders_under_way(self.given_up_at, now):
            return []
        record = ViewAcknowledged(self.host, self.acknowledged_offset)
        return self.append(purpose, record, now=now)

    def _release_keys(self, view: ViewFold, now: float) -> list[Action]:
        is_released = view.releases.get(self.host)
        if is_released is False:
            # Nobody can take the keys over, and a repeat of the record changes nothing.
            self.released_at = None
        if not self.is_releasing or is_released is not None:
            return []
        if self.released_at is None:
            if not view.established.keys() - {self.host}:
                return []
            # From here on this host acts as no key's owner unless it reads that the
            # record had no effect: a repeated append may land late.
            self.released_at = now
        if self._has_orders_under_way(self.released_at, now):
            return []
        return self.append("release keys", KeysReleased(self.host), now=now)

    def _has_orders_under_way(self, given_up_at: float, now: float) -> bool:
        has_ended = now - given_up_at >= self.settings.order_limit_s
        return not has_ended and self.has_open_orders(now)

    def _defend(self, view: ViewFold, now: float) -> list[Action]:
        open_ = view.accusations.get(self.host)
        if not open_:
            self.defend_at = None
            return []
        if self.defend_at is None:
            # A majority that doesn't hear this host gets time to say so.
            self.defend_at = now + self.settings.defence_s / 2
        if now < self.defend_at:
            return []
        newest = max(accusation.offset for accusation in open_.values())
        return self.append("defend", Defended(self.host, newest), now=now)

    def _accuse(self, view: ViewFold, suspects: Suspects, now: float) -> list[Action]:
        actions: list[Action] = []
        found = suspects.find_suspects(view, now=now)
        for host in suspects.find_accusable(view, now=now):
            is_suspect = host in found and not suspects.watch.is_quiet(host, now=now)
            if self.accuser.is_due(host, view, is_suspect=is_suspect, now=now):
                self.accuser.note_sent(host, view, now=now)
                record = Accused(host, self.host, view.offset)
                actions.append(Append(CONTROL_STREAM, record))
        return actions

    def _expel(self, view: ViewFold, suspects: Suspects, now: float) -> list[Action]:
        accused = [h for h in view.members if h in self.accuser.unanswered_since]
        found = suspects.find_suspects(view, now=now) if accused else set()
        for host in accused:
            patience_s = self.settings.patience_s
            is_fast = view.is_cut_off(host)
            if view.has_outdated_accusation(host) and not is_fast:
                # Its accusers get time to repeat their word for the present electorate.
                patience_s *= 2
            accusation = self.accuser.find_unanswered(
                host, view, timeout_s=patience_s, now=now
            )
            if accusation is None or host not in found:
                continue
            # One at a time: it changes the voters, on whom the next one's wait depends.
            record = Expelled(host, accusation.offset, self.host, is_fast)
            return self.append(f"expel {host} {is_fast}", record, now=now)
        return []

    def _remove(self, view: ViewFold, waits: Waits, now: float) -> list[Action]:
        if not waits.waiting:
            return []
        actions: list[Action] = []
        overdue_s = self._get_stagger(view)
        for host in waits.iter_elapsed(overdue_s=overdue_s, now=now):
            record = HostRemoved(host, self.host)
            actions += self.append(f"remove {host}", record, now=now)
        return actions

    def _record_view(self, view: ViewFold, now: float) -> list[Action]:
        if self.view_recorded_at is None:
            self.view_recorded_at = now
        elapsed_s = now - self.view_recorded_at
        if elapsed_s < self.settings.record_view_s:
            return []
        if elapsed_s < self.settings.record_view_s + self._get_stagger(view):
            return []
        record = ViewRecorded(self.host, view.offset, record_state(view))
        return self.append("record view", record, now=now)

    def _get_stagger(self, view: ViewFold) -> float:
        """Return seconds to wait so that earlier members write a record first."""
        return list(view.members).index(self.host) * RANK_STAGGER_S
