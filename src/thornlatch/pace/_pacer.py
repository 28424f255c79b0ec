"""Windows of paced targets, and this host's part of them.

A window is the number of requests that all hosts together may have running at a
target. Its state is a round and a size. All hosts change it by the same rules and merge
what the others report, so that none of them has to decide for the others.
"""

import copy
import math
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from enum import Enum
from random import Random

from thornlatch.fleet import Incarnation, Target, TargetPace
from thornlatch.pace._response_times import RequestKind, ResponseTimes
from thornlatch.pace._settings import PaceSettings

# Below one request only the tries are left that a target gets without responses.
MIN_WINDOW = 0.5
MIN_LATE_WINDOW = 1.0  # of a target that is slow but serves its requests
REPORT_LIMIT = 64  # windows in a digest; 3 KB
ENDED_REPORT_S = 10.0  # in which digests report that a target is no longer paced
# For which a target is remembered that isn't registered, as its entry may come back.
UNREGISTERED_MEMORY_S = 60.0
UNCONFIRMED_LIMIT = 4096  # windows of targets that aren't registered here
# In which a request to which a place was given is counted at its target.
RESERVATION_S = 0.25
RECOVERY_MEMORY_S = 5.0  # in which the peers' older rounds don't undo a recovery
KNOWN_PERIOD_S = 5.0  # between two looks at what is registered
MIN_WAIT_S = 0.01
EAGER_RATIO = 2.0  # by which a host's part of the free places grows or falls
IDLE_EAGER_RATIO = 4.0  # the same at a target that has no requests
IDLE_DRAW_RATIO = 2 / 3  # of the time between draws, at such a target
OWN_RATIO_WEIGHT = 0.3


class PaceReason(Enum):
    """Why the window of a target changed."""

    STARTED = "started"
    RECOVERED = "recovered"
    IN_TIME = "in-time"
    IDLE = "idle"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    PEER = "peer"


@dataclass(frozen=True)
class PaceChange:
    """A change of a target's window, for the log.

    Parameters
    ----------
    target : str
    started_ms : int
    window : float
        Requests of all hosts together.
    round : int
    reason : PaceReason
    data_age_s : float
        Age in seconds of what caused the change: since the request was sent that was
        answered, or since another host changed the window.
    is_paced : bool
        Whether the target is still paced.
    """

    target: str
    started_ms: int
    window: float
    round: int
    reason: PaceReason
    data_age_s: float
    is_paced: bool


@dataclass(frozen=True)
class PacedRequest:
    """A request that is about to be sent to a target.

    Parameters
    ----------
    target : Target
    id : str
        Identifies the request at this host.
    is_stream : bool
        Whether its response is a stream, of which the first event counts.
    size : int
        In a unit that is the same for all requests of a service.
    """

    target: Target
    id: str
    is_stream: bool = False
    size: int = 0

    @property
    def kind(self) -> RequestKind:
        """What its time to the response depends on."""
        return RequestKind(self.target.service, self.is_stream, self.size)


@dataclass(frozen=True)
class _GivenTry:
    """The try that a request took, and what was known before."""

    request: str
    given_at: float
    places: int
    used_at: float
    own_used_at: float


@dataclass
class _State:
    round: int
    window: float
    # Window from which on the target is no longer paced.
    end: float
    # Time of the latest change, wherever it was made.
    changed_at: float
    # Since when the window is in force here, and since when a lower one than before is.
    in_force_at: float
    lowered_at: float
    begun_at: float
    # When this host began the round because the target had recovered.
    recovered_at: float = -math.inf
    # When a response of the target, or a send to it, was last known of any host.
    used_at: float = -math.inf
    # The same of this host. Only this is reported: the age of a report lacks the time
    # for which it was under way, which would add up if it was passed on.
    own_used_at: float = -math.inf
    reported_until: float = -math.inf
    registered_at: float = -math.inf
    # Part of the window's free places that this host takes in a draw.
    eagerness: float = 0.0
    # Free places of which hosts took their parts in the last draw.
    offered: float = 0.0
    is_wanted: bool = False
    last_total: int = 0
    drawn_at: float = -math.inf
    # Requests that this host may have there until the next draw, and whether the last
    # of them is a try at a target that hasn't responded for long.
    places: int = 0
    is_try: bool = False
    given_try: _GivenTry | None = None
    reserved: dict[str, float] = field(default_factory=dict)
    # Requests that haven't been answered, with the time of the send.
    unanswered: dict[str, tuple[PacedRequest, float]] = field(default_factory=dict)
    # Times of its responses at its first window, relative to those of other targets.
    own_ratio: float = 1.0

    @property
    def is_paced(self) -> bool:
        return self.window < self.end


@dataclass(frozen=True)
class _Failure:
    failed_at: float
    due_at: float


class Pacer:
    """Decides whether this host may send a request to a paced target; thread-safe.

    Parameters
    ----------
    settings : PaceSettings
    count_own, count_peers : callable
        Return the number of requests of this host and of its peers at a target.
    get_share : callable
        Returns the part of the requests of all hosts at all targets that are this
        host's.
    random : random.Random or None
        Source of the differences between hosts that take the free places of a window;
        None for one that is seeded by the system.
    """

    def __init__(
        self,
        settings: PaceSettings,
        *,
        count_own: Callable[[str], int] = lambda target: 0,
        count_peers: Callable[[str], int] = lambda target: 0,
        get_share: Callable[[], float] = lambda: 0.0,
        random: Random | None = None,
    ) -> None:
        self.settings = settings
        self.count_own = count_own
        self.count_peers = count_peers
        self.get_share = get_share
        self.random = random or Random()
        self.lock = threading.Lock()
        self.services: frozenset[str] = frozenset()
        self.hosts = 1
        self.round_s = self.draw_s = 0.0
        self.set_fleet(hosts=1, period_s=0.05)
        self.states: dict[Incarnation, _State] = {}
        # Incarnations that have been registered, with the time when they last were.
        self.known: dict[Incarnation, float] = {}
        self.learned_at = -math.inf
        # Failures by incarnation, with the time at which the loss has shown in the
        # view of all hosts' requests.
        self.failures: dict[Incarnation, _Failure] = {}
        self.times = ResponseTimes()

    def enable_service(self, service: str) -> None:
        """Pace the targets of a service that start or recover from now on.

        Parameters
        ----------
        service : str
        """
        if service not in self.services:
            self.services |= {service}
            self.learned_at = -math.inf

    def build_copy(self) -> "Pacer":
        """Return a copy, to look at without taking places or drawing numbers.

        Returns
        -------
        Pacer
        """
        duplicate = copy.copy(self)
        duplicate.lock = threading.Lock()
        duplicate.random = copy.copy(self.random)
        with self.lock:
            duplicate.states = {
                incarnation: replace(
                    state,
                    reserved=dict(state.reserved),
                    unanswered=dict(state.unanswered),
                )
                for incarnation, state in self.states.items()
            }
            duplicate.known, duplicate.failures = dict(self.known), dict(self.failures)
        return duplicate

    @property
    def is_enabled(self) -> bool:
        """Whether targets of any service are paced."""
        return self.settings.is_enabled or bool(self.services)

    def set_fleet(self, *, hosts: int, period_s: float) -> None:
        """Set the size of the fleet.

        Parameters
        ----------
        hosts : int
            Number of hosts, this one included.
        period_s : float
            Seconds between two digests of a host.
        """
        self.hosts = max(hosts, 1)
        self.round_s = self.settings.round_periods * period_s
        # Ticks come once in a period, not quite regularly.
        self.draw_s = (self.settings.draw_periods - 0.5) * period_s

    def _get_end(self, slots: float) -> float:
        return max(slots, 1) * self.settings.end_ratio

    def is_enabled_for(self, service: str) -> bool:
        """Return whether targets of a service are paced.

        Parameters
        ----------
        service : str

        Returns
        -------
        bool
        """
        return self.settings.is_enabled or service in self.services

    def begin(
        self, target: Target, *, is_first_read: bool, now: float
    ) -> PaceChange | None:
        """Pace a target whose incarnation has been registered.

        Parameters
        ----------
        target : Target
        is_first_read : bool
            Whether this host hasn't read all registrations before. The target may have
            run for long, so it is paced only if another host reports that.
        now : float

        Returns
        -------
        PaceChange or None
        """
        if not (self.is_enabled_for(target.service) or self.states):
            return None
        incarnation = target.incarnation
        with self.lock:
            is_known = incarnation in self.known
            self.known[incarnation] = now
            state = self.states.get(incarnation)
            if state is not None:
                state.end, state.registered_at = self._get_end(target.slots), now
                return None
            if is_known or is_first_read or not self.is_enabled_for(target.service):
                return None
            window = self.settings.first_window
            return self._add(target, window, PaceReason.STARTED, 0.0, now)

    def _add(
        self,
        target: Target,
        window: float,
        reason: PaceReason,
        data_age_s: float,
        now: float,
    ) -> PaceChange | None:
        end = self._get_end(target.slots)
        if end <= window:
            return None
        state = _State(0, window, end, now, now, now, now)
        state.used_at = state.registered_at = now
        self.states[target.incarnation] = state
        self._draw(target.incarnation, state, now)
        return _build_change(target.incarnation, state, reason, data_age_s)

    def note_avoided(self, target: Target, *, failed_at: float, now: float) -> None:
        """Record that several hosts avoid a target because it failed.

        It is paced anew once the view of all hosts' requests shows what it lost.

        Parameters
        ----------
        target : Target
        failed_at : float
            When its latest request failed.
        now : float
        """
        if not self.is_enabled_for(target.service):
            return
        with self.lock:
            known = self.failures.get(target.incarnation)
            if known is None or failed_at > known.failed_at:
                due_at = max(failed_at + self.draw_s, now)
                if known is not None and known.due_at > now:
                    due_at = known.due_at
                self.failures[target.incarnation] = _Failure(failed_at, due_at)

    def _recover(
        self, target: Target, failure: _Failure, now: float
    ) -> PaceChange | None:
        """Pace a target that failed; a load that other hosts still have there stays.

        Where only some hosts' connections to it failed, it isn't slowed down.
        """
        state = self.states.get(target.incarnation)
        total = self.count_own(target.id) + self.count_peers(target.id)
        window = max(self.settings.first_window, total)
        if total >= target.slots:
            return None
        age_s = now - failure.failed_at
        if state is None:
            change = self._add(target, window, PaceReason.RECOVERED, age_s, now)
            state = self.states.get(target.incarnation)
            if state is not None:
                state.recovered_at = now
            return change
        # Another host may have lowered it since for the same failure.
        if failure.failed_at <= state.lowered_at or window >= state.window:
            return None
        state.recovered_at = state.begun_at = now
        return self._change(
            target.incarnation,
            state,
            window,
            PaceReason.RECOVERED,
            age_s,
            now,
            is_lower=True,
        )

    def note_response(
        self, request: PacedRequest, elapsed_s: float, *, now: float
    ) -> PaceChange | None:
        """Record a successful response.

        Parameters
        ----------
        request : PacedRequest
        elapsed_s : float
            Seconds from sending the request to the first event of a stream, or to the
            end of another response.
        now : float

        Returns
        -------
        PaceChange or None
        """
        if not (self.is_enabled_for(request.target.service) or self.states):
            return None
        incarnation = request.target.incarnation
        with self.lock:
            state = self.states.get(incarnation)
            is_paced = state is not None and state.is_paced
            usual_s = self.times.get_usual_s(request.kind)
            self.times.note(request.kind, elapsed_s, is_paced=is_paced, now=now)
            if state is None:
                return None
            state.unanswered.pop(request.id, None)
            state.used_at = state.own_used_at = now
            if not state.is_paced:
                return None
            sent_at = now - elapsed_s
            if usual_s and state.window <= self.settings.first_window:
                error = elapsed_s / usual_s - state.own_ratio
                state.own_ratio += OWN_RATIO_WEIGHT * error
            if elapsed_s > self._get_limit_s(state, usual_s, now):
                return self._lower(incarnation, state, PaceReason.LATE, sent_at, now)
            # A request sent in an earlier round doesn't show the load of this one.
            if sent_at < state.in_force_at or now - state.in_force_at < self.round_s:
                return None
            return self._change(
                incarnation,
                state,
                min(max(state.window * self.settings.growth, 1.0), state.end),
                PaceReason.IN_TIME,
                elapsed_s,
                now,
            )

    def _get_limit_s(self, state: _State, usual_s: float | None, now: float) -> float:
        """Return the seconds after which a response is late."""
        if usual_s is None:
            return math.inf
        if now - state.begun_at >= self.settings.slow_target_s:
            # It isn't the load that makes it slower than the others.
            usual_s *= max(state.own_ratio, 1.0)
        return usual_s * self.settings.late_ratio + self.settings.late_slack_s

    def _find_overdue(
        self, incarnation: Incarnation, state: _State, now: float
    ) -> PaceChange | None:
        """Lower the window of a target whose responses are late already.

        Until they arrive, requests that were sent before them would raise it further.
        """
        for request, sent_at in state.unanswered.values():
            usual_s = self.times.get_usual_s(request.kind)
            if now - sent_at > self._get_limit_s(state, usual_s, now):
                change = self._lower(incarnation, state, PaceReason.LATE, sent_at, now)
                if change is not None:
                    return change
        return None

    def note_failure(
        self,
        request: PacedRequest,
        reason: PaceReason,
        *,
        sent_at: float,
        now: float,
    ) -> PaceChange | None:
        """Record that a target refused or failed a request.

        Parameters
        ----------
        request : PacedRequest
        reason : PaceReason
        sent_at : float
            When the request was sent.
        now : float

        Returns
        -------
        PaceChange or None
        """
        if not self.states:
            return None
        incarnation = request.target.incarnation
        with self.lock:
            state = self.states.get(incarnation)
            if state is None:
                return None
            state.unanswered.pop(request.id, None)
            if not state.is_paced:
                return None
            return self._lower(incarnation, state, reason, sent_at, now)

    def _lower(
        self,
        incarnation: Incarnation,
        state: _State,
        reason: PaceReason,
        sent_at: float,
        now: float,
    ) -> PaceChange | None:
        # Requests sent before the window was lowered don't show how the lower one does.
        if sent_at < state.lowered_at:
            return None
        floor = MIN_LATE_WINDOW if reason is PaceReason.LATE else MIN_WINDOW
        window = max(state.window * self.settings.shrink, min(floor, state.window))
        if now - state.lowered_at < self.round_s or window == state.window:
            # It doesn't grow in a round with a failure either.
            state.in_force_at = now
            if window == state.window:
                # Otherwise a request that hangs would hold it until its deadline.
                state.lowered_at = now
            return None
        return self._change(
            incarnation, state, window, reason, now - sent_at, now, is_lower=True
        )

    def _change(
        self,
        incarnation: Incarnation,
        state: _State,
        window: float,
        reason: PaceReason,
        data_age_s: float,
        now: float,
        *,
        is_lower: bool = False,
    ) -> PaceChange:
        state.round += 1
        state.window = window
        state.changed_at = state.in_force_at = now
        if is_lower:
            state.lowered_at = now
        if not state.is_paced:
            state.reported_until = now + ENDED_REPORT_S
        return _build_change(incarnation, state, reason, data_age_s)

    def apply_report(
        self, report: TargetPace, *, slots: float = math.inf, now: float
    ) -> PaceChange | None:
        """Apply the window of a target as another host knows it.

        Parameters
        ----------
        report : TargetPace
        slots : float
            Slots of the target; infinite if it isn't registered here.
        now : float

        Returns
        -------
        PaceChange or None
        """
        if not (report.window >= MIN_WINDOW and report.round >= 0):
            return None
        incarnation = (report.target, report.started_ms)
        with self.lock:
            state = self.states.get(incarnation)
            if state is None:
                return self._adopt_unknown(report, self._get_end(slots), now)
            state.used_at = max(state.used_at, now - report.idle_s)
            rank = (report.round, -report.window)
            if rank <= (state.round, -state.window):
                if rank < (state.round, -state.window) and not state.is_paced:
                    # The reporting host missed that it is no longer paced.
                    state.reported_until = now + ENDED_REPORT_S
                return None
            if self._is_newer_recovery(state, report, now):
                # The report dates from before the target failed.
                state.round = report.round + 1
                return None
            is_lower = report.window < state.window
            state.round, state.window = report.round, report.window
            state.changed_at = now - max(report.age_s, 0.0)
            state.in_force_at = now
            if is_lower:
                state.lowered_at = now
            return self._note_adopted(incarnation, state, report, now)

    def _is_newer_recovery(self, state: _State, report: TargetPace, now: float) -> bool:
        recovered_s = now - state.recovered_at
        is_recent = recovered_s < RECOVERY_MEMORY_S
        return is_recent and report.window >= state.end and report.age_s > recovered_s

    def _adopt_unknown(
        self, report: TargetPace, end: float, now: float
    ) -> PaceChange | None:
        incarnation = (report.target, report.started_ms)
        if incarnation not in self.known and len(self.states) >= UNCONFIRMED_LIMIT:
            return None
        if math.isinf(end) and not report.age_s < UNREGISTERED_MEMORY_S:
            # Of a target that isn't registered here. Hosts would otherwise keep it for
            # good, each taking it from the others after it has dropped it.
            return None
        changed_at = now - max(report.age_s, 0.0)
        state = _State(report.round, report.window, end, changed_at, now, now, now)
        state.used_at, state.registered_at = now - report.idle_s, now
        self.states[incarnation] = state
        return self._note_adopted(incarnation, state, report, now)

    def _note_adopted(
        self,
        incarnation: Incarnation,
        state: _State,
        report: TargetPace,
        now: float,
    ) -> PaceChange:
        if state.is_paced:
            self._draw(incarnation, state, now)
        else:
            state.reported_until = now + ENDED_REPORT_S
        return _build_change(incarnation, state, PaceReason.PEER, report.age_s)

    def build_reports(self, *, now: float) -> tuple[TargetPace, ...]:
        """Return the windows that this host knows, for its digests.

        Parameters
        ----------
        now : float

        Returns
        -------
        tuple of TargetPace
            At most `REPORT_LIMIT`, those that changed last.
        """
        if not self.states:
            return ()
        with self.lock:
            reports = [
                TargetPace(
                    *incarnation,
                    state.round,
                    state.window,
                    now - state.changed_at,
                    now - state.own_used_at,
                )
                for incarnation, state in self.states.items()
                if state.is_paced or now < state.reported_until
            ]
        reports.sort(key=lambda report: report.age_s)
        return tuple(reports[:REPORT_LIMIT])

    def get_window(self, target: Incarnation) -> float:
        """Return the requests that all hosts together may have at a target.

        Parameters
        ----------
        target : (str, int)

        Returns
        -------
        float
            Infinite if it isn't paced.
        """
        state = self.states.get(target)
        return math.inf if state is None or not state.is_paced else state.window

    def describe(self, target: Incarnation, *, now: float) -> TargetPace | None:
        """Return the window of a paced target, for operators.

        Parameters
        ----------
        target : (str, int)
        now : float

        Returns
        -------
        TargetPace or None
            Its `idle_s` counts from the last known use by any host. None if the target
            isn't paced.
        """
        state = self.states.get(target)
        if state is None or not state.is_paced:
            return None
        return TargetPace(
            *target,
            state.round,
            state.window,
            now - state.changed_at,
            now - state.used_at,
        )

    def count_paced(self) -> int:
        """Return the number of paced targets.

        Returns
        -------
        int
        """
        return sum(state.is_paced for state in list(self.states.values()))

    def get_rate(self, target: Incarnation, *, service_s: float) -> float:
        """Return the requests a second that this host may send to a target, estimated.

        Parameters
        ----------
        target : (str, int)
        service_s : float
            Mean seconds of a request there.

        Returns
        -------
        float
            Infinite if it isn't paced.
        """
        return self.get_window(target) / max(service_s, MIN_WAIT_S) / self.hosts

    def get_wait_s(self, target: Target, *, service_s: float, now: float) -> float:
        """Return the seconds until this host may send a request to a target.

        Parameters
        ----------
        target : Target
        service_s : float
            Mean seconds of a request there.
        now : float

        Returns
        -------
        float
            An estimate; 0 if it may now.
        """
        state = self.states.get(target.incarnation) if self.states else None
        if state is None or not state.is_paced:
            return 0.0
        with self.lock:
            if self._has_place(target.id, state, now):
                return 0.0
            wait_s = state.drawn_at + self._get_draw_s(state) - now
            if state.window < 1:
                wait_s = max(wait_s, state.used_at + self.settings.retry_s - now)
            elif self._count_total(target.id, state, now) >= state.window:
                wait_s = max(wait_s, service_s / state.window)
            return max(wait_s, MIN_WAIT_S)

    def try_send(self, request: PacedRequest, *, now: float) -> bool:
        """Reserve a place for a request if its target's window has one for this host.

        Parameters
        ----------
        request : PacedRequest
        now : float

        Returns
        -------
        bool
        """
        if not self.states:
            return True
        with self.lock:
            state = self.states.get(request.target.incarnation)
            if state is None or not state.is_paced:
                return True
            if not self._has_place(request.target.id, state, now):
                state.is_wanted = True
                return False
            state.reserved[request.id] = now
            if state.is_try:
                state.given_try = _GivenTry(
                    request.id, now, state.places, state.used_at, state.own_used_at
                )
                # One request, however soon it ends.
                state.is_try, state.places = False, 0
            state.used_at = state.own_used_at = now
            return True

    def note_sent(self, request: PacedRequest, *, now: float) -> None:
        """End the reservation of a request that is counted at its target now.

        Parameters
        ----------
        request : PacedRequest
        now : float
        """
        state = self.states.get(request.target.incarnation)
        if state is None:
            return
        with self.lock:
            state.reserved.pop(request.id, None)
            if state.given_try is not None and state.given_try.request == request.id:
                state.given_try = None
            if state.is_paced:
                state.unanswered[request.id] = request, now

    def release(self, request: PacedRequest) -> None:
        """Drop a request that won't be sent, or to which no response is awaited.

        Parameters
        ----------
        request : PacedRequest
        """
        state = self.states.get(request.target.incarnation)
        if state is not None:
            with self.lock:
                state.reserved.pop(request.id, None)
                state.unanswered.pop(request.id, None)
                given = state.given_try
                if given is not None and given.request == request.id:
                    _take_back(state, given)

    def note_wanted(self, target: Incarnation) -> None:
        """Record that a request would go to a target if this host had a place there.

        Parameters
        ----------
        target : (str, int)
        """
        state = self.states.get(target)
        if state is not None:
            state.is_wanted = True

    def tick(
        self, get_target: Callable[[str], Target | None], *, now: float
    ) -> list[PaceChange]:
        """Draw the places of the next period, and drop what isn't needed.

        Parameters
        ----------
        get_target : callable
            Returns a registered target by its id.
        now : float

        Returns
        -------
        list of PaceChange
        """
        if not (self.states or self.failures):
            return []
        changes = []
        with self.lock:
            for incarnation, failure in list(self.failures.items()):
                if now < failure.due_at:
                    continue
                del self.failures[incarnation]
                target = _get_incarnation(get_target, incarnation)
                change = target and self._recover(target, failure, now)
                if change:
                    changes.append(change)
            for incarnation, state in list(self.states.items()):
                target = _get_incarnation(get_target, incarnation)
                if target is not None:
                    state.end, state.registered_at = self._get_end(target.slots), now
                elif now - state.registered_at >= UNREGISTERED_MEMORY_S:
                    del self.states[incarnation]
                if not state.is_paced:
                    state.reserved.clear()
                    state.unanswered.clear()
                    continue
                change = self._end_idle(incarnation, state, now)
                change = change or self._find_overdue(incarnation, state, now)
                if change is not None:
                    changes.append(change)
                if not state.is_paced:
                    continue
                if now - state.drawn_at >= self._get_draw_s(state):
                    self._draw(incarnation, state, now)
        return changes

    def _end_idle(
        self, incarnation: Incarnation, state: _State, now: float
    ) -> PaceChange | None:
        """End the pacing of a target that started long ago and wasn't needed since.

        Load pattern: targets and hosts start together, and callers come later.
        """
        is_unused = state.used_at <= state.begun_at and not state.unanswered
        if not is_unused or now - state.begun_at < self.settings.idle_end_s:
            return None
        return self._change(
            incarnation,
            state,
            state.end,
            PaceReason.IDLE,
            now - state.begun_at,
            now,
        )

    def note_registered(self, targets: Iterable[Target], *, now: float) -> None:
        """Record which targets are registered; called again and again.

        Parameters
        ----------
        targets : iterable of Target
        now : float
        """
        if now - self.learned_at < KNOWN_PERIOD_S:
            return
        is_first = self.learned_at == -math.inf
        self.learned_at = now
        with self.lock:
            for target in targets:
                # Later ones are recorded when they begin.
                if is_first or target.incarnation in self.known:
                    self.known[target.incarnation] = now
            for incarnation, registered_at in list(self.known.items()):
                if now - registered_at >= UNREGISTERED_MEMORY_S:
                    del self.known[incarnation]

    def _draw(self, incarnation: Incarnation, state: _State, now: float) -> None:
        """Draw how many requests this host may have at a target until the next draw.

        It may keep those that it has. Of the free places it takes its part; the part
        grows while places that it needs stay free, as other hosts don't need theirs.
        """
        target = incarnation[0]
        own = self.count_own(target)
        total = own + self.count_peers(target)
        taken = max(total - state.last_total, 0)
        if taken:
            state.used_at = now
        self._adapt_eagerness(state, total, taken)
        free = state.window - total
        state.is_try = False
        if free < 1 or state.window < 1:
            state.is_try = now - state.used_at >= self.settings.retry_s
            free = 1.0 if state.is_try else min(free, math.ceil(state.window - 1))
        if not total:
            # Many hosts may be eager to use a target that has no requests.
            free = min(free, 1.0)
        if free >= 0:
            places = own + free * state.eagerness
        else:
            places = own * state.window / total
        state.places = int(places) + (self.random.random() < places % 1)
        state.offered, state.last_total = free, total
        state.is_wanted = False
        state.drawn_at = now

    def _get_draw_s(self, state: _State) -> float:
        """Return the seconds from a draw to the next one."""
        is_idle = not state.last_total and state.used_at <= state.drawn_at
        return self.draw_s * IDLE_DRAW_RATIO if is_idle else self.draw_s

    def _adapt_eagerness(self, state: _State, total: int, taken: int) -> None:
        """Adapt this host's part of the free places to what all hosts took of them."""
        if not state.is_wanted:
            state.eagerness /= EAGER_RATIO
        elif state.offered >= 1:
            was_used = state.used_at > state.drawn_at
            if taken:
                state.eagerness *= min(state.offered / taken, EAGER_RATIO)
            elif was_used and not total:
                # By requests that ended too soon to be counted.
                state.eagerness /= 2 * EAGER_RATIO
            else:
                state.eagerness *= EAGER_RATIO if total else IDLE_EAGER_RATIO
        base = max(1 / self.hosts, self.get_share())
        state.eagerness = min(max(state.eagerness, base), 1.0)

    def _has_place(self, target: str, state: _State, now: float) -> bool:
        own = self.count_own(target) + self._count_reserved(state, now)
        if self.hosts == 1 and own + 1 <= state.window:
            return True
        return own < state.places

    def _count_total(self, target: str, state: _State, now: float) -> int:
        own = self.count_own(target) + self._count_reserved(state, now)
        return own + self.count_peers(target)

    def _count_reserved(self, state: _State, now: float) -> int:
        for request, reserved_at in list(state.reserved.items()):
            if now - reserved_at >= RESERVATION_S:
                del state.reserved[request]
        return len(state.reserved)


def _take_back(state: _State, given: _GivenTry) -> None:
    """Give the try of a request that wasn't sent to the next one."""
    state.given_try = None
    if state.used_at == given.given_at:
        state.used_at = given.used_at
    if state.own_used_at == given.given_at:
        state.own_used_at = given.own_used_at
    if state.drawn_at <= given.given_at:
        state.is_try, state.places = True, given.places


def _get_incarnation(
    get_target: Callable[[str], Target | None], incarnation: Incarnation
) -> Target | None:
    target = get_target(incarnation[0])
    if target is None or target.incarnation != incarnation:
        return None
    return target


def _build_change(
    incarnation: Incarnation, state: _State, reason: PaceReason, data_age_s: float
) -> PaceChange:
    return PaceChange(
        *incarnation, state.window, state.round, reason, data_age_s, state.is_paced
    )
