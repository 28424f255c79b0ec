"""Reads of the platform's store that one host makes for others.

In a large fleet that is the first relay of each domain, else one host of the fleet.
"""

import itertools
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Annotated, Any

from msgspec import Meta

from thornlatch.core import read_clock, register
from thornlatch.fleet import DomainExchange, choose_by_capacity

KEPT_RECORDS = 3000  # about 20 s of registrations of 600 targets in 8 domains
ANSWER_RECORDS = 400  # keeps an answer below the limit of a message


@dataclass(frozen=True)
class TopicShareSettings:
    """How hosts read through each other.

    Parameters
    ----------
    answer_s : float
        Seconds after which a host that doesn't answer is passed over.
    age_limit_s : float
        Seconds since the read of the answering host began, above which a host reads
        the store itself: the other one may have lost it. With the period and the wait
        for an answer it must stay below the 2 s in which news must be known.
    period_s : float
        Seconds between two questions for a topic.
    """

    answer_s: Annotated[float, Meta(gt=0)] = 0.2
    age_limit_s: Annotated[float, Meta(gt=0)] = 0.9
    period_s: Annotated[float, Meta(gt=0)] = 0.4


@register
@dataclass(frozen=True)
class TopicAsked:
    """Asks for a topic's records from an offset on.

    Parameters
    ----------
    topic : str
    offset : int
    number : int
        Of the question, in the asking process.
    """

    topic: str
    offset: int
    number: int


@register
@dataclass(frozen=True)
class TopicAnswered:
    """Answers `TopicAsked`.

    Parameters
    ----------
    number : int
        Of the question.
    next_offset : int
        Where to read on; -1 if the records aren't known.
    records : tuple of (str, bytes or None)
        Keys and values.
    age_s : float
        Seconds since the read began that confirmed that there is nothing else.
    """

    number: int
    next_offset: int
    records: tuple[tuple[str, bytes | None], ...]
    age_s: float


@dataclass
class _Kept:
    begin: int
    end: int
    asked_at: float
    records: deque[tuple[str, bytes | None]] = field(
        default_factory=lambda: deque(maxlen=KEPT_RECORDS)
    )


@dataclass(frozen=True)
class _Noted:
    """How far a host had read a topic, and when that read began at the earliest."""

    end: int
    asked_at: float


class _Question:
    def __init__(self, number: int) -> None:
        self.number = number
        self.answered = threading.Event()
        self.answer: TopicAnswered | None = None


class TopicShare:
    """Answers other hosts' questions and asks its own; safe for threads.

    An answer can't make old knowledge look new, however long it takes: its age counts
    back from the moment at which the question was sent.

    Parameters
    ----------
    settings : TopicShareSettings
    exchange : DomainExchange
    is_live : callable
        Whether a host is heard of.
    send : callable
        Sends a message to a host.
    """

    def __init__(
        self,
        settings: TopicShareSettings,
        exchange: DomainExchange,
        is_live: Callable[[str], bool],
        send: Callable[[str, Any], None],
    ) -> None:
        self.settings = settings
        self.exchange = exchange
        self.is_live = is_live
        self.send = send
        self.lock = threading.Lock()
        self.kept: dict[str, _Kept] = {}
        # By the host that reads and the topic.
        self.noted: dict[tuple[str, str], _Noted] = {}
        self.questions: dict[int, _Question] = {}
        self.numbers = itertools.count(1)

    def must_read(self) -> bool:
        """Return whether this host reads the store itself."""
        readers = self._list_readers()
        return not readers or readers[0] == self.exchange.host

    def _list_readers(self) -> list[str]:
        """Return the hosts that may read for this one, the first one first."""
        exchange = self.exchange
        if exchange.is_large:
            return exchange.get_relays(exchange.domain, now=read_clock())
        members = exchange.members
        silent = [h for h in members if h != exchange.host and not self.is_live(h)]
        return choose_by_capacity(members, None, silent, exchange.settings.relays)

    def publish(
        self,
        topic: str,
        offset: int,
        records: list[tuple[str, bytes | None]],
        next_offset: int,
        *,
        asked_at: float,
    ) -> None:
        """Keep what was read from the store for other hosts.

        Parameters
        ----------
        topic : str
        offset : int
            Where the read began.
        records : list of (str, bytes or None)
        next_offset : int
        asked_at : float
            When the read began.
        """
        with self.lock:
            kept = self.kept.get(topic)
            if kept is None or kept.end != offset:
                kept = self.kept[topic] = _Kept(offset, offset, asked_at)
            kept.records.extend(records)
            kept.end = next_offset
            kept.begin = kept.end - len(kept.records)
            kept.asked_at = asked_at

    def list_reads(self, *, now: float) -> dict[str, tuple[int, float]]:
        """Return how far this host has read for others, as digests carry it.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict of str to (int, float)
            Topic to the offset read up to and the seconds since that read began.
        """
        with self.lock:
            return {
                topic: (kept.end, now - kept.asked_at)
                for topic, kept in self.kept.items()
            }

    def note_reads(
        self, host: str, reads: dict[str, tuple[int, float]], *, sent_at: float
    ) -> None:
        """Note how far another host has read.

        Parameters
        ----------
        host : str
        reads : dict of str to (int, float)
            As `list_reads` returns it.
        sent_at : float
            A moment of this host's clock before the other one wrote them.
        """
        for topic, (end, age_s) in reads.items():
            self.noted[host, topic] = _Noted(end, sent_at - age_s)

    def ask(
        self, topic: str, offset: int, *, age_limit_s: float | None = None
    ) -> TopicAnswered | None:
        """Return a topic's records from the host that reads for this one.

        It is asked only if its digest doesn't say that there is nothing new.

        Parameters
        ----------
        topic : str
        offset : int
        age_limit_s : float or None
            In place of the setting.

        Returns
        -------
        TopicAnswered or None
            None if the store has to be read.
        """
        limit_s = age_limit_s or self.settings.age_limit_s
        readers = self._list_readers()
        if not readers or readers[0] == self.exchange.host:
            return None
        noted = self.noted.get((readers[0], topic))
        if noted is not None and noted.end == offset:
            age_s = read_clock() - noted.asked_at
            if age_s < limit_s:
                return TopicAnswered(0, offset, (), age_s)
        # Another one would cost time that the news may not have.
        answer = self._ask_one(readers[0], topic, offset)
        if answer is None or answer.next_offset < 0:
            return None
        return answer if answer.age_s < limit_s else None

    def _ask_one(self, host: str, topic: str, offset: int) -> TopicAnswered | None:
        question = _Question(next(self.numbers))
        self.questions[question.number] = question
        try:
            self.send(host, TopicAsked(topic, offset, question.number))
            question.answered.wait(self.settings.answer_s)
            return question.answer
        finally:
            del self.questions[question.number]

    def take(self, sender: str, message: object, *, now: float) -> None:
        """Take a question or an answer of another host.

        Parameters
        ----------
        sender : str
        message : object
        now : float
        """
        if isinstance(message, TopicAsked):
            self.send(sender, self._answer(message, now))
        elif isinstance(message, TopicAnswered):
            question = self.questions.get(message.number)
            if question is not None:
                question.answer = message
                question.answered.set()

    def _answer(self, message: TopicAsked, now: float) -> TopicAnswered:
        with self.lock:
            kept = self.kept.get(message.topic)
            if kept is None or message.offset < kept.begin:
                return TopicAnswered(message.number, -1, (), 0.0)
            if message.offset > kept.end:
                # The other host has just read the store itself.
                age_s = now - kept.asked_at
                return TopicAnswered(message.number, message.offset, (), age_s)
            first = message.offset - kept.begin
            last = min(first + ANSWER_RECORDS, len(kept.records))
            records = tuple(itertools.islice(kept.records, first, last))
            return TopicAnswered(
                message.number,
                message.offset + len(records),
                records,
                now - kept.asked_at,
            )
