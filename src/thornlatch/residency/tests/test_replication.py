"""Copies for crowded targets, by the load pattern that each rule answers."""

from thornlatch.residency import (
    AdapterCopy,
    ReplicationSettings,
    TargetLoad,
    choose_copy,
)

SETTINGS = ReplicationSettings()


def load(name, requests, *, uses=(), adapters=(), former=(), can_load=True):
    return TargetLoad(
        name, requests, 32, dict(uses), set(adapters), set(former), can_load
    )


def advise(crowded, *others, may_fetch=True):
    return choose_copy(crowded, others, SETTINGS, may_fetch=may_fetch)


HOT = load("t1", 28, uses={"m/a": 9, "m/b": 6, "m/c": 1}, adapters={"m/a", "m/b"})


def test_flash_crowd_on_one_adapter_gets_a_copy_at_the_calmest_target():
    advice = advise(HOT, load("t2", 6), load("t3", 2), load("t4", 9))
    assert advice == AdapterCopy("m/a", "t3")


def test_target_that_held_the_adapter_before_is_taken_first():
    advice = advise(HOT, load("t2", 6, former={"m/a"}), load("t3", 2))
    assert advice == AdapterCopy("m/a", "t2")


def test_some_popular_adapters_at_one_target_are_spread_one_after_the_other():
    advice = advise(HOT, load("t2", 6, adapters={"m/a"}), load("t3", 2))
    assert advice == AdapterCopy("m/b", "t3")


def test_copy_at_a_target_that_is_crowded_too_doesn_t_help():
    advice = advise(HOT, load("t2", 27, adapters={"m/a"}), load("t3", 2))
    assert advice == AdapterCopy("m/a", "t3")


def test_many_rare_adapters_at_one_target_aren_t_worth_copies():
    crowd = load("t1", 28, uses={f"m/{n}": 1 for n in range(28)})
    assert advise(crowd, load("t2", 2)) is None


def test_load_that_is_high_everywhere_isn_t_moved_about():
    assert advise(HOT, load("t2", 27), load("t3", 26)) is None


def test_calm_hours_need_no_copies():
    calm = load("t1", 5, uses={"m/a": 5})
    assert advise(calm, load("t2", 0), load("t3", 0)) is None


def test_busy_weight_store_is_left_to_those_who_wait_for_it():
    assert advise(HOT, load("t2", 2), may_fetch=False) is None
    former = load("t3", 5, former={"m/b"})
    assert advise(HOT, load("t2", 2), former, may_fetch=False) == AdapterCopy(
        "m/b", "t3"
    )


def test_target_that_nobody_orders_gets_no_copy():
    assert advise(HOT, load("t2", 2, can_load=False)) is None
