"""Reads the configuration from the log and appends records with confirmation."""

import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Protocol

from thornlatch.cli._exits import AppendOutcomeUnknown, CommandFailed, RecordRefused
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
    """Operations of the log service's client that commands use."""

    def append(self, stream: str, records: list[Any]) -> int:
        """Append records and return the offset of the first one."""

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
        Most records per read; halved when a page exceeds the client's size limit.
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

    def read_to_end(self) -> None:
        """Read and apply the records up to the end of the stream.

        Raises
        ------
        PlatformError
            If the log service fails.
        """
        for offset, record in self._iter_records():
            self._apply(offset, record)

    def check_complete(self) -> None:
        """Check that the state read covers the whole stream.

        Raises
        ------
        CommandFailed
            If the log dropped records that no snapshot covers.
        """
        if self.state.offset + 1 != self.next_offset:
            raise CommandFailed(
                "the log dropped records that no snapshot covers",
                context=f"stream {STREAM}, offset {self.state.offset + 1}",
                hint="Set snapshot_every_s far below the log's retention time.",
            )

    def append(self, record: Record, *, is_repeatable: bool = True) -> int:
        """Append a record and read it back to check that it is in force.

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
        AppendOutcomeUnknown
            If the record may have been appended but can't be read back.
        PlatformError
            If the record certainly wasn't appended.
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
            offset = self._find_appended(record)
            if offset is not None:
                return offset
        raise AppendOutcomeUnknown(
            "the log service didn't confirm the record, and it can't be read back",
            context=f"{type(record).__name__} on stream {STREAM}",
            hint="Run `thornlatch config show` once the log service answers; "
            "the record may still come into force.",
        )

    def _find_appended(self, record: Record) -> int | None:
        """Return the offset of `record` if the log has it; raise if it was refused."""
        start_offset = self.next_offset
        matching: list[int] = []
        try:
            for offset, read_record in self._iter_records():
                self._apply(offset, read_record)
                if offset >= start_offset and read_record == record:
                    matching.append(offset)
        except PlatformError:
            return None
        accepted = [offset for offset in matching if offset not in self.refusals]
        if accepted:
            return accepted[0]
        if matching:
            raise _build_refusal_error(self.refusals[matching[0]])
        return None

    def _apply(self, offset: int, record: Record) -> None:
        previous_refusals = self.state.refusals
        self.configuration.apply_record(offset, record, now=0.0)
        if self.state.refusals is not previous_refusals:
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
                    # The client truncates a page that exceeds its size limit, so the
                    # JSON of a successful response can't be parsed.
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


def _build_refusal_error(refusal: Refusal) -> ThornlatchError:
    context = f"stream {STREAM}, offset {refusal.offset}"
    if refusal.code == ConfigurationConflict.kind.value:
        return ConfigurationConflict(refusal.reason, context=context)
    return RecordRefused(refusal.reason, context=context)
