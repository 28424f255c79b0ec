"""Which slice is ticked or given a message; used by the control thread alone."""

from collections.abc import Iterable, Iterator

from thornlatch.core import Slice

TICK_S = 0.05
IDLE_TICK_S = 0.2


class TickSchedule:
    """Ticks a slice when it asks for it, within a shortest and a longest interval.

    Parameters
    ----------
    slices : iterable of Slice
    now : float
        Seconds.
    """

    def __init__(self, slices: Iterable[Slice], *, now: float) -> None:
        self.slices = tuple(slices)
        self.ticked_at = [now - IDLE_TICK_S] * len(self.slices)
        self.due_at = [now] * len(self.slices)
        self.changed: set[int] = set()
        self.takers: dict[type, tuple[int, ...]] = {}

    def iter_takers(self, kind: type) -> Iterator[Slice]:
        """Iterate over the slices that act on messages of a class.

        Parameters
        ----------
        kind : type

        Yields
        ------
        Slice
            Asked for its next tick afterwards.
        """
        takers = self.takers.get(kind)
        if takers is None:
            parts = enumerate(self.slices)
            takers = tuple(index for index, part in parts if part.handles(kind))
            self.takers[kind] = takers
        for index in takers:
            self.changed.add(index)
            yield self.slices[index]

    def note_inputs(self) -> None:
        """Note that any slice may have been given something."""
        self.changed.update(range(len(self.slices)))

    def get_next(self, *, now: float) -> float:
        """Return the time at which the next slice is due.

        Parameters
        ----------
        now : float

        Returns
        -------
        float
        """
        for index in self.changed:
            self.due_at[index] = self._find_due(index, now)
        self.changed.clear()
        return min(self.due_at)

    def pop_due(self, *, now: float) -> list[Slice]:
        """Return the slices to tick now, in their order.

        One that would be due within `TICK_S` is ticked along, so that several wake the
        thread once.

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
        self.changed.update(due)
        return [self.slices[index] for index in due]

    def _find_due(self, index: int, now: float) -> float:
        earliest = self.ticked_at[index] + TICK_S
        latest = self.ticked_at[index] + IDLE_TICK_S
        wanted = self.slices[index].next_due(now=now)
        return min(max(wanted, earliest), latest)
