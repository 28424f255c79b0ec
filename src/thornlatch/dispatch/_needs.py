"""Selection of the adapter loads that waiting requests need."""

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
    """Return the loads that waiting requests need, most urgent first.

    Organisations are ordered by the loads already made for them, divided by their
    weights; within one, the version whose requests have the greatest urgency comes
    first.

    Parameters
    ----------
    queue : RequestQueue
    placement : Placement
    shares : FairShares
        Counts loads.
    settings : DispatchSettings
    is_open : callable
        Returns whether a target takes new work.
    now : float
        Seconds.

    Returns
    -------
    list of LoadNeed
    """
    needs = []
    loading = placement.list_loading()
    for version, backlog in queue.backlogs.items():
        if version in loading:
            continue
        targets = {name for name in placement.get_targets(version) if is_open(name)}
        if _needs_load(queue, placement, version, backlog, targets, now):
            needs.append(_make_need(queue, version, backlog, targets, settings, now))
    needs.sort(
        key=lambda need: (shares.get_tag(need.organisation), -need.weight, need.version)
    )
    return needs


def _needs_load(
    queue: RequestQueue,
    placement: Placement,
    version: AdapterVersion,
    backlog: VersionBacklog,
    targets: set[str],
    now: float,
) -> bool:
    if not targets or backlog.get_mean_wait_s(now) >= placement.settings.copy_wait_s:
        return True
    if not backlog.excluding_count:
        return False
    waiting = queue.iter_version(version)
    return any(targets <= set(request.spec.excluded) for request in waiting)


def _make_need(
    queue: RequestQueue,
    version: AdapterVersion,
    backlog: VersionBacklog,
    targets: set[str],
    settings: DispatchSettings,
    now: float,
) -> LoadNeed:
    first = queue.get_first(version)
    return LoadNeed(
        version,
        first.spec.organisation,
        backlog.get_urgency(settings.batch_aging_s, now),
        is_copy=bool(targets),
        excluded=frozenset(first.spec.excluded),
    )
