"""Choice of the target for a request and of the request for a free slot."""

from collections.abc import Callable, Iterable
from random import Random

from thornlatch.dispatch._fairness import FairShares
from thornlatch.dispatch._prefixes import PrefixMap
from thornlatch.dispatch._queue import RequestQueue, WaitingRequest
from thornlatch.dispatch._settings import DispatchSettings
from thornlatch.dispatch._targets import TargetState
from thornlatch.placement import AdapterVersion


def choose_target(
    waiting: WaitingRequest,
    states: Iterable[TargetState],
    prefixes: PrefixMap,
    settings: DispatchSettings,
    random: Random,
    now: float,
) -> TargetState | None:
    """Return the least loaded target, with a bonus for a probable prefix hit.

    Parameters
    ----------
    waiting : WaitingRequest
    states : iterable of TargetState
        Targets that can run the request.
    prefixes : PrefixMap
    settings : DispatchSettings
    random : random.Random
        Breaks ties.
    now : float

    Returns
    -------
    TargetState or None
        None if no target has a free slot.
    """
    cached = prefixes.get_target(waiting.spec.prefix)
    best: tuple[float, float, TargetState] | None = None
    for state in states:
        name = state.target.name
        if name in waiting.spec.excluded or state.count_free(now) <= 0:
            continue
        load = len(state.grants) / state.target.batch_slots * state.slowness
        if name == cached:
            load -= settings.prefix_bonus
        rank = (load, random.random(), state)
        if best is None or rank[:2] < best[:2]:
            best = rank
    return best[2] if best else None


def choose_request(
    queue: RequestQueue,
    versions: Iterable[AdapterVersion],
    shares: FairShares,
    may_run: Callable[[WaitingRequest], bool],
) -> WaitingRequest | None:
    """Return the request that is next for a free slot of a target.

    Parameters
    ----------
    queue : RequestQueue
    versions : iterable of AdapterVersion
        Versions that may be used on the target.
    shares : FairShares
    may_run : callable
        Whether the target may run a request.

    Returns
    -------
    WaitingRequest or None
    """
    best: tuple[float, float, WaitingRequest] | None = None
    for version in versions:
        if version not in queue.lines:
            continue
        for waiting in queue.iter_heads(version, may_run):
            tag = shares.get_tag(waiting.spec.organisation)
            if best is None or (tag, waiting.order) < best[:2]:
                best = (tag, waiting.order, waiting)
    return best[2] if best else None
