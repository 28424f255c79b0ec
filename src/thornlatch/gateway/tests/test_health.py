"""Pauses and other observations of targets that depart, return and restart."""

from random import Random

import pytest

from thornlatch.gateway._health import (
    RETURN_SPREAD_LIMIT_S,
    RETURN_SPREAD_RATIO,
    TargetHealth,
)
from thornlatch.gateway._settings import ForwardingSettings


def build():
    health = TargetHealth(ForwardingSettings())
    health.begin("t", 5)
    return health


def test_longest_pause_holds():
    health = build()
    health.note_pause("t", 10.0, now=0.0)
    health.note_pause("t", 1.0, now=1.0)
    assert health.get_pause_s("t", now=2.0) >= 8.0
    health.note_pause("t", 30.0, now=2.0)
    assert health.get_pause_s("t", now=3.0) >= 29.0


@pytest.mark.parametrize(("started_ms", "is_paused"), [(5, True), (6, False)])
@pytest.mark.parametrize("was_gone", [True, False])
def test_pause_ends_with_the_incarnation(started_ms, is_paused, was_gone):
    """An entry that expired in an outage and came back had no pause any more."""
    health = build()
    health.note_pause("t", 10.0, now=0.0)
    if was_gone:
        health.forget("t", now=1.0)
    health.begin("t", started_ms)
    assert bool(health.get_pause_s("t", now=2.0)) == is_paused


def test_departed_target_without_a_pause_leaves_nothing_behind():
    health = build()
    health.note_pause("t", 1.0, now=0.0)
    health.forget("t", now=0.5)
    health.begin("t2", 5)
    health.forget("t2", now=20.0)
    assert not health.observations
    assert not health.started_ms
    assert not health.departed


def test_unreadable_header_is_new_once_for_each_incarnation():
    health = build()
    assert health.note_unreadable("t", "a")
    assert not health.note_unreadable("t", "a")
    assert health.note_unreadable("t", "b")
    health.begin("t", 6)
    assert health.note_unreadable("t", "a")


@pytest.mark.parametrize("pause_s", [0.5, 5.0, 3600.0])
def test_hosts_return_to_a_target_spread_over_time_after_its_pause(pause_s):
    ends = []
    for seed in range(100):
        health = TargetHealth(ForwardingSettings(), random=Random(seed))
        health.note_pause("t", pause_s, now=0.0)
        ends.append(health.get_pause_s("t", now=0.0))
    spread_s = min(pause_s * RETURN_SPREAD_RATIO, RETURN_SPREAD_LIMIT_S)
    assert min(ends) >= pause_s
    assert max(ends) <= pause_s + spread_s
    # No tenth of the spread has more than a quarter of the hosts.
    tenths = [int((end - pause_s) / spread_s * 10) for end in ends]
    assert max(tenths.count(tenth) for tenth in range(10)) <= 25
