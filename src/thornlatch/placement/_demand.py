"""Estimates of demand by adapter version, with exponential decay."""

import math
from collections.abc import Callable, Hashable
from statistics import median_low
from typing import Generic, TypeVar

from thornlatch.placement._orders import AdapterVersion

RESCALE_EXPONENT = 200.0  # half-lives since the reference time
EXCESS_TOLERANCE = 1.5  # relative to the organisations' median demand

K = TypeVar("K", bound=Hashable)


class DecayedRates(Generic[K]):
    """Event rates by key that decay exponentially.

    Counts are scaled to a reference time, so that reading one rate doesn't require an
    update of all counts.

    Parameters
    ----------
    half_life_s : float
        Half-life in seconds.
    """

    def __init__(self, half_life_s: float) -> None:
        self.half_life_s = half_life_s
        self.reference_at = 0.0
        self.counts: dict[K, float] = {}
        self.rate_per_count = 0.0
        self.rate_per_count_at = -1.0

    def add(self, key: K, amount: float, now: float) -> None:
        """Add `amount` events of `key` at `now`."""
        exponent = (now - self.reference_at) / self.half_life_s
        if exponent > RESCALE_EXPONENT:
            self._rescale(now)
            exponent = 0.0
        scaled_amount = amount * 2.0**exponent
        self.counts[key] = self.counts.get(key, 0.0) + scaled_amount

    def get_rate(self, key: K, now: float) -> float:
        """Return the estimated events per second."""
        if now != self.rate_per_count_at:
            decay = 2.0 ** ((self.reference_at - now) / self.half_life_s)
            self.rate_per_count = decay * math.log(2.0) / self.half_life_s
            self.rate_per_count_at = now
        return self.counts.get(key, 0.0) * self.rate_per_count

    def _rescale(self, now: float) -> None:
        factor = 2.0 ** ((self.reference_at - now) / self.half_life_s)
        self.counts = {
            key: count * factor
            for key, count in self.counts.items()
            if count * factor > 1e-6
        }
        self.reference_at = now
        self.rate_per_count_at = -1.0


class DemandEstimate:
    """Requests per second by adapter version, estimated over a long and a short term.

    Parameters
    ----------
    half_life_s : float
        Half-life of the long-term estimate in seconds.
    recent_half_life_s : float
        Half-life of the short-term estimate in seconds.
    recent_weight : float
        Weight of the short-term estimate relative to the long-term one.
    get_weight : callable
        Returns the weight of an organisation by name.
    """

    def __init__(
        self,
        half_life_s: float,
        recent_half_life_s: float,
        recent_weight: float,
        get_weight: Callable[[str], float],
    ) -> None:
        self.long_term: DecayedRates[AdapterVersion] = DecayedRates(half_life_s)
        self.short_term: DecayedRates[AdapterVersion] = DecayedRates(recent_half_life_s)
        self.organisations: DecayedRates[str] = DecayedRates(recent_half_life_s)
        self.get_weight = get_weight
        self.organisation_by_version: dict[AdapterVersion, str] = {}
        self.scales: dict[str, float] = {}
        self.scales_at = -1.0
        self.recent_weight = recent_weight
        self.rates: dict[AdapterVersion, float] = {}
        self.rates_at = -1.0

    def add(self, version: AdapterVersion, organisation: str, now: float) -> None:
        """Count one request of an organisation."""
        self.organisation_by_version[version] = organisation
        self.organisations.add(organisation, 1.0, now)
        self.long_term.add(version, 1.0, now)
        self.short_term.add(version, 1.0, now)
        self.rates.pop(version, None)

    def get_rate(self, version: AdapterVersion, now: float) -> float:
        """Return the weighted sum of both estimates in requests per second."""
        if now != self.rates_at:
            self.rates.clear()
            self.rates_at = now
        rate = self.rates.get(version)
        if rate is None:
            short_term = self.short_term.get_rate(version, now) * self.recent_weight
            rate = self.long_term.get_rate(version, now) + short_term
            self.rates[version] = rate
        return rate

    def get_value(self, version: AdapterVersion, now: float) -> float:
        """Return the rate, reduced if the version's organisation exceeds its share.

        An organisation with far more requests than its weight allows must not evict the
        adapters of other organisations.
        """
        if now != self.scales_at:
            self.scales = self._compute_scales(now)
            self.scales_at = now
        scale = self.scales.get(self.organisation_by_version.get(version, ""), 1.0)
        return self.get_rate(version, now) * scale

    def _compute_scales(self, now: float) -> dict[str, float]:
        levels = {
            name: self.organisations.get_rate(name, now) / self.get_weight(name)
            for name in self.organisations.counts
        }
        if not levels:
            return {}
        median_level = median_low(levels.values())
        return {
            name: median_level / level
            for name, level in levels.items()
            if level > median_level * EXCESS_TOLERANCE
        }

    def list_top(self, count: int, now: float) -> list[AdapterVersion]:
        """Return the `count` versions with the highest estimate, highest first."""
        versions = sorted(
            self.long_term.counts,
            key=lambda version: (-self.get_rate(version, now), version),
        )
        return versions[:count]
