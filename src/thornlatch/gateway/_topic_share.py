"""Shared reads of the platform's store: one host reads topics on behalf of others.

In a large fleet the first relay of each domain reads for its domain; in a small fleet
one host reads for all.
"""

import itertools
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Annotated, Any

from msgspec import Meta

from thornlatch.core import read_clock, register
from thornlatch.fleet import UNKNOWN_EPOCH, DomainExchange, choose_by_capacity

CACHED_RECORDS = 3000  # about 20 s of registrations of 600 targets in 8 domains
ANSWER_LIMIT_RECORDS = 400  # keeps an answer below the size limit of messages
QUERY_LIMIT = 16  # queries of one read, more than the cached records take


@dataclass(frozen=True)
class TopicShareSettings:
    """Settings of shared reads.

    Parameters
    ----------
    answer_s : float
        Seconds to wait for the reading host's answer before the store is read instead.
    age_limit_s : float
        Seconds since the reading host's read began, above which a host reads the store
        itself, since the reading host may have lost its connection to the store. The
        sum with `period_s` and `answer_s` must stay below the time within which changes
        must be known.
    period_s : float
        Seconds between two queries for a topic.
    known_within_s : float
        Seconds within which all hosts must know of a change.
    """

    answer_s: Annotated[float, Meta(gt=0)] = 0.2
    age_limit_s: Annotated[float, Meta(gt=0)] = 0.9
    period_s: Annotated[float, Meta(gt=0)] = 0.4
    known_within_s: Annotated[float, Meta(gt=0)] = 2.0

    def scale(self, known_within_s: float) -> "TopicShareSettings":
        """Return the settings for another time within which changes must be known.

        Parameters
        ----------
        known_within_s : float

        Returns
        -------
        TopicShareSettings
        """
        ratio = known_within_s / self.known_within_s
        return replace(
            self,
            age_limit_s=self.age_limit_s * ratio,
            period_s=self.period_s * ratio,
            known_within_s=known_within_s,
        )


@register
@dataclass(frozen=True)
class TopicAsked:
    """Requests a topic's records from an offset on.

    Parameters
    ----------
    topic : str
    offset : int
    number : int
        Number of the query, unique in the requesting process.
    epoch : int
        Store epoch of the offset.
    """

    topic: str
    offset: int
    number: int
    epoch: int = UNKNOWN_EPOCH


@register
@dataclass(frozen=True)
class TopicAnswered:
    """Answers `TopicAsked`.

    Parameters
    ----------
    number : int
        Number of the query.
    next_offset : int
        Offset after the last record; -1 if the records aren't available.
    records : tuple of (str, bytes or None)
        Keys and values.
    age_s : float
        Seconds since the start of the read that found no further records.
    epoch : int
        Store epoch in which the answering host reads the topic.
    is_whole : bool
        Whether the answering host knows of no further records.
    """

    number: int
    next_offset: int
    records: tuple[tuple[str, bytes | None], ...]
    age_s: float
    epoch: int = UNKNOWN_EPOCH
    is_whole: bool = True


@dataclass
class _CachedRecords:
    epoch: int
    begin_offset: int
    end_offset: int
    read_started_at: float
    records: deque[tuple[str, bytes | None]] = field(
        default_factory=lambda: deque(maxlen=CACHED_RECORDS)
    )


@dataclass(frozen=True)
class _ReadProgress:
    """Offset up to which a host read a topic, and earliest start of that read."""

    epoch: int
    end_offset: int
    read_started_at: float


class _PendingQuery:
    def __init__(self, number: int) -> None:
        self.number = number
        self.answered = threading.Event()
        self.answer: TopicAnswered | None = None


class TopicShare:
    """Answers the queries of other hosts and sends this host's; thread-safe.

    The age of an answer is counted back from the time at which the query was sent, so
    that a delayed answer never makes old records appear recent.

    Parameters
    ----------
    settings : TopicShareSettings
    exchange : DomainExchange
    is_live : callable
        Returns whether a host is live.
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
        self.cached: dict[str, _CachedRecords] = {}
        # By reading host and topic.
        self.progress: dict[tuple[str, str], _ReadProgress] = {}
        self.pending_queries: dict[int, _PendingQuery] = {}
        self.query_numbers = itertools.count(1)

    def must_read_store(self) -> bool:
        """Return whether this host has to read the store itself."""
        readers = self._list_readers()
        return not readers or readers[0] == self.exchange.host

    def _list_readers(self) -> list[str]:
        """Return the hosts that may read for this one, in order of preference."""
        exchange = self.exchange
        if exchange.is_large:
            return exchange.get_relays(exchange.domain, now=read_clock())
        members = exchange.members
        silent = [
            host for host in members if host != exchange.host and not self.is_live(host)
        ]
        return choose_by_capacity(members, None, silent, exchange.settings.relays)

    def publish(
        self,
        topic: str,
        offset: int,
        records: list[tuple[str, bytes | None]],
        next_offset: int,
        *,
        read_started_at: float,
        epoch: int = UNKNOWN_EPOCH,
    ) -> None:
        """Cache records read from the store, for other hosts.

        Parameters
        ----------
        topic : str
        offset : int
            Offset of the first record.
        records : list of (str, bytes or None)
            Keys and values.
        next_offset : int
            Offset after the last record.
        read_started_at : float
            When the read began.
        epoch : int
            Store epoch of the offsets.
        """
        with self.lock:
            cached = self.cached.get(topic)
            if cached is None or (cached.epoch, cached.end_offset) != (epoch, offset):
                cached = self.cached[topic] = _CachedRecords(
                    epoch, offset, offset, read_started_at
                )
            cached.records.extend(records)
            cached.end_offset = next_offset
            cached.begin_offset = cached.end_offset - len(cached.records)
            cached.read_started_at = read_started_at

    def list_reads(
        self, *, now: float, epoch: int = UNKNOWN_EPOCH
    ) -> dict[str, tuple[int, float]]:
        """Return the progress of this host's reads for others, as sent in digests.

        Parameters
        ----------
        now : float
        epoch : int
            Reads of other store epochs are left out.

        Returns
        -------
        dict of str to (int, float)
            Offset up to which a topic was read and seconds since that read began, by
            topic.
        """
        with self.lock:
            return {
                topic: (cached.end_offset, now - cached.read_started_at)
                for topic, cached in self.cached.items()
                if cached.epoch == epoch
            }

    def note_reads(
        self,
        host: str,
        reads: dict[str, tuple[int, float]],
        *,
        sent_at: float,
        epoch: int = UNKNOWN_EPOCH,
    ) -> None:
        """Record the progress of another host's reads.

        Parameters
        ----------
        host : str
        reads : dict of str to (int, float)
            As returned by `list_reads` of that host.
        sent_at : float
            Time of this host's clock at which the other host hadn't built `reads` yet.
        epoch : int
            Store epoch of `reads`.
        """
        for topic, (end_offset, age_s) in reads.items():
            self.progress[host, topic] = _ReadProgress(
                epoch, end_offset, sent_at - age_s
            )

    def fetch(
        self,
        topic: str,
        offset: int,
        *,
        age_limit_s: float | None = None,
        epoch: int = UNKNOWN_EPOCH,
    ) -> TopicAnswered | None:
        """Return all of a topic's records from the host that reads for this one.

        No query is sent if the digest of that host shows that there are no new records.

        Parameters
        ----------
        topic : str
        offset : int
        age_limit_s : float or None
            Maximum age of the answer; None for the limit of the settings.
        epoch : int
            Store epoch of the offset.

        Returns
        -------
        TopicAnswered or None
            None if this host has to read the store itself.
        """
        limit_s = age_limit_s or self.settings.age_limit_s
        readers = self._list_readers()
        if not readers or readers[0] == self.exchange.host:
            return None
        progress = self.progress.get((readers[0], topic))
        if progress is not None and (progress.epoch, progress.end_offset) == (
            epoch,
            offset,
        ):
            age_s = read_clock() - progress.read_started_at
            if age_s < limit_s:
                return TopicAnswered(0, offset, (), age_s, epoch)
        # A query to a second host could delay changes beyond their time limit.
        answer = self._query_all(readers[0], topic, offset, epoch)
        return answer if answer is not None and answer.age_s < limit_s else None

    def _query_all(
        self, host: str, topic: str, offset: int, epoch: int
    ) -> TopicAnswered | None:
        """Query until the answers have all records that the other host knows of."""
        records: tuple[tuple[str, bytes | None], ...] = ()
        for _ in range(QUERY_LIMIT):
            answer = self._query(host, topic, offset, epoch)
            if answer is None or answer.next_offset < offset or answer.epoch != epoch:
                return None
            records += answer.records
            if answer.is_whole:
                return replace(answer, records=records)
            offset = answer.next_offset
        return None

    def _query(
        self, host: str, topic: str, offset: int, epoch: int
    ) -> TopicAnswered | None:
        query = _PendingQuery(next(self.query_numbers))
        self.pending_queries[query.number] = query
        try:
            self.send(host, TopicAsked(topic, offset, query.number, epoch))
            query.answered.wait(self.settings.answer_s)
            return query.answer
        finally:
            del self.pending_queries[query.number]

    def handle_message(self, sender: str, message: object, *, now: float) -> None:
        """Handle a query or an answer of another host.

        Parameters
        ----------
        sender : str
        message : object
        now : float
        """
        if isinstance(message, TopicAsked):
            self.send(sender, self._build_answer(message, now))
        elif isinstance(message, TopicAnswered):
            query = self.pending_queries.get(message.number)
            if query is not None:
                query.answer = message
                query.answered.set()

    def _build_answer(self, message: TopicAsked, now: float) -> TopicAnswered:
        with self.lock:
            cached = self.cached.get(message.topic)
            if cached is None:
                return TopicAnswered(message.number, -1, (), 0.0)
            epoch = cached.epoch
            if message.epoch != epoch or message.offset < cached.begin_offset:
                return TopicAnswered(message.number, -1, (), 0.0, epoch)
            if message.offset > cached.end_offset:
                # The requesting host has read further in the store itself.
                age_s = now - cached.read_started_at
                return TopicAnswered(message.number, message.offset, (), age_s, epoch)
            begin = message.offset - cached.begin_offset
            end = min(begin + ANSWER_LIMIT_RECORDS, len(cached.records))
            records = tuple(itertools.islice(cached.records, begin, end))
            return TopicAnswered(
                message.number,
                message.offset + len(records),
                records,
                now - cached.read_started_at,
                epoch,
                is_whole=end == len(cached.records),
            )
