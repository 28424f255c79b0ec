"""Pins of requests that continue on a target after their host was lost."""

from dataclasses import replace

import pytest

from thornlatch.dispatch.tests.fleet import Fleet, make_spec, make_targets
from thornlatch.placement import AdapterVersion

VERSION = AdapterVersion("a", "1")
OTHER = AdapterVersion("b", "1")


def start():
    """Return a fleet whose host h2 was lost while its request runs on t0."""
    fleet = Fleet(hosts=3, targets=make_targets(1))
    fleet.advance(0.1)
    fleet.poll_targets()
    fleet.settle()
    fleet.request("h2", make_spec("r1"))
    fleet.settle()
    fleet.kill("h2")
    fleet.advance(fleet.view.grant_expiry_s + 0.1)
    del fleet.view.expelled["h2"]
    fleet.advance(0.1)
    return fleet


def report(fleet, in_use, *, running=1, lag_s=0.0):
    engine = fleet.engines["t0"].report(running, fleet.now - lag_s)
    for host, dispatch in fleet.hosts.items():
        message = replace(engine, in_use=in_use)
        fleet.apply_actions(
            host, dispatch.note_target_report("t0", message, now=fleet.now)
        )


def run_with_reports(fleet, seconds, in_use):
    for _ in range(round(seconds)):
        fleet.advance(1.0)
        report(fleet, in_use)


def is_pinned(fleet):
    scheduler = fleet.hosts[fleet.view.owner.host].schedulers["p"]
    return scheduler.is_pinned("t0", VERSION)


def test_pin_lasts_while_target_reports_version_in_use():
    fleet = start()
    run_with_reports(fleet, 3 * fleet.settings.orphan_pin_s, (VERSION, OTHER))
    assert is_pinned(fleet)
    report(fleet, (OTHER,))
    assert not is_pinned(fleet)


def test_pin_lasts_while_reporting_target_is_silent():
    fleet = start()
    report(fleet, (VERSION,))
    fleet.advance(2 * fleet.settings.orphan_pin_s, step=0.5)
    assert is_pinned(fleet)


def test_pin_outlasts_report_older_than_the_pin():
    fleet = start()
    report(fleet, (OTHER,), lag_s=1.0)
    assert is_pinned(fleet)


@pytest.mark.parametrize("is_planned", [True, False])
def test_pin_outlasts_change_of_owner(is_planned):
    fleet = start()
    run_with_reports(fleet, 2 * fleet.settings.orphan_pin_s, (VERSION,))
    if is_planned:
        fleet.set_owner("h3")
    else:
        fleet.kill("h1")
        fleet.advance(fleet.view.grant_expiry_s + 0.1)
    fleet.advance(0.5)
    run_with_reports(fleet, 2 * fleet.settings.orphan_pin_s, (VERSION,))
    assert is_pinned(fleet)
    report(fleet, (OTHER,))
    assert not is_pinned(fleet)


def test_pin_outlasts_late_handover():
    """The handed over pins have expired when the new owner reads them (seed 1339)."""
    fleet = start()
    fleet.set_owner("h3", wait_s=2 * fleet.settings.orphan_pin_s)
    fleet.advance(2 * fleet.settings.orphan_pin_s + 1)
    assert is_pinned(fleet)
    run_with_reports(fleet, fleet.settings.orphan_pin_s, (VERSION,))
    assert is_pinned(fleet)
    report(fleet, (OTHER,))
    assert not is_pinned(fleet)


def test_pin_ends_by_time_if_target_reports_no_uses():
    fleet = start()
    run_with_reports(fleet, fleet.settings.orphan_pin_s - 2, None)
    assert is_pinned(fleet)
    run_with_reports(fleet, 3, None)
    assert not is_pinned(fleet)
