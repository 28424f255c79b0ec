"""Requests at cold targets over all hosts, without network."""

import math
from bisect import bisect_right
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thornlatch.fleet import Target, TargetLimit
from thornlatch.gateway import Gateway, GatewaySettings, HostAddresses
from thornlatch.gateway._target_limits import (
    COLD_LIMIT_S,
    ColdTargetSettings,
    TargetLimits,
    TargetLimitSettings,
)

SERVICE = "llm"
TARGET = ("t1", 1000)
SETTINGS = ColdTargetSettings()
STEP_S = 0.02
COLD_S = 3.0


def get_bound(rate):
    return rate * SETTINGS.tolerated_ratio + SETTINGS.tolerated_requests


def build(host, hosts, *, rate=7.0, now=0.0):
    limits = TargetLimits(
        TargetLimitSettings(), host=host, cold_settings=SETTINGS, started_at=now
    )
    limits.set_hosts(sorted(hosts))
    limits.set_cold_rates({SERVICE: rate})
    return limits


def note_cold(limits, now, *, remaining_s=COLD_S, target=TARGET):
    return limits.note_cold(
        target, SERVICE, remaining_s, source="registration", now=now
    )


def count_most_in_window(times):
    times = sorted(times)
    return max(
        (bisect_right(times, start + 1.0) - index for index, start in enumerate(times)),
        default=0,
    )


def send_all(fleet, *, begin, end, skip=lambda host, now: False):
    """Let each host send as often as its limits allow; return the times."""
    sends = []
    for step in range(int((end - begin) / STEP_S)):
        now = begin + step * STEP_S
        for host, limits in fleet.items():
            while not skip(host, now) and limits.try_send(TARGET, now=now):
                sends.append(now)
                assert len(sends) < 10_000, "a host sends without a limit"
    return sends


@given(
    hosts=st.integers(1, 120),
    rate=st.floats(0.05, 60.0),
    learned=st.lists(st.floats(0.0, 1.5), min_size=1, max_size=5),
)
def test_all_hosts_together_stay_within_the_bound_in_every_second(hosts, rate, learned):
    # Each host learns of the cold target at another time, and presses all the while.
    fleet = {}
    names = [f"h{number}" for number in range(hosts)]
    for number, name in enumerate(names):
        limits = fleet[name] = build(name, names, rate=rate, now=-5.0)
        note_cold(limits, learned[number % len(learned)], remaining_s=4.0)
    sends = send_all(
        fleet,
        begin=0.0,
        end=4.0,
        skip=lambda host, now: now < learned[names.index(host) % len(learned)],
    )
    assert count_most_in_window(sends) <= get_bound(rate)


@pytest.mark.parametrize("hosts", [1, 3, 8, 16, 73, 340])
def test_cold_target_is_not_left_idle(hosts):
    names = [f"h{number}" for number in range(hosts)]
    fleet = {name: build(name, names, now=-5.0) for name in names}
    for limits in fleet.values():
        note_cold(limits, 0.0)
    sends = send_all(fleet, begin=0.0, end=COLD_S)
    assert min(sends) <= 1.0
    assert len(sends) >= 7.0 * COLD_S * 0.6


@pytest.mark.parametrize("rate", [0.5, 3.0, 7.0, 20.0, 50.0, 100.0, 400.0])
def test_rate_is_used_by_fleets_of_all_sizes(rate):
    """50 hosts sent 2 of 50 requests/s, and 7 hosts 3 of 7."""
    for hosts in (*range(1, 60), 73, 340):
        share = SETTINGS.divide(rate, hosts)
        assert 0.9 * rate <= share.hosts * share.rate <= rate * 1.001
        in_window = math.floor(share.capacity + share.rate * SETTINGS.window_s + 1e-9)
        assert share.hosts * in_window <= get_bound(rate) * SETTINGS.used_ratio


def test_several_hosts_with_other_lists_of_hosts_stay_within_the_bound():
    # While hosts are replaced, some know the former list and some the new one.
    former = [f"h{number}" for number in range(73)]
    latter = former[3:] + ["n1", "n2", "n3"]
    fleet = {}
    for number, name in enumerate(sorted({*former, *latter})):
        fleet[name] = build(name, former if number % 2 else latter, now=-5.0)
        note_cold(fleet[name], 0.0)
    assert count_most_in_window(send_all(fleet, begin=0.0, end=COLD_S)) <= 15.5


def test_host_that_restarts_again_and_again_gains_nothing():
    names = [f"h{number}" for number in range(73)]
    fleet = {name: build(name, names, now=-5.0) for name in names}
    for limits in fleet.values():
        note_cold(limits, 0.0)
    sends = []
    for turn in range(10):
        now = turn * 0.3
        for name in names[::2]:
            fleet[name] = build(name, names, now=now)
            note_cold(fleet[name], now, remaining_s=COLD_S - now)
        sends += send_all(fleet, begin=now, end=now + 0.3)
    assert count_most_in_window(sends) <= 15.5


def test_suspended_host_has_saved_up_one_request_at_most():
    names = ["h1", "h2"]
    limits = build("h1", names, now=-5.0)
    note_cold(limits, 0.0, remaining_s=30.0)
    limits.try_send(TARGET, now=0.0)
    fleet = {"h1": limits}
    most = SETTINGS.divide(7.0, 2)
    sends = send_all(fleet, begin=20.0, end=20.0 + STEP_S)
    assert len(sends) <= most.capacity


def test_thread_that_read_the_clock_earlier_fills_no_bucket_twice():
    """A thread may be suspended between reading the clock and taking the lock."""
    names = [f"h{number}" for number in range(73)]
    fleet = {name: build(name, names, now=-5.0) for name in names}
    for limits in fleet.values():
        note_cold(limits, 0.0, remaining_s=30.0)
    host = next(name for name in names if fleet[name].get_share(TARGET))
    limits = fleet[host]
    assert limits.try_send(TARGET, now=10.0)
    assert not limits.try_send(TARGET, now=2.0)
    assert not limits.try_send(TARGET, now=10.01)


def test_hosts_that_replace_the_ones_with_a_share_begin_with_nothing():
    """They have saved up nothing, and the former ones may just have sent."""
    names = [f"h{number}" for number in range(73)]
    fleet = {name: build(name, names, now=-5.0) for name in names}
    for limits in fleet.values():
        note_cold(limits, 0.0, remaining_s=30.0)
    sends = send_all(fleet, begin=0.0, end=4.0)
    first = {name for name in names if fleet[name].get_share(TARGET)}
    for limits in fleet.values():
        limits.set_hosts(sorted(set(names) - first))
    rest = {name: limits for name, limits in fleet.items() if name not in first}
    sends += send_all(rest, begin=4.0, end=8.0)
    assert count_most_in_window(sends) <= get_bound(7.0)
    assert max(sends) > 5.0


def test_registered_targets_that_were_read_before_drop_no_new_cold_time():
    """The thread of the store may apply a restart while another one looks."""
    limits = build("h1", ["h1"])
    restarted = (TARGET[0], 2000)
    note_cold(limits, 0.0, target=restarted)
    limits.retain({TARGET}, now=0.1)
    assert limits.is_limited(restarted)


def test_restart_begins_a_new_cold_time():
    limits = build("h1", ["h1"])
    note_cold(limits, 0.0)
    restarted = (TARGET[0], 2000)
    assert note_cold(limits, 1.0, target=restarted)
    limits.retain({restarted}, now=1.0)
    assert [cold.started_ms for cold in limits.list_cold(now=1.0)] == [2000]


def test_target_that_is_cold_again_is_limited_again():
    limits = build("h1", ["h1"])
    note_cold(limits, 0.0)
    assert limits.pop_warm(now=2.9) == ()
    assert limits.pop_warm(now=4.0) == (TARGET,)
    assert not limits.is_limited(TARGET)
    assert note_cold(limits, 10.0)
    assert limits.get_rate(TARGET) == 7.0


def test_cold_time_ends_by_the_clock_alone():
    limits = build("h1", ["h1"] + [f"o{number}" for number in range(200)])
    note_cold(limits, 0.0)
    assert limits.get_wait_s(TARGET, now=1.0) > 0
    assert limits.get_wait_s(TARGET, now=COLD_S) == 0.0


def test_older_word_of_a_warm_target_does_not_end_a_cold_time():
    limits = build("h1", ["h1"])
    note_cold(limits, 0.0)
    assert not note_cold(limits, 0.5, remaining_s=0.0)
    assert limits.is_limited(TARGET)


@pytest.mark.parametrize("remaining_s", [0.0, -1.0, float("nan"), float("-inf")])
def test_times_that_are_not_positive_have_no_effect(remaining_s):
    limits = build("h1", ["h1"])
    assert not note_cold(limits, 0.0, remaining_s=remaining_s)
    assert not limits.is_limited(TARGET)


def test_absurd_time_is_cut():
    limits = build("h1", ["h1"])
    note_cold(limits, 0.0, remaining_s=1e9)
    assert limits.list_cold(now=0.0)[0].left_s == COLD_LIMIT_S


def test_service_without_a_cold_rate_is_served_as_before():
    limits = build("h1", ["h1", "h2"])
    limits.set_cold_rates({})
    note_cold(limits, 0.0)
    assert all(limits.try_send(TARGET, now=0.0) for _ in range(100))


def test_rate_that_is_configured_later_binds_a_target_that_is_cold_already():
    limits = build("h1", ["h1"])
    limits.set_cold_rates({})
    note_cold(limits, 0.0)
    limits.set_cold_rates({SERVICE: 2.0})
    assert limits.get_rate(TARGET) == 2.0


def test_limit_that_the_target_names_binds_as_well():
    limits = build("h1", ["h1"])
    note_cold(limits, 0.0)
    limits.note_answer(TARGET, 0.5, sent_at=0.0, may_end=True, now=0.0)
    assert limits.get_rate(TARGET) == 0.5
    limits.note_answer(TARGET, 100.0, sent_at=0.1, may_end=True, now=0.2)
    assert limits.get_rate(TARGET) == 7.0


def test_peers_learn_of_a_cold_time_that_only_an_answer_told():
    seen = build("h1", ["h1", "h2"])
    seen.note_cold(TARGET, SERVICE, 2.0, source="request", now=10.0, was_seen=True)
    (report,) = seen.build_reports(now=10.5)
    assert report == TargetLimit(*TARGET, 7.0, 0.5, 2.0)
    peer = build("h2", ["h1", "h2"])
    assert not peer.apply_report(report, now=100.0)
    assert peer.list_cold(now=100.0)[0].left_s == 1.5
    # What a peer told isn't reported again, or it would never end.
    assert peer.build_reports(now=100.0) == ()


def test_report_that_is_older_than_its_time_has_no_effect():
    peer = build("h2", ["h1", "h2"])
    peer.apply_report(TargetLimit(*TARGET, 7.0, 5.0, 2.0), now=100.0)
    assert not peer.is_limited(TARGET)


def test_operators_see_a_cold_target_and_a_look_changes_nothing():
    limits = build("h1", ["h1"], now=-5.0)
    note_cold(limits, 0.0)
    before = limits.cold[TARGET].tokens, limits.cold[TARGET].refilled_at
    duplicate = limits.build_copy()
    duplicate.get_wait_s(TARGET, now=2.0)
    (cold,) = duplicate.list_cold(now=2.0)
    assert (cold.since_s, cold.left_s, cold.rate, cold.sent) == (2.0, 1.0, 7.0, 0)
    assert cold.source == "registration"
    assert (limits.cold[TARGET].tokens, limits.cold[TARGET].refilled_at) == before


def test_hosts_do_not_begin_together_at_many_cold_targets():
    # A whole failure domain comes back: each host has a share of some targets.
    random = Random(3)
    names = [f"h{number}" for number in range(73)]
    targets = [(f"t{number}", random.randrange(10**6)) for number in range(47)]
    fleet = {name: build(name, names, now=-5.0) for name in names}
    for limits in fleet.values():
        for target in targets:
            note_cold(limits, 0.0, target=target)
    shares = [
        sum(limits.get_share(target) for target in targets) for limits in fleet.values()
    ]
    assert sum(shares) == pytest.approx(7.0 * len(targets))
    assert sum(share > 0 for share in shares) >= 70


@pytest.fixture(name="gateway")
def _build_gateway():
    addresses = HostAddresses("h1", "z", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0")
    settings = GatewaySettings(addresses)
    gateway = Gateway(settings, callers=None, targets=None, partitions=12)
    yield gateway
    gateway.fleet.peer_loop.mesh.close()


def test_target_is_known_to_be_cold_before_requests_may_choose_it(gateway):
    """All requests that waited went to a new target while its entry was applied."""
    target = Target("t1", SERVICE, "1.2.3.4:5", "z", 8, started_ms=1, cold_s=3.0)
    were_cold = []
    apply = gateway.registry.apply

    def apply_and_look(name, entry, *, now):
        were_cold.append(entry.incarnation in gateway.health.limits.cold)
        return apply(name, entry, now=now)

    gateway.registry.apply = apply_and_look
    gateway.apply_target(target.id, target)
    assert were_cold == [True]


def test_first_cold_target_of_a_host_is_not_taken_for_its_start(gateway):
    """All hosts began with empty buckets, and so all at the same time."""
    limits = gateway.health.limits
    limits.set_cold_rates({SERVICE: 7.0})
    hosts = [f"h{number}" for number in range(73)]
    limits.set_hosts(hosts)
    now = limits.started_at + 100.0
    for number in range(100):
        note_cold(limits, now, target=(f"t{number}", 1))
    assert max(period.tokens for period in limits.cold.values()) > 0.0
