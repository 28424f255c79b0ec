"""Tokens spent within a sliding window."""

from collections import deque
from dataclasses import dataclass, field

INTERVAL_COUNT = 32  # per window; the tokens of an interval expire together


@dataclass
class _Interval:
    ends_at: float
    tokens: float


@dataclass
class SpendWindow:
    """Sums the tokens spent within a sliding window; not thread-safe.

    Parameters
    ----------
    window_s : float
        Length of the window in seconds.
    """

    window_s: float
    intervals: deque[_Interval] = field(default_factory=deque)
    total: float = 0.0

    def add(self, tokens: float, *, now: float) -> None:
        """Add tokens spent at `now`.

        Parameters
        ----------
        tokens : float
        now : float
        """
        self.expire(now=now)
        self.total += tokens
        if not self.intervals or self.intervals[-1].ends_at <= now:
            self.intervals.append(_Interval(now + self.window_s / INTERVAL_COUNT, 0.0))
        self.intervals[-1].tokens += tokens

    def give_back(self, tokens: float, *, since: float, now: float) -> None:
        """Subtract tokens that were added but not spent.

        Parameters
        ----------
        tokens : float
        since : float
            Time from which the tokens were added.
        now : float
        """
        self.expire(now=now)
        if not self.intervals:
            return
        if now - since > self.window_s:
            # Tokens added before the window have expired already.
            tokens *= self.window_s / (now - since)
        recent = [interval for interval in self.intervals if interval.ends_at > since]
        recent = recent or [self.intervals[-1]]
        for interval in recent:
            interval.tokens -= tokens / len(recent)
        self.total -= tokens

    def forget(self, tokens: float, *, added_at: float, now: float) -> None:
        """Subtract tokens that were added at a time, unless they have expired.

        Parameters
        ----------
        tokens : float
        added_at : float
        now : float
        """
        self.expire(now=now)
        interval_s = self.window_s / INTERVAL_COUNT
        for interval in self.intervals:
            if interval.ends_at - interval_s <= added_at < interval.ends_at:
                interval.tokens -= tokens
                self.total -= tokens
                return

    def expire(self, *, now: float) -> None:
        """Remove the tokens that were spent before the window.

        Parameters
        ----------
        now : float
        """
        while self.intervals and now - self.intervals[0].ends_at >= self.window_s:
            self.total -= self.intervals.popleft().tokens

    def get_wait_s(self, tokens: float, *, now: float) -> float:
        """Return the seconds until the given number of tokens has left the window.

        Parameters
        ----------
        tokens : float
        now : float

        Returns
        -------
        float
        """
        for interval in self.intervals:
            tokens -= interval.tokens
            if tokens <= 0:
                return max(interval.ends_at + self.window_s - now, 0.0)
        return self.window_s
