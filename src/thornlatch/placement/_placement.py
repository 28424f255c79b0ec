"""Decisions on loads and evictions of one pool."""

from collections.abc import Callable, Iterable, Iterator, Sequence
from random import Random

from thornlatch.configuration import Pool, Target
from thornlatch.core import Action, Emit, Event, Order
from thornlatch.placement._backoff import LoadBackoff
from thornlatch.placement._budget import LoadBudget
from thornlatch.placement._copies import find_copies
from thornlatch.placement._demand import DemandEstimate
from thornlatch.placement._memory import OpenOrder, TargetSlots
from thornlatch.placement._orders import (
    AdapterVersion,
    EvictAdapter,
    LoadAdapter,
    LoadNeed,
)
from thornlatch.placement._settings import PlacementSettings
from thornlatch.placement._sites import PinReader, Site, SiteChooser

BUDGET_RETRY_S = 0.04


class Placement:
    """Places adapter versions on the targets of one pool.

    Parameters
    ----------
    settings : PlacementSettings
    pool : Pool
    random : random.Random
    get_weight : callable
        Weight of an organisation by name.
    is_known : callable
        Whether an adapter is in the inventory; others aren't prefetched.
    """

    def __init__(
        self,
        settings: PlacementSettings,
        pool: Pool,
        *,
        random: Random,
        get_weight: Callable[[str], float] = lambda name: 1.0,
        is_known: Callable[[str], bool] = lambda adapter: True,
    ) -> None:
        self.settings = settings
        self.pool = pool
        self.is_known = is_known
        self.demand = DemandEstimate(
            settings.demand_half_life_s,
            settings.recent_half_life_s,
            settings.recent_weight,
            get_weight,
        )
        self.backoff = LoadBackoff(settings, random)
        self.memories: dict[str, TargetSlots] = {}
        self.closed: set[str] = set()
        self.holders: dict[AdapterVersion, list[str]] = {}
        self.on_demand: set[tuple[str, AdapterVersion]] = set()
        self.plans: dict[AdapterVersion, Site] = {}
        self.prefetch_at = 0.0
        self.blocked_until = 0.0
        self.prefetching: set[tuple[str, AdapterVersion]] = set()
        self.sites = SiteChooser(
            settings, self.demand, self.memories, self.holders, self.backoff
        )

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Take the targets in force; memories of known ones are kept.

        Parameters
        ----------
        targets : iterable of Target
        """
        known = {target.name: target for target in targets}
        for name in [name for name in self.memories if name not in known]:
            del self.memories[name]
            self.closed.discard(name)
            self.backoff.forget_target(name)
        for name, target in known.items():
            memory = self.memories.setdefault(name, TargetSlots(target))
            memory.target = target
        self._index()

    def set_open(self, target: str, *, is_open: bool) -> None:
        """Say whether loads may go to `target`: it's neither leaving nor failed."""
        if is_open:
            self.closed.discard(target)
        else:
            self.closed.add(target)

    def note_demand(
        self, version: AdapterVersion, organisation: str, *, now: float
    ) -> None:
        """Count one request of `organisation` for `version`."""
        self.demand.add(version, organisation, now)

    def note_loaded(
        self,
        target: str,
        versions: Iterable[AdapterVersion],
        *,
        incarnation: str,
        snapshot_at: float,
    ) -> None:
        """Merge a target's list of loaded versions.

        Parameters
        ----------
        target : str
        versions : iterable of AdapterVersion
        incarnation : str
            Identifies the life of the target's process.
        snapshot_at : float
            Time at which the list was asked for, seconds.
        """
        memory = self.memories.get(target)
        if memory is None:
            return
        if memory.incarnation not in (None, incarnation):
            self.backoff.forget_target(target)
        memory.apply_report(versions, incarnation, snapshot_at)
        self._index()

    def note_missing(self, target: str, version: AdapterVersion, *, now: float) -> None:
        """Note that `target` answered that it hasn't loaded `version`."""
        memory = self.memories.get(target)
        if memory is not None:
            memory.forget_resident(version, now)
            self._index()

    def note_unsettled_order(
        self, target: str, version: AdapterVersion, settled_at: float
    ) -> None:
        """Note an earlier owner's order that `target` may still carry out.

        Parameters
        ----------
        target : str
        version : AdapterVersion
        settled_at : float
            Time after which the target doesn't begin it any more, seconds.
        """
        memory = self.memories.get(target)
        if memory is not None:
            memory.doubt(version, settled_at)
            self._index()

    def iter_open_orders(self) -> Iterator[tuple[str, OpenOrder]]:
        """Iterate over targets and their orders without a known result."""
        for name, memory in self.memories.items():
            for orders in (memory.loading, memory.evicting, memory.unsure):
                for order in orders.values():
                    yield name, order

    def note_order_result(
        self,
        target: str,
        order: LoadAdapter | EvictAdapter,
        *,
        ok: bool,
        is_certain: bool,
        budget: LoadBudget,
        now: float,
    ) -> list[Action]:
        """Note what became of an order.

        Parameters
        ----------
        target : str
        order : LoadAdapter or EvictAdapter
        ok : bool
            Whether the target said that it has done it.
        is_certain : bool
            Whether `ok` is the target's own answer; otherwise its list decides.
        budget : LoadBudget
        now : float

        Returns
        -------
        list of Action
        """
        memory = self.memories.get(target)
        version = AdapterVersion(order.adapter, order.version)
        is_load = isinstance(order, LoadAdapter)
        if is_load:
            self._end_budget(target, version, budget, now)
        if memory is None:
            return []
        if not is_certain:
            memory.lose_result(version)
            return [_emit("placement.result_lost", target, version, order.epoch)]
        end = memory.end_load if is_load else memory.end_eviction
        is_open = end(version, ok=ok, now=now)
        if is_load and ok:
            self.backoff.note_success(version)
        elif is_load and is_open:
            self.backoff.note_failure(version, target, now)
        self._index()
        name = "placement.loaded" if is_load else "placement.evicted"
        return [_emit(name if ok else f"{name}_not", target, version, order.epoch)]

    def mark_target_down(self, target: str) -> None:
        """Note that a target answers no more; its list must be read again."""
        memory = self.memories.get(target)
        if memory is None:
            return
        for version in [*memory.loading, *memory.evicting]:
            memory.lose_result(version)
        memory.read_at = None
        self._index()

    def close(self, budget: LoadBudget, *, now: float) -> None:
        """Give the rights of all loads in flight back to the budget."""
        for target, version in [*self.on_demand, *self.prefetching]:
            self._end_budget(target, version, budget, now)

    def get_targets(self, version: AdapterVersion) -> list[str]:
        """Return the targets on which `version` may be used."""
        return self.holders.get(version, [])

    def get_resident(self, target: str) -> Iterable[AdapterVersion]:
        """Return the versions that may be used on `target`."""
        memory = self.memories.get(target)
        return memory.resident if memory is not None and memory.is_read else ()

    def list_loading(self) -> set[AdapterVersion]:
        """Return the versions whose load is under way on some target."""
        return {
            version for memory in self.memories.values() for version in memory.loading
        }

    def decide(
        self,
        needs: Sequence[LoadNeed],
        pins: PinReader,
        budget: LoadBudget,
        *,
        epoch: int,
        now: float,
    ) -> list[Action]:
        """Order the loads and evictions that are due.

        Parameters
        ----------
        needs : sequence of LoadNeed
            Most urgent first.
        pins : PinReader
        budget : LoadBudget
        epoch : int
            Fencing number of the orders.
        now : float

        Returns
        -------
        list of Action
        """
        actions = self._expire_orders(budget, now)
        self._drop_plans()
        waiting = frozenset(need.version for need in needs)
        loading = self.list_loading()
        for need in needs:
            if need.version in self.plans or need.version in loading:
                continue
            site = self.sites.find_for_need(
                need, pins, self._open_targets(), waiting, now
            )
            if site is None:
                continue
            if site.victim is not None:
                if len(self.plans) >= self.settings.eviction_lead:
                    break
                self.plans[need.version] = site
                actions.append(self._evict(site, epoch, now))
                continue
            if not budget.try_acquire(now):
                self.blocked_until = now + BUDGET_RETRY_S
                break
            actions.append(self._load(site, need.version, epoch, now))
            self.on_demand.add((site.target, need.version))
        if not needs:
            actions += self._prefetch(pins, budget, epoch, now)
        return actions

    def _drop_plans(self) -> None:
        for version, site in list(self.plans.items()):
            memory = self.memories.get(site.target)
            if memory is None or site.victim not in memory.evicting:
                del self.plans[version]

    def _open_targets(self) -> list[TargetSlots]:
        return [
            memory
            for name, memory in self.memories.items()
            if memory.is_read and name not in self.closed
        ]

    def _prefetch(
        self, pins: PinReader, budget: LoadBudget, epoch: int, now: float
    ) -> list[Action]:
        if self.on_demand or len(self.prefetching) >= self.settings.prefetch_loads:
            return []
        if now < self.prefetch_at:
            return []
        self.prefetch_at = now + self.settings.prefetch_interval_s
        memories = self._open_targets()
        loading = self.list_loading()
        for need in find_copies(self.settings, self.demand, memories, now):
            if need.version in loading or not self.is_known(need.version.adapter):
                continue
            site = self.sites.find_for_prefetch(need, pins, memories, now)
            if site is None:
                continue
            if site.victim is not None:
                return [self._evict(site, epoch, now)]
            if not budget.try_acquire(now):
                return []
            self.prefetching.add((site.target, need.version))
            return [self._load(site, need.version, epoch, now)]
        return []

    def _load(
        self, site: Site, version: AdapterVersion, epoch: int, now: float
    ) -> Action:
        limit_s = self.settings.order_limit_s
        settled_at = now + limit_s + self.settings.load_limit_s
        self.memories[site.target].begin_load(version, settled_at)
        order = LoadAdapter(version.adapter, version.version, epoch, limit_s)
        return Order(site.target, order)

    def _evict(self, site: Site, epoch: int, now: float) -> Action:
        assert site.victim is not None
        limit_s = self.settings.order_limit_s
        self.memories[site.target].begin_eviction(site.victim, now + limit_s)
        self._index()
        order = EvictAdapter(site.victim.adapter, site.victim.version, epoch, limit_s)
        return Order(site.target, order)

    def _expire_orders(self, budget: LoadBudget, now: float) -> list[Action]:
        actions: list[Action] = []
        for name, memory in self.memories.items():
            for version in memory.expire_orders(self.settings.order_limit_s, now):
                self._end_budget(name, version, budget, now)
                actions.append(_emit("placement.result_lost", name, version, -1))
        return actions

    def _end_budget(
        self, target: str, version: AdapterVersion, budget: LoadBudget, now: float
    ) -> None:
        load = (target, version)
        if load in self.on_demand or load in self.prefetching:
            self.on_demand.discard(load)
            self.prefetching.discard(load)
            budget.release(now)

    def _index(self) -> None:
        holders: dict[AdapterVersion, list[str]] = {}
        for name, memory in self.memories.items():
            if memory.is_read:
                for version in memory.resident:
                    holders.setdefault(version, []).append(name)
        self.holders.clear()
        self.holders.update(holders)


def _emit(name: str, target: str, version: AdapterVersion, epoch: int) -> Emit:
    detail = {"adapter": version.adapter, "version": version.version}
    return Emit(Event(name, target=target, epoch=epoch, detail=detail))
