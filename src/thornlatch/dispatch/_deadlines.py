"""Estimates of whether a waiting request can still meet its deadline."""

import heapq
import itertools
from collections.abc import Callable, Mapping

from thornlatch.configuration import Store
from thornlatch.dispatch._estimate import ServiceEstimate
from thornlatch.dispatch._fairness import FairShares
from thornlatch.dispatch._queue import RequestKey, RequestQueue, WaitingRequest
from thornlatch.dispatch._settings import DispatchSettings
from thornlatch.placement import AdapterVersion


class LatestStarts:
    """Heap of waiting requests by the latest time at which starting them is useful."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, RequestKey]] = []
        self.sequence = itertools.count()

    def add(self, key: RequestKey, latest_start_at: float) -> None:
        """Add a request with its latest useful start, seconds."""
        heapq.heappush(self.heap, (latest_start_at, next(self.sequence), key))

    def pop_due(self, now: float) -> list[RequestKey]:
        """Remove and return the requests whose latest start is at or before `now`."""
        due = []
        while self.heap and self.heap[0][0] <= now:
            due.append(heapq.heappop(self.heap)[2])
        return due


def estimate_queue_wait(
    waiting: WaitingRequest,
    tokens_ahead: float,
    queue: RequestQueue,
    service: ServiceEstimate,
    shares: FairShares,
    slots: int,
) -> float:
    """Return the expected time until a slot is granted, seconds.

    Parameters
    ----------
    waiting : WaitingRequest
        A request that can't be served at once.
    tokens_ahead : float
        Tokens of the organisation's requests that wait for a slot but for no load.
    queue : RequestQueue
    service : ServiceEstimate
    shares : FairShares
    slots : int
        Usable batch slots of the whole pool.

    Returns
    -------
    float
        0 if no slot is usable.
    """
    if slots <= 0:
        return 0.0
    organisation = waiting.spec.organisation
    weights = {name: shares.get_weight(name) for name in {organisation, *queue.counts}}
    share = weights[organisation] / sum(weights.values())
    return (tokens_ahead * service.token_s + service.grant_duration_s) / (slots * share)


def estimate_load_wait(
    organisation: str,
    loads_ahead: Mapping[str, int],
    shares: FairShares,
    store: Store | None,
) -> float:
    """Return the expected time until a load that isn't ordered yet ends, seconds.

    Parameters
    ----------
    organisation : str
        Organisation of the request.
    loads_ahead : mapping of str to int
        Number of loads that each organisation waits for.
    shares : FairShares
        Counts loads.
    store : Store or None
        None for pools that load no adapters.

    Returns
    -------
    float
        0 without a store.
    """
    if store is None:
        return 0.0
    weights = {name: shares.get_weight(name) for name in {organisation, *loads_ahead}}
    share = weights[organisation] / sum(weights.values())
    fair_ahead = loads_ahead.get(organisation, 0) / share
    ahead = min(fair_ahead, float(sum(loads_ahead.values())))
    return ahead / store.loads_per_s + store.load_s


class LatenessEstimate:
    """Estimates how late waiting requests will be.

    Parameters
    ----------
    settings : DispatchSettings
    queue : RequestQueue
    service : ServiceEstimate
    shares : FairShares
        Counts tokens.
    load_shares : FairShares
        Counts loads.
    store : Store or None
        None for pools that load no adapters.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        queue: RequestQueue,
        service: ServiceEstimate,
        shares: FairShares,
        load_shares: FairShares,
        store: Store | None,
    ) -> None:
        self.settings = settings
        self.queue = queue
        self.service = service
        self.shares = shares
        self.load_shares = load_shares
        self.store = store
        self.loads_ahead: dict[str, int] = {}
        self.tokens_ahead: dict[str, float] = {}

    def measure_queue(self, is_loaded: Callable[[AdapterVersion], bool]) -> None:
        """Update the loads and tokens that each organisation waits for."""
        self.loads_ahead = {}
        self.tokens_ahead = {}
        for version, by_organisation in self.queue.by_version.items():
            if not is_loaded(version):
                for name in by_organisation:
                    self.loads_ahead[name] = self.loads_ahead.get(name, 0) + 1
                continue
            for name, entries in by_organisation.items():
                tokens = sum(waiting.spec.tokens for waiting in entries)
                self.tokens_ahead[name] = self.tokens_ahead.get(name, 0.0) + tokens

    def get_latest_start(self, waiting: WaitingRequest) -> float:
        """Return the latest useful start of a request, seconds.

        A streamed request may start until its deadline; any other must start earlier by
        its expected service time, multiplied by `refusal_margin`.
        """
        if waiting.spec.is_stream:
            return waiting.deadline
        service_s = self.service.predict(waiting.spec.tokens)
        return waiting.deadline - service_s * self.settings.refusal_margin

    def estimate(
        self, waiting: WaitingRequest, slots: int, now: float, *, is_loaded: bool
    ) -> float:
        """Return how late a request is expected to be, seconds.

        Parameters
        ----------
        waiting : WaitingRequest
        slots : int
            Usable batch slots of the whole pool.
        now : float
            Seconds.
        is_loaded : bool
            Whether any target has loaded the request's version.

        Returns
        -------
        float
            Negative if the request is expected to be on time.
        """
        name = waiting.spec.organisation
        tokens_ahead = self.tokens_ahead.get(name, 0.0)
        wait_s = estimate_queue_wait(
            waiting, tokens_ahead, self.queue, self.service, self.shares, slots
        )
        if not is_loaded:
            load_s = estimate_load_wait(
                name, self.loads_ahead, self.load_shares, self.store
            )
            wait_s = max(wait_s, load_s)
        wait_s *= self.settings.refusal_margin
        return now + wait_s - self.get_latest_start(waiting)
