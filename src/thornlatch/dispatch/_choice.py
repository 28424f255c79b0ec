"""Selection of a target for a request, and of a request for a free slot."""

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
    """Return the least loaded target, with a bonus for a probable prefix cache hit.

    The load is the share of granted batch slots times the target's slowness.

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
        Seconds.

    Returns
    -------
    TargetState or None
        None if no target that the request may use has a free slot.
    """
    cached_on = prefixes.get_target(waiting.spec.prefix)
    best: tuple[float, float, TargetState] | None = None
    for state in states:
        name = state.target.name
        if name in waiting.spec.excluded or state.count_free(now) <= 0:
            continue
        load = len(state.grants) / state.target.batch_slots * state.slowness
        if name == cached_on:
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
    """Return the request to serve next on a target with a free slot.

    The organisation with the lowest tag comes first, then the lowest rank.

    Parameters
    ----------
    queue : RequestQueue
    versions : iterable of AdapterVersion
        Versions that may be used on the target.
    shares : FairShares
        Counts tokens.
    may_run : callable
        Returns whether the target may run a request.

    Returns
    -------
    WaitingRequest or None
        None if no queued request may run on the target.
    """
    best: tuple[float, float, WaitingRequest] | None = None
    for version in versions:
        if version not in queue.by_version:
            continue
        for waiting in queue.iter_first_runnable(version, may_run):
            tag = shares.get_tag(waiting.spec.organisation)
            if best is None or (tag, waiting.rank) < best[:2]:
                best = (tag, waiting.rank, waiting)
    return best[2] if best else None
