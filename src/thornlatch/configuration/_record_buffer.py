"""Buffer for records that can't be applied until a snapshot bridges a gap."""

from collections.abc import Iterator

from thornlatch.configuration._records import Record


class RecordBuffer:
    """Consecutive records read after a gap in the stream.

    A gap occurs when a host starts after the log dropped old records, or when it was
    paused for longer than the retention time of the log. A snapshot bridges the gap if
    it covers everything before the first buffered record.
    """

    def __init__(self) -> None:
        self.first_offset = 0
        self.records: list[Record] = []

    def __len__(self) -> int:
        return len(self.records)

    def add(self, offset: int, record: Record) -> None:
        """Add a record; after a further gap, the earlier ones are dropped.

        Parameters
        ----------
        offset : int
        record : Record
        """
        next_offset = self.first_offset + len(self.records)
        if self.records and self.first_offset <= offset < next_offset:
            return
        if not self.records or offset != next_offset:
            self.first_offset = offset
            self.records = []
        self.records.append(record)

    def iter_after(self, offset: int) -> Iterator[tuple[int, Record]]:
        """Iterate over the buffered records after `offset`.

        Parameters
        ----------
        offset : int

        Yields
        ------
        offset : int
        record : Record
        """
        for index, record in enumerate(self.records, start=self.first_offset):
            if index > offset:
                yield index, record

    def clear(self) -> None:
        """Drop all records."""
        self.records = []
