"""Use of the adapter places of one target, and when the next one becomes free.

A target holds few adapters at once. A request for another one waits until a place is
free or its adapter idle, so hosts have to know that wait before they choose a target.
"""

import math
from collections.abc import Collection, Mapping, Sequence

DEMAND_MEMORY_S = 4.0  # time constant of the mean number of requests for an adapter
INITIAL_TURNOVER_S = 0.15  # until a load has waited for a place
MIN_TURNOVER_S = 0.03  # a load that waited for less had a place at once
TURNOVER_WEIGHT = 0.2  # of the latest load in the moving average


class PlaceUse:
    """Tracks demand for adapters and the turnover of their places; not thread-safe."""

    def __init__(self) -> None:
        self.demands: dict[str, float] = {}
        # Mean seconds between two loads while loads wait for places in use.
        self.turnover_s = INITIAL_TURNOVER_S
        self.load_started_at = float("-inf")
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
        self.demands = {
            adapter: self.demands.get(adapter, 0.0) * kept
            + uses.get(adapter, 0) * (1 - kept)
            for adapter in adapters
        }

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

    def note_load(self, *, requested_at: float, now: float) -> None:
        """Record that a requested load begins.

        Parameters
        ----------
        requested_at, now : float
        """
        # First in the queue since the previous load began, or since its request.
        waited_s = now - max(self.load_started_at, requested_at)
        self.load_started_at = now
        if waited_s >= MIN_TURNOVER_S:
            self.turnover_s += TURNOVER_WEIGHT * (waited_s - self.turnover_s)

    def get_wait(self, idle_waits: Sequence[float], rank: int) -> float:
        """Return the seconds until the load with a rank in the queue gets a place.

        Parameters
        ----------
        idle_waits : sequence of float
            Seconds until each of the places that aren't in use can be had, ascending.
        rank : int
            0 for the first load in the queue.

        Returns
        -------
        float
        """
        if rank < len(idle_waits):
            return idle_waits[rank]
        return (rank - len(idle_waits) + 1) * self.turnover_s
