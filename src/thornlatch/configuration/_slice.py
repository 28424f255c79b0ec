"""The configuration slice: what is in force on this host, and whether it's fresh.

Only the control thread may change state. `Configuration.view` is replaced as a whole,
so `authenticate`, `is_fresh` and `view` may be used by any thread.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

from thornlatch.configuration._freshness import Freshness
from thornlatch.configuration._inventory import Key, digest_key
from thornlatch.configuration._record_buffer import RecordBuffer
from thornlatch.configuration._records import (
    STREAM,
    ConfigurationSnapshot,
    OffsetDigest,
    OffsetQuery,
    Record,
)
from thornlatch.configuration._schedule import QuerySchedule, SnapshotSchedule
from thornlatch.configuration._settings import ConfigurationSettings
from thornlatch.configuration._state import (
    ConfigurationState,
    Refusal,
    add_refusal,
    apply_record,
    build_snapshot,
    load_snapshot,
)
from thornlatch.configuration._transfer import (
    SnapshotDownload,
    SnapshotPart,
    SnapshotQuery,
    SnapshotSource,
)
from thornlatch.configuration._view import ConfigurationView
from thornlatch.core import Action, Append, Emit, Event, LeaseReader, Send, has_handler
from thornlatch.exceptions import ErrorKind, Execution, InvalidInput, RequestRefused

RETRY_AFTER_S = 1.0


@dataclass(frozen=True)
class ConfigurationStatus:
    """Status of the slice for operators.

    Parameters
    ----------
    offset : int
        Highest offset applied.
    inventory_offset : int
        Offset of the inventory in force; -1 if there is none.
    is_fresh : bool
        Whether the host accepts requests.
    is_complete : bool
        Whether no record that was read is buffered behind a gap in the stream.
    age_s : float or None
        Seconds since the state was confirmed as the latest; None if never.
    highest_known : int
        Highest offset that this host or a peer has read.
    refusals : tuple of Refusal
        Records that were refused, the latest last.
    """

    offset: int
    inventory_offset: int
    is_fresh: bool
    is_complete: bool
    age_s: float | None
    highest_known: int
    refusals: tuple[Refusal, ...]


class Configuration:
    """Keeps the configuration in force; implements `thornlatch.core.Slice`.

    Parameters
    ----------
    settings : ConfigurationSettings
    host : str
        This host's id.
    leases : LeaseReader
    """

    def __init__(
        self, settings: ConfigurationSettings, *, host: str, leases: LeaseReader
    ) -> None:
        self.settings = settings
        self.host = host
        self.leases = leases
        self.view = ConfigurationView(ConfigurationState())
        self.freshness = Freshness(settings, leases, host)
        self.buffered = RecordBuffer()
        self.source = SnapshotSource(host)
        self.download = SnapshotDownload(settings)
        self.ended_keys: list[tuple[int, str]] = []
        self.queries = QuerySchedule(settings, host, leases)
        self.snapshots = SnapshotSchedule(settings, host, leases)
        self.was_fresh = False

    @property
    def state(self) -> ConfigurationState:
        """State in force."""
        return self.view.state

    @property
    def is_complete(self) -> bool:
        """Whether no record that was read is buffered behind a gap in the stream."""
        return not self.buffered

    def is_fresh(self, *, now: float) -> bool:
        """Return whether this host may accept requests.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        bool
        """
        return self.is_complete and self.freshness.is_fresh(self.state.offset, now=now)

    def authenticate(self, key: str, *, now: float) -> Key:
        """Return the key in force for a caller's bearer key.

        Parameters
        ----------
        key : str
            Bearer key in plain text.
        now : float
            Seconds.

        Returns
        -------
        Key

        Raises
        ------
        RequestRefused
            If the host isn't fresh, or the key is unknown or withdrawn.
        """
        self.check_fresh(now=now)
        view = self.view
        digest = digest_key(key)
        if view.is_withdrawn(digest):
            raise RequestRefused(
                ErrorKind.KEY_WITHDRAWN,
                "the key was withdrawn",
                execution=Execution.NOT_RUN,
            )
        found = view.get_key(digest)
        if found is None:
            raise RequestRefused(ErrorKind.UNKNOWN_KEY, "the key is unknown")
        return found

    def check_fresh(self, *, now: float) -> None:
        """Check that this host may accept requests.

        Parameters
        ----------
        now : float
            Seconds.

        Raises
        ------
        RequestRefused
            If the host can't confirm that its configuration is the latest.
        """
        if not self.is_fresh(now=now):
            raise RequestRefused(
                ErrorKind.HOST_UNCONFIRMED,
                "this host can't confirm the configuration in force",
                retry_after_s=RETRY_AFTER_S,
            )

    def iter_withdrawn_since(self, offset: int) -> Iterator[str]:
        """Iterate over digests of keys that became invalid after `offset`.

        Parameters
        ----------
        offset : int

        Yields
        ------
        str
            Digest of a key that was withdrawn, or removed with its inventory or
            organisation. Streams that were opened with it have to be closed.
        """
        for ended_offset, digest in self.ended_keys:
            if ended_offset > offset and self.view.get_key(digest) is None:
                yield digest

    def handles(self, kind: type) -> bool:
        """Return whether `handle` acts on messages of a class."""
        return has_handler(Configuration, "_handle", kind)

    def apply_record(self, offset: int, record: Any, *, now: float) -> list[Action]:
        """Apply a record of the stream ``configuration``; others are ignored.

        Parameters
        ----------
        offset : int
            Records come in the order of their offsets; repeated ones are ignored.
        record : object
            Result of `decode_entry`.
        now : float
            Seconds.

        Returns
        -------
        list of Action
        """
        if not isinstance(record, Record):
            return []
        self.freshness.note_offset(offset)
        next_offset = self.state.offset + 1
        if offset < next_offset:
            return []
        if offset > next_offset:
            return self._buffer_record(offset, record, now=now)
        actions = self._apply(offset, record, now=now)
        return actions + self._apply_buffered(now=now)

    def note_log_read(
        self, *, sent_at: float, now: float, next_offset: int
    ) -> list[Action]:
        """Record a read that reached the end of the stream.

        Its records must have been applied before. A page with as many records as its
        limit did not reach the end.

        Parameters
        ----------
        sent_at : float
            Time in seconds at which the read was sent.
        now : float
            Seconds.
        next_offset : int
            Offset of the next record according to the log. If it doesn't follow the
            offset in force, records are missing.

        Returns
        -------
        list of Action
        """
        if not self.is_complete:
            return []
        if next_offset == self.state.offset + 1:
            self.freshness.note_log_read(min(sent_at, now))
        return self._report_freshness(now=now)

    def build_snapshot(self) -> ConfigurationSnapshot:
        """Return a snapshot of the state in force, for the log or a peer.

        Returns
        -------
        ConfigurationSnapshot
        """
        return build_snapshot(self.state, self.host)

    def apply_snapshot(
        self, snapshot: ConfigurationSnapshot, *, now: float
    ) -> list[Action]:
        """Catch up from a peer's snapshot; an older one is ignored.

        Parameters
        ----------
        snapshot : ConfigurationSnapshot
        now : float
            Seconds.

        Returns
        -------
        list of Action
        """
        self.freshness.note_offset(snapshot.covered_offset)
        return self._load(snapshot, snapshot.covered_offset, now=now)

    def get_status(self, *, now: float) -> ConfigurationStatus:
        """Return the status of the slice.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        ConfigurationStatus
        """
        return ConfigurationStatus(
            offset=self.state.offset,
            inventory_offset=self.state.inventory_offset,
            is_fresh=self.is_fresh(now=now),
            is_complete=self.is_complete,
            age_s=self.freshness.get_age(now=now),
            highest_known=self.freshness.highest_known,
            refusals=self.state.refusals,
        )

    def handle(self, message: Any, *, sender: str, now: float) -> list[Action]:
        """Handle a message from a peer; other kinds are ignored.

        Parameters
        ----------
        message : object
        sender : str
            Host id.
        now : float
            Seconds.

        Returns
        -------
        list of Action
        """
        return self._handle(message, sender, now)

    def tick(self, *, now: float) -> list[Action]:
        """Query peers while the log doesn't answer, and write a snapshot if one is due.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        list of Action
        """
        self.snapshots.start(now=now)
        actions = self._query_peers(now=now)
        actions += self._fetch_snapshot(now=now)
        actions += self._write_snapshot(now=now)
        return actions + self._report_freshness(now=now)

    def next_due(self, *, now: float) -> float:
        """Return the earliest time at which peers have to be queried.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        float
        """
        confirmed_at = self.freshness.confirmed_at
        is_behind = self.freshness.highest_known > self.state.offset
        if confirmed_at is None or is_behind or not self.is_complete:
            return now
        return confirmed_at + self.settings.query_after_s

    @singledispatchmethod
    def _handle(self, message: Any, sender: str, now: float) -> list[Action]:
        return []

    @_handle.register
    def _(self, message: OffsetQuery, sender: str, now: float) -> list[Action]:
        self.freshness.note_offset(message.offset)
        age_s = self.freshness.get_age(now=now) if self.is_complete else None
        digest = OffsetDigest(self.state.offset, age_s, message.sent_at)
        return [Send(sender, digest)]

    @_handle.register
    def _(self, message: OffsetDigest, sender: str, now: float) -> list[Action]:
        offset = self.state.offset
        self.freshness.note_digest(message, sender, offset, now=now)
        self.download.note_digest(sender, message.offset, offset)
        return self._report_freshness(now=now)

    @_handle.register
    def _(self, message: SnapshotQuery, sender: str, now: float) -> list[Action]:
        parts = self.source.answer(message, self.state)
        return [Send(sender, part) for part in parts]

    @_handle.register
    def _(self, message: SnapshotPart, sender: str, now: float) -> list[Action]:
        offset = self.state.offset
        try:
            snapshot, actions = self.download.add(message, sender, offset, now=now)
        except InvalidInput as error:
            detail = {"peer": sender, "reason": error.message}
            return [Emit(Event("configuration.snapshot_refused", detail=detail))]
        if snapshot is None:
            return actions
        return actions + self.apply_snapshot(snapshot, now=now)

    def _apply(self, offset: int, record: Record, *, now: float) -> list[Action]:
        before = self.state
        after = apply_record(before, offset, record)
        is_accepted = after.refusals is before.refusals
        if is_accepted and isinstance(record, ConfigurationSnapshot):
            self.snapshots.note_snapshot(record.covered_offset, now=now)
        return self._replace(before, after, offset)

    def _buffer_record(
        self, offset: int, record: Record, *, now: float
    ) -> list[Action]:
        self.buffered.add(offset, record)
        if not isinstance(record, ConfigurationSnapshot):
            return []
        if record.covered_offset >= offset:
            return []
        return self._load(record, offset, now=now)

    def _load(
        self, snapshot: ConfigurationSnapshot, offset: int, *, now: float
    ) -> list[Action]:
        before = self.state
        try:
            after = load_snapshot(before, snapshot)
        except InvalidInput as error:
            kind = type(snapshot).__name__
            refusal = Refusal(
                offset, kind, snapshot.author, "invalid-record", error.message
            )
            self.view = ConfigurationView(add_refusal(before, refusal))
            return [_emit_refusal(refusal)]
        if after is before:
            return []
        self.snapshots.note_snapshot(snapshot.covered_offset, now=now)
        actions = self._replace(before, after, snapshot.covered_offset)
        return actions + self._apply_buffered(now=now)

    def _apply_buffered(self, *, now: float) -> list[Action]:
        actions: list[Action] = []
        if not self.buffered or self.buffered.first_offset > self.state.offset + 1:
            return actions
        for offset, record in self.buffered.iter_after(self.state.offset):
            actions += self._apply(offset, record, now=now)
        self.buffered.clear()
        return actions

    def _replace(
        self, before: ConfigurationState, after: ConfigurationState, offset: int
    ) -> list[Action]:
        self.ended_keys.extend(
            (offset, digest) for digest in _iter_ended_keys(before, after)
        )
        self.view = ConfigurationView(after)
        event = Event(
            "configuration.applied",
            offset=after.offset,
            detail={"inventory_offset": after.inventory_offset},
        )
        actions: list[Action] = [Emit(event)]
        if after.refusals and after.refusals is not before.refusals:
            actions.append(_emit_refusal(after.refusals[-1]))
        return actions

    def _query_peers(self, *, now: float) -> list[Action]:
        peers = self.queries.choose_peers(self.freshness.get_age(now=now), now=now)
        if not peers:
            return []
        self.freshness.note_queries(peers, now=now)
        query = OffsetQuery(self.state.offset, now)
        return [Send(peer, query) for peer in peers]

    def _fetch_snapshot(self, *, now: float) -> list[Action]:
        offset = self.state.offset
        is_behind = self.freshness.highest_known > offset
        return self.download.tick(offset, is_behind=is_behind, now=now)

    def _write_snapshot(self, *, now: float) -> list[Action]:
        offset = self.state.offset
        if not self.snapshots.is_due(offset, now=now) or not self.is_fresh(now=now):
            return []
        self.snapshots.note_snapshot(offset, now=now)
        return [Append(STREAM, self.build_snapshot())]

    def _report_freshness(self, *, now: float) -> list[Action]:
        is_fresh = self.is_fresh(now=now)
        if is_fresh == self.was_fresh:
            return []
        self.was_fresh = is_fresh
        name = "configuration.confirmed" if is_fresh else "configuration.stale"
        return [Emit(Event(name, offset=self.state.offset))]


def _iter_ended_keys(
    before: ConfigurationState, after: ConfigurationState
) -> Iterator[str]:
    """Iterate over digests of keys in force before but not after."""
    old, new = before.tables, after.tables
    is_same = before.withdrawn is after.withdrawn and before.issued is after.issued
    if is_same and old.keys is new.keys and old.organisations is new.organisations:
        return
    for digest in {*old.keys, *before.issued}:
        if before.get_key(digest) is not None and after.get_key(digest) is None:
            yield digest


def _emit_refusal(refusal: Refusal) -> Emit:
    detail = {
        "kind": refusal.kind,
        "author": refusal.author,
        "code": refusal.code,
        "reason": refusal.reason,
    }
    return Emit(
        Event("configuration.record_refused", offset=refusal.offset, detail=detail)
    )
