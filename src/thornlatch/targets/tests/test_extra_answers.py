"""Bytes after a whole answer: their connection isn't used again."""

import pytest

from thornlatch.core import connect, read_answer
from thornlatch.core.tests.scripted import ExtraTarget
from thornlatch.exceptions import TargetError
from thornlatch.targets import (
    TargetCall,
    _calls,
    evict_adapter,
    load_adapter,
    open_call,
)

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


@pytest.fixture(params=ANSWERS)
def target(request):
    target = ExtraTarget(ANSWERS[request.param])
    yield target
    target.close()


def read_whole(response):
    response.read_all(1 << 16)


def read_piecewise(response):
    while response.read_some():
        pass


def read_arrived(response):
    response.set_blocking(is_blocking=False)
    response.read_arrived()
    response.set_blocking(is_blocking=True)
    read_piecewise(response)


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


@pytest.mark.timeout(30)
@pytest.mark.parametrize("read", [read_whole, read_piecewise, read_arrived])
@pytest.mark.parametrize("extra", EXTRAS)
def test_connection_with_bytes_after_an_answer_is_closed(target, read, extra):
    """They were dropped with the answer's buffer, and the rest was read as a head."""
    target.extra = EXTRAS[extra]
    assert not call(target, read).is_reused
    assert not _calls._connections.idle.get(target.address)
    assert not call(target, read).is_reused


@pytest.mark.timeout(30)
@pytest.mark.parametrize("extra", EXTRAS)
def test_connection_with_bytes_that_came_while_idle_is_closed(target, extra):
    call(target, read_whole)
    target.connections[0].sendall(EXTRAS[extra])
    assert not call(target, read_whole).is_reused


@pytest.mark.timeout(30)
@pytest.mark.parametrize("extra", [*EXTRAS.values(), b""], ids=[*EXTRAS, "nothing"])
def test_connection_of_read_answer_with_extra_bytes_is_closed(target, extra):
    target.extra = extra
    connection = connect(target.address, timeout_s=5.0)
    connection.request("GET", "/")
    read_answer(connection, head_s=5.0, body_s=5.0, limit=100)
    assert (connection.sock is None) == bool(extra)
    connection.close()


@pytest.mark.timeout(30)
@pytest.mark.parametrize("order", [load_adapter, evict_adapter])
def test_each_order_to_an_engine_has_a_new_connection(order):
    """An extra answer was taken for that to the next order."""
    target = ExtraTarget(ANSWERS["length"])
    fields = {"store": "w"} if order is load_adapter else {}
    call(target, read_whole)
    for _ in range(2):
        order(target.address, "a@1", epoch=1, timeout_s=5.0, **fields)
    assert len(target.connections) == 3
    target.close()


@pytest.mark.timeout(30)
def test_answer_that_can_t_be_read_closes_its_connection(target):
    target.answer = b"no answer\r\n"
    with pytest.raises(TargetError):
        call(target, read_whole)
    assert not _calls._connections.idle.get(target.address)
