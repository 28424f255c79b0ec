"""Clients of the platform's log service and host list."""

from thornlatch.logservice._clients import (
    LogClient,
    LogPage,
    LogRecord,
    PlatformError,
    PlatformSettings,
)
from thornlatch.logservice._follower import (
    Delivery,
    FollowerSettings,
    LogFollower,
    LogTail,
    LogTailRequest,
    ReadPlan,
)
from thornlatch.logservice._host_list import HostList, HostListClient

__all__ = [
    "Delivery",
    "FollowerSettings",
    "HostList",
    "HostListClient",
    "LogClient",
    "LogFollower",
    "LogPage",
    "LogRecord",
    "LogTail",
    "LogTailRequest",
    "PlatformError",
    "PlatformSettings",
    "ReadPlan",
]
