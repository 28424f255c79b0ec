"""Requests that wait for a grant."""

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
        Host id of the asker.
    spec : RequestSpec
    version : AdapterVersion
    arrived_at : float
        Seconds.
    deadline : float
        Time at which the whole answer is due, seconds.
    order : float
        Place in its organisation's line; the lowest is first.
    """

    key: RequestKey
    host: str
    spec: RequestSpec
    version: AdapterVersion
    arrived_at: float
    deadline: float
    order: float


def make_waiting(
    host: str, spec: RequestSpec, *, aging_s: float, now: float
) -> WaitingRequest:
    """Return the queue entry of a request that arrives at `now`.

    Interactive work is ordered by deadline. Batch work ranks like interactive work
    that is due `aging_s` after its arrival, so it comes later but isn't starved.
    """
    deadline = now + spec.deadline_in_s
    is_batch = spec.priority is Priority.BATCH
    order = now + aging_s if is_batch else min(deadline, now + aging_s)
    return WaitingRequest(
        RequestKey(spec.request, spec.attempt),
        host,
        spec,
        AdapterVersion(spec.adapter, spec.version),
        now,
        deadline,
        order,
    )


@dataclass
class VersionBacklog:
    """Weighted wait of the requests for one adapter version.

    Parameters
    ----------
    count : int
        Requests.
    excluding : int
        Requests that exclude targets.
    weight : float
        Sum of the requests' weights.
    weighted_arrival : float
        Sum of weight times time of arrival, seconds.
    arrival : float
        Sum of times of arrival, seconds.
    tokens : float
        Announced tokens.
    """

    count: int = 0
    excluding: int = 0
    weight: float = 0.0
    weighted_arrival: float = 0.0
    arrival: float = 0.0
    tokens: float = 0.0

    def add(self, waiting: WaitingRequest, sign: int) -> None:
        """Add a request, or take it out with a `sign` of -1."""
        is_batch = waiting.spec.priority is Priority.BATCH
        weight = sign * (BATCH_WEIGHT if is_batch else 1.0)
        self.count += sign
        self.excluding += sign * bool(waiting.spec.excluded)
        self.weight += weight
        self.weighted_arrival += weight * waiting.arrived_at
        self.arrival += sign * waiting.arrived_at
        self.tokens += sign * waiting.spec.tokens

    def get_age(self, now: float) -> float:
        """Return the weighted mean of the seconds waited."""
        if self.weight <= 0:
            return 0.0
        return now - self.weighted_arrival / self.weight

    def get_urgency(self, aging_s: float, now: float) -> float:
        """Return the sum of the weights; each grows by 1 in `aging_s` seconds."""
        return self.weight + (self.count * now - self.arrival) / aging_s


class RequestQueue:
    """Lines of waiting requests by adapter version and organisation."""

    def __init__(self) -> None:
        self.requests: dict[RequestKey, WaitingRequest] = {}
        self.lines: dict[AdapterVersion, dict[str, list[WaitingRequest]]] = {}
        self.backlogs: dict[AdapterVersion, VersionBacklog] = {}
        self.counts: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.requests)

    def __contains__(self, key: RequestKey) -> bool:
        return key in self.requests

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request to its line."""
        name = waiting.spec.organisation
        line = self.lines.setdefault(waiting.version, {}).setdefault(name, [])
        bisect.insort_right(line, waiting, key=_get_order)
        self.requests[waiting.key] = waiting
        self.counts[name] = self.counts.get(name, 0) + 1
        self.backlogs.setdefault(waiting.version, VersionBacklog()).add(waiting, 1)

    def remove(self, key: RequestKey) -> WaitingRequest | None:
        """Remove a request; return it if it was waiting."""
        waiting = self.requests.pop(key, None)
        if waiting is None:
            return None
        name = waiting.spec.organisation
        lines = self.lines[waiting.version]
        _remove_from_line(lines[name], waiting)
        if not lines[name]:
            del lines[name]
        self.backlogs[waiting.version].add(waiting, -1)
        if not lines:
            del self.lines[waiting.version]
            del self.backlogs[waiting.version]
        self.counts[name] -= 1
        if not self.counts[name]:
            del self.counts[name]
        return waiting

    def iter_heads(
        self, version: AdapterVersion, may_run: Callable[[WaitingRequest], bool]
    ) -> Iterator[WaitingRequest]:
        """Iterate over each organisation's first request that may run."""
        for line in self.lines.get(version, {}).values():
            for waiting in line:
                if may_run(waiting):
                    yield waiting
                    break

    def iter_version(self, version: AdapterVersion) -> Iterator[WaitingRequest]:
        """Iterate over the requests that wait for `version`."""
        for line in self.lines.get(version, {}).values():
            yield from line

    def get_first(self, version: AdapterVersion) -> WaitingRequest:
        """Return the first request that waits for `version`."""
        heads = [line[0] for line in self.lines[version].values()]
        return heads[0] if len(heads) == 1 else min(heads, key=_get_order)


def _get_order(waiting: WaitingRequest) -> float:
    return waiting.order


def _remove_from_line(line: list[WaitingRequest], waiting: WaitingRequest) -> None:
    index = bisect.bisect_left(line, waiting.order, key=_get_order)
    while line[index] is not waiting:
        index += 1
    del line[index]
