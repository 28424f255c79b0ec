import pytest

from thornlatch.configuration import Target
from thornlatch.placement import AdapterVersion, TargetSlots

A, B, C = (AdapterVersion(name, "1") for name in "abc")


@pytest.fixture
def memory():
    memory = TargetSlots(Target("t", "p", "10.0.0.1:80", "d", 4, 2))
    memory.apply_report([A], "1", 10.0)
    return memory


def test_count_empty_before_first_report():
    memory = TargetSlots(Target("t", "p", "10.0.0.1:80", "d", 4, 2))
    assert memory.count_empty() == 0


@pytest.mark.parametrize(
    ("snapshot_at", "loaded", "is_resident"),
    [
        pytest.param(14.0, [A, B], False, id="asked-before-the-deadline"),
        pytest.param(16.0, [A, B], True, id="loaded-after-all"),
        pytest.param(16.0, [A], False, id="never-loaded"),
    ],
)
def test_lost_load_result(memory, snapshot_at, loaded, is_resident):
    memory.begin_load(B, settled_at=15.0)
    memory.lose_result(B)
    memory.apply_report(loaded, "1", snapshot_at)
    assert (B in memory.resident) is is_resident


@pytest.mark.parametrize(
    ("snapshot_at", "loaded", "is_resident", "empty"),
    [
        pytest.param(14.0, [A], False, 1, id="asked-before-the-deadline"),
        pytest.param(16.0, [A], True, 1, id="never-evicted"),
        pytest.param(16.0, [], False, 2, id="evicted-after-all"),
    ],
)
def test_lost_eviction_result(memory, snapshot_at, loaded, is_resident, empty):
    memory.begin_eviction(A, settled_at=15.0)
    memory.lose_result(A)
    memory.apply_report(loaded, "1", snapshot_at)
    assert (A in memory.resident) is is_resident
    assert memory.count_empty() == empty


def test_report_older_than_load_keeps_it(memory):
    memory.begin_load(B, settled_at=15.0)
    memory.end_load(B, ok=True, now=12.0)
    memory.apply_report([A], "1", 11.0)
    assert B in memory.resident


def test_report_older_than_eviction_is_no_news(memory):
    memory.begin_eviction(A, settled_at=15.0)
    memory.end_eviction(A, ok=True, now=12.0)
    memory.apply_report([A], "1", 11.0)
    assert A not in memory.resident


def test_restart_with_empty_memory(memory):
    memory.begin_load(B, settled_at=15.0)
    memory.apply_report([], "2", 12.0)
    assert not memory.resident
    assert not memory.end_load(B, ok=True, now=12.5)
    memory.apply_report([], "2", 16.0)
    assert memory.count_empty() == 2


def test_reports_out_of_order(memory):
    memory.apply_report([A, C], "1", 20.0)
    memory.apply_report([], "1", 19.0)
    assert set(memory.resident) == {A, C}


def test_denied_version_waits_for_report(memory):
    memory.forget_resident(A, 12.0)
    assert A not in memory.resident
    memory.apply_report([A], "1", 11.0)
    assert A not in memory.resident
    memory.apply_report([A], "1", 13.0)
    assert A in memory.resident
