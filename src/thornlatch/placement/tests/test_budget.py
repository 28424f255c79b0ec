import pytest

from thornlatch.configuration import Store
from thornlatch.placement import StoreBudget


@pytest.mark.parametrize(
    ("times", "expected"),
    [
        pytest.param([0.0, 0.0], [True, False], id="burst"),
        pytest.param([0.0, 0.1, 0.2], [True, False, True], id="rate"),
        pytest.param([0.0, 60.0, 60.0], [True, True, False], id="level-is-capped"),
    ],
)
def test_try_acquire_rate(times, expected):
    budget = StoreBudget(Store("s", 5.0, 1, 8, 0.25))
    assert [budget.try_acquire(now) for now in times] == expected


def test_try_acquire_in_flight():
    budget = StoreBudget(Store("s", 100.0, 10, 2, 0.25))
    assert [budget.try_acquire(1.0) for _ in range(3)] == [True, True, False]
    budget.release(1.0)
    assert budget.try_acquire(1.0)
