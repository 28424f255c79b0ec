"""State of the configuration, computed from the records of its stream alone."""

from dataclasses import dataclass, field, replace
from functools import singledispatch
from typing import Any

from thornlatch.configuration._inventory import Key
from thornlatch.configuration._maps import PersistentMap
from thornlatch.configuration._records import (
    ConfigurationChanged,
    ConfigurationPublished,
    ConfigurationSnapshot,
    KeyIssued,
    KeyWithdrawn,
    Record,
    TargetDrained,
    UnreadableRecord,
    Withdrawal,
)
from thornlatch.configuration._tables import EMPTY_TABLES, Tables, to_inventory
from thornlatch.configuration._validation import apply_changes, build_tables
from thornlatch.exceptions import ConfigurationConflict, InvalidInput

MAX_REFUSALS = 100


@dataclass(frozen=True)
class Refusal:
    """A record that was refused and so never came into force.

    Parameters
    ----------
    offset : int
    kind : str
        Kind of the record.
    author : str
    code : str
        Reference code of the error.
    reason : str
    """

    offset: int
    kind: str
    author: str
    code: str
    reason: str


@dataclass(frozen=True)
class ConfigurationState:
    """Everything in force after a prefix of the stream.

    Parameters
    ----------
    offset : int
        Highest offset that was applied; -1 before the first record.
    inventory_offset : int
        Offset of the record that last set or changed the inventory.
    tables : Tables
    issued : PersistentMap
        Keys issued outside the inventory, by digest.
    withdrawn : PersistentMap
        Offset of the withdrawal by digest; entries are never removed.
    draining : PersistentMap
        Offset of the `TargetDrained` by target.
    refusals : tuple of Refusal
        The latest refusals, up to `MAX_REFUSALS`.
    """

    offset: int = -1
    inventory_offset: int = -1
    tables: Tables = EMPTY_TABLES
    issued: PersistentMap[Key] = field(default_factory=PersistentMap)
    withdrawn: PersistentMap[int] = field(default_factory=PersistentMap)
    draining: PersistentMap[int] = field(default_factory=PersistentMap)
    refusals: tuple[Refusal, ...] = ()

    def get_key(self, digest: str) -> Key | None:
        """Return the key in force with `digest`, if any.

        Parameters
        ----------
        digest : str

        Returns
        -------
        Key or None
        """
        if digest in self.withdrawn:
            return None
        key = self.tables.keys.get(digest) or self.issued.get(digest)
        if key is None or key.organisation not in self.tables.organisations:
            return None
        return key


def apply_record(
    state: ConfigurationState, offset: int, record: Record
) -> ConfigurationState:
    """Return the state after a further record.

    Parameters
    ----------
    state : ConfigurationState
    offset : int
        A record at or below `state.offset` changes nothing.
    record : Record

    Returns
    -------
    ConfigurationState
    """
    if offset <= state.offset:
        return state
    try:
        changed = change_state(record, state, offset)
    except (ConfigurationConflict, InvalidInput) as error:
        refusal = _build_refusal(offset, record, error)
        changed = add_refusal(state, refusal)
    return replace(changed, offset=offset)


def add_refusal(state: ConfigurationState, refusal: Refusal) -> ConfigurationState:
    """Return the state with a further refusal, dropping the oldest if necessary.

    Parameters
    ----------
    state : ConfigurationState
    refusal : Refusal

    Returns
    -------
    ConfigurationState
    """
    refusals = (*state.refusals, refusal)[-MAX_REFUSALS:]
    return replace(state, refusals=refusals)


def build_snapshot(state: ConfigurationState, author: str) -> ConfigurationSnapshot:
    """Return a snapshot of the state.

    Parameters
    ----------
    state : ConfigurationState
    author : str
        Host that writes it.

    Returns
    -------
    ConfigurationSnapshot
    """
    withdrawn = sorted(state.withdrawn.items())
    return ConfigurationSnapshot(
        covered_offset=state.offset,
        inventory_offset=state.inventory_offset,
        author=author,
        inventory=to_inventory(state.tables),
        issued=tuple(key for _, key in sorted(state.issued.items())),
        withdrawn=tuple(Withdrawal(digest, offset) for digest, offset in withdrawn),
        draining=tuple(sorted(state.draining)),
    )


def load_snapshot(
    state: ConfigurationState, snapshot: ConfigurationSnapshot
) -> ConfigurationState:
    """Return the state that a snapshot describes, if it's newer than `state`.

    Parameters
    ----------
    state : ConfigurationState
        Its withdrawn keys stay withdrawn even if the snapshot lacks them.
    snapshot : ConfigurationSnapshot

    Returns
    -------
    ConfigurationState

    Raises
    ------
    InvalidInput
        If the inventory offset is above the covered one, or the inventory is invalid.
    """
    covered = snapshot.covered_offset
    if covered <= state.offset:
        return state
    if snapshot.inventory_offset > covered:
        raise InvalidInput(
            f"snapshot has inventory_offset {snapshot.inventory_offset}, which is "
            f"greater than its covered_offset {covered}"
        )
    withdrawn = {item.digest: item.offset for item in snapshot.withdrawn}
    return ConfigurationState(
        offset=covered,
        inventory_offset=snapshot.inventory_offset,
        tables=build_tables(snapshot.inventory),
        issued=PersistentMap({key.digest: key for key in snapshot.issued}),
        withdrawn=PersistentMap({**withdrawn, **state.withdrawn}),
        draining=PersistentMap(dict.fromkeys(snapshot.draining, covered)),
        refusals=state.refusals,
    )


@singledispatch
def change_state(record: Any, state: ConfigurationState, offset: int) -> Any:
    """Return the state after `record`, except for its offset.

    Parameters
    ----------
    record : Record
    state : ConfigurationState
    offset : int
        Offset of the record.

    Returns
    -------
    ConfigurationState

    Raises
    ------
    ConfigurationConflict
        If the record is based on another inventory than the one in force.
    InvalidInput
        If the record is invalid.
    """
    raise InvalidInput(f"{type(record).__name__} doesn't belong on this stream")


@change_state.register
def _(
    record: UnreadableRecord, state: ConfigurationState, offset: int
) -> ConfigurationState:
    raise InvalidInput(record.reason)


@change_state.register
def _(
    record: ConfigurationPublished, state: ConfigurationState, offset: int
) -> ConfigurationState:
    check_base(record.base_offset, state)
    return _set_tables(state, build_tables(record.inventory), offset)


@change_state.register
def _(
    record: ConfigurationChanged, state: ConfigurationState, offset: int
) -> ConfigurationState:
    check_base(record.base_offset, state)
    tables = apply_changes(state.tables, record.upserts, record.removals)
    return _set_tables(state, tables, offset)


@change_state.register
def _(record: KeyIssued, state: ConfigurationState, offset: int) -> ConfigurationState:
    key = record.key
    if key.digest in state.withdrawn:
        raise InvalidInput(f"key {key.digest} is withdrawn")
    if key.organisation not in state.tables.organisations:
        raise InvalidInput(f"unknown organisation {key.organisation!r}")
    known = state.issued.get(key.digest) or state.tables.keys.get(key.digest)
    if known and known.organisation != key.organisation:
        raise InvalidInput(
            f"key {key.digest} belongs to {known.organisation!r}, not to "
            f"{key.organisation!r}"
        )
    return replace(state, issued=state.issued.with_changes({key.digest: key}))


@change_state.register
def _(
    record: KeyWithdrawn, state: ConfigurationState, offset: int
) -> ConfigurationState:
    if record.digest in state.withdrawn:
        return state
    return replace(
        state,
        issued=state.issued.with_changes({}, [record.digest]),
        withdrawn=state.withdrawn.with_changes({record.digest: offset}),
    )


@change_state.register
def _(
    record: TargetDrained, state: ConfigurationState, offset: int
) -> ConfigurationState:
    if record.target not in state.tables.targets:
        raise InvalidInput(f"unknown target {record.target!r}")
    if not record.is_leaving:
        return replace(state, draining=state.draining.with_changes({}, [record.target]))
    return replace(state, draining=state.draining.with_changes({record.target: offset}))


@change_state.register
def _(
    record: ConfigurationSnapshot, state: ConfigurationState, offset: int
) -> ConfigurationState:
    if record.covered_offset >= offset:
        raise InvalidInput(
            f"snapshot at offset {offset} covers offset {record.covered_offset}, but "
            "must cover a lower one"
        )
    if record.covered_offset == state.offset and not _matches_state(record, state):
        raise InvalidInput(
            f"snapshot differs from the configuration in force at offset {state.offset}"
        )
    return state


def check_base(base_offset: int, state: ConfigurationState) -> None:
    """Check that a change was based on the inventory in force.

    Parameters
    ----------
    base_offset : int
    state : ConfigurationState

    Raises
    ------
    ConfigurationConflict
        If another change came into force first.
    """
    if base_offset != state.inventory_offset:
        raise ConfigurationConflict(
            f"based on the inventory at offset {base_offset}, but the one in force "
            f"is at offset {state.inventory_offset}"
        )


def _set_tables(
    state: ConfigurationState, tables: Tables, offset: int
) -> ConfigurationState:
    for digest, key in state.issued.items():
        published = tables.keys.get(digest, key)
        if published.organisation != key.organisation:
            raise InvalidInput(
                f"key {digest} was issued to {key.organisation!r}, but the inventory "
                f"lists it for {published.organisation!r}"
            )
    removed_targets = [name for name in state.draining if name not in tables.targets]
    return replace(
        state,
        inventory_offset=offset,
        tables=tables,
        draining=state.draining.with_changes({}, removed_targets),
    )


def _matches_state(snapshot: ConfigurationSnapshot, state: ConfigurationState) -> bool:
    return build_snapshot(state, snapshot.author) == snapshot


def _build_refusal(
    offset: int, record: Record, error: ConfigurationConflict | InvalidInput
) -> Refusal:
    kind = getattr(record, "kind", type(record).__name__)
    code = error.reference
    if isinstance(error, InvalidInput):
        code = "invalid-record"
    return Refusal(offset, kind, getattr(record, "author", ""), code, error.message)
