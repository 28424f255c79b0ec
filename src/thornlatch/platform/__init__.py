"""Clients of the platform's log service, weight store and host list."""

from thornlatch.platform._clients import (
    LogClient,
    LogPage,
    LogRecord,
    PlatformError,
    PlatformSettings,
)

__all__ = ["LogClient", "LogPage", "LogRecord", "PlatformError", "PlatformSettings"]
