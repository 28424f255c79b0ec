"""Tokens spent in the last seconds, for quotas that are judged by windows."""

from collections import deque
from dataclasses import dataclass, field

SLOTS = 32  # parts of a window that expire as one


@dataclass
class _Slot:
    ends_at: float
    tokens: float


@dataclass
class SpendWindow:
    """Adds up what was spent within a sliding window; not safe for threads.

    Parameters
    ----------
    window_s : float
    """

    window_s: float
    slots: deque[_Slot] = field(default_factory=deque)
    total: float = 0.0

    def add(self, tokens: float, *, now: float) -> None:
        """Add tokens that were spent now.

        Parameters
        ----------
        tokens : float
        now : float
        """
        self.expire(now=now)
        self.total += tokens
        if not self.slots or self.slots[-1].ends_at <= now:
            self.slots.append(_Slot(now + self.window_s / SLOTS, 0.0))
        self.slots[-1].tokens += tokens

    def take_back(self, tokens: float, *, since: float, now: float) -> None:
        """Take tokens off that were added from a moment on, but weren't spent.

        Parameters
        ----------
        tokens : float
        since : float
        now : float
        """
        self.expire(now=now)
        if not self.slots:
            return
        if now - since > self.window_s:
            # The other ones have left the window already.
            tokens *= self.window_s / (now - since)
        recent = [slot for slot in self.slots if slot.ends_at > since]
        recent = recent or [self.slots[-1]]
        for slot in recent:
            slot.tokens -= tokens / len(recent)
        self.total -= tokens

    def expire(self, *, now: float) -> None:
        """Drop what was spent before the window.

        Parameters
        ----------
        now : float
        """
        while self.slots and now - self.slots[0].ends_at >= self.window_s:
            self.total -= self.slots.popleft().tokens

    def get_wait_s(self, tokens: float, *, now: float) -> float:
        """Return the seconds until so many tokens have left the window.

        Parameters
        ----------
        tokens : float
        now : float

        Returns
        -------
        float
        """
        for slot in self.slots:
            tokens -= slot.tokens
            if tokens <= 0:
                return max(slot.ends_at + self.window_s - now, 0.0)
        return self.window_s
