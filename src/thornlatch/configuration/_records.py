"""Records of the stream ``configuration``, and messages between hosts about it."""

import dataclasses
from dataclasses import dataclass, field
from functools import cache
from typing import Annotated, Any, get_type_hints

from msgspec import Meta

from thornlatch.configuration._inventory import Digest, Inventory, Key, Name
from thornlatch.core import decode_record, register
from thornlatch.exceptions import InvalidInput

STREAM = "configuration"
_SCALARS = (str, int, float, bool)

Offset = Annotated[int, Meta(ge=-1)]
Author = Annotated[str, Meta(max_length=200)]
ChangeId = Annotated[str, Meta(max_length=64)]


@dataclass(frozen=True)
class Removals:
    """Identities of the items that a change removes.

    Parameters
    ----------
    organisations, stores, pools, targets : tuple of str
        Names.
    keys : tuple of str
        Digests.
    adapters : tuple of str
        ``name/version``.
    routes : tuple of str
        Paths.
    """

    organisations: tuple[str, ...] = ()
    keys: tuple[str, ...] = ()
    stores: tuple[str, ...] = ()
    pools: tuple[str, ...] = ()
    targets: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    routes: tuple[str, ...] = ()


@register
@dataclass(frozen=True)
class ConfigurationPublished:
    """Replaces the inventory in force by a new one.

    Parameters
    ----------
    base_offset : int
        Offset of the inventory that the author found in force; -1 if there was none.
    author : str
    inventory : Inventory
    change_id : str
        Lets the author find the record when the reply to its append was lost.
    """

    base_offset: Offset
    author: Author
    inventory: Inventory
    change_id: ChangeId = ""


@register
@dataclass(frozen=True)
class ConfigurationChanged:
    """Changes parts of the inventory in force.

    Parameters
    ----------
    base_offset : int
        Offset of the inventory that the author found in force.
    author : str
    upserts : Inventory
        Items to add or replace.
    removals : Removals
        Items to remove; applied before `upserts`.
    change_id : str
        Lets the author find the record when the reply to its append was lost.
    """

    base_offset: Offset
    author: Author
    upserts: Inventory = field(default_factory=Inventory)
    removals: Removals = field(default_factory=Removals)
    change_id: ChangeId = ""


@register
@dataclass(frozen=True)
class KeyIssued:
    """Adds a key; needs no base offset, since it changes nothing else.

    Parameters
    ----------
    key : Key
    author : str
    """

    key: Key
    author: Author


@register
@dataclass(frozen=True)
class KeyWithdrawn:
    """Withdraws a key permanently, whether or not it is known.

    Parameters
    ----------
    digest : str
        Hexadecimal SHA-256 of the key.
    author : str
    """

    digest: Digest
    author: Author


@register
@dataclass(frozen=True)
class TargetDrained:
    """Starts or stops draining a target; a new inventory doesn't undo it.

    Parameters
    ----------
    target : str
    author : str
    is_leaving : bool
    """

    target: Name
    author: Author
    is_leaving: bool = True


@dataclass(frozen=True)
class Withdrawal:
    """A withdrawn key in a snapshot.

    Parameters
    ----------
    digest : str
    offset : int
        Offset of the withdrawal.
    """

    digest: Digest
    offset: Offset


@register
@dataclass(frozen=True)
class ConfigurationSnapshot:
    """The complete state after the record at `covered_offset`.

    Parameters
    ----------
    covered_offset : int
    inventory_offset : int
        Offset of the record that last set or changed the inventory.
    author : str
        Host that wrote the snapshot.
    inventory : Inventory
    issued : tuple of Key
        Keys issued outside the inventory.
    withdrawn : tuple of Withdrawal
    draining : tuple of str
        Targets that are drained by a `TargetDrained`.
    """

    covered_offset: Offset
    inventory_offset: Offset
    author: Author
    inventory: Inventory
    issued: tuple[Key, ...] = ()
    withdrawn: tuple[Withdrawal, ...] = ()
    draining: tuple[str, ...] = ()


@dataclass(frozen=True)
class UnreadableRecord:
    """Placeholder for a record of this stream that couldn't be decoded.

    Parameters
    ----------
    kind : str
        Kind that the record claims to have.
    reason : str
    """

    kind: str
    reason: str


@register
@dataclass(frozen=True)
class OffsetQuery:
    """Asks a peer how far it has read and how recently.

    Parameters
    ----------
    offset : int
        Highest offset that the sender has applied.
    sent_at : float
        Time of the sender's clock in seconds; returned in the answer.
    """

    offset: Offset
    sent_at: float


@register
@dataclass(frozen=True)
class OffsetDigest:
    """Answers an `OffsetQuery`.

    Parameters
    ----------
    offset : int
        Highest offset that the sender has applied.
    age_s : float or None
        Seconds since the sender's state was confirmed as the latest; None if never.
    sent_at : float
        `OffsetQuery.sent_at` of the query.
    """

    offset: Offset
    age_s: Annotated[float, Meta(ge=0)] | None
    sent_at: float


Record = (
    ConfigurationPublished
    | ConfigurationChanged
    | KeyIssued
    | KeyWithdrawn
    | TargetDrained
    | ConfigurationSnapshot
    | UnreadableRecord
)


def decode_entry(value: Any) -> Record:
    """Decode a value of the stream ``configuration`` without raising.

    Parameters
    ----------
    value : object
        JSON value of the record.

    Returns
    -------
    Record
        `UnreadableRecord` if the value is malformed, is of a kind that doesn't belong
        on the stream, or has fields that are unknown to this version.
    """
    kind = value.get("kind", "") if isinstance(value, dict) else ""
    kind = str(kind)[:80]
    try:
        record = decode_record(value)
        if not isinstance(record, Record):
            raise InvalidInput(f"kind {kind!r} doesn't belong on stream {STREAM!r}")
        unknown = _find_unknown_field(value["body"], record)
    except InvalidInput as error:
        return UnreadableRecord(kind, error.message)
    if unknown:
        return UnreadableRecord(kind, f"unknown field {unknown[:80]!r}")
    return record


def _find_unknown_field(value: Any, item: Any) -> str:
    if isinstance(item, tuple):
        names = map(_find_unknown_field, value, item)
        return next(filter(None, names), "")
    if not dataclasses.is_dataclass(item) or isinstance(item, type):
        return ""
    unknown = value.keys() - _get_field_names(type(item))
    if unknown:
        return min(map(str, unknown))
    nested = _get_nested_names(type(item))
    found = (_find_unknown_field(value.get(n, ()), getattr(item, n)) for n in nested)
    return next(filter(None, found), "")


@cache
def _get_field_names(cls: type) -> frozenset[str]:
    return frozenset(f.name for f in dataclasses.fields(cls))


@cache
def _get_nested_names(cls: type) -> tuple[str, ...]:
    hints = get_type_hints(cls)
    return tuple(name for name, hint in hints.items() if hint not in _SCALARS)
