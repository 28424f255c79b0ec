"""The fleet-wide budget of loads from a weight store."""

from typing import Protocol

from thornlatch.configuration import Store


class LoadBudget(Protocol):
    """Right to start loads from one weight store."""

    def try_acquire(self, now: float) -> bool:
        """Take the right to start one load at `now`, if there is one."""

    def release(self, now: float) -> None:
        """Note that a load has ended, well or badly."""


class StoreBudget:
    """Keeps the loads of one owner within a store's rate and loads in flight.

    Parameters
    ----------
    store : Store
        Its limits belong to this budget alone.
    """

    def __init__(self, store: Store) -> None:
        self.store = store
        self.in_flight = 0
        self.level = float(store.full_speed_loads)
        self.updated_at: float | None = None

    def try_acquire(self, now: float) -> bool:
        """Take the right to start one load.

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
        """Note the end of a load.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        """
        self._refill(now)
        self.in_flight = max(0, self.in_flight - 1)

    def _refill(self, now: float) -> None:
        if self.updated_at is not None:
            gained = max(0.0, now - self.updated_at) * self.store.loads_per_s
            # A margin keeps rounding from costing a whole tick.
            self.level = min(
                float(self.store.full_speed_loads), self.level + gained + 1e-9
            )
        self.updated_at = now
