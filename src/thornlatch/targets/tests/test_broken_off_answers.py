"""Answers whose connection ends early are never taken for whole ones."""

import threading

import pytest

from thornlatch.core.tests.endless import CHUNKED_HEAD, HEAD
from thornlatch.core.tests.scripted import ScriptedTarget
from thornlatch.exceptions import TargetError
from thornlatch.targets import TargetCall, open_call


@pytest.fixture
def start_target():
    targets = []

    def start(answer, end="close"):
        target = ScriptedTarget(end)
        target.build_answer = lambda path: answer
        targets.append(target)
        return target

    yield start
    for target in targets:
        target.close()


def read_whole(response):
    return response.read_all(1 << 16)


def read_piecewise(response):
    pieces = []
    while piece := response.read_some():
        pieces.append(piece)
    return b"".join(pieces)


READERS = [read_whole, read_piecewise]


@pytest.mark.timeout(30)
@pytest.mark.parametrize("read", READERS)
def test_aborted_answer_without_length_isn_t_complete(start_target, read):
    """A stopped request was passed on as a complete answer."""
    target = start_target(HEAD + b"\r\npart", end="keep")
    response = open_call(TargetCall(target.address, "GET", "/"))
    aborter = threading.Timer(0.05, response.abort)
    aborter.start()
    with pytest.raises(TargetError) as error:
        read(response)
    aborter.join()
    assert error.value.is_sent


@pytest.mark.parametrize("read", READERS)
def test_answer_that_ends_with_its_connection_is_whole(start_target, read):
    target = start_target(HEAD + b"\r\nwhole")
    response = open_call(TargetCall(target.address, "GET", "/"))
    assert read(response) == b"whole"
    response.close()


@pytest.mark.timeout(30)
@pytest.mark.parametrize("read", READERS)
@pytest.mark.parametrize(
    "answer",
    [
        HEAD + b"Content-Length: 9\r\n\r\npart",
        HEAD + b"Content-Length: 9\r\n\r\n",
        CHUNKED_HEAD + b"9\r\npart",
        CHUNKED_HEAD + b"4\r\npart\r\n",
    ],
    ids=["length", "length, no byte", "in a chunk", "between chunks"],
)
def test_short_answer_is_rejected_by_every_reader(start_target, read, answer):
    """Plain calls of the daemon passed on answers shorter than announced."""
    target = start_target(answer)
    response = open_call(TargetCall(target.address, "GET", "/"))
    with pytest.raises(TargetError) as error:
        read(response)
    assert error.value.is_sent
