"""Capacity, speed and health of targets, as the owner of their pool knows them."""

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median_low

from thornlatch.configuration import Target
from thornlatch.dispatch._estimate import MovingAverage
from thornlatch.dispatch._failure_reports import TargetFailureReports
from thornlatch.dispatch._messages import Outcome
from thornlatch.dispatch._settings import DispatchSettings
from thornlatch.placement import AdapterVersion

SPEED_SAMPLE_WEIGHT = 0.1
MIN_SPEED_SAMPLES = 5


@dataclass(frozen=True)
class TargetReport:
    """Status report of a target.

    Parameters
    ----------
    incarnation : str
        Incarnation of the target's process, which is new with each start.
    loaded : tuple of AdapterVersion
    running : int
        Requests in the batch.
    waiting : int
        Requests in the target's own queue.
    snapshot_at : float
        Earliest time from which the content can date, seconds on this host's monotonic
        clock: the start of the poll less the age that the target reported.
    in_use : tuple of AdapterVersion or None
        Versions that running and waiting requests use; None if the target doesn't
        report them.
    """

    incarnation: str
    loaded: tuple[AdapterVersion, ...]
    running: int
    waiting: int
    snapshot_at: float
    in_use: tuple[AdapterVersion, ...] | None = None


class TargetState:
    """Capacity, speed and health of one target.

    Parameters
    ----------
    settings : DispatchSettings
    target : Target
    """

    def __init__(self, settings: DispatchSettings, target: Target) -> None:
        self.settings = settings
        self.target = target
        self.grants: set[str] = set()
        self.token_s = MovingAverage(SPEED_SAMPLE_WEIGHT)
        self.slowness = 1.0
        self.failures = 0
        self.suspended_until = 0.0
        self.is_leaving = False
        self.incarnation = ""
        self.failure_reports = TargetFailureReports(settings.death_check_s)
        self.reports_in_use: bool | None = None

    def is_open(self, now: float) -> bool:
        """Return whether the target may get new work."""
        is_blocked = now < self.suspended_until or self.failure_reports.blocks_new_work(
            now
        )
        return not self.is_leaving and not is_blocked

    def count_usable(self, now: float) -> int:
        """Return the number of batch slots that may be used at `now`.

        A target with too many failures in a row gets one slot as a probe; a slow one
        gets fewer slots in proportion to its slowness.
        """
        if not self.is_open(now):
            return 0
        slots = self.target.batch_slots
        if self.failures >= self.settings.failure_limit:
            return 1
        if self.slowness > self.settings.slow_ratio:
            return max(1, int(slots / self.slowness))
        return slots

    def count_free(self, now: float) -> int:
        """Return the number of batch slots that may be granted at `now`."""
        return self.count_usable(now) - len(self.grants)

    def record_use(
        self, outcome: Outcome, tokens: float, duration_s: float, now: float
    ) -> None:
        """Update speed and failures from the end of a use.

        Parameters
        ----------
        outcome : Outcome
        tokens : float
        duration_s : float
        now : float
            Seconds.
        """
        if outcome is Outcome.OK:
            self.failures = 0
            self.token_s.add(duration_s / max(1.0, tokens))
        elif outcome in (Outcome.FAILED, Outcome.UNKNOWN):
            self.note_failure(now)
        elif outcome is Outcome.BUSY:
            self.suspend(self.settings.retry_min_s, now)

    def apply_report(self, report: TargetReport) -> None:
        """Apply a status report.

        A new incarnation clears the failure count and the failure reports, but ends no
        suspension.
        """
        if self.incarnation not in ("", report.incarnation):
            self.failures = 0
            self.failure_reports.clear()
        self.incarnation = report.incarnation
        self.reports_in_use = report.in_use is not None
        self.failure_reports.note_response(report.snapshot_at)

    def note_failure(self, now: float) -> None:
        """Count a failure; at `failure_limit` in a row the target is suspended.

        The suspension doubles with each further failure, up to `failure_rest_max_s`.
        """
        self.failures += 1
        excess = self.failures - self.settings.failure_limit
        if excess >= 0:
            suspension_s = self.settings.failure_rest_s * 2.0 ** min(excess, 16)
            self.suspend(min(suspension_s, self.settings.failure_rest_max_s), now)

    def mark_down(self, now: float) -> None:
        """Suspend the target, which is known to be down."""
        self.failures = max(self.failures, self.settings.failure_limit - 1)
        self.note_failure(now)

    def suspend(self, duration_s: float, now: float) -> None:
        """Grant no new work for `duration_s` seconds."""
        self.suspended_until = max(self.suspended_until, now + duration_s)


def compare_speeds(states: Iterable[TargetState]) -> None:
    """Set each target's slowness relative to the pool's median time per token.

    Targets with fewer than `MIN_SPEED_SAMPLES` samples are left out; nothing is set if
    fewer than two remain.
    """
    measured = [state for state in states if state.token_s.count >= MIN_SPEED_SAMPLES]
    if len(measured) < 2:
        return
    median_s = median_low(state.token_s.value for state in measured)
    for state in measured:
        state.slowness = state.token_s.value / max(median_s, 1e-9)
