import math
from random import Random

import pytest

from thornlatch.admission._messages import DemandReport
from thornlatch.configuration._records import OffsetDigest
from thornlatch.daemon._host_slices import HostSlices, SliceSettings
from thornlatch.daemon._schedule import IDLE_TICK_S, TICK_S, TickSchedule
from thornlatch.dispatch._messages import GrantRequest
from thornlatch.logservice import LogTail
from thornlatch.membership import Heartbeat
from thornlatch.requests._quarantine_records import SuspectNotice

EXPECTED = {
    Heartbeat: {"Membership"},
    OffsetDigest: {"Configuration"},
    DemandReport: {"Admission"},
    GrantRequest: {"Dispatch"},
    SuspectNotice: {"Quarantine"},
    LogTail: set(),
}


class FakeSlice:
    """A slice that requests its next tick at `due`."""

    def __init__(self, due, kind=object):
        self.due = due
        self.kind = kind

    def handles(self, kind):
        return issubclass(kind, self.kind)

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
    slice_ = FakeSlice(due)
    schedule = TickSchedule([slice_], now=0.0)
    assert schedule.pop_due(now=0.0) == [slice_]
    assert schedule.get_next(now=0.0) == pytest.approx(expected)
    assert schedule.pop_due(now=expected - 0.001) == []
    assert schedule.pop_due(now=expected) == [slice_]


def test_input_brings_tick_forward():
    slice_ = FakeSlice(math.inf)
    schedule = TickSchedule([slice_], now=0.0)
    schedule.pop_due(now=0.0)
    schedule.get_next(now=0.0)
    slice_.due = 0.01
    schedule.note_inputs()
    assert schedule.get_next(now=0.01) == pytest.approx(TICK_S)


def test_slices_due_soon_are_ticked_together():
    first, second = FakeSlice(0.1), FakeSlice(0.1 + TICK_S / 2)
    schedule = TickSchedule([first, second], now=0.0)
    schedule.pop_due(now=0.0)
    assert schedule.pop_due(now=0.1) == [first, second]


def test_message_goes_to_its_handlers_and_brings_their_ticks_forward():
    slices = [FakeSlice(math.inf, int), FakeSlice(math.inf, str)]
    schedule = TickSchedule(slices, now=0.0)
    schedule.pop_due(now=0.0)
    schedule.get_next(now=0.0)
    for slice_ in slices:
        slice_.due = 0.0
    assert list(schedule.iter_handlers(str)) == [slices[1]]
    assert schedule.pop_due(now=TICK_S) == [slices[1]]


def test_messages_go_to_the_slices_that_handle_them():
    settings = SliceSettings()
    host_slices = HostSlices(
        settings, host="a.1", address="x", failure_domain="d", random=Random(1)
    )
    kinds = {
        kind: {type(slice_) for slice_ in host_slices.slices if slice_.handles(kind)}
        for kind in EXPECTED
    }
    assert {kind: {t.__name__ for t in types} for kind, types in kinds.items()} == (
        EXPECTED
    )
