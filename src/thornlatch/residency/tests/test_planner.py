"""Orders for one target: room, order numbers, lost answers, late loads, versions."""

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


def build(adapters=None, versions=None):
    versions = versions or AdapterVersions(VersionSettings())
    holder = TargetPlanner(SETTINGS, LIMITS, versions)
    holder.apply_report(report(adapters or {}), now=0.0)
    return holder


def report(adapters, sequence=0, pending=()):
    return EngineReport(
        sequence, (LoadedModel("m", 1, adapters),), pending, False, 0, 0, 1
    )


def step(holder, now, uses=None, outcome=OrderOutcome.ACCEPTED, share=False):
    numbered = holder.next_order(
        uses or {}, now=now, may_load_model=True, may_load_concurrently=share
    )
    if numbered is None:
        return None
    holder.apply_outcome(numbered, outcome, now=now)
    return numbered


def request_load(holder, adapter, now, priority=1, **more):
    holder.request_load(f"m/{adapter}", 0, priority=priority, now=now, **more)


def test_nothing_is_ordered_before_a_report():
    versions = AdapterVersions(VersionSettings())
    holder = TargetPlanner(SETTINGS, LIMITS, versions)
    request_load(holder, "a1", 1.0)
    assert holder.needs_report(now=1.0)
    assert step(holder, 1.0) is None


def test_flash_crowd_on_cold_adapters_is_loaded_by_demand():
    holder = build()
    request_load(holder, "rare", 1.0)
    for _ in range(3):
        request_load(holder, "popular", 1.0)
    assert step(holder, 1.0).order == LoadAdapter("m", "popular", 0)
    assert step(holder, 1.1) is None
    assert step(holder, 1.4).order == LoadAdapter("m", "rare", 0)


def test_urgent_requests_load_first():
    holder = build()
    request_load(holder, "batch", 1.0, priority=2)
    request_load(holder, "urgent", 1.0, priority=0)
    assert step(holder, 1.0).order.adapter == "urgent"


def test_another_fetch_begins_beside_one_in_transit_only_if_the_store_is_idle():
    holder = build()
    request_load(holder, "a1", 1.0)
    request_load(holder, "a2", 1.0)
    step(holder, 1.0)
    assert step(holder, 1.0) is None
    assert step(holder, 1.0, share=True).order.adapter == "a2"


def test_least_recently_used_makes_room_but_never_one_in_use():
    holder = build({"a1": 1, "a2": 1, "a3": 1})
    holder.note_use({"m/a1": 1}, now=1.0)
    holder.note_use({"m/a2": 1}, now=2.0)
    holder.note_use({"m/a3": 1}, now=3.0)
    request_load(holder, "new", 4.0)
    assert step(holder, 4.0, {"m/a1": 1}).order == UnloadAdapter("m", "a2")
    assert step(holder, 4.0, {"m/a1": 1}).order == LoadAdapter("m", "new", 0)


def test_full_target_whose_adapters_are_all_in_use_gets_no_order():
    holder = build({"a1": 1, "a2": 1, "a3": 1})
    request_load(holder, "new", 4.0)
    uses = {"m/a1": 1, "m/a2": 1, "m/a3": 1}
    assert step(holder, 4.0, uses) is None


def test_places_are_bounded_by_memory_and_by_number():
    holder = build()
    assert holder.count_places() == 3
    holder.limits = EngineLimits(32, 1, 1250.0, 9, LIMITS.models, 4.0)
    assert holder.count_places() == 2


def test_order_without_an_answer_is_sent_again_under_its_number():
    holder = build()
    request_load(holder, "a1", 1.0)
    request_load(holder, "a2", 1.0)
    first = step(holder, 1.0, outcome=OrderOutcome.UNKNOWN)
    again = step(holder, 1.3)
    assert again == first
    assert step(holder, 1.7).expected == first.expected + 1


def test_load_without_an_answer_is_expected_later():
    """Requests sent at the usual time would be rejected, and charged as retries."""
    holder = build()
    request_load(holder, "a1", 1.0)
    step(holder, 1.0, outcome=OrderOutcome.UNKNOWN)
    (resident,) = holder.get_residents(now=1.0)
    assert resident.ready_in_s == pytest.approx(0.27 + 0.15, abs=0.01)


def test_repeated_order_that_conflicts_took_effect_the_first_time():
    """Without this each lost answer would hold up its target for a report's lag."""
    holder = build()
    request_load(holder, "a1", 1.0)
    request_load(holder, "a2", 1.0)
    first = step(holder, 1.0, outcome=OrderOutcome.UNKNOWN)
    assert step(holder, 1.1, outcome=OrderOutcome.CONFLICT) == first
    assert holder.sequence == first.expected + 1
    following = step(holder, 1.4)
    assert following.expected == first.expected + 1
    assert following.order == LoadAdapter("m", "a2", 0)


def test_adapter_that_can_t_be_evicted_now_isn_t_tried_again_and_again():
    holder = build({"a1": 1, "a2": 1, "a3": 1})
    request_load(holder, "new", 4.0)
    first = step(holder, 4.0, outcome=OrderOutcome.CONFLICT)
    holder.apply_report(report({"a1": 1, "a2": 1, "a3": 1}, sequence=0), now=4.5)
    request_load(holder, "new", 4.5)
    assert step(holder, 4.5).order != first.order


def test_conflict_is_settled_by_a_report_that_is_late_enough():
    holder = build()
    request_load(holder, "a1", 1.0)
    step(holder, 1.0, outcome=OrderOutcome.CONFLICT)
    assert not holder.needs_report(now=1.1)
    assert step(holder, 1.1) is None
    assert holder.needs_report(now=1.4)
    holder.apply_report(report({"a1": 1}, sequence=1), now=1.4)
    assert step(holder, 1.5) is None
    request_load(holder, "a2", 1.5)
    assert step(holder, 1.5).expected == 1


def test_stale_report_is_ignored():
    holder = build()
    request_load(holder, "a1", 1.0)
    step(holder, 1.0)
    holder.apply_report(report({}, sequence=0), now=1.1)
    assert [one.name for one in holder.get_residents(now=1.1)] == ["m/a1"]


def test_late_load_is_awaited_and_expected_later_next_time():
    holder = build()
    request_load(holder, "a1", 1.0)
    step(holder, 1.0)
    request_load(holder, "a1", 1.3, was_missing=True)
    assert holder.sequence is not None
    assert holder.get_residents(now=1.3)[0].ready_in_s > 0
    assert holder.load_s > SETTINGS.adapter_load_s


def test_adapter_that_a_target_lost_is_found_out_by_a_report():
    holder = build({"a1": 1})
    request_load(holder, "a1", 9.0, was_missing=True)
    assert holder.sequence is None


def test_queued_loads_are_announced_with_their_time():
    holder = build()
    for name in ("a1", "a2", "a3"):
        request_load(holder, name, 1.0)
    step(holder, 1.0)
    residents = {one.name: one for one in holder.get_residents(now=1.0)}
    assert not residents["m/a1"].is_queued
    assert residents["m/a3"].is_queued
    assert residents["m/a3"].ready_in_s > residents["m/a2"].ready_in_s


def test_former_adapter_is_back_soon():
    holder = build({"a1": 1, "a2": 1, "a3": 1})
    request_load(holder, "new", 4.0)
    evicted = step(holder, 4.0).order.adapter
    step(holder, 4.0)
    request_load(holder, evicted, 5.0)
    step(holder, 5.0)
    step(holder, 5.0)
    residents = {one.name: one for one in holder.get_residents(now=5.0)}
    assert residents[f"m/{evicted}"].ready_in_s < 0.1


def test_idle_adapter_is_replaced_at_once_by_a_new_version():
    versions = AdapterVersions(VersionSettings())
    holder = build({"a1": 1, "a2": 1}, versions)
    versions.announce("m/a1", 2, now=1.0)
    assert step(holder, 1.1).order == LoadAdapter("m", "a1", 2)


def test_adapter_in_use_is_replaced_before_its_version_may_no_longer_be_used():
    versions = AdapterVersions(VersionSettings())
    holder = build({"a1": 1}, versions)
    versions.announce("m/a1", 2, now=1.0)
    assert step(holder, 1.1, {"m/a1": 3}) is None
    assert step(holder, 2.6, {"m/a1": 3}).order == LoadAdapter("m", "a1", 2)


def test_restarted_target_gets_its_model_first():
    holder = build()
    holder.apply_report(EngineReport(0, (), (), False, 0, 0, 2), now=1.0)
    request_load(holder, "a1", 1.0)
    assert step(holder, 1.0).order == LoadModel("m")
    assert step(holder, 1.1) is None
    assert step(holder, 1.7).order == LoadAdapter("m", "a1", 0)


def test_model_isn_t_loaded_beyond_the_store_s_rate():
    holder = build()
    holder.apply_report(EngineReport(0, (), (), False, 0, 0, 2), now=1.0)
    assert holder.next_order({}, now=1.0, may_load_model=False) is None


class Engine:
    """A target that loses answers and carries some orders out late."""

    def __init__(self, rng):
        self.rng = rng
        self.sequence = 0
        self.adapters = set()
        self.late = []
        self.most = 0

    def send(self, numbered, now):
        fate = self.rng.random()
        if fate < 0.2:
            self.late.append((now + self.rng.uniform(0.1, 5.0), numbered))
            return OrderOutcome.UNKNOWN
        outcome = self.carry_out(numbered)
        return OrderOutcome.UNKNOWN if fate < 0.35 else outcome

    def run_late(self, now):
        for due, numbered in [one for one in self.late if one[0] <= now]:
            self.late.remove((due, numbered))
            self.carry_out(numbered)

    def carry_out(self, numbered):
        if numbered.expected != self.sequence:
            return OrderOutcome.CONFLICT
        self.sequence += 1
        name = numbered.order.adapter
        if isinstance(numbered.order, UnloadAdapter):
            self.adapters.discard(name)
            return OrderOutcome.HOLDS
        self.adapters.add(name)
        self.most = max(self.most, len(self.adapters))
        return OrderOutcome.ACCEPTED


@pytest.mark.parametrize("seed", range(40))
def test_lost_and_late_orders_never_overfill_a_target(seed):
    rng = random.Random(seed)
    engine, holder = Engine(rng), build()
    served = 0
    for tick in range(1, 3000):
        now = tick / 50
        engine.run_late(now)
        if tick % 10 == 0:
            name = f"a{rng.randrange(8)}"
            served += name in engine.adapters
            request_load(holder, name, now, was_missing=name not in engine.adapters)
        if holder.needs_report(now=now):
            adapters = dict.fromkeys(engine.adapters, 1)
            holder.apply_report(report(adapters, engine.sequence), now=now)
        numbered = holder.next_order({}, now=now, may_load_model=True)
        if numbered is not None:
            holder.apply_outcome(numbered, engine.send(numbered, now), now=now)
    assert engine.most <= 3
    assert served > 50
