"""Order planning: free slots, order numbers, lost answers, late loads, versions."""

import random

import pytest

from thornlatch.fleet import LoadedModel
from thornlatch.residency import (
    AdapterVersions,
    EngineReport,
    HolderSettings,
    LoadAdapter,
    LoadModel,
    OrderOutcome,
    TargetPlanner,
    UnloadAdapter,
    VersionSettings,
)
from thornlatch.routing import EngineLimits, ModelSize

LIMITS = EngineLimits(
    32, 100_000, 1300.0, 3, (ModelSize("m", 1000.0, 0.6, 100.0),), 4.0
)
SETTINGS = HolderSettings()


def build_planner(adapters=None, versions=None):
    versions = versions or AdapterVersions(VersionSettings())
    planner = TargetPlanner(SETTINGS, LIMITS, versions)
    planner.apply_report(build_report(adapters or {}), now=0.0)
    return planner


def build_report(adapters, sequence=0, pending=()):
    return EngineReport(
        sequence, (LoadedModel("m", 1, adapters),), pending, False, 0, 0, 1
    )


def send_next_order(
    planner, now, uses=None, outcome=OrderOutcome.ACCEPTED, may_load_concurrently=False
):
    numbered = planner.next_order(
        uses or {},
        now=now,
        may_load_model=True,
        may_load_concurrently=may_load_concurrently,
    )
    if numbered is None:
        return None
    planner.apply_outcome(numbered, outcome, now=now)
    return numbered


def request_load(planner, adapter, now, priority=1, *, due_s=1.0, useful_s=4.0, **more):
    planner.request_load(
        f"m/{adapter}",
        0,
        priority=priority,
        now=now,
        due_s=due_s,
        useful_s=useful_s,
        **more,
    )


def test_nothing_is_ordered_before_a_report():
    versions = AdapterVersions(VersionSettings())
    planner = TargetPlanner(SETTINGS, LIMITS, versions)
    request_load(planner, "a1", 1.0)
    assert planner.needs_report(now=1.0)
    assert send_next_order(planner, 1.0) is None


def test_flash_crowd_loads_the_most_requested_adapter_first():
    planner = build_planner()
    request_load(planner, "rare", 1.0)
    for _ in range(3):
        request_load(planner, "popular", 1.0)
    assert send_next_order(planner, 1.0).order == LoadAdapter("m", "popular", 0)
    assert send_next_order(planner, 1.1) is None
    assert send_next_order(planner, 1.4).order == LoadAdapter("m", "rare", 0)


def test_urgent_requests_load_first():
    planner = build_planner()
    request_load(planner, "batch", 1.0, priority=2)
    request_load(planner, "urgent", 1.0, priority=0)
    assert send_next_order(planner, 1.0).order.adapter == "urgent"


def test_loads_are_concurrent_only_if_the_weight_store_is_idle():
    planner = build_planner()
    request_load(planner, "a1", 1.0)
    request_load(planner, "a2", 1.0)
    send_next_order(planner, 1.0)
    assert send_next_order(planner, 1.0) is None
    assert (
        send_next_order(planner, 1.0, may_load_concurrently=True).order.adapter == "a2"
    )


def test_least_recently_used_adapter_that_is_not_in_use_is_evicted():
    planner = build_planner({"a1": 1, "a2": 1, "a3": 1})
    planner.note_use({"m/a1": 1}, now=1.0)
    planner.note_use({"m/a2": 1}, now=2.0)
    planner.note_use({"m/a3": 1}, now=3.0)
    request_load(planner, "new", 4.0)
    assert send_next_order(planner, 4.0, {"m/a1": 1}).order == UnloadAdapter("m", "a2")
    assert send_next_order(planner, 4.0, {"m/a1": 1}).order == LoadAdapter(
        "m", "new", 0
    )


def test_full_target_whose_adapters_are_all_in_use_gets_no_order():
    planner = build_planner({"a1": 1, "a2": 1, "a3": 1})
    request_load(planner, "new", 4.0)
    uses = {"m/a1": 1, "m/a2": 1, "m/a3": 1}
    assert send_next_order(planner, 4.0, uses) is None


def test_adapter_slots_are_bounded_by_memory_and_by_number():
    planner = build_planner()
    assert planner.count_adapter_slots() == 3
    planner.limits = EngineLimits(32, 1, 1250.0, 9, LIMITS.models, 4.0)
    assert planner.count_adapter_slots() == 2


def test_order_without_an_answer_is_sent_again_under_its_number():
    planner = build_planner()
    request_load(planner, "a1", 1.0)
    request_load(planner, "a2", 1.0)
    first_order = send_next_order(planner, 1.0, outcome=OrderOutcome.UNKNOWN)
    second_order = send_next_order(planner, 1.3)
    assert second_order == first_order
    assert send_next_order(planner, 1.7).expected == first_order.expected + 1


def test_load_without_an_answer_is_expected_later():
    """A lost order takes effect only when it is sent again.

    Requests sent at the usual load time would be rejected and counted as retries.
    """
    planner = build_planner()
    request_load(planner, "a1", 1.0)
    send_next_order(planner, 1.0, outcome=OrderOutcome.UNKNOWN)
    (resident,) = planner.get_residents({}, now=1.0)
    assert resident.ready_in_s == pytest.approx(0.27 + 0.15, abs=0.01)


def test_repeated_order_that_conflicts_took_effect_the_first_time():
    """Otherwise each lost answer would block its target for the lag of a report."""
    planner = build_planner()
    request_load(planner, "a1", 1.0)
    request_load(planner, "a2", 1.0)
    first_order = send_next_order(planner, 1.0, outcome=OrderOutcome.UNKNOWN)
    assert send_next_order(planner, 1.1, outcome=OrderOutcome.CONFLICT) == first_order
    assert planner.sequence == first_order.expected + 1
    next_order = send_next_order(planner, 1.4)
    assert next_order.expected == first_order.expected + 1
    assert next_order.order == LoadAdapter("m", "a2", 0)


def test_refused_eviction_is_not_repeated_for_the_same_adapter():
    planner = build_planner({"a1": 1, "a2": 1, "a3": 1})
    request_load(planner, "new", 4.0)
    first_order = send_next_order(planner, 4.0, outcome=OrderOutcome.CONFLICT)
    planner.apply_report(build_report({"a1": 1, "a2": 1, "a3": 1}, sequence=0), now=4.5)
    request_load(planner, "new", 4.5)
    assert send_next_order(planner, 4.5).order != first_order.order


def test_conflict_is_settled_by_a_report_that_is_late_enough():
    planner = build_planner()
    request_load(planner, "a1", 1.0)
    send_next_order(planner, 1.0, outcome=OrderOutcome.CONFLICT)
    assert not planner.needs_report(now=1.1)
    assert send_next_order(planner, 1.1) is None
    assert planner.needs_report(now=1.4)
    planner.apply_report(build_report({"a1": 1}, sequence=1), now=1.4)
    assert send_next_order(planner, 1.5) is None
    request_load(planner, "a2", 1.5)
    assert send_next_order(planner, 1.5).expected == 1


def test_stale_report_is_ignored():
    planner = build_planner()
    request_load(planner, "a1", 1.0)
    send_next_order(planner, 1.0)
    planner.apply_report(build_report({}, sequence=0), now=1.1)
    assert [resident.name for resident in planner.get_residents({}, now=1.1)] == [
        "m/a1"
    ]


def test_late_load_raises_the_expected_load_time():
    planner = build_planner()
    request_load(planner, "a1", 1.0)
    send_next_order(planner, 1.0)
    request_load(planner, "a1", 1.3, was_missing=True)
    assert planner.sequence is not None
    assert planner.get_residents({}, now=1.3)[0].ready_in_s > 0
    assert planner.load_s > SETTINGS.adapter_load_s


def test_missing_adapter_long_after_its_load_requires_a_report():
    planner = build_planner({"a1": 1})
    request_load(planner, "a1", 9.0, was_missing=True)
    assert planner.sequence is None


def test_queued_loads_are_listed_with_their_expected_time():
    planner = build_planner()
    for name in ("a1", "a2", "a3"):
        request_load(planner, name, 1.0)
    send_next_order(planner, 1.0)
    residents = {
        resident.name: resident for resident in planner.get_residents({}, now=1.0)
    }
    assert not residents["m/a1"].is_queued
    assert residents["m/a3"].is_queued
    assert residents["m/a3"].ready_in_s > residents["m/a2"].ready_in_s


def test_former_adapter_is_expected_to_load_faster():
    planner = build_planner({"a1": 1, "a2": 1, "a3": 1})
    request_load(planner, "new", 4.0)
    evicted = send_next_order(planner, 4.0).order.adapter
    send_next_order(planner, 4.0)
    request_load(planner, evicted, 5.0)
    send_next_order(planner, 5.0)
    send_next_order(planner, 5.0)
    residents = {
        resident.name: resident for resident in planner.get_residents({}, now=5.0)
    }
    assert residents[f"m/{evicted}"].ready_in_s < 0.1


def test_idle_adapter_is_replaced_by_a_new_version_immediately():
    versions = AdapterVersions(VersionSettings())
    planner = build_planner({"a1": 1, "a2": 1}, versions)
    versions.announce("m/a1", 2, now=1.0)
    assert send_next_order(planner, 1.1).order == LoadAdapter("m", "a1", 2)


def test_adapter_in_use_is_replaced_before_its_version_expires():
    versions = AdapterVersions(VersionSettings())
    planner = build_planner({"a1": 1}, versions)
    versions.announce("m/a1", 2, now=1.0)
    assert send_next_order(planner, 1.1, {"m/a1": 3}) is None
    assert send_next_order(planner, 2.6, {"m/a1": 3}).order == LoadAdapter("m", "a1", 2)


def test_restarted_target_loads_its_model_first():
    planner = build_planner()
    planner.apply_report(EngineReport(0, (), (), False, 0, 0, 2), now=1.0)
    request_load(planner, "a1", 1.0)
    assert send_next_order(planner, 1.0).order == LoadModel("m")
    assert send_next_order(planner, 1.1) is None
    assert send_next_order(planner, 1.7).order == LoadAdapter("m", "a1", 0)


def test_model_load_waits_for_the_rate_limit_of_the_weight_store():
    planner = build_planner()
    planner.apply_report(EngineReport(0, (), (), False, 0, 0, 2), now=1.0)
    assert planner.next_order({}, now=1.0, may_load_model=False) is None


class UnreliableEngine:
    """A target that loses answers and executes some orders late."""

    def __init__(self, rng):
        self.rng = rng
        self.sequence = 0
        self.adapters = set()
        self.late_orders = []
        self.most_adapters = 0

    def send(self, numbered, now):
        chance = self.rng.random()
        if chance < 0.2:
            self.late_orders.append((now + self.rng.uniform(0.1, 5.0), numbered))
            return OrderOutcome.UNKNOWN
        outcome = self.execute(numbered)
        return OrderOutcome.UNKNOWN if chance < 0.35 else outcome

    def execute_late_orders(self, now):
        for due, numbered in [order for order in self.late_orders if order[0] <= now]:
            self.late_orders.remove((due, numbered))
            self.execute(numbered)

    def execute(self, numbered):
        if numbered.expected != self.sequence:
            return OrderOutcome.CONFLICT
        self.sequence += 1
        name = numbered.order.adapter
        if isinstance(numbered.order, UnloadAdapter):
            self.adapters.discard(name)
            return OrderOutcome.HOLDS
        self.adapters.add(name)
        self.most_adapters = max(self.most_adapters, len(self.adapters))
        return OrderOutcome.ACCEPTED


@pytest.mark.parametrize("seed", range(40))
def test_lost_and_late_orders_never_overfill_a_target(seed):
    rng = random.Random(seed)
    engine, planner = UnreliableEngine(rng), build_planner()
    served = 0
    for tick in range(1, 3000):
        now = tick / 50
        engine.execute_late_orders(now)
        if tick % 10 == 0:
            name = f"a{rng.randrange(8)}"
            served += name in engine.adapters
            request_load(planner, name, now, was_missing=name not in engine.adapters)
        if planner.needs_report(now=now):
            adapters = dict.fromkeys(engine.adapters, 1)
            planner.apply_report(build_report(adapters, engine.sequence), now=now)
        numbered = planner.next_order({}, now=now, may_load_model=True)
        if numbered is not None:
            planner.apply_outcome(numbered, engine.send(numbered, now), now=now)
    assert engine.most_adapters <= 3
    assert served > 50
