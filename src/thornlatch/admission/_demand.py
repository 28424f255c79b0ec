"""Estimate of the demand for a key at one host."""

from math import exp


class DemandEstimate:
    """Exponentially decaying average of requested microtokens per second.

    Parameters
    ----------
    time_s : float
        Time constant in seconds.
    """

    def __init__(self, time_s: float) -> None:
        self.time_s = time_s
        self.rate = 0.0
        self.updated_at = 0.0

    def record(self, amount: int, *, now: float) -> None:
        """Add the microtokens that a request costs."""
        self.rate = self.compute_rate(now=now) + amount / self.time_s
        self.updated_at = now

    def compute_rate(self, *, now: float) -> int:
        """Return the estimate in microtokens per second."""
        age_s = max(0.0, now - self.updated_at)
        rate = int(self.rate * exp(-age_s / self.time_s))
        # Demand below one token per second is not worth a report.
        return rate if rate >= 1_000_000 else 0
