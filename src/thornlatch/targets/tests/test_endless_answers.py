"""Targets whose answers never end or break off: reads end, and say so."""

import threading

import pytest

from thornlatch.core import _connections, read_clock
from thornlatch.core.tests.endless import (
    BODIES,
    CHUNKED_HEAD,
    HEAD,
    HEADS,
    PAUSE_S,
    SPEEDS,
    EndlessTarget,
)
from thornlatch.core.tests.scripted import ScriptedTarget
from thornlatch.exceptions import TargetError
from thornlatch.gateway._call import TargetAnswer
from thornlatch.gateway._sender import BODY_LIMIT_BYTES, TargetSender
from thornlatch.targets import TargetCall, _calls, open_call

TIMEOUT_S = 0.3


@pytest.fixture
def start_target():
    targets = []

    def start(start, part, speed):
        count, pause_s = SPEEDS[speed]
        targets.append(EndlessTarget(start, part * count, pause_s))
        return targets[-1]

    yield start
    for target in targets:
        target.close()


def build_call(target):
    return TargetCall(target.address, "GET", "/", timeout_s=TIMEOUT_S)


@pytest.mark.timeout(30)
@pytest.mark.parametrize("speed", SPEEDS)
@pytest.mark.parametrize("case", HEADS)
def test_head_without_end_is_given_up(start_target, case, speed):
    target = start_target(*HEADS[case], speed)
    with pytest.raises(TargetError) as error:
        open_call(build_call(target))
    assert error.value.is_sent
    assert target.was_closed.wait(10)
    assert not _calls._connections.idle.get(target.address)


@pytest.mark.timeout(30)
@pytest.mark.parametrize("speed", SPEEDS)
@pytest.mark.parametrize("case", BODIES)
def test_body_without_end_is_given_up(start_target, case, speed):
    target = start_target(*BODIES[case], speed)
    response = open_call(build_call(target))
    with pytest.raises(TargetError) as error:
        response.read_all(1 << 16, within_s=TIMEOUT_S)
    assert error.value.is_sent
    response.abort()
    response.close()
    assert target.was_closed.wait(10)
    assert not _calls._connections.idle.get(target.address)


@pytest.mark.timeout(30)
def test_call_is_aborted_while_its_head_is_awaited(start_target):
    target = start_target(*HEADS["headers"], "now and then")
    aborts = []
    call = TargetCall(target.address, "GET", "/", timeout_s=1000.0)

    def abort_later(abort):
        aborts.append(threading.Timer(PAUSE_S * 5, abort))
        aborts[0].start()

    with pytest.raises(TargetError):
        open_call(call, on_connected=abort_later)
    aborts[0].join()


@pytest.mark.timeout(30)
@pytest.mark.parametrize("part", [b"1\r\n:\r\n", b"2\r\n: \r\n"])
def test_stream_whose_bytes_complete_no_event_is_broken(start_target, part):
    """Its callers saw nothing, but each byte renewed the wait."""
    target = start_target(CHUNKED_HEAD, part, "now and then")
    response = open_call(build_call(target))
    answer = TargetAnswer(None, None, response, read_clock(), None)
    sender = TargetSender(None, protocol=None, work=None, health=None, metrics=None)
    with pytest.raises(TargetError):
        sender.read_events(None, answer)
    response.abort()
    assert target.was_closed.wait(10)


@pytest.mark.timeout(30)
def test_slow_but_sound_stream_goes_on(start_target, monkeypatch):
    target = start_target(CHUNKED_HEAD, b"4\r\nx:\n\n\r\n", "now and then")
    clock = [read_clock()]
    monkeypatch.setattr(_connections, "read_clock", lambda: clock[0])
    response = open_call(TargetCall(target.address, "GET", "/", timeout_s=20.0))
    answer = TargetAnswer(None, None, response, read_clock(), None)
    sender = TargetSender(None, protocol=None, work=None, health=None, metrics=None)
    for _ in range(5):
        answer.events = []
        sender.read_events(None, answer)
        assert answer.events
        clock[0] += 15.0
    response.abort()


@pytest.fixture
def answering_target():
    target = ScriptedTarget()
    yield target
    target.close()


WHOLE_ANSWERS = {
    "many digits": HEAD + b"Content-Length: %020d\r\n\r\nhello" % 5,
    "length": HEAD + b"Instance: t1\r\nContent-Length: 5\r\n\r\nhello",
    "chunked": CHUNKED_HEAD + b"0003\r\nhel\r\n0002\r\nlo\r\n0\r\n\r\n",
}


@pytest.mark.timeout(60)
@pytest.mark.parametrize("form", WHOLE_ANSWERS)
def test_answer_that_breaks_off_at_any_byte_is_never_taken_for_whole(
    answering_target, form
):
    """A head cut between two headers was read as an answer without a body."""
    whole = WHOLE_ANSWERS[form]
    answering_target.build_answer = lambda path: whole[: int(path.strip("/"))]
    # All of the body is known with the line of the last chunk.
    needed_bytes = len(whole) - (len(b"\r\n") if form == "chunked" else 0)
    taken_for_whole = []
    for count in range(len(whole) + 1):
        call = TargetCall(answering_target.address, "GET", f"/{count}")
        try:
            data = open_call(call).read_all(BODY_LIMIT_BYTES)
        except TargetError as error:
            assert error.is_sent
        else:
            assert data == b"hello"
            taken_for_whole.append(count)
    assert taken_for_whole == list(range(needed_bytes, len(whole) + 1))


@pytest.mark.parametrize("number", [b"\xb2", b"9" * 5000])
def test_malformed_idle_limit_of_an_answer_is_ignored(answering_target, number):
    """int() raises errors for them, which ended requests without an answer."""
    whole = HEAD + b"Keep-Alive: timeout=%s\r\nContent-Length: 5\r\n\r\nhello"
    answering_target.build_answer = lambda path: whole % number
    response = open_call(TargetCall(answering_target.address, "GET", "/"))
    assert response.read_all(BODY_LIMIT_BYTES) == b"hello"
    response.close()


# Guards against: a body was read to the end of its connection, and passed on as whole,
# because the head's length was one that int() rejects (issue 55).
@pytest.mark.parametrize("number", [b"\xb2", b"9" * 5000])
def test_malformed_length_of_an_answer_is_an_error(answering_target, number):
    whole = HEAD + b"Content-Length: %s\r\n\r\nhello" % number
    answering_target.build_answer = lambda path: whole
    with pytest.raises(TargetError) as error:
        open_call(TargetCall(answering_target.address, "GET", "/"))
    assert error.value.is_sent
    assert not error.value.is_timeout


def test_answer_with_a_huge_length_is_never_taken_for_whole(answering_target):
    whole = HEAD + b"Content-Length: 9999999999999999\r\n\r\nhello"
    answering_target.build_answer = lambda path: whole
    with pytest.raises(TargetError):
        open_call(TargetCall(answering_target.address, "GET", "/")).read_all(
            BODY_LIMIT_BYTES
        )
