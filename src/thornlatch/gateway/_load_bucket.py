"""Rate limit of the model loads that one host may order from the weight store."""

import threading


class LoadTokenBucket:
    """A token bucket that holds at most one load; safe for use by several threads."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.rate = 1.0
        self.tokens = 1.0
        self.refilled_at = float("-inf")

    def set_rate(self, rate: float) -> None:
        """Set the refill rate.

        Parameters
        ----------
        rate : float
            Loads per second.
        """
        self.rate = rate

    def has_token(self, *, now: float) -> bool:
        """Return whether a load may be ordered; another thread may order it first.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
        """
        with self.lock:
            self._refill(now)
            return self.tokens >= 1

    def try_take(self, *, now: float) -> bool:
        """Take the token of a load that is about to be ordered.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
            False if there is none.
        """
        with self.lock:
            self._refill(now)
            if self.tokens < 1:
                return False
            self.tokens -= 1
            return True

    def give_back(self) -> None:
        """Return the token of a load that the target refused."""
        with self.lock:
            self.tokens = min(1.0, self.tokens + 1)

    def _refill(self, now: float) -> None:
        elapsed_s = min(now - self.refilled_at, 3600.0)
        self.tokens = min(1.0, self.tokens + elapsed_s * self.rate)
        self.refilled_at = now
