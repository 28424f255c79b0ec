"""Registered targets, and the digests that the hosts of a fleet exchange."""

from thornlatch.fleet._decay import DecayingSum, DecayingSums, compute_decay_time_s
from thornlatch.fleet._digests import (
    UNKNOWN_EPOCH,
    HeldTarget,
    HostDigest,
    LoadExpected,
    LoadRequested,
    PartReport,
    PeerView,
    PeerViewSettings,
    ResidentAdapter,
    StoreKnowledge,
    TargetLimit,
    TargetPace,
)
from thornlatch.fleet._domain_choice import ExchangeSettings, Member, choose_by_capacity
from thornlatch.fleet._domain_messages import (
    FLEET,
    DomainDigest,
    DomainSpending,
    FleetDigest,
    TargetUses,
    WorkSum,
    merge_paces,
    merge_parts,
    sum_counts,
)
from thornlatch.fleet._domain_view import DomainUpdate, DomainView
from thornlatch.fleet._domains import DomainExchange
from thornlatch.fleet._evacuations import (
    Evacuation,
    EvacuationChange,
    EvacuationStatus,
    EvacuationTable,
)
from thornlatch.fleet._notices import TargetNotice, UnreadableHeader
from thornlatch.fleet._registry import (
    Incarnation,
    LoadedModel,
    RegistrySettings,
    Target,
    TargetRegistry,
)
from thornlatch.fleet._store_contact import StoreContact
from thornlatch.fleet._use_notes import AdapterUsed, UseNotes

__all__ = [
    "AdapterUsed",
    "DecayingSum",
    "DecayingSums",
    "DomainDigest",
    "DomainExchange",
    "DomainSpending",
    "DomainUpdate",
    "DomainView",
    "Evacuation",
    "EvacuationChange",
    "EvacuationStatus",
    "EvacuationTable",
    "ExchangeSettings",
    "FLEET",
    "FleetDigest",
    "HeldTarget",
    "Incarnation",
    "LoadedModel",
    "HostDigest",
    "LoadExpected",
    "LoadRequested",
    "Member",
    "PartReport",
    "PeerView",
    "PeerViewSettings",
    "RegistrySettings",
    "ResidentAdapter",
    "StoreContact",
    "StoreKnowledge",
    "Target",
    "TargetLimit",
    "TargetNotice",
    "TargetPace",
    "TargetRegistry",
    "TargetUses",
    "UnreadableHeader",
    "UNKNOWN_EPOCH",
    "UseNotes",
    "WorkSum",
    "choose_by_capacity",
    "compute_decay_time_s",
    "merge_paces",
    "merge_parts",
    "sum_counts",
]
