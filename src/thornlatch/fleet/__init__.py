"""Targets that registered themselves, and what the hosts tell each other."""

from thornlatch.fleet._decay import DecayingSum, count_until_decayed
from thornlatch.fleet._digests import (
    HeldTarget,
    HostDigest,
    LoadRequested,
    PeerView,
    PeerViewSettings,
    ResidentAdapter,
)
from thornlatch.fleet._registry import (
    Holding,
    RegistrySettings,
    Target,
    TargetRegistry,
)

__all__ = [
    "DecayingSum",
    "HeldTarget",
    "Holding",
    "HostDigest",
    "LoadRequested",
    "PeerView",
    "PeerViewSettings",
    "RegistrySettings",
    "ResidentAdapter",
    "Target",
    "TargetRegistry",
    "count_until_decayed",
]
