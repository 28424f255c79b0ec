"""Transfer of a peer's snapshot in parts, to catch up with the peer."""

import zlib
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

from thornlatch.configuration._records import ConfigurationSnapshot, Offset
from thornlatch.configuration._settings import ConfigurationSettings
from thornlatch.configuration._state import ConfigurationState, build_snapshot
from thornlatch.core import Action, Send, register
from thornlatch.exceptions import InvalidInput

PART_BYTES = 256 << 10
SNAPSHOT_LIMIT_BYTES = 64 << 20
MAX_PARTS = SNAPSHOT_LIMIT_BYTES // PART_BYTES
COMPRESSION_LEVEL = 1
MAX_ATTEMPTS = 3


@register
@dataclass(frozen=True)
class SnapshotQuery:
    """Asks a peer for a part of its snapshot.

    Parameters
    ----------
    offset : int
        Highest offset that the sender has applied.
    covered_offset : int
        Offset of the snapshot of which parts were received; -1 for the latest.
    index : int
        Index of the requested part.
    """

    offset: Offset
    covered_offset: Offset
    index: Annotated[int, Meta(ge=0, le=MAX_PARTS)]


@register
@dataclass(frozen=True)
class SnapshotPart:
    """Answers a `SnapshotQuery`.

    Parameters
    ----------
    covered_offset : int
    index : int
    count : int
        Number of parts of the snapshot.
    data : bytes
    """

    covered_offset: Offset
    index: Annotated[int, Meta(ge=0, le=MAX_PARTS)]
    count: Annotated[int, Meta(ge=1, le=MAX_PARTS)]
    data: bytes


class SnapshotSource:
    """Serves parts of this host's snapshot, of which it caches the last encoding.

    Parameters
    ----------
    host : str
        This host's id.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.covered_offset = -1
        self.data = b""

    def answer(
        self, query: SnapshotQuery, state: ConfigurationState
    ) -> list[SnapshotPart]:
        """Return the requested part, or the first part of a newer snapshot.

        Parameters
        ----------
        query : SnapshotQuery
        state : ConfigurationState
            State in force.

        Returns
        -------
        list of SnapshotPart
            Empty if this host has read no further than the requester.
        """
        if state.offset <= query.offset:
            return []
        index = query.index
        if self.covered_offset < 0 or query.covered_offset != self.covered_offset:
            index = 0
            if self.covered_offset <= query.offset:
                self.covered_offset = state.offset
                self.data = encode_snapshot(build_snapshot(state, self.host))
        count = -(-len(self.data) // PART_BYTES)
        if index >= count:
            return []
        data = self.data[index * PART_BYTES : (index + 1) * PART_BYTES]
        return [SnapshotPart(self.covered_offset, index, count, data)]


class SnapshotDownload:
    """Fetches the snapshot of a peer that has read further than this host.

    Parameters
    ----------
    settings : ConfigurationSettings
    """

    def __init__(self, settings: ConfigurationSettings) -> None:
        self.settings = settings
        self.peer = ""
        self.behind_since: float | None = None
        self.queried_at: float | None = None
        self.attempts = 0
        self.covered_offset = -1
        self.parts: list[bytes] = []

    def note_digest(self, peer: str, peer_offset: int, offset: int) -> None:
        """Record how far a peer has read.

        Parameters
        ----------
        peer : str
            Host id.
        peer_offset : int
            Highest offset that the peer has applied.
        offset : int
            Highest offset that this host has applied.
        """
        if peer_offset > offset and not self.parts:
            self.peer = peer

    def tick(self, offset: int, *, is_behind: bool, now: float) -> list[Action]:
        """Query the next part if this host has lagged behind for long enough.

        Parameters
        ----------
        offset : int
            Highest offset that this host has applied.
        is_behind : bool
            Whether a peer is known to have read further.
        now : float
            Seconds.

        Returns
        -------
        list of Action
        """
        if not is_behind:
            self.reset()
            self.behind_since = None
            return []
        if self.behind_since is None:
            self.behind_since = now
        if not self.peer or now - self.behind_since < self.settings.catch_up_after_s:
            return []
        interval_s = self.settings.query_interval_s
        if self.queried_at is not None and now - self.queried_at < interval_s:
            return []
        if self.attempts >= MAX_ATTEMPTS:
            self.reset()
            return []
        return self._query_next_part(offset, now=now)

    def add(
        self, part: SnapshotPart, sender: str, offset: int, *, now: float
    ) -> tuple[ConfigurationSnapshot | None, list[Action]]:
        """Add a part.

        Parameters
        ----------
        part : SnapshotPart
        sender : str
            Host id.
        offset : int
            Highest offset that this host has applied.
        now : float
            Seconds.

        Returns
        -------
        snapshot : ConfigurationSnapshot or None
            The complete snapshot, once all parts were received.
        actions : list of Action
            The query for the next part.

        Raises
        ------
        InvalidInput
            If the complete snapshot can't be decoded.
        """
        if sender != self.peer or self.queried_at is None:
            return None, []
        if part.covered_offset != self.covered_offset:
            self.covered_offset = part.covered_offset
            self.parts = []
        if part.index != len(self.parts):
            return None, []
        self.parts.append(part.data)
        self.attempts = 0
        if len(self.parts) < part.count:
            return None, self._query_next_part(offset, now=now)
        data = b"".join(self.parts)
        self.reset()
        return decode_snapshot(data), []

    def reset(self) -> None:
        """Discard the peer and the parts that it sent."""
        self.peer = ""
        self.queried_at = None
        self.attempts = 0
        self.covered_offset = -1
        self.parts = []

    def _query_next_part(self, offset: int, *, now: float) -> list[Action]:
        self.queried_at = now
        self.attempts += 1
        query = SnapshotQuery(offset, self.covered_offset, len(self.parts))
        return [Send(self.peer, query)]


def encode_snapshot(snapshot: ConfigurationSnapshot) -> bytes:
    """Encode a snapshot for a peer.

    Parameters
    ----------
    snapshot : ConfigurationSnapshot

    Returns
    -------
    bytes
    """
    return zlib.compress(msgspec.json.encode(snapshot), COMPRESSION_LEVEL)


def decode_snapshot(data: bytes) -> ConfigurationSnapshot:
    """Decode a snapshot from a peer.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    ConfigurationSnapshot

    Raises
    ------
    InvalidInput
        If the data is malformed, or larger than `SNAPSHOT_LIMIT_BYTES` when
        decompressed.
    """
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(data, SNAPSHOT_LIMIT_BYTES)
        if not inflater.eof:
            raise InvalidInput(
                f"snapshot is truncated or exceeds {SNAPSHOT_LIMIT_BYTES} bytes"
            )
        return msgspec.json.decode(text, type=ConfigurationSnapshot)
    except (zlib.error, msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise InvalidInput(f"malformed snapshot: {error}") from error
