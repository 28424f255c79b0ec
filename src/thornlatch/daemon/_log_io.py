"""Threads that read and append to the log on behalf of the control thread."""

import math
import queue
import time
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from typing import Any

import logbook

from thornlatch.configuration import decode_entry
from thornlatch.core import Action, decode_record, encode_record
from thornlatch.exceptions import InvalidInput
from thornlatch.logservice import (
    Delivery,
    LogClient,
    LogFollower,
    LogPage,
    LogRecord,
    LogTail,
    LogTailRequest,
    PlatformError,
    ReadPlan,
)

logger = logbook.Logger("thornlatch.log")

APPEND_BATCH = 500
WARN_EVERY_S = 10.0
CONFIGURATION_STREAM = "configuration"
Submit = Callable[[Callable[[float], list[Action]]], None]
DeliveryHandler = Callable[[Delivery, float], list[Action]]


class LogReader:
    """Executes the reads that a `LogFollower` plans, as a slice of the control loop.

    All methods are called by the control thread; reads run in separate threads.

    Parameters
    ----------
    client : LogClient
    follower : LogFollower
    submit : callable
        Runs a command in the control thread.
    on_delivery : callable
        Takes a delivery and `now` and returns actions.
    on_failure : callable
        Takes the stream and `now` and returns actions; not called if the read failed
        because its records were trimmed.
    iter_peers : callable
        Returns the ids of the hosts from which the log's tail may be requested.
    """

    def __init__(
        self,
        client: LogClient,
        follower: LogFollower,
        *,
        submit: Submit,
        on_delivery: DeliveryHandler,
        on_failure: Callable[[str, float], list[Action]],
        iter_peers: Callable[[], Sequence[str]],
    ) -> None:
        self.client = client
        self.follower = follower
        self.submit = submit
        self.on_delivery = on_delivery
        self.on_failure = on_failure
        self.iter_peers = iter_peers
        self.is_stopping = False
        self.page_limits: dict[str, int] = {}
        self.failures: dict[str, tuple[float, float]] = {}
        self.executor = ThreadPoolExecutor(2 * len(follower.streams), "log-reader")

    def replace_follower(self, follower: LogFollower) -> None:
        """Read every stream again from its start, with the follower of a new session.

        Parameters
        ----------
        follower : LogFollower
        """
        self.follower = follower

    def stop(self) -> None:
        """Start no further reads."""
        self.is_stopping = True
        self.executor.shutdown(wait=False, cancel_futures=True)

    def handle(self, message: Any, *, sender: str, now: float) -> list[Action]:
        """Handle a peer's request for the log's tail, or its answer to one."""
        deliveries, actions = self.follower.handle(message, sender=sender, now=now)
        for delivery in deliveries:
            actions += self.on_delivery(delivery, now)
        return actions

    def handles(self, kind: type) -> bool:
        """Return whether `handle` acts on messages of a class."""
        return issubclass(kind, LogTailRequest | LogTail)

    def apply_record(self, offset: int, record: Any, *, now: float) -> list[Action]:
        """Ignore records: this slice delivers them."""
        return []

    def tick(self, *, now: float) -> list[Action]:
        """Start the reads that are due; request tails from peers in an outage."""
        if self.is_stopping:
            return []
        for stream in self.follower.streams:
            self._start_read(stream, now)
        return self.follower.tick(peers=self.iter_peers(), now=now)

    def next_due(self, *, now: float) -> float:
        """Return the time at which a read, a request or an answer is next due."""
        return self.follower.next_due(now=now)

    def _start_read(self, stream: str, now: float) -> None:
        plan = self.follower.plan_read(stream, now=now)
        if plan is None or self.is_stopping:
            return
        limit = min(plan.limit, self.page_limits.get(stream, plan.limit))
        self.executor.submit(self._read, self.follower, replace(plan, limit=limit))

    def _read(self, follower: LogFollower, plan: ReadPlan) -> None:
        sent_at = time.monotonic()
        try:
            page = self.client.read(
                plan.stream, plan.offset, limit=plan.limit, wait_s=plan.wait_s
            )
        except PlatformError as error:
            self._report_failure(follower, plan, error)
            return
        self.submit(lambda now: self._apply_page(follower, plan, page, sent_at, now))

    def _apply_page(
        self,
        follower: LogFollower,
        plan: ReadPlan,
        page: LogPage,
        sent_at: float,
        now: float,
    ) -> list[Action]:
        if follower is not self.follower:
            return []
        self.page_limits.pop(plan.stream, None)
        self._note_success(plan.stream, now)
        delivery, actions = follower.note_page(plan, page, sent_at=sent_at, now=now)
        actions += self.on_delivery(delivery, now)
        self._start_read(plan.stream, now)
        return actions

    def _report_failure(
        self, follower: LogFollower, plan: ReadPlan, error: PlatformError
    ) -> None:
        is_trimmed = error.first_offset is not None

        def apply_failure(now: float) -> list[Action]:
            if follower is not self.follower:
                return []
            if not is_trimmed:
                self._warn_failure(plan.stream, error, now)
            follower.note_failure(plan, now=now, first_offset=error.first_offset)
            if error.status == 200:
                # The page exceeded the client's size limit; fewer records may fit.
                self.page_limits[plan.stream] = max(1, plan.limit // 2)
            return [] if is_trimmed else self.on_failure(plan.stream, now)

        self.submit(apply_failure)

    def _warn_failure(self, stream: str, error: PlatformError, now: float) -> None:
        # Without the interval, an outage would log one line per retry.
        failing_since, warned_at = self.failures.get(stream, (now, -math.inf))
        if now - warned_at >= WARN_EVERY_S:
            detail = {
                "stream": stream,
                "error": error.message,
                "for_s": now - failing_since,
            }
            logger.warning("log.read_failed", extra=detail)
            warned_at = now
        self.failures[stream] = failing_since, warned_at

    def _note_success(self, stream: str, now: float) -> None:
        failure = self.failures.pop(stream, None)
        if failure is not None:
            detail = {"stream": stream, "after_s": now - failure[0]}
            logger.info("log.read_again", extra=detail)


class LogAppender:
    """Appends records to the log in batches, in one thread.

    Parameters
    ----------
    client : LogClient
    """

    def __init__(self, client: LogClient) -> None:
        self.client = client
        self.pending: queue.SimpleQueue[tuple[str, Any] | None] = queue.SimpleQueue()
        self.executor = ThreadPoolExecutor(1, "log-appender")
        self.append_count = 0
        self.failure_count = 0
        self.finished = self.executor.submit(self._run)

    def append(self, stream: str, record: Any) -> None:
        """Queue a record; slices append it again if they don't read it back.

        Parameters
        ----------
        stream : str
        record : object
            Registered frozen data class.
        """
        self.pending.put((stream, encode_record(record)))

    def stop(self, timeout_s: float) -> None:
        """Append the queued records, then end the thread.

        Parameters
        ----------
        timeout_s : float
            Seconds to wait for the thread. Records that aren't appended by then are
            lost, which a log line tells.
        """
        self.pending.put(None)
        try:
            self.finished.exception(timeout=timeout_s)
        except TimeoutError:
            # The rest of the shutdown must go on.
            detail = {"waited_s": timeout_s, "records": self.pending.qsize()}
            logger.warning("log.append_unfinished", extra=detail)
        self.executor.shutdown(wait=False)

    def _run(self) -> None:
        while True:
            batch, is_last = self._collect()
            for stream in dict.fromkeys(stream for stream, _ in batch):
                records = [record for name, record in batch if name == stream]
                self._append(stream, records)
            if is_last:
                return

    def _collect(self) -> tuple[list[tuple[str, Any]], bool]:
        batch: list[tuple[str, Any]] = []
        item = self.pending.get()
        while item is not None and len(batch) < APPEND_BATCH:
            batch.append(item)
            try:
                item = self.pending.get_nowait()
            except queue.Empty:
                return batch, False
        if item is not None:
            self.pending.put(item)
        return batch, item is None

    def _append(self, stream: str, records: list[Any]) -> None:
        self.append_count += 1
        try:
            self.client.append(stream, records)
        except PlatformError as error:
            self.failure_count += 1
            logger.warning(
                "log.append_failed",
                extra={
                    "stream": stream,
                    "records": len(records),
                    "is_outcome_unknown": error.is_outcome_unknown,
                    "error": error.message,
                },
            )


def decode_records(stream: str, records: Iterable[LogRecord]) -> list[tuple[int, Any]]:
    """Decode records read from a stream.

    Parameters
    ----------
    stream : str
    records : iterable of LogRecord

    Returns
    -------
    list of (int, object)
        Offset and record. A record that can't be decoded is logged and left out; on the
        configuration stream it becomes an `UnreadableRecord`, which the configuration
        slice reports.
    """
    if stream == CONFIGURATION_STREAM:
        return [(entry.offset, decode_entry(entry.value)) for entry in records]
    decoded: list[tuple[int, Any]] = []
    for entry in records:
        try:
            decoded.append((entry.offset, decode_record(entry.value)))
        except InvalidInput as error:
            logger.warning(
                "log.record_refused",
                extra={
                    "stream": stream,
                    "offset": entry.offset,
                    "error": error.message,
                },
            )
    return decoded
