import math

import pytest

from thornlatch.daemon._schedule import IDLE_TICK_S, TICK_S, TickSchedule


class Part:
    """A slice that asks for its next tick at `due`."""

    def __init__(self, due):
        self.due = due

    def next_due(self, *, now):
        return self.due


@pytest.mark.parametrize(
    ("due", "expected"),
    [
        pytest.param(math.inf, IDLE_TICK_S, id="nothing-to-do"),
        pytest.param(-math.inf, TICK_S, id="open-work"),
        pytest.param(0.1, 0.1, id="timer"),
    ],
)
def test_interval_within_limits(due, expected):
    part = Part(due)
    schedule = TickSchedule([part], now=0.0)
    assert schedule.pop_due(now=0.0) == [part]
    assert schedule.get_next(now=0.0) == pytest.approx(expected)
    assert schedule.pop_due(now=expected - 0.001) == []
    assert schedule.pop_due(now=expected) == [part]


def test_input_brings_tick_forward():
    part = Part(math.inf)
    schedule = TickSchedule([part], now=0.0)
    schedule.pop_due(now=0.0)
    schedule.get_next(now=0.0)
    part.due = 0.01
    schedule.note_inputs()
    assert schedule.get_next(now=0.01) == pytest.approx(TICK_S)


def test_slices_due_soon_are_ticked_along():
    first, second = Part(0.1), Part(0.1 + TICK_S / 2)
    schedule = TickSchedule([first, second], now=0.0)
    schedule.pop_due(now=0.0)
    assert schedule.pop_due(now=0.1) == [first, second]
