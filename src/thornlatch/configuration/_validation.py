"""Checks of an inventory beyond the types and ranges of its fields."""

import ipaddress
from collections.abc import Iterable
from functools import singledispatch
from typing import Any

from thornlatch.configuration._inventory import (
    Adapter,
    Inventory,
    Key,
    Pool,
    Route,
    Target,
)
from thornlatch.configuration._records import Removals
from thornlatch.configuration._tables import (
    EMPTY_TABLES,
    KINDS,
    Tables,
    change_tables,
)
from thornlatch.exceptions import InvalidInput

PORT_LIMIT = 65_535


def build_tables(inventory: Inventory) -> Tables:
    """Index and check a whole inventory.

    Parameters
    ----------
    inventory : Inventory

    Returns
    -------
    Tables

    Raises
    ------
    InvalidInput
        If an item is invalid, listed twice or refers to an unknown one.
    """
    return apply_changes(EMPTY_TABLES, inventory, Removals())


def apply_changes(tables: Tables, upserts: Inventory, removals: Removals) -> Tables:
    """Change tables and check the result.

    Parameters
    ----------
    tables : Tables
        Tables that have been checked.
    upserts : Inventory
    removals : Removals

    Returns
    -------
    Tables

    Raises
    ------
    InvalidInput
        If the result would be invalid; `tables` are unchanged.
    """
    changed = change_tables(tables, upserts, removals)
    for kind in KINDS:
        items = getattr(upserts, kind)
        if _may_break_references(tables, upserts, removals):
            items = getattr(changed, kind).values()
        _check_items(kind, items, changed)
    if upserts.targets:
        _check_addresses(changed.targets.values())
    return changed


def _may_break_references(
    tables: Tables, upserts: Inventory, removals: Removals
) -> bool:
    if removals.organisations or removals.stores or removals.pools:
        return True
    return any(pool.name in tables.pools for pool in upserts.pools)


def _check_items(kind: str, items: Iterable[Any], tables: Tables) -> None:
    for item in items:
        problem = find_problem(item, tables)
        if problem:
            raise InvalidInput(f"{kind}: {problem}")


def _check_addresses(targets: Iterable[Target]) -> None:
    names: dict[str, str] = {}
    for target in targets:
        other = names.setdefault(target.address, target.name)
        if other != target.name:
            raise InvalidInput(
                f"targets: {target.name!r} has the same address {target.address} as "
                f"{other!r}"
            )


@singledispatch
def find_problem(item: Any, tables: Tables) -> str:
    """Return a description of what is wrong with an item; empty if it is valid.

    Parameters
    ----------
    item : object
        Item of an inventory.
    tables : Tables

    Returns
    -------
    str
    """
    return ""


@find_problem.register
def _(item: Key, tables: Tables) -> str:
    if item.organisation not in tables.organisations:
        return f"key {item.digest} refers to unknown organisation {item.organisation!r}"
    return ""


@find_problem.register
def _(item: Pool, tables: Tables) -> str:
    if item.kind == "plain":
        return ""
    if not item.model:
        return f"engine pool {item.name!r} has no model"
    if item.store not in tables.stores:
        return f"engine pool {item.name!r} refers to unknown store {item.store!r}"
    return ""


@find_problem.register
def _(item: Target, tables: Tables) -> str:
    pool = tables.pools.get(item.pool)
    if pool is None:
        return f"target {item.name!r} refers to unknown pool {item.pool!r}"
    if pool.kind == "engine" and item.adapter_slots < 1:
        return (
            f"target {item.name!r} is an engine with adapter_slots = "
            f"{item.adapter_slots}; must be at least 1"
        )
    if pool.kind == "plain" and item.adapter_slots:
        return (
            f"target {item.name!r} is a plain service with adapter_slots = "
            f"{item.adapter_slots}; must be 0"
        )
    if not is_address(item.address):
        return f"target {item.name!r} has address {item.address!r}, not ip:port"
    return ""


@find_problem.register
def _(item: Adapter, tables: Tables) -> str:
    pool = tables.pools.get(item.pool)
    if pool is None or pool.kind != "engine":
        return f"adapter {item.label!r} refers to {item.pool!r}, not an engine pool"
    if item.organisation and item.organisation not in tables.organisations:
        return (
            f"adapter {item.label!r} refers to unknown organisation "
            f"{item.organisation!r}"
        )
    if item.label in tables.defaults or item.name in tables.adapters:
        return (
            f"adapter {item.label!r} is ambiguous: a name equals the name/version of "
            "another adapter"
        )
    return ""


@find_problem.register
def _(item: Route, tables: Tables) -> str:
    pool = tables.pools.get(item.pool)
    if pool is None or pool.kind != "plain":
        return f"route {item.path!r} refers to {item.pool!r}, not a plain pool"
    if item.is_open and item.organisations:
        return f"route {item.path!r} is open to all but limited to organisations"
    if "//" in item.path or {".", ".."} & set(item.path.split("/")):
        return f"route {item.path!r} has an empty or dotted segment"
    if item.path != "/" and item.path.endswith("/"):
        return f"route {item.path!r} ends with a slash"
    for organisation in item.organisations:
        if organisation not in tables.organisations:
            return (
                f"route {item.path!r} refers to unknown organisation {organisation!r}"
            )
    return ""


def is_address(text: str) -> bool:
    """Return whether `text` is ``ip:port`` with a numeric IP address.

    Parameters
    ----------
    text : str

    Returns
    -------
    bool
    """
    ip, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(ip.strip("[]") if ip.startswith("[") else ip)
        return 1 <= int(port) <= PORT_LIMIT
    except ValueError:
        return False
