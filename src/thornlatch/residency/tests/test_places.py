"""Hundreds of adapters are asked for and a target has places for few of them."""

import pytest

from thornlatch.residency import UnloadAdapter
from thornlatch.residency._places import INITIAL_SPAN_S, PlaceUse
from thornlatch.residency.tests.test_planner import (
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
    assert waits["m/x"] == pytest.approx(INITIAL_SPAN_S / 2 + 0.27)
    assert waits["m/y"] == pytest.approx(INITIAL_SPAN_S + 0.27)
    # The third load would need the place that nine requests share.
    assert planner.estimate_place_wait(uses, now=1.0) > INITIAL_SPAN_S


def test_free_places_are_had_at_once():
    planner = build_planner({"a": 1})
    assert planner.estimate_place_wait({}, now=1.0) == 0.0
    request_load(planner, "x", 1.0)
    request_load(planner, "y", 1.0)
    assert planner.estimate_place_wait({}, now=1.0) == 0.0


def test_span_of_use_follows_the_requests():
    places = PlaceUse()
    for number in range(100):
        places.note({"a": 1}, ["a"], now=number * 1.0)
        places.note({}, ["a"], now=number * 1.0 + 0.2)
    assert places.span_s == pytest.approx(0.2, abs=0.05)
    assert places.get_wait([], 0) == places.span_s
