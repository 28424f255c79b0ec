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
@pytest.mark.parametrize(
    "headers",
    [
        b"",
        b"Transfer-Encoding: identity\r\n",
        b"Content-Type: multipart/mixed\r\n",
        b"Content-Length: 5\r\nContent-Length: 5\r\n",
    ],
)
def test_answer_that_ends_with_its_connection_is_whole(start_target, read, headers):
    target = start_target(HEAD + headers + b"\r\nwhole")
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
        HEAD + b"broken line\r\nContent-Length: 9\r\n\r\npart",
        HEAD + b"Server : x\r\nContent-Length: 9\r\n\r\npart",
        HEAD + b"Content-Length: 4\r\nContent-Length: 9\r\n\r\npart",
        HEAD + b"Transfer-Encoding: chunked \r\n\r\n4\r\npart\r\n",
        HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
    ],
    ids=[
        "length",
        "length, no byte",
        "in a chunk",
        "between chunks",
        "length after a line that is no header",
        "length after a malformed header",
        "two lengths",
        "chunks, space after the coding",
        "unknown coding",
    ],
)
def test_short_answer_is_rejected_by_every_reader(start_target, read, answer):
    """Plain calls of the daemon passed on answers shorter than announced."""
    target = start_target(answer)
    with pytest.raises(TargetError) as error:
        read(open_call(TargetCall(target.address, "GET", "/")))
    assert error.value.is_sent


@pytest.mark.parametrize("read", READERS)
@pytest.mark.parametrize("coding", [b"chunked ", b"Chunked", b"\tchunked"])
def test_chunks_are_recognised_in_any_spelling(start_target, read, coding):
    """Callers got the sizes of the chunks as part of the body."""
    answer = HEAD + b"Transfer-Encoding: %s\r\n\r\n4\r\npart\r\n0\r\n\r\n" % coding
    response = open_call(TargetCall(start_target(answer).address, "GET", "/"))
    assert read(response) == b"part"
