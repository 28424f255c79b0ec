"""Splits the bytes of a stream into server-sent events."""

import re
from dataclasses import dataclass

from thornlatch.core import parse_number

# A blank line ends an event. Lines end with LF, CRLF or CR; a CRLF is one line end.
EVENT_END = re.compile(rb"(?>\r\n?|\n)(?:\r\n?|\n)")
# A target that fails in a stream that ends with its connection may write the head of
# another answer into it: a status line on a line of its own or before a header field.
# Text of a model may contain one too, but then the next line is a field of events.
ANSWER_HEAD = re.compile(
    rb"(?:\A|[\r\n])HTTP/1\.[01] \d{3}\b"
    rb"|HTTP/1\.[01] \d{3}\b[^\r\n]*(?:\r\n?|\n)(?!(?:data|event|id|retry):)[\w-]+:"
)
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
    rest : bytes
        Bytes after the last complete event.
    has_events : bool
        Whether any event was complete.
    """

    def __init__(self) -> None:
        self.rest = b""
        self.has_events = False

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
        data = self.rest + data
        start = 0
        events: list[StreamEvent] = []
        for blank_line in EVENT_END.finditer(data):
            event = data[start : blank_line.end()]
            if b"HTTP/1." in event and ANSWER_HEAD.search(event):
                if not events:
                    raise ValueError("event contains the head of another answer")
                # The events before it are sound; the next call raises the error.
                break
            events.append(StreamEvent(event, _find_id(event)))
            start = blank_line.end()
        self.rest = data[start:]
        self.has_events = self.has_events or bool(events)
        if len(self.rest) > EVENT_LIMIT_BYTES:
            raise ValueError(
                f"incomplete event of {len(self.rest)} bytes is longer than"
                f" {EVENT_LIMIT_BYTES} bytes"
            )
        return events


def _find_id(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            text = line[3:].strip().decode(errors="replace")
            return parse_number(text, max_digits=MAX_ID_DIGITS)
    return None
