"""Adapters that each engine holds, and planning of the orders that change them."""

from thornlatch.residency._orders import (
    EngineReport,
    LoadAdapter,
    LoadModel,
    OrderOutcome,
    ResidencyOrder,
    UnloadAdapter,
)
from thornlatch.residency._planner import HolderSettings, NumberedOrder, TargetPlanner
from thornlatch.residency._replication import (
    AdapterCopy,
    ReplicationSettings,
    TargetLoad,
    choose_copy,
)
from thornlatch.residency._table import Resident, ResidentTable, build_residents
from thornlatch.residency._tenure import Tenure, TenureSettings
from thornlatch.residency._versions import AdapterVersions, VersionSettings

__all__ = [
    "AdapterVersions",
    "AdapterCopy",
    "EngineReport",
    "HolderSettings",
    "LoadAdapter",
    "LoadModel",
    "NumberedOrder",
    "OrderOutcome",
    "ReplicationSettings",
    "Resident",
    "ResidencyOrder",
    "ResidentTable",
    "TargetPlanner",
    "TargetLoad",
    "Tenure",
    "TenureSettings",
    "UnloadAdapter",
    "VersionSettings",
    "choose_copy",
    "build_residents",
]
