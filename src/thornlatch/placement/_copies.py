"""Choice of versions to prefetch: versions in demand without a copy, second copies."""

from collections.abc import Iterator, Sequence

from thornlatch.placement._demand import DemandEstimate
from thornlatch.placement._orders import AdapterVersion, LoadNeed
from thornlatch.placement._settings import PlacementSettings
from thornlatch.placement._slots import TargetSlots


def iter_prefetch_needs(
    settings: PlacementSettings,
    demand: DemandEstimate,
    candidates: Sequence[TargetSlots],
    now: float,
) -> Iterator[LoadNeed]:
    """Iterate over versions to prefetch, most useful first.

    Parameters
    ----------
    settings : PlacementSettings
    demand : DemandEstimate
    candidates : sequence of TargetSlots
        Slots of the targets that accept loads.
    now : float

    Yields
    ------
    LoadNeed
    """
    slot_count = sum(slots.target.adapter_slots for slots in candidates)
    pool_domains = {slots.target.failure_domain for slots in candidates}
    copies_left = int(slot_count * settings.copy_slots_ratio)
    domains_by_version = _find_domains(candidates)
    for version in demand.list_top(slot_count, now):
        rate = demand.get_rate(version, now)
        domains_with_copy = domains_by_version.get(version, ())
        if not domains_with_copy:
            yield LoadNeed(version, "", rate)
            continue
        if copies_left <= 0 or rate < settings.copy_demand_per_s:
            continue
        copies_left -= 1
        if len(domains_with_copy) == 1 and len(pool_domains) > 1:
            yield LoadNeed(version, "", rate * settings.spare_copy_value, is_copy=True)


def _find_domains(
    candidates: Sequence[TargetSlots],
) -> dict[AdapterVersion, set[str]]:
    domains: dict[AdapterVersion, set[str]] = {}
    for slots in candidates:
        for version in slots.iter_possible_versions():
            domains.setdefault(version, set()).add(slots.target.failure_domain)
    return domains
