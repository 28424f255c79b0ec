"""Answers as the one reader of heads takes them."""

import http.client

import pytest

from thornlatch.core import connect, read_answer
from thornlatch.core.tests.malformed_heads import (
    FAULTS,
    FIRST_LINES,
    MALFORMED_LINES_ANYWHERE,
    ODD_LINES,
    check_heads,
)
from thornlatch.core.tests.scripted import ScriptedTarget

OK = b"HTTP/1.1 200 OK\r\n"
BODY = b"a body"


@pytest.fixture
def server():
    server = ScriptedTarget()
    yield server
    server.close()


def read(address):
    connection = connect(address, timeout_s=5.0)
    try:
        connection.request("GET", "/")
        return read_answer(connection, head_s=5.0, body_s=5.0, limit=100)
    finally:
        connection.close()


def is_answer(address):
    try:
        response, data = read(address)
    except http.client.HTTPException:
        return False
    assert (response.status, data) == (200, BODY)
    return True


@pytest.mark.parametrize("fault", FAULTS)
def test_malformed_head_is_none(fault):
    check_heads(is_answer, BODY, FAULTS[fault])


def test_line_that_is_no_field_spoils_a_head_anywhere():
    check_heads(is_answer, BODY, MALFORMED_LINES_ANYWHERE)


@pytest.mark.parametrize("status", [b"100 Continue", b"102 Busy", b"103 Early Hints"])
@pytest.mark.parametrize("fault", FAULTS)
def test_answer_behind_a_malformed_interim_head_is_none(server, fault, status):
    """Its head may be a part of the interim answer, whose end isn't known."""
    taken = []
    for name, head in FAULTS[fault].items():
        interim, end, _ = head.build(b"", status=status).partition(b"\r\n\r\n")
        answer = interim + end + OK + b"Content-Length: 6\r\n\r\n" + BODY
        server.build_answer = lambda _, answer=answer: answer
        if is_answer(server.address):
            taken.append(name)
    assert taken == []


@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
@pytest.mark.parametrize("fault", FAULTS)
def test_malformed_head_without_a_body_is_none(server, fault, status):
    taken = []
    for name, head in FAULTS[fault].items():
        answer = head.build(b"", status=status)
        server.build_answer = lambda _, answer=answer: answer
        try:
            read(server.address)
        except http.client.HTTPException:
            continue
        taken.append(name)
    assert taken == []


SOUND_HEADS = {
    "no length": b"Name: x\r\n",
    "length": b"Content-Length: 6\r\n",
    "length between white space": b"Content-Length:\t 6 \t\r\n",
    "zeros before the length": b"Content-Length: " + b"0" * 5000 + b"6\r\n",
    "the same length twice": b"Content-Length: 6\r\nContent-Length: 6\r\n",
    "folded length": b"Content-Length:\r\n 6\r\n",
    "any name of a field": b"!#$%&'*+-.^_`|~09azAZ: x\r\nContent-Length: 6\r\n",
    "any value of a field": (
        b'Name: \t !"(),/:;<=>?@[]{}~\x80\xff\t x \r\nContent-Length: 6\r\n'
    ),
    "no value": b"Name:\r\nName: \r\nContent-Length: 6\r\n",
    "folded value": b"Name: x\r\n\ty\r\n \r\nContent-Length: 6\r\n",
    "no transfer coding": b"Transfer-Encoding: identity\r\nContent-Length: 6\r\n",
    "lines that end in LF alone": b"Name: x\nContent-Length: 6\n",
}


@pytest.mark.parametrize("case", SOUND_HEADS)
def test_sound_head_is_one(server, case):
    answer = OK + SOUND_HEADS[case] + b"\r\n" + BODY
    server.build_answer = lambda _: answer
    assert is_answer(server.address)


CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n6\r\na body\r\n0\r\n"


# Guards against: bytes in place of trailer fields, such as the rest of a body behind a
# malformed chunk size, were dropped, and the answer was taken for whole (issue 55).
def test_line_after_the_last_chunk_that_is_no_field_spoils_an_answer(server):
    taken = []
    for name, line in (ODD_LINES | FIRST_LINES).items():
        for before in (b"", b"Name: x\r\n"):
            if before and name in FIRST_LINES:  # continues the field there
                continue
            answer = OK + CHUNKS + before + line + b"\r\n\r\n"
            server.build_answer = lambda _, answer=answer: answer
            if is_answer(server.address):
                taken.append((name, before))
    assert taken == []


@pytest.mark.parametrize(
    "trailer",
    [
        b"",
        b"\r",
        b"\r\n",
        b"\n",
        b"Name: x\r\n",
        b"Name: x\r\n\r\n",
        b"Name: x\r\n y\r\n\r\n",
        b"Name: x\nContent-Length: other\n\n",
    ],
)
def test_answer_with_sound_fields_after_the_last_chunk_is_one(server, trailer):
    """Without their end, too: all of the body is known with the last chunk."""
    server.build_answer = lambda _: OK + CHUNKS + trailer
    assert is_answer(server.address)


def test_body_that_ends_with_its_connection_is_whole(server):
    """The end of the connection is the end of a body without a length."""
    for count in range(len(BODY) + 1):
        answer = OK + b"Name: x\r\n\r\n" + BODY[:count]
        server.build_answer = lambda _, answer=answer: answer
        assert read(server.address)[1] == BODY[:count]


def test_length_beside_chunks_doesn_t_count(server):
    server.build_answer = lambda _: OK + b"Content-Length: 5\r\n" + CHUNKS + b"\r\n"
    assert is_answer(server.address)


def test_lengths_of_one_number_in_two_spellings_contradict_each_other(server):
    fields = b"Content-Length: 6\r\nContent-Length: 06\r\n\r\n"
    server.build_answer = lambda _: OK + fields + BODY
    assert not is_answer(server.address)


def test_error_doesn_t_quote_a_malformed_length(server):
    """It may be part of the answer to another caller."""
    server.build_answer = lambda _: OK + b"Content-Length: secret\r\n\r\n"
    with pytest.raises(http.client.HTTPException) as error:
        read(server.address)
    assert "secret" not in repr(error.value)
