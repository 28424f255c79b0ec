"""Connections of callers that disconnect early or send lines without end."""

import socket
import threading
import time
from types import SimpleNamespace

import pytest

from thornlatch.core import read_clock, received_memory
from thornlatch.gateway._app import SHORTAGE, GatewayApplication
from thornlatch.gateway._dispatcher import ThreadShortage
from thornlatch.gateway._servers import CHUNK_LINE_LIMIT_BYTES, build_server
from thornlatch.gateway._work import RunningRequest, WorkTable

TIMEOUT_S = 10.0


class BlockedApplication:
    """Serves one request at a time, when it is released."""

    def __init__(self):
        self.released = threading.Event()
        self.has_begun = threading.Event()
        self.served = []
        self.abandoned = []

    def __call__(self, environ, start_response):
        self.served.append(environ["PATH_INFO"])
        self.has_begun.set()
        assert self.released.wait(TIMEOUT_S)
        start_response("200 OK", [("Content-Length", "0")])
        return []

    def note_abandoned(self, environ):
        self.abandoned.append(environ["PATH_INFO"])


@pytest.fixture
def app():
    return BlockedApplication()


@pytest.fixture
def server(app):
    server = build_server(
        app, "127.0.0.1:0", threads=1, on_abandoned=app.note_abandoned
    )
    threading.Thread(target=server.run, daemon=True).start()
    yield server
    app.released.set()
    server.task_dispatcher.shutdown()
    server.close()


@pytest.fixture
def connect(server):
    connections = []

    def connect(path):
        address = ("127.0.0.1", server.effective_port)
        connections.append(socket.create_connection(address, timeout=TIMEOUT_S))
        connections[-1].sendall(b"GET %s HTTP/1.1\r\nHost: a\r\n\r\n" % path)
        return connections[-1]

    yield connect
    for connection in connections:
        connection.close()


def close_sending_side(connection):
    connection.shutdown(socket.SHUT_WR)
    assert connection.recv(1) == b""


def close_connection(connection):
    connection.close()


def wait_until(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.01)


@pytest.mark.timeout(30)
@pytest.mark.parametrize("leave", [close_sending_side, close_connection])
def test_request_whose_caller_left_while_it_was_queued_is_reported(
    app, server, connect, leave
):
    """No line named it, and neither an answer nor a target's record did."""
    connect(b"/first")
    assert app.has_begun.wait(TIMEOUT_S)
    second = connect(b"/second")
    wait_until(lambda: len(server.task_dispatcher.queue) == 1)
    leave(second)
    wait_until(lambda: len(server.active_channels) == 1)
    third = connect(b"/third")
    app.released.set()
    assert third.recv(1 << 16).startswith(b"HTTP/1.1 200 ")
    assert app.served == ["/first", "/third"]
    assert app.abandoned == ["/second"]


@pytest.mark.parametrize("part", [b"5;x=", b"0\r\nName: "], ids=["size", "trailers"])
def test_body_whose_chunk_line_never_ends_is_rejected(app, connect, part):
    """waitress searched up to 8 MB anew with each piece, while nobody else was read."""
    app.released.set()
    connection = connect(b"/first")
    head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    other = socket.create_connection(connection.getpeername(), timeout=TIMEOUT_S)
    with other:
        other.sendall(head + part + b"x" * (2 * CHUNK_LINE_LIMIT_BYTES))
        assert b"400 Bad Request" in other.recv(1 << 16)


def test_bodies_of_callers_share_a_bounded_memory(app, connect, monkeypatch):
    """Each body was bounded, but not their sum: the process was killed for it."""
    app.released.set()
    monkeypatch.setattr(received_memory, "limit_bytes", 1 << 20)
    address = connect(b"/first").getpeername()
    body_bytes = 1 << 18
    head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % body_bytes
    callers = [socket.create_connection(address, timeout=TIMEOUT_S) for _ in range(6)]
    refused = 0
    for caller in callers:
        # All but the last byte, so that no request is whole.
        caller.sendall(head + b"x" * (body_bytes - 1))
    for caller in callers:
        caller.settimeout(1.0)
        try:
            refused += b"503 Service Unavailable" in caller.recv(1 << 16)
        except TimeoutError:
            continue
        finally:
            caller.close()
    # Each is counted twice, with the copy for the target.
    assert refused >= 4
    until = time.monotonic() + TIMEOUT_S
    while received_memory.used_bytes and time.monotonic() < until:
        time.sleep(0.05)
    assert received_memory.used_bytes == 0


class BusyApplication(BlockedApplication):
    """Answers requests without a thread at once, as the gateway does."""

    def __call__(self, environ, start_response):
        if environ[SHORTAGE] is None:
            return super().__call__(environ, start_response)
        start_response("503 Service Unavailable", [("Content-Length", "0")])
        return []


@pytest.mark.timeout(30)
def test_request_that_gets_no_thread_is_refused_while_all_are_busy(app):
    """It got no byte until a thread was free, whatever its target."""
    app = BusyApplication()
    server = build_server(app, "127.0.0.1:0", threads=1, thread_wait_s=0.01)
    threading.Thread(target=server.run, daemon=True).start()
    address = ("127.0.0.1", server.effective_port)
    request = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
    first, second = (socket.create_connection(address, TIMEOUT_S) for _ in range(2))
    try:
        first.sendall(request % 1)
        assert app.has_begun.wait(TIMEOUT_S)
        second.sendall(request % 2)
        assert second.recv(1 << 16).startswith(b"HTTP/1.1 503 ")
        # The connection can be used again, once a thread is free.
        app.released.set()
        assert first.recv(1 << 16).startswith(b"HTTP/1.1 200 ")
        wait_until(lambda: server.task_dispatcher.active_count == 0)
        second.sendall(request % 3)
        assert second.recv(1 << 16).startswith(b"HTTP/1.1 200 ")
        assert app.served == ["/1", "/3"]
    finally:
        app.released.set()
        first.close()
        second.close()
        server.task_dispatcher.shutdown()
        server.close()


@pytest.mark.parametrize(
    ("deadlines_s", "refused", "freed_per_s", "expected_s"),
    [
        ([9.0, 3.0, 6.0], 2, 0.0, 6.0),
        ([9.0, 3.0, 6.0], 5, 0.0, 9.0),
        ([9.0, 3.0, 6.0], 2, 4.0, 0.5),
        ([9.0, 0.2, 0.3], 2, 4.0, 0.3),
        ([9.0], 1, 100.0, 0.1),
        ([], 1, 0.0, 10.0),
    ],
)
def test_refused_requests_may_return_when_threads_are_free(
    deadlines_s, refused, freed_per_s, expected_s
):
    """At the rate at which they are freed, and at the latest by their deadlines."""
    work, now = WorkTable(), read_clock()
    for number, deadline_s in enumerate(deadlines_s):
        work.add(RunningRequest(str(number), now + deadline_s, lambda: False))
    app = GatewayApplication(None, SimpleNamespace(work=work), None)
    shortage = ThreadShortage(3, 0.2, refused, freed_per_s)
    assert app.estimate_wait_s(shortage, now=now) == pytest.approx(expected_s)
