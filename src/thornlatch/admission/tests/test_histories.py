"""Checks that no window of any history exceeds rate and burst over the fleet."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thornlatch.admission.tests.breakages import BREAKAGES
from thornlatch.admission.tests.fleet import compute_excess
from thornlatch.admission.tests.scenarios import SCENARIOS
from thornlatch.admission.tests.schedules import SLOTS, STORE, History

SEEDS = range(60)

# Scenario that detects a breakage; seeds detect the other breakages.
SCENARIO_BY_BREAKAGE = {
    "ignore_expelled_holders": "expel_full_holder",
    "spend_while_unconfirmed": "partitioned_holder_spends",
    "respond_while_unconfirmed": "join_after_expulsion",
    "accept_old_round_id": "repeat_move_of_earlier_epoch",
    "refund_beyond_depth": "settle_when_full",
}


def run_history(choice: int | str) -> float:
    if isinstance(choice, str):
        return compute_excess(SCENARIOS[choice]())
    return compute_excess(History(choice).run())


@pytest.mark.parametrize("seed", SEEDS)
def test_history_holds_with_seed(seed):
    history = History(seed)
    fleet = history.run()
    assert compute_excess(fleet) == 0
    assert compute_excess(fleet, STORE) == 0
    assert history.max_loads <= SLOTS


@settings(max_examples=20, deadline=None, derandomize=True)
@given(seed=st.integers(1000, 1 << 32), hosts=st.integers(1, 6))
def test_history_holds_with_any_schedule(seed, hosts):
    history = History(seed, hosts=hosts, duration_s=3.0)
    fleet = history.run()
    assert compute_excess(fleet) == 0
    assert compute_excess(fleet, STORE) == 0
    assert history.max_loads <= SLOTS


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_history_holds_in_scenario(scenario):
    assert run_history(scenario) == 0


@pytest.mark.parametrize("breakage", SCENARIO_BY_BREAKAGE)
def test_breakage_is_caught_by_scenario(breakage, monkeypatch):
    BREAKAGES[breakage](monkeypatch)
    assert run_history(SCENARIO_BY_BREAKAGE[breakage]) > 0


@pytest.mark.parametrize(
    "breakage", sorted(BREAKAGES.keys() - SCENARIO_BY_BREAKAGE.keys())
)
def test_breakage_is_caught_by_a_seed(breakage, monkeypatch):
    """`test_history_holds_with_seed` passes for all of these seeds."""
    BREAKAGES[breakage](monkeypatch)
    assert any(run_history(seed) > 0 for seed in SEEDS)
