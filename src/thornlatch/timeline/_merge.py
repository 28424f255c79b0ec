"""Merges the events of several processes in causal order."""

import heapq
from collections.abc import Iterable, Iterator

from thornlatch.timeline._events import LoggedEvent
from thornlatch.timeline._names import MESSAGE_RECEIVED, MESSAGE_SENT

CLOCK_SKEW_LIMIT_S = 60.0


class _Merger:
    """Merges by wall time, but yields a receive event only after its send event.

    A stream whose next event is a receive event without its send event is blocked. It
    continues without the send event if the sender's log doesn't contain it: if that log
    is missing or at its end, or if all other streams are ahead by more than the clocks
    may differ. If all streams are blocked, the one with the earliest event continues.
    """

    def __init__(
        self, streams: Iterable[Iterable[LoggedEvent]], skew_limit_s: float
    ) -> None:
        self.skew_limit_s = skew_limit_s
        self.streams = [iter(stream) for stream in streams]
        self.heads: list[LoggedEvent | None] = [None] * len(self.streams)
        self.times = [float("-inf")] * len(self.streams)
        self.ready: list[tuple[float, int]] = []
        self.blocked: dict[str, list[int]] = {}
        self.blocked_queue: list[tuple[float, int, str]] = []
        self.sent_causes: set[str] = set()
        self.open_streams: dict[str, set[int]] = {}

    def __iter__(self) -> Iterator[LoggedEvent]:
        self._read_heads()
        ready, heads, blocked_queue = self.ready, self.heads, self.blocked_queue
        while ready or self._unblock_oldest():
            if blocked_queue and blocked_queue[0][0] + self.skew_limit_s < ready[0][0]:
                self._unblock(heapq.heappop(blocked_queue)[2])
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
                self.open_streams.setdefault(head.host, set()).add(index)
        for index, head in enumerate(self.heads):
            if head is not None:
                self._enqueue(index, head)

    def _advance(self, index: int) -> None:
        self.heads[index] = head = next(self.streams[index], None)
        if head is not None:
            self._enqueue(index, head)
        else:
            self._end_stream(index)

    def _enqueue(self, index: int, head: LoggedEvent) -> None:
        # A clock that was set back must not reorder the events of a process.
        time = head.wall if head.wall > self.times[index] else self.times[index]
        self.times[index] = time
        if head.event == MESSAGE_RECEIVED and self._is_blocked(index, head.cause):
            self.blocked.setdefault(head.cause, []).append(index)
            heapq.heappush(self.blocked_queue, (time, index, head.cause))
        else:
            heapq.heappush(self.ready, (time, index))

    def _is_blocked(self, index: int, cause: str) -> bool:
        if cause in self.sent_causes:
            return False
        sender = cause.rpartition(":")[0]
        return bool(self.open_streams.get(sender, set()) - {index})

    def _note_sent(self, cause: str) -> None:
        self.sent_causes.add(cause)
        if cause in self.blocked:
            self._unblock(cause)

    def _end_stream(self, index: int) -> None:
        for host, streams in self.open_streams.items():
            streams.discard(index)
            if not streams:
                self._unblock_messages_of(host)

    def _unblock_messages_of(self, host: str) -> None:
        for cause in [
            blocked_cause
            for blocked_cause in self.blocked
            if blocked_cause.rpartition(":")[0] == host
        ]:
            self._unblock(cause)

    def _unblock_oldest(self) -> bool:
        while self.blocked_queue:
            cause = heapq.heappop(self.blocked_queue)[2]
            if cause in self.blocked:
                self._unblock(cause)
                return True
        return False

    def _unblock(self, cause: str) -> None:
        for index in self.blocked.pop(cause, ()):
            heapq.heappush(self.ready, (self.times[index], index))


def merge_events(
    streams: Iterable[Iterable[LoggedEvent]],
    *,
    skew_limit_s: float = CLOCK_SKEW_LIMIT_S,
) -> Iterator[LoggedEvent]:
    """Merge the events of several processes so that causes come before effects.

    Parameters
    ----------
    streams : iterable of iterable of LoggedEvent
        One per process, each in the order in which its events were written.
    skew_limit_s : float
        Seconds by which clocks may differ; a receive event waits no longer for a send
        event that the sender's log doesn't contain.

    Returns
    -------
    iterator of LoggedEvent
    """
    return iter(_Merger(streams, skew_limit_s))
