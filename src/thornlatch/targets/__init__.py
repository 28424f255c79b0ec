"""Clients of the targets, which are engines and plain services."""

from thornlatch.targets._calls import (
    Framing,
    Reuse,
    TargetCall,
    TargetResponse,
    drop_idle_connections,
    open_call,
)
from thornlatch.targets._detours import Detours, DetourSettings, TunnelHost
from thornlatch.targets._engine import (
    ChunkReader,
    CompletionChunk,
    evict_adapter,
    iter_chunks,
    load_adapter,
    read_report,
)

__all__ = [
    "ChunkReader",
    "CompletionChunk",
    "DetourSettings",
    "Detours",
    "Framing",
    "Reuse",
    "TargetCall",
    "TargetResponse",
    "TunnelHost",
    "drop_idle_connections",
    "evict_adapter",
    "iter_chunks",
    "load_adapter",
    "open_call",
    "read_report",
]
