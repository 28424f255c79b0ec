"""Which loads the waiting requests need, most urgent first."""

from collections.abc import Callable

from thornlatch.dispatch._fairness import FairShares
from thornlatch.dispatch._messages import Priority
from thornlatch.dispatch._queue import RequestQueue, WaitingRequest
from thornlatch.dispatch._settings import DispatchSettings
from thornlatch.placement import AdapterVersion, LoadNeed, Placement

BATCH_WEIGHT = 0.1


def find_needs(
    queue: RequestQueue,
    placement: Placement,
    shares: FairShares,
    settings: DispatchSettings,
    is_open: Callable[[str], bool],
    now: float,
) -> list[LoadNeed]:
    """Return the loads that would end a wait, most urgent first.

    Organisations take turns by the loads made for them; within one the load that ends
    the most waiting goes first.

    Parameters
    ----------
    queue : RequestQueue
    placement : Placement
    shares : FairShares
        Counts loads.
    settings : DispatchSettings
    is_open : callable
        Whether a target takes new work.
    now : float

    Returns
    -------
    list of LoadNeed
    """
    needs = []
    for version in queue.lines:
        if placement.is_loading(version):
            continue
        targets = {name for name in placement.get_targets(version) if is_open(name)}
        need = _find_need(queue, placement, version, targets, settings, now)
        if need is not None:
            needs.append(need)
    needs.sort(
        key=lambda need: (shares.get_tag(need.organisation), -need.weight, need.version)
    )
    return needs


def _find_need(
    queue: RequestQueue,
    placement: Placement,
    version: AdapterVersion,
    targets: set[str],
    settings: DispatchSettings,
    now: float,
) -> LoadNeed | None:
    copy_wait_s = placement.settings.copy_wait_s
    blocked = [
        waiting
        for waiting in queue.iter_version(version)
        if targets <= set(waiting.spec.excluded)
        or now - waiting.arrived_at >= copy_wait_s
    ]
    if not blocked:
        return None
    first = min(blocked, key=lambda waiting: waiting.order)
    weight = sum(_weigh(waiting, settings, now) for waiting in blocked)
    return LoadNeed(
        version,
        first.spec.organisation,
        weight,
        is_copy=bool(targets),
        excluded=frozenset(first.spec.excluded),
    )


def _weigh(waiting: WaitingRequest, settings: DispatchSettings, now: float) -> float:
    is_batch = waiting.spec.priority is Priority.BATCH
    base = BATCH_WEIGHT if is_batch else 1.0
    return base * (1.0 + (now - waiting.arrived_at) / settings.batch_aging_s * 10.0)
