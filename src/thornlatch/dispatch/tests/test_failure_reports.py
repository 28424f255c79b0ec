"""Reports of target failures, under faults of network, hosts and targets."""

import pytest

from thornlatch.dispatch import Grant, TargetDeathReported
from thornlatch.dispatch.tests.fleet import Fleet, make_spec, make_targets


def start():
    """Return a fleet whose host h2 runs a request on t0, the only target."""
    fleet = Fleet(hosts=3, targets=make_targets(1, batch_slots=4))
    fleet.advance(0.1)
    fleet.poll_targets()
    fleet.settle()
    fleet.request("h2", make_spec("r1"))
    fleet.settle()
    return fleet


def report_failure(fleet, host="h2"):
    grant = fleet.results["r1"]
    actions = fleet.hosts[host].report_target_failure(grant, now=fleet.now)
    fleet.apply_actions(host, actions)


def is_open(fleet, owner="h1"):
    state = fleet.hosts[owner].schedulers["p"].targets["t0"]
    return state.is_open(fleet.now)


def is_poll_due(fleet, polled_at):
    return fleet.hosts["h1"].is_poll_due("t0", polled_at)


def test_report_blocks_target_and_makes_poll_due():
    fleet = start()
    polled_at = fleet.now
    fleet.now += 0.01
    report_failure(fleet)
    fleet.deliver(0)
    assert not is_open(fleet)
    assert is_poll_due(fleet, polled_at)
    assert not is_poll_due(fleet, fleet.now)
    fleet.request("h3", make_spec("r2"))
    fleet.advance(0.2)
    assert "r2" not in fleet.results


def test_response_of_target_refutes_report():
    fleet = start()
    report_failure(fleet)
    fleet.settle()
    fleet.request("h3", make_spec("r2"))
    fleet.settle()
    fleet.poll_targets()
    fleet.settle()
    assert isinstance(fleet.results["r2"], Grant)


def test_unanswered_report_blocks_for_a_bounded_time():
    fleet = start()
    report_failure(fleet)
    fleet.settle()
    fleet.request("h3", make_spec("r2"))
    fleet.advance(fleet.settings.death_check_s + 0.1)
    assert isinstance(fleet.results["r2"], Grant)


def test_repeated_report_is_ignored():
    fleet = start()
    report_failure(fleet)
    fleet.deliver(0, keep=True)
    fleet.poll_targets()
    fleet.deliver(0)
    assert is_open(fleet)


def test_host_with_refuted_report_is_ignored():
    fleet = start()
    for _ in range(3):
        report_failure(fleet)
        fleet.settle()
        fleet.poll_targets()
    report_failure(fleet)
    fleet.settle()
    assert is_open(fleet)
    report_failure(fleet, "h3")
    fleet.settle()
    assert not is_open(fleet)


def test_report_of_earlier_incarnation_is_ignored():
    fleet = start()
    report_failure(fleet)
    fleet.engines["t0"].restart()
    fleet.poll_targets()
    fleet.deliver(0)
    assert is_open(fleet)


@pytest.mark.parametrize("is_restarted", [False, True])
def test_failure_of_an_own_request_suspends_only_its_incarnation(is_restarted):
    fleet = start()
    fleet.request("h1", make_spec("r2"))
    fleet.settle()
    if is_restarted:
        fleet.engines["t0"].restart()
    fleet.poll_targets()
    actions = fleet.hosts["h1"].report_target_failure(
        fleet.results["r2"], now=fleet.now
    )
    assert actions == []
    assert is_open(fleet) == is_restarted


def test_restart_clears_reports():
    fleet = start()
    report_failure(fleet)
    fleet.settle()
    fleet.engines["t0"].restart()
    fleet.poll_targets()
    assert is_open(fleet)


@pytest.mark.parametrize("is_restarted", [False, True])
def test_report_by_grant_of_former_epoch(is_restarted):
    fleet = start()
    fleet.set_owner("h3")
    fleet.advance(0.2)
    if is_restarted:
        fleet.engines["t0"].restart()
    fleet.poll_targets()
    fleet.apply_actions(
        "h2",
        fleet.hosts["h2"].report_target_failure(fleet.results["r1"], now=fleet.now),
    )
    fleet.settle()
    assert is_open(fleet, "h3") == is_restarted


def test_report_to_a_former_owner_is_dropped():
    fleet = start()
    report_failure(fleet)
    fleet.set_owner("h3")
    fleet.advance(0.2)
    fleet.poll_targets()
    fleet.settle()
    assert is_open(fleet, "h3")


def test_report_of_unknown_target_or_incarnation():
    fleet = start()
    for message in (
        TargetDeathReported("p", "t9", "0"),
        TargetDeathReported("p", "t0", "9"),
        TargetDeathReported("q", "t0", "0"),
    ):
        actions = fleet.hosts["h1"].handle(message, sender="h2", now=fleet.now)
        assert actions == []
    assert is_open(fleet)
