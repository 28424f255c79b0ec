"""Random histories of an in-memory fleet, whose checks must always hold."""

import hypothesis.strategies as st
import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from thornlatch.dispatch.tests.history import (
    ADAPTERS,
    OUTCOMES,
    Driver,
    run_history,
)

CHOICES = st.integers(0, 40)


class FleetMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.driver = Driver()

    @rule(choice=CHOICES, adapter=st.sampled_from(ADAPTERS), is_batch=st.booleans())
    def request(self, choice, adapter, is_batch):
        self.driver.request(choice, adapter, is_batch)

    @precondition(lambda self: self.driver.fleet.uses)
    @rule(choice=CHOICES, outcome=st.sampled_from(OUTCOMES))
    def finish(self, choice, outcome):
        self.driver.finish(choice, outcome)

    @precondition(lambda self: self.driver.fleet.network)
    @rule(choice=CHOICES, keep=st.booleans())
    def deliver(self, choice, keep):
        self.driver.deliver(choice, keep=keep)

    @precondition(lambda self: self.driver.fleet.network)
    @rule(choice=CHOICES)
    def drop_message(self, choice):
        self.driver.drop_message(choice)

    @precondition(lambda self: self.driver.fleet.orders)
    @rule(choice=CHOICES, is_lost=st.booleans())
    def execute_order(self, choice, is_lost):
        self.driver.execute_order(choice, is_lost=is_lost)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 3.0]))
    def advance(self, seconds):
        self.driver.advance(seconds)

    @rule(seconds=st.sampled_from([0.5, 2.0]))
    def advance_with_delivery(self, seconds):
        self.driver.advance_with_delivery(seconds)

    @rule()
    def report(self):
        self.driver.report()

    @rule(choice=CHOICES)
    def capture_report(self, choice):
        self.driver.capture_report(choice)

    @rule()
    def deliver_stale_report(self):
        self.driver.deliver_stale_report()

    @rule(choice=CHOICES)
    def restart_engine(self, choice):
        self.driver.restart_engine(choice)

    @rule(choice=CHOICES)
    def fail_engine(self, choice):
        self.driver.fail_engine(choice)

    @rule(choice=CHOICES)
    def pause(self, choice):
        self.driver.pause(choice)

    @rule()
    def resume(self):
        self.driver.resume()

    @rule()
    def expel_paused(self):
        self.driver.expel_paused()

    @rule(choice=CHOICES)
    def kill(self, choice):
        self.driver.kill(choice)

    @rule(choice=CHOICES)
    def change_owner(self, choice):
        self.driver.change_owner(choice)

    @rule(choice=CHOICES)
    def mark_leaving(self, choice):
        self.driver.mark_leaving(choice)

    @invariant()
    def has_no_violation(self):
        assert not self.driver.fleet.violations


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = settings(
    max_examples=60,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


@pytest.mark.parametrize("seed", range(100))
def test_history_seeded(seed):
    assert run_history(seed) is None
