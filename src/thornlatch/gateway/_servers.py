"""HTTP servers of a gateway host."""

from collections.abc import Callable
from typing import Any

import waitress
from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser
from waitress.receiver import ChunkedReceiver
from waitress.task import WSGITask
from waitress.utilities import BadRequest, Error

from thornlatch.core import MemoryExceeded, MemoryUse, read_clock, received_memory
from thornlatch.gateway._app import SHORTAGE, THREAD_WAIT
from thornlatch.gateway._dispatcher import GrowingDispatcher, ThreadShortage

HEADER_LIMIT_BYTES = 1 << 16
BODY_LIMIT_BYTES = 1 << 23
CHUNK_LINE_LIMIT_BYTES = 1 << 14  # of a chunk's size with extensions, and of trailers
UNCOUNTED_BODY_BYTES = 1 << 14  # of a request, whatever others take
BODY_COPIES = 2  # the server's, and the one that is sent to the target
UNREAD_LIMIT_BYTES = 1 << 20  # of an answer, before its caller must read some of it
IDLE_TIMEOUT_S = 75  # longer than callers keep idle connections
CONNECTION_LIMIT = 2000
BACKLOG_CONNECTIONS = 1024
INITIAL_THREADS = 8  # more than a lightly loaded host of a large fleet needs


class _MemoryShortage(Error):
    """Tells a caller that its request was not read, as others take the memory."""

    code = 503
    reason = "Service Unavailable"

    def to_response(self, ident: str | None = None) -> Any:
        """Return the status, the headers and the body of the answer."""
        status, headers, body = super().to_response(ident)
        return status, [*headers, ("Retry-After", "1")], body


class CallerParser(HTTPRequestParser):
    """Parses a request, and rejects one that would take too much memory or time.

    waitress bounds each body, but not their sum. It searches the size line of a chunk
    and the trailers from the beginning with each piece.

    Parameters
    ----------
    adj : waitress.adjustments.Adjustments
    """

    def __init__(self, adj: Any) -> None:
        super().__init__(adj)
        self.error: Error | None = self.error
        self.memory = MemoryUse(received_memory, uncounted_bytes=UNCOUNTED_BODY_BYTES)

    def received(self, data: bytes) -> int:
        """Add bytes and return how many of them belong to this request."""
        consumed: int = super().received(data)
        body = self.body_rcv
        if self.error is None and self.body_bytes_received:
            try:
                self.memory.set_held(self.body_bytes_received * BODY_COPIES)
            except MemoryExceeded as error:
                self.error = _MemoryShortage(str(error))
                self.completed = True
        if self.completed or not isinstance(body, ChunkedReceiver):
            return consumed
        if max(len(body.control_line), len(body.trailer)) > CHUNK_LINE_LIMIT_BYTES:
            self.error = BadRequest("chunk size or trailers are too long")
            self.completed = True
        return consumed

    def close(self) -> None:
        """Drop the body."""
        super().close()
        self.memory.release()


class CallerTask(WSGITask):
    """A request that tells the application how it got its thread."""

    def get_environment(self) -> dict[str, Any]:
        """Return the WSGI environment."""
        environ: dict[str, Any] = super().get_environment()
        environ[THREAD_WAIT] = self.channel.thread_wait_s
        environ[SHORTAGE] = self.channel.shortage
        return environ


class CallerChannel(HTTPChannel):
    """A connection that reports requests whose caller disconnected before they began.

    The end of a caller's input counts as a disconnection: a caller that has left can't
    be told from one that only won't send anything more.
    """

    task_class = CallerTask
    parser_class = CallerParser
    queued_at = 0.0  # clock time at which its present request was queued
    thread_wait_s = 0.0  # that the request waited for its thread
    shortage: ThreadShortage | None = None

    def service(self) -> None:
        """Serve the next request, unless the caller has disconnected."""
        self.thread_wait_s = read_clock() - self.queued_at
        try:
            self._serve()
        finally:
            self.server.task_dispatcher.note_freed()

    def refuse(self, shortage: ThreadShortage) -> None:
        """Let the application refuse the next request, as it gets no thread.

        Parameters
        ----------
        shortage : ThreadShortage
        """
        self.shortage = shortage
        try:
            self._serve()
        finally:
            self.shortage = None

    def _serve(self) -> None:
        request = self.requests[0]
        if not self.connected and not request.error:
            self.server.on_abandoned(self.task_class(self, request).get_environment())
        super().service()


def build_server(
    app: Any,
    address: str,
    *,
    threads: int,
    thread_wait_s: float | None = None,
    on_abandoned: Callable[[dict[str, Any]], None] = lambda environ: None,
) -> Any:
    """Return a server that listens on an address; its `run` serves requests.

    Parameters
    ----------
    app : callable
        WSGI application.
    address : str
        ``ip:port``.
    threads : int
        Maximum number of concurrent requests.
    thread_wait_s : float or None
        Seconds that a request waits for a thread, after which `app` is called with
        `SHORTAGE` in the WSGI environment and has to answer at once; None for no limit.
    on_abandoned : callable
        Called instead of `app`, with the WSGI environment, if the caller disconnected
        before its request began.

    Returns
    -------
    waitress.server.TcpWSGIServer
    """
    host, _, port = address.rpartition(":")
    server = waitress.create_server(
        app,
        map={},
        _dispatcher=GrowingDispatcher(
            first=INITIAL_THREADS, limit=threads, wait_s=thread_wait_s
        ),
        host=host,
        port=int(port),
        threads=threads,
        backlog=BACKLOG_CONNECTIONS,
        connection_limit=CONNECTION_LIMIT,
        channel_timeout=IDLE_TIMEOUT_S,
        channel_request_lookahead=1,
        max_request_header_size=HEADER_LIMIT_BYTES,
        max_request_body_size=BODY_LIMIT_BYTES,
        outbuf_high_watermark=UNREAD_LIMIT_BYTES,
        outbuf_overflow=2 * UNREAD_LIMIT_BYTES,
        asyncore_use_poll=True,
        ident=None,
    )
    server.channel_class = CallerChannel
    server.on_abandoned = on_abandoned
    return server


def has_unsent_answers(server: Any) -> bool:
    """Return whether a server has requests that aren't answered to the last byte.

    Parameters
    ----------
    server : waitress.server.TcpWSGIServer

    Returns
    -------
    bool
    """
    return any(
        channel.requests or channel.total_outbufs_len
        for channel in list(server.active_channels.values())
    )
