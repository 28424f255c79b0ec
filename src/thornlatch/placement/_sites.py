"""Choice of the target and the victim for a load."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

from thornlatch.placement._backoff import LoadBackoff
from thornlatch.placement._demand import DemandEstimate
from thornlatch.placement._memory import TargetSlots
from thornlatch.placement._orders import AdapterVersion, LoadNeed
from thornlatch.placement._settings import PlacementSettings


class PinReader(Protocol):
    """Tells which adapter versions may be in use."""

    def is_pinned(self, target: str, version: AdapterVersion) -> bool:
        """Return whether any host may use `version` on `target`."""


@dataclass(frozen=True)
class Site:
    """Place for a load.

    Parameters
    ----------
    target : str
    victim : AdapterVersion or None
        Version to evict first; None if a slot is known to be empty.
    """

    target: str
    victim: AdapterVersion | None


class SiteChooser:
    """Chooses where to load, and what to give up for it.

    The cost of a site is the demand of its victim, plus a small price for targets that
    carry much demand already.

    Parameters
    ----------
    settings : PlacementSettings
    demand : DemandEstimate
    memories : dict of str to TargetSlots
    holders : dict of AdapterVersion to list of str
        Targets by resident version.
    backoff : LoadBackoff
    """

    def __init__(
        self,
        settings: PlacementSettings,
        demand: DemandEstimate,
        memories: dict[str, TargetSlots],
        holders: dict[AdapterVersion, list[str]],
        backoff: LoadBackoff,
    ) -> None:
        self.settings = settings
        self.demand = demand
        self.memories = memories
        self.holders = holders
        self.backoff = backoff
        self.heats: dict[str, float] = {}
        self.heats_at = -1.0

    def find_for_need(
        self,
        need: LoadNeed,
        pins: PinReader,
        memories: Sequence[TargetSlots],
        waiting: frozenset[AdapterVersion],
        now: float,
    ) -> Site | None:
        """Return the cheapest place for a load that requests wait for."""
        holders = self._find_holders(need.version)
        if len(holders) >= self.settings.max_copies:
            return None
        usable = self._filter(need, memories, now)
        return self._find_cheapest(usable, pins, waiting, holders, now)

    def find_for_prefetch(
        self,
        need: LoadNeed,
        pins: PinReader,
        memories: Sequence[TargetSlots],
        now: float,
    ) -> Site | None:
        """Return a place for a load that nobody waits for, if it's worth it."""
        holders = self._find_holders(need.version)
        domains = {memory.target.failure_domain for memory in holders}
        usable = [
            memory
            for memory in self._filter(need, memories, now)
            if memory.target.failure_domain not in domains
        ]
        site = self._find_cheapest(usable, pins, frozenset(), holders, now)
        if site is None or site.victim is None:
            return site
        gain = self.demand.get_value(need.version, now)
        if holders:
            gain *= self.settings.spare_copy_value
        loss = self._get_value(site.victim, now)
        return site if gain > loss * self.settings.hysteresis else None

    def _find_holders(self, version: AdapterVersion) -> list[TargetSlots]:
        return [
            memory for memory in self.memories.values() if memory.has_trace(version)
        ]

    def _filter(
        self, need: LoadNeed, memories: Iterable[TargetSlots], now: float
    ) -> list[TargetSlots]:
        return [
            memory
            for memory in memories
            if memory.target.name not in need.excluded
            and not memory.has_trace(need.version)
            and self.backoff.may_try(need.version, memory.target.name, now)
        ]

    def _find_cheapest(
        self,
        memories: Sequence[TargetSlots],
        pins: PinReader,
        waiting: frozenset[AdapterVersion],
        holders: Sequence[TargetSlots],
        now: float,
    ) -> Site | None:
        domains = {memory.target.failure_domain for memory in holders}
        others = [m for m in memories if m.target.failure_domain not in domains]
        usable = others or memories
        empty = [memory for memory in usable if memory.count_empty() > 0]
        if empty:
            coolest = min(empty, key=lambda memory: self._get_heat(memory, now))
            return Site(coolest.target.name, None)
        best: tuple[float, Site] | None = None
        for memory in usable:
            found = self._find_victim(memory, pins, waiting, now)
            if found is None:
                continue
            victim, value = found
            cost = value + self.settings.heat_weight * self._get_heat(memory, now)
            if best is None or cost < best[0]:
                best = (cost, Site(memory.target.name, victim))
        return best[1] if best else None

    def _find_victim(
        self,
        memory: TargetSlots,
        pins: PinReader,
        waiting: frozenset[AdapterVersion],
        now: float,
    ) -> tuple[AdapterVersion, float] | None:
        name = memory.target.name
        best: tuple[AdapterVersion, float] | None = None
        for version in memory.resident:
            value = self._get_value(version, now)
            if best is not None and value >= best[1]:
                continue
            if version not in waiting and not pins.is_pinned(name, version):
                best = (version, value)
        return best

    def _get_value(self, version: AdapterVersion, now: float) -> float:
        value = self.demand.get_value(version, now)
        is_spare = len(self.holders.get(version, ())) > 1
        return value * self.settings.spare_copy_value if is_spare else value

    def _get_heat(self, memory: TargetSlots, now: float) -> float:
        if now != self.heats_at:
            self.heats.clear()
            self.heats_at = now
        heat = self.heats.get(memory.target.name)
        if heat is None:
            rates = (self.demand.get_rate(version, now) for version in memory.resident)
            heat = sum(rates) / memory.target.batch_slots
            self.heats[memory.target.name] = heat
        return heat
