"""HTTP server and JSON request handling shared by the stand-ins."""

import argparse
import json
import signal
import sys
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import waitress

from standins._events import write_event

Environ = dict[str, Any]
Body = Iterable[bytes]


@dataclass(frozen=True)
class Response:
    """An HTTP response.

    Parameters
    ----------
    body : object or iterable of bytes
        JSON value; chunks if `is_stream`.
    status : int
    is_stream : bool
        Whether the body is sent chunk by chunk.
    headers : dict
    """

    body: Any
    status: int = 200
    is_stream: bool = False
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[[Environ, Any], Response]


def build_app(routes: dict[tuple[str, str], Handler]) -> Callable[..., Body]:
    """Build a WSGI application from handlers by method and path prefix.

    Parameters
    ----------
    routes : dict
        ``(method, path prefix)`` to handler; the longest prefix wins.

    Returns
    -------
    callable
    """
    ordered_routes = sorted(routes.items(), key=lambda item: -len(item[0][1]))

    def app(environ: Environ, start_response: Callable[..., Any]) -> Body:
        response = _dispatch(ordered_routes, environ)
        if response.is_stream:
            headers = [("Content-Type", "text/event-stream"), *response.headers.items()]
            start_response(f"{response.status} -", headers)
            return response.body
        is_not_modified = response.status == 304
        data = b"" if is_not_modified else json.dumps(response.body).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
            *response.headers.items(),
        ]
        start_response(f"{response.status} -", headers)
        return [data]

    return app


def _dispatch(
    routes: list[tuple[tuple[str, str], Handler]], environ: Environ
) -> Response:
    path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
    body = environ["wsgi.input"].read()
    try:
        value = json.loads(body) if body else None
    except ValueError:
        return Response({"error": "malformed JSON"}, 400)
    for (route_method, prefix), handler in routes:
        if method == route_method and path.startswith(prefix):
            return handler(environ, value)
    return Response({"error": "no such path"}, 404)


def build_parser(description: str) -> argparse.ArgumentParser:
    """Build an argument parser with the options common to all stand-ins.

    Parameters
    ----------
    description : str
        Description for the help page.

    Returns
    -------
    argparse.ArgumentParser
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--address", default="127.0.0.1:0", help="ip:port to listen on")
    parser.add_argument("--name", default="", help="host name in events")
    return parser


def serve(app: Callable[..., Body], address: str, *, name: str, threads: int) -> int:
    """Serve until SIGTERM or SIGINT.

    Parameters
    ----------
    app : callable
        WSGI application.
    address : str
        ``ip:port`` to listen on.
    name : str
        Host name in events.
    threads : int

    Returns
    -------
    int
        Exit status.
    """
    server = build_server(app, address, threads=threads)
    write_event("standin.ready", host=name, detail={"address": address})

    def stop(*_: Any) -> None:
        raise SystemExit(0)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    server.run()
    return 0


def build_server(app: Callable[..., Body], address: str, *, threads: int) -> Any:
    """Build a server that listens but doesn't serve yet.

    Parameters
    ----------
    app : callable
        WSGI application.
    address : str
        ``ip:port`` to listen on.
    threads : int

    Returns
    -------
    waitress.server.BaseWSGIServer
    """
    host, _, port = address.rpartition(":")
    return waitress.create_server(
        app,
        host=host,
        port=int(port),
        threads=threads,
        channel_request_lookahead=1,
        connection_limit=1000,
        asyncore_use_poll=True,
        ident=None,
    )


class BackgroundServer:
    """Runs a stand-in in a background thread of a test process.

    Parameters
    ----------
    app : callable
        WSGI application.
    threads : int
    address : str
        ``ip:port`` to listen on; a free port of 127.0.0.1 if empty.
    """

    def __init__(
        self, app: Callable[..., Body], *, threads: int = 16, address: str = ""
    ) -> None:
        self.server = build_server(app, address or "127.0.0.1:0", threads=threads)
        self.address = f"127.0.0.1:{self.server.effective_port}"
        self.thread = threading.Thread(target=self.server.run, daemon=True)

    def __enter__(self) -> "BackgroundServer":
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.server.close()
        self.server.task_dispatcher.shutdown(timeout=1)


def sleep_until(deadline: float) -> None:
    """Sleep until a deadline of the monotonic clock; return at once if it has passed.

    Parameters
    ----------
    deadline : float
        Seconds of `time.monotonic`.
    """
    remaining = deadline - time.monotonic()
    if remaining > 0:
        time.sleep(remaining)


def run_main(main: Callable[[list[str]], int]) -> None:
    """Run a stand-in's main function and exit with its status.

    Parameters
    ----------
    main : callable
        Takes the command-line arguments and returns the exit status.
    """
    sys.exit(main(sys.argv[1:]))
