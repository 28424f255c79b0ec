"""Follows log streams, with peers as the source while the log doesn't answer this host.

Only the control thread may access the state of this module.
"""

import math
from collections import deque
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from thornlatch.core import Action, Send, register
from thornlatch.logservice._clients import LogPage, LogRecord

TAIL_LIMIT_BYTES = 512 << 10
RECORD_OVERHEAD_BYTES = 40
PENDING_REQUEST_LIMIT = 256
SENT_REQUEST_LIMIT = 16


@register
@dataclass(frozen=True)
class LogTailRequest:
    """Requests the records of a stream from a peer, starting at an offset.

    Parameters
    ----------
    stream : str
    offset : int
    sequence : int
        Number of the request, unique per sender.
    """

    stream: str
    offset: int
    sequence: int


@register
@dataclass(frozen=True)
class LogTail:
    """Answers a `LogTailRequest`.

    Parameters
    ----------
    stream : str
    sequence : int
        Number of the request.
    first_offset : int
        Offset from which `records` are complete.
    records : tuple of LogRecord
    next_offset : int
        Offset after the last record covered.
    is_current : bool
        Whether the stream ended at `next_offset` according to a read that the peer
        began after it received the request.
    """

    stream: str
    sequence: int
    first_offset: int
    records: tuple[LogRecord, ...]
    next_offset: int
    is_current: bool


@dataclass(frozen=True)
class FollowerSettings:
    """Intervals and limits for following the log.

    Parameters
    ----------
    page_limit : int
        Maximum number of records per read. A shorter page is taken as the end of the
        stream, so this must not exceed what the log service returns in one answer.
    poll_wait_s : float
        Seconds that a read waits for a new record.
    patient_wait_s : float
        The same for patient streams: their reads only fetch records and don't confirm
        that this host is up to date.
    overdue_s : float
        Seconds without a read to the end of the stream after which peers are queried.
    retry_s : float
        Seconds between a failure and the next read, and between requests to peers.
    answer_s : float
        Seconds after which a peer's request is answered from the records in memory.
    peers_asked : int
        Number of peers queried at a time.
    records_kept : int
        Records per stream kept in memory for peers.
    """

    page_limit: Annotated[int, Meta(ge=1, le=100_000)] = 1000
    poll_wait_s: Annotated[float, Meta(ge=0, le=10)] = 0.5
    patient_wait_s: Annotated[float, Meta(ge=0, le=10)] = 2.0
    overdue_s: Annotated[float, Meta(gt=0, le=60)] = 1.2
    retry_s: Annotated[float, Meta(gt=0, le=60)] = 0.2
    answer_s: Annotated[float, Meta(gt=0, le=60)] = 1.0
    peers_asked: Annotated[int, Meta(ge=1, le=16)] = 2
    records_kept: Annotated[int, Meta(ge=0, le=100_000)] = 2000


@dataclass(frozen=True)
class ReadPlan:
    """A read of the log that is due.

    Parameters
    ----------
    stream : str
    offset : int
    limit : int
    wait_s : float
    """

    stream: str
    offset: int
    limit: int
    wait_s: float


@dataclass(frozen=True)
class Delivery:
    """Records of a stream, in offset order; each record is delivered once.

    Parameters
    ----------
    stream : str
    records : tuple of LogRecord
    tail_sent_at : float or None
        Time in seconds at which the read that reached the end of the stream with these
        records was sent; None if more records may follow.
    gap_until : int or None
        Oldest offset that the log keeps, if older records were missed.
    """

    stream: str
    records: tuple[LogRecord, ...]
    tail_sent_at: float | None = None
    gap_until: int | None = None


@dataclass
class PendingRequest:
    """A request of a peer that waits for this host's next read."""

    sender: str
    request: LogTailRequest
    arrived_at: float


@dataclass
class StreamState:
    """Progress, kept records and open requests of a stream."""

    is_patient: bool = False
    is_relying_on_peers: bool = False
    next_offset: int = 0
    first_kept_offset: int = 0
    kept_records: deque[LogRecord] = field(default_factory=deque)
    gap_until: int | None = None
    is_reading: bool = False
    read_at: float = -math.inf
    retry_at: float = -math.inf
    next_request_at: float = -math.inf
    last_tail_sent_at: float = -math.inf
    sent_requests: dict[int, tuple[str, float]] = field(default_factory=dict)
    pending_requests: deque[PendingRequest] = field(default_factory=deque)


class LogFollower:
    """Decides when to read and which peers to query; delivers each record once.

    Parameters
    ----------
    settings : FollowerSettings
    streams : sequence of str
    host : str
        Host id of this process.
    random : random.Random
        Random generator for the choice of peers.
    patient_streams : collection of str
        Those of `streams` whose reads only fetch records and don't confirm that this
        host is up to date. Outages of the log are detected on the other streams.
    """

    def __init__(
        self,
        settings: FollowerSettings,
        streams: Sequence[str],
        *,
        host: str,
        random: Random,
        patient_streams: Collection[str] = (),
    ) -> None:
        self.settings = settings
        self.host = host
        self.random = random
        self.streams = {
            stream: StreamState(is_patient=stream in patient_streams)
            for stream in streams
        }
        self.sequence = 0

    def get_next_offset(self, stream: str) -> int:
        """Return the offset after the last record delivered."""
        return self.streams[stream].next_offset

    def is_overdue(self, stream: str, *, now: float) -> bool:
        """Return whether no recent read reached the end of the stream."""
        return self._is_overdue(self.streams[stream], now)

    def _is_overdue(self, state: StreamState, now: float) -> bool:
        age_s = now - state.last_tail_sent_at
        if age_s >= self._get_overdue_limit_s(state):
            return True
        return age_s >= self.settings.overdue_s and any(
            self._is_overdue(other, now)
            for other in self.streams.values()
            if not other.is_patient
        )

    def _get_overdue_limit_s(self, state: StreamState) -> float:
        has_short_limit = state.is_relying_on_peers or not state.is_patient
        return (
            self.settings.overdue_s if has_short_limit else self._get_patient_limit_s()
        )

    def _get_patient_limit_s(self) -> float:
        settings = self.settings
        extra_wait_s = max(0.0, settings.patient_wait_s - settings.poll_wait_s)
        # The age counts from when the last completed read was sent. Just before the
        # next read completes, it therefore covers the waits of both reads.
        return settings.overdue_s + 2 * extra_wait_s

    def plan_read(self, stream: str, *, now: float) -> ReadPlan | None:
        """Return the read to send at `now`, if one is due.

        The caller reports the result with `note_page` or `note_failure`.

        Parameters
        ----------
        stream : str
        now : float

        Returns
        -------
        ReadPlan or None
        """
        state = self.streams[stream]
        if state.is_reading or now < state.retry_at:
            return None
        state.is_reading = True
        state.read_at = now
        is_immediate = self.is_overdue(stream, now=now) or bool(state.pending_requests)
        settings = self.settings
        wait_s = settings.patient_wait_s if state.is_patient else settings.poll_wait_s
        wait_s = 0.0 if is_immediate else wait_s
        return ReadPlan(stream, state.next_offset, self.settings.page_limit, wait_s)

    def note_page(
        self, plan: ReadPlan, page: LogPage, *, sent_at: float, now: float
    ) -> tuple[Delivery, list[Action]]:
        """Process the page returned by a planned read.

        Parameters
        ----------
        plan : ReadPlan
        page : LogPage
        sent_at : float
            Time in seconds at which the read was sent.
        now : float

        Returns
        -------
        delivery : Delivery
        actions : list of Action
            Answers to peers.
        """
        state = self.streams[plan.stream]
        state.is_reading = False
        is_tail = len(page.records) < plan.limit
        records = self._accept_records(
            state, plan.offset, page.records, page.next_offset
        )
        gap_until, state.gap_until = state.gap_until, None
        if is_tail:
            state.last_tail_sent_at = max(state.last_tail_sent_at, sent_at)
            state.is_relying_on_peers = False
        delivery = Delivery(
            plan.stream, records, sent_at if is_tail else None, gap_until
        )
        return delivery, self._answer_after_read(state, sent_at, is_tail, now)

    def note_failure(
        self, plan: ReadPlan, *, now: float, first_offset: int | None = None
    ) -> None:
        """Process the failure of a planned read.

        Parameters
        ----------
        plan : ReadPlan
        now : float
        first_offset : int or None
            Oldest offset kept, if the log reported that older records were removed.
        """
        state = self.streams[plan.stream]
        state.is_reading = False
        if first_offset is not None and first_offset > state.next_offset:
            state.gap_until = first_offset
            state.next_offset = state.first_kept_offset = first_offset
            state.kept_records.clear()
            return
        state.retry_at = now + self.settings.retry_s

    def handle(
        self, message: Any, *, sender: str, now: float
    ) -> tuple[list[Delivery], list[Action]]:
        """Handle a request or an answer of a peer; other messages are ignored.

        Parameters
        ----------
        message : object
        sender : str
        now : float

        Returns
        -------
        deliveries : list of Delivery
        actions : list of Action
        """
        if isinstance(message, LogTailRequest):
            return [], self._handle_request(message, sender, now)
        if isinstance(message, LogTail):
            return self._apply_tail(message, sender), []
        return [], []

    def tick(self, *, peers: Sequence[str], now: float) -> list[Action]:
        """Query peers while the log doesn't answer, and answer overdue requests.

        Parameters
        ----------
        peers : sequence of str
            Host ids that may be queried.
        now : float

        Returns
        -------
        list of Action
        """
        actions: list[Action] = []
        for stream, state in self.streams.items():
            actions += self._answer_overdue(state, now)
            if not self._is_overdue(state, now):
                continue
            # The stream relies on peers until a read of its own reaches the end.
            state.is_relying_on_peers = True
            if now >= state.next_request_at:
                actions += self._query_peers(stream, state, peers, now)
        return actions

    def next_due(self, *, now: float) -> float:
        """Return the time at which a read, a request or an answer is next due.

        Parameters
        ----------
        now : float

        Returns
        -------
        float
        """
        return min(self._next_due(state) for state in self.streams.values())

    def _next_due(self, state: StreamState) -> float:
        due = max(
            state.last_tail_sent_at + self._get_overdue_limit_s(state),
            state.next_request_at,
        )
        if not state.is_reading:
            due = min(due, state.retry_at)
        if state.pending_requests:
            due = min(
                due, state.pending_requests[0].arrived_at + self.settings.answer_s
            )
        return due

    def _accept_records(
        self,
        state: StreamState,
        first_offset: int,
        records: Sequence[LogRecord],
        next_offset: int,
    ) -> tuple[LogRecord, ...]:
        if first_offset > state.next_offset:
            return ()
        new_records = tuple(
            record for record in records if record.offset >= state.next_offset
        )
        state.next_offset = max(state.next_offset, next_offset)
        state.kept_records.extend(new_records)
        while len(state.kept_records) > self.settings.records_kept:
            state.first_kept_offset = state.kept_records.popleft().offset + 1
        return new_records

    def _query_peers(
        self, stream: str, state: StreamState, peers: Sequence[str], now: float
    ) -> list[Action]:
        candidates = sorted(peer for peer in peers if peer != self.host)
        recipients = self.random.sample(
            candidates, min(len(candidates), self.settings.peers_asked)
        )
        state.next_request_at = now + self.settings.retry_s
        actions: list[Action] = []
        for peer in recipients:
            self.sequence += 1
            state.sent_requests[self.sequence] = (peer, now)
            request = LogTailRequest(stream, state.next_offset, self.sequence)
            actions.append(Send(peer, request))
        while len(state.sent_requests) > SENT_REQUEST_LIMIT:
            del state.sent_requests[next(iter(state.sent_requests))]
        return actions

    def _apply_tail(self, message: LogTail, sender: str) -> list[Delivery]:
        state = self.streams.get(message.stream)
        peer, requested_at = (
            state.sent_requests.get(message.sequence, ("", 0.0)) if state else ("", 0)
        )
        if state is None or peer != sender or message.first_offset > state.next_offset:
            return []
        del state.sent_requests[message.sequence]
        records = self._accept_records(
            state, message.first_offset, message.records, message.next_offset
        )
        if not records and not message.is_current:
            return []
        sent_at = requested_at if message.is_current else None
        gap_until, state.gap_until = state.gap_until, None
        return [Delivery(message.stream, records, sent_at, gap_until)]

    def _handle_request(
        self, request: LogTailRequest, sender: str, now: float
    ) -> list[Action]:
        state = self.streams.get(request.stream)
        if state is None:
            return []
        if state.is_patient and not self._is_overdue(state, now):
            # The open read fetches records as soon as they are appended, so waiting for
            # its end would only delay the answer.
            pending = PendingRequest(sender, request, now)
            return [self._build_answer(state, pending, is_current=False)]
        if len(state.pending_requests) >= PENDING_REQUEST_LIMIT:
            state.pending_requests.popleft()
        state.pending_requests.append(PendingRequest(sender, request, now))
        return []

    def _answer_after_read(
        self, state: StreamState, sent_at: float, is_tail: bool, now: float
    ) -> list[Action]:
        ready = [
            pending
            for pending in state.pending_requests
            if is_tail and sent_at >= pending.arrived_at
        ]
        state.pending_requests = deque(
            pending for pending in state.pending_requests if pending not in ready
        )
        actions = [
            self._build_answer(state, pending, is_current=True) for pending in ready
        ]
        return actions + self._answer_overdue(state, now)

    def _answer_overdue(self, state: StreamState, now: float) -> list[Action]:
        actions: list[Action] = []
        while state.pending_requests:
            pending = state.pending_requests[0]
            if now - pending.arrived_at < self.settings.answer_s:
                break
            state.pending_requests.popleft()
            actions.append(self._build_answer(state, pending, is_current=False))
        return actions

    def _build_answer(
        self, state: StreamState, pending: PendingRequest, *, is_current: bool
    ) -> Action:
        request = pending.request
        first_offset = max(request.offset, state.first_kept_offset)
        records: list[LogRecord] = []
        next_offset = max(first_offset, state.next_offset)
        remaining_bytes = TAIL_LIMIT_BYTES
        for record in state.kept_records:
            if record.offset < first_offset:
                continue
            remaining_bytes -= (
                len(msgspec.msgpack.encode(record)) + RECORD_OVERHEAD_BYTES
            )
            if remaining_bytes < 0:
                next_offset, is_current = record.offset, False
                break
            records.append(record)
        answer = LogTail(
            request.stream,
            request.sequence,
            first_offset,
            tuple(records),
            next_offset,
            is_current and first_offset <= state.next_offset,
        )
        return Send(pending.sender, answer)
