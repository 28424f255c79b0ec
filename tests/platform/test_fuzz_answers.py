"""Fuzzer of heads, bodies and events: nothing that is no answer is passed on as one."""

import contextlib
import http.client
import re
import socket
import threading
import time

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from adapter._protocols import PlatformTargetProtocol
from fuzzing import TIME_LIMIT_S, TOKENS, bounds, edited
from status_lines import BAD_LINES, GOOD_LINES
from thornlatch.core import connect, read_answer, received_memory
from thornlatch.core.tests.malformed_heads import (
    FAULTS,
    FIRST_LINES,
    LENGTH_LINES,
    MALFORMED_LINES_ANYWHERE,
    ODD_LINES,
    SOUND_HEAD,
)
from thornlatch.exceptions import TargetError
from thornlatch.gateway._events import EVENT_LIMIT_BYTES, EventSplitter
from thornlatch.targets import Reuse, TargetCall, open_call

BODY_LIMIT_BYTES = 1 << 16
DIGITS = b"0123456789"
LONGEST = 10**18
# Those of ASCII that no name of a field has (RFC 9110, section 5.6.2).
DELIMITERS = b'"(),/:;<=>?@[\\]{}'


def take_line(data):
    line, end, rest = data.partition(b"\n")
    return (line + end, rest) if end else (None, b"")


def read_status(line):
    """Return the status of a status line, None if it is none."""
    line = line.removesuffix(b"\n").removesuffix(b"\r")
    version, status, reason = line[:9], line[9:12], line[12:]
    if version[:7] != b"HTTP/1." or version[7:8] not in DIGITS or version[8:] != b" ":
        return None
    if len(status) != 3 or any(byte not in DIGITS for byte in status):
        return None
    if reason[:1] not in (b"", b" ") or any(
        byte < 32 and byte != 9 or byte == 127 for byte in reason
    ):
        return None
    return int(status) if 100 <= int(status) <= 599 else None


def is_name(data):
    return bool(data) and all(33 <= c <= 126 and c not in DELIMITERS for c in data)


def is_value(data):
    return all(c == 9 or 32 <= c <= 126 or c >= 128 for c in data)


def read_fields(data):
    """Return the header fields and what follows them, None if they are no head."""
    fields = []
    while True:
        line, data = take_line(data)
        if line is None:
            return None, b""
        content = line.removesuffix(b"\n").removesuffix(b"\r")
        if not content:
            return fields, data
        name, colon, value = content.partition(b":")
        if content[:1] in (b" ", b"\t") and fields and is_value(content):
            name, value = fields.pop()
            fields.append((name, value + line))
        elif colon and is_name(name) and is_value(value):
            fields.append((name.lower(), value + b"\n"))
        else:
            return None, b""


def list_values(fields, name):
    """Return the values of a field, each in one line."""
    values = []
    for key, value in fields:
        if key == name:
            lines = [line.strip(b" \t\r") for line in value.split(b"\n")]
            values.append(b" ".join(lines).strip(b" "))
    return values


def read_framing(fields):
    """Return whether the body is in chunks, and its length; None if the head is none.

    A coding is none or `chunked` (`identity`, of former versions of HTTP, is none), and
    a length is a row of decimal digits, the same in each of its fields. No body is as
    long as a number of 19 digits.
    """
    codings = [value.lower() for value in list_values(fields, b"transfer-encoding")]
    codings = [coding for coding in codings if coding != b"identity"]
    if codings and codings != [b"chunked"]:
        return None
    lengths = list_values(fields, b"content-length")
    number = None
    for length in lengths:
        if not length or length.strip(DIGITS) or length != lengths[0]:
            return None
        number = 0
        for byte in length:
            number = number * 10 + DIGITS.index(byte)
            if number >= LONGEST:
                return None
    return bool(codings), number


def read_chunks(data):
    body = b""
    while True:
        line, data = take_line(data)
        match = re.fullmatch(rb"([0-9a-fA-F]+)[ \t]*(;[^\r\n]*)?\r?\n", line or b"")
        if match is None:
            return None
        size = int(match[1], 16)
        if not size:
            break
        if len(data) < size + 2 or data[size : size + 2] != b"\r\n":
            return None
        body += data[:size]
        data = data[size + 2 :]
    # The connection may end after any line behind the last chunk.
    lines, end, cut = data.rpartition(b"\n")
    fields, rest = read_fields(lines + end + b"\r\n")
    if fields is None or (not rest and cut not in (b"", b"\r")):
        return None
    return body


def read_expected(data):
    """Return status and body of the answer, the body None if it is cut off.

    None if there is no answer, as its head or one before it is none.
    """
    status = 100
    while status < 200:
        line, data = take_line(data)
        status = read_status(line) if line is not None else None
        if status is None or status == 101:
            return None
        fields, data = read_fields(data)
        framing = None if fields is None else read_framing(fields)
        if framing is None:
            return None
    is_chunked, length = framing
    if status in (204, 304):
        return status, b""
    if is_chunked:
        return status, read_chunks(data)
    if length is None:
        return status, data
    return status, data[:length] if len(data) >= length else None


class Server:
    """Answers each connection with pieces of bytes and closes it."""

    def __init__(self):
        self.pieces = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with connection, contextlib.suppress(OSError):
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connection.recv(1 << 16)
                for piece in self.pieces:
                    connection.sendall(piece)


@pytest.fixture(scope="module")
def server():
    server = Server()
    yield server
    server.listener.close()


LINES = [line + b"\r\n" for line, _ in GOOD_LINES.values()]
LINES += [line + b"\r\n" for line in BAD_LINES.values()]
FIELDS = [
    b"Content-Length: 5\r\n", b"Content-Length: 5\r\n", b"Content-Length:\t005 \r\n",
    b"Content-Length: 0\r\n", b"Content-Length: 99999\r\n", b"Content-Length: -1\r\n",
    b"content-length: 5_0\r\n", b"Content-Length: +5\r\n", b"Content-Length: 5, 5\r\n",
    b"Transfer-Encoding: chunked\r\n", b"Transfer-Encoding: chunked\r\n",
    b"transfer-encoding:Chunked \r\n", b"Transfer-Encoding: gzip, chunked\r\n",
    b"Transfer-Encoding: identity\r\n", b"Connection: close\r\n", b"X: y\r\n",
    b"X: y\n", b"X: y\r\n z\r\n", b"X y\r\n", b"X : y\r\n", b": y\r\n",
    b"Connection: keep-alive\r\n",
    b"Keep-Alive: timeout=9\r\n", b"X: \xe9\r\n", b"From x\r\n", b"X: a\rb\r\n",
    b"Content-Type: multipart/mixed\r\n",
]  # fmt: skip
MALFORMED_FIELDS = [
    line.replace(b"LENGTH", b"5") + b"\r\n"
    for line in [*LENGTH_LINES.values(), *ODD_LINES.values(), *FIRST_LINES.values()]
]
FIELD = st.one_of(
    st.sampled_from(FIELDS), st.sampled_from(FIELDS), st.sampled_from(MALFORMED_FIELDS)
)
CHUNKS = [
    b"5\r\nhello\r\n", b"1\r\nx\r\n", b"2;a=b\r\nhi\r\n", b"00A \r\n0123456789\r\n",
    b"+2\r\nhi\r\n", b"0x2\r\nhi\r\n", b"2\r\nhi", b"-2\r\nhi\r\n", b"2\nhi\r\n",
    b"ffffffffffffffffff\r\nhi\r\n", b"2\r\nhi\n", b"\r\n", b"0_2\r\nhi\r\n",
]  # fmt: skip
ENDS = [
    b"0\r\n\r\n", b"0\r\n\r\n", b"000;x\r\nTrailer: y\r\n\r\n", b"0\r\n", b"", b"0",
    b"0\r\nTrailer: y\r\n z\r\n\r\n", b"0\r\n y\r\n\r\n", b"0\r\nhello\r\n0\r\n\r\n",
]  # fmt: skip
LINE = st.one_of(st.sampled_from(LINES), edited(st.sampled_from(LINES)))
CHUNKED = st.builds(
    lambda chunks, end: b"".join(chunks) + end,
    st.lists(st.sampled_from(CHUNKS), max_size=4),
    st.sampled_from(ENDS),
)
BODY = st.one_of(st.just(b"hello"), CHUNKED, st.binary(max_size=12))
ANSWER = st.builds(
    lambda line, fields, body: line + b"".join(fields) + b"\r\n" + body,
    LINE,
    st.lists(FIELD, max_size=3),
    BODY,
)
# What begins like an answer and has few faults, or none.
NEAR = st.builds(
    lambda fields, body: b"HTTP/1.1 200 OK\r\n" + b"".join(fields) + b"\r\n" + body,
    st.lists(st.sampled_from(FIELDS[:12]), max_size=2),
    BODY,
)
BYTES = st.one_of(ANSWER, NEAR, edited(NEAR), edited(ANSWER), st.binary(max_size=40))


def read_whole(response):
    return response.read_all(BODY_LIMIT_BYTES)


def read_some(response):
    pieces = []
    while piece := response.read_some():
        pieces.append(piece)
    return b"".join(pieces)


def read_arrived(response):
    response.set_blocking(is_blocking=False)
    data = response.read_arrived()
    response.set_blocking(is_blocking=True)
    return data + read_some(response)


def call(server, read):
    response = open_call(
        TargetCall(server.address, "GET", "/", timeout_s=1.0), reuse=Reuse.NONE
    )
    try:
        data = read(response)
    except TargetError as error:
        assert error.is_sent
        # The head is one of an answer, whose body isn't whole.
        return response.status, None
    finally:
        response.close()
    return response.status, data


def read_with_core(server):
    connection = connect(server.address, timeout_s=1.0)
    try:
        connection.request("GET", "/")
        response, data = read_answer(
            connection, head_s=1.0, body_s=1.0, limit=BODY_LIMIT_BYTES
        )
    finally:
        connection.close()
    return response.status, data


def test_oracle_tells_malformed_heads_from_sound_ones():
    heads = FAULTS["length"] | FAULTS["line"] | MALFORMED_LINES_ANYWHERE
    answers = {
        name: read_expected(head.build(b"hello")) for name, head in heads.items()
    }
    assert answers == dict.fromkeys(heads)
    assert read_expected(SOUND_HEAD.build(b"hello")) == (200, b"hello")


READERS = [read_whole, read_some, read_arrived]


@pytest.mark.parametrize("read", READERS)
@given(data=BYTES, cuts=st.lists(st.integers(1, 60), max_size=3))
@example(data=b"HTTP/1.1 204 No\r\nTransfer-Encoding: chunked\r\n\r\n", cuts=[])
@example(data=b"HTTP/1.1 200 OK\r\nContent-Length: five\r\n\r\nhello", cuts=[])
@example(data=b'HTTP/1.1 200 OK\r\n{"error":"x"}\r\n\r\nhello', cuts=[])
@example(
    data=b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nhello\r\n\r\n",
    cuts=[],
)
@example(data=b"HTTP/1.1 200 OK\r\nContent-Length:\r\n 5\r\n\r\nhello", cuts=[])
def test_only_whole_answers_are_read_as_answers(server, read, data, cuts):
    """Another reader, which follows RFC 9112, decides what is one."""
    positions = [0, *sorted(cuts), len(data)]
    server.pieces = [
        data[start:end] for start, end in zip(positions, positions[1:], strict=False)
    ]
    began_at = time.monotonic()
    try:
        answer = call(server, read)
    except TargetError as error:
        assert error.is_sent
        answer = None
    assert time.monotonic() - began_at < TIME_LIMIT_S
    assert received_memory.used_bytes == 0
    assert answer == read_expected(data)


@given(data=BYTES)
@example(data=b"HTTP/1.1 200 OK\r\nContent-Length: five\r\n\r\nhello")
@example(data=b'HTTP/1.1 200 OK\r\n{"error":"x"}\r\n\r\nhello')
def test_answers_of_the_store_and_the_log_are_read_alike(server, data):
    server.pieces = [data]
    try:
        answer = read_with_core(server)
    except (OSError, http.client.HTTPException):
        answer = None
    expected = read_expected(data)
    is_whole = expected is not None and expected[1] is not None
    assert answer == (expected if is_whole else None)


EVENT_TOKENS = [
    *TOKENS,
    b"data: ",
    b"id:",
    b"Name: x",
    b"HTTP/1.1 0200 No",
    b"event: e",
]
STREAM = st.lists(
    st.one_of(st.sampled_from(EVENT_TOKENS), st.binary(max_size=3)), max_size=30
)


@given(pieces=STREAM, repeats=st.integers(0, 12))
def test_events_are_the_bytes_that_came_and_none_has_a_head(pieces, repeats):
    # Doubled, so that some streams have events over their limit.
    pieces = pieces + [b"".join(pieces) * (1 << repeats)]
    splitter = EventSplitter()
    passed, given_bytes = b"", b""
    with bounds():
        for piece in pieces:
            given_bytes += piece
            try:
                events = splitter.feed(piece)
            except ValueError:
                break
            for event in events:
                assert not re.search(rb"(?:\A|[\r\n])HTTP/\d", event.data)
                assert event.id is None or event.id >= 0
            passed += b"".join(event.data for event in events)
            assert splitter.rest_bytes <= EVENT_LIMIT_BYTES + len(piece)
    assert given_bytes.startswith(passed)
    assert given_bytes == passed + splitter.rest


HEADER_NAMES = [
    "Thornlatch-Request-Id", "Thornlatch-Server-Load", "Thornlatch-Not-Executed",
    "Server-Leaving", "Server-Limit", "Retry-After", "Thornlatch-Instance-Id",
    "Thornlatch-Server-Signature", "Content-Type", "Thornlatch-Cold-Remaining-Ms",
]  # fmt: skip
HEADER_VALUE = st.one_of(
    st.text(st.characters(max_codepoint=255), max_size=8),
    st.sampled_from(["1", "1,2,3", "1,2,3,150", "0.5", "9" * 5000, "-1", "nan", "1e9"]),
)


@given(
    status=st.integers(200, 599),
    headers=st.lists(st.tuples(st.sampled_from(HEADER_NAMES), HEADER_VALUE)),
)
def test_headers_of_answers_of_any_form_are_read(status, headers):
    with bounds():
        head = PlatformTargetProtocol("h").read_head(status, headers)
    assert head.status == status
    assert 0 <= head.notice.pause_s < float("inf")
    assert 0 <= (head.notice.limit_rate or 0.0) < float("inf")
