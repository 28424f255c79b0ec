"""Differences between two inventories, as log records and as text."""

import secrets
from collections.abc import Iterator
from dataclasses import dataclass

from thornlatch.configuration import (
    KINDS,
    ConfigurationChanged,
    ConfigurationPublished,
    ConfigurationState,
    Inventory,
    Removals,
    Tables,
    build_tables,
    find_changes,
    get_identity,
)

CHANGE_ID_BYTES = 16


@dataclass(frozen=True)
class Change:
    """One item that differs between two inventories.

    Parameters
    ----------
    action : {"add", "replace", "remove"}
    kind : str
        Kind of the item, such as ``adapters``.
    name : str
        Identity of the item within its kind.
    """

    action: str
    kind: str
    name: str


def list_changes(old: Tables, inventory: Inventory) -> tuple[Change, ...]:
    """Return what publishing an inventory would change.

    Parameters
    ----------
    old : Tables
        Configuration in force.
    inventory : Inventory

    Returns
    -------
    tuple of Change
    """
    upserts, removals = find_changes(old, build_tables(inventory))
    return tuple(_iter_changes(old, upserts, removals))


def build_record(
    state: ConfigurationState, inventory: Inventory, author: str
) -> ConfigurationPublished | ConfigurationChanged:
    """Build the record that puts an inventory in force.

    The record holds only the changes unless no inventory is in force yet or more
    than half of the items are added or replaced.

    Parameters
    ----------
    state : ConfigurationState
        Configuration in force.
    inventory : Inventory
    author : str

    Returns
    -------
    ConfigurationPublished or ConfigurationChanged
    """
    base, change_id = state.inventory_offset, secrets.token_hex(CHANGE_ID_BYTES)
    upserts, removals = find_changes(state.tables, build_tables(inventory))
    needs_full_record = base < 0 or 2 * _count_items(upserts) > _count_items(inventory)
    if needs_full_record:
        return ConfigurationPublished(base, author, inventory, change_id)
    return ConfigurationChanged(base, author, upserts, removals, change_id)


def summarise(changes: tuple[Change, ...]) -> str:
    """Return the number of changes by kind and action as one line of text.

    Parameters
    ----------
    changes : tuple of Change

    Returns
    -------
    str
    """
    counts: dict[str, int] = {}
    for change in changes:
        key = f"{change.kind} {change.action}"
        counts[key] = counts.get(key, 0) + 1
    return ", ".join(f"{key} {count}" for key, count in counts.items()) or "no change"


def _iter_changes(old: Tables, upserts: Inventory, removals: Removals) -> Iterator:
    for kind in KINDS:
        for item in getattr(upserts, kind):
            name = get_identity(item)
            action = "replace" if name in getattr(old, kind) else "add"
            yield Change(action, kind, name)
        for name in getattr(removals, kind):
            yield Change("remove", kind, name)


def _count_items(inventory: Inventory) -> int:
    return sum(len(getattr(inventory, kind)) for kind in KINDS)
