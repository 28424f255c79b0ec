"""Choice of the target and of the evicted version for a load."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

from thornlatch.placement._backoff import LoadBackoff
from thornlatch.placement._demand import DemandEstimate
from thornlatch.placement._orders import AdapterVersion, LoadNeed
from thornlatch.placement._settings import PlacementSettings
from thornlatch.placement._slots import TargetSlots


class PinReader(Protocol):
    """Reports which adapter versions may be in use."""

    def is_pinned(self, target: str, version: AdapterVersion) -> bool:
        """Return whether any host may use `version` on `target`."""


@dataclass(frozen=True)
class LoadSite:
    """Target for a load, and the version to evict for it.

    Parameters
    ----------
    target : str
    victim : AdapterVersion or None
        Version to evict first; None if a slot is known to be empty.
    """

    target: str
    victim: AdapterVersion | None


class SiteChooser:
    """Chooses the target for a load and the version to evict there.

    The cost of a site is the demand for its victim plus a small part of the target's
    demand per batch slot.

    Parameters
    ----------
    settings : PlacementSettings
    demand : DemandEstimate
    slots_by_target : dict of str to TargetSlots
    targets_by_version : dict of AdapterVersion to list of str
        Targets by resident version.
    backoff : LoadBackoff
    """

    def __init__(
        self,
        settings: PlacementSettings,
        demand: DemandEstimate,
        slots_by_target: dict[str, TargetSlots],
        targets_by_version: dict[AdapterVersion, list[str]],
        backoff: LoadBackoff,
    ) -> None:
        self.settings = settings
        self.demand = demand
        self.slots_by_target = slots_by_target
        self.targets_by_version = targets_by_version
        self.backoff = backoff
        self.slot_demands: dict[str, float] = {}
        self.slot_demands_at = -1.0

    def find_for_need(
        self,
        need: LoadNeed,
        pins: PinReader,
        candidates: Sequence[TargetSlots],
        waiting: frozenset[AdapterVersion],
        now: float,
    ) -> LoadSite | None:
        """Return the site with the lowest cost for a load that requests wait for."""
        copies = self._find_copies(need.version)
        if len(copies) >= self.settings.max_copies:
            return None
        usable = self._filter(need, candidates, now)
        return self._find_cheapest(usable, pins, waiting, copies, now)

    def find_for_prefetch(
        self,
        need: LoadNeed,
        pins: PinReader,
        candidates: Sequence[TargetSlots],
        now: float,
    ) -> LoadSite | None:
        """Return a site for a prefetch, or None if the gain is too small.

        A victim is evicted only if the gain exceeds `hysteresis` times its value.
        """
        copies = self._find_copies(need.version)
        domains = {slots.target.failure_domain for slots in copies}
        usable = [
            slots
            for slots in self._filter(need, candidates, now)
            if slots.target.failure_domain not in domains
        ]
        site = self._find_cheapest(usable, pins, frozenset(), copies, now)
        if site is None or site.victim is None:
            return site
        gain = self.demand.get_value(need.version, now)
        if copies:
            gain *= self.settings.spare_copy_value
        loss = self._get_value(site.victim, now)
        return site if gain > loss * self.settings.hysteresis else None

    def _find_copies(self, version: AdapterVersion) -> list[TargetSlots]:
        return [
            slots for slots in self.slots_by_target.values() if slots.may_hold(version)
        ]

    def _filter(
        self, need: LoadNeed, candidates: Iterable[TargetSlots], now: float
    ) -> list[TargetSlots]:
        return [
            slots
            for slots in candidates
            if slots.target.name not in need.excluded
            and not slots.may_hold(need.version)
            and self.backoff.may_try(need.version, slots.target.name, now)
        ]

    def _find_cheapest(
        self,
        candidates: Sequence[TargetSlots],
        pins: PinReader,
        waiting: frozenset[AdapterVersion],
        copies: Sequence[TargetSlots],
        now: float,
    ) -> LoadSite | None:
        domains = {slots.target.failure_domain for slots in copies}
        other_domains = [
            candidate
            for candidate in candidates
            if candidate.target.failure_domain not in domains
        ]
        usable = other_domains or candidates
        with_empty_slot = [slots for slots in usable if slots.count_empty() > 0]
        if with_empty_slot:
            least_loaded = min(
                with_empty_slot, key=lambda slots: self._get_slot_demand(slots, now)
            )
            return LoadSite(least_loaded.target.name, None)
        best: tuple[float, LoadSite] | None = None
        for slots in usable:
            found = self._find_victim(slots, pins, waiting, now)
            if found is None:
                continue
            victim, value = found
            cost = value + self.settings.heat_weight * self._get_slot_demand(slots, now)
            if best is None or cost < best[0]:
                best = (cost, LoadSite(slots.target.name, victim))
        return best[1] if best else None

    def _find_victim(
        self,
        slots: TargetSlots,
        pins: PinReader,
        waiting: frozenset[AdapterVersion],
        now: float,
    ) -> tuple[AdapterVersion, float] | None:
        name = slots.target.name
        best: tuple[AdapterVersion, float] | None = None
        for version in slots.resident:
            value = self._get_value(version, now)
            if best is not None and value >= best[1]:
                continue
            if version not in waiting and not pins.is_pinned(name, version):
                best = (version, value)
        return best

    def _get_value(self, version: AdapterVersion, now: float) -> float:
        value = self.demand.get_value(version, now)
        is_spare = len(self.targets_by_version.get(version, ())) > 1
        return value * self.settings.spare_copy_value if is_spare else value

    def _get_slot_demand(self, slots: TargetSlots, now: float) -> float:
        if now != self.slot_demands_at:
            self.slot_demands.clear()
            self.slot_demands_at = now
        slot_demand = self.slot_demands.get(slots.target.name)
        if slot_demand is None:
            rates = (self.demand.get_rate(version, now) for version in slots.resident)
            slot_demand = sum(rates) / slots.target.batch_slots
            self.slot_demands[slots.target.name] = slot_demand
        return slot_demand
