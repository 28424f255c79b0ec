"""Calls whose attempt ends before the target is called."""

from types import SimpleNamespace

import pytest

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
