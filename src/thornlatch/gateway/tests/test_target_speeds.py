"""Targets of different and changing speed, without network."""

import math
from random import Random

import pytest

from thornlatch.fleet._domain_messages import merge_speeds
from thornlatch.gateway._health import TargetHealth
from thornlatch.gateway._ports import ReportedLoad
from thornlatch.gateway._settings import ForwardingSettings
from thornlatch.gateway._target_speeds import (
    FORGET_S,
    RATIO_MAX,
    RATIO_MIN,
    SpeedSettings,
    TargetSpeeds,
)

SETTINGS = SpeedSettings()


def build():
    return TargetSpeeds(SETTINGS)


def test_target_that_reports_nothing_has_the_usual_speed():
    speeds = build()
    assert speeds.get_ratio("t", now=5.0) == 1.0
    assert speeds.pop_reports() == {}


def test_figures_that_change_many_times_a_second_give_their_mean():
    """A single figure of a noisy machine would send all work elsewhere at once."""
    random = Random(2)
    speeds = build()
    for step in range(400):
        ratio = 2.5 if random.random() < 0.15 else 0.7
        speeds.note("t", ratio, now=step * 0.05)
    assert speeds.get_ratio("t", now=20.0) == pytest.approx(0.97, abs=0.35)


def test_target_that_turns_slow_is_known_within_a_few_seconds():
    speeds = build()
    speeds.note("t", 1.0, now=0.0)
    for step in range(60):
        speeds.note("t", 4.0, now=1.0 + step * 0.05)
    assert speeds.get_ratio("t", now=4.0) > 3.0


def test_target_that_recovers_is_not_left_idle():
    """Without answers no figures come; the last one loses its weight."""
    speeds = build()
    for step in range(40):
        speeds.note("t", 4.0, now=step * 0.1)
    assert speeds.get_ratio("t", now=4.0 + 3 * SETTINGS.memory_s) < 1.2


def test_peers_learn_what_a_target_told_one_host():
    told, peer = build(), build()
    for now in (0.0, 0.1):
        told.note("t", 2.0, now=now)
    reports = told.pop_reports()
    assert reports == {"t": (200, 2)}
    assert told.pop_reports() == {}
    peer.apply_reports(reports, now=50.0)
    assert peer.get_ratio("t", now=50.0) == 2.0
    # What a peer told isn't reported again.
    assert peer.pop_reports() == {}


def test_reports_of_several_hosts_count_by_their_number_of_figures():
    merged = merge_speeds([{"t": (100, 3), "u": (50, 1)}, {"t": (200, 1)}, {}])
    assert merged == {"t": (125, 4), "u": (50, 1)}
    assert merge_speeds([{"t": (0, 0)}, {"t": (0, 0)}]) == {"t": (0, 0)}


@pytest.mark.parametrize("ratio", [math.nan, math.inf, -math.inf])
def test_figures_that_are_no_numbers_have_no_effect(ratio):
    speeds = build()
    speeds.note("t", ratio, now=0.0)
    assert speeds.get_ratio("t", now=0.0) == 1.0


@pytest.mark.parametrize(("ratio", "kept"), [(0.0, RATIO_MIN), (1e9, RATIO_MAX)])
def test_absurd_figures_are_bounded(ratio, kept):
    speeds = build()
    speeds.note("t", ratio, now=0.0)
    assert speeds.get_ratio("t", now=0.0) == pytest.approx(kept)


def test_restart_or_departure_ends_what_is_known():
    health = TargetHealth(ForwardingSettings())
    for change in (lambda: health.begin("t", 2), lambda: health.forget("t", now=0.0)):
        health.begin("t", 1)
        health.note_success("t", ReportedLoad(1, 0, 8, 3.0), now=0.0)
        assert health.speeds.get_ratio("t", now=0.0) == 3.0
        change()
        assert health.speeds.get_ratio("t", now=0.0) == 1.0


def test_targets_that_left_are_forgotten_though_peers_report_them_later():
    """Digests that arrive after a departure brought its entry back for good."""
    speeds = build()
    for number in range(200):
        speeds.apply_reports({f"t{number}": (200, 1)}, now=number * 1.0)
    assert len(speeds.means) <= FORGET_S + 1
    assert speeds.get_ratio("t199", now=199.0 + FORGET_S) == 1.0


def test_time_of_a_generation_is_that_at_the_usual_speed():
    health = TargetHealth(ForwardingSettings())
    health.note_success("slow", ReportedLoad(1, 0, 8, 2.0), now=0.0)
    health.note_work("slow", "llm", 500, 5.0, now=0.0)
    assert health.estimate_work_s("llm", 900) == pytest.approx(4.5)
    health.note_work("slow", "llm", 1, 5.0, now=0.0)
    assert health.estimate_work_s("llm", 900) == pytest.approx(4.5)


def test_reported_load_without_some_figures_counts_the_others():
    health = TargetHealth(ForwardingSettings())
    health.note_success("t", ReportedLoad(3, None, 8), now=0.0)
    assert health.get_reported_requests("t", now=0.1) == 3
