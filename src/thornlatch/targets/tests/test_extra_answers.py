"""Bytes after a whole answer."""

import socket
import threading

import pytest

from thornlatch.targets import TargetCall, open_call

LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ANSWERS = {
    "length": LENGTH + b"first",
    "no body": b"HTTP/1.1 204 No Content\r\n\r\n",
    "chunked": CHUNKED + b"5\r\nfirst\r\n0\r\n\r\n",
}
EXTRAS = {
    "an answer": LENGTH + b"extra",
    "part of an answer": LENGTH[:20],
    "no answer": b"\r\n",
}


class ExtraTarget:
    """Writes `answer` at each request, then `extra` when it is told to."""

    def __init__(self, answer):
        self.answer = answer
        self.extra = b""
        self.connections = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(
                target=self.answer_all, args=(connection,), daemon=True
            ).start()

    def answer_all(self, connection):
        try:
            while connection.recv(1 << 16):
                connection.sendall(self.answer + self.extra)
        except OSError:
            return

    def close(self):
        self.listener.close()
        for connection in self.connections:
            connection.close()


@pytest.fixture(params=ANSWERS)
def target(request):
    target = ExtraTarget(ANSWERS[request.param])
    yield target
    target.close()


def read_whole(response):
    response.read_all(1 << 16)


def call(target, read):
    response = open_call(TargetCall(target.address, "GET", "/", timeout_s=5.0))
    read(response)
    response.close()
    return response


@pytest.mark.timeout(30)
def test_connection_without_extra_bytes_is_used_again(target):
    assert not call(target, read_whole).is_reused
    assert call(target, read_whole).is_reused
    assert len(target.connections) == 1


@pytest.mark.timeout(30)
@pytest.mark.parametrize("extra", EXTRAS)
def test_reading_what_has_arrived_ends_at_the_end_of_the_answer(target, extra):
    """It looped for ever on bytes after an answer with a length."""
    target.extra = EXTRAS[extra]
    response = open_call(TargetCall(target.address, "GET", "/", timeout_s=5.0))
    response.set_blocking(is_blocking=False)
    data = response.read_arrived()
    response.set_blocking(is_blocking=True)
    while piece := response.read_some():
        data += piece
    assert data in (b"first", b"")
    response.close()
