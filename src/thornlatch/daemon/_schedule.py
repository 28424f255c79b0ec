"""Schedules ticks and selects message handlers; used by the control thread only."""

from collections.abc import Iterable, Iterator

from thornlatch.core import Slice

TICK_S = 0.05
IDLE_TICK_S = 0.2


class TickSchedule:
    """Schedules the ticks of each slice as it requests them.

    Ticks of a slice are at least `TICK_S` and at most `IDLE_TICK_S` apart.

    Parameters
    ----------
    slices : iterable of Slice
    now : float
        Time of the monotonic clock, in seconds.
    """

    def __init__(self, slices: Iterable[Slice], *, now: float) -> None:
        self.slices = tuple(slices)
        self.ticked_at = [now - IDLE_TICK_S] * len(self.slices)
        self.due_at = [now] * len(self.slices)
        self.stale_indexes: set[int] = set()
        self.handlers: dict[type, tuple[int, ...]] = {}

    def iter_handlers(self, kind: type) -> Iterator[Slice]:
        """Iterate over the slices that act on messages of a class.

        Parameters
        ----------
        kind : type

        Yields
        ------
        Slice
            Its next tick is rescheduled afterwards.
        """
        handlers = self.handlers.get(kind)
        if handlers is None:
            indexed_slices = enumerate(self.slices)
            handlers = tuple(
                index for index, slice_ in indexed_slices if slice_.handles(kind)
            )
            self.handlers[kind] = handlers
        for index in handlers:
            self.stale_indexes.add(index)
            yield self.slices[index]

    def note_inputs(self) -> None:
        """Note that any slice may have received input."""
        self.stale_indexes.update(range(len(self.slices)))

    def get_next(self, *, now: float) -> float:
        """Return the time at which the next slice is due.

        Parameters
        ----------
        now : float

        Returns
        -------
        float
        """
        for index in self.stale_indexes:
            self.due_at[index] = self._find_due(index, now)
        self.stale_indexes.clear()
        return min(self.due_at)

    def pop_due(self, *, now: float) -> list[Slice]:
        """Return the slices to tick now, in their order.

        Slices due within `TICK_S` are included, so that the thread wakes once for
        several of them.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Slice
        """
        if now < self.get_next(now=now):
            return []
        due = [i for i, at in enumerate(self.due_at) if at <= now + TICK_S]
        for index in due:
            self.ticked_at[index] = now
            self.due_at[index] = now + IDLE_TICK_S
        self.stale_indexes.update(due)
        return [self.slices[index] for index in due]

    def _find_due(self, index: int, now: float) -> float:
        earliest = self.ticked_at[index] + TICK_S
        latest = self.ticked_at[index] + IDLE_TICK_S
        requested_at = self.slices[index].next_due(now=now)
        return min(max(requested_at, earliest), latest)
