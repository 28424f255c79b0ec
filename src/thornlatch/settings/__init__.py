"""Loading of daemon settings and inventory files, validated by data classes."""

from thornlatch.settings._describe import describe_hint
from thornlatch.settings._inventory_file import (
    InventoryFile,
    load_adapters,
    load_inventory,
)
from thornlatch.settings._load import load_settings, parse_table, read_toml

__all__ = [
    "InventoryFile",
    "describe_hint",
    "load_adapters",
    "load_inventory",
    "load_settings",
    "parse_table",
    "read_toml",
]
