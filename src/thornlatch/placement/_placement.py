"""Loads and evictions of the adapter versions of one pool."""

from collections.abc import Callable, Iterable, Iterator, Sequence
from random import Random

from thornlatch.configuration import Pool, Target
from thornlatch.core import Action, Emit, Event, Order
from thornlatch.placement._backoff import LoadBackoff
from thornlatch.placement._budget import LoadBudget
from thornlatch.placement._copies import iter_prefetch_needs
from thornlatch.placement._demand import DemandEstimate
from thornlatch.placement._orders import (
    AdapterVersion,
    EvictAdapter,
    LoadAdapter,
    LoadNeed,
)
from thornlatch.placement._settings import PlacementSettings
from thornlatch.placement._sites import LoadSite, PinReader, SiteChooser
from thornlatch.placement._slots import OpenOrder, TargetSlots

BUDGET_RETRY_S = 0.04


class Placement:
    """Decides which adapter versions the targets of one pool load and evict.

    Parameters
    ----------
    settings : PlacementSettings
    pool : Pool
    random : random.Random
        Source of the jitter of backoffs.
    get_weight : callable
        Returns the weight of an organisation by name.
    is_known : callable
        Returns whether an adapter is in the inventory; others aren't prefetched.
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
        self.slots_by_target: dict[str, TargetSlots] = {}
        self.closed_targets: set[str] = set()
        self.targets_by_version: dict[AdapterVersion, list[str]] = {}
        # Loads that the budget counts, with the time after which their targets no
        # longer carry them out.
        self.demand_loads: dict[tuple[str, AdapterVersion], float] = {}
        self.planned_sites: dict[AdapterVersion, LoadSite] = {}
        self.next_prefetch_at = 0.0
        self.blocked_until = 0.0
        self.prefetching: dict[tuple[str, AdapterVersion], float] = {}
        self.sites = SiteChooser(
            settings,
            self.demand,
            self.slots_by_target,
            self.targets_by_version,
            self.backoff,
        )

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Set the targets of the pool; the state of known targets is kept.

        Parameters
        ----------
        targets : iterable of Target
        """
        known = {target.name: target for target in targets}
        for name in [name for name in self.slots_by_target if name not in known]:
            del self.slots_by_target[name]
            self.closed_targets.discard(name)
            self.backoff.reset_target(name)
        for name, target in known.items():
            slots = self.slots_by_target.setdefault(name, TargetSlots(target))
            slots.target = target
        self._update_index()

    def set_open(self, target: str, *, is_open: bool) -> None:
        """Set whether `target` accepts loads; a draining or failed target doesn't."""
        if is_open:
            self.closed_targets.discard(target)
        else:
            self.closed_targets.add(target)

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
        """Merge a target's report of loaded versions.

        Parameters
        ----------
        target : str
        versions : iterable of AdapterVersion
        incarnation : str
            Identifies the run of the target's process.
        snapshot_at : float
            Time of the report's content, in seconds.
        """
        slots = self.slots_by_target.get(target)
        if slots is None:
            return
        if slots.incarnation not in (None, incarnation):
            self.backoff.reset_target(target)
        slots.apply_report(versions, incarnation, snapshot_at)
        self._update_index()

    def note_missing(self, target: str, version: AdapterVersion, *, now: float) -> None:
        """Record that `target` answered that it hasn't loaded `version`."""
        slots = self.slots_by_target.get(target)
        if slots is not None:
            slots.mark_missing(version, now)
            self._update_index()

    def note_unsettled_order(
        self, target: str, version: AdapterVersion, settled_at: float
    ) -> None:
        """Record an order of an earlier owner that `target` may still execute.

        Parameters
        ----------
        target : str
        version : AdapterVersion
        settled_at : float
            Time after which the order can no longer change the target's slots, in
            seconds.
        """
        slots = self.slots_by_target.get(target)
        if slots is not None:
            slots.mark_uncertain(version, settled_at)
            self._update_index()

    def iter_open_orders(self) -> Iterator[tuple[str, OpenOrder]]:
        """Iterate over the orders without a certain result, with their targets."""
        for name, slots in self.slots_by_target.items():
            for orders in (slots.loading, slots.evicting, slots.uncertain):
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
        """Apply the result of an order.

        Parameters
        ----------
        target : str
        order : LoadAdapter or EvictAdapter
        ok : bool
            Whether the target answered that it has executed the order.
        is_certain : bool
            Whether `ok` is the target's own answer; if not, a later report decides.
        budget : LoadBudget
        now : float

        Returns
        -------
        list of Action
        """
        slots = self.slots_by_target.get(target)
        version = AdapterVersion(order.adapter, order.version)
        is_load = isinstance(order, LoadAdapter)
        if is_load:
            self._release_budget(target, version, budget, now)
        if slots is None:
            return []
        if not is_certain:
            slots.lose_result(version)
            return [_build_event("placement.result_lost", target, version, order.epoch)]
        end = slots.end_load if is_load else slots.end_eviction
        is_open = end(version, ok=ok, now=now)
        if is_load and ok:
            self.backoff.note_success(version)
        elif is_load and is_open:
            self.backoff.note_failure(version, target, now)
        self._update_index()
        name = "placement.loaded" if is_load else "placement.evicted"
        return [
            _build_event(name if ok else f"{name}_not", target, version, order.epoch)
        ]

    def mark_target_down(self, target: str) -> None:
        """Exclude a target that no longer answers until its next report."""
        slots = self.slots_by_target.get(target)
        if slots is None:
            return
        for version in [*slots.loading, *slots.evicting]:
            slots.lose_result(version)
        slots.snapshot_at = None
        self._update_index()

    def close(self, budget: LoadBudget, *, now: float) -> None:
        """Release the budget of all loads in flight."""
        for target, version in [*self.demand_loads, *self.prefetching]:
            self._release_budget(target, version, budget, now)

    def get_targets(self, version: AdapterVersion) -> list[str]:
        """Return the targets on which `version` may be used."""
        return self.targets_by_version.get(version, [])

    def get_resident(self, target: str) -> Iterable[AdapterVersion]:
        """Return the versions that may be used on `target`."""
        slots = self.slots_by_target.get(target)
        return slots.resident if slots is not None and slots.has_report else ()

    def list_loading(self) -> set[AdapterVersion]:
        """Return the versions that any target is loading."""
        return {
            version
            for slots in self.slots_by_target.values()
            for version in slots.loading
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
        """Choose the loads and evictions that are due and return their orders.

        Parameters
        ----------
        needs : sequence of LoadNeed
            Most urgent first.
        pins : PinReader
        budget : LoadBudget
        epoch : int
            Fencing token of the orders.
        now : float

        Returns
        -------
        list of Action
        """
        actions = self._expire_orders(budget, now)
        self._drop_settled_plans()
        waiting = frozenset(need.version for need in needs)
        loading = self.list_loading()
        for need in needs:
            if need.version in self.planned_sites or need.version in loading:
                continue
            site = self.sites.find_for_need(
                need, pins, self._list_open_targets(), waiting, now
            )
            if site is None:
                continue
            if site.victim is not None:
                if len(self.planned_sites) >= self.settings.eviction_lead:
                    break
                self.planned_sites[need.version] = site
                actions.append(self._evict(site, epoch, now))
                continue
            if not budget.try_acquire(now):
                self.blocked_until = now + BUDGET_RETRY_S
                break
            # A load there may still be counted, as its result was lost.
            self._release_budget(site.target, need.version, budget, now)
            actions.append(
                self._load(site, need.version, self.demand_loads, epoch, now)
            )
        if not needs:
            actions += self._prefetch(pins, budget, epoch, now)
        return actions

    def _drop_settled_plans(self) -> None:
        for version, site in list(self.planned_sites.items()):
            slots = self.slots_by_target.get(site.target)
            if slots is None or site.victim not in slots.evicting:
                del self.planned_sites[version]

    def _list_open_targets(self) -> list[TargetSlots]:
        return [
            slots
            for name, slots in self.slots_by_target.items()
            if slots.has_report and name not in self.closed_targets
        ]

    def _prefetch(
        self, pins: PinReader, budget: LoadBudget, epoch: int, now: float
    ) -> list[Action]:
        if self.demand_loads or len(self.prefetching) >= self.settings.prefetch_loads:
            return []
        if now < self.next_prefetch_at:
            return []
        self.next_prefetch_at = now + self.settings.prefetch_interval_s
        candidates = self._list_open_targets()
        loading = self.list_loading()
        for need in iter_prefetch_needs(self.settings, self.demand, candidates, now):
            if need.version in loading or not self.is_known(need.version.adapter):
                continue
            site = self.sites.find_for_prefetch(need, pins, candidates, now)
            if site is None:
                continue
            if site.victim is not None:
                return [self._evict(site, epoch, now)]
            if not budget.try_acquire(now):
                return []
            self._release_budget(site.target, need.version, budget, now)
            return [self._load(site, need.version, self.prefetching, epoch, now)]
        return []

    def _load(
        self,
        site: LoadSite,
        version: AdapterVersion,
        counted_loads: dict[tuple[str, AdapterVersion], float],
        epoch: int,
        now: float,
    ) -> Action:
        limit_s = self.settings.order_limit_s
        settled_at = now + limit_s + self.settings.load_limit_s
        counted_loads[site.target, version] = settled_at
        self.slots_by_target[site.target].begin_load(version, settled_at)
        order = LoadAdapter(version.adapter, version.version, epoch, limit_s)
        return Order(site.target, order)

    def _evict(self, site: LoadSite, epoch: int, now: float) -> Action:
        assert site.victim is not None
        limit_s = self.settings.order_limit_s
        self.slots_by_target[site.target].begin_eviction(site.victim, now + limit_s)
        self._update_index()
        order = EvictAdapter(site.victim.adapter, site.victim.version, epoch, limit_s)
        return Order(site.target, order)

    def _expire_orders(self, budget: LoadBudget, now: float) -> list[Action]:
        grace_s = self.settings.order_limit_s
        actions: list[Action] = []
        for name, slots in self.slots_by_target.items():
            for version in slots.expire_orders(grace_s, now):
                actions.append(_build_event("placement.result_lost", name, version, -1))
        # The slots of targets that went down, restarted or were removed no longer have
        # the loads that the budget counts.
        for loads in (self.demand_loads, self.prefetching):
            for (name, version), settled_at in list(loads.items()):
                if now > settled_at + grace_s:
                    self._release_budget(name, version, budget, now)
        return actions

    def _release_budget(
        self, target: str, version: AdapterVersion, budget: LoadBudget, now: float
    ) -> None:
        load = (target, version)
        if load in self.demand_loads or load in self.prefetching:
            self.demand_loads.pop(load, None)
            self.prefetching.pop(load, None)
            budget.release(now)

    def _update_index(self) -> None:
        targets_by_version: dict[AdapterVersion, list[str]] = {}
        for name, slots in self.slots_by_target.items():
            if slots.has_report:
                for version in slots.resident:
                    targets_by_version.setdefault(version, []).append(name)
        self.targets_by_version.clear()
        self.targets_by_version.update(targets_by_version)


def _build_event(name: str, target: str, version: AdapterVersion, epoch: int) -> Emit:
    detail = {"adapter": version.adapter, "version": version.version}
    return Emit(Event(name, target=target, epoch=epoch, detail=detail))
