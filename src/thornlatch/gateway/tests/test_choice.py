"""Choice of a target under different load patterns."""

from dataclasses import replace

import pytest

from thornlatch.fleet import Target
from thornlatch.gateway._choice import (
    RequestRequirements,
    Step,
    TargetState,
    compute_home_rank,
    list_options,
)
from thornlatch.gateway._settings import ForwardingSettings
from thornlatch.residency import Resident

SETTINGS = ForwardingSettings()
NOW = 100.0
READY = Resident(1, 0.0)


def build_target(name, domain="z1", slots=8):
    return Target(name, "llm", "1.2.3.4:5", domain, slots)


TARGETS = [build_target("t1"), build_target("t2"), build_target("t3")]


def build_requirements(adapter="m/a", version=0, excluded=()):
    return RequestRequirements(
        adapter,
        version,
        "z1",
        frozenset(excluded),
        0.27,
        0.04,
        1.6,
        3e-5,
        prefill_limit_s=SETTINGS.prefill_limit_gaps * 0.3,
    )


def is_preferred(state):
    return state.resident is not None or state.was_resident


def choose(states, requirements=None, targets=TARGETS):
    default = TargetState(0)
    return list_options(
        targets,
        requirements or build_requirements(),
        lambda t: states.get(t.id, default),
        SETTINGS,
        preferred=[name for name, state in states.items() if is_preferred(state)],
        now=NOW,
    )


def test_request_goes_to_the_target_that_holds_its_adapter():
    options = choose({"t2": TargetState(5, resident=READY)})
    assert (options[0].target.id, options[0].step) == ("t2", Step.SEND)


def test_flash_crowd_on_one_adapter_gets_no_second_copy_while_slots_are_free():
    options = choose({"t2": TargetState(7, resident=READY)})
    assert [option.target.id for option in options] == ["t2"]


def test_other_targets_are_not_examined_while_one_with_the_adapter_has_free_slots():
    examined = []
    states = {"t2": TargetState(7, resident=READY)}

    def get_state(target):
        examined.append(target.id)
        return states.get(target.id, TargetState(0))

    for requests, expected in ((7, ["t2"]), (20, ["t2", "t1", "t3"])):
        examined.clear()
        states["t2"] = TargetState(requests, resident=READY)
        list_options(
            TARGETS,
            build_requirements(),
            get_state,
            SETTINGS,
            preferred={"t2"},
            now=NOW,
        )
        assert examined == expected


def test_flash_crowd_beyond_the_slots_of_one_target_gets_a_second_copy():
    options = choose({"t2": TargetState(20, resident=READY)})
    assert options[0].step is Step.REQUEST_LOAD
    assert {option.target.id for option in options} == {"t1", "t2", "t3"}


def test_burst_on_a_cold_adapter_waits_for_the_load_in_progress():
    loading = Resident(1, NOW + 0.2)
    options = choose({"t3": TargetState(0, resident=loading)})
    assert options[0].step is Step.AWAIT_LOAD
    assert options[0].wait_s == pytest.approx(0.2)
    assert len(options) == 1


@pytest.mark.parametrize("was_resident", [True, False])
def test_queued_load_that_is_overdue_is_not_taken_for_a_loaded_adapter(was_resident):
    """Places are scarce: the load waits until a request ends at its target."""
    queued = Resident(1, NOW - 5.0, is_queued=True)
    states = {"t3": TargetState(0, resident=queued, was_resident=was_resident)}
    options = choose(states)
    assert options[0].step is Step.AWAIT_LOAD
    assert options[0].wait_s == pytest.approx(0.04 if was_resident else 0.27)


def test_rare_adapter_goes_where_a_place_is_free():
    home = min(TARGETS, key=lambda t: compute_home_rank("m/a", t.id)).id
    options = choose({home: TargetState(0, place_wait_s=1.5)})
    assert options[0].target.id != home
    assert options[0].wait_s == pytest.approx(0.27)


def test_adapter_queued_behind_busy_places_may_be_loaded_elsewhere():
    queued = Resident(1, NOW + 3.0, is_queued=True)
    options = choose({"t3": TargetState(0, resident=queued)})
    assert options[0].step is Step.REQUEST_LOAD
    assert options[0].target.id != "t3"


def test_request_for_a_base_model_skips_engines_that_restarted_without_it():
    states = {"t1": TargetState(0, has_model=False), "t2": TargetState(3)}
    options = choose(states, build_requirements(adapter=""))
    assert [option.target.id for option in options] == ["t3", "t2"]


def test_hosts_that_choose_at_once_spread_over_copies_but_not_over_homes():
    home = min(TARGETS, key=lambda t: compute_home_rank("m/a", t.id)).id
    options = choose({home: TargetState(0, spread_s=0.15)})
    assert options[0].target.id == home
    copies = {
        "t1": TargetState(0, resident=READY, spread_s=0.15),
        "t2": TargetState(2, resident=READY),
    }
    assert choose(copies)[0].target.id == "t2"


def test_all_hosts_choose_the_same_home_for_a_rare_adapter():
    first = choose({})[0].target.id
    second = choose({}, targets=list(reversed(TARGETS)))[0].target.id
    assert (
        first == second == min(TARGETS, key=lambda t: compute_home_rank("m/a", t.id)).id
    )


def test_returning_adapter_goes_to_a_former_target():
    for name in ("t1", "t2", "t3"):
        options = choose({name: TargetState(0, was_resident=True)})
        assert options[0].target.id == name
        assert options[0].wait_s == pytest.approx(0.04)


def test_long_queue_of_loads_sends_a_rare_adapter_to_another_target():
    home = min(TARGETS, key=lambda t: compute_home_rank("m/a", t.id)).id
    options = choose({home: TargetState(0, in_transit=6)})
    assert options[0].target.id != home


def test_backlog_of_long_prompts_sends_the_next_request_to_another_copy():
    states = {
        "t1": TargetState(1, prompt_tokens=9000, resident=READY),
        "t2": TargetState(3, resident=READY),
    }
    assert choose(states)[0].target.id == "t2"


def test_backlog_of_long_prompts_justifies_a_load_at_a_former_target():
    states = {
        "t1": TargetState(4, prompt_tokens=9000, resident=READY),
        "t3": TargetState(0, was_resident=True),
    }
    best = choose(states)[0]
    assert (best.target.id, best.step) == ("t3", Step.REQUEST_LOAD)


def test_backlog_of_long_prompts_does_not_justify_a_fetch_from_the_weight_store():
    states = {"t1": TargetState(4, prompt_tokens=9000, resident=READY)}
    assert [option.target.id for option in choose(states)] == ["t1"]


@pytest.mark.parametrize(("prompt_tokens", "waits"), [(3000, False), (9000, True)])
def test_burst_of_prompts_waits_until_the_backlog_is_short_enough_for_streams(
    prompt_tokens, waits
):
    states = {"t1": TargetState(4, prompt_tokens=prompt_tokens, resident=READY)}
    best = choose(states, replace(build_requirements(), may_await_prefill=True))[0]
    assert best.step is (Step.AWAIT_PREFILL if waits else Step.SEND)
    assert (0.05 < best.wait_s < 0.3) is waits
    assert choose(states)[0].step is Step.SEND


def test_failure_at_half_of_the_targets_leaves_the_others():
    options = choose({}, build_requirements(excluded=("t1", "t2")))
    assert [option.target.id for option in options] == ["t3"]


def test_failing_target_is_the_last_resort():
    states = {
        "t1": TargetState(0, is_avoided=True, resident=READY),
        "t2": TargetState(7, resident=READY),
    }
    assert choose(states)[0].target.id == "t2"


def test_target_without_a_holder_gets_no_loads():
    states = {t.id: TargetState(0, is_held=False) for t in TARGETS}
    assert choose(states) == []


def test_target_without_a_holder_still_serves_its_adapters():
    states = {t.id: TargetState(0, is_held=False) for t in TARGETS}
    states["t1"] = TargetState(0, resident=READY, is_held=False)
    assert choose(states)[0].step is Step.SEND


def test_older_version_isn_t_used_once_the_newer_one_is_required():
    states = {"t1": TargetState(0, resident=READY)}
    assert choose(states)[0].target.id == "t1"
    options = choose(states, build_requirements(version=2))
    assert all(option.step is Step.REQUEST_LOAD for option in options)


def test_plain_request_goes_to_the_least_loaded_target_of_its_own_domain():
    targets = [build_target("near"), build_target("far", domain="z2")]
    plain = build_requirements(adapter="")
    assert choose({}, plain, targets)[0].target.id == "near"
    busy = {"near": TargetState(8)}
    assert choose(busy, plain, targets)[0].target.id == "far"


def test_wait_grows_with_the_queue_beyond_the_slots():
    waits = [
        choose({"t1": TargetState(n)}, build_requirements("", excluded=("t2", "t3")))[
            0
        ].wait_s
        for n in (0, 7, 8, 16)
    ]
    assert waits[:2] == [0, 0]
    assert waits[3] > waits[2] > 0


def test_slow_target_gets_its_part_of_the_work_only():
    """A target four times as slow had the cost of a sound one until its queue grew."""
    requirements = replace(build_requirements(), work_s=1.5)
    states = {
        "t1": TargetState(2, resident=READY, work_ratio=4.0),
        "t2": TargetState(4, resident=READY),
    }
    assert choose(states, requirements)[0].target.id == "t2"
    # The sound one is full: what the slow one has left is used.
    states["t2"] = TargetState(16, resident=READY)
    assert choose(states, requirements)[0].target.id == "t1"


def test_hosts_do_not_all_choose_the_fastest_target():
    requirements = replace(build_requirements(), work_s=1.5)
    states = {
        "t1": TargetState(7, resident=READY, work_ratio=0.7),
        "t2": TargetState(1, resident=READY, work_ratio=1.0),
    }
    assert choose(states, requirements)[0].target.id == "t2"


def test_long_request_goes_to_a_target_at_which_it_ends_in_time():
    """Long streams at slow targets were cut at their deadline, almost complete."""
    states = {
        "t1": TargetState(0, resident=READY, work_ratio=1.7),
        "t2": TargetState(7, resident=READY, work_ratio=0.7),
    }
    requirements = replace(build_requirements(), work_s=8.0, left_s=12.0)
    assert choose(states, requirements)[0].target.id == "t2"
    # If no target holds the adapter and is fast enough, it is loaded at one that is.
    del states["t2"]
    assert choose(states, requirements)[0].step is Step.REQUEST_LOAD
    # Where all are as slow, the request runs where its adapter is.
    slow = {name: TargetState(0, work_ratio=1.7) for name in ("t2", "t3")}
    assert choose(states | slow, requirements)[0].target.id == "t1"


def test_request_too_long_for_any_target_loads_no_second_copy():
    """At 1.01 of the usual time its adapter was loaded elsewhere, in vain."""
    requirements = replace(build_requirements(), work_s=13.0, left_s=12.0)
    states = {"t1": TargetState(0, resident=READY, work_ratio=1.01)}
    options = choose(states, requirements)
    assert [option.target.id for option in options] == ["t1"]


def test_targets_without_reports_are_chosen_as_before():
    states = {
        "t1": TargetState(3, resident=READY),
        "t2": TargetState(1, resident=READY),
    }
    long_request = replace(build_requirements(), work_s=50.0, left_s=1.0)
    assert choose(states, long_request) == choose(states)
