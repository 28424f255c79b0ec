"""Scheduling of requests: queues, fairness, choice of targets and grants."""

from thornlatch.dispatch._client import Grant
from thornlatch.dispatch._dispatch import Dispatch
from thornlatch.dispatch._duplicates import DuplicateTracker
from thornlatch.dispatch._messages import (
    GrantCancelled,
    GrantCancelNoted,
    Granted,
    GrantHeld,
    GrantInventory,
    GrantInventoryRequest,
    GrantQueued,
    GrantRecalled,
    GrantRefused,
    GrantReleased,
    GrantReleaseNoted,
    GrantRequest,
    HeldGrant,
    OrderInDoubt,
    Outcome,
    Priority,
    RequestSpec,
    TargetDeathReported,
    get_pool_key,
)
from thornlatch.dispatch._scheduler import PoolScheduler
from thornlatch.dispatch._settings import DispatchSettings
from thornlatch.dispatch._targets import TargetReport

__all__ = [
    "DuplicateTracker",
    "Dispatch",
    "DispatchSettings",
    "Grant",
    "GrantCancelNoted",
    "GrantCancelled",
    "GrantHeld",
    "GrantInventory",
    "GrantInventoryRequest",
    "GrantQueued",
    "GrantRecalled",
    "GrantRefused",
    "GrantReleaseNoted",
    "GrantReleased",
    "GrantRequest",
    "Granted",
    "HeldGrant",
    "OrderInDoubt",
    "Outcome",
    "PoolScheduler",
    "Priority",
    "RequestSpec",
    "TargetDeathReported",
    "TargetReport",
    "get_pool_key",
]
