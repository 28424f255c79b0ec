"""Which target a request goes to, and what has to be loaded there before.

Every host decides alone, from the requests that all hosts say they have at each target;
no request waits for another host's word.
"""

import zlib
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from enum import Enum

from thornlatch.fleet import Target, compute_decay_time_s
from thornlatch.gateway._settings import ForwardingSettings
from thornlatch.residency import Resident


class Step(Enum):
    """What comes next for a request."""

    SEND = "send"
    AWAIT_LOAD = "await-load"
    AWAIT_PROMPTS = "await-prompts"
    ASK_LOAD = "ask-load"


@dataclass(frozen=True)
class Option:
    """A target with the time that a request would wait there.

    Parameters
    ----------
    target : Target
    step : Step
    wait_s : float
        Estimated seconds until the request begins to run.
    cost_s : float
        The same with what the choice costs besides.
    version : int
        Adapter version to insist on; 0 for any.
    """

    target: Target
    step: Step
    wait_s: float
    cost_s: float
    version: int = 0


@dataclass(frozen=True)
class TargetState:
    """What is known of a target when a choice is made.

    Parameters
    ----------
    requests : int
        Requests of all hosts there.
    prompts : float
        Prompt tokens that all hosts sent to it lately.
    is_avoided : bool
        Whether it failed lately.
    resident : Resident or None
        The adapter's state there.
    is_held : bool
        Whether a host that is heard of orders its adapters.
    in_transit : int
        Adapters on their way to it.
    was_resident : bool
        Whether it held the adapter before, and so loads it faster.
    """

    requests: int
    prompts: float = 0.0
    is_avoided: bool = False
    resident: Resident | None = None
    is_held: bool = True
    in_transit: int = 0
    was_resident: bool = False


@dataclass(frozen=True)
class Demand:
    """What a request needs of a target.

    Parameters
    ----------
    adapter : str
        Empty if none.
    version : int
        Lowest adapter version that will do.
    failure_domain : str
        Where the request came in.
    excluded : frozenset of str
        Targets that have failed it.
    load_s : float
        Seconds that a load is expected to take.
    former_load_s : float
        The same at a target that held the adapter before.
    service_s : float
        Mean seconds of a request at the service's targets.
    prefill_s : float
        Seconds that a target takes for a prompt token.
    may_pace : bool
        Whether the request may wait until a target has read the prompts before it.
    """

    adapter: str
    version: int
    failure_domain: str
    excluded: frozenset[str]
    load_s: float
    former_load_s: float
    service_s: float
    prefill_s: float = 0.0
    may_pace: bool = False


def list_options(
    targets: Sequence[Target],
    demand: Demand,
    get_state: Callable[[Target], TargetState],
    settings: ForwardingSettings,
    *,
    likely: Collection[str],
    now: float,
) -> list[Option]:
    """Return the ways to serve a request, the best first.

    Parameters
    ----------
    targets : sequence of Target
        Those that take new work.
    demand : Demand
    get_state : callable
    settings : ForwardingSettings
    likely : collection of str
        Targets that hold the adapter or did before. If one of them has room, the
        others, which would have to fetch it, aren't looked at.
    now : float

    Returns
    -------
    list of Option
    """
    able = [target for target in targets if target.id not in demand.excluded]
    states = {one.id: get_state(one) for one in able if one.id in likely}
    has_room = any(
        _has_room(one, states[one.id], demand) for one in able if one.id in states
    )
    if not has_room:
        states |= {one.id: get_state(one) for one in able if one.id not in states}
    options = []
    for target in able:
        if target.id not in states:
            continue
        option = _rate(target, states[target.id], demand, settings, now)
        if option is None:
            continue
        is_fetch = option.step is Step.ASK_LOAD and not states[target.id].was_resident
        # The weight store is the bottleneck when much is asked for: a second copy
        # would delay what others wait for.
        if not (is_fetch and has_room):
            options.append(option)
    return sorted(options, key=lambda option: option.cost_s)


def rank_home(adapter: str, target: str) -> float:
    """Return a target's place, from 0 to 1, among the homes of an adapter.

    All hosts agree on it without a word, so that they load an adapter at one target
    and find it again where it was before.

    Parameters
    ----------
    adapter, target : str

    Returns
    -------
    float
    """
    return zlib.crc32(f"{adapter}@{target}".encode()) / (1 << 32)


def _has_room(target: Target, state: TargetState, demand: Demand) -> bool:
    resident = state.resident
    return (
        resident is not None
        and _will_do(resident.version, demand.version)
        and not state.is_avoided
        and state.requests < target.slots
    )


def _rate(
    target: Target,
    state: TargetState,
    demand: Demand,
    settings: ForwardingSettings,
    now: float,
) -> Option | None:
    slots = max(target.slots, 1)
    over = state.requests + 1 - slots
    queue_s = max(over, 0) * demand.service_s / slots
    # A prompt waits for those before it and then delays all streams of the target.
    prefill_s = state.prompts * demand.prefill_s
    cost_s = queue_s + state.requests / slots * settings.crowd_penalty_s
    cost_s += prefill_s * settings.prefill_ratio
    if target.failure_domain != demand.failure_domain:
        cost_s += settings.domain_penalty_s
    if state.is_avoided:
        cost_s += settings.avoid_limit_s
    if not demand.adapter:
        return Option(target, Step.SEND, queue_s, cost_s)
    resident = state.resident
    if resident is not None and _will_do(resident.version, demand.version):
        load_s = max(resident.ready_at - now, 0.0)
        step = Step.AWAIT_LOAD if load_s > 0 else Step.SEND
        wait_s = max(load_s, queue_s)
        cost_s += wait_s - queue_s
        if step is Step.SEND and demand.may_pace:
            pace_s = compute_decay_time_s(prefill_s, settings.prefill_limit_s)
            if pace_s > 0:
                step = Step.AWAIT_PROMPTS
                wait_s = max(wait_s, pace_s)
        return Option(target, step, wait_s, cost_s, resident.version)
    if not state.is_held:
        return None
    load_s = demand.load_s * state.in_transit
    if state.was_resident:
        load_s += demand.former_load_s
    else:
        load_s += demand.load_s
        cost_s += settings.load_penalty_s
    wait_s = max(load_s, queue_s)
    cost_s += wait_s - queue_s
    home_s = settings.former_home_penalty_s
    if not state.was_resident:
        home_s = settings.home_penalty_s
    cost_s += rank_home(demand.adapter, target.id) * home_s
    return Option(target, Step.ASK_LOAD, wait_s, cost_s)


def _will_do(version: int, lowest: int) -> bool:
    return version >= lowest
