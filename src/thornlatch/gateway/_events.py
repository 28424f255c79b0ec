"""Server-sent events of a stream, cut out of the bytes as they arrive."""

from dataclasses import dataclass

EVENT_LIMIT_BYTES = 1 << 20  # longer ones are taken as a broken stream


@dataclass(frozen=True)
class StreamEvent:
    """One event of a stream.

    Parameters
    ----------
    data : bytes
        All of its lines with the blank line at the end.
    id : int or None
        Its number, if it has one.
    """

    data: bytes
    id: int | None


class EventSplitter:
    """Collects bytes and returns whole events."""

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take bytes and return the events that they complete.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        list of StreamEvent

        Raises
        ------
        ValueError
            If an event is longer than any real one.
        """
        parts = (self.rest + data).split(b"\n\n")
        self.rest = parts.pop()
        if len(self.rest) > EVENT_LIMIT_BYTES:
            raise ValueError(f"an event is longer than {EVENT_LIMIT_BYTES} bytes")
        return [StreamEvent(part + b"\n\n", _find_id(part)) for part in parts]


def _find_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
