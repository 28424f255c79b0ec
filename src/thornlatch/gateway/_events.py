"""Splits the bytes of a stream into server-sent events."""

from dataclasses import dataclass

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
    """Buffers bytes and returns complete events."""

    def __init__(self) -> None:
        self.rest = b""

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
            If the incomplete event is longer than `EVENT_LIMIT_BYTES`.
        """
        parts = (self.rest + data).split(b"\n\n")
        self.rest = parts.pop()
        if len(self.rest) > EVENT_LIMIT_BYTES:
            raise ValueError(
                f"incomplete event of {len(self.rest)} bytes is longer than"
                f" {EVENT_LIMIT_BYTES} bytes"
            )
        return [StreamEvent(part + b"\n\n", _find_id(part)) for part in parts]


def _find_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
