"""Budget of loads from a weight store."""

from typing import Protocol

from thornlatch.configuration import Store


class LoadBudget(Protocol):
    """Limits the loads from one weight store."""

    def try_acquire(self, now: float) -> bool:
        """Return whether one load may start at `now`, and count it if so."""

    def release(self, now: float) -> None:
        """Record that a load has ended, whether it succeeded or failed."""


class StoreBudget:
    """Keeps loads within the rate limit and the concurrency limit of a store.

    Parameters
    ----------
    store : Store
        Store whose limits are used by this budget alone.
    """

    def __init__(self, store: Store) -> None:
        self.store = store
        self.in_flight = 0
        self.level = float(store.full_speed_loads)
        self.updated_at: float | None = None

    def try_acquire(self, now: float) -> bool:
        """Return whether one load may start, and count it if so.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        bool
        """
        self._refill(now)
        if self.level < 1.0 or self.in_flight >= self.store.in_flight_loads:
            return False
        self.level -= 1.0
        self.in_flight += 1
        return True

    def release(self, now: float) -> None:
        """Record the end of a load.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        """
        self._refill(now)
        self.in_flight = max(0, self.in_flight - 1)

    def _refill(self, now: float) -> None:
        if self.updated_at is not None:
            refill = max(0.0, now - self.updated_at) * self.store.loads_per_s
            # Without the margin, a rounding error may delay a load by a whole tick.
            self.level = min(
                float(self.store.full_speed_loads), self.level + refill + 1e-9
            )
        self.updated_at = now
