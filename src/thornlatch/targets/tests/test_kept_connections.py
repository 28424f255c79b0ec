"""Connections that are kept for further calls: which are used, and for how long."""

import fcntl
import resource

import pytest

from thornlatch.core import BoundedSocket, read_clock
from thornlatch.core.tests.scripted import ExtraTarget
from thornlatch.exceptions import TargetError
from thornlatch.targets import TargetCall, _calls, open_call

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
TIMEOUT_S = 0.2


@pytest.fixture
def target():
    target = ExtraTarget(ANSWER)
    yield target
    target.close()


def call(target):
    response = open_call(TargetCall(target.address, "GET", "/", timeout_s=TIMEOUT_S))
    data = response.read_all(10)
    response.close()
    return data


def open_connections(target, count):
    """Keep several connections, which calls at the same time need."""
    responses = [
        open_call(TargetCall(target.address, "GET", "/", timeout_s=TIMEOUT_S))
        for _ in range(count)
    ]
    for response in responses:
        assert response.read_all(10) == b"ok"
        response.close()


@pytest.mark.timeout(30)
def test_one_call_fails_when_all_kept_connections_fell_silent(target):
    """Each connection that was kept made another call wait in vain."""
    open_connections(target, 3)
    target.is_silent = True
    with pytest.raises(TargetError) as error:
        call(target)
    assert error.value.is_timeout
    # New connections are answered; those that were open stay silent for good.
    target.silent_connections = list(target.connections)
    target.is_silent = False
    assert [call(target) for _ in range(3)] == [b"ok"] * 3


@pytest.mark.timeout(30)
def test_connections_to_targets_that_left_are_closed(target, monkeypatch):
    """Each replaced target left descriptors behind, until the host had none."""
    left = [ExtraTarget(ANSWER) for _ in range(5)]
    for left_target in left:
        open_connections(left_target, 3)
    now = read_clock()
    monkeypatch.setattr(_calls, "read_clock", lambda: now + 60.0)
    call(target)
    for left_target in left:
        assert left_target.address not in _calls._connections.idle
        for connection in left_target.connections:
            connection.settimeout(10)
            assert connection.recv(1) == b""
        left_target.close()


@pytest.mark.timeout(30)
def test_connections_that_may_be_used_are_kept(target):
    open_connections(target, 3)
    _calls._connections.expiry_due_at = float("-inf")
    call(target)
    assert len(target.connections) == 3


HIGH_DESCRIPTOR = 1024


@pytest.mark.timeout(30)
def test_kept_connection_with_a_high_descriptor_is_used(target):
    """Requests failed with 500, as `select` accepts no such descriptors."""
    open_connections(target, 1)
    (idle,) = _calls._connections.idle[target.address]
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, HIGH_DESCRIPTOR + 10), hard))
    try:
        original = idle.connection.sock
        descriptor = fcntl.fcntl(original, fcntl.F_DUPFD, HIGH_DESCRIPTOR)
        idle.connection.sock = BoundedSocket(fileno=descriptor)
        original.close()
        assert call(target) == b"ok"
        assert len(target.connections) == 1
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
