"""Requests that wait for a grant."""

import bisect
import itertools
from collections.abc import Iterator
from dataclasses import dataclass

from thornlatch.dispatch._messages import Priority, RequestSpec
from thornlatch.placement import AdapterVersion


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


class RequestQueue:
    """Lines of waiting requests by adapter version and organisation."""

    def __init__(self) -> None:
        self.requests: dict[RequestKey, WaitingRequest] = {}
        self.lines: dict[AdapterVersion, dict[str, list[WaitingRequest]]] = {}
        self.counts: dict[str, int] = {}
        self.tokens: dict[str, float] = {}
        self.sequence = itertools.count()

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
        self.tokens[name] = self.tokens.get(name, 0.0) + waiting.spec.tokens

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
        if not lines:
            del self.lines[waiting.version]
        self._count_removal(name, waiting.spec.tokens)
        return waiting

    def iter_heads(
        self, version: AdapterVersion, target: str
    ) -> Iterator[WaitingRequest]:
        """Iterate over each organisation's first request that `target` may run."""
        for line in self.lines.get(version, {}).values():
            for waiting in line:
                if target not in waiting.spec.excluded:
                    yield waiting
                    break

    def iter_version(self, version: AdapterVersion) -> Iterator[WaitingRequest]:
        """Iterate over the requests that wait for `version`."""
        for line in self.lines.get(version, {}).values():
            yield from line

    def count_ahead(self, waiting: WaitingRequest) -> float:
        """Return the tokens of the organisation's requests before `waiting`."""
        name = waiting.spec.organisation
        if waiting.spec.priority is Priority.BATCH:
            return self.tokens.get(name, 0.0) - waiting.spec.tokens
        return sum(
            other.spec.tokens
            for lines in self.lines.values()
            for other in lines.get(name, ())
            if other.order < waiting.order
        )

    def _count_removal(self, name: str, tokens: float) -> None:
        self.counts[name] -= 1
        self.tokens[name] -= tokens
        if not self.counts[name]:
            del self.counts[name]
            del self.tokens[name]


def _get_order(waiting: WaitingRequest) -> float:
    return waiting.order


def _remove_from_line(line: list[WaitingRequest], waiting: WaitingRequest) -> None:
    index = bisect.bisect_left(line, waiting.order, key=_get_order)
    while line[index] is not waiting:
        index += 1
    del line[index]
