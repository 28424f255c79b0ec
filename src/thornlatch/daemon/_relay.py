"""The relay thread, which forwards the streams that have received bytes.

With one thread per stream, each token woke a thread that then waited for the
interpreter lock; one thread for all streams takes the lock once per iteration.
"""

import selectors
import time
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass, field

import logbook

from thornlatch.exceptions import TargetError
from thornlatch.targets import ChunkReader, CompletionChunk

logger = logbook.Logger("thornlatch.relay")

SELECT_TIMEOUT_S = 0.25
THREAD_CHECK_S = 5.0
# Waitress writes unsent bytes beyond 1 MB to a file, and beyond 16 MB a write blocks
# until the caller reads; the relay thread must do neither.
RELAY_LIMIT_BYTES = 1 << 19
Send = Callable[[list[CompletionChunk]], None]


@dataclass(eq=False)
class _RelayedStream:
    reader: ChunkReader
    send: Send
    last_data_at: float
    future: Future[None] = field(default_factory=Future)


class StreamRelay:
    """Forwards streams in one thread while their worker threads wait."""

    def __init__(self) -> None:
        self.selector = selectors.DefaultSelector()
        self.streams: set[_RelayedStream] = set()
        self.silence_checked_at = 0.0
        self.is_stopping = False
        self.has_ended = False

    def forward(self, reader: ChunkReader, send: Send) -> None:
        """Forward events until the stream ends, fails or needs a blocking read.

        The calling thread waits while the relay thread uses reader and `send`.
        Returns early if the stream is too long for the relay thread or that thread has
        ended; the caller then reads the rest itself.

        Parameters
        ----------
        reader : ChunkReader
        send : callable
            Takes the events; must not block.

        Raises
        ------
        TargetError
            If the stream breaks off, is malformed or brings no byte within the call's
            time limit.
        Exception
            Whatever `send` raised.
        """
        if is_done_or_too_long(reader) or self.has_ended:
            return
        reader.response.set_blocking(is_blocking=False)
        try:
            self._forward_rest(reader, send)
        finally:
            reader.response.set_blocking(is_blocking=True)

    def _forward_rest(self, reader: ChunkReader, send: Send) -> None:
        # Bytes that http.client has buffered already wouldn't wake the selector.
        send_arrived(reader, send)
        if not can_relay(reader):
            return
        stream = _RelayedStream(reader, send, time.monotonic())
        self.streams.add(stream)
        # With epoll and kqueue, a socket may be registered during a select.
        self.selector.register(reader.response.sock, selectors.EVENT_READ, stream)
        while True:
            try:
                stream.future.result(timeout=THREAD_CHECK_S)
                break
            except FutureTimeoutError:
                if self.has_ended:
                    # The worker reads the rest of the stream itself.
                    self._remove(stream)
                    break

    def run(self) -> None:
        """Run until stopped."""
        try:
            while not self.is_stopping:
                ready = self.selector.select(SELECT_TIMEOUT_S)
                now = time.monotonic()
                for key, _ in ready:
                    self._forward_arrived(key.data, now)
                self._fail_silent_streams(now)
        except Exception:
            logger.exception("relay.ended")
        finally:
            self.has_ended = True

    def stop(self) -> None:
        """End the loop after the current iteration."""
        self.is_stopping = True

    def _forward_arrived(self, stream: _RelayedStream, now: float) -> None:
        reader = stream.reader
        stream.last_data_at = now
        read_before = reader.read_bytes
        try:
            send_arrived(reader, stream.send)
        except Exception as error:
            self._hand_back(stream, error)
            return
        # A socket that is readable but yields no byte is at its end.
        if reader.read_bytes == read_before or not can_relay(reader):
            self._hand_back(stream)

    def _fail_silent_streams(self, now: float) -> None:
        if now - self.silence_checked_at < SELECT_TIMEOUT_S:
            return
        self.silence_checked_at = now
        for stream in list(self.streams):
            limit_s = stream.reader.response.call.timeout_s
            if now - stream.last_data_at >= limit_s:
                error = TargetError(f"silent for {limit_s} s", is_sent=True)
                self._hand_back(stream, error)

    def _hand_back(
        self, stream: _RelayedStream, error: Exception | None = None
    ) -> None:
        self._remove(stream)
        if error is None:
            stream.future.set_result(None)
        else:
            stream.future.set_exception(error)

    def _remove(self, stream: _RelayedStream) -> None:
        self.streams.discard(stream)
        self.selector.unregister(stream.reader.response.sock)


def send_arrived(reader: ChunkReader, send: Send) -> None:
    """Send the events that have arrived, without blocking.

    Parameters
    ----------
    reader : ChunkReader
    send : callable
    """
    chunks = reader.read_arrived()
    if chunks:
        send(chunks)


def is_done_or_too_long(reader: ChunkReader) -> bool:
    """Return whether a stream has ended or exceeds `RELAY_LIMIT_BYTES`.

    Parameters
    ----------
    reader : ChunkReader

    Returns
    -------
    bool
    """
    return reader.is_done or reader.read_bytes > RELAY_LIMIT_BYTES


def can_relay(reader: ChunkReader) -> bool:
    """Return whether the rest of a stream can be forwarded without blocking.

    Parameters
    ----------
    reader : ChunkReader

    Returns
    -------
    bool
    """
    return not is_done_or_too_long(reader) and not reader.response.needs_blocking_read
