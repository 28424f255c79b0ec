"""History checks: no window of any run exceeds rate and burst over the fleet."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thornlatch.admission.tests.breakages import BREAKAGES
from thornlatch.admission.tests.fleet import compute_excess
from thornlatch.admission.tests.scenarios import SCENARIOS
from thornlatch.admission.tests.schedules import SLOTS, STORE, History

# Seeds of random histories, or the directed one, that catch each breakage.
CATCHES = {
    "lend_twice": 0,
    "raise_before_lower": 3,
    "lend_before_all_answered": 1,
    "invite_gone_holders": 1,
    "spend_while_unconfirmed": "cut_off_holder_spends",
    "accept_old_number": 5,
    "forget_expelled_holders": "expel_full_holder",
    "take_part_while_unconfirmed": 127,
    "accept_old_stamp": "repeat_move_of_earlier_epoch",
    "refund_beyond_depth": "settle_when_full",
}


def run_history(choice: int | str) -> float:
    if isinstance(choice, str):
        return compute_excess(SCENARIOS[choice]())
    return compute_excess(History(choice).run())


@pytest.mark.parametrize("seed", range(60))
def test_history_holds_with_seed(seed):
    history = History(seed)
    fleet = history.run()
    assert compute_excess(fleet) == 0
    assert compute_excess(fleet, STORE) == 0
    assert history.most_loads <= SLOTS


@settings(max_examples=20, deadline=None, derandomize=True)
@given(seed=st.integers(1000, 1 << 32), hosts=st.integers(1, 6))
def test_history_holds_with_any_schedule(seed, hosts):
    history = History(seed, hosts=hosts, duration_s=3.0)
    fleet = history.run()
    assert compute_excess(fleet) == 0
    assert compute_excess(fleet, STORE) == 0
    assert history.most_loads <= SLOTS


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_history_holds_in_scenario(scenario):
    assert run_history(scenario) == 0


@pytest.mark.parametrize(("breakage", "choice"), CATCHES.items(), ids=CATCHES)
def test_breakage_is_caught(breakage, choice, monkeypatch):
    assert run_history(choice) == 0
    BREAKAGES[breakage](monkeypatch)
    assert run_history(choice) > 0


def test_breakages_all_have_a_catch():
    assert BREAKAGES.keys() == CATCHES.keys()
