"""Pool scheduler and kept grants, under faults of network, hosts and targets."""

from dataclasses import replace

import pytest

from thornlatch.dispatch import (
    DispatchSettings,
    Granted,
    GrantReleased,
    Outcome,
    PoolScheduler,
    Priority,
    TargetReport,
)
from thornlatch.dispatch.tests.fleet import KEY, POOL, Fleet, make_spec, make_targets
from thornlatch.exceptions import ErrorKind, RequestRefused
from thornlatch.placement import AdapterVersion

PLAIN_POOL = type(POOL)("p", "plain")


def start(**options):
    fleet = Fleet(**options)
    fleet.advance(0.1)
    fleet.poll_targets()
    fleet.settle()
    return fleet


def start_plain(slots=1, **options):
    targets = make_targets(1, slots, 0)
    return start(pool=PLAIN_POOL, targets=targets, **options)


def get_scheduler(fleet):
    return fleet.hosts[fleet.view.owner.host].schedulers["p"]


@pytest.mark.parametrize("kind", ["lost", "repeated"])
@pytest.mark.parametrize("number", range(3))
def test_message_fault(kind, number):
    fleet = start_plain(slots=2)
    fleet.request("h2", make_spec("r1", ""))
    for _ in range(number):
        if fleet.network:
            fleet.deliver(0)
    if fleet.network and kind == "lost":
        del fleet.network[0]
    elif fleet.network:
        fleet.deliver(0, keep=True)
    fleet.advance(1.5)
    assert list(fleet.uses) == [fleet.results["r1"].grant]
    fleet.finish(fleet.results["r1"].grant)
    fleet.advance(2.0)
    assert not get_scheduler(fleet).table.grants
    assert not fleet.violations


def test_cancel_and_grant_in_flight_at_once():
    fleet = start_plain()
    fleet.request("h2", make_spec("r1", ""))
    fleet.deliver(0)
    fleet.apply_actions("h2", fleet.hosts["h2"].cancel("r1", now=fleet.now))
    fleet.advance(1.0)
    assert "r1" not in fleet.results
    assert not get_scheduler(fleet).table.grants


def test_grant_kept_while_owner_is_silent():
    fleet = start_plain(hosts=2)
    fleet.request("h2", make_spec("r1", ""))
    fleet.settle()
    fleet.view.paused.add("h1")
    fleet.finish(fleet.results["r1"].grant)
    fleet.advance(30.0)
    fleet.request("h2", make_spec("r2", ""))
    assert fleet.results["r2"].grant == fleet.results["r1"].grant


def test_kept_grant_recalled_for_waiting_request():
    fleet = start_plain(hosts=3, settings=DispatchSettings(linger_s=30.0))
    fleet.request("h2", make_spec("r1", ""))
    fleet.settle()
    fleet.finish(fleet.results["r1"].grant)
    fleet.settle()
    fleet.request("h3", make_spec("r2", ""))
    fleet.advance(0.2)
    assert fleet.results["r2"].target == "t0"


def test_kept_grant_recalled_when_target_leaves():
    fleet = start_plain(hosts=2, settings=DispatchSettings(linger_s=30.0))
    fleet.request("h2", make_spec("r1", ""))
    fleet.settle()
    fleet.finish(fleet.results["r1"].grant)
    fleet.settle()
    actions = fleet.hosts["h1"].note_target_leaving("t0", now=fleet.now)
    fleet.apply_actions("h1", actions)
    fleet.settle()
    assert not fleet.count_held()


def test_interactive_before_batch():
    fleet = start_plain()
    fleet.request("h2", make_spec("r0", ""))
    fleet.request("h2", make_spec("batch", "", priority=Priority.BATCH))
    fleet.request("h2", make_spec("interactive", ""))
    fleet.settle()
    fleet.finish(fleet.results["r0"].grant)
    fleet.advance(0.5)
    assert "interactive" in fleet.results
    assert "batch" not in fleet.results


def test_batch_is_not_starved():
    fleet = start_plain(settings=DispatchSettings(batch_aging_s=5.0))
    fleet.request("h2", make_spec("r0", ""))
    fleet.request("h2", make_spec("batch", "", priority=Priority.BATCH))
    for index in range(1, 12):
        fleet.request("h2", make_spec(f"r{index}", ""))
        fleet.advance(1.0)
        for grant in list(fleet.uses):
            fleet.finish(grant)
        fleet.settle()
    assert "batch" in fleet.results


def test_organisations_share_by_tokens():
    fleet = start_plain()
    fleet.request("h2", make_spec("first", "", organisation="x"))
    for index in range(30):
        spec = make_spec(f"x{index}", "", organisation="x", tokens=100.0)
        fleet.request("h2", spec)
    for index in range(30):
        spec = make_spec(f"y{index}", "", organisation="y", tokens=300.0)
        fleet.request("h2", spec)
    fleet.settle()
    served = {"x": 0.0, "y": 0.0}
    for _ in range(24):
        (grant,) = list(fleet.uses)
        spec = fleet.uses[grant][1]
        served[spec.organisation] += 100.0 if spec.organisation == "x" else 300.0
        host, held = fleet.uses.pop(grant)
        tokens = 100.0 if held.organisation == "x" else 300.0
        actions = fleet.hosts[host].release(
            held, outcome=Outcome.OK, tokens=tokens, now=fleet.now
        )
        fleet.apply_actions(host, actions)
        fleet.settle()
    assert served["y"] / served["x"] == pytest.approx(1.0, abs=0.4)


def test_full_queue_refuses_at_once():
    fleet = start_plain(settings=DispatchSettings(queue_limit=1))
    for name in ("r1", "r2", "r3"):
        fleet.request("h2", make_spec(name, ""))
    fleet.settle()
    refusal = fleet.results["r3"]
    assert isinstance(refusal, RequestRefused)
    assert refusal.kind is ErrorKind.OVERLOADED


def test_waiting_past_deadline_is_refused():
    fleet = start_plain()
    fleet.request("h2", make_spec("r1", ""))
    fleet.request("h2", make_spec("r2", "", deadline_in_s=1.5))
    fleet.advance(2.0)
    assert fleet.results["r2"].kind is ErrorKind.DEADLINE_UNREACHABLE


def send_release(fleet, grant, duration_s, outcome=Outcome.OK):
    message = GrantReleased(
        "h2", "p", grant, 1, False, outcome, "o", 100.0, 0.1, duration_s
    )
    scheduler = get_scheduler(fleet)
    fleet.apply_actions("h1", scheduler.handle(message, sender="h2", now=fleet.now))


def test_slow_target_gets_fewer_slots():
    fleet = start(pool=PLAIN_POOL, targets=make_targets(2, 8, 0))
    scheduler = get_scheduler(fleet)
    for index in range(40):
        fleet.request("h2", make_spec(f"r{index}", ""))
        fleet.settle()
        granted = fleet.results[f"r{index}"]
        fleet.uses.clear()
        send_release(fleet, granted.grant, 8.0 if granted.target == "t1" else 1.0)
    fleet.tick()
    assert scheduler.targets["t1"].count_usable(fleet.now) == 1
    assert scheduler.targets["t0"].count_usable(fleet.now) == 8


def test_failing_target_is_suspended_and_probed():
    fleet = start(pool=PLAIN_POOL, targets=make_targets(1, 8, 0))
    state = get_scheduler(fleet).targets["t0"]
    for _ in range(3):
        state.note_failure(fleet.now)
    assert state.count_usable(fleet.now) == 0
    assert state.count_usable(fleet.now + 5.0) == 1
    state.record_use(Outcome.OK, 10.0, 0.1, fleet.now + 5.0)
    assert state.count_usable(fleet.now + 5.0) == 8


def test_prefix_hit_breaks_tie():
    fleet = start(pool=PLAIN_POOL, targets=make_targets(4, 8, 0))
    targets = set()
    for index in range(6):
        fleet.request("h2", make_spec(f"r{index}", "", prefix="q"))
        fleet.settle()
        targets.add(fleet.results[f"r{index}"].target)
        fleet.finish(fleet.results[f"r{index}"].grant)
        fleet.advance(1.0)
    assert len(targets) == 1


def test_grant_of_former_owner_is_ignored():
    fleet = start_plain(hosts=2)
    fleet.request("h2", make_spec("r1", ""))
    fleet.deliver(0)
    delayed = next(m for m in fleet.network if isinstance(m[2], Granted))
    fleet.network.clear()
    fleet.set_owner("h2")
    fleet.advance(0.5)
    grant = fleet.results["r1"].grant
    assert grant.startswith(f"{KEY}:20")
    fleet.finish(grant)
    fleet.network.append(delayed)
    fleet.settle()
    assert not fleet.uses
    assert not fleet.violations


def test_new_owner_waits_for_every_grant_holder():
    fleet = start_plain(hosts=3)
    fleet.request("h3", make_spec("r1", ""))
    fleet.settle()
    fleet.view.paused.add("h3")
    fleet.set_owner("h2")
    fleet.request("h2", make_spec("r2", ""))
    fleet.advance(3.0)
    assert "r2" not in fleet.results
    fleet.resume("h3")
    fleet.advance(1.0)
    fleet.finish(fleet.results["r1"].grant)
    fleet.advance(1.0)
    assert fleet.results["r2"].target == "t0"
    assert not fleet.violations


def change_owner_during_eviction():
    """Return a fleet in which the owner changed while an eviction was in flight."""
    fleet = start(hosts=2, targets=make_targets(1, 4, 1))
    fleet.engines["t0"].target = replace(fleet.targets[0], checks_fencing=False)
    fleet.request("h1", make_spec("r1", "a"))
    fleet.advance(0.2)
    fleet.finish(fleet.results["r1"].grant)
    fleet.advance(1.0)
    fleet.request("h1", make_spec("r2", "b", deadline_in_s=90.0))
    for _ in range(20):
        if fleet.network:
            fleet.deliver(0)
    (eviction,) = fleet.orders
    fleet.orders.clear()
    fleet.apply_actions("h1", fleet.hosts["h1"].cancel("r2", now=fleet.now))
    fleet.set_owner("h2")
    fleet.advance(0.2)
    fleet.poll_targets()
    fleet.request("h2", make_spec("r3", "a"))
    fleet.advance(0.5)
    fleet.orders.append(eviction)
    fleet.settle()
    return fleet


def test_eviction_in_flight_at_change_of_owner():
    fleet = change_owner_during_eviction()
    assert "r3" not in fleet.results
    assert not fleet.violations


def test_eviction_in_flight_breakage_is_caught(monkeypatch):
    monkeypatch.setattr(PoolScheduler, "list_open_orders", lambda self, now: [])
    assert change_owner_during_eviction().violations


def test_report_older_than_ownership_is_ignored():
    fleet = start(hosts=2)
    fleet.set_owner("h2")
    fleet.advance(0.2)
    report = TargetReport("0", (AdapterVersion("a", "1"),), 0, 0, 900.0)
    actions = fleet.hosts["h2"].note_target_report("t0", report, now=fleet.now)
    fleet.apply_actions("h2", actions)
    placement = get_scheduler(fleet).placement
    assert placement.get_targets(AdapterVersion("a", "1")) == []
