"""Merges the events of several processes by cause."""

import heapq
from collections.abc import Iterable, Iterator

from thornlatch.timeline._events import LoggedEvent
from thornlatch.timeline._names import MESSAGE_RECEIVED, MESSAGE_SENT

CLOCK_SKEW_LIMIT_S = 60.0


class _Merger:
    """Merges by wall time, but holds a receipt until its sending was shown.

    A stream whose next event is such a receipt is parked. It goes on without the
    sending when the sender's log doesn't hold it: when that log is missing or at its
    end, or all others are further ahead than clocks may differ.
    """

    def __init__(
        self, streams: Iterable[Iterable[LoggedEvent]], skew_limit_s: float
    ) -> None:
        self.skew_limit_s = skew_limit_s
        self.streams = [iter(stream) for stream in streams]
        self.heads: list[LoggedEvent | None] = [None] * len(self.streams)
        self.clocks = [float("-inf")] * len(self.streams)
        self.ready: list[tuple[float, int]] = []
        self.parked: dict[str, list[int]] = {}
        self.parked_times: list[tuple[float, int, str]] = []
        self.sent: set[str] = set()
        self.live: dict[str, set[int]] = {}

    def __iter__(self) -> Iterator[LoggedEvent]:
        self._read_heads()
        ready, heads, parked_times = self.ready, self.heads, self.parked_times
        while ready or self._release_oldest():
            if parked_times and parked_times[0][0] + self.skew_limit_s < ready[0][0]:
                self._release(heapq.heappop(parked_times)[2])
                continue
            index = heapq.heappop(ready)[1]
            event = heads[index]
            assert event is not None
            yield event
            if event.event == MESSAGE_SENT:
                self._note_sent(event.cause)
            self._advance(index)

    def _read_heads(self) -> None:
        for index, stream in enumerate(self.streams):
            self.heads[index] = head = next(stream, None)
            if head is not None:
                self.live.setdefault(head.host, set()).add(index)
        for index, head in enumerate(self.heads):
            if head is not None:
                self._place(index, head)

    def _advance(self, index: int) -> None:
        self.heads[index] = head = next(self.streams[index], None)
        if head is not None:
            self._place(index, head)
        else:
            self._end_stream(index)

    def _place(self, index: int, head: LoggedEvent) -> None:
        # A clock that was set back mustn't reorder the events of one process.
        time = head.wall if head.wall > self.clocks[index] else self.clocks[index]
        self.clocks[index] = time
        if head.event == MESSAGE_RECEIVED and self._must_wait(index, head.cause):
            self.parked.setdefault(head.cause, []).append(index)
            heapq.heappush(self.parked_times, (time, index, head.cause))
        else:
            heapq.heappush(self.ready, (time, index))

    def _must_wait(self, index: int, cause: str) -> bool:
        if cause in self.sent:
            return False
        sender = cause.rpartition(":")[0]
        return bool(self.live.get(sender, set()) - {index})

    def _note_sent(self, cause: str) -> None:
        self.sent.add(cause)
        if cause in self.parked:
            self._release(cause)

    def _end_stream(self, index: int) -> None:
        for host, streams in self.live.items():
            streams.discard(index)
            if not streams:
                self._release_from(host)

    def _release_from(self, host: str) -> None:
        for cause in [one for one in self.parked if one.rpartition(":")[0] == host]:
            self._release(cause)

    def _release_oldest(self) -> bool:
        while self.parked_times:
            cause = heapq.heappop(self.parked_times)[2]
            if cause in self.parked:
                self._release(cause)
                return True
        return False

    def _release(self, cause: str) -> None:
        for index in self.parked.pop(cause, ()):
            heapq.heappush(self.ready, (self.clocks[index], index))


def merge_events(
    streams: Iterable[Iterable[LoggedEvent]],
    *,
    skew_limit_s: float = CLOCK_SKEW_LIMIT_S,
) -> Iterator[LoggedEvent]:
    """Merge the events of several processes so that causes come before effects.

    Parameters
    ----------
    streams : iterable of iterable of LoggedEvent
        One per process, each in the order in which it was written.
    skew_limit_s : float
        Seconds by which clocks may differ; a receipt waits no longer for a sending
        that its sender's log doesn't hold.

    Returns
    -------
    iterator of LoggedEvent
    """
    return iter(_Merger(streams, skew_limit_s))
