"""Following of log streams, through peers while the log doesn't answer this host.

One control thread touches the state of this module.
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

ANSWER_LIMIT_BYTES = 512 << 10
ENTRY_OVERHEAD_BYTES = 40
QUESTIONS_KEPT = 256
OPEN_QUESTIONS_KEPT = 16


@register
@dataclass(frozen=True)
class LogTailRequest:
    """Asks a peer for the records of a stream from an offset on.

    Parameters
    ----------
    stream : str
    offset : int
    sequence : int
        Number of the question, unique for the sender.
    """

    stream: str
    offset: int
    sequence: int


@register
@dataclass(frozen=True)
class LogTail:
    """Answers a question for the tail of a stream.

    Parameters
    ----------
    stream : str
    sequence : int
        Number of the question.
    first_offset : int
        Offset from which `records` are complete.
    records : tuple of LogRecord
    next_offset : int
        Offset after the last one covered.
    is_current : bool
        Whether a read that the peer began after the question arrived had shown that
        the stream ended at `next_offset`.
    """

    stream: str
    sequence: int
    first_offset: int
    records: tuple[LogRecord, ...]
    next_offset: int
    is_current: bool


@dataclass(frozen=True)
class FollowerSettings:
    """Times and bounds of following the log.

    Parameters
    ----------
    page_limit : int
        Most records in one read; a shorter page shows the tail, so this is at most
        what the log service gives in one answer.
    poll_wait_s : float
        Seconds that a read waits for a new record.
    patient_wait_s : float
        The same for streams whose reads prove nothing but bring records.
    overdue_s : float
        Seconds without a complete read after which peers are asked.
    retry_s : float
        Seconds between a failure and the next read, and between questions.
    answer_s : float
        Seconds after which a peer's question is answered from memory.
    peers_asked : int
        Peers that are asked at a time.
    records_kept : int
        Records of a stream kept for peers.
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
    """A read of the log to carry out now.

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
    """Records handed over once each, in offset order.

    Parameters
    ----------
    stream : str
    records : tuple of LogRecord
    tail_sent_at : float or None
        Seconds at which the read of the tail was sent that these records complete;
        None if more may follow.
    gap_until : int or None
        Oldest offset that the log keeps, if records before it were missed.
    """

    stream: str
    records: tuple[LogRecord, ...]
    tail_sent_at: float | None = None
    gap_until: int | None = None


@dataclass
class Question:
    """A question of a peer that waits for this host's next read."""

    sender: str
    request: LogTailRequest
    arrived_at: float


@dataclass
class StreamState:
    """What is known of one stream."""

    is_patient: bool = False
    is_silent: bool = False
    next_offset: int = 0
    kept_from: int = 0
    kept: deque[LogRecord] = field(default_factory=deque)
    gap_until: int | None = None
    is_reading: bool = False
    read_at: float = -math.inf
    retry_at: float = -math.inf
    ask_at: float = -math.inf
    tail_read_at: float = -math.inf
    asked: dict[int, tuple[str, float]] = field(default_factory=dict)
    questions: deque[Question] = field(default_factory=deque)


class LogFollower:
    """Decides when to read and whom to ask, and hands each record over once.

    Parameters
    ----------
    settings : FollowerSettings
    streams : sequence of str
    host : str
        Host id of this process.
    random : random.Random
        Seeded generator for the choice of peers.
    patient_streams : collection of str
        Those of `streams` whose reads prove nothing but bring records. That the log is
        silent shows on the others.
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
        """Return the offset after the last record handed over."""
        return self.streams[stream].next_offset

    def is_overdue(self, stream: str, *, now: float) -> bool:
        """Return whether no read of the tail was sent and answered of late."""
        return self._is_overdue(self.streams[stream], now)

    def _is_overdue(self, state: StreamState, now: float) -> bool:
        age_s = now - state.tail_read_at
        if age_s >= self._get_limit(state):
            return True
        return age_s >= self.settings.overdue_s and any(
            self._is_overdue(other, now)
            for other in self.streams.values()
            if not other.is_patient
        )

    def _get_limit(self, state: StreamState) -> float:
        is_prompt = state.is_silent or not state.is_patient
        return self.settings.overdue_s if is_prompt else self._get_patience()

    def _get_patience(self) -> float:
        settings = self.settings
        longer_s = max(0.0, settings.patient_wait_s - settings.poll_wait_s)
        # A read that has just begun when a record comes doubles the age of the last.
        return settings.overdue_s + 2 * longer_s

    def plan_read(self, stream: str, *, now: float) -> ReadPlan | None:
        """Return the read to send at `now`, if one is due.

        The caller reports its end by `note_page` or `note_failure`.

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
        is_behind = self.is_overdue(stream, now=now) or bool(state.questions)
        settings = self.settings
        wait_s = settings.patient_wait_s if state.is_patient else settings.poll_wait_s
        wait_s = 0.0 if is_behind else wait_s
        return ReadPlan(stream, state.next_offset, self.settings.page_limit, wait_s)

    def note_page(
        self, plan: ReadPlan, page: LogPage, *, sent_at: float, now: float
    ) -> tuple[Delivery, list[Action]]:
        """Take in the answer to a planned read.

        Parameters
        ----------
        plan : ReadPlan
        page : LogPage
        sent_at : float
            Seconds at which the read was sent.
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
        records = self._advance(state, plan.offset, page.records, page.next_offset)
        gap_until, state.gap_until = state.gap_until, None
        if is_tail:
            state.tail_read_at = max(state.tail_read_at, sent_at)
            state.is_silent = False
        delivery = Delivery(
            plan.stream, records, sent_at if is_tail else None, gap_until
        )
        return delivery, self._answer_after_read(state, sent_at, is_tail, now)

    def note_failure(
        self, plan: ReadPlan, *, now: float, first_offset: int | None = None
    ) -> None:
        """Take in the failure of a planned read.

        Parameters
        ----------
        plan : ReadPlan
        now : float
        first_offset : int or None
            Oldest offset kept, if the log said that older records are gone.
        """
        state = self.streams[plan.stream]
        state.is_reading = False
        if first_offset is not None and first_offset > state.next_offset:
            state.gap_until = first_offset
            state.next_offset = state.kept_from = first_offset
            state.kept.clear()
            return
        state.retry_at = now + self.settings.retry_s

    def handle(
        self, message: Any, *, sender: str, now: float
    ) -> tuple[list[Delivery], list[Action]]:
        """Handle a question or an answer of a peer; others are ignored.

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
            return [], self._note_question(message, sender, now)
        if isinstance(message, LogTail):
            return self._note_answer(message, sender), []
        return [], []

    def tick(self, *, peers: Sequence[str], now: float) -> list[Action]:
        """Ask peers while the log doesn't answer, and answer overdue questions.

        Parameters
        ----------
        peers : sequence of str
            Host ids that may be asked.
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
            # Until its own read ends, this stream relies on peers.
            state.is_silent = True
            if now >= state.ask_at:
                actions += self._ask(stream, state, peers, now)
        return actions

    def next_due(self, *, now: float) -> float:
        """Return the time at which a read, a question or an answer is next due.

        Parameters
        ----------
        now : float

        Returns
        -------
        float
        """
        return min(self._next_due(state) for state in self.streams.values())

    def _next_due(self, state: StreamState) -> float:
        due = max(state.tail_read_at + self._get_limit(state), state.ask_at)
        if not state.is_reading:
            due = min(due, state.retry_at)
        if state.questions:
            due = min(due, state.questions[0].arrived_at + self.settings.answer_s)
        return due

    def _advance(
        self,
        state: StreamState,
        first_offset: int,
        records: Sequence[LogRecord],
        next_offset: int,
    ) -> tuple[LogRecord, ...]:
        if first_offset > state.next_offset:
            return ()
        new = tuple(r for r in records if r.offset >= state.next_offset)
        state.next_offset = max(state.next_offset, next_offset)
        state.kept.extend(new)
        while len(state.kept) > self.settings.records_kept:
            state.kept_from = state.kept.popleft().offset + 1
        return new

    def _ask(
        self, stream: str, state: StreamState, peers: Sequence[str], now: float
    ) -> list[Action]:
        others = sorted(peer for peer in peers if peer != self.host)
        chosen = self.random.sample(others, min(len(others), self.settings.peers_asked))
        state.ask_at = now + self.settings.retry_s
        actions: list[Action] = []
        for peer in chosen:
            self.sequence += 1
            state.asked[self.sequence] = (peer, now)
            request = LogTailRequest(stream, state.next_offset, self.sequence)
            actions.append(Send(peer, request))
        while len(state.asked) > OPEN_QUESTIONS_KEPT:
            del state.asked[next(iter(state.asked))]
        return actions

    def _note_answer(self, message: LogTail, sender: str) -> list[Delivery]:
        state = self.streams.get(message.stream)
        peer, asked_at = (
            state.asked.get(message.sequence, ("", 0.0)) if state else ("", 0)
        )
        if state is None or peer != sender or message.first_offset > state.next_offset:
            return []
        del state.asked[message.sequence]
        records = self._advance(
            state, message.first_offset, message.records, message.next_offset
        )
        if not records and not message.is_current:
            return []
        sent_at = asked_at if message.is_current else None
        gap_until, state.gap_until = state.gap_until, None
        return [Delivery(message.stream, records, sent_at, gap_until)]

    def _note_question(
        self, request: LogTailRequest, sender: str, now: float
    ) -> list[Action]:
        state = self.streams.get(request.stream)
        if state is None:
            return []
        if state.is_patient and not self._is_overdue(state, now):
            # The read that is open brings records at once; waiting for its end doesn't.
            question = Question(sender, request, now)
            return [self._build_answer(state, question, is_current=False)]
        if len(state.questions) >= QUESTIONS_KEPT:
            state.questions.popleft()
        state.questions.append(Question(sender, request, now))
        return []

    def _answer_after_read(
        self, state: StreamState, sent_at: float, is_tail: bool, now: float
    ) -> list[Action]:
        ready = [q for q in state.questions if is_tail and sent_at >= q.arrived_at]
        state.questions = deque(q for q in state.questions if q not in ready)
        actions = [self._build_answer(state, q, is_current=True) for q in ready]
        return actions + self._answer_overdue(state, now)

    def _answer_overdue(self, state: StreamState, now: float) -> list[Action]:
        actions: list[Action] = []
        while state.questions:
            question = state.questions[0]
            if now - question.arrived_at < self.settings.answer_s:
                break
            state.questions.popleft()
            actions.append(self._build_answer(state, question, is_current=False))
        return actions

    def _build_answer(
        self, state: StreamState, question: Question, *, is_current: bool
    ) -> Action:
        request = question.request
        first = max(request.offset, state.kept_from)
        records: list[LogRecord] = []
        next_offset = max(first, state.next_offset)
        room = ANSWER_LIMIT_BYTES
        for record in state.kept:
            if record.offset < first:
                continue
            room -= len(msgspec.msgpack.encode(record)) + ENTRY_OVERHEAD_BYTES
            if room < 0:
                next_offset, is_current = record.offset, False
                break
            records.append(record)
        answer = LogTail(
            request.stream,
            request.sequence,
            first,
            tuple(records),
            next_offset,
            is_current and first <= state.next_offset,
        )
        return Send(question.sender, answer)
