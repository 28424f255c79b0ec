"""Inventory, rules and keys in force."""

from thornlatch.configuration._inventory import (
    Adapter,
    Inventory,
    Key,
    Organisation,
    Pool,
    Route,
    Store,
    Target,
    digest_key,
)

__all__ = [
    "Adapter",
    "Inventory",
    "Key",
    "Organisation",
    "Pool",
    "Route",
    "Store",
    "Target",
    "digest_key",
]
