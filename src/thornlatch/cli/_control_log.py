"""Reads the sessions of hosts from the control stream and appends to it."""

import time
from collections.abc import Iterator
from typing import Any

from thornlatch.cli._exits import AppendOutcomeUnknown, CommandFailed
from thornlatch.cli._log import APPEND_ATTEMPTS, RETRY_PAUSE_S, Log
from thornlatch.core import decode_record, encode_record
from thornlatch.logservice import LogPage, PlatformError
from thornlatch.membership import CONTROL_STREAM, MembershipView, ViewLoader

PAGE_LIMIT = 1000


def read_view(log: Log, *, voter_limit: int) -> MembershipView:
    """Read the control stream to its end.

    Parameters
    ----------
    log : Log
    voter_limit : int
        Value of ``slices.membership.voter_limit`` in the fleet's settings.

    Returns
    -------
    MembershipView

    Raises
    ------
    CommandFailed
        If the log dropped records that no recorded view covers.
    PlatformError
        If the log service fails.
    """
    view = MembershipView(voter_limit=voter_limit)
    loader = ViewLoader()
    for page in _iter_pages(log, loader):
        for entry in page.records:
            _apply(view, loader, entry.offset, decode_record(entry.value))
    if loader.is_loading:
        raise CommandFailed(
            "the log dropped session records that no recorded view covers",
            context=f"stream {CONTROL_STREAM}, oldest offset {loader.first_offset}",
            hint="If every daemon of the fleet has ended, run `thornlatch host clear`.",
        )
    return view


def find_end_offset(log: Log) -> int:
    """Return the offset after the last record of the control stream.

    Parameters
    ----------
    log : Log

    Returns
    -------
    int
    """
    *_, last_page = _iter_pages(log, ViewLoader())
    return last_page.next_offset


def append_until_confirmed(log: Log, records: list[Any]) -> int:
    """Append records, retrying until the log confirms their offset.

    A retry may append the records a second time, so they must be idempotent.

    Parameters
    ----------
    log : Log
    records : list of object
        Registered frozen data classes.

    Returns
    -------
    int
        Offset of the first record.

    Raises
    ------
    AppendOutcomeUnknown
        If no attempt was confirmed but one may have taken effect.
    PlatformError
        If the records certainly weren't appended.
    """
    is_possibly_appended = False
    for attempt in range(APPEND_ATTEMPTS):
        if attempt:
            time.sleep(RETRY_PAUSE_S)
        try:
            return log.append(CONTROL_STREAM, list(map(encode_record, records)))
        except PlatformError as error:
            is_possibly_appended |= error.is_outcome_unknown
            if not is_possibly_appended:
                raise
    raise AppendOutcomeUnknown(
        f"the log service didn't confirm the record in {APPEND_ATTEMPTS} attempts",
        context=f"{type(records[0]).__name__} on stream {CONTROL_STREAM}",
        hint="Run the command again; appending the record twice is harmless.",
    )


def _iter_pages(log: Log, loader: ViewLoader) -> Iterator[LogPage]:
    """Iterate over the pages of the control stream; the last one is empty."""
    offset = 0
    while True:
        page = _read_page(log, offset, loader)
        yield page
        if not page.records:
            return
        offset = page.next_offset


def _read_page(log: Log, offset: int, loader: ViewLoader) -> LogPage:
    try:
        return log.read(CONTROL_STREAM, offset, limit=PAGE_LIMIT, wait_s=0.0)
    except PlatformError as error:
        if error.first_offset is None:
            raise
        loader.start(error.first_offset)
        return log.read(
            CONTROL_STREAM, error.first_offset, limit=PAGE_LIMIT, wait_s=0.0
        )


def _apply(view: MembershipView, loader: ViewLoader, offset: int, record: Any) -> None:
    if not loader.is_loading:
        view.apply(offset, record)
        return
    for buffered_offset, buffered_record in loader.load(offset, record, view):
        view.apply(buffered_offset, buffered_record)
