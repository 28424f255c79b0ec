"""Placement of adapter versions on targets by loads and evictions."""

from thornlatch.placement._budget import LoadBudget, StoreBudget
from thornlatch.placement._demand import DemandEstimate
from thornlatch.placement._orders import (
    AdapterVersion,
    EvictAdapter,
    LoadAdapter,
    LoadNeed,
)
from thornlatch.placement._placement import Placement
from thornlatch.placement._settings import PlacementSettings
from thornlatch.placement._sites import PinReader
from thornlatch.placement._slots import TargetSlots

__all__ = [
    "AdapterVersion",
    "DemandEstimate",
    "EvictAdapter",
    "LoadAdapter",
    "LoadBudget",
    "LoadNeed",
    "PinReader",
    "Placement",
    "PlacementSettings",
    "StoreBudget",
    "TargetSlots",
]
