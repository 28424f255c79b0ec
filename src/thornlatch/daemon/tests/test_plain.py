"""Calls to plain services: their attempts and connections."""

import time
from types import SimpleNamespace

import pytest

from thornlatch.core.tests.scripted import ExtraTarget
from thornlatch.daemon._plain import PlainCall
from thornlatch.dispatch import Outcome
from thornlatch.exceptions import ErrorKind, RequestRefused


class Recorder:
    """Stands in for the slices and the gate; records what they are told."""

    def __init__(self):
        self.ended = []
        self.released = []

    def note_attempt(self, organisation, target, *, is_first):
        pass

    def note_started(self, target, isolation_id):
        pass

    def check_confirmed(self):
        raise RequestRefused(ErrorKind.HOST_UNCONFIRMED, "no lease")

    def note_ended(self, grant, outcome, *, is_sent):
        self.ended.append((outcome, is_sent))

    def release_grant(self, grant, *, outcome, tokens, first_token_s):
        self.released.append(outcome)


def test_refusal_before_the_call_isn_t_a_failure_of_the_target():
    """The target was reported as failed, and the request as one that breaks targets."""
    call = object.__new__(PlainCall)
    call.slice_client = call.gate = recorder = Recorder()
    call.attempt = 1
    call.may_have_run = False
    call.request = SimpleNamespace(
        organisation="shop",
        route=SimpleNamespace(tokens=1.0),
        running=SimpleNamespace(attach=lambda response: None),
    )
    with pytest.raises(RequestRefused):
        call._run_attempt(SimpleNamespace(target="t1"), "", "")
    assert recorder.ended == [(Outcome.UNUSED, False)]
    assert recorder.released == [Outcome.UNUSED]
    assert not call.may_have_run


@pytest.mark.timeout(30)
@pytest.mark.parametrize(("is_idempotent", "connections"), [(True, 1), (False, 2)])
def test_call_that_may_not_be_repeated_has_a_new_connection(is_idempotent, connections):
    """An extra answer was passed on as its own, and recorded for repetitions."""
    target = ExtraTarget(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    call = object.__new__(PlainCall)
    call.settings = SimpleNamespace(silence_limit_s=5.0)
    call.attempt = 1
    call.request = SimpleNamespace(
        method="POST",
        path="/",
        body=b"",
        content_type="",
        deadline=time.monotonic() + 5.0,
        caller=SimpleNamespace(request="r"),
        route=SimpleNamespace(is_idempotent=is_idempotent),
    )
    for _ in range(2):
        response = call._open(SimpleNamespace(address=target.address), "")
        response.read_all(100)
        response.close()
    assert len(target.connections) == connections
    target.close()
