"""Look-up tables of the inventory that share entries between versions."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, fields
from functools import singledispatch
from typing import Any

from thornlatch.configuration._inventory import (
    Adapter,
    Inventory,
    Key,
    Organisation,
    Pool,
    Route,
    Store,
    Target,
)
from thornlatch.configuration._maps import PersistentMap
from thornlatch.configuration._records import Removals
from thornlatch.exceptions import InvalidInput

KINDS = tuple(f.name for f in fields(Inventory))


@dataclass(frozen=True)
class Tables:
    """One table for each kind of item in the inventory, by identity.

    Parameters
    ----------
    organisations, stores, pools, targets : PersistentMap
        By name.
    keys : PersistentMap
        By digest.
    adapters : PersistentMap
        By ``name/version``.
    routes : PersistentMap
        By path.
    defaults : PersistentMap
        Default version of each adapter, by name.
    """

    organisations: PersistentMap[Organisation] = field(default_factory=PersistentMap)
    keys: PersistentMap[Key] = field(default_factory=PersistentMap)
    stores: PersistentMap[Store] = field(default_factory=PersistentMap)
    pools: PersistentMap[Pool] = field(default_factory=PersistentMap)
    targets: PersistentMap[Target] = field(default_factory=PersistentMap)
    adapters: PersistentMap[Adapter] = field(default_factory=PersistentMap)
    routes: PersistentMap[Route] = field(default_factory=PersistentMap)
    defaults: PersistentMap[Adapter] = field(default_factory=PersistentMap)


EMPTY_TABLES = Tables()


@singledispatch
def get_identity(item: Any) -> str:
    """Return what identifies an item among those of its kind."""
    return item.name


@get_identity.register
def _(item: Key) -> str:
    return item.digest


@get_identity.register
def _(item: Adapter) -> str:
    return item.label


@get_identity.register
def _(item: Route) -> str:
    return item.path


def change_tables(tables: Tables, upserts: Inventory, removals: Removals) -> Tables:
    """Return tables with items removed, then added or replaced.

    Parameters
    ----------
    tables : Tables
    upserts : Inventory
    removals : Removals

    Returns
    -------
    Tables

    Raises
    ------
    InvalidInput
        If an item is listed twice or an item to remove doesn't exist.
    """
    changed = {
        kind: _change_table(
            kind,
            getattr(tables, kind),
            getattr(upserts, kind),
            getattr(removals, kind),
        )
        for kind in KINDS
    }
    defaults = _change_defaults(tables, upserts.adapters, removals.adapters)
    return Tables(**changed, defaults=defaults)


def to_inventory(tables: Tables) -> Inventory:
    """Return the inventory of `tables`, ordered by identity.

    Parameters
    ----------
    tables : Tables

    Returns
    -------
    Inventory
    """
    return Inventory(
        **{
            kind: tuple(item for _, item in sorted(getattr(tables, kind).items()))
            for kind in KINDS
        }
    )


def find_changes(old: Tables, new: Tables) -> tuple[Inventory, Removals]:
    """Return the changes that turn `old` into `new`.

    Parameters
    ----------
    old : Tables
    new : Tables

    Returns
    -------
    upserts : Inventory
    removals : Removals
    """
    upserts, removals = {}, {}
    for kind in KINDS:
        before, after = getattr(old, kind), getattr(new, kind)
        upserts[kind] = tuple(
            item for name, item in sorted(after.items()) if before.get(name) != item
        )
        removals[kind] = tuple(sorted(name for name in before if name not in after))
    return Inventory(**upserts), Removals(**removals)


def _change_table(
    kind: str,
    table: PersistentMap[Any],
    upserts: Iterable[Any],
    removals: Iterable[str],
) -> PersistentMap[Any]:
    removed = set(removals)
    for name in removed:
        if name not in table:
            raise InvalidInput(f"{kind}: can't remove unknown {name!r}")
    return table.with_changes(_index(kind, upserts), removed)


def _index(kind: str, items: Iterable[Any]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for item in items:
        identity = get_identity(item)
        if identity in found:
            raise InvalidInput(f"{kind}: {identity!r} is listed twice")
        found[identity] = item
    return found


def _change_defaults(
    tables: Tables, upserts: Iterable[Adapter], removals: Iterable[str]
) -> PersistentMap[Adapter]:
    removed = {
        tables.adapters[label].name for label in _iter_defaults(tables, removals)
    }
    added: dict[str, Adapter] = {}
    for adapter in upserts:
        if not adapter.is_default:
            if _is_default(tables.defaults, adapter):
                removed.add(adapter.name)
        elif adapter.name in added:
            raise InvalidInput(f"adapters: {adapter.name!r} has two default versions")
        else:
            added[adapter.name] = adapter
    for name, adapter in added.items():
        earlier = tables.defaults.get(name)
        if earlier and earlier.version != adapter.version and name not in removed:
            raise InvalidInput(f"adapters: {name!r} has two default versions")
    return tables.defaults.with_changes(added, removed)


def _iter_defaults(tables: Tables, labels: Iterable[str]) -> Iterable[str]:
    """Iterate over the labels of default versions."""
    for label in labels:
        if _is_default(tables.defaults, tables.adapters[label]):
            yield label


def _is_default(defaults: Mapping[str, Adapter], adapter: Adapter) -> bool:
    known = defaults.get(adapter.name)
    return known is not None and known.version == adapter.version
