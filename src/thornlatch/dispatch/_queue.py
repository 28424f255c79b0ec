"""Queue of the requests that wait for a grant."""

import bisect
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from thornlatch.dispatch._messages import Priority, RequestSpec
from thornlatch.placement import AdapterVersion

BATCH_WEIGHT = 0.1


@dataclass(frozen=True, slots=True, order=True)
class RequestKey:
    """Identity of one attempt of a request.

    Parameters
    ----------
    request : str
    attempt : int
    """

    request: str
    attempt: int


@dataclass(frozen=True, slots=True, eq=False)
class WaitingRequest:
    """A request in the queue.

    Parameters
    ----------
    key : RequestKey
    host : str
        Id of the host that requested the grant.
    spec : RequestSpec
    version : AdapterVersion
    arrived_at : float
        Seconds.
    deadline : float
        Time at which the first token is due if the answer is streamed, otherwise the
        whole answer, seconds.
    rank : float
        Position among the organisation's requests; the lowest is first.
    """

    key: RequestKey
    host: str
    spec: RequestSpec
    version: AdapterVersion
    arrived_at: float
    deadline: float
    rank: float


def make_waiting_request(
    host: str, spec: RequestSpec, *, aging_s: float, now: float
) -> WaitingRequest:
    """Return the queue entry of a request that arrives at `now`.

    Interactive requests are ranked by deadline, but at most `aging_s` after arrival.
    Batch requests always rank as if due `aging_s` after arrival, so they are served
    later but aren't starved.
    """
    deadline = now + spec.deadline_in_s
    is_batch = spec.priority is Priority.BATCH
    rank = now + aging_s if is_batch else min(deadline, now + aging_s)
    return WaitingRequest(
        RequestKey(spec.request, spec.attempt),
        host,
        spec,
        AdapterVersion(spec.adapter, spec.version),
        now,
        deadline,
        rank,
    )


@dataclass
class VersionBacklog:
    """Running sums over the requests that wait for one adapter version.

    Parameters
    ----------
    count : int
        Number of requests.
    excluding_count : int
        Number of requests that exclude targets.
    weight : float
        Sum of the requests' weights: 1 for interactive ones, `BATCH_WEIGHT` for batch.
    weighted_arrival_sum : float
        Sum of weight times time of arrival, seconds.
    arrival_sum : float
        Sum of times of arrival, seconds.
    tokens : float
        Sum of the estimated tokens.
    """

    count: int = 0
    excluding_count: int = 0
    weight: float = 0.0
    weighted_arrival_sum: float = 0.0
    arrival_sum: float = 0.0
    tokens: float = 0.0

    def add(self, waiting: WaitingRequest, sign: int) -> None:
        """Add a request with a `sign` of 1, or remove it with -1."""
        is_batch = waiting.spec.priority is Priority.BATCH
        weight = sign * (BATCH_WEIGHT if is_batch else 1.0)
        self.count += sign
        self.excluding_count += sign * bool(waiting.spec.excluded)
        self.weight += weight
        self.weighted_arrival_sum += weight * waiting.arrived_at
        self.arrival_sum += sign * waiting.arrived_at
        self.tokens += sign * waiting.spec.tokens

    def get_mean_wait_s(self, now: float) -> float:
        """Return the weighted mean time waited, seconds."""
        if self.weight <= 0:
            return 0.0
        return now - self.weighted_arrival_sum / self.weight

    def get_urgency(self, aging_s: float, now: float) -> float:
        """Return the sum of the weights, each raised by 1 per `aging_s` of waiting."""
        return self.weight + (self.count * now - self.arrival_sum) / aging_s


class RequestQueue:
    """Waiting requests by adapter version and organisation, sorted by rank."""

    def __init__(self) -> None:
        self.requests: dict[RequestKey, WaitingRequest] = {}
        self.by_version: dict[AdapterVersion, dict[str, list[WaitingRequest]]] = {}
        self.backlogs: dict[AdapterVersion, VersionBacklog] = {}
        self.counts: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.requests)

    def __contains__(self, key: RequestKey) -> bool:
        return key in self.requests

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request."""
        name = waiting.spec.organisation
        entries = self.by_version.setdefault(waiting.version, {}).setdefault(name, [])
        bisect.insort_right(entries, waiting, key=_get_rank)
        self.requests[waiting.key] = waiting
        self.counts[name] = self.counts.get(name, 0) + 1
        self.backlogs.setdefault(waiting.version, VersionBacklog()).add(waiting, 1)

    def remove(self, key: RequestKey) -> WaitingRequest | None:
        """Remove a request and return it, or None if it isn't queued."""
        waiting = self.requests.pop(key, None)
        if waiting is None:
            return None
        name = waiting.spec.organisation
        by_organisation = self.by_version[waiting.version]
        _remove_entry(by_organisation[name], waiting)
        if not by_organisation[name]:
            del by_organisation[name]
        self.backlogs[waiting.version].add(waiting, -1)
        if not by_organisation:
            del self.by_version[waiting.version]
            del self.backlogs[waiting.version]
        self.counts[name] -= 1
        if not self.counts[name]:
            del self.counts[name]
        return waiting

    def iter_first_runnable(
        self, version: AdapterVersion, may_run: Callable[[WaitingRequest], bool]
    ) -> Iterator[WaitingRequest]:
        """Iterate over the first request of each organisation that may run."""
        for entries in self.by_version.get(version, {}).values():
            for waiting in entries:
                if may_run(waiting):
                    yield waiting
                    break

    def iter_version(self, version: AdapterVersion) -> Iterator[WaitingRequest]:
        """Iterate over the requests that wait for `version`."""
        for entries in self.by_version.get(version, {}).values():
            yield from entries

    def get_first(self, version: AdapterVersion) -> WaitingRequest:
        """Return the request for `version` with the lowest rank."""
        first = [entries[0] for entries in self.by_version[version].values()]
        return first[0] if len(first) == 1 else min(first, key=_get_rank)


def _get_rank(waiting: WaitingRequest) -> float:
    return waiting.rank


def _remove_entry(entries: list[WaitingRequest], waiting: WaitingRequest) -> None:
    index = bisect.bisect_left(entries, waiting.rank, key=_get_rank)
    while entries[index] is not waiting:
        index += 1
    del entries[index]
