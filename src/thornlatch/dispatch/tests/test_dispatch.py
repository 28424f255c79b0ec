import math

import pytest

from thornlatch.dispatch import DispatchSettings, Grant, Outcome
from thornlatch.dispatch.tests.fleet import Fleet, make_spec, make_targets
from thornlatch.exceptions import ErrorKind, RequestRefused

# `bench leases` measured at most this time until a failed owner's keys had another.
TAKEOVER_LIMIT_S = 8.5


@pytest.fixture
def fleet():
    fleet = Fleet()
    fleet.advance(0.1)
    fleet.poll_targets()
    fleet.settle()
    return fleet


def test_request_cold_adapter(fleet):
    fleet.request("h2", make_spec("r1"))
    fleet.settle()
    grant = fleet.results["r1"]
    assert isinstance(grant, Grant)
    assert fleet.engines[grant.target].loaded


def test_request_reuses_kept_grant(fleet):
    fleet.request("h2", make_spec("r1"))
    fleet.settle()
    fleet.request("h2", make_spec("r2"))
    fleet.settle()
    first = fleet.results["r2"]
    fleet.finish(first.grant)
    fleet.settle()
    fleet.request("h2", make_spec("r3"))
    assert fleet.results["r3"].grant == first.grant


def test_release_returns_slot(fleet):
    fleet.request("h2", make_spec("r1"))
    fleet.settle()
    fleet.finish(fleet.results["r1"].grant)
    fleet.advance(1.0)
    assert not fleet.count_held()
    assert not fleet.hosts["h1"].schedulers["p"].table.grants


def set_pools(fleet, pools, *, offset):
    for name, dispatch in fleet.hosts.items():
        targets = fleet.targets if pools else ()
        actions = dispatch.set_inventory(
            pools, targets, lambda name: None, [], offset=offset, now=fleet.now
        )
        fleet.apply_actions(name, actions)


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.FAILED])
@pytest.mark.parametrize("is_finished_first", [False, True])
@pytest.mark.parametrize("has_owner", [False, True])
def test_grant_of_a_removed_pool_does_not_keep_its_host_busy(
    fleet, has_owner, is_finished_first, outcome
):
    fleet.request("h2", make_spec("r1"))
    fleet.settle()
    if is_finished_first:
        fleet.finish(fleet.results["r1"].grant, outcome)
    if not has_owner:
        fleet.view.owner = None
    set_pools(fleet, [], offset=2)
    if not is_finished_first:
        fleet.advance(20.0)
        fleet.finish(fleet.results["r1"].grant, outcome)
    fleet.advance(fleet.settings.owner_wait_s + 1.0)
    assert not fleet.count_held()
    assert fleet.hosts["h2"].next_due(now=fleet.now) == math.inf


def test_release_outlasts_a_short_removal_of_the_pool(fleet):
    fleet.request("h2", make_spec("r1"))
    fleet.settle()
    fleet.finish(fleet.results["r1"].grant, Outcome.FAILED)
    fleet.network.clear()
    set_pools(fleet, [], offset=2)
    set_pools(fleet, [fleet.pool], offset=3)
    fleet.view.paused.add("h1")
    fleet.advance(2 * fleet.settings.owner_wait_s)
    assert fleet.hosts["h2"].clients["p"].releases
    fleet.view.paused.discard("h1")
    fleet.advance(1.0)
    assert not fleet.hosts["h2"].clients["p"].releases
    assert not fleet.hosts["h1"].schedulers["p"].table.grants


def test_request_unreachable_deadline(fleet):
    fleet.request("h2", make_spec("r1", deadline_in_s=0.01))
    fleet.settle()
    refusal = fleet.results["r1"]
    assert isinstance(refusal, RequestRefused)
    assert refusal.kind is ErrorKind.DEADLINE_UNREACHABLE
    assert refusal.retry_after_s > 0


@pytest.mark.parametrize(("owner_wait_s", "deadline_s"), [(2.0, 30.0), (10.0, 2.0)])
def test_request_without_owner_is_refused(owner_wait_s, deadline_s):
    fleet = Fleet(settings=DispatchSettings(owner_wait_s=owner_wait_s))
    fleet.view.owner = None
    fleet.request("h2", make_spec("r1", deadline_in_s=deadline_s))
    fleet.advance(2.5)
    assert fleet.results["r1"].kind is ErrorKind.NO_TARGET


def test_request_outlasts_the_takeover_from_a_failed_owner(fleet):
    fleet.view.owner = None
    fleet.request("h2", make_spec("r1", deadline_in_s=30.0))
    fleet.advance(TAKEOVER_LIMIT_S)
    assert "r1" not in fleet.results
    fleet.set_owner("h1")
    for _ in range(4):
        fleet.advance(1.0)
        fleet.poll_targets()
        fleet.settle()
    assert isinstance(fleet.results["r1"], Grant)


def test_not_loaded_outcome_causes_load(fleet):
    fleet.request("h2", make_spec("r1"))
    fleet.settle()
    grant = fleet.results["r1"]
    fleet.engines[grant.target].restart()
    fleet.finish(grant.grant, Outcome.NOT_LOADED)
    fleet.request("h2", make_spec("r1b", attempt=2))
    fleet.advance(0.2)
    fleet.poll_targets()
    fleet.settle()
    second = fleet.results["r1b"]
    assert fleet.engines[second.target].loaded


def test_close_refuses_pending(fleet):
    fleet.network.clear()
    fleet.request("h2", make_spec("r1"))
    fleet.apply_actions("h2", fleet.hosts["h2"].close(fleet.now))
    assert fleet.results["r1"].kind is ErrorKind.HOST_STOPPING


def test_targets_all_leaving():
    fleet = Fleet(targets=make_targets(is_leaving=True))
    fleet.advance(0.1)
    fleet.request("h2", make_spec("r1"))
    fleet.settle()
    assert fleet.results["r1"].kind is ErrorKind.NO_TARGET
