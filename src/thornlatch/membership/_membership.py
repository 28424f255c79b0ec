"""The membership slice: this host's session, its confirmation and its peers.

Only the control thread may use this module's state.
"""

import math
from collections.abc import Collection, Iterator
from functools import singledispatchmethod
from random import Random
from typing import Any

from thornlatch.core import Action, Emit, Event, Member, Send, has_handler
from thornlatch.membership._confirmation import Confirmation
from thornlatch.membership._control_writer import ControlWriter
from thornlatch.membership._messages import Heartbeat, HeartbeatAnswer
from thornlatch.membership._records import (
    Accused,
    Record,
    SessionClosed,
    SessionOpened,
    ViewRecorded,
)
from thornlatch.membership._settings import MembershipSettings
from thornlatch.membership._suspects import Suspects
from thornlatch.membership._takeover_waits import TakeoverWaits
from thornlatch.membership._view import Departure, MembershipView, Wait
from thornlatch.membership._view_state import ViewLoader

ROUND_MERGE_RATIO = 0.25


class Membership:
    """State machine of this host's session.

    Parameters
    ----------
    settings : MembershipSettings
    host : str
        Host id, unique for each process: ``name.incarnation``.
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
        self.view = MembershipView(voter_limit=settings.voter_limit)
        self.confirmation = Confirmation(settings, host)
        self.suspects = Suspects(settings, host)
        self.control_writer = ControlWriter(settings, host=host, random=random)
        self.waits = TakeoverWaits(settings)
        self.loader = ViewLoader()
        self.loaded_at = -math.inf
        self.was_member = False
        self.joined_at: float | None = None
        self.is_settled = False
        self.is_opening = False
        self.is_closing = False
        self.established_at: float | None = None
        self.is_log_available = False
        self.round_number = 0
        self.next_round_at = -math.inf
        self.unanswered_heartbeats: dict[str, int] = {}
        self.last_now: float | None = None
        self.was_confirmed = False

    @property
    def is_member(self) -> bool:
        """Whether this host's session is in the view."""
        return self.host in self.view.members

    @property
    def is_expelled(self) -> bool:
        """Whether others ended this session; the process needs a new host id."""
        has_departed = self.was_member and not self.is_member
        return (has_departed or self.host in self.view.departed) and not self.is_closing

    @property
    def acknowledged_offset(self) -> int:
        """Greatest view offset of an acknowledgement that this host has sent."""
        return self.control_writer.acknowledged_offset

    @property
    def has_released_keys(self) -> bool:
        """Whether this host has stopped acting on its keys, to hand them over."""
        return self.control_writer.released_at is not None

    @property
    def has_handed_over(self) -> bool:
        """Whether other members own the keys that this host released."""
        return self.view.releases.get(self.host, False)

    def is_needed_as_owner(self, *, now: float) -> bool:
        """Return whether no other member can own the keys that members released.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
            False while the log can't be read, since no member can leave then.
        """
        if not self._is_log_usable(now) or self.view.established.keys() != {self.host}:
            return False
        return any(self.view.releases.values())

    def is_confirmed(self, *, now: float) -> bool:
        """Return whether this host may act on its grants at `now`.

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

    def has_settled(self, *, now: float) -> bool:
        """Return whether the voters have been elected since this host joined.

        A host that accepts requests earlier could be lost at a time when the others
        can't expel it quickly. It waits no longer than `settle_s`, as one of the voters
        may already be lost.
        """
        if self.joined_at is None:
            return False
        if not self.is_settled:
            is_late = now - self.joined_at >= self.settings.settle_s
            self.is_settled = is_late or self.view.is_settled()
        return self.is_settled

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

        Earlier owners acknowledge this host's join only when their orders have ended.
        After it has loaded a recorded view, this host waits as long as after an
        expulsion by a majority.
        """
        if now < self.loaded_at + self.settings.fast_wait_s:
            return False
        return self.established_at is not None and now >= self.established_at

    def iter_waiting(self, *, now: float) -> Iterator[Departure]:
        """Iterate over the departures whose hosts may still act at `now`."""
        return self.waits.iter_waiting(now=now)

    def open_session(self, *, now: float) -> list[Action]:
        """Open the session; `tick` repeats the record until it is read back.

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
        """Hand this host's keys over to other members; its session continues.

        `tick` does so as soon as the log is readable and another member can own keys.
        This host keeps its grants.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Action
        """
        self.control_writer.is_releasing = True
        return self.tick(now=now)

    def close(self, *, now: float) -> list[Action]:
        """End the session; this host doesn't act on anything from here on.

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
        """Record that a read of the tail of the control stream is fully applied.

        Parameters
        ----------
        sent_at : float
            Seconds at which this host sent the read, or its query to the reading peer.
        now : float

        Returns
        -------
        list of Action
        """
        self._note_time(now)
        if not self.is_log_available:
            self.control_writer.accuser.restart_defence_timers(now=now)
        self.is_log_available = True
        self.confirmation.note_read(sent_at=sent_at)
        return self._report_confirmation(now)

    def note_log_gap(self, *, first_offset: int, now: float) -> list[Action]:
        """Record that the log has dropped the records before `first_offset`.

        If records are missing, the view is loaded from the next `ViewRecorded` that
        covers the gap, and this host isn't confirmed until then.

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
        """Record that the log answers neither this host nor its peers.

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
        """Apply the platform's list of hosts, which may lag.

        Members that are missing from it are suspected after a shorter silence.

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
        self.suspects.note_host_list(self.view, live_hosts, leaving_hosts)
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

    def handles(self, kind: type) -> bool:
        """Return whether `handle` acts on messages of a class."""
        return has_handler(Membership, "_handle", kind)

    def apply_record(self, offset: int, record: Any, *, now: float) -> list[Action]:
        """Apply a record of the control stream; other records are ignored.

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
        if self.joined_at is None and self.is_member:
            self.joined_at = now
        if isinstance(record, ViewRecorded):
            self.control_writer.view_recorded_at = now
        self.waits.update(self.view, now=now)
        self._note_established(now)
        for host in self.control_writer.accuser.update(self.view, now=now):
            self.suspects.note_defended(host, now=now)
        if isinstance(record, Accused):
            self.suspects.note_accused(record.host, now=now)
        self.suspects.update(self.view, now=now)
        return [self._emit_record(offset, record), *self._report_confirmation(now)]

    def tick(self, *, now: float) -> list[Action]:
        """Send heartbeats that are due, and records while the log is readable.

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
            actions += self.control_writer.tick(
                self.view, self.suspects, self.waits, now=now
            )
        return actions + self._report_confirmation(now)

    def next_due(self, *, now: float) -> float:
        """Return when a heartbeat is due, or a peer or the confirmation times out.

        Parameters
        ----------
        now : float

        Returns
        -------
        float
        """
        if not self._is_idle(now):
            return now
        last = now if self.last_now is None else self.last_now
        # After a longer interval, `_note_time` would assume a pause of this process.
        due = min(self.next_round_at, last + self.settings.heartbeat_s / 2)
        read_expires_at = self.confirmation.read_sent_at + self.settings.safe_s
        return min(due, read_expires_at, self.suspects.get_next_timeout())

    def _is_idle(self, now: float) -> bool:
        view = self.view
        if not self.is_member or self.is_closing or not self._is_log_usable(now):
            return False
        is_accused = any(view.accusations.values())
        if is_accused or view.awaiting or self.control_writer.accuser.sent_view_offsets:
            return False
        if self.control_writer.is_releasing and self.host not in view.releases:
            return False
        if view.acknowledged[self.host] < view.get_required_acknowledgement(self.host):
            return False
        return next(self.waits.iter_waiting(now=now), None) is None

    @singledispatchmethod
    def _handle(self, message: Any, sender: str, now: float) -> list[Action]:
        return []

    @_handle.register
    def _apply_heartbeat(
        self, message: Heartbeat, sender: str, now: float
    ) -> list[Action]:
        actions: list[Action] = []
        if message.answered >= 0:
            answer = HeartbeatAnswer(
                message.answered, message.view_offset, message.is_supporting
            )
            actions += self._apply_answer(answer, sender, now)
        self.unanswered_heartbeats[sender] = message.number
        self._merge_round(now)
        # While a host can't read the log, its confirmation depends on the answer.
        if self._is_log_usable(now) and sender in self.suspects.watch.heard_at:
            return actions
        return [*actions, self._build_answer(sender, now)]

    @_handle.register
    def _apply_answer(
        self, message: HeartbeatAnswer, sender: str, now: float
    ) -> list[Action]:
        if self.confirmation.note_answer(sender, message, now=now):
            self.suspects.watch.note_heard(sender, now=now)
        return self._report_confirmation(now)

    def _merge_round(self, now: float) -> None:
        # Rounds at the same time wake up each host only once, and the heartbeats carry
        # the answers.
        if self.next_round_at - now <= ROUND_MERGE_RATIO * self.settings.heartbeat_s:
            self.next_round_at = now

    def _build_answer(self, recipient: str, now: float) -> Action:
        number = self.unanswered_heartbeats.pop(recipient)
        is_supporting = self._is_supporting(recipient, now)
        return Send(recipient, HeartbeatAnswer(number, self.view.offset, is_supporting))

    def _build_heartbeat(self, recipient: str, now: float) -> Action:
        answered = self.unanswered_heartbeats.pop(recipient, None)
        if answered is None:
            return Send(recipient, Heartbeat(self.round_number))
        is_supporting = self._is_supporting(recipient, now)
        return Send(
            recipient,
            Heartbeat(self.round_number, answered, self.view.offset, is_supporting),
        )

    def _is_supporting(self, sender: str, now: float) -> bool:
        if sender in self.view.departed:
            return False
        if self.control_writer.accuser.has_pending_accusation(sender, self.view):
            return False
        # Once this host is past the outage limit, the takeover wait for it may have
        # ended, so its support must not count any more.
        return self.confirmation.is_within_outage_limit(now=now)

    def _open(self, now: float) -> list[Action]:
        if not self.is_opening or self.is_expelled:
            return []
        record = SessionOpened(self.host, self.address, self.failure_domain)
        return self.control_writer.append("open", record, now=now)

    def _close(self, now: float) -> list[Action]:
        if self.host in self.view.departed:
            return []
        return self.control_writer.append("close", SessionClosed(self.host), now=now)

    def _send_heartbeats(self, now: float) -> Iterator[Action]:
        if now < self.next_round_at:
            return
        jitter = 1 - 0.1 * self.random.random()
        self.next_round_at = now + self.settings.heartbeat_s * jitter
        self.round_number += 1
        self.suspects.update(self.view, now=now)
        self.confirmation.note_heartbeat_round(self.round_number, now=now)
        for host in sorted(self._choose_recipients(now)):
            yield self._build_heartbeat(host, now)
        for host in sorted(self.unanswered_heartbeats):
            yield self._build_answer(host, now)

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
            for replayed_offset, replayed_record in replayed
            for action in self.apply_record(replayed_offset, replayed_record, now=now)
        ]

    def _is_log_usable(self, now: float) -> bool:
        return self.is_log_available and self.confirmation.has_recent_read(now=now)

    def _note_established(self, now: float) -> None:
        if self.established_at is None and self.host in self.view.established:
            self.established_at = now

    def _note_time(self, now: float) -> None:
        last, self.last_now = self.last_now, now
        if last is not None and now - last > self.settings.heartbeat_s:
            self.suspects.note_pause(now=now)
            self.control_writer.accuser.restart_defence_timers(now=now)

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
