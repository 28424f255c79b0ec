"""Streams whose attempt ends before the target is called."""

from types import SimpleNamespace

import pytest

from thornlatch.daemon._completions import CompletionStream
from thornlatch.daemon.tests.test_plain import Recorder
from thornlatch.dispatch import Outcome
from thornlatch.exceptions import RequestRefused


def test_refusal_before_the_call_proves_nothing_about_the_request():
    """A suspect that was to run alone counted as run there without a crash."""
    stream = object.__new__(CompletionStream)
    stream.slice_client = stream.gate = recorder = Recorder()
    stream.cursor = SimpleNamespace(attempt=1, next_token=0)
    stream.may_have_run = False
    stream.request = SimpleNamespace(
        organisation="shop", running=SimpleNamespace(attach=lambda response: None)
    )
    with pytest.raises(RequestRefused):
        list(stream._run_attempt(SimpleNamespace(target="t1"), "h/1"))
    assert recorder.ended == [(Outcome.UNUSED, False)]
    assert recorder.released == [Outcome.UNUSED]
    assert not stream.may_have_run
