"""Copies of one request, sent by several hosts at the same time."""

import pytest

from thornlatch.dispatch import DispatchSettings, DuplicateTracker, Grant, Outcome
from thornlatch.dispatch.tests.fleet import Fleet, make_spec, make_targets
from thornlatch.placement import AdapterVersion

HOLD_S = DispatchSettings().copy_hold_s


def start(*, batch_slots=8, **options):
    """Return a fleet of four hosts whose four targets all have the adapter."""
    fleet = Fleet(hosts=4, targets=make_targets(4, batch_slots), **options)
    for engine in fleet.engines.values():
        engine.loaded.add(AdapterVersion("a", "1"))
    fleet.advance(0.1)
    fleet.report_all()
    fleet.settle()
    return fleet


def send(fleet, names, **fields):
    for index, name in enumerate(names):
        spec = make_spec(name, **{"fingerprint": "f", **fields})
        fleet.request(f"h{index % 4 + 1}", spec)


def get_targets(fleet, names):
    results = [fleet.results.get(name) for name in names]
    return {one.target for one in results if isinstance(one, Grant)}


def list_names(prefix, count=8):
    return [f"{prefix}{index}" for index in range(count)]


def test_copies_at_once_share_a_target():
    fleet = start()
    send(fleet, list_names("r"))
    send(fleet, list_names("other"), fingerprint="g")
    fleet.settle()
    assert len(get_targets(fleet, list_names("r"))) == 1
    assert len(get_targets(fleet, list_names("other"))) == 1
    assert all(name in fleet.results for name in list_names("r"))


def test_copies_beyond_the_slots_wait_until_one_is_proven():
    fleet = start(batch_slots=2)
    names = list_names("r", 4)
    send(fleet, names)
    fleet.advance(0.5)
    assert sorted(fleet.results) == ["r0", "r1"]
    fleet.finish(fleet.results["r0"].grant)
    fleet.settle()
    assert all(name in fleet.results for name in names)
    send(fleet, list_names("s", 4))
    fleet.settle()
    assert len(get_targets(fleet, list_names("s", 4))) > 1


def test_copies_beyond_the_slots_wait_for_a_bounded_time():
    fleet = start(batch_slots=2)
    names = list_names("r", 4)
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
    ids=["copy", "second attempt", "isolated", "other request"],
)
def test_no_copy_follows_one_that_ended_without_an_answer(fields, is_granted):
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
def test_kept_grant_runs_no_unproven_request(fingerprint, is_kept_used):
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


def test_kept_grant_runs_unproven_request_of_a_silent_owner():
    fleet = start(settings=DispatchSettings(linger_s=30.0))
    spec = make_spec("r", fingerprint="f")
    fleet.request("h2", spec)
    fleet.settle()
    fleet.view.paused.add("h1")
    fleet.finish(fleet.results["r"].grant)
    fleet.advance(10.0)
    fleet.request("h2", make_spec("s", fingerprint="g"))
    assert fleet.results["s"].grant == fleet.results["r"].grant


def test_new_owner_knows_the_copies():
    fleet = start()
    send(fleet, ["r"])
    fleet.settle()
    fleet.set_owner("h2")
    fleet.advance(0.2)
    fleet.report_all()
    send(fleet, list_names("s", 7))
    fleet.advance(0.2)
    names = ["r", *list_names("s", 7)]
    assert all(isinstance(fleet.results[name], Grant) for name in names)
    assert len(get_targets(fleet, names)) == 1


def test_ended_copies_are_forgotten():
    copies = DuplicateTracker(HOLD_S)
    spec = make_spec("r", fingerprint="f")
    copies.note_granted("f", "t1", 0.0)
    copies.note_granted("f", "t1", 0.0)
    copies.note_ended("f", Outcome.CANCELLED, 0.1)
    assert copies.may_run(spec, "t1", 0.1)
    assert not copies.may_run(spec, "t2", 0.1)
    copies.note_ended("f", Outcome.UNKNOWN, 0.1)
    assert not copies.may_run(spec, "t1", 0.1)
    copies.expire(0.1 + HOLD_S)
    assert copies.may_run(spec, "t2", 0.1 + HOLD_S)
    assert not copies.groups
    assert not copies.blocked_until
