"""Exponential backoff of failed loads."""

from dataclasses import dataclass
from random import Random

from thornlatch.placement._orders import AdapterVersion
from thornlatch.placement._settings import PlacementSettings

MAX_EXPONENT = 16


@dataclass(frozen=True)
class LoadFailures:
    """Consecutive failed loads of one version on one target.

    Parameters
    ----------
    count : int
    retry_at : float
        Time before which the load isn't retried, in seconds.
    """

    count: int
    retry_at: float


class LoadBackoff:
    """Decides when a failed load may be retried.

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
        """Count a failure and set the time of the next attempt."""
        by_target = self.failures.setdefault(version, {})
        previous = by_target.get(target)
        count = previous.count + 1 if previous else 1
        limit_s = self.settings.retry_min_s * 2.0 ** min(count - 1, MAX_EXPONENT)
        delay_s = min(limit_s, self.settings.retry_max_s)
        delay_s *= self.random.uniform(0.5, 1.0)
        by_target[target] = LoadFailures(count, now + delay_s)

    def note_success(self, version: AdapterVersion) -> None:
        """Reset the failures of `version` on all targets."""
        self.failures.pop(version, None)

    def reset_target(self, target: str) -> None:
        """Reset the failures on a target that has restarted or departed."""
        for version in list(self.failures):
            self.failures[version].pop(target, None)
            if not self.failures[version]:
                del self.failures[version]

    def may_try(self, version: AdapterVersion, target: str, now: float) -> bool:
        """Return whether a load of `version` on `target` may be attempted."""
        failures = self.failures.get(version, {}).get(target)
        return failures is None or now >= failures.retry_at

    def get_retry_after(self, version: AdapterVersion, now: float) -> float | None:
        """Return the seconds to the next attempt if `version` failed on many targets.

        Returns
        -------
        float or None
            None if fewer targets than `failed_targets` are in backoff, so that waiting
            requests need not be refused.
        """
        blocked = [
            failures.retry_at
            for failures in self.failures.get(version, {}).values()
            if failures.retry_at > now
        ]
        if len(blocked) < self.settings.failed_targets:
            return None
        return max(self.settings.retry_min_s, min(blocked) - now)
