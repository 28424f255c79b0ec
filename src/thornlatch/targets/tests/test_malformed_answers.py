"""Lines that `http.client` reads by `int` and `email`, which accept more than HTTP."""

import pytest

from thornlatch.core.tests.endless import CHUNKED_HEAD, HEAD
from thornlatch.core.tests.malformed_heads import FAULTS, check_heads
from thornlatch.core.tests.scripted import ScriptedTarget
from thornlatch.exceptions import TargetError
from thornlatch.targets import (
    TargetCall,
    evict_adapter,
    load_adapter,
    open_call,
    read_report,
)

LENGTH = b"Content-Length: 4\r\n\r\nbody"
MALFORMED = {
    "chunk size with a sign": CHUNKED_HEAD + b"+4\r\nbody\r\n0\r\n\r\n",
    "chunk size with a prefix": CHUNKED_HEAD + b"0x4\r\nbody\r\n0\r\n\r\n",
    "chunk size with an underscore": CHUNKED_HEAD + b"0_4\r\nbody\r\n0\r\n\r\n",
    "chunk size after a space": CHUNKED_HEAD + b" 4\r\nbody\r\n0\r\n\r\n",
    "negative chunk size": CHUNKED_HEAD + b"-4\r\nbody\r\n0\r\n\r\n",
    "last chunk with a sign": CHUNKED_HEAD + b"4\r\nbody\r\n-0\r\n\r\n",
    "no line end after a chunk": CHUNKED_HEAD + b"4\r\nbodyXX0\r\n\r\n",
    "length with a sign": HEAD + b"Content-Length: +4\r\n\r\nbody",
    "length with an underscore": HEAD + b"Content-Length: 0_4\r\n\r\nbody",
    "length and other white space": HEAD + b"Content-Length: 4\x0b\r\n\r\nbody",
    "length after a CR": HEAD + b"Name: x\rContent-Length: 4\r\n\r\nbody",
    "CR in a header": HEAD + b"Name: x\ry\r\n" + LENGTH,
    "NUL in a header": HEAD + b"Name: x\0y\r\n" + LENGTH,
    "CR in a header before the answer": (
        b"HTTP/1.1 103 Early\r\nName: x\r: y\r\n\r\n" + HEAD + LENGTH
    ),
}


@pytest.fixture
def ask():
    target = ScriptedTarget()

    def ask(answer):
        target.build_answer = lambda path: answer
        call = TargetCall(target.address, "GET", "/", timeout_s=5.0)
        response = open_call(call)
        try:
            return response.read_all(1 << 16), response.response.getheaders()
        finally:
            response.close()

    yield ask
    target.close()


@pytest.mark.timeout(30)
@pytest.mark.parametrize("case", MALFORMED)
def test_malformed_answer_is_an_error(ask, case):
    """Its body, or a part of it, was passed on as a whole answer."""
    with pytest.raises(TargetError) as error:
        ask(MALFORMED[case])
    assert error.value.is_sent


@pytest.mark.timeout(30)
@pytest.mark.parametrize(
    "answer",
    [
        CHUNKED_HEAD + b"4 ;a=b\r\nbody\r\n00;c\r\nTrailer: x\r\n\r\n",
        HEAD + b"Content-Length:\t04 \r\n\r\nbody",
        HEAD.replace(b"\r", b"") + LENGTH.replace(b"\r", b""),
    ],
    ids=["chunk extensions", "spaces at a length", "LF alone"],
)
def test_unusual_answer_is_read(ask, answer):
    assert ask(answer)[0] == b"body"


def test_lines_of_a_header_are_joined(ask):
    """Their ends were passed on within the value, which the caller's side rejects."""
    folded = HEAD + b"Name: a\r\n  b \r\n\tc\r\nName: d\r\nContent-Length:\r\n 4\r\n"
    headers = [("Name", "a b c"), ("Name", "d"), ("Content-Length", "4")]
    assert ask(folded + b"\r\nbody") == (b"body", headers)


def test_error_quotes_little_of_a_line(ask):
    """A line may be the body of an answer to another caller, or 64 KB long."""
    with pytest.raises(TargetError) as error:
        ask(b"secret of another caller\r\n\r\n")
    assert "secret" not in error.value.message
    for line in (b"HTTP/1.1 000 " + b"x" * 9000, HEAD + b"Transfer-Encoding: " * 900):
        with pytest.raises(TargetError) as error:
            ask(line + b"\r\n\r\n")
        assert len(error.value.message) < 300


def read_some(address):
    response = open_call(TargetCall(address, "GET", "/", timeout_s=5.0))
    while response.read_some():
        pass
    response.close()


READERS = {
    "call": read_some,
    "report": lambda address: read_report(address, timeout_s=5.0),
    "load": lambda address: load_adapter(
        address, "a@1", store="w", epoch=1, timeout_s=5.0
    ),
    "eviction": lambda address: evict_adapter(address, "a@1", epoch=1, timeout_s=5.0),
}


# Guards against: such an answer was believed, with what had arrived at the end of its
# connection as the whole body (issue 55).
@pytest.mark.timeout(30)
@pytest.mark.parametrize("reader", READERS)
@pytest.mark.parametrize("fault", FAULTS)
def test_answer_with_a_malformed_head_is_an_error(reader, fault):
    def read(address):
        try:
            READERS[reader](address)
        except TargetError as error:
            assert error.is_sent
            assert error.status is None
            return False
        return True

    check_heads(read, b'{"running": 1}', FAULTS[fault])
