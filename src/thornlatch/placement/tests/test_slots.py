import pytest

from thornlatch.configuration import Target
from thornlatch.placement import AdapterVersion, TargetSlots

A, B, C = (AdapterVersion(name, "1") for name in "abc")


@pytest.fixture
def slots():
    slots = TargetSlots(Target("t", "p", "10.0.0.1:80", "d", 4, 2))
    slots.apply_report([A], "1", 10.0)
    return slots


def test_count_empty_before_first_report():
    slots = TargetSlots(Target("t", "p", "10.0.0.1:80", "d", 4, 2))
    assert slots.count_empty() == 0


@pytest.mark.parametrize(
    ("snapshot_at", "loaded", "is_resident"),
    [
        pytest.param(14.0, [A, B], False, id="snapshot-before-the-deadline"),
        pytest.param(16.0, [A, B], True, id="loaded-despite-lost-result"),
        pytest.param(16.0, [A], False, id="never-loaded"),
    ],
)
def test_lost_load_result(slots, snapshot_at, loaded, is_resident):
    slots.begin_load(B, settled_at=15.0)
    slots.lose_result(B)
    slots.apply_report(loaded, "1", snapshot_at)
    assert (B in slots.resident) is is_resident


@pytest.mark.parametrize(
    ("snapshot_at", "loaded", "is_resident", "empty_count"),
    [
        pytest.param(14.0, [A], False, 1, id="snapshot-before-the-deadline"),
        pytest.param(16.0, [A], True, 1, id="never-evicted"),
        pytest.param(16.0, [], False, 2, id="evicted-despite-lost-result"),
    ],
)
def test_lost_eviction_result(slots, snapshot_at, loaded, is_resident, empty_count):
    slots.begin_eviction(A, settled_at=15.0)
    slots.lose_result(A)
    slots.apply_report(loaded, "1", snapshot_at)
    assert (A in slots.resident) is is_resident
    assert slots.count_empty() == empty_count


def test_report_older_than_load_keeps_it(slots):
    slots.begin_load(B, settled_at=15.0)
    slots.end_load(B, ok=True, now=12.0)
    slots.apply_report([A], "1", 11.0)
    assert B in slots.resident


def test_report_older_than_eviction_is_ignored(slots):
    slots.begin_eviction(A, settled_at=15.0)
    slots.end_eviction(A, ok=True, now=12.0)
    slots.apply_report([A], "1", 11.0)
    assert A not in slots.resident


def test_restarted_target_has_empty_slots(slots):
    slots.begin_load(B, settled_at=15.0)
    slots.apply_report([], "2", 12.0)
    assert not slots.resident
    assert not slots.end_load(B, ok=True, now=12.5)
    slots.apply_report([], "2", 16.0)
    assert slots.count_empty() == 2


def test_reports_out_of_order(slots):
    slots.apply_report([A, C], "1", 20.0)
    slots.apply_report([], "1", 19.0)
    assert set(slots.resident) == {A, C}


def test_missing_version_waits_for_report(slots):
    slots.mark_missing(A, 12.0)
    assert A not in slots.resident
    slots.apply_report([A], "1", 11.0)
    assert A not in slots.resident
    slots.apply_report([A], "1", 13.0)
    assert A in slots.resident
