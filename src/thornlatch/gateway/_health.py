"""Failures, load and service times of each target, as this host observed them."""

import copy
import threading
from dataclasses import dataclass, field
from random import Random

from thornlatch.fleet import Target
from thornlatch.gateway._ports import ReportedLoad
from thornlatch.gateway._settings import ForwardingSettings
from thornlatch.gateway._target_limits import TargetLimits, TargetLimitSettings
from thornlatch.gateway._target_speeds import SpeedSettings, TargetSpeeds
from thornlatch.pace import Pacer, PaceSettings

SMOOTHING_WEIGHT = 0.1  # of the latest observation in a moving average
INITIAL_SERVICE_S = 1.5  # per request, until one has been observed
FAILURE_RATIO_LIMIT = 0.3  # of requests; targets at or above it are avoided
INITIAL_TOKEN_PREFILL_S = 3e-5  # until prompts have been observed
MIN_WORK_TOKENS = 50  # of a generation; shorter ones don't show the time per token
MIN_PREFILL_TOKENS = 300  # shorter prompts don't show the time per token
# Fast observations weigh more: they come from prompts that didn't queue behind others.
FASTER_PREFILL_WEIGHT, SLOWER_PREFILL_WEIGHT = 0.2, 0.01
# Hosts and callers return to a target within this part of its pause after the pause's
# end, or all would return at once.
RETURN_SPREAD_RATIO, RETURN_SPREAD_LIMIT_S = 0.2, 2.0
REPORTED_LOAD_AGE_LIMIT_S = 0.5  # a report dates from the target's last answer


@dataclass
class _Observations:
    failures: int = 0
    avoid_until: float = float("-inf")
    failed_at: float = float("-inf")  # last failure for which it is avoided
    failure_ratio: float = 0.0
    load: ReportedLoad | None = None
    load_at: float = float("-inf")
    paused_until: float = float("-inf")
    # Names of headers that couldn't be read and have been logged.
    unreadable: set[str] = field(default_factory=set)
    # When it began to be avoided, and to pause.
    avoided_at: float = float("-inf")
    paused_at: float = float("-inf")


@dataclass(frozen=True)
class TargetRecord:
    """What a host observed of a target, for operators.

    Parameters
    ----------
    failures : int
        Failures in a row.
    avoid_s : float
        Seconds for which it is still avoided.
    avoided_ago_s : float or None
        Seconds since that began; None if it isn't avoided.
    pause_s : float
        Seconds for which it still gets no requests.
    paused_ago_s : float or None
        Seconds since it asked for that; None if it didn't.
    load_ago_s : float or None
        Age of its last report of load; None without one.
    """

    failures: int = 0
    avoid_s: float = 0.0
    avoided_ago_s: float | None = None
    pause_s: float = 0.0
    paused_ago_s: float | None = None
    load_ago_s: float | None = None


def draw_return_delay(random: Random, pause_s: float) -> float:
    """Return the seconds after a pause's end at which to return to its target.

    Parameters
    ----------
    random : random.Random
    pause_s : float

    Returns
    -------
    float
    """
    spread_s = min(pause_s * RETURN_SPREAD_RATIO, RETURN_SPREAD_LIMIT_S)
    return random.uniform(0.0, spread_s)


class TargetHealth:
    """Tracks the health of targets; safe for use by several threads.

    Parameters
    ----------
    settings : ForwardingSettings
    random : random.Random or None
        Source of the differences between hosts that return to a target; None for one
        that is seeded by the system.
    limits : TargetLimits or None
        Limits of the targets; None for limits of which no other host has a share.
    speed_settings : SpeedSettings
    pacer : Pacer or None
        Windows of targets that started or recovered; None to pace none.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        *,
        random: Random | None = None,
        limits: TargetLimits | None = None,
        speed_settings: SpeedSettings = SpeedSettings(),  # noqa: B008
        pacer: Pacer | None = None,
    ) -> None:
        self.settings = settings
        self.random = random or Random()
        self.limits = limits or TargetLimits(TargetLimitSettings())
        self.speeds = TargetSpeeds(speed_settings)
        self.pacer = pacer or Pacer(PaceSettings())
        self.lock = threading.Lock()
        self.observations: dict[str, _Observations] = {}
        self.service_s: dict[str, float] = {}
        self.prefill_s: dict[str, float] = {}
        # Seconds for each token of a generation at a target of the usual speed.
        self.token_s: dict[str, float] = {}
        self.last_pause_ends_at = float("-inf")
        # Starts of the targets' incarnations, in Unix milliseconds.
        self.started_ms: dict[str, int] = {}
        self.departed: set[str] = set()

    def note_success(
        self, target: str, load: ReportedLoad | None, *, now: float
    ) -> None:
        """Record an answer.

        Parameters
        ----------
        target : str
        load : ReportedLoad or None
            What the target reported; None if nothing.
        now : float
        """
        with self.lock:
            record = self.observations.setdefault(target, _Observations())
            record.failures = 0
            record.failure_ratio *= 1 - SMOOTHING_WEIGHT
            if load is not None:
                record.load, record.load_at = load, now
        if load is not None and load.work_ratio is not None:
            self.speeds.note(target, load.work_ratio, now=now)

    def note_failure(self, target: str, *, now: float, is_unreachable: bool) -> float:
        """Record a failure and return for how long the target is avoided.

        Parameters
        ----------
        target : str
        now : float
        is_unreachable : bool
            Whether there was no valid answer from the target, which is then avoided at
            once. Other failures lead to that only if they are frequent.

        Returns
        -------
        float
            Seconds; 0 if the target isn't avoided.
        """
        settings = self.settings
        with self.lock:
            record = self.observations.setdefault(target, _Observations())
            record.failure_ratio += SMOOTHING_WEIGHT * (1 - record.failure_ratio)
            if not is_unreachable and record.failure_ratio < FAILURE_RATIO_LIMIT:
                return 0.0
            record.failures += 1
            avoid_s = settings.avoid_s * 2 ** min(record.failures - 1, 8)
            avoid_s = min(avoid_s, settings.avoid_limit_s)
            if now >= record.avoid_until:
                record.avoided_at = now
            record.avoid_until = now + avoid_s
            record.failed_at = now
            return avoid_s

    def note_pause(self, target: str, pause_s: float, *, now: float) -> None:
        """Record that a target asked for a pause; the one that ends last holds.

        This host's return is delayed a little beyond the end.

        Parameters
        ----------
        target : str
        pause_s : float
            Seconds from now.
        now : float
        """
        with self.lock:
            record = self.observations.setdefault(target, _Observations())
            until = now + pause_s
            if until > record.paused_until:
                if now >= record.paused_until:
                    record.paused_at = now
                delay_s = draw_return_delay(self.random, pause_s)
                record.paused_until = until + delay_s
            self.last_pause_ends_at = max(self.last_pause_ends_at, record.paused_until)

    def get_pause_s(self, target: str, *, now: float) -> float:
        """Return the seconds for which a target still wants no requests.

        Parameters
        ----------
        target : str
        now : float

        Returns
        -------
        float
            0 if it takes requests.
        """
        if now >= self.last_pause_ends_at:
            return 0.0
        record = self.observations.get(target)
        return 0.0 if record is None else max(record.paused_until - now, 0.0)

    def get_closed_s(self, target: Target, *, now: float) -> float:
        """Return the seconds until this host may send a request to a target.

        Parameters
        ----------
        target : Target
        now : float

        Returns
        -------
        float
            The rest of its pause, or the wait because of its limit; 0 for neither.
        """
        pause_s = self.get_pause_s(target.id, now=now)
        return max(pause_s, self.limits.get_wait_s(target.incarnation, now=now))

    def note_unreadable(self, target: str, header: str) -> bool:
        """Record that a header of a target couldn't be read.

        Parameters
        ----------
        target, header : str

        Returns
        -------
        bool
            Whether it is the first time.
        """
        with self.lock:
            record = self.observations.setdefault(target, _Observations())
            if header in record.unreadable:
                return False
            record.unreadable.add(header)
            return True

    def note_service(self, service: str, elapsed_s: float) -> None:
        """Record the time from sending a request to the end of its answer.

        Parameters
        ----------
        service : str
        elapsed_s : float
        """
        with self.lock:
            mean_s = self.service_s.get(service, INITIAL_SERVICE_S)
            self.service_s[service] = mean_s + SMOOTHING_WEIGHT * (elapsed_s - mean_s)

    def note_work(
        self, target: str, service: str, tokens: int, elapsed_s: float, *, now: float
    ) -> None:
        """Record how long a target took for a generation.

        Generations of fewer than `MIN_WORK_TOKENS` tokens are ignored, as most of their
        time is that of the prompt.

        Parameters
        ----------
        target, service : str
        tokens : int
            Declared size of the generation.
        elapsed_s : float
            Seconds from sending the request to the end of its answer.
        now : float
        """
        if tokens < MIN_WORK_TOKENS:
            return
        token_s = elapsed_s / tokens / self.speeds.get_ratio(target, now=now)
        with self.lock:
            mean_s = self.token_s.get(service, token_s)
            self.token_s[service] = mean_s + SMOOTHING_WEIGHT * (token_s - mean_s)

    def estimate_work_s(self, service: str, tokens: int | None) -> float:
        """Return the seconds that a request takes at a target of the usual speed.

        Parameters
        ----------
        service : str
        tokens : int or None
            Declared size of a generation; None for other requests.

        Returns
        -------
        float
        """
        token_s = self.token_s.get(service)
        if tokens is None or token_s is None:
            return self.get_service_s(service)
        return tokens * token_s

    def note_prefill(self, service: str, tokens: int, elapsed_s: float) -> None:
        """Record the time from sending a prompt to the first event of its answer.

        Prompts of fewer than `MIN_PREFILL_TOKENS` tokens are ignored.

        Parameters
        ----------
        service : str
        tokens : int
        elapsed_s : float
        """
        if tokens < MIN_PREFILL_TOKENS:
            return
        with self.lock:
            mean_s = self.prefill_s.get(service, INITIAL_TOKEN_PREFILL_S)
            token_s = elapsed_s / tokens
            weight = (
                FASTER_PREFILL_WEIGHT if token_s < mean_s else SLOWER_PREFILL_WEIGHT
            )
            # The bound keeps a single slow answer from dominating the average.
            self.prefill_s[service] = mean_s + weight * (
                min(token_s, 2 * mean_s) - mean_s
            )

    def get_prefill_s(self, service: str) -> float:
        """Return the seconds that a service's targets take to read a prompt token.

        Parameters
        ----------
        service : str

        Returns
        -------
        float
        """
        return self.prefill_s.get(service, INITIAL_TOKEN_PREFILL_S)

    def get_service_s(self, service: str) -> float:
        """Return the mean time of a request at a service's targets, in seconds.

        Parameters
        ----------
        service : str

        Returns
        -------
        float
        """
        return self.service_s.get(service, INITIAL_SERVICE_S)

    def get_place_wait_s(self, target: Target, *, now: float) -> float:
        """Return the seconds until this host may send a request to a paced target.

        Parameters
        ----------
        target : Target
        now : float

        Returns
        -------
        float
            An estimate; 0 if it may now, or if the target isn't paced.
        """
        service_s = self.get_service_s(target.service)
        return self.pacer.get_wait_s(target, service_s=service_s, now=now)

    def is_avoided(self, target: str, *, now: float) -> bool:
        """Return whether a target failed recently and is avoided.

        Parameters
        ----------
        target : str
        now : float

        Returns
        -------
        bool
        """
        record = self.observations.get(target)
        return record is not None and now < record.avoid_until

    def describe(self, target: str, *, now: float) -> TargetRecord:
        """Return when a target is used again, and the ages of what is known of it.

        Parameters
        ----------
        target : str
        now : float

        Returns
        -------
        TargetRecord
        """
        record = self.observations.get(target)
        if record is None:
            return TargetRecord()
        return TargetRecord(
            record.failures,
            max(record.avoid_until - now, 0.0),
            now - record.avoided_at if now < record.avoid_until else None,
            max(record.paused_until - now, 0.0),
            now - record.paused_at if now < record.paused_until else None,
            now - record.load_at if record.load is not None else None,
        )

    def build_copy(self) -> "TargetHealth":
        """Return a view for decisions that aren't acted on.

        Returns
        -------
        TargetHealth
            It has a copy of the limits, as even a look at these refills them.
        """
        view = copy.copy(self)
        view.limits = self.limits.build_copy()
        view.pacer = self.pacer.build_copy()
        return view

    def list_avoided(self, *, now: float) -> tuple[str, ...]:
        """Return the ids of the avoided targets, for this host's digests.

        Parameters
        ----------
        now : float

        Returns
        -------
        tuple of str
        """
        with self.lock:
            return tuple(
                target
                for target, record in self.observations.items()
                if now < record.avoid_until
            )

    def get_avoided_at(self, target: str) -> float:
        """Return when a target last failed so that it is avoided.

        Parameters
        ----------
        target : str

        Returns
        -------
        float
            Minus infinity if it hasn't.
        """
        record = self.observations.get(target)
        return float("-inf") if record is None else record.failed_at

    def get_reported_requests(self, target: str, *, now: float) -> int:
        """Return the number of requests that a target reported.

        Parameters
        ----------
        target : str
        now : float

        Returns
        -------
        int
            Running and waiting requests; 0 without a recent report.
        """
        record = self.observations.get(target)
        if (
            record is None
            or record.load is None
            or now - record.load_at >= REPORTED_LOAD_AGE_LIMIT_S
        ):
            return 0
        return (record.load.running or 0) + (record.load.waiting or 0)

    def begin(self, target: str, started_ms: int) -> None:
        """Drop the observations of a target's former incarnation.

        Parameters
        ----------
        target : str
        started_ms : int
            Start of the incarnation that is registered, in Unix milliseconds.
        """
        with self.lock:
            if self.started_ms.get(target) != started_ms:
                self.observations.pop(target, None)
                self.speeds.forget(target)
            self.started_ms[target] = started_ms
            self.departed.discard(target)

    def forget(self, target: str, *, now: float) -> None:
        """Drop the observations of a target whose registration was removed.

        Its pause goes on, since the same incarnation may be registered again.

        Parameters
        ----------
        target : str
        now : float
        """
        with self.lock:
            record = self.observations.pop(target, None)
            if record is not None and self.started_ms.get(target):
                self.observations[target] = _Observations(
                    paused_until=record.paused_until, paused_at=record.paused_at
                )
            self.speeds.forget(target)
            self.departed.add(target)
            self._drop_departed(now)

    def _drop_departed(self, now: float) -> None:
        for target in list(self.departed):
            record = self.observations.get(target)
            if record is None or record.paused_until <= now:
                self.observations.pop(target, None)
                self.started_ms.pop(target, None)
                self.departed.remove(target)
