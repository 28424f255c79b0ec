"""Pace of targets that started or recovered, found from how they respond."""

from thornlatch.pace._pacer import (
    PaceChange,
    PacedRequest,
    Pacer,
    PaceReason,
)
from thornlatch.pace._settings import PaceSettings

__all__ = [
    "PaceChange",
    "PaceReason",
    "PaceSettings",
    "PacedRequest",
    "Pacer",
]
