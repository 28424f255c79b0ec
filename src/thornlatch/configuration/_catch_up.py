"""Holds records that can't be applied until a snapshot bridges a gap."""

from collections.abc import Iterator

from thornlatch.configuration._records import Record


class HeldRecords:
    """Records read after a gap in the stream, without a gap among themselves.

    A host meets a gap when it starts after the log dropped old records, or when it
    was paused for longer than the log keeps them. A snapshot bridges the gap if it
    covers everything before the first held record.
    """

    def __init__(self) -> None:
        self.first = 0
        self.records: list[Record] = []

    def __len__(self) -> int:
        return len(self.records)

    def add(self, offset: int, record: Record) -> None:
        """Hold a record; a further gap drops those before it.

        Parameters
        ----------
        offset : int
        record : Record
        """
        following = self.first + len(self.records)
        if self.records and self.first <= offset < following:
            return
        if not self.records or offset != following:
            self.first = offset
            self.records = []
        self.records.append(record)

    def iter_after(self, offset: int) -> Iterator[tuple[int, Record]]:
        """Iterate over the held records after `offset`.

        Parameters
        ----------
        offset : int

        Yields
        ------
        offset : int
        record : Record
        """
        for index, record in enumerate(self.records, start=self.first):
            if index > offset:
                yield index, record

    def clear(self) -> None:
        """Drop all records."""
        self.records = []
