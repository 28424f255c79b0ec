from random import Random

import pytest

from thornlatch.configuration import Pool, Store, Target
from thornlatch.core import Order
from thornlatch.placement import (
    AdapterVersion,
    EvictAdapter,
    LoadAdapter,
    LoadNeed,
    Placement,
    PlacementSettings,
    StoreBudget,
)

STORE = Store("s", 1000.0, 100, 100, 0.25)


class Pins:
    def __init__(self, *pins):
        self.pins = set(pins)

    def is_pinned(self, target, version):
        return (target, version.adapter) in self.pins


def make_version(name):
    return AdapterVersion(name, "1")


def make_placement(loaded, slots=2, **settings):
    """Return a placement whose targets t0, t1, ... hold the named versions."""
    placement = Placement(
        PlacementSettings(**settings), Pool("p", "engine", "b", "s"), random=Random(1)
    )
    targets = [
        Target(f"t{i}", "p", f"10.0.0.{i}:80", f"d{i}", 4, slots)
        for i in range(len(loaded))
    ]
    placement.set_targets(targets)
    for target, names in zip(targets, loaded, strict=True):
        apply_report(placement, target.name, names, 0.0)
    return placement


def apply_report(placement, target, names, snapshot_at, incarnation="1"):
    versions = [make_version(name) for name in names]
    placement.note_loaded(
        target, versions, incarnation=incarnation, snapshot_at=snapshot_at
    )


def remove_target(placement, name):
    placement.set_targets(
        slots.target
        for slots in list(placement.slots_by_target.values())
        if slots.target.name != name
    )


def decide(placement, names, pins=None, budget=None, now=1.0):
    needs = [LoadNeed(make_version(name), "o", 1.0) for name in names]
    actions = placement.decide(
        needs, pins or Pins(), budget or StoreBudget(STORE), epoch=7, now=now
    )
    return [action for action in actions if isinstance(action, Order)]


def finish(placement, order, *, ok=True, is_certain=True, now=1.0):
    placement.note_order_result(
        order.target,
        order.order,
        ok=ok,
        is_certain=is_certain,
        budget=StoreBudget(STORE),
        now=now,
    )


def test_load_into_empty_slot():
    placement = make_placement(["a"])
    (order,) = decide(placement, ["b"])
    assert order == Order("t0", LoadAdapter("b", "1", 7, 5.0))


def test_load_is_coalesced():
    placement = make_placement(["a"])
    assert len(decide(placement, ["b"])) == 1
    assert decide(placement, ["b"]) == []


def test_full_target_evicts_then_loads():
    placement = make_placement(["ab"])
    placement.note_demand(make_version("a"), "o", now=1.0)
    (order,) = decide(placement, ["c"])
    assert order == Order("t0", EvictAdapter("b", "1", 7, 5.0))
    assert decide(placement, ["c"]) == []
    finish(placement, order)
    (order,) = decide(placement, ["c"])
    assert isinstance(order.order, LoadAdapter)


@pytest.mark.parametrize(
    ("pins", "victim"),
    [
        pytest.param([("t0", "a")], "b", id="one-pinned"),
        pytest.param([("t0", "a"), ("t0", "b")], None, id="all-pinned"),
    ],
)
def test_pinned_versions_stay(pins, victim):
    placement = make_placement(["ab"])
    orders = decide(placement, ["c"], Pins(*pins))
    assert [order.order.adapter for order in orders] == ([victim] if victim else [])


def test_version_that_requests_wait_for_is_not_evicted():
    placement = make_placement(["ab"])
    (order,) = decide(placement, ["c", "b"])
    assert order.order.adapter == "a"


def test_certain_failure_tries_another_target():
    placement = make_placement(["", ""])
    (first,) = decide(placement, ["a"])
    finish(placement, first, ok=False)
    (second,) = decide(placement, ["a"])
    assert second.target != first.target
    finish(placement, second, ok=False)
    assert decide(placement, ["a"]) == []
    assert placement.backoff.get_retry_after(make_version("a"), 1.0) > 0
    assert len(decide(placement, ["a"], now=2.0)) == 1


def test_lost_reply_leaves_slot_uncertain():
    placement = make_placement([""], slots=1)
    (order,) = decide(placement, ["a"])
    finish(placement, order, ok=False, is_certain=False)
    assert decide(placement, ["a", "b"]) == []
    apply_report(placement, "t0", "a", 30.0)
    assert placement.get_targets(make_version("a")) == ["t0"]


def test_overdue_result_releases_the_budget():
    placement = make_placement([""])
    budget = StoreBudget(STORE)
    decide(placement, ["a"], budget=budget)
    assert budget.in_flight == 1
    decide(placement, [], budget=budget, now=60.0)
    assert budget.in_flight == 0


@pytest.mark.parametrize("cause", ["marked-down", "restarted", "removed"])
def test_load_whose_result_never_comes_releases_the_budget(cause):
    placement = make_placement(["", ""])
    budget = StoreBudget(STORE)
    (order,) = decide(placement, ["a"], budget=budget)
    if cause == "marked-down":
        placement.mark_target_down(order.target)
    elif cause == "restarted":
        apply_report(placement, order.target, "", 5.0, incarnation="2")
    else:
        remove_target(placement, order.target)
    decide(placement, [], budget=budget, now=15.0)
    assert budget.in_flight == 1
    decide(placement, [], budget=budget, now=60.0)
    assert budget.in_flight == 0


def test_load_ordered_again_is_charged_once():
    placement = make_placement([""])
    targets = [slots.target for slots in placement.slots_by_target.values()]
    budget = StoreBudget(STORE)
    decide(placement, ["a"], budget=budget)
    placement.set_targets([])
    placement.set_targets(targets)
    apply_report(placement, "t0", "", 1.5)
    (order,) = decide(placement, ["a"], budget=budget, now=2.0)
    assert budget.in_flight == 1
    placement.note_order_result(
        "t0", order.order, ok=True, is_certain=True, budget=budget, now=3.0
    )
    assert budget.in_flight == 0


def test_restarted_target_is_empty():
    placement = make_placement(["ab"])
    apply_report(placement, "t0", "", 5.0, incarnation="2")
    assert placement.get_targets(make_version("a")) == []
    (order,) = decide(placement, ["a"], now=6.0)
    assert isinstance(order.order, LoadAdapter)


def test_closed_target_gets_no_load():
    placement = make_placement(["", ""])
    placement.set_open("t0", is_open=False)
    (order,) = decide(placement, ["a"])
    assert order.target == "t1"


def test_copy_goes_to_another_domain():
    placement = make_placement(["a", "b"])
    need = LoadNeed(make_version("a"), "o", 1.0, is_copy=True)
    (order,) = placement.decide([need], Pins(), StoreBudget(STORE), epoch=7, now=1.0)
    assert order.target == "t1"


def test_versions_of_a_failed_domain_are_loaded_within_the_budget():
    placement = make_placement(["abcdefgh", ""], slots=8)
    for name in "abcdefgh":
        placement.note_demand(make_version(name), "o", now=0.5)
    placement.mark_target_down("t0")
    placement.set_open("t0", is_open=False)
    budget = StoreBudget(Store("s", 5.0, 1, 8, 0.25))
    orders = decide(placement, "abcdefgh", budget=budget)
    assert len(orders) == 1


def test_prefetch_waits_for_idle_budget():
    placement = make_placement([""])
    placement.note_demand(make_version("a"), "o", now=0.5)
    loads = decide(placement, ["b"])
    assert [order.order.adapter for order in loads] == ["b"]
    assert decide(placement, []) == []
    finish(placement, loads[0])
    (order,) = decide(placement, [], now=2.0)
    assert order.order.adapter == "a"


def test_prefetch_hysteresis():
    placement = make_placement(["ab"])
    for name in "ab":
        placement.note_demand(make_version(name), "o", now=0.5)
    for _ in range(2):
        placement.note_demand(make_version("c"), "o", now=0.5)
    assert decide(placement, []) == []


def test_flooding_organisation_does_not_evict_adapters_of_others():
    placement = make_placement(["ab"])
    for organisation, name, count in (("x", "a", 2), ("y", "c", 2), ("z", "b", 9)):
        for _ in range(count):
            placement.note_demand(make_version(name), organisation, now=0.5)
    (order,) = decide(placement, ["d"])
    values = {
        name: placement.demand.get_value(make_version(name), 1.0) for name in "ab"
    }
    assert values["b"] == pytest.approx(values["a"])
    assert order.order.adapter in "ab"
