"""Batched appends to the log, with retries until each item was read back.

The reply to an append may be lost, so only reading the item back confirms it.
"""

import heapq
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")
_MAX_DOUBLINGS = 16


@dataclass
class _Entry(Generic[T]):
    item: T
    size: int
    queued_at: float
    appends: int = 0
    sequence: int = 0


class Outbox(Generic[T]):
    """Batches items for one stream.

    Parameters
    ----------
    batch_s : float
        Seconds for which items are collected into one append.
    retry_s : float
        Seconds after which an item is appended again; doubles with each append.
    retry_limit_s : float
        Longest delay between two appends of an item.
    batch_items : int
        Items per append.
    batch_bytes : int
        Bytes per append; a single item may be larger.
    """

    def __init__(
        self,
        *,
        batch_s: float,
        retry_s: float,
        retry_limit_s: float,
        batch_items: int = 1000,
        batch_bytes: int = 1 << 20,
    ) -> None:
        self.batch_s = batch_s
        self.retry_s = retry_s
        self.retry_limit_s = retry_limit_s
        self.batch_items = batch_items
        self.batch_bytes = batch_bytes
        self.size = 0
        self.entries: dict[str, _Entry[T]] = {}
        self.schedule: list[tuple[float, int, str]] = []
        self.last_sequence = 0
        self.next_append = float("-inf")

    def __len__(self) -> int:
        return len(self.entries)

    def put(self, key: str, item: T, *, now: float, size: int = 0) -> None:
        """Queue an item; a second item under the same key replaces the first."""
        self.remove(key)
        self.entries[key] = entry = _Entry(item, size, now)
        self.size += size
        self._schedule_append(key, entry, now + self.batch_s)

    def remove(self, key: str) -> bool:
        """Remove an item that was read back or is no longer needed.

        Returns
        -------
        bool
            Whether the item has been appended and may be on the log.
        """
        entry = self.entries.pop(key, None)
        if entry is None:
            return False
        self.size -= entry.size
        return entry.appends > 0

    def take(self, *, now: float, interval_s: float = 0.0) -> list[T]:
        """Return the items of one append if it is due.

        Parameters
        ----------
        now : float
        interval_s : float
            Shortest time in seconds before the next append.
        """
        self._drop_stale()
        if now < self.next_append or not self.schedule or self.schedule[0][0] > now:
            return []
        self.next_append = now + interval_s
        items: list[T] = []
        size = 0
        while self.schedule and self.schedule[0][0] <= now + self.batch_s:
            entry = self.entries[self.schedule[0][2]]
            size += entry.size
            if items and (size > self.batch_bytes or len(items) >= self.batch_items):
                break
            _, _, key = heapq.heappop(self.schedule)
            items.append(entry.item)
            self._schedule_append(key, entry, now + self._get_delay(entry))
            entry.appends += 1
            self._drop_stale()
        return items

    def _schedule_append(self, key: str, entry: _Entry[T], due: float) -> None:
        self.last_sequence += 1
        entry.sequence = self.last_sequence
        heapq.heappush(self.schedule, (due, self.last_sequence, key))

    def _get_delay(self, entry: _Entry[T]) -> float:
        factor = 2.0 ** min(entry.appends, _MAX_DOUBLINGS)
        return max(min(self.retry_s * factor, self.retry_limit_s), 2 * self.batch_s)

    def _drop_stale(self) -> None:
        while self.schedule:
            _, sequence, key = self.schedule[0]
            entry = self.entries.get(key)
            if entry is not None and entry.sequence == sequence:
                return
            heapq.heappop(self.schedule)
