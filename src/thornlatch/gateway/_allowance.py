"""The part of the weight store's model loads that one host may order."""

import threading


class LoadAllowance:
    """A token bucket of one load; safe for threads."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.rate = 1.0
        self.tokens = 1.0
        self.filled_at = float("-inf")

    def set_rate(self, rate: float) -> None:
        """Set the rate.

        Parameters
        ----------
        rate : float
            Loads a second.
        """
        self.rate = rate

    def has_room(self, *, now: float) -> bool:
        """Return whether a load may be ordered.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
        """
        with self.lock:
            self._fill(now)
            return self.tokens >= 1

    def note(self, *, now: float) -> None:
        """Note that a load was ordered.

        Parameters
        ----------
        now : float
        """
        with self.lock:
            self._fill(now)
            self.tokens -= 1

    def _fill(self, now: float) -> None:
        elapsed = min(now - self.filled_at, 3600.0)
        self.tokens = min(1.0, self.tokens + elapsed * self.rate)
        self.filled_at = now
