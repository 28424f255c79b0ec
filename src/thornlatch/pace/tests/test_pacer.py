"""Windows of targets that start, recover, slow down, lie, flap or die."""

import math
from dataclasses import dataclass
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thornlatch.fleet import TargetPace, merge_paces
from thornlatch.pace import PacedRequest, Pacer, PaceReason, PaceSettings
from thornlatch.pace.tests.simulation import (
    SERVICE,
    SETTINGS,
    USUAL_S,
    Fleet,
    SimulatedTarget,
    build_target,
)

TARGET = build_target()
MESH = {"hosts": 5, "period_s": 0.05, "delay_s": 0.03, "loss": 0.1}
LARGE = {"hosts": 30, "period_s": 0.1, "delay_s": 0.15, "loss": 0.1}
both = pytest.mark.parametrize("fleet", [MESH, LARGE], ids=["mesh", "large"])


def start(simulated, **fleet):
    fleet = Fleet(**fleet)
    fleet.start(simulated)
    return fleet


def build_pacer(settings=SETTINGS, **counts):
    pacer = Pacer(settings, random=Random(1), **counts)
    for _ in range(30):
        respond(pacer, build_target("other"), at=0.0)
    return pacer


def respond(pacer, target, *, at, elapsed_s=USUAL_S):
    return pacer.note_response(PacedRequest(target, "1", True, 10), elapsed_s, now=at)


@both
def test_fast_target_gets_its_full_load_and_never_far_more_than_the_window(fleet):
    simulated = SimulatedTarget(TARGET)
    fleet = start(simulated, demand=60.0, **fleet)
    fleet.run(6.0)
    assert fleet.get_windows(TARGET) == {math.inf}
    loads = [
        total / window
        for total, window in zip(simulated.totals, simulated.windows, strict=True)
        if window < math.inf
    ]
    assert max(loads) < 5
    assert sum(loads) / len(loads) < 1.5


@both
def test_slow_start_holds_the_load_until_the_target_is_as_fast_as_others(fleet):
    @dataclass
    class Cold(SimulatedTarget):
        def respond(self, now, random):
            return USUAL_S * (4 if now < 4 else 1), None

    simulated = Cold(TARGET)
    fleet = start(simulated, **fleet)
    fleet.run(4.0)
    assert max(fleet.get_windows(TARGET)) <= SETTINGS.first_window
    assert len(simulated.sends) >= 3  # it isn't left idle either
    fleet.run(7.0)
    assert fleet.get_windows(TARGET) == {math.inf}


@both
def test_target_that_fails_fast_gets_about_one_request_a_second(fleet):
    @dataclass
    class Lying(SimulatedTarget):
        def respond(self, now, random):
            return 0.01, PaceReason.FAILED

    simulated = Lying(TARGET)
    fleet = start(simulated, **fleet)
    fleet.run(3.0)
    sends = len(simulated.sends)
    fleet.run(10.0)
    assert 5 <= len(simulated.sends) - sends <= 60  # of 1000 requests


@both
def test_flapping_target_keeps_a_small_window(fleet):
    @dataclass
    class Flapping(SimulatedTarget):
        def respond(self, now, random):
            return (0.01, PaceReason.FAILED) if int(now) % 2 else (USUAL_S, None)

    fleet = start(Flapping(TARGET), **fleet)
    fleet.run(4.0)
    for _ in range(8):
        fleet.run(1.0)
        assert max(fleet.get_windows(TARGET)) <= 8


def test_target_that_is_slow_above_half_its_slots_keeps_about_that_load():
    simulated = SimulatedTarget(build_target(slots=32), slow_above=8)
    fleet = start(simulated, **MESH)
    fleet.run(5.0)
    del simulated.totals[:]
    fleet.run(15.0)
    assert 4 <= sum(simulated.totals) / len(simulated.totals) <= 20


def test_target_that_dies_again_at_half_pace_begins_anew():
    simulated = SimulatedTarget(TARGET, crash_above=8)
    fleet = start(simulated, **MESH)
    fleet.run(3.0)
    assert simulated.crashed
    assert max(fleet.get_windows(TARGET)) <= 1
    again = SimulatedTarget(build_target(started_ms=2000))
    fleet.start(again)
    assert fleet.get_windows(again.target) == {SETTINGS.first_window}
    fleet.run(4.0)
    assert fleet.get_windows(again.target) == {math.inf}


@both
def test_target_without_responses_is_tried_again_and_again(fleet):
    simulated = SimulatedTarget(TARGET, answers=False)
    fleet = start(simulated, **fleet)
    fleet.run(10.0)
    gaps = [b - a for a, b in zip(simulated.sends, simulated.sends[1:], strict=False)]
    assert simulated.sends[0] <= 2
    assert max(gaps) <= 2.5
    assert len(simulated.sends) <= 30


def test_only_caller_of_a_large_fleet_reaches_an_idle_target():
    # Places that other hosts don't need must not be lost.
    simulated = SimulatedTarget(TARGET)
    fleet = start(simulated, hosts=100, period_s=0.15, delay_s=0.2, demand=0.0)
    fleet.hosts["h7"].waiting = 10
    fleet.run(2.0)
    assert simulated.sends


@both
def test_no_second_collapse_after_a_crash_of_all_targets(fleet):
    @dataclass
    class Warming(SimulatedTarget):
        def respond(self, now, random):
            self.slow_above = min(6 + len(self.sends) / 4, 40)
            self.crash_above = 2.5 * self.slow_above
            return super().respond(now, random)

    fleet = Fleet(**{**fleet, "demand": 250.0})
    for host in fleet.hosts.values():
        host.waiting = round(250 / len(fleet.hosts))
    targets = [Warming(build_target(f"t{number}")) for number in range(6)]
    for simulated in targets:
        fleet.start(simulated)
    fleet.run(3.0)
    early = sum(len(simulated.sends) for simulated in targets)
    fleet.run(6.0)
    assert not any(simulated.crashed for simulated in targets)
    late = sum(len(simulated.sends) for simulated in targets) - early
    assert early > 50
    assert late > 0.7 * 250 * 6


def test_fresh_host_adopts_the_window_of_its_peers():
    fleet = start(SimulatedTarget(TARGET), demand=5.0, **MESH)
    fleet.run(0.6)
    windows = fleet.get_windows(TARGET)
    fresh = fleet.add_host("fresh")
    assert fresh.pacer.get_window(TARGET.incarnation) == math.inf
    fleet.run(0.3)
    assert fresh.pacer.get_window(TARGET.incarnation) >= min(windows)
    fleet.run(5.0)
    fresh = fleet.add_host("later")
    fleet.run(0.5)
    assert fresh.pacer.get_window(TARGET.incarnation) == math.inf


def test_host_that_was_out_of_sync_does_not_begin_the_ramp_again():
    fleet = start(SimulatedTarget(TARGET), demand=60.0, **MESH)
    fleet.cut.add("h0")
    fleet.run(20.0)
    late = fleet.hosts["h0"].pacer
    late.states.clear()
    late.known.clear()
    # It reads the registration long after the others have ended the ramp.
    assert late.begin(TARGET, is_first_read=False, now=fleet.now) is not None
    fleet.cut.clear()
    fleet.run(0.5)
    assert fleet.get_windows(TARGET) == {math.inf}


def test_one_slow_answer_lowers_the_window_once():
    pacer = build_pacer()
    pacer.begin(TARGET, is_first_read=False, now=1.0)
    for at in (1.4, 1.8, 2.2):
        respond(pacer, TARGET, at=at)
    assert pacer.get_window(TARGET.incarnation) == 16
    changes = [respond(pacer, TARGET, at=2.5 + n / 10, elapsed_s=1.3) for n in range(9)]
    assert [change.reason for change in changes if change] == [PaceReason.LATE]
    assert pacer.get_window(TARGET.incarnation) == 8


def test_overdue_response_lowers_the_window_before_it_arrives():
    # Until then, fast answers to earlier requests would raise the window.
    pacer = build_pacer()
    pacer.begin(TARGET, is_first_read=False, now=1.0)
    assert respond(pacer, TARGET, at=1.4).window == 4
    request = PacedRequest(TARGET, "slow", True, 10)
    assert pacer.try_send(request, now=1.5)
    pacer.note_sent(request, now=1.5)
    assert pacer.tick(lambda name: TARGET, now=2.0) == []
    [change] = pacer.tick(lambda name: TARGET, now=2.5)
    assert (change.window, change.reason) == (2.0, PaceReason.LATE)
    assert pacer.tick(lambda name: TARGET, now=3.0) == []


@pytest.mark.parametrize("window", [1.0, 4.0])
def test_request_that_hangs_does_not_hold_the_window_until_its_deadline(window):
    """At one request, the target stayed at that while any request hung there."""
    pacer = build_pacer()
    pacer.begin(TARGET, is_first_read=False, now=1.0)
    pacer.states[TARGET.incarnation].window = window
    pacer.note_sent(PacedRequest(TARGET, "hangs", True, 10), now=2.0)
    for step in range(200):
        now = 2.0 + step * 0.05
        pacer.tick(lambda name: TARGET, now=now)
        if step % 20 == 19:
            respond(pacer, TARGET, at=now)
    assert pacer.get_window(TARGET.incarnation) > 4


def test_response_to_a_request_of_an_earlier_round_does_not_raise_the_window():
    pacer = build_pacer()
    pacer.begin(TARGET, is_first_read=False, now=1.0)
    assert respond(pacer, TARGET, at=1.3).window == 4
    assert respond(pacer, TARGET, at=1.55, elapsed_s=0.4) is None
    assert respond(pacer, TARGET, at=1.65).window == 8


def test_slow_machine_is_compared_with_itself_after_a_while():
    pacer = build_pacer()
    pacer.begin(TARGET, is_first_read=False, now=0.0)
    windows = []
    for number in range(1, 80):
        respond(pacer, build_target("other"), at=number)
        respond(pacer, TARGET, at=number, elapsed_s=0.9)
        windows.append(pacer.get_window(TARGET.incarnation))
    assert max(windows[:28]) <= SETTINGS.first_window
    assert windows[-1] == math.inf


def test_new_normal_of_all_targets_is_learnt_while_all_are_paced():
    # Else a release that is slower everywhere would leave every window at 1.
    pacer = build_pacer()
    pacer.begin(TARGET, is_first_read=False, now=10.0)
    for number in range(400):
        respond(pacer, TARGET, at=10 + number / 4, elapsed_s=4 * USUAL_S)
    assert pacer.get_window(TARGET.incarnation) == math.inf


def test_recovered_target_is_paced_but_not_below_a_load_that_it_still_serves():
    peers = {TARGET.id: 0}
    pacer = build_pacer(count_peers=peers.__getitem__)
    pacer.begin(TARGET, is_first_read=True, now=1.0)
    pacer.note_avoided(TARGET, failed_at=2.0, now=2.0)
    assert pacer.tick(lambda name: TARGET, now=2.01) == []
    [change] = pacer.tick(lambda name: TARGET, now=2.3)
    assert (change.window, change.reason) == (2.0, PaceReason.RECOVERED)
    # Only the connections of some hosts broke: it serves the others.
    for peers[TARGET.id], window in [(12, 12), (16, math.inf)]:
        pacer.states.clear()
        pacer.note_avoided(TARGET, failed_at=3.0, now=3.0)
        pacer.tick(lambda name: TARGET, now=3.3)
        assert pacer.get_window(TARGET.incarnation) == window


def test_recovery_is_not_undone_by_a_round_from_before_the_failure():
    pacer = build_pacer()
    pacer.note_avoided(TARGET, failed_at=1.0, now=1.0)
    pacer.tick(lambda name: TARGET, now=1.3)
    ended = TargetPace(*TARGET.incarnation, 9, 64.0, age_s=100.0)
    pacer.apply_report(ended, slots=16, now=1.4)
    [report] = pacer.build_reports(now=1.4)
    assert (report.round, report.window) == (10, 2.0)


def test_failure_known_from_a_peer_does_not_begin_the_ramp_again():
    pacer = build_pacer()
    pacer.begin(TARGET, is_first_read=False, now=1.0)
    for at in (1.4, 1.8, 2.2):
        respond(pacer, TARGET, at=at)
    lowered = TargetPace(*TARGET.incarnation, 4, 2.0)
    pacer.apply_report(lowered, slots=16, now=2.5)
    respond(pacer, TARGET, at=2.9)
    pacer.note_avoided(TARGET, failed_at=2.4, now=2.9)
    assert pacer.tick(lambda name: TARGET, now=3.3) == []


def test_flag_off_paces_nothing_until_a_service_asks_for_it():
    pacer = build_pacer(PaceSettings())
    assert pacer.begin(TARGET, is_first_read=False, now=1.0) is None
    assert (pacer.states, pacer.known, pacer.times.entries) == ({}, {}, {})
    pacer.enable_service(SERVICE)
    pacer.note_registered([TARGET], now=1.5)
    assert pacer.begin(TARGET, is_first_read=False, now=2.0) is None
    restarted = build_target(started_ms=2000)
    assert pacer.begin(restarted, is_first_read=False, now=2.0).window == 2.0


def test_unregistered_targets_are_forgotten():
    pacer = build_pacer()
    pacer.begin(TARGET, is_first_read=False, now=1.0)
    pacer.tick(lambda name: None, now=70.0)
    pacer.note_registered([], now=70.0)
    assert (pacer.states, pacer.known) == ({}, {})


@pytest.mark.parametrize("is_drawn_before_release", [False, True])
def test_try_of_a_request_that_is_not_sent_is_left_to_the_next(is_drawn_before_release):
    """Requests without retry budget used up the tries of targets that had failed."""
    pacer = build_pacer()
    pacer.begin(TARGET, is_first_read=False, now=1.0)
    pacer.states[TARGET.incarnation].window = 0.5
    pacer.tick(lambda name: TARGET, now=3.0)
    first, second = PacedRequest(TARGET, "1"), PacedRequest(TARGET, "2")
    assert pacer.try_send(first, now=3.0)
    assert not pacer.try_send(second, now=3.0)
    if is_drawn_before_release:
        pacer.tick(lambda name: TARGET, now=3.2)
    pacer.release(first)
    pacer.tick(lambda name: TARGET, now=3.21)
    if is_drawn_before_release:
        pacer.tick(lambda name: TARGET, now=3.5)
    assert pacer.build_reports(now=3.5)[0].idle_s > 2.0
    assert pacer.try_send(second, now=3.5)
    pacer.note_sent(second, now=3.5)
    # A try that was sent counts, whatever comes of it.
    pacer.release(second)
    pacer.tick(lambda name: TARGET, now=4.0)
    assert not pacer.try_send(first, now=4.0)


def test_hosts_do_not_keep_each_other_s_windows_of_a_target_that_is_gone():
    """Each took the other's report after it had dropped its own state, for good."""
    first, second = build_pacer(), build_pacer()
    for pacer, at in ((first, 1.0), (second, 3.0)):
        pacer.begin(TARGET, is_first_read=False, now=at)
    for step in range(1, 500):
        now = 3.0 + step
        for pacer, peer in ((first, second), (second, first)):
            pacer.tick(lambda name: None, now=now)
            for report in peer.build_reports(now=now):
                pacer.apply_report(report, slots=math.inf, now=now)
    assert (first.states, second.states) == ({}, {})


@pytest.mark.parametrize("window", [math.nan, -1.0, 0.0])
def test_report_without_a_valid_window_is_ignored(window):
    pacer = build_pacer()
    report = TargetPace(*TARGET.incarnation, 1, window)
    assert pacer.apply_report(report, slots=16, now=1.0) is None


paces = st.builds(
    TargetPace,
    st.sampled_from(["t1", "t2"]),
    st.integers(0, 1),
    st.integers(0, 3),
    st.sampled_from([0.5, 1.0, 2.0, 64.0]),
    st.floats(0, 10),
    st.floats(0, 10),
)
reports = st.lists(paces, max_size=6)


@given(reports, reports, reports)
def test_merge_of_reports_is_commutative_idempotent_and_associative(a, b, c):
    # Reports arrive in any order, several times and through several relays.
    merged = merge_paces([*a, *b, *c])
    assert merge_paces([*b, *a, *c]) == merged
    assert merge_paces([*merged, *merged, *a]) == merged
    assert merge_paces([*a, *merge_paces([*b, *c])]) == merged
    assert merge_paces([*merge_paces([*a, *b]), *c]) == merged


@given(reports, st.randoms(use_true_random=False))
def test_hosts_agree_whatever_the_order_of_reports(a, random):
    pacers = [build_pacer(), build_pacer()]
    random.shuffle(b := list(a))
    for pacer, order in zip(pacers, (a, b), strict=True):
        for report in order:
            pacer.apply_report(report, slots=16, now=20.0)
    first, second = (
        {name: (state.round, state.window) for name, state in pacer.states.items()}
        for pacer in pacers
    )
    assert first == second


def test_targets_that_started_before_any_caller_came_are_not_paced():
    """All targets of a deployment that starts were paced when its callers came.

    In a fleetbench run of kitabu-pull-now-grown the first two seconds of traffic earned
    0.350 of their credit in place of 0.886.
    """
    pacer = build_pacer()
    pacer.begin(TARGET, is_first_read=False, now=0.0)
    assert pacer.tick(lambda name: TARGET, now=SETTINGS.idle_end_s - 0.1) == []
    (change,) = pacer.tick(lambda name: TARGET, now=SETTINGS.idle_end_s)
    assert (change.reason, change.is_paced) == (PaceReason.IDLE, False)
    assert pacer.get_wait_s(TARGET, service_s=1.0, now=SETTINGS.idle_end_s) == 0.0


def test_target_that_is_in_use_stays_paced_however_long_it_takes():
    pacer = build_pacer()
    pacer.begin(TARGET, is_first_read=False, now=0.0)
    request = PacedRequest(TARGET, "1", is_stream=False, size=100)
    assert pacer.try_send(request, now=1.0)
    pacer.note_sent(request, now=1.0)
    changes = pacer.tick(lambda name: TARGET, now=SETTINGS.idle_end_s + 1.0)
    assert PaceReason.IDLE not in {change.reason for change in changes}
