"""Which loads the waiting requests need, most urgent first."""

from collections.abc import Callable

from thornlatch.dispatch._fairness import FairShares
from thornlatch.dispatch._queue import RequestQueue, VersionBacklog
from thornlatch.dispatch._settings import DispatchSettings
from thornlatch.placement import AdapterVersion, LoadNeed, Placement


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
    loading = placement.list_loading()
    for version, wait in queue.backlogs.items():
        if version in loading:
            continue
        targets = {name for name in placement.get_targets(version) if is_open(name)}
        if _is_blocked(queue, placement, version, wait, targets, now):
            needs.append(_make_need(queue, version, wait, targets, settings, now))
    needs.sort(
        key=lambda need: (shares.get_tag(need.organisation), -need.weight, need.version)
    )
    return needs


def _is_blocked(
    queue: RequestQueue,
    placement: Placement,
    version: AdapterVersion,
    wait: VersionBacklog,
    targets: set[str],
    now: float,
) -> bool:
    if not targets or wait.get_age(now) >= placement.settings.copy_wait_s:
        return True
    if not wait.excluding:
        return False
    waiting = queue.iter_version(version)
    return any(targets <= set(entry.spec.excluded) for entry in waiting)


def _make_need(
    queue: RequestQueue,
    version: AdapterVersion,
    wait: VersionBacklog,
    targets: set[str],
    settings: DispatchSettings,
    now: float,
) -> LoadNeed:
    first = queue.get_first(version)
    return LoadNeed(
        version,
        first.spec.organisation,
        wait.get_urgency(settings.batch_aging_s, now),
        is_copy=bool(targets),
        excluded=frozenset(first.spec.excluded),
    )
