"""Which versions deserve a prefetch: lost favourites and second copies."""

from collections.abc import Iterator, Sequence

from thornlatch.placement._demand import DemandEstimate
from thornlatch.placement._memory import TargetSlots
from thornlatch.placement._orders import AdapterVersion, LoadNeed
from thornlatch.placement._settings import PlacementSettings


def find_copies(
    settings: PlacementSettings,
    demand: DemandEstimate,
    memories: Sequence[TargetSlots],
    now: float,
) -> Iterator[LoadNeed]:
    """Iterate over versions worth a prefetch, best first.

    Parameters
    ----------
    settings : PlacementSettings
    demand : DemandEstimate
    memories : sequence of TargetSlots
        Targets that take loads.
    now : float

    Yields
    ------
    LoadNeed
    """
    slots = sum(memory.target.adapter_slots for memory in memories)
    domains = {memory.target.failure_domain for memory in memories}
    copies_left = int(slots * settings.copy_slots_ratio)
    held_domains = _find_domains(memories)
    for version in demand.iter_top(slots, now):
        rate = demand.get_rate(version, now)
        held = held_domains.get(version, ())
        if not held:
            yield LoadNeed(version, "", rate)
            continue
        if copies_left <= 0 or rate < settings.copy_demand_per_s:
            continue
        copies_left -= 1
        if len(held) == 1 and len(domains) > 1:
            yield LoadNeed(version, "", rate * settings.spare_copy_value, is_copy=True)


def _find_domains(
    memories: Sequence[TargetSlots],
) -> dict[AdapterVersion, set[str]]:
    domains: dict[AdapterVersion, set[str]] = {}
    for memory in memories:
        for version in memory.iter_traces():
            domains.setdefault(version, set()).add(memory.target.failure_domain)
    return domains
