"""Lines that `http.client` reads by `int` and `email`, which accept more than HTTP."""

import pytest

from thornlatch.core.tests.endless import CHUNKED_HEAD, HEAD
from thornlatch.core.tests.scripted import ScriptedTarget
from thornlatch.exceptions import TargetError
from thornlatch.targets import TargetCall, open_call

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
