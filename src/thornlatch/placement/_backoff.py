"""Exponential backoff of failed loads."""

from dataclasses import dataclass
from random import Random

from thornlatch.placement._orders import AdapterVersion
from thornlatch.placement._settings import PlacementSettings

MAX_EXPONENT = 16


@dataclass(frozen=True)
class LoadFailures:
    """Failures of one version on one target in a row.

    Parameters
    ----------
    count : int
    retry_at : float
        Time before which the load isn't tried again, seconds.
    """

    count: int
    retry_at: float


class LoadBackoff:
    """Tells when a failed load may be tried again.

    Parameters
    ----------
    settings : PlacementSettings
    random : random.Random
        Source of the jitter.
    """

    def __init__(self, settings: PlacementSettings, random: Random) -> None:
        self.settings = settings
        self.random = random
        self.failures: dict[AdapterVersion, dict[str, LoadFailures]] = {}

    def note_failure(self, version: AdapterVersion, target: str, now: float) -> None:
        """Count a failure and choose the time of the next try."""
        by_target = self.failures.setdefault(version, {})
        previous = by_target.get(target)
        count = previous.count + 1 if previous else 1
        limit = self.settings.retry_min_s * 2.0 ** min(count - 1, MAX_EXPONENT)
        delay = min(limit, self.settings.retry_max_s)
        delay *= self.random.uniform(0.5, 1.0)
        by_target[target] = LoadFailures(count, now + delay)

    def note_success(self, version: AdapterVersion) -> None:
        """Forget the failures of `version`."""
        self.failures.pop(version, None)

    def forget_target(self, target: str) -> None:
        """Forget the failures on a target that began a new life or is gone."""
        for version in list(self.failures):
            self.failures[version].pop(target, None)
            if not self.failures[version]:
                del self.failures[version]

    def may_try(self, version: AdapterVersion, target: str, now: float) -> bool:
        """Return whether a load of `version` on `target` may be tried."""
        failures = self.failures.get(version, {}).get(target)
        return failures is None or now >= failures.retry_at

    def get_retry_after(self, version: AdapterVersion, now: float) -> float | None:
        """Return the seconds to the next try if `version` failed on many targets.

        Returns
        -------
        float or None
            None if waiting requests need not be refused.
        """
        blocked = [
            failures.retry_at
            for failures in self.failures.get(version, {}).values()
            if failures.retry_at > now
        ]
        if len(blocked) < self.settings.failed_targets:
            return None
        return max(self.settings.retry_min_s, min(blocked) - now)
