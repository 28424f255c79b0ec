"""Seeded breakages: with a rule of dispatch disabled, a history violates a check.

Each breakage is run with a seed whose history shows the violation.
"""

import pytest

from thornlatch.dispatch import Dispatch
from thornlatch.dispatch._client import PoolClient
from thornlatch.dispatch._recovery import GrantRecovery
from thornlatch.dispatch._scheduler import PoolScheduler
from thornlatch.dispatch._table import GrantTable
from thornlatch.dispatch.tests.fleet import FakeLeases
from thornlatch.dispatch.tests.history import run_history
from thornlatch.placement import TargetSlots


def skip_recovery(monkeypatch):
    def collect_due_hosts(self, holders, now):
        self.is_complete = True
        return []

    monkeypatch.setattr(GrantRecovery, "collect_due_hosts", collect_due_hosts)


def skip_wait_for_expelled(monkeypatch):
    def iter_possible_holders(self, *, now):
        return list(self.view.members)

    monkeypatch.setattr(FakeLeases, "iter_possible_holders", iter_possible_holders)


def ignore_leaving(monkeypatch):
    monkeypatch.setattr(Dispatch, "_get_leaving_targets", lambda self: set())
    monkeypatch.setattr(PoolScheduler, "_update_leaving", lambda self, now: [])


def ignore_pins(monkeypatch):
    monkeypatch.setattr(GrantTable, "is_pinned", lambda self, target, version: False)


def ignore_unanswered_requests(monkeypatch):
    monkeypatch.setattr(GrantTable, "add_orphan_pin", lambda self, pin, until: None)


def accept_grants_of_former_owners(monkeypatch):
    monkeypatch.setattr(PoolClient, "advance_epoch", lambda self, epoch: None)


def trust_lost_results(monkeypatch):
    def lose_result(self, version):
        if self.evicting.pop(version, None):
            self.resident[version] = 0.0
        if self.loading.pop(version, None):
            self.resident[version] = 0.0

    monkeypatch.setattr(TargetSlots, "lose_result", lose_result)


BREAKAGES = [
    (skip_recovery, 0),
    (skip_wait_for_expelled, 9),
    (ignore_leaving, 5),
    (ignore_pins, 0),
    (ignore_unanswered_requests, 0),
    (accept_grants_of_former_owners, 61),
    (trust_lost_results, 398),
]


@pytest.mark.parametrize(
    ("break_rule", "seed"),
    BREAKAGES,
    ids=[break_rule.__name__ for break_rule, _ in BREAKAGES],
)
def test_history_breakage_is_caught(monkeypatch, break_rule, seed):
    break_rule(monkeypatch)
    assert run_history(seed) is not None
