"""Configuration in force: inventory, keys and drained targets."""

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
from thornlatch.configuration._records import (
    STREAM,
    ConfigurationChanged,
    ConfigurationPublished,
    ConfigurationSnapshot,
    KeyIssued,
    KeyWithdrawn,
    OffsetDigest,
    OffsetQuery,
    Record,
    Removals,
    TargetDrained,
    UnreadableRecord,
    Withdrawal,
    decode_entry,
)
from thornlatch.configuration._settings import ConfigurationSettings
from thornlatch.configuration._slice import Configuration, ConfigurationStatus
from thornlatch.configuration._state import (
    ConfigurationState,
    Refusal,
    apply_record,
    build_snapshot,
    load_snapshot,
)
from thornlatch.configuration._tables import (
    KINDS,
    Tables,
    find_changes,
    get_identity,
    to_inventory,
)
from thornlatch.configuration._transfer import SnapshotPart, SnapshotQuery
from thornlatch.configuration._validation import build_tables
from thornlatch.configuration._view import ConfigurationView

__all__ = [
    "KINDS",
    "STREAM",
    "Adapter",
    "Configuration",
    "ConfigurationChanged",
    "ConfigurationPublished",
    "ConfigurationSettings",
    "ConfigurationSnapshot",
    "ConfigurationState",
    "ConfigurationStatus",
    "ConfigurationView",
    "Inventory",
    "Key",
    "KeyIssued",
    "KeyWithdrawn",
    "OffsetDigest",
    "OffsetQuery",
    "Organisation",
    "Pool",
    "Record",
    "Refusal",
    "Removals",
    "Route",
    "SnapshotPart",
    "SnapshotQuery",
    "Store",
    "Tables",
    "Target",
    "TargetDrained",
    "UnreadableRecord",
    "Withdrawal",
    "apply_record",
    "build_snapshot",
    "build_tables",
    "decode_entry",
    "digest_key",
    "find_changes",
    "get_identity",
    "load_snapshot",
    "to_inventory",
]
