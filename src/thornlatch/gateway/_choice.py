"""Cost estimates that rank the targets a request may be sent to.

Each host decides on its own, from the request counts that all hosts report for each
target, so that no request waits for an answer from another host.
"""

import math
import zlib
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from enum import Enum

from thornlatch.fleet import Target, compute_decay_time_s
from thornlatch.gateway._settings import ForwardingSettings
from thornlatch.residency import Resident


class Step(Enum):
    """What has to happen next for a request to run at a target."""

    SEND = "send"
    AWAIT_LOAD = "await-load"
    AWAIT_PREFILL = "await-prompts"
    AWAIT_PLACE = "await-place"
    REQUEST_LOAD = "ask-load"


@dataclass(frozen=True)
class TargetOption:
    """A target with the estimated wait and cost of a request there.

    Parameters
    ----------
    target : Target
    step : Step
    wait_s : float
        Estimated seconds until the request begins to run.
    cost_s : float
        `wait_s` plus the penalties of the choice, in seconds.
    version : int
        Adapter version that the target must use; 0 for any.
    place_wait_s : float
        Part of the cost that is due to the target's pace, in seconds.
    """

    target: Target
    step: Step
    wait_s: float
    cost_s: float
    version: int = 0
    place_wait_s: float = 0.0


@dataclass(frozen=True)
class TargetState:
    """What this host knows about a target when it chooses one.

    Parameters
    ----------
    requests : int
        Requests of all hosts at the target, or those that it reported itself if they
        are more.
    prompt_tokens : float
        Prompt tokens that all hosts sent to the target recently, decayed by age.
    is_avoided : bool
        Whether the target failed recently.
    resident : Resident or None
        State of the request's adapter at the target; None if the target neither holds
        nor loads it.
    is_held : bool
        Whether the target has a live and responding holder, that is, a host that orders
        its adapters.
    in_transit : int
        Adapters that the target is loading or has queued for loading.
    was_resident : bool
        Whether the target held the adapter before and therefore loads it faster.
    place_wait_s : float
        Seconds until the target can begin to load another adapter.
    spread_s : float
        Addition to the cost by which hosts that choose at once differ.
    has_model : bool
        Whether the target holds the request's model; true for plain services.
    work_ratio : float
        How long work takes at the target, relative to the usual.
    pace_wait_s : float
        Seconds until this host may send a request to a target whose load is being
        raised; 0 if it may now.
    """

    requests: int
    prompt_tokens: float = 0.0
    is_avoided: bool = False
    resident: Resident | None = None
    is_held: bool = True
    in_transit: int = 0
    was_resident: bool = False
    place_wait_s: float = 0.0
    spread_s: float = 0.0
    has_model: bool = True
    work_ratio: float = 1.0
    pace_wait_s: float = 0.0


@dataclass(frozen=True)
class RequestRequirements:
    """What a request requires of a target, and the expected times of its service.

    Parameters
    ----------
    adapter : str
        Empty if the request needs none.
    version : int
        Lowest acceptable adapter version.
    failure_domain : str
        Failure domain of the host that received the request.
    excluded : frozenset of str
        Ids of targets where the request failed already.
    load_s : float
        Expected seconds of an adapter load.
    former_load_s : float
        Expected seconds of a load at a target that held the adapter before.
    service_s : float
        Mean seconds of a request at the service's targets.
    prefill_s : float
        Seconds that a target takes to read one prompt token.
    may_await_prefill : bool
        Whether the request may wait until the target has read the prompts sent before.
    prefill_limit_s : float
        Seconds of recent prompts at a target above which the request waits.
    work_s : float
        Expected seconds of the request at a target of the usual speed.
    left_s : float
        Seconds until the request's deadline.
    """

    adapter: str
    version: int
    failure_domain: str
    excluded: frozenset[str]
    load_s: float
    former_load_s: float
    service_s: float
    prefill_s: float = 0.0
    may_await_prefill: bool = False
    prefill_limit_s: float = 0.0
    work_s: float = 0.0
    left_s: float = math.inf


def list_options(
    targets: Sequence[Target],
    requirements: RequestRequirements,
    get_state: Callable[[Target], TargetState],
    settings: ForwardingSettings,
    *,
    preferred: Collection[str],
    now: float,
) -> list[TargetOption]:
    """Return the targets that can serve a request, sorted by cost.

    Parameters
    ----------
    targets : sequence of Target
        Targets of the service that accept new requests.
    requirements : RequestRequirements
    get_state : callable
        Returns the `TargetState` of a target.
    settings : ForwardingSettings
    preferred : collection of str
        Ids of targets that hold the adapter, are loading it or held it before. If one
        of them has it and a free slot, the other targets aren't examined.
    now : float

    Returns
    -------
    list of TargetOption
    """
    eligible = [target for target in targets if target.id not in requirements.excluded]
    states = {
        candidate.id: get_state(candidate)
        for candidate in eligible
        if candidate.id in preferred
    }
    has_free_slot = any(
        _has_free_slot(candidate, states[candidate.id], requirements)
        for candidate in eligible
        if candidate.id in states
    )
    if not has_free_slot:
        states |= {
            candidate.id: get_state(candidate)
            for candidate in eligible
            if candidate.id not in states
        }
    options = []
    for target in eligible:
        if target.id not in states:
            continue
        option = _estimate_option(
            target, states[target.id], requirements, settings, now
        )
        if option is None:
            continue
        is_fetch = (
            option.step is Step.REQUEST_LOAD and not states[target.id].was_resident
        )
        # The weight store is the bottleneck under load: fetching a second copy would
        # delay the loads that other requests wait for.
        if not (is_fetch and has_free_slot):
            options.append(option)
    return sorted(options, key=lambda option: option.cost_s)


def compute_home_rank(adapter: str, target: str) -> float:
    """Return the rank of a target for an adapter by rendezvous hashing.

    All hosts compute the same rank without exchanging messages. They therefore load
    an adapter at the same target and find it there again later.

    Parameters
    ----------
    adapter, target : str

    Returns
    -------
    float
        From 0 to 1; the target with the lowest rank is the adapter's first home.
    """
    return zlib.crc32(f"{adapter}@{target}".encode()) / (1 << 32)


def _has_free_slot(
    target: Target, state: TargetState, requirements: RequestRequirements
) -> bool:
    resident = state.resident
    return (
        resident is not None
        and not resident.is_queued
        and _is_sufficient(resident.version, requirements.version)
        and not state.is_avoided
        and not state.pace_wait_s
        and state.requests < target.slots
        and not _is_too_slow(state, requirements)
    )


def _is_too_slow(state: TargetState, requirements: RequestRequirements) -> bool:
    """Return whether a request wouldn't end in time because a target is slow now.

    One that wouldn't end in time at the usual speed either is no reason to avoid it.
    """
    work_s, left_s = requirements.work_s, requirements.left_s
    return work_s <= left_s < work_s * state.work_ratio


def _estimate_option(
    target: Target,
    state: TargetState,
    requirements: RequestRequirements,
    settings: ForwardingSettings,
    now: float,
) -> TargetOption | None:
    slots = max(target.slots, 1)
    queue_length = state.requests + 1 - slots
    ratio = state.work_ratio
    queue_s = max(queue_length, 0) * requirements.service_s * ratio / slots
    # A prompt waits for the prompts before it and then delays all streams of the
    # target.
    prefill_s = state.prompt_tokens * requirements.prefill_s * ratio
    cost_s = queue_s + state.requests / slots * settings.crowd_penalty_s * ratio
    cost_s += prefill_s * settings.prefill_ratio
    cost_s += (ratio - 1) * requirements.work_s * settings.slow_work_weight
    if _is_too_slow(state, requirements):
        cost_s += settings.too_slow_penalty_s
    if target.failure_domain != requirements.failure_domain:
        cost_s += settings.domain_penalty_s
    if state.is_avoided:
        cost_s += settings.avoid_limit_s
    place_wait_s = state.pace_wait_s
    cost_s += place_wait_s
    if not requirements.adapter:
        # A restarted engine holds nothing until its model is loaded again.
        if not state.has_model:
            return None
        step = Step.AWAIT_PLACE if place_wait_s else Step.SEND
        wait_s = max(queue_s, place_wait_s)
        cost_s += state.spread_s
        return TargetOption(target, step, wait_s, cost_s, place_wait_s=place_wait_s)
    resident = state.resident
    if resident is not None and _is_sufficient(resident.version, requirements.version):
        load_s = max(resident.ready_at - now, 0.0)
        if resident.is_queued:
            # Its load hasn't begun, however long ago it was expected to.
            load_s = max(load_s, _get_load_s(state, requirements))
        step = Step.AWAIT_LOAD if load_s > 0 else Step.SEND
        wait_s = max(load_s, queue_s)
        cost_s += wait_s - queue_s + state.spread_s
        if step is Step.SEND and place_wait_s:
            step, wait_s = Step.AWAIT_PLACE, max(wait_s, place_wait_s)
        if step is Step.SEND and requirements.may_await_prefill:
            prefill_wait_s = compute_decay_time_s(
                prefill_s, requirements.prefill_limit_s
            )
            if prefill_wait_s > 0:
                step = Step.AWAIT_PREFILL
                wait_s = max(wait_s, prefill_wait_s)
        return TargetOption(
            target, step, wait_s, cost_s, resident.version, place_wait_s
        )
    if not state.is_held:
        return None
    load_s = max(requirements.load_s * state.in_transit, state.place_wait_s)
    load_s += _get_load_s(state, requirements)
    if not state.was_resident:
        cost_s += settings.load_penalty_s
    wait_s = max(load_s, queue_s)
    cost_s += wait_s - queue_s
    home_penalty_s = settings.former_home_penalty_s
    if not state.was_resident:
        home_penalty_s = settings.home_penalty_s
    cost_s += compute_home_rank(requirements.adapter, target.id) * home_penalty_s
    # Without the spread: all hosts are to load an adapter at the same target.
    return TargetOption(
        target, Step.REQUEST_LOAD, wait_s, cost_s, place_wait_s=place_wait_s
    )


def _get_load_s(state: TargetState, requirements: RequestRequirements) -> float:
    return requirements.former_load_s if state.was_resident else requirements.load_s


def _is_sufficient(version: int, required_version: int) -> bool:
    return version >= required_version
