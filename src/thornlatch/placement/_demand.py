"""Estimate of demand by adapter version, with exponential decay."""

import math
from collections.abc import Callable, Hashable
from statistics import median_low
from typing import Generic, TypeVar

from thornlatch.placement._orders import AdapterVersion

RESCALE_EXPONENT = 200.0
EXCESS_TOLERANCE = 1.5

K = TypeVar("K", bound=Hashable)


class DecayedRates(Generic[K]):
    """Event rates by key that decay with one half-life.

    Counts are kept in the units of a moving reference time, so that reading needs no
    update of all versions.

    Parameters
    ----------
    half_life_s : float
        Seconds.
    """

    def __init__(self, half_life_s: float) -> None:
        self.half_life_s = half_life_s
        self.reference = 0.0
        self.counts: dict[K, float] = {}
        self.factor = 0.0
        self.factor_at = -1.0

    def add(self, key: K, amount: float, now: float) -> None:
        """Count `amount` events of `key` at `now`."""
        exponent = (now - self.reference) / self.half_life_s
        if exponent > RESCALE_EXPONENT:
            self._rescale(now)
            exponent = 0.0
        gain = amount * 2.0**exponent
        self.counts[key] = self.counts.get(key, 0.0) + gain

    def get_rate(self, key: K, now: float) -> float:
        """Return the estimated events per second."""
        if now != self.factor_at:
            decay = 2.0 ** ((self.reference - now) / self.half_life_s)
            self.factor = decay * math.log(2.0) / self.half_life_s
            self.factor_at = now
        return self.counts.get(key, 0.0) * self.factor

    def _rescale(self, now: float) -> None:
        factor = 2.0 ** ((self.reference - now) / self.half_life_s)
        self.counts = {
            version: count * factor
            for version, count in self.counts.items()
            if count * factor > 1e-6
        }
        self.reference = now
        self.factor_at = -1.0


class DemandEstimate:
    """Requests per second by adapter version, from a long and a short memory.

    Parameters
    ----------
    half_life_s : float
        Half-life of the long memory in seconds.
    recent_half_life_s : float
        Half-life of the short memory in seconds.
    recent_weight : float
        Weight of the short memory relative to the long one.
    get_weight : callable
        Weight of an organisation by name.
    """

    def __init__(
        self,
        half_life_s: float,
        recent_half_life_s: float,
        recent_weight: float,
        get_weight: Callable[[str], float],
    ) -> None:
        self.long: DecayedRates[AdapterVersion] = DecayedRates(half_life_s)
        self.recent: DecayedRates[AdapterVersion] = DecayedRates(recent_half_life_s)
        self.organisations: DecayedRates[str] = DecayedRates(recent_half_life_s)
        self.get_weight = get_weight
        self.owners: dict[AdapterVersion, str] = {}
        self.scales: dict[str, float] = {}
        self.scales_at = -1.0
        self.recent_weight = recent_weight
        self.rates: dict[AdapterVersion, float] = {}
        self.rates_at = -1.0

    def add(self, version: AdapterVersion, organisation: str, now: float) -> None:
        """Count one request of an organisation."""
        self.owners[version] = organisation
        self.organisations.add(organisation, 1.0, now)
        self.long.add(version, 1.0, now)
        self.recent.add(version, 1.0, now)
        self.rates.pop(version, None)

    def get_rate(self, version: AdapterVersion, now: float) -> float:
        """Return the weighted estimate in requests per second."""
        if now != self.rates_at:
            self.rates.clear()
            self.rates_at = now
        rate = self.rates.get(version)
        if rate is None:
            recent = self.recent.get_rate(version, now) * self.recent_weight
            rate = self.long.get_rate(version, now) + recent
            self.rates[version] = rate
        return rate

    def get_value(self, version: AdapterVersion, now: float) -> float:
        """Return the rate, cut back if its organisation floods the pool.

        An organisation far above its weight's share of the requests must not push the
        adapters of the others out.
        """
        if now != self.scales_at:
            self.scales = self._make_scales(now)
            self.scales_at = now
        scale = self.scales.get(self.owners.get(version, ""), 1.0)
        return self.get_rate(version, now) * scale

    def _make_scales(self, now: float) -> dict[str, float]:
        levels = {
            name: self.organisations.get_rate(name, now) / self.get_weight(name)
            for name in self.organisations.counts
        }
        if not levels:
            return {}
        typical = median_low(levels.values())
        return {
            name: typical / level
            for name, level in levels.items()
            if level > typical * EXCESS_TOLERANCE
        }

    def iter_top(self, count: int, now: float) -> list[AdapterVersion]:
        """Return the `count` versions with the highest estimate, highest first."""
        versions = sorted(
            self.long.counts,
            key=lambda version: (-self.get_rate(version, now), version),
        )
        return versions[:count]
