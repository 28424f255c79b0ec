"""Threads that read and append to the log on behalf of the control thread."""

import queue
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import logbook

from thornlatch.configuration import decode_entry
from thornlatch.core import decode_record, encode_record
from thornlatch.exceptions import InvalidInput
from thornlatch.platform import LogClient, LogPage, PlatformError

logger = logbook.Logger("thornlatch.log")

RETRY_PAUSE_S = 0.2
APPEND_BATCH = 500
CONFIGURATION_STREAM = "configuration"
ReadCallback = Callable[[str, LogPage, float, int], None]
FailCallback = Callable[[str, PlatformError], None]


class LogReader:
    """Follows streams by long polls, one thread a stream.

    Parameters
    ----------
    client : LogClient
    streams : tuple of str
    on_page : callable
        Called with stream, page, the time at which the read was sent, and the
        reader's generation.
    on_failure : callable
        Called with stream and error.
    """

    def __init__(
        self,
        client: LogClient,
        streams: tuple[str, ...],
        *,
        on_page: ReadCallback,
        on_failure: FailCallback,
    ) -> None:
        self.client = client
        self.on_page = on_page
        self.on_failure = on_failure
        self.offsets = dict.fromkeys(streams, 0)
        self.generation = 0
        self.lock = threading.Lock()
        self.is_stopping = False
        self.executor = ThreadPoolExecutor(len(streams), "log-reader")

    def start(self) -> None:
        """Start one reading thread a stream."""
        for stream in self.offsets:
            self.executor.submit(self._follow, stream)

    def restart(self) -> int:
        """Read every stream again from its beginning, for a new session.

        Returns
        -------
        int
            Generation of the pages from now on; older ones must be ignored.
        """
        with self.lock:
            self.generation += 1
            self.offsets = dict.fromkeys(self.offsets, 0)
            return self.generation

    def stop(self) -> None:
        """Ask the threads to end after their present read."""
        self.is_stopping = True
        self.executor.shutdown(wait=False, cancel_futures=True)

    def _follow(self, stream: str) -> None:
        wait_s = 0.0
        while not self.is_stopping:
            with self.lock:
                offset, generation = self.offsets[stream], self.generation
            sent_at = time.monotonic()
            try:
                page = self.client.read(stream, offset, wait_s=wait_s)
            except PlatformError as error:
                self._handle_failure(stream, error, generation)
                wait_s = 0.0
                continue
            self._advance(stream, page.next_offset, generation)
            self.on_page(stream, page, sent_at, generation)
            wait_s = self.client.settings.poll_wait_s

    def _advance(self, stream: str, offset: int, generation: int) -> None:
        with self.lock:
            if generation == self.generation:
                self.offsets[stream] = max(self.offsets[stream], offset)

    def _handle_failure(
        self, stream: str, error: PlatformError, generation: int
    ) -> None:
        if error.first_offset is not None:
            self._advance(stream, error.first_offset, generation)
            return
        self.on_failure(stream, error)
        time.sleep(RETRY_PAUSE_S)


class LogAppender:
    """Appends records in batches from one thread.

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
        """Queue a record; slices append again what they don't read back.

        Parameters
        ----------
        stream : str
        record : object
            Registered frozen data class.
        """
        self.pending.put((stream, encode_record(record)))

    def stop(self, timeout_s: float) -> None:
        """Append what is queued, then end.

        Parameters
        ----------
        timeout_s : float
        """
        self.pending.put(None)
        self.finished.exception(timeout=timeout_s)
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


def decode_page(stream: str, page: LogPage) -> list[tuple[int, Any]]:
    """Decode the records of a page.

    Parameters
    ----------
    stream : str
    page : LogPage

    Returns
    -------
    list of (int, object)
        Offset and record. One that can't be decoded is left out, but on the stream of
        the configuration it's an `UnreadableRecord`, which that slice names.
    """
    if stream == CONFIGURATION_STREAM:
        return [(entry.offset, decode_entry(entry.value)) for entry in page.records]
    decoded: list[tuple[int, Any]] = []
    for entry in page.records:
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
