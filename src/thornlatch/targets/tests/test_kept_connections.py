"""Connections that are kept for further calls: which are used, and for how long."""

import pytest

from thornlatch.core.tests.scripted import ExtraTarget
from thornlatch.exceptions import TargetError
from thornlatch.targets import TargetCall, open_call

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
