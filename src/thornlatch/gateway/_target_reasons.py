"""States of targets that decide about requests, for operators.

Each function tells one state. To add one, write its function and list it in
`TARGET_REASONS`, or in `REQUEST_REASONS` if it depends on the request.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from thornlatch.fleet import PeerView, Target, TargetRegistry
from thornlatch.gateway._choice import RequestRequirements, TargetOption, TargetState
from thornlatch.gateway._explanations import READY, Reason
from thornlatch.gateway._health import TargetHealth
from thornlatch.gateway._selector import AVOIDING_PEER_LIMIT

SLOW_RATIO = 1.5  # of the usual time, from which on operators are told


@dataclass(frozen=True)
class FleetFacts:
    """What a host knows of the targets and of the other hosts.

    Parameters
    ----------
    registry : TargetRegistry
    peers : PeerView
    health : TargetHealth
        A copy, whose limits nobody else uses.
    """

    registry: TargetRegistry
    peers: PeerView
    health: TargetHealth


@dataclass(frozen=True)
class TargetFacts:
    """A target and what is known of it.

    Parameters
    ----------
    fleet : FleetFacts
    target : Target
    state : TargetState
    now : float
    """

    fleet: FleetFacts
    target: Target
    state: TargetState
    now: float


@dataclass(frozen=True)
class RequestFacts:
    """A target and what is known of it for one request.

    Parameters
    ----------
    facts : TargetFacts
    requirements : RequestRequirements
    software_version : str or None
        Version that the request needs; None for any.
    option : TargetOption or None
        None if the request can't be sent there.
    region : str or None
        Region of the target; None without one.
    allowed_regions : frozenset of str or None
        Regions to whose targets the request may be sent; None for any target.
    usable_versions : frozenset of str or None
        Software versions of targets that may serve the request; None for any.
    """

    facts: TargetFacts
    requirements: RequestRequirements
    software_version: str | None
    option: TargetOption | None
    region: str | None = None
    allowed_regions: frozenset[str] | None = None
    usable_versions: frozenset[str] | None = None

    @property
    def is_open(self) -> bool:
        """Whether the target accepts requests of this host now."""
        facts, target = self.facts, self.facts.target
        health = facts.fleet.health
        is_excluded = self.is_excluded_version
        is_closed = health.get_closed_s(target, now=facts.now) > 0
        is_evacuated = facts.fleet.registry.is_evacuated(target)
        return not (
            target.is_leaving
            or is_evacuated
            or is_excluded
            or is_closed
            or self.is_outside_regions
        )

    @property
    def is_excluded_version(self) -> bool:
        """Whether the target runs a version that can't serve the request."""
        usable, version = self.usable_versions, self.facts.target.software_version
        is_usable = usable is None or version in usable
        return self.software_version not in (None, version) or not is_usable

    @property
    def is_outside_regions(self) -> bool:
        """Whether the target isn't in a region to which the request may be sent."""
        allowed = self.allowed_regions
        return allowed is not None and self.region not in allowed

    @property
    def has_adapter(self) -> bool:
        """Whether the target holds or loads a version that the request may use."""
        resident = self.facts.state.resident
        return resident is not None and resident.version >= self.requirements.version


def tell_leaving(facts: TargetFacts) -> Reason | None:
    """Return whether a target accepts no new requests as it leaves."""
    if not facts.target.is_leaving:
        return None
    return Reason(
        "leaving",
        "accepts no new requests",
        until_s=facts.target.leaves_in_s,
        age_s=_get_change_age(facts),
    )


def tell_evacuated(facts: TargetFacts) -> Reason | None:
    """Return whether the failure domain of a target is evacuated."""
    if not facts.fleet.registry.is_evacuated(facts.target):
        return None
    return Reason("evacuated", f"its failure domain {facts.target.failure_domain} is")


def tell_paused(facts: TargetFacts) -> Reason | None:
    """Return whether a target asked for a pause."""
    record = facts.fleet.health.describe(facts.target.id, now=facts.now)
    if record.paused_ago_s is None:
        return None
    return Reason("paused", "asked for a pause", record.pause_s, record.paused_ago_s)


def tell_limited(facts: TargetFacts) -> Reason | None:
    """Return whether a target limits the rate of its requests."""
    limits, incarnation = facts.fleet.health.limits, facts.target.incarnation
    ages = limits.get_ages(incarnation, now=facts.now)
    if ages is None:
        return None
    detail = (
        f"{limits.get_rate(incarnation):.3g} requests/s of all hosts, of this host"
        f" {limits.get_share(incarnation):.3g}; reported {ages[1]:.1f} s ago"
    )
    wait_s = limits.get_wait_s(incarnation, now=facts.now)
    if math.isinf(wait_s):
        return Reason("limited", f"{detail}; only others may send", age_s=ages[0])
    if wait_s > 0:
        detail += f"; the next request in {wait_s:.2f} s"
    return Reason("limited", detail, age_s=ages[0])


def tell_cold(facts: TargetFacts) -> Reason | None:
    """Return whether a target is cold."""
    limits, incarnation = facts.fleet.health.limits, facts.target.incarnation
    cold = limits.describe_cold(incarnation, now=facts.now)
    if cold is None or not cold.rate:
        return None
    detail = (
        f"{cold.rate:.3g} requests/s of all hosts, of this host {cold.share:.3g},"
        f" {cold.sent} in the last second; told by its {cold.source}"
    )
    return Reason("cold", detail, until_s=cold.left_s, age_s=cold.since_s)


def tell_paced(facts: TargetFacts) -> Reason | None:
    """Return whether a target started or recovered and doesn't get its full load."""
    health, target = facts.fleet.health, facts.target
    pace = health.pacer.describe(target.incarnation, now=facts.now)
    if pace is None:
        return None
    detail = f"may have {pace.window:.3g} requests of all hosts, round {pace.round}"
    wait_s = health.get_place_wait_s(target, now=facts.now)
    if wait_s > 0:
        detail += f"; this host may send in {wait_s:.2f} s"
    return Reason("paced", detail, age_s=pace.age_s)


def tell_slow(facts: TargetFacts) -> Reason | None:
    """Return whether work takes much longer at a target than usual."""
    ratio = facts.state.work_ratio
    if ratio < SLOW_RATIO:
        return None
    return Reason("slow", f"work takes {ratio:.2f} times as long as usual")


def tell_avoided(facts: TargetFacts) -> Reason | None:
    """Return whether a target is avoided as it failed recently."""
    record = facts.fleet.health.describe(facts.target.id, now=facts.now)
    if record.avoided_ago_s is None:
        return None
    detail = f"{record.failures} failures in a row"
    return Reason("avoided", detail, record.avoid_s, record.avoided_ago_s)


def tell_avoided_by_peers(facts: TargetFacts) -> Reason | None:
    """Return whether so many peers avoid a target that this host does too."""
    count = facts.fleet.peers.count_peers_avoiding(facts.target.id)
    if count < AVOIDING_PEER_LIMIT:
        return None
    return Reason("avoided-by-peers", f"{count} other hosts avoid it")


def tell_full(facts: TargetFacts) -> Reason | None:
    """Return whether all slots of a target are in use."""
    requests, slots = facts.state.requests, facts.target.slots
    if requests < slots:
        return None
    return Reason("full", f"{requests} requests in {slots} slots")


def tell_outside_regions(request: RequestFacts) -> Reason | None:
    """Return whether a target isn't in an allowed region of route and organisation."""
    if not request.is_outside_regions:
        return None
    allowed = ", ".join(sorted(request.allowed_regions or ())) or "none in common"
    region = f"its region is {request.region}" if request.region else "has no region"
    return Reason("outside-regions", f"{region}; allowed: {allowed}")


def tell_excluded_version(request: RequestFacts) -> Reason | None:
    """Return whether a target's software version can't begin or continue a stream."""
    if not request.is_excluded_version:
        return None
    version = request.facts.target.software_version
    if request.software_version is None:
        return Reason(
            "unrecorded-version",
            f"runs version {version!r}, and the store takes no record of it",
        )
    return Reason(
        "excluded-version",
        f"runs version {version!r}, the stream began at {request.software_version!r}",
    )


def tell_no_model(request: RequestFacts) -> Reason | None:
    """Return whether a target doesn't hold the request's model."""
    if request.facts.state.has_model:
        return None
    return Reason("no-model", "doesn't hold the model")


def tell_adapter_loading(request: RequestFacts) -> Reason | None:
    """Return whether a target is loading the request's adapter or has queued that."""
    resident = request.facts.state.resident
    if resident is None or not request.has_adapter:
        return None
    ready_in_s = max(resident.ready_at - request.facts.now, 0.0)
    if resident.is_queued:
        return Reason("adapter-queued", "its load hasn't begun", ready_in_s or None)
    if not ready_in_s:
        return None
    return Reason("adapter-loading", f"version {resident.version}", ready_in_s)


def tell_adapter_absent(request: RequestFacts) -> Reason | None:
    """Return whether a target lacks the request's adapter, or a version of use."""
    state, required = request.facts.state, request.requirements
    if not required.adapter or request.has_adapter:
        return None
    if state.resident is not None:
        return Reason(
            "adapter-outdated",
            f"has version {state.resident.version}, {required.version} is required",
        )
    detail = "held it before" if state.was_resident else "never held it"
    if state.in_transit:
        detail += f"; {state.in_transit} other loads are on their way there"
    return Reason("adapter-absent", detail, state.place_wait_s or None)


def tell_no_holder(request: RequestFacts) -> Reason | None:
    """Return whether no live host may order the load of the adapter at a target."""
    if not request.requirements.adapter or request.has_adapter:
        return None
    if request.facts.state.is_held:
        return None
    return Reason("no-holder", "no live host orders its adapters")


def tell_passed_over(request: RequestFacts) -> Reason | None:
    """Return whether a target isn't considered as another one has the adapter."""
    state = request.facts.state
    can_load = bool(request.requirements.adapter) and state.is_held
    if request.option is not None or not request.is_open or not can_load:
        return None
    return Reason(
        "passed-over",
        "another target has the adapter and a free slot, or may load it without a"
        " limit",
    )


TARGET_REASONS: tuple[Callable[[TargetFacts], Reason | None], ...] = (
    tell_leaving,
    tell_evacuated,
    tell_paused,
    tell_limited,
    tell_cold,
    tell_paced,
    tell_slow,
    tell_avoided,
    tell_avoided_by_peers,
    tell_full,
)
REQUEST_REASONS: tuple[Callable[[RequestFacts], Reason | None], ...] = (
    tell_outside_regions,
    tell_excluded_version,
    tell_no_model,
    tell_adapter_loading,
    tell_adapter_absent,
    tell_no_holder,
    tell_passed_over,
)


def list_target_reasons(facts: TargetFacts) -> tuple[Reason, ...]:
    """Return the states of a target that hold for all requests.

    Parameters
    ----------
    facts : TargetFacts

    Returns
    -------
    tuple of Reason
    """
    reasons = [tell(facts) for tell in TARGET_REASONS]
    return tuple(reason for reason in reasons if reason is not None)


def list_request_reasons(request: RequestFacts) -> tuple[Reason, ...]:
    """Return the states of a target for a request, also those for all requests.

    Parameters
    ----------
    request : RequestFacts

    Returns
    -------
    tuple of Reason
    """
    reasons = [tell(request) for tell in REQUEST_REASONS]
    found = tuple(reason for reason in reasons if reason is not None)
    return list_target_reasons(request.facts) + found


def build_ready(facts: TargetFacts) -> Reason:
    """Return the state of a target without any other.

    Parameters
    ----------
    facts : TargetFacts

    Returns
    -------
    Reason
        Its age is the time since the target was registered.
    """
    return Reason(READY, age_s=_get_change_age(facts))


def _get_change_age(facts: TargetFacts) -> float | None:
    changed_at = facts.fleet.registry.changed_at.get(facts.target.id)
    return None if changed_at is None else facts.now - changed_at
