"""Splits bytes that arrive in pieces after each match of a pattern."""

import re


class StreamSplitter:
    """Buffers bytes until the end of a part arrives.

    Each byte is searched a bounded number of times, in whatever pieces it arrives: a
    search of the whole buffer for each piece takes quadratic time.

    Parameters
    ----------
    end : re.Pattern
        Matches the end of a part.
    end_bytes : int
        Length of the shortest match of `end`.

    Attributes
    ----------
    rest : bytearray
        Bytes after the last complete part.
    """

    def __init__(self, end: re.Pattern[bytes], *, end_bytes: int) -> None:
        self.end = end
        self.end_bytes = end_bytes
        self.rest = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the parts that they complete, with their ends.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        list of bytes
        """
        # The rest has no end, so that the first one includes at least one new byte.
        position = max(len(self.rest) - self.end_bytes, 0)
        # Most pieces begin with a part, and needn't be copied into the buffer.
        source: bytes | bytearray = data
        if self.rest:
            self.rest += data
            source = self.rest
        start = 0
        parts: list[bytes] = []
        for match in self.end.finditer(source, position):
            parts.append(bytes(source[start : match.end()]))
            start = match.end()
        if source is self.rest:
            del self.rest[:start]
        else:
            self.rest += data[start:]
        return parts
