"""The relay thread: passes on the streams whose bytes have arrived.

With a thread a stream, each token woke a thread that then waited for the interpreter's
lock; one thread for all streams takes that lock once a turn.
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

TURN_S = 0.25
WAIT_S = 5.0
# Waitress puts unsent bytes beyond 1 MB into a file, and beyond 16 MB a write waits for
# the caller; the relay thread must do neither.
RELAY_LIMIT_BYTES = 1 << 19
Send = Callable[[list[CompletionChunk]], None]


@dataclass(eq=False)
class _Relayed:
    reader: ChunkReader
    send: Send
    heard_at: float
    future: Future[None] = field(default_factory=Future)


class StreamRelay:
    """Passes on streams in one thread for the worker threads that wait for them."""

    def __init__(self) -> None:
        self.selector = selectors.DefaultSelector()
        self.relayed: set[_Relayed] = set()
        self.silence_checked_at = 0.0
        self.is_stopping = False
        self.has_ended = False

    def pass_on(self, reader: ChunkReader, send: Send) -> None:
        """Pass on events until the end of the stream, an error or a read that waits.

        The calling thread waits and leaves reader and `send` to the relay thread.

        Parameters
        ----------
        reader : ChunkReader
        send : callable
            Takes the events; must not wait.

        Raises
        ------
        TargetError
            If the stream breaks off, is malformed or stays silent.
        Exception
            Whatever `send` raised.
        """
        if is_over(reader) or self.has_ended:
            return
        reader.response.set_waiting(waits=False)
        try:
            self._pass_on_rest(reader, send)
        finally:
            reader.response.set_waiting(waits=True)

    def _pass_on_rest(self, reader: ChunkReader, send: Send) -> None:
        # What http.client has read already wouldn't wake the relay thread.
        send_arrived(reader, send)
        if not can_relay(reader):
            return
        relayed = _Relayed(reader, send, time.monotonic())
        self.relayed.add(relayed)
        # Registering beside a running select is safe with epoll and kqueue.
        self.selector.register(reader.response.sock, selectors.EVENT_READ, relayed)
        while True:
            try:
                relayed.future.result(timeout=WAIT_S)
                break
            except FutureTimeoutError:
                if self.has_ended:
                    # The worker goes on alone with what the relay thread left.
                    self._forget(relayed)
                    break

    def run(self) -> None:
        """Run until stopped."""
        try:
            while not self.is_stopping:
                ready = self.selector.select(TURN_S)
                now = time.monotonic()
                for key, _ in ready:
                    self._advance(key.data, now)
                self._end_silent(now)
        except Exception:
            logger.exception("relay.ended")
        finally:
            self.has_ended = True

    def stop(self) -> None:
        """End the loop after the present turn."""
        self.is_stopping = True

    def _advance(self, relayed: _Relayed, now: float) -> None:
        reader = relayed.reader
        relayed.heard_at = now
        read_before = reader.read_bytes
        try:
            send_arrived(reader, relayed.send)
        except Exception as error:
            self._hand_back(relayed, error)
            return
        # A socket that can be read but has nothing has ended.
        if reader.read_bytes == read_before or not can_relay(reader):
            self._hand_back(relayed)

    def _end_silent(self, now: float) -> None:
        if now - self.silence_checked_at < TURN_S:
            return
        self.silence_checked_at = now
        for relayed in list(self.relayed):
            limit_s = relayed.reader.response.call.timeout_s
            if now - relayed.heard_at >= limit_s:
                error = TargetError(f"silent for {limit_s} s", is_sent=True)
                self._hand_back(relayed, error)

    def _hand_back(self, relayed: _Relayed, error: Exception | None = None) -> None:
        self._forget(relayed)
        if error is None:
            relayed.future.set_result(None)
        else:
            relayed.future.set_exception(error)

    def _forget(self, relayed: _Relayed) -> None:
        self.relayed.discard(relayed)
        self.selector.unregister(relayed.reader.response.sock)


def send_arrived(reader: ChunkReader, send: Send) -> None:
    """Send the events that have arrived, without waiting.

    Parameters
    ----------
    reader : ChunkReader
    send : callable
    """
    chunks = reader.read_arrived()
    if chunks:
        send(chunks)


def is_over(reader: ChunkReader) -> bool:
    """Return whether a stream has ended or is too long for the relay thread.

    Parameters
    ----------
    reader : ChunkReader

    Returns
    -------
    bool
    """
    return reader.is_done or reader.read_bytes > RELAY_LIMIT_BYTES


def can_relay(reader: ChunkReader) -> bool:
    """Return whether the rest of a stream can be passed on without waiting.

    Parameters
    ----------
    reader : ChunkReader

    Returns
    -------
    bool
    """
    return not is_over(reader) and not reader.response.must_wait
