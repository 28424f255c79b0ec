"""The membership slice: one session, its confirmation and its peers.

One control thread touches the state of this module.
"""

import math
from collections.abc import Collection, Iterator
from functools import singledispatchmethod
from random import Random
from typing import Any

from thornlatch.core import Action, Append, Emit, Event, Member, Send
from thornlatch.membership._accuser import Accuser
from thornlatch.membership._confirmation import Confirmation
from thornlatch.membership._messages import Heartbeat, HeartbeatAnswer
from thornlatch.membership._peers import choose_watched
from thornlatch.membership._recorded import ViewLoader, record_state
from thornlatch.membership._records import (
    CONTROL_STREAM,
    Accused,
    Defended,
    Expelled,
    HostRemoved,
    SessionClosed,
    SessionOpened,
    ViewAcknowledged,
    ViewRecorded,
)
from thornlatch.membership._settings import MembershipSettings
from thornlatch.membership._suspicion import PeerWatch
from thornlatch.membership._timers import RetryTimers
from thornlatch.membership._view import Departure, ViewFold, Wait
from thornlatch.membership._waits import Waits

RETRY_S = 1.0
RANK_STAGGER_S = 2.0
ACKNOWLEDGEMENTS_PER_S = 100.0
ISOLATED_FACTOR = 3.0
HINTED_FACTOR = 0.5


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
        self.watch = PeerWatch(settings.suspect_s)
        self.accuser = Accuser(host)
        self.waits = Waits(settings)
        self.loader = ViewLoader()
        self.loaded_at = -math.inf
        self.view_recorded_at: float | None = None
        self.was_member = False
        self.watched_for: tuple[int, frozenset[str]] | None = None
        self.timers = RetryTimers(RETRY_S)
        self.is_opening = False
        self.is_closing = False
        self.acknowledged_offset = -1
        self.acknowledge_at: float | None = None
        self.act_from: float | None = None
        self.defend_at: float | None = None
        self.joined_at: dict[str, float] = {}
        self.probed_until: dict[str, float] = {}
        self.hinted_gone: set[str] = set()
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
        """Return whether orders of owners that acknowledged this host have ended."""
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
            self.accuser.restart_defences(now=now)
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
        live = set(live_hosts) - set(leaving_hosts)
        self.hinted_gone = {
            host
            for host in self.view.members
            if host not in live and host.rpartition(".")[0] not in live
        }
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
        if self.loader.is_loading:
            return self._load(offset, record, now)
        if not self.view.apply(offset, record):
            return []
        self.was_member = self.was_member or self.is_member
        if isinstance(record, ViewRecorded):
            self.view_recorded_at = now
        self.waits.update(self.view, now=now)
        self._note_established(now)
        for host in self.accuser.update(self.view, now=now):
            self.watch.note_defended(host, now=now)
            self.joined_at = dict.fromkeys(self.joined_at, now)
        if isinstance(record, Accused):
            self.probed_until[record.host] = now + self.settings.patience_s
        self._update_watched(now)
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
        if not self.is_member or self.loader.is_loading:
            return self._open(now)
        actions = [*self._send_heartbeats(now)]
        if self._is_log_usable(now):
            actions += self._acknowledge(now)
            actions += self._defend(now)
            actions += self._accuse(now)
            actions += self._expel(now)
            actions += self._remove(now)
            actions += self._record_view(now)
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
            self.watch.note_heard(sender, now=now)
        return self._report_confirmation(now)

    def _is_supporting(self, sender: str, now: float) -> bool:
        if sender in self.view.departed:
            return False
        if self.accuser.is_accusing(sender, self.view):
            return False
        # A host past its own limit may have been waited out and counts no more.
        return self.confirmation.is_within_outage_limit(now=now)

    def _open(self, now: float) -> list[Action]:
        if not self.is_opening or self.is_expelled:
            return []
        record = SessionOpened(self.host, self.address, self.failure_domain)
        return self._append("open", record, now)

    def _close(self, now: float) -> list[Action]:
        if self.host in self.view.departed:
            return []
        return self._append("close", SessionClosed(self.host), now)

    def _send_heartbeats(self, now: float) -> Iterator[Action]:
        if now < self.next_round_at:
            return
        jitter = 1 - 0.1 * self.random.random()
        self.next_round_at = now + self.settings.heartbeat_s * jitter
        self.round_number += 1
        self._update_watched(now)
        self.confirmation.note_round(self.round_number, now=now)
        for host in sorted(self._choose_recipients(now)):
            yield Send(host, Heartbeat(self.round_number))

    def _choose_recipients(self, now: float) -> set[str]:
        recipients = set(self.watch.heard_at)
        if not self._is_log_usable(now):
            recipients |= self.view.voters.keys()
        return recipients - {self.host}

    def _acknowledge(self, now: float) -> list[Action]:
        required = self.view.get_required_acknowledgement(self.host)
        if self.view.acknowledged[self.host] >= required:
            self.acknowledge_at = None
            return []
        if self.acknowledge_at is None:
            spread = len(self.view.members) / ACKNOWLEDGEMENTS_PER_S
            self.acknowledge_at = now + spread * self.random.random()
        # An acknowledgement that was read back must not delay that of a later join.
        purpose = f"acknowledge {self.view.acknowledged[self.host]}"
        if now < self.acknowledge_at or not self.timers.is_due(purpose, now=now):
            return []
        self.acknowledged_offset = self.view.offset
        record = ViewAcknowledged(self.host, self.view.offset)
        return self._append(purpose, record, now)

    def _defend(self, now: float) -> list[Action]:
        open_ = self.view.accusations.get(self.host)
        if not open_:
            self.defend_at = None
            return []
        if self.defend_at is None:
            # A majority that doesn't hear this host gets time to say so.
            self.defend_at = now + self.settings.defence_s / 2
        if now < self.defend_at:
            return []
        newest = max(accusation.offset for accusation in open_.values())
        return self._append("defend", Defended(self.host, newest), now)

    def _accuse(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for host in sorted(set(self.watch.heard_at) | self._find_late(now)):
            is_suspect = self._is_suspect(host, now) and not self.watch.is_quiet(
                host, now=now
            )
            if host not in self.view.members or not self.accuser.is_due(
                host, self.view, is_suspect=is_suspect, now=now
            ):
                continue
            self.accuser.note_sent(host, self.view, now=now)
            record = Accused(host, self.host, self.view.offset)
            actions.append(Append(CONTROL_STREAM, record))
        return actions

    def _expel(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for host in self.accuser.unanswered_since:
            accusation = self.accuser.find_unanswered(
                host, self.view, patience_s=self.settings.patience_s, now=now
            )
            if accusation is None or not self._is_suspect(host, now):
                continue
            record = Expelled(host, accusation.offset, self.host)
            actions += self._append(f"expel {host}", record, now)
        return actions

    def _load(self, offset: int, record: Any, now: float) -> list[Action]:
        replayed = self.loader.load(offset, record, self.view)
        if replayed:
            self.loaded_at = now
        return [
            action
            for earlier_offset, earlier in replayed
            for action in self.apply_record(earlier_offset, earlier, now=now)
        ]

    def _record_view(self, now: float) -> list[Action]:
        if self.view_recorded_at is None:
            self.view_recorded_at = now
        rank = list(self.view.members).index(self.host)
        due_s = self.settings.record_view_s + rank * RANK_STAGGER_S
        if now - self.view_recorded_at < due_s:
            return []
        record = ViewRecorded(self.host, self.view.offset, record_state(self.view))
        return self._append("record view", record, now)

    def _remove(self, now: float) -> list[Action]:
        if not self.waits.waiting:
            return []
        rank = list(self.view.members).index(self.host)
        overdue_s = rank * RANK_STAGGER_S
        actions: list[Action] = []
        for host in self.waits.iter_elapsed(overdue_s=overdue_s, now=now):
            record = HostRemoved(host, self.host)
            actions += self._append(f"remove {host}", record, now)
        return actions

    def _is_log_usable(self, now: float) -> bool:
        return self.is_log_available and self.confirmation.is_read(now=now)

    def _is_suspect(self, host: str, now: float) -> bool:
        limit_s = self._get_suspect_limit(host, now)
        is_silent = self.watch.is_silent(host, limit_s=limit_s, now=now)
        return is_silent or host in self._find_late(now)

    def _get_suspect_limit(self, host: str, now: float) -> float:
        settings = self.settings
        if not self._is_in_touch(now):
            # More likely this host is cut off; the others may accuse it first.
            return settings.suspect_s * ISOLATED_FACTOR
        if host in self.hinted_gone:
            return max(settings.suspect_s * HINTED_FACTOR, 2 * settings.heartbeat_s)
        return settings.suspect_s

    def _is_in_touch(self, now: float) -> bool:
        watched = self.watch.heard_at
        heard = self.watch.count_heard(watched, now=now)
        return 2 * (heard + 1) > len(watched) + 1

    def _find_late(self, now: float) -> set[str]:
        if not self.view.is_voter(self.host):
            return set()
        late: set[str] = set()
        for joiner, since in self.joined_at.items():
            if now - since >= self.settings.acknowledge_s:
                late.update(self.view.iter_late(joiner))
        return late - {self.host}

    def _update_watched(self, now: float) -> None:
        if not self.is_member:
            return
        for host in [h for h, until in self.probed_until.items() if until <= now]:
            del self.probed_until[host]
        self.joined_at = {
            joiner: self.joined_at.get(joiner, now) for joiner in self.view.awaiting
        }
        chosen_for = (self.view.version, frozenset(self.probed_until))
        if chosen_for == self.watched_for:
            return
        self.watched_for = chosen_for
        watched = choose_watched(
            self.host,
            self.view,
            full_mesh_limit=self.settings.full_mesh_limit,
            probed=self.probed_until,
        )
        self.watch.set_watched(watched, now=now)

    def _note_established(self, now: float) -> None:
        offset = self.view.established.get(self.host)
        if offset is None or self.act_from is not None:
            return
        is_first = offset == self.view.members[self.host].offset
        self.act_from = now if is_first else now + self.settings.takeover_wait_s

    def _note_time(self, now: float) -> None:
        last, self.last_now = self.last_now, now
        if last is not None and now - last > self.settings.heartbeat_s:
            self.watch.note_pause(now=now)
            self.accuser.restart_defences(now=now)
            self.joined_at = dict.fromkeys(self.joined_at, now)

    def _append(self, purpose: str, record: Any, now: float) -> list[Action]:
        if not self.timers.start(purpose, now=now):
            return []
        return [Append(CONTROL_STREAM, record)]

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
