"""Splits the bytes of a stream into server-sent events."""

import re
from dataclasses import dataclass

from thornlatch.core import StreamSplitter, parse_number

# A blank line ends an event. Lines end with LF, CRLF or CR; a CRLF is one line end.
EVENT_END = re.compile(rb"(?>\r\n?|\n)(?:\r\n?|\n)")
EVENT_END_BYTES = 2
LINE_END = re.compile(rb"\r\n?|\n")
ID_LINE = re.compile(rb"(?:\A|[\r\n])id:([^\r\n]*)")
# Also malformed ones, with or without a status: a target in trouble may write any.
STATUS_LINE = re.compile(rb"HTTP/\d(?:(?:\.\w?)? *[+-]?(\d))?")
# A blank line, or one with a field of events.
EVENT_LINE = re.compile(rb"[\r\n]|(?:data|event|id|retry)[:\r\n]")
MAX_ID_DIGITS = 100
EVENT_LIMIT_BYTES = 1 << 20  # a longer event means that the stream is broken


@dataclass(frozen=True)
class StreamEvent:
    """One event of a stream.

    Parameters
    ----------
    data : bytes
        All lines of the event, including the blank line at the end.
    id : int or None
        Numeric id of the event; None without one.
    """

    data: bytes
    id: int | None


class EventSplitter:
    """Buffers bytes and returns complete events.

    Attributes
    ----------
    has_events : bool
        Whether any event was complete.
    spoiled_event : bytes
        Event with the head of an answer, after which nothing is sound.
    """

    def __init__(self) -> None:
        self.splitter = StreamSplitter(EVENT_END, end_bytes=EVENT_END_BYTES)
        self.has_events = False
        self.spoiled_event = b""

    @property
    def rest(self) -> bytes:
        """Bytes after the last complete event."""
        return self.spoiled_event + self.splitter.rest

    @property
    def rest_bytes(self) -> int:
        """Length of `rest`."""
        return len(self.spoiled_event) + len(self.splitter.rest)

    @property
    def is_inside_event(self) -> bool:
        """Whether `rest` is the beginning of an event, not only blank lines."""
        return bool(self.rest.strip(b"\r\n"))

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        list of StreamEvent

        Raises
        ------
        ValueError
            If the incomplete event is longer than `EVENT_LIMIT_BYTES`, or the first
            event contains the head of an answer.
        """
        events: list[StreamEvent] = []
        parts = [] if self.spoiled_event else self.splitter.feed(data)
        for position, event in enumerate(parts):
            if _has_answer_head(event):
                # The events before it are sound; the next call raises the error.
                self.spoiled_event = b"".join(parts[position:])
                break
            events.append(StreamEvent(event, _find_id(event)))
        if self.spoiled_event and not events:
            raise ValueError("event contains the head of another answer")
        self.has_events = self.has_events or bool(events)
        rest_bytes = len(self.splitter.rest)
        if rest_bytes > EVENT_LIMIT_BYTES:
            raise ValueError(
                f"incomplete event of {rest_bytes} bytes is longer than"
                f" {EVENT_LIMIT_BYTES} bytes"
            )
        return events

    def take_rest(self) -> bytes:
        """Return and remove the bytes after the last complete event."""
        rest = self.rest
        self.splitter.rest.clear()
        self.spoiled_event = b""
        return rest


def _has_answer_head(event: bytes) -> bool:
    """Return whether an event contains the head of an answer.

    A target that fails in a stream that ends with its connection may write one into it,
    also a malformed one: a status line on a line of its own, or before a line that is
    no field of events. Text of a model may contain a status line too, but then a field
    of events follows. No field of events begins like a status line.
    """
    line_end = 0
    for status_line in STATUS_LINE.finditer(event):
        start = status_line.start()
        if start == 0 or event[start - 1] in b"\r\n":
            return True
        if start < line_end or not status_line[1]:
            continue  # on the same line as the one before, or a mere word
        end = LINE_END.search(event, start)
        if end is None:
            return False
        line_end = end.end()
        if not EVENT_LINE.match(event, line_end):
            return True
    return False


def _find_id(event: bytes) -> int | None:
    line = ID_LINE.search(event)
    if line is None:
        return None
    text = line[1].strip().decode(errors="replace")
    return parse_number(text, max_digits=MAX_ID_DIGITS)
