"""Load patterns of targets that limit their requests, without network."""

import math
from collections import deque
from random import Random

import pytest

from thornlatch.fleet import TargetLimit
from thornlatch.gateway._target_limits import TargetLimits, TargetLimitSettings

TARGET = ("t1", 1000)
SETTINGS = TargetLimitSettings()
STEP_S = 0.01
SETTLING_S = 3.0  # after the first answer that names a limit


def get_tolerated(rate):
    return SETTINGS.tolerated_ratio * rate * SETTINGS.window_s + 5


class Fleet:
    """Hosts that exchange reports with a delay and send as much as they may.

    Before the limit is known, `demand` requests a second arrive at all hosts together;
    each of them is sent to the target if its limit allows it.
    """

    def __init__(self, hosts, *, demand, report_s, seed=1):
        self.random = Random(seed)
        self.demand = demand
        self.report_s = report_s
        self.now = 0.0
        self.rate = None
        self.arrivals = []
        self.peer_sends = {}
        self.limits = {}
        self.messages = deque()
        self.next_report_at = 0.0
        for number in range(hosts):
            self.add(f"h{number}")

    def add(self, name):
        self.peer_sends[name] = {}
        self.limits[name] = TargetLimits(
            SETTINGS,
            host=name,
            count_peer_sends=lambda target: self.peer_sends[name].get(target, 0),
            random=Random(name),
        )
        self.share()

    def remove(self, name):
        del self.limits[name]
        self.share()

    def share(self):
        for limits in self.limits.values():
            limits.set_hosts(sorted(self.limits))

    def run(self, for_s):
        end = self.now + for_s
        while self.now < end:
            self.now += STEP_S
            self.report()
            for _ in range(self.draw_requests()):
                self.send(self.random.choice(list(self.limits)))

    def draw_requests(self):
        expected = self.demand * STEP_S
        return int(expected) + (self.random.random() < expected % 1)

    def send(self, host):
        limits = self.limits[host]
        if not limits.try_send(TARGET, now=self.now):
            return
        self.arrivals.append(self.now)
        limits.note_answer(
            TARGET, self.rate, sent_at=self.now, may_end=True, now=self.now + 0.001
        )

    def report(self):
        """Deliver each host's reports to all others after `report_s`."""
        if self.now >= self.next_report_at:
            self.next_report_at = self.now + self.report_s
            reports = {
                host: (
                    limits.build_reports(now=self.now),
                    limits.count_sends(now=self.now),
                )
                for host, limits in self.limits.items()
            }
            self.messages.append((self.now, reports))
        if self.messages and self.messages[0][0] <= self.now - self.report_s:
            sent_at, reports = self.messages.popleft()
            total = sum(sends.get(TARGET[0], 0) for _, sends in reports.values())
            for host, limits in self.limits.items():
                own = reports[host][1].get(TARGET[0], 0) if host in reports else 0
                self.peer_sends[host] = {TARGET[0]: total - own}
                for found, _ in reports.values():
                    for report in found:
                        limits.apply_report(report, now=self.now)

    def count_busiest_window(self, *, since):
        busiest, begin = 0, 0
        for end, arrival in enumerate(self.arrivals):
            while self.arrivals[begin] <= arrival - SETTINGS.window_s:
                begin += 1
            if arrival >= since:
                busiest = max(busiest, end - begin + 1)
        return busiest


FLEETS = pytest.mark.parametrize(
    ("hosts", "report_s"),
    [(1, 0.05), (2, 0.05), (8, 0.05), (40, 0.1), (195, 0.6)],
    ids="{}".format,
)


RATES = pytest.mark.parametrize("rate", [0.2, 0.5, 1.6, 3.0, 12.0, 40.0])


@FLEETS
@RATES
def test_limit_is_kept_by_all_hosts_together(hosts, report_s, rate):
    """A share for each host let a large fleet send one request a host at once."""
    fleet = Fleet(hosts, demand=300.0, report_s=report_s)
    fleet.rate = rate
    fleet.run(20.0)
    settled = SETTLING_S + SETTINGS.window_s
    assert 0 < fleet.count_busiest_window(since=settled) <= get_tolerated(rate)


@FLEETS
@RATES
def test_requests_sent_before_a_limit_was_named_count(hosts, report_s, rate):
    """A window that ends 3 s after the limit was named begins a second before."""
    fleet = Fleet(hosts, demand=0.4 * get_tolerated(rate), report_s=report_s)
    fleet.run(5.0)
    fleet.rate = rate
    named_at = fleet.now
    fleet.run(10.0)
    busiest = fleet.count_busiest_window(since=named_at + SETTLING_S)
    assert busiest <= get_tolerated(rate)


@FLEETS
def test_limited_target_is_used_as_much_as_it_allows(hosts, report_s):
    """A target with a limit must not be left idle."""
    fleet = Fleet(hosts, demand=4.0 * hosts, report_s=report_s)
    fleet.rate = 3.0
    fleet.run(40.0)
    sent = sum(arrival > 10.0 for arrival in fleet.arrivals)
    assert sent >= 0.8 * fleet.rate * 30.0


def test_limit_is_kept_while_hosts_come_and_go():
    """New hosts in a target's order must not begin with requests to send."""
    fleet = Fleet(12, demand=200.0, report_s=0.05)
    fleet.rate = 1.8
    fleet.run(4.0)
    for number in range(20):
        fleet.remove(sorted(fleet.limits)[number % len(fleet.limits)])
        fleet.run(0.5)
        fleet.add(f"new{number}")
        fleet.run(0.5)
    settled = SETTLING_S + SETTINGS.window_s
    assert fleet.count_busiest_window(since=settled) <= get_tolerated(1.8)


def test_limit_that_changes_is_kept():
    fleet = Fleet(8, demand=100.0, report_s=0.05)
    for rate in (20.0, 10.0, 5.0, 2.5):
        fleet.rate = rate
        fleet.run(8.0)
        # Later than the settling time after a change, and a window of its own.
        assert fleet.count_busiest_window(since=fleet.now - 1.0) <= get_tolerated(rate)


def test_end_of_a_limit_is_learnt_by_all_hosts():
    """A limit must not outlive the target's need."""
    fleet = Fleet(40, demand=100.0, report_s=0.1)
    fleet.rate = 2.0
    fleet.run(10.0)
    fleet.rate = None
    fleet.run(4.0)
    assert not any(limits.is_limited(TARGET) for limits in fleet.limits.values())


def build(rate, *, now=0.0, hosts=("h",)):
    limits = TargetLimits(SETTINGS, host="h")
    limits.set_hosts(hosts)
    limits.note_answer(TARGET, rate, sent_at=now, may_end=True, now=now)
    return limits


def test_target_that_accepts_no_requests_is_probed_seldom():
    """Without any request the hosts wouldn't learn that the limit has ended."""
    limits = build(0.0)
    sent = [now for now in range(60) if limits.try_send(TARGET, now=float(now))]
    assert 1 <= len(sent) <= 60 * SETTINGS.probe_rate + 1


def test_answer_to_an_earlier_request_does_not_end_a_limit():
    """Answers that began before the limit was named arrive after it."""
    limits = build(2.0, now=10.0)
    limits.note_answer(TARGET, None, sent_at=9.9, may_end=True, now=10.1)
    assert limits.is_limited(TARGET)
    limits.note_answer(TARGET, None, sent_at=10.2, may_end=False, now=10.3)
    assert limits.is_limited(TARGET)
    limits.note_answer(TARGET, None, sent_at=10.2, may_end=True, now=10.3)
    assert not limits.is_limited(TARGET)


def test_limit_that_ends_and_returns_gives_no_new_burst():
    limits = build(1.0)
    now, sent = 0.0, 0
    while now < 4.0:
        now += 0.05
        limits.note_answer(TARGET, None, sent_at=now, may_end=True, now=now)
        limits.note_answer(TARGET, 1.0, sent_at=now, may_end=True, now=now)
        sent += limits.try_send(TARGET, now=now)
    assert sent <= get_tolerated(1.0)


def test_late_report_of_an_end_does_not_replace_a_limit():
    limits = build(2.0, now=10.0)
    limits.apply_report(TargetLimit(*TARGET, None, 0.2), now=10.5)
    assert limits.is_limited(TARGET)
    limits.apply_report(TargetLimit(*TARGET, None, 0.2), now=11.5)
    assert not limits.is_limited(TARGET)


def test_restarted_target_has_no_limit():
    limits = build(2.0)
    assert not limits.is_limited(("t1", 2000))
    limits.retain([("t1", 2000)], now=1.0)
    assert not limits.limits


def test_limit_outlasts_an_entry_that_lapses():
    """Entries lapse while the store is away, and targets name no new limit."""
    limits = build(2.0)
    limits.retain([], now=10.0)
    assert limits.is_limited(TARGET)
    limits.retain([], now=100.0)
    assert not limits.limits


def test_host_without_a_share_sends_nothing():
    hosts = tuple(f"h{number}" for number in range(195))
    shares = 0
    for host in hosts:
        limits = TargetLimits(SETTINGS, host=host)
        limits.set_hosts(hosts)
        limits.note_answer(TARGET, 2.0, sent_at=0.0, may_end=True, now=0.0)
        wait_s = limits.get_wait_s(TARGET, now=0.0)
        shares += wait_s < math.inf
    assert shares == int(SETTINGS.compute_burst(2.0))
