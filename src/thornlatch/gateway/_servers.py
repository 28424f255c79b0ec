"""HTTP servers of a gateway host."""

from typing import Any

import waitress

from thornlatch.gateway._dispatcher import GrowingDispatcher

HEADER_LIMIT_BYTES = 1 << 16
BODY_LIMIT_BYTES = 1 << 23
IDLE_TIMEOUT_S = 75  # longer than callers keep idle connections
CONNECTION_LIMIT = 2000
BACKLOG_CONNECTIONS = 1024
INITIAL_THREADS = 8  # more than a lightly loaded host of a large fleet needs


def build_server(app: Any, address: str, *, threads: int) -> Any:
    """Return a server that listens on an address; its `run` serves requests.

    Parameters
    ----------
    app : callable
        WSGI application.
    address : str
        ``ip:port``.
    threads : int
        Maximum number of concurrent requests.

    Returns
    -------
    waitress.server.TcpWSGIServer
    """
    host, _, port = address.rpartition(":")
    return waitress.create_server(
        app,
        map={},
        _dispatcher=GrowingDispatcher(first=INITIAL_THREADS, limit=threads),
        host=host,
        port=int(port),
        threads=threads,
        backlog=BACKLOG_CONNECTIONS,
        connection_limit=CONNECTION_LIMIT,
        channel_timeout=IDLE_TIMEOUT_S,
        channel_request_lookahead=1,
        max_request_header_size=HEADER_LIMIT_BYTES,
        max_request_body_size=BODY_LIMIT_BYTES,
        asyncore_use_poll=True,
        ident=None,
    )
