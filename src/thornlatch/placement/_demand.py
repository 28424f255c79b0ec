"""Estimate of demand by adapter version, with exponential decay."""

import math

from thornlatch.placement._orders import AdapterVersion

RESCALE_EXPONENT = 200.0


class DecayedRates:
    """Event rates by adapter version that decay with one half-life.

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
        self.counts: dict[AdapterVersion, float] = {}
        self.factor = 0.0
        self.factor_at = -1.0

    def add(self, version: AdapterVersion, amount: float, now: float) -> None:
        """Count `amount` events of `version` at `now`."""
        exponent = (now - self.reference) / self.half_life_s
        if exponent > RESCALE_EXPONENT:
            self._rescale(now)
            exponent = 0.0
        gain = amount * 2.0**exponent
        self.counts[version] = self.counts.get(version, 0.0) + gain

    def get_rate(self, version: AdapterVersion, now: float) -> float:
        """Return the estimated events per second."""
        if now != self.factor_at:
            decay = 2.0 ** ((self.reference - now) / self.half_life_s)
            self.factor = decay * math.log(2.0) / self.half_life_s
            self.factor_at = now
        return self.counts.get(version, 0.0) * self.factor

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
    """

    def __init__(
        self, half_life_s: float, recent_half_life_s: float, recent_weight: float
    ) -> None:
        self.long = DecayedRates(half_life_s)
        self.recent = DecayedRates(recent_half_life_s)
        self.recent_weight = recent_weight
        self.rates: dict[AdapterVersion, float] = {}
        self.rates_at = -1.0

    def add(self, version: AdapterVersion, now: float) -> None:
        """Count one request."""
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

    def iter_top(self, count: int, now: float) -> list[AdapterVersion]:
        """Return the `count` versions with the highest estimate, highest first."""
        versions = sorted(
            self.long.counts,
            key=lambda version: (-self.get_rate(version, now), version),
        )
        return versions[:count]
