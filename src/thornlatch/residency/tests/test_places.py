"""Hundreds of adapters are asked for and a target has places for few of them."""

import pytest

from thornlatch.residency import UnloadAdapter
from thornlatch.residency._places import INITIAL_TURNOVER_S, PlaceUse
from thornlatch.residency.tests.test_planner import (
    LIMITS,
    build_planner,
    request_load,
    send_next_order,
)

FULL = {"a": 1, "b": 1, "c": 1}


def use(planner, counts, since, until):
    """Record the same requests from time to time, as digests do."""
    now = since
    while now < until:
        planner.note_use({f"m/{name}": n for name, n in counts.items()}, now=now)
        now += 0.05


def list_waits(planner, uses, now):
    return {
        resident.name: resident.ready_in_s
        for resident in planner.get_residents(uses, now=now)
        if resident.is_queued
    }


def test_popular_adapter_that_is_idle_for_a_moment_outlasts_one_used_once():
    planner = build_planner(FULL)
    use(planner, {"a": 5, "c": 1}, 0.0, 4.0)
    use(planner, {"b": 1, "c": 1}, 4.0, 4.5)
    request_load(planner, "new", 5.0)
    order = send_next_order(planner, 5.0, {"m/c": 1}).order
    assert order == UnloadAdapter("m", "b")


def test_adapter_that_another_host_may_have_just_used_is_kept():
    planner = build_planner(FULL)
    use(planner, dict.fromkeys(FULL, 1), 0.0, 4.0)
    request_load(planner, "new", 4.0)
    assert send_next_order(planner, 4.0 + 0.1) is None
    assert send_next_order(planner, 4.0 + 0.3) is not None


def test_adapter_that_has_just_been_loaded_is_kept_for_those_who_wait_for_it():
    planner = build_planner(FULL)
    planner.note_use({"m/a": 1, "m/b": 1}, now=1.0)
    request_load(planner, "new", 1.0)
    request_load(planner, "next", 1.0)
    assert send_next_order(planner, 1.0, {"m/a": 1, "m/b": 1}).order.adapter == "c"
    assert send_next_order(planner, 1.0, {"m/a": 1, "m/b": 1}).order.adapter == "new"
    ready_at = planner.adapters["m/new"].ready_at
    assert send_next_order(planner, ready_at + 0.1, {"m/a": 1, "m/b": 1}) is None
    assert send_next_order(planner, ready_at + 0.3, {"m/a": 1, "m/b": 1}) is not None


def test_restarted_target_is_no_place_until_its_model_is_loaded():
    planner = build_planner()
    planner.model = ""
    assert planner.estimate_place_wait({}, now=1.0) == LIMITS.models[0].load_s
    request_load(planner, "x", 1.0)
    (queued,) = planner.get_residents({}, now=1.0)
    assert queued.ready_in_s == pytest.approx(LIMITS.models[0].load_s + 0.27)


def test_load_that_can_still_be_in_time_goes_before_those_that_are_late_anyway():
    planner = build_planner({"a": 1, "b": 1})
    request_load(planner, "late", 1.0, due_s=0.1)
    request_load(planner, "late", 1.0, due_s=0.1)
    request_load(planner, "new", 1.1, due_s=0.9)
    assert send_next_order(planner, 1.1).order.adapter == "new"


def test_load_that_nobody_waits_for_any_more_is_not_ordered():
    planner = build_planner({"a": 1})
    request_load(planner, "gone", 1.0, useful_s=0.5)
    assert send_next_order(planner, 1.6) is None


def test_queued_loads_wait_for_the_places_that_running_requests_use():
    planner = build_planner(FULL)
    uses = {"m/a": 1, "m/b": 1, "m/c": 9}
    planner.note_use(uses, now=1.0)
    for name in ("x", "y"):
        request_load(planner, name, 1.0)
    waits = list_waits(planner, uses, 1.0)
    assert waits["m/x"] == pytest.approx(INITIAL_TURNOVER_S + 0.27)
    assert waits["m/y"] == pytest.approx(INITIAL_TURNOVER_S + 2 * 0.27)
    wait_s = planner.estimate_place_wait(uses, now=1.0)
    assert wait_s == pytest.approx(3 * INITIAL_TURNOVER_S)


def test_free_places_are_had_at_once():
    planner = build_planner({"a": 1})
    assert planner.estimate_place_wait({}, now=1.0) == 0.0
    request_load(planner, "x", 1.0)
    request_load(planner, "y", 1.0)
    assert planner.estimate_place_wait({}, now=1.0) == 0.0


def test_expected_wait_follows_the_pace_at_which_places_become_free():
    places = PlaceUse()
    for number in range(100):
        places.note_load(requested_at=0.0, now=number * 0.5)
    assert places.get_wait([], 0) == pytest.approx(0.5, abs=0.01)
    assert places.get_wait([0.1], 2) == pytest.approx(1.0, abs=0.01)


def test_loads_that_find_a_place_at_once_say_nothing_about_the_wait_for_one():
    places = PlaceUse()
    for number in range(100):
        places.note_load(requested_at=number * 2.0, now=number * 2.0 + 0.01)
    assert places.get_wait([], 0) == INITIAL_TURNOVER_S
