"""Splitting streams into events: the work grows with the bytes, not their square."""

import contextlib
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thornlatch.core.tests.malformed_heads import FIRST_LINES, ODD_LINES
from thornlatch.gateway._events import EVENT_LIMIT_BYTES, EventSplitter

# A process that does nothing else for longer delays final answers past their bound.
PROCESSOR_LIMIT_S = 0.5
STATUS_LINE = b"HTTP/1.1 503 Service Unavailable "
EVENTS = {
    "status lines without a line end": STATUS_LINE,
    "status lines before a long name": STATUS_LINE + b"\n" + b"a" * 4096,
    "status lines with line ends": b"data: " + STATUS_LINE + b"\n",
    "many short lines beside a status line": b"x\r" * 2000
    + b"data: "
    + STATUS_LINE
    + b"\r",
    "status lines before a long field": STATUS_LINE + b"\ndata:" + b"a" * 4096,
    "many short fields beside a status line": b"id\r" * 2000
    + b"data: "
    + STATUS_LINE
    + b"\r",
    "text": b"x",
    "data lines": b"data: x\n",
    "carriage returns": b"data: x\r",
    "ids": b"id: 1\n",
    "digits of an id": b"1",
}
SHAPES_WITH_A_HEAD = {
    "status lines before a long name",
    "many short lines beside a status line",
}


def repeat_to(size, part):
    return b"id: 7" + part * (size // len(part))


@pytest.mark.timeout(60)
@pytest.mark.parametrize("piece_bytes", [64, 1 << 16])
@pytest.mark.parametrize("shape", EVENTS)
def test_event_of_any_shape_and_pieces_takes_little_processor_time(shape, piece_bytes):
    """One spoiled stream took the interpreter's lock for seconds, and nobody else ran.

    The last piece completes the event, so that its head is examined too.
    """
    event = repeat_to(EVENT_LIMIT_BYTES - 16, EVENTS[shape]) + b"\r\n\r\n"
    splitter = EventSplitter()
    has_head = shape in SHAPES_WITH_A_HEAD
    began_at = time.thread_time()
    with pytest.raises(ValueError) if has_head else contextlib.nullcontext():
        for start in range(0, len(event), piece_bytes):
            splitter.feed(event[start : start + piece_bytes])
    assert time.thread_time() - began_at < PROCESSOR_LIMIT_S


def test_short_events_after_a_head_take_little_processor_time():
    splitter = EventSplitter()
    began_at = time.thread_time()
    assert splitter.feed(b"id: 1\n\n" + STATUS_LINE + b"\n\n" * (1 << 15))
    assert time.thread_time() - began_at < PROCESSOR_LIMIT_S


TOKENS = [b"\r", b"\n", b"data: x", b"id: 7", b"Name: x", b"HTTP/1.1 503 No", b" "]


@given(st.lists(st.sampled_from(TOKENS)), st.lists(st.integers(1, 9)))
def test_pieces_change_nothing_in_what_callers_get(tokens, sizes):
    data = b"".join(tokens)
    assert read_all([data]) == read_all(split(data, sizes))


def split(data, sizes):
    for size in sizes:
        piece, data = data[:size], data[size:]
        yield piece
    yield data


def read_all(pieces):
    """Return the bytes of all events and of the rest, and whether a head came."""
    splitter, events = EventSplitter(), b""
    try:
        for piece in pieces:
            events += b"".join(event.data for event in splitter.feed(piece))
        splitter.feed(b"x")
    except ValueError:
        return events, True
    return events + splitter.rest, False


@pytest.mark.parametrize(
    "event",
    [
        b"data: HTTP/1.1 200 OK\n\n",
        b"data: HTTP/1.1 200 OK\ndata: x\n\n",
        b"data: HTTP/1.1 200 OK\r\nid: 7\r\n\r\n",
        b"data: HTTP/1.1 200 OK\rdata\r\r",
        b"data: HTTP/1.1 200 OK\nevent: x\nretry: 5\n\n",
        b'data: {"text": "HTTP/1.1 200 OK\\r\\nContent-Length: 5"}\n\n',
    ],
)
def test_text_with_a_status_line_is_an_event(event):
    assert [passed.data for passed in EventSplitter().feed(event)] == [event]


# Guards against: the head of an answer with a malformed first line, which a server
# wrote into an event, was passed on as a part of it (issue 55).
@pytest.mark.parametrize("line", [*ODD_LINES.values(), *FIRST_LINES.values()])
def test_event_with_a_malformed_head_is_none(line):
    head = b"HTTP/1.1 500 Failed\r\n" + line + b"\r\nContent-Length: 5\r\n\r\n"
    splitter = EventSplitter()
    [event] = splitter.feed(b"id: 1\ndata: x\n\nid: 2\nda" + head)
    assert event.data == b"id: 1\ndata: x\n\n"
    with pytest.raises(ValueError, match="head"):
        splitter.feed(b"hello")
