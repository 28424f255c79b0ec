"""Which adapters each engine holds, and the orders that change it."""

from thornlatch.residency._holder import HolderSettings, NumberedOrder, TargetHolder
from thornlatch.residency._orders import (
    EngineReport,
    LoadAdapter,
    LoadModel,
    OrderOutcome,
    ResidencyOrder,
    UnloadAdapter,
)
from thornlatch.residency._table import Resident, ResidentTable
from thornlatch.residency._tenure import Tenure, TenureSettings
from thornlatch.residency._versions import AdapterVersions, VersionSettings

__all__ = [
    "AdapterVersions",
    "EngineReport",
    "HolderSettings",
    "LoadAdapter",
    "LoadModel",
    "NumberedOrder",
    "OrderOutcome",
    "Resident",
    "ResidencyOrder",
    "ResidentTable",
    "TargetHolder",
    "Tenure",
    "TenureSettings",
    "UnloadAdapter",
    "VersionSettings",
]
