"""Replication from crowded targets; each test has the load pattern behind one rule."""

from thornlatch.residency import (
    AdapterCopy,
    ReplicationSettings,
    TargetLoad,
    choose_copy,
)

SETTINGS = ReplicationSettings()


def build_load(name, requests, *, uses=(), adapters=(), former=(), can_load=True):
    return TargetLoad(
        name, requests, 32, dict(uses), set(adapters), set(former), can_load
    )


def choose(crowded, *others, may_fetch=True):
    return choose_copy(crowded, others, SETTINGS, may_fetch=may_fetch)


CROWDED = build_load(
    "t1", 28, uses={"m/a": 9, "m/b": 6, "m/c": 1}, adapters={"m/a", "m/b"}
)


def test_flash_crowd_on_one_adapter_is_copied_to_the_least_loaded_target():
    copy = choose(
        CROWDED, build_load("t2", 6), build_load("t3", 2), build_load("t4", 9)
    )
    assert copy == AdapterCopy("m/a", "t3")


def test_target_that_held_the_adapter_before_is_preferred():
    copy = choose(CROWDED, build_load("t2", 6, former={"m/a"}), build_load("t3", 2))
    assert copy == AdapterCopy("m/a", "t2")


def test_several_popular_adapters_at_one_target_are_copied_one_at_a_time():
    copy = choose(CROWDED, build_load("t2", 6, adapters={"m/a"}), build_load("t3", 2))
    assert copy == AdapterCopy("m/b", "t3")


def test_copy_at_another_crowded_target_does_not_count():
    copy = choose(CROWDED, build_load("t2", 27, adapters={"m/a"}), build_load("t3", 2))
    assert copy == AdapterCopy("m/a", "t3")


def test_adapters_with_one_request_each_are_not_copied():
    crowded = build_load("t1", 28, uses={f"m/{n}": 1 for n in range(28)})
    assert choose(crowded, build_load("t2", 2)) is None


def test_nothing_is_copied_if_all_targets_are_equally_loaded():
    assert choose(CROWDED, build_load("t2", 27), build_load("t3", 26)) is None


def test_nothing_is_copied_at_low_load():
    lightly_loaded = build_load("t1", 5, uses={"m/a": 5})
    assert choose(lightly_loaded, build_load("t2", 0), build_load("t3", 0)) is None


def test_busy_weight_store_is_left_to_waiting_requests():
    assert choose(CROWDED, build_load("t2", 2), may_fetch=False) is None
    former = build_load("t3", 5, former={"m/b"})
    assert choose(CROWDED, build_load("t2", 2), former, may_fetch=False) == AdapterCopy(
        "m/b", "t3"
    )


def test_target_without_a_holder_gets_no_copy():
    assert choose(CROWDED, build_load("t2", 2, can_load=False)) is None
