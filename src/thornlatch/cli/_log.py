"""Reading the configuration from the log, and appending to it safely."""

import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Protocol

from thornlatch.cli._exits import AppendUnknown, CommandFailed, RecordRefused
from thornlatch.cli._leases import NoLeases
from thornlatch.configuration import (
    STREAM,
    Configuration,
    ConfigurationSettings,
    ConfigurationState,
    Record,
    Refusal,
    decode_entry,
)
from thornlatch.core import encode_record
from thornlatch.exceptions import ConfigurationConflict, ThornlatchError
from thornlatch.logservice import LogPage, PlatformError

PAGE_LIMIT = 64
APPEND_ATTEMPTS = 3
RETRY_PAUSE_S = 0.5


class Log(Protocol):
    """What commands use of the log service's client."""

    def append(self, stream: str, records: list[Any]) -> int:
        """Append records and return the offset of the first."""

    def read(
        self, stream: str, offset: int, *, limit: int = 1000, wait_s: float = 0.0
    ) -> LogPage:
        """Return the records from an offset on."""


@dataclass
class ConfigurationLog:
    """The stream ``configuration``, read from its oldest record on.

    Parameters
    ----------
    client : Log
    next_offset : int
        Offset of the next record to read.
    page_limit : int
        Records per read.
    refusals : dict
        Refused records by offset.
    """

    client: Log
    next_offset: int = 0
    page_limit: int = PAGE_LIMIT
    refusals: dict[int, Refusal] = field(default_factory=dict)

    def __post_init__(self) -> None:
        settings = ConfigurationSettings()
        leases = NoLeases()
        self.configuration = Configuration(settings, host="operator", leases=leases)

    @property
    def state(self) -> ConfigurationState:
        """State after the records read so far."""
        return self.configuration.state

    def read_on(self) -> None:
        """Read up to the end of the stream.

        Raises
        ------
        PlatformError
            If the log service fails.
        """
        for offset, record in self._iter_records():
            self._apply(offset, record)

    def check_complete(self) -> None:
        """Check that the log still has everything that is in force.

        Raises
        ------
        CommandFailed
            If the log dropped records that no snapshot covers.
        """
        if self.state.offset + 1 != self.next_offset:
            raise CommandFailed(
                "the log dropped records that no snapshot covers",
                context=f"stream {STREAM}, offset {self.state.offset + 1}",
                hint="Set snapshot_every_s far below the time that the log keeps "
                "records.",
            )

    def append(self, record: Record, *, is_repeatable: bool = True) -> int:
        """Append a record and find out whether it is in force.

        Parameters
        ----------
        record : Record
        is_repeatable : bool
            Whether a second append of the same record is harmless.

        Returns
        -------
        int
            Offset of the record.

        Raises
        ------
        ConfigurationConflict
            If another operator's change came first.
        RecordRefused
            If the record is invalid.
        AppendUnknown
            If its outcome can't be found out.
        PlatformError
            If it certainly wasn't appended.
        """
        attempts = APPEND_ATTEMPTS if is_repeatable else 1
        is_possibly_appended = False
        for attempt in range(attempts):
            if attempt:
                time.sleep(RETRY_PAUSE_S)
            try:
                self.client.append(STREAM, [encode_record(record)])
                is_possibly_appended = True
            except PlatformError as error:
                is_possibly_appended |= error.is_outcome_unknown
                if not is_possibly_appended:
                    raise
            offset = self._find(record)
            if offset is not None:
                return offset
        raise AppendUnknown(
            "the log service didn't confirm the record, and it can't be read back",
            context=f"{type(record).__name__} on stream {STREAM}",
            hint="Read `thornlatch config show` once the log service answers; "
            "the record may still come into force.",
        )

    def _find(self, record: Record) -> int | None:
        """Return the offset of `record` if the log has it, and check its outcome."""
        start = self.next_offset
        found: list[int] = []
        try:
            for offset, read in self._iter_records():
                self._apply(offset, read)
                if offset >= start and read == record:
                    found.append(offset)
        except PlatformError:
            return None
        accepted = [offset for offset in found if offset not in self.refusals]
        if accepted:
            return accepted[0]
        if found:
            raise _describe_refusal(self.refusals[found[0]])
        return None

    def _apply(self, offset: int, record: Record) -> None:
        before = self.state.refusals
        self.configuration.apply_record(offset, record, now=0.0)
        if self.state.refusals is not before:
            self.refusals.update((item.offset, item) for item in self.state.refusals)

    def _iter_records(self) -> Iterator[tuple[int, Record]]:
        while True:
            page = self._read_page()
            for entry in page.records:
                yield entry.offset, decode_entry(entry.value)
            self.next_offset = page.next_offset
            if not page.records:
                return

    def _read_page(self) -> LogPage:
        while True:
            try:
                return self.client.read(
                    STREAM, self.next_offset, limit=self.page_limit, wait_s=0.0
                )
            except PlatformError as error:
                if error.first_offset is not None:
                    self.next_offset = error.first_offset
                elif error.status == 200 and self.page_limit > 1:
                    # A page over the client's limit arrives cut off.
                    self.page_limit //= 2
                else:
                    raise


def check_base(base: int, state: ConfigurationState) -> None:
    """Check that a file was made from the inventory in force.

    Parameters
    ----------
    base : int
        Offset of the inventory that the file was made from.
    state : ConfigurationState

    Raises
    ------
    ConfigurationConflict
        If another operator's change came first.
    """
    if base != state.inventory_offset:
        raise ConfigurationConflict(
            f"the file was made from offset {base}, but the inventory in force is at "
            f"offset {state.inventory_offset}",
            context=f"stream {STREAM}",
        )


def _describe_refusal(refusal: Refusal) -> ThornlatchError:
    context = f"stream {STREAM}, offset {refusal.offset}"
    if refusal.code == ConfigurationConflict.kind.value:
        return ConfigurationConflict(refusal.reason, context=context)
    return RecordRefused(refusal.reason, context=context)
