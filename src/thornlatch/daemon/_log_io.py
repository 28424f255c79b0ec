"""Threads that read and append to the log on behalf of the control thread."""

import queue
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import logbook

from thornlatch.core import decode_record, encode_record
from thornlatch.exceptions import InvalidInput
from thornlatch.platform import LogClient, LogPage, PlatformError

logger = logbook.Logger("thornlatch.log")

RETRY_PAUSE_S = 0.2
APPEND_BATCH = 500
ReadCallback = Callable[[str, LogPage, float], None]
FailCallback = Callable[[str, PlatformError], None]


class LogReader:
    """Follows streams by long polls, one thread a stream.

    Parameters
    ----------
    client : LogClient
    streams : tuple of str
    on_page : callable
        Called with stream, page and the time at which the read was sent.
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
        self.is_stopping = False
        self.executor = ThreadPoolExecutor(len(streams), "log-reader")

    def start(self) -> None:
        """Start one reading thread a stream."""
        for stream in self.offsets:
            self.executor.submit(self._follow, stream)

    def stop(self) -> None:
        """Ask the threads to end after their present read."""
        self.is_stopping = True
        self.executor.shutdown(wait=False, cancel_futures=True)

    def _follow(self, stream: str) -> None:
        wait_s = 0.0
        while not self.is_stopping:
            sent_at = time.monotonic()
            try:
                page = self.client.read(stream, self.offsets[stream], wait_s=wait_s)
            except PlatformError as error:
                self._handle_failure(stream, error)
                wait_s = 0.0
                continue
            self.offsets[stream] = max(self.offsets[stream], page.next_offset)
            self.on_page(stream, page, sent_at)
            wait_s = self.client.settings.poll_wait_s

    def _handle_failure(self, stream: str, error: PlatformError) -> None:
        if error.first_offset is not None:
            self.offsets[stream] = error.first_offset
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


def decode_page(page: LogPage) -> list[tuple[int, Any]]:
    """Decode the records of a page.

    Parameters
    ----------
    page : LogPage

    Returns
    -------
    list of (int, object)
        Offset and record; an `InvalidInput` in place of a record that can't be
        decoded, so that the slice can name it.
    """
    decoded: list[tuple[int, Any]] = []
    for entry in page.records:
        try:
            decoded.append((entry.offset, decode_record(entry.value)))
        except InvalidInput as error:
            decoded.append((entry.offset, error))
    return decoded
