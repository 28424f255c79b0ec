"""The membership slice: one session, its confirmation and its peers.

One control thread touches the state of this module.
"""

import math
from collections.abc import Collection, Iterator
from functools import singledispatchmethod
from random import Random
from typing import Any

from thornlatch.core import Action, Emit, Event, Member, Send
from thornlatch.membership._confirmation import Confirmation
from thornlatch.membership._duties import Duties
from thornlatch.membership._messages import Heartbeat, HeartbeatAnswer
from thornlatch.membership._recorded import ViewLoader
from thornlatch.membership._records import (
    Accused,
    Record,
    SessionClosed,
    SessionOpened,
    ViewRecorded,
)
from thornlatch.membership._settings import MembershipSettings
from thornlatch.membership._suspects import Suspects
from thornlatch.membership._view import Departure, ViewFold, Wait
from thornlatch.membership._waits import Waits


class Membership:
    """State machine of this host's session.

    Parameters
    ----------
    settings : MembershipSettings
    host : str
        Host id, unique per process life: ``name.incarnation``.
    address : str
        ``ip:port`` of this host's peer socket.
    failure_domain : str
    random : random.Random
        Seeded generator for jitter.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        *,
        host: str,
        address: str,
        failure_domain: str,
        random: Random,
    ) -> None:
        self.settings = settings
        self.host = host
        self.address = address
        self.failure_domain = failure_domain
        self.random = random
        self.view = ViewFold(voter_limit=settings.voter_limit)
        self.confirmation = Confirmation(settings, host)
        self.suspects = Suspects(settings, host)
        self.duties = Duties(settings, host=host, random=random)
        self.waits = Waits(settings)
        self.loader = ViewLoader()
        self.loaded_at = -math.inf
        self.was_member = False
        self.is_opening = False
        self.is_closing = False
        self.act_from: float | None = None
        self.is_log_available = False
        self.round_number = 0
        self.next_round_at = -math.inf
        self.last_now: float | None = None
        self.was_confirmed = False

    @property
    def is_member(self) -> bool:
        """Whether this host's session is in the view."""
        return self.host in self.view.members

    @property
    def is_expelled(self) -> bool:
        """Whether others ended this session; the process needs a new host id."""
        is_gone = self.was_member and not self.is_member
        return (is_gone or self.host in self.view.departed) and not self.is_closing

    @property
    def acknowledged_offset(self) -> int:
        """Greatest view offset of an acknowledgement that this host has sent."""
        return self.duties.acknowledged_offset

    @property
    def has_released_keys(self) -> bool:
        """Whether this host doesn't act as any key's owner, as it hands them over."""
        return self.duties.released_at is not None

    @property
    def has_handed_over(self) -> bool:
        """Whether other members own the keys that this host released."""
        return self.view.releases.get(self.host, False)

    def is_needed_as_owner(self, *, now: float) -> bool:
        """Return whether members that released their keys have no other owner left.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
            False while the log can't be read, since then nobody can leave either.
        """
        if not self._is_log_usable(now) or self.view.established.keys() != {self.host}:
            return False
        return any(self.view.releases.values())

    def is_confirmed(self, *, now: float) -> bool:
        """Return whether this host may use its rights at `now`.

        Parameters
        ----------
        now : float
            Seconds of this host's monotonic clock.

        Returns
        -------
        bool
        """
        if self.is_closing or not self.is_member or self.loader.is_loading:
            return False
        return self.confirmation.is_confirmed(self.view, now=now)

    def iter_members(self) -> Iterator[Member]:
        """Iterate over the sessions in the view, in log order."""
        return iter(tuple(self.view.members.values()))

    def iter_possible_holders(self, *, now: float) -> Iterator[str]:
        """Iterate over the members and the expelled hosts that may still act."""
        yield from tuple(self.view.members)
        for departure in self.waits.iter_waiting(now=now):
            yield departure.host

    def is_past_takeover(self, *, now: float) -> bool:
        """Return whether this host may act as an owner.

        Owners that acknowledged its joining did so when their orders had ended.
        """
        if now < self.loaded_at + self.settings.fast_wait_s:
            return False
        return self.act_from is not None and now >= self.act_from

    def iter_waiting(self, *, now: float) -> Iterator[Departure]:
        """Iterate over the departures whose hosts may still act at `now`."""
        return self.waits.iter_waiting(now=now)

    def open_session(self, *, now: float) -> list[Action]:
        """Begin the session; `tick` repeats the record until it is read back.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Action
        """
        self.is_opening = True
        return self._open(now)

    def release_keys(self, *, now: float) -> list[Action]:
        """Hand this host's keys over to other members; its session goes on.

        Done by `tick` as soon as the log is readable and another member can own
        keys; rights that this host was granted stay its own.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Action
        """
        self.duties.is_releasing = True
        return self.tick(now=now)

    def close(self, *, now: float) -> list[Action]:
        """End the session; this host acts on nothing from here on.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Action
        """
        self.is_opening = False
        self.is_closing = True
        return self._close(now)

    def note_log_read(self, *, sent_at: float, now: float) -> list[Action]:
        """Note that a read of the tail of the control stream is fully applied.

        Parameters
        ----------
        sent_at : float
            Seconds at which this host sent the read, or asked the peer that read.
        now : float

        Returns
        -------
        list of Action
        """
        self._note_time(now)
        if not self.is_log_available:
            self.duties.accuser.restart_defences(now=now)
        self.is_log_available = True
        self.confirmation.note_read(sent_at=sent_at)
        return self._report_confirmation(now)

    def note_log_gap(self, *, first_offset: int, now: float) -> list[Action]:
        """Note that the log keeps no records before `first_offset` any more.

        The view is then loaded from the next `ViewRecorded` that covers the gap;
        until then this host is not confirmed.

        Parameters
        ----------
        first_offset : int
        now : float

        Returns
        -------
        list of Action
        """
        self._note_time(now)
        if first_offset > self.view.offset + 1:
            self.loader.start(first_offset)
        return self._report_confirmation(now)

    def note_log_unavailable(self, *, now: float) -> list[Action]:
        """Note that the log answers neither this host nor its peers.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Action
        """
        self._note_time(now)
        self.is_log_available = False
        return self._report_confirmation(now)

    def note_host_list(
        self,
        live_hosts: Collection[str],
        leaving_hosts: Collection[str],
        *,
        now: float,
    ) -> list[Action]:
        """Take in the platform's lagging list; it shortens the time to suspect.

        Parameters
        ----------
        live_hosts, leaving_hosts : collection of str
            Host ids, or names without the incarnation.
        now : float

        Returns
        -------
        list of Action
            Always empty.
        """
        self.suspects.note_hint(self.view, live_hosts, leaving_hosts)
        return []

    def handle(self, message: Any, *, sender: str, now: float) -> list[Action]:
        """Handle a heartbeat or an answer; other messages are ignored.

        Parameters
        ----------
        message : object
        sender : str
            Host id of the peer.
        now : float

        Returns
        -------
        list of Action
        """
        self._note_time(now)
        if self.is_closing or not self.is_member or self.loader.is_loading:
            return []
        return self._handle(message, sender, now)

    def apply_record(self, offset: int, record: Any, *, now: float) -> list[Action]:
        """Apply a record; records of other slices are ignored.

        Parameters
        ----------
        offset : int
        record : object
        now : float

        Returns
        -------
        list of Action
        """
        self._note_time(now)
        if self.loader.is_loading and isinstance(record, Record):
            return self._load(offset, record, now)
        if not self.view.apply(offset, record):
            return []
        self.was_member = self.was_member or self.is_member
        if isinstance(record, ViewRecorded):
            self.duties.view_recorded_at = now
        self.waits.update(self.view, now=now)
        self._note_established(now)
        for host in self.duties.accuser.update(self.view, now=now):
            self.suspects.note_defended(host, now=now)
        if isinstance(record, Accused):
            self.suspects.note_accused(record.host, now=now)
        self.suspects.update(self.view, now=now)
        return [self._emit_record(offset, record), *self._report_confirmation(now)]

    def tick(self, *, now: float) -> list[Action]:
        """Send what is due: heartbeats, and records while the log is readable.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Action
        """
        self._note_time(now)
        if self.is_closing:
            return self._close(now)
        if self.loader.is_loading:
            return self._report_confirmation(now)
        if not self.is_member:
            return self._open(now)
        actions = [*self._send_heartbeats(now)]
        if self._is_log_usable(now):
            actions += self.duties.tick(self.view, self.suspects, self.waits, now=now)
        return actions + self._report_confirmation(now)

    @singledispatchmethod
    def _handle(self, message: Any, sender: str, now: float) -> list[Action]:
        return []

    @_handle.register
    def _answer(self, message: Heartbeat, sender: str, now: float) -> list[Action]:
        answer = HeartbeatAnswer(
            message.number, self.view.offset, self._is_supporting(sender, now)
        )
        return [Send(sender, answer)]

    @_handle.register
    def _note_answer(
        self, message: HeartbeatAnswer, sender: str, now: float
    ) -> list[Action]:
        if self.confirmation.note_answer(sender, message, now=now):
            self.suspects.watch.note_heard(sender, now=now)
        return self._report_confirmation(now)

    def _is_supporting(self, sender: str, now: float) -> bool:
        if sender in self.view.departed:
            return False
        if self.duties.accuser.is_accusing(sender, self.view):
            return False
        # A host past its own limit may have been waited out and counts no more.
        return self.confirmation.is_within_outage_limit(now=now)

    def _open(self, now: float) -> list[Action]:
        if not self.is_opening or self.is_expelled:
            return []
        record = SessionOpened(self.host, self.address, self.failure_domain)
        return self.duties.append("open", record, now=now)

    def _close(self, now: float) -> list[Action]:
        if self.host in self.view.departed:
            return []
        return self.duties.append("close", SessionClosed(self.host), now=now)

    def _send_heartbeats(self, now: float) -> Iterator[Action]:
        if now < self.next_round_at:
            return
        jitter = 1 - 0.1 * self.random.random()
        self.next_round_at = now + self.settings.heartbeat_s * jitter
        self.round_number += 1
        self.suspects.update(self.view, now=now)
        self.confirmation.note_round(self.round_number, now=now)
        for host in sorted(self._choose_recipients(now)):
            yield Send(host, Heartbeat(self.round_number))

    def _choose_recipients(self, now: float) -> set[str]:
        recipients = set(self.suspects.watch.heard_at)
        if not self._is_log_usable(now):
            recipients |= self.view.voters.keys()
        return recipients - {self.host}

    def _load(self, offset: int, record: Any, now: float) -> list[Action]:
        replayed = self.loader.load(offset, record, self.view)
        if replayed:
            self.loaded_at = now
        return [
            action
            for earlier_offset, earlier in replayed
            for action in self.apply_record(earlier_offset, earlier, now=now)
        ]

    def _is_log_usable(self, now: float) -> bool:
        return self.is_log_available and self.confirmation.is_read(now=now)

    def _note_established(self, now: float) -> None:
        if self.act_from is None and self.host in self.view.established:
            self.act_from = now

    def _note_time(self, now: float) -> None:
        last, self.last_now = self.last_now, now
        if last is not None and now - last > self.settings.heartbeat_s:
            self.suspects.note_pause(now=now)
            self.duties.accuser.restart_defences(now=now)

    def _report_confirmation(self, now: float) -> list[Action]:
        is_confirmed = self.is_confirmed(now=now)
        if is_confirmed == self.was_confirmed:
            return []
        self.was_confirmed = is_confirmed
        name = "membership.confirmed" if is_confirmed else "membership.unconfirmed"
        return [Emit(Event(name, offset=self.view.offset))]

    def _emit_record(self, offset: int, record: Any) -> Action:
        detail = {"record": type(record).__name__, "host": record.host}
        wait = self.view.departed.get(record.host)
        if wait not in (None, Wait.NONE):
            detail["wait"] = wait.value
        return Emit(Event("membership.record_read", offset=offset, detail=detail))
