"""What the owner of a pool knows of one target's capacity."""

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median_low

from thornlatch.configuration import Target
from thornlatch.dispatch._deaths import DeathReports
from thornlatch.dispatch._estimate import MovingAverage
from thornlatch.dispatch._messages import Outcome
from thornlatch.dispatch._settings import DispatchSettings
from thornlatch.placement import AdapterVersion

SPEED_WEIGHT = 0.1
SPEED_SAMPLES = 5


@dataclass(frozen=True)
class TargetReport:
    """What a target says of itself.

    Parameters
    ----------
    incarnation : str
        Identifies the life of the target's process.
    loaded : tuple of AdapterVersion
    running : int
        Requests in the batch.
    waiting : int
        Requests in the target's own queue.
    snapshot_at : float
        Monotonic time of this host at which the report was asked for, or the time of
        receipt less the known lag; the report holds nothing older. Seconds.
    in_use : tuple of AdapterVersion or None
        Versions that running and waiting requests use; None if the target doesn't say.
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
        self.token_s = MovingAverage(SPEED_WEIGHT)
        self.slowness = 1.0
        self.failures = 0
        self.rests_until = 0.0
        self.is_leaving = False
        self.incarnation = ""
        self.deaths = DeathReports(settings.death_check_s)
        self.names_uses: bool | None = None

    def is_open(self, now: float) -> bool:
        """Return whether the target may get new work."""
        is_held = now < self.rests_until or self.deaths.is_holding(now)
        return not self.is_leaving and not is_held

    def count_usable(self, now: float) -> int:
        """Return the batch slots that may be used at `now`."""
        if not self.is_open(now):
            return 0
        slots = self.target.batch_slots
        if self.failures >= self.settings.failure_limit:
            return 1
        if self.slowness > self.settings.slow_ratio:
            return max(1, int(slots / self.slowness))
        return slots

    def count_free(self, now: float) -> int:
        """Return the batch slots that may be granted at `now`."""
        return self.count_usable(now) - len(self.grants)

    def note_answer(
        self, outcome: Outcome, tokens: float, duration_s: float, now: float
    ) -> None:
        """Learn from the end of a use."""
        if outcome is Outcome.OK:
            self.failures = 0
            self.token_s.add(duration_s / max(1.0, tokens))
        elif outcome in (Outcome.FAILED, Outcome.UNKNOWN):
            self.note_failure(now)
        elif outcome is Outcome.BUSY:
            self.rest(self.settings.retry_min_s, now)

    def note_life(self, report: TargetReport) -> None:
        """Learn from a report which life of its process the target is in."""
        if self.incarnation not in ("", report.incarnation):
            self.failures = 0
            self.deaths.clear()
        self.incarnation = report.incarnation
        self.names_uses = report.in_use is not None
        self.deaths.note_answer(report.snapshot_at)

    def note_failure(self, now: float) -> None:
        """Count a failure; several in a row make the target rest."""
        self.failures += 1
        excess = self.failures - self.settings.failure_limit
        if excess >= 0:
            rest_s = self.settings.failure_rest_s * 2.0 ** min(excess, 16)
            self.rest(min(rest_s, self.settings.failure_rest_max_s), now)

    def fail(self, now: float) -> None:
        """Note that the target is known to be down."""
        self.failures = max(self.failures, self.settings.failure_limit - 1)
        self.note_failure(now)

    def rest(self, rest_s: float, now: float) -> None:
        """Send no new work for `rest_s` seconds."""
        self.rests_until = max(self.rests_until, now + rest_s)


def compare_speeds(states: Iterable[TargetState]) -> None:
    """Set each target's slowness relative to the pool's median."""
    measured = [state for state in states if state.token_s.count >= SPEED_SAMPLES]
    if len(measured) < 2:
        return
    typical = median_low(state.token_s.value for state in measured)
    for state in measured:
        state.slowness = state.token_s.value / max(typical, 1e-9)
