"""Scheduling policies to compare: thornlatch, two baselines and an offline bound."""

import heapq
import zlib
from collections import OrderedDict, deque
from random import Random

from bench.simulation import Clock, Result, StoreModel, get_service_s
from bench.traces import get_weight
from thornlatch.core import Order, Owner, Send
from thornlatch.dispatch import (
    DispatchSettings,
    Granted,
    GrantInventory,
    GrantInventoryRequest,
    GrantRefused,
    GrantReleased,
    GrantRequest,
    Outcome,
    PoolScheduler,
    Priority,
    RequestSpec,
    TargetReport,
)
from thornlatch.placement import (
    AdapterVersion,
    LoadAdapter,
    PlacementSettings,
    StoreBudget,
)

TICK_INTERVAL_S = 0.05
REPORT_INTERVAL_S = 2.0
REPORT_LAG_S = 0.5
EVICTION_S = 0.002
HOST = "host-1"


class SingleOwner:
    """Leases of a fleet whose only host owns every key."""

    def get_owner(self, key):
        return Owner(HOST, 1)

    def get_held_epoch(self, key, *, now):
        return 1

    def is_confirmed(self, *, now):
        return True

    def iter_members(self):
        return ()

    def iter_possible_holders(self, *, now):
        return (HOST,)


class ThornlatchRun:
    """Runs thornlatch's scheduler with simulated engines and a simulated store."""

    def __init__(self, deployment, arrivals, dispatch=None, placement=None):
        self.deployment = deployment
        self.clock = Clock()
        self.store = StoreModel(self.clock, deployment.store)
        self.result = Result(arrivals)
        self.arrivals = {str(arrival.index): arrival for arrival in arrivals}
        self.loaded = {target.name: set() for target in deployment.targets}
        self.stalled_arrivals = {}
        self.scheduler = PoolScheduler(
            dispatch or DispatchSettings(),
            deployment.pool,
            placement_settings=placement or PlacementSettings(),
            epoch=1,
            started_at=0.0,
            leases=SingleOwner(),
            budget=StoreBudget(deployment.store),
            random=Random(1),
            store=deployment.store,
            get_weight=get_weight,
        )

    def run(self):
        arrivals = self.result.arrivals
        self._perform(self.scheduler.set_targets(self.deployment.targets, now=0.0))
        self._report()
        self._tick()
        for arrival in arrivals:
            self.clock.call_at(arrival.at, self._arrive, arrival)
        self.clock.run(arrivals[-1].at + 60.0)
        self.result.loads = self.store.loads
        for index, arrival in enumerate(arrivals):
            if index not in self.result.started:
                self.result.wait_s[index] = arrival.deadline_s
        return self.result

    def _arrive(self, arrival):
        version = AdapterVersion(arrival.adapter, "1")
        if not self.scheduler.placement.get_targets(version):
            self.stalled_arrivals.setdefault(arrival.adapter, []).append(arrival)
        spec = RequestSpec(
            str(arrival.index),
            1,
            arrival.organisation,
            self.deployment.pool.name,
            arrival.deadline_s,
            arrival.tokens,
            arrival.adapter,
            "1",
            Priority.BATCH if arrival.is_batch else Priority.INTERACTIVE,
        )
        self._send_to_scheduler(GrantRequest(HOST, spec))

    def _send_to_scheduler(self, message):
        self._perform(self.scheduler.handle(message, sender=HOST, now=self.clock.now))

    def _tick(self):
        self._perform(self.scheduler.tick(now=self.clock.now))
        self.clock.call_in(TICK_INTERVAL_S, self._tick)

    def _report(self):
        for name, loaded in self.loaded.items():
            report = TargetReport("1", tuple(loaded), 1, 0, self.clock.now)
            self.clock.call_in(
                REPORT_LAG_S if self.clock.now else 0.0, self._note_report, name, report
            )
        self.clock.call_in(REPORT_INTERVAL_S, self._report)

    def _note_report(self, name, report):
        self._perform(
            self.scheduler.note_target_report(name, report, now=self.clock.now)
        )

    def _perform(self, actions):
        for action in actions:
            if isinstance(action, Send):
                self._receive_message(action.message)
            elif isinstance(action, Order):
                self._execute_order(action.target, action.order)

    def _receive_message(self, message):
        if isinstance(message, GrantInventoryRequest):
            inventory = GrantInventory(HOST, message.pool, message.epoch, ())
            self.clock.call_in(0.0, self._send_to_scheduler, inventory)
        elif isinstance(message, Granted):
            self._begin(message)
        elif isinstance(message, GrantRefused):
            self._note_refusal(int(message.request))

    def _begin(self, granted):
        arrival = self.arrivals[granted.request]
        if arrival.index in self.result.started:
            return
        assert AdapterVersion(arrival.adapter, "1") in self.loaded[granted.target]
        end = self.result.begin(arrival, self.clock.now)
        self.clock.call_at(end, self._finish, granted, arrival)

    def _finish(self, granted, arrival):
        self.result.finished_at[arrival.index] = self.clock.now
        self._send_to_scheduler(
            GrantReleased(
                HOST,
                granted.pool,
                granted.grant,
                1,
                False,
                Outcome.OK,
                arrival.organisation,
                arrival.tokens,
                0.05,
                get_service_s(arrival),
            )
        )

    def _note_refusal(self, index):
        self.result.refused.add(index)
        arrival = self.result.arrivals[index]
        waiting = self.stalled_arrivals.get(arrival.adapter, [])
        if arrival in waiting:
            waiting.remove(arrival)
            self.result.stall_s[index] = arrival.deadline_s

    def _execute_order(self, target, order):
        version = AdapterVersion(order.adapter, order.version)
        if isinstance(order, LoadAdapter):
            self.store.load(self._end_load, target, version, order)
        else:
            self.clock.call_in(EVICTION_S, self._end_eviction, target, version, order)

    def _end_load(self, target, version, order):
        self.loaded[target].add(version)
        assert len(self.loaded[target]) <= self.deployment.targets[0].adapter_slots
        for arrival in self.stalled_arrivals.pop(version.adapter, ()):
            self.result.stall_s[arrival.index] = self.clock.now - arrival.at
        self._end_order(target, order)

    def _end_eviction(self, target, version, order):
        self.loaded[target].discard(version)
        self._end_order(target, order)

    def _end_order(self, target, order):
        self._perform(
            self.scheduler.note_order_result(
                target, order, ok=True, is_certain=True, now=self.clock.now
            )
        )


class EngineModel:
    """Target of a baseline: serves in order of arrival and evicts by LRU."""

    def __init__(self, target):
        self.target = target
        self.ready = deque()
        self.blocked = {}
        self.load_queue = deque()
        self.unfinished_count = 0
        self.running = 0
        self.loaded = OrderedDict()
        self.loading = set()
        self.uses = {}


class BaselineRun:
    """Runs a baseline that chooses a target on arrival and loads adapters on demand."""

    def __init__(self, deployment, arrivals, choose):
        self.deployment = deployment
        self.clock = Clock()
        self.store = StoreModel(self.clock, deployment.store)
        self.result = Result(arrivals)
        self.engines = [EngineModel(target) for target in deployment.targets]
        self.choose = choose

    def run(self):
        for arrival in self.result.arrivals:
            self.clock.call_at(arrival.at, self._arrive, arrival)
        self.clock.run(self.result.arrivals[-1].at + 60.0)
        self.result.loads = self.store.loads
        for engine in self.engines:
            for waiting in engine.blocked.values():
                self._note_stalls(waiting)
        return self.result

    def _arrive(self, arrival):
        engine = self.choose(self.engines, arrival)
        engine.unfinished_count += 1
        adapter = arrival.adapter
        if adapter in engine.loaded:
            self._make_ready(engine, arrival)
        elif adapter in engine.blocked:
            engine.blocked[adapter].append(arrival)
        else:
            engine.blocked[adapter] = [arrival]
            engine.load_queue.append(adapter)
        self._serve(engine)

    def _make_ready(self, engine, arrival):
        engine.ready.append(arrival)
        engine.uses[arrival.adapter] = engine.uses.get(arrival.adapter, 0) + 1

    def _serve(self, engine):
        while engine.load_queue and self._load(engine, engine.load_queue[0]):
            engine.load_queue.popleft()
        while engine.ready and engine.running < engine.target.batch_slots:
            self._begin(engine, engine.ready.popleft())

    def _load(self, engine, adapter):
        if len(engine.loaded) + len(engine.loading) >= engine.target.adapter_slots:
            idle = (name for name in engine.loaded if not engine.uses.get(name))
            evicted = next(idle, None)
            if evicted is None:
                return False
            del engine.loaded[evicted]
        engine.loading.add(adapter)
        self.store.load(self._end_load, engine, adapter)
        return True

    def _end_load(self, engine, adapter):
        engine.loading.discard(adapter)
        engine.loaded[adapter] = True
        waiting = engine.blocked.pop(adapter)
        self._note_stalls(waiting)
        for arrival in waiting:
            self._make_ready(engine, arrival)
        self._serve(engine)

    def _note_stalls(self, waiting):
        for arrival in waiting:
            self.result.stall_s[arrival.index] = self.clock.now - arrival.at

    def _begin(self, engine, arrival):
        engine.running += 1
        engine.loaded.move_to_end(arrival.adapter)
        end = self.result.begin(arrival, self.clock.now)
        self.clock.call_at(end, self._finish, engine, arrival)

    def _finish(self, engine, arrival):
        engine.running -= 1
        engine.unfinished_count -= 1
        engine.uses[arrival.adapter] -= 1
        self.result.finished_at[arrival.index] = self.clock.now
        self._serve(engine)


def choose_least_loaded(engines, arrival):
    """Return the engine with the fewest unfinished requests."""
    return min(engines, key=lambda engine: engine.unfinished_count)


def choose_by_hash(engines, arrival):
    """Return the engine with the highest rendezvous hash for the adapter."""
    return max(
        engines,
        key=lambda engine: zlib.crc32(
            f"{arrival.adapter}/{engine.target.name}".encode()
        ),
    )


def count_offline_loads(adapters, slots):
    """Return the number of loads of Belady's MIN with all slots in one memory."""
    next_uses = [0] * len(adapters)
    next_use_by_adapter = {}
    for index in range(len(adapters) - 1, -1, -1):
        next_uses[index] = next_use_by_adapter.get(adapters[index], len(adapters))
        next_use_by_adapter[adapters[index]] = index
    loaded, heap, loads = {}, [], 0
    for adapter, next_use in zip(adapters, next_uses, strict=True):
        if adapter not in loaded:
            loads += 1
            if len(loaded) >= slots:
                _evict_farthest(loaded, heap)
        loaded[adapter] = next_use
        heapq.heappush(heap, (-next_use, adapter))
    return loads


def _evict_farthest(loaded, heap):
    while True:
        negated_use, adapter = heapq.heappop(heap)
        if loaded.get(adapter) == -negated_use:
            del loaded[adapter]
            return
