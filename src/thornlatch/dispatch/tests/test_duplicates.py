"""Duplicates of one request, sent by several hosts at the same time."""

import pytest

from thornlatch.dispatch import DispatchSettings, DuplicateTracker, Grant, Outcome
from thornlatch.dispatch.tests.fleet import Fleet, make_spec, make_targets
from thornlatch.placement import AdapterVersion

HOLD_S = DispatchSettings().copy_hold_s


def start(*, batch_slots=8, **options):
    """Return a fleet of four hosts whose four targets all have loaded the adapter."""
    fleet = Fleet(hosts=4, targets=make_targets(4, batch_slots), **options)
    for engine in fleet.engines.values():
        engine.loaded.add(AdapterVersion("a", "1"))
    fleet.advance(0.1)
    fleet.poll_targets()
    fleet.settle()
    return fleet


def send(fleet, names, **fields):
    for index, name in enumerate(names):
        spec = make_spec(name, **{"fingerprint": "f", **fields})
        fleet.request(f"h{index % 4 + 1}", spec)


def get_targets(fleet, names):
    results = [fleet.results.get(name) for name in names]
    return {grant.target for grant in results if isinstance(grant, Grant)}


def make_names(prefix, count=8):
    return [f"{prefix}{index}" for index in range(count)]


def test_simultaneous_duplicates_share_a_target():
    fleet = start()
    send(fleet, make_names("r"))
    send(fleet, make_names("other"), fingerprint="g")
    fleet.settle()
    assert len(get_targets(fleet, make_names("r"))) == 1
    assert len(get_targets(fleet, make_names("other"))) == 1
    assert all(name in fleet.results for name in make_names("r"))


def test_duplicates_beyond_the_slots_wait_until_one_succeeds():
    fleet = start(batch_slots=2)
    names = make_names("r", 4)
    send(fleet, names)
    fleet.advance(0.5)
    assert sorted(fleet.results) == ["r0", "r1"]
    fleet.finish(fleet.results["r0"].grant)
    fleet.settle()
    assert all(name in fleet.results for name in names)
    send(fleet, make_names("s", 4))
    fleet.settle()
    assert len(get_targets(fleet, make_names("s", 4))) > 1


def test_duplicates_beyond_the_slots_wait_for_a_bounded_time():
    fleet = start(batch_slots=2)
    names = make_names("r", 4)
    send(fleet, names)
    fleet.advance(HOLD_S + 0.2)
    assert all(isinstance(fleet.results[name], Grant) for name in names)


@pytest.mark.parametrize(
    ("fields", "is_granted"),
    [
        ({}, False),
        ({"attempt": 2}, True),
        ({"is_isolated": True}, True),
        ({"fingerprint": "g"}, True),
    ],
    ids=["duplicate", "second attempt", "isolated", "other request"],
)
def test_no_duplicate_starts_after_one_without_an_answer(fields, is_granted):
    fleet = start()
    send(fleet, ["r"])
    fleet.settle()
    fleet.finish(fleet.results["r"].grant, Outcome.UNKNOWN)
    send(fleet, ["s"], **fields)
    fleet.advance(HOLD_S / 2)
    assert ("s" in fleet.results) == is_granted
    fleet.advance(HOLD_S)
    assert isinstance(fleet.results["s"], Grant)


@pytest.mark.parametrize(
    ("fingerprint", "is_kept_used"),
    [("f", True), ("g", False), ("", True)],
    ids=["proven", "unproven", "none"],
)
def test_kept_grant_is_not_used_by_unproven_request(fingerprint, is_kept_used):
    fleet = start(settings=DispatchSettings(linger_s=30.0))
    send(fleet, ["r"])
    fleet.settle()
    fleet.finish(fleet.results["r"].grant)
    fleet.settle()
    send(fleet, ["s"], fingerprint=fingerprint)
    assert ("s" in fleet.results) == is_kept_used
    fleet.settle()
    is_same = fleet.results["s"].grant == fleet.results["r"].grant
    assert is_same == is_kept_used
    assert sum(fleet.count_held().values()) == 1


def test_kept_grant_of_silent_owner_is_used_by_unproven_request():
    fleet = start(settings=DispatchSettings(linger_s=30.0))
    spec = make_spec("r", fingerprint="f")
    fleet.request("h2", spec)
    fleet.settle()
    fleet.view.paused.add("h1")
    fleet.finish(fleet.results["r"].grant)
    fleet.advance(10.0)
    fleet.request("h2", make_spec("s", fingerprint="g"))
    assert fleet.results["s"].grant == fleet.results["r"].grant


def test_new_owner_recovers_running_duplicates():
    fleet = start()
    send(fleet, ["r"])
    fleet.settle()
    fleet.set_owner("h2")
    fleet.advance(0.2)
    fleet.poll_targets()
    send(fleet, make_names("s", 7))
    fleet.advance(0.2)
    names = ["r", *make_names("s", 7)]
    assert all(isinstance(fleet.results[name], Grant) for name in names)
    assert len(get_targets(fleet, names)) == 1


def test_ended_duplicates_are_removed():
    duplicates = DuplicateTracker(HOLD_S)
    spec = make_spec("r", fingerprint="f")
    duplicates.note_granted("f", "t1", 0.0)
    duplicates.note_granted("f", "t1", 0.0)
    duplicates.note_ended("f", Outcome.CANCELLED, 0.1)
    assert duplicates.may_run(spec, "t1", 0.1)
    assert not duplicates.may_run(spec, "t2", 0.1)
    duplicates.note_ended("f", Outcome.UNKNOWN, 0.1)
    assert not duplicates.may_run(spec, "t1", 0.1)
    duplicates.expire(0.1 + HOLD_S)
    assert duplicates.may_run(spec, "t2", 0.1 + HOLD_S)
    assert not duplicates.groups
    assert not duplicates.blocked_until
