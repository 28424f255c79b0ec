"""Use of the adapter places of one target, and when the next one becomes free.

A target holds few adapters at once. A request for another one waits until a place is
free or its adapter idle, so hosts have to know that wait before they choose a target.
"""

import math
from collections.abc import Collection, Iterable, Mapping

DEMAND_MEMORY_S = 4.0  # time constant of the mean number of requests for an adapter
INITIAL_SPAN_S = 1.0  # until an adapter has been seen to become idle
SPAN_WEIGHT = 0.1  # of the latest span in the moving average
SHARED_SPANS = 2.0  # spans until an adapter with several requests becomes idle


class PlaceUse:
    """Tracks which adapters are in use, how much and for how long; not thread-safe."""

    def __init__(self) -> None:
        self.demands: dict[str, float] = {}
        self.busy_since: dict[str, float] = {}
        self.span_s = INITIAL_SPAN_S
        self.updated_at: float | None = None

    def note(
        self, uses: Mapping[str, int], adapters: Collection[str], *, now: float
    ) -> None:
        """Record the requests that are running.

        Parameters
        ----------
        uses : mapping of str to int
            Requests of all hosts at the target, by adapter.
        adapters : collection of str
            Adapters that the target holds or loads.
        now : float
        """
        elapsed_s = 0.0 if self.updated_at is None else now - self.updated_at
        self.updated_at = now
        kept = math.exp(-max(elapsed_s, 0.0) / DEMAND_MEMORY_S)
        for adapter in adapters:
            count = uses.get(adapter, 0)
            demand = self.demands.get(adapter, 0.0)
            self.demands[adapter] = demand * kept + count * (1 - kept)
            if count:
                self.busy_since.setdefault(adapter, now)
            elif adapter in self.busy_since:
                span_s = now - self.busy_since.pop(adapter)
                self.span_s += SPAN_WEIGHT * (span_s - self.span_s)
        for adapter in self.demands.keys() - adapters:
            del self.demands[adapter]
            self.busy_since.pop(adapter, None)

    def get_demand(self, adapter: str) -> float:
        """Return the mean number of requests for an adapter in the last seconds.

        Parameters
        ----------
        adapter : str

        Returns
        -------
        float
        """
        return self.demands.get(adapter, 0.0)

    def estimate_waits(
        self, known_waits: Iterable[float], counts: Iterable[int]
    ) -> list[float]:
        """Return when each place can be had, in ascending order.

        Parameters
        ----------
        known_waits : iterable of float
            Seconds until the places whose time is known can be had.
        counts : iterable of int
            Requests for the adapter of each place in use.

        Returns
        -------
        list of float
            Seconds. The ends of n requests are taken to be spread over a mean span.
        """
        counts = list(counts)
        single = sum(1 for count in counts if count == 1)
        waits = [self.span_s * (rank + 1) / single for rank in range(single)]
        waits += [self.span_s * SHARED_SPANS] * (len(counts) - single)
        return sorted([*known_waits, *waits])

    def get_wait(self, waits: list[float], rank: int) -> float:
        """Return the seconds until the load with a rank in the queue gets a place.

        Parameters
        ----------
        waits : list of float
            As returned by `estimate_waits`.
        rank : int
            0 for the first load in the queue.

        Returns
        -------
        float
        """
        if not waits:
            return self.span_s * (rank + 1)
        rounds, place = divmod(rank, len(waits))
        return waits[place] + rounds * self.span_s
