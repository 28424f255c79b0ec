"""Quotas over all hosts, under the loads and faults that they are meant for."""

import random

import pytest

from thornlatch.quota import QuotaSettings, SharedQuota
from thornlatch.routing import Organisation

RATE, BURST = 1000.0, 1000.0


def build(now=0.0, peers=(), rate=RATE, burst=BURST, **settings):
    quota = SharedQuota(QuotaSettings(**settings), now=now)
    quota.set_organisations([organisation(rate, burst)], now=now)
    quota.set_peers(peers, now=now)
    return quota


def organisation(rate=RATE, burst=BURST):
    return Organisation("shop", frozenset({"k"}), None, rate, burst)


def tell(sender, receiver, name, now):
    spent, levels = sender.get_spent(now=now)
    receiver.apply_peer_digest(name, spent, levels, now)


def test_bucket_refills_to_the_burst():
    quota = build()
    assert quota.try_spend("shop", 1000, now=10.0) is None
    assert quota.try_spend("shop", 500, now=10.0) == pytest.approx(0.5)
    assert quota.try_spend("shop", 500, now=10.6) is None


def test_refused_callers_are_told_to_come_back_one_after_the_other():
    quota = build()
    quota.try_spend("shop", 1000, now=10.0)
    waits = [quota.try_spend("shop", 500, now=10.0) for _ in range(4)]
    assert waits == pytest.approx([0.5, 1.0, 1.5, 2.0])


def test_request_larger_than_the_burst_runs_when_the_bucket_is_full():
    quota = build()
    assert quota.try_spend("shop", 5000, now=10.0) is None
    assert quota.try_spend("shop", 1, now=10.0) is not None


def test_organisation_without_limit_is_never_refused():
    quota = build(rate=0.0, burst=0.0)
    assert quota.try_spend("shop", 10**9, now=1.0) is None


def test_peers_spending_is_taken_off():
    a, b = build(peers=["b"]), build(peers=["a"])
    for now in (2.0, 2.1):
        tell(a, b, "a", now)
        tell(b, a, "b", now)
    assert b.try_spend("shop", 1000, now=2.1) is None
    tell(b, a, "b", 2.1)
    assert a.try_spend("shop", 500, now=2.1) is not None


def test_hot_organisation_s_spending_goes_on_between_digests():
    a, b = build(peers=["b"]), build(peers=["a"])
    for step in range(10):
        now = 2.0 + step / 10
        b.try_spend("shop", 90, now=now)
        tell(a, b, "a", now)
        tell(b, a, "b", now)
    for _ in range(9):
        a.try_spend("shop", 100, now=2.9)
    left = a.buckets["shop"].level
    a.try_spend("shop", 10**9, now=3.1)
    # The rate brings 200 tokens in 0.2 s, of which b is taken to spend 180.
    assert a.buckets["shop"].level - left == pytest.approx(20, abs=15)


def test_give_back_reaches_the_peers():
    a, b = build(peers=["b"]), build(peers=["a"])
    for now in (2.0, 2.1):
        tell(a, b, "a", now)
        tell(b, a, "b", now)
    b.try_spend("shop", 1000, now=2.1)
    tell(b, a, "b", 2.1)
    b.give_back("shop", 1000, now=2.1)
    tell(b, a, "b", 2.1)
    assert a.try_spend("shop", 900, now=2.1) is None


def test_stopping_peer_that_was_removed_is_counted_once():
    a, b = build(peers=["b"]), build(peers=["a"])
    for now in (2.0, 2.1):
        tell(a, b, "a", now)
        tell(b, a, "b", now)
    b.try_spend("shop", 900, now=2.1)
    tell(b, a, "b", 2.1)
    a.set_peers([], now=2.2)
    tell(b, a, "b", 2.2)
    a.set_peers([], now=2.3)
    tell(b, a, "b", 2.3)
    assert a.try_spend("shop", 250, now=2.3) is None


def test_restarted_host_takes_over_what_its_peers_know():
    a = build(peers=["b"])
    b = build(now=100.0, peers=["a"])
    a.set_peers([], now=99.0)
    a.try_spend("shop", 1000, now=100.0)
    tell(a, b, "a", 100.1)
    assert b.try_spend("shop", 400, now=100.1) is not None


def test_host_that_hears_of_nobody_spends_its_part_only():
    quota = build(peers=["b", "c", "d"])
    taken = 0
    for step in range(100, 1100):
        if quota.try_spend("shop", 10, now=step / 100) is None:
            taken += 10
    assert taken <= RATE * 10 / 4 + BURST


# A bucket, and quotas judged by windows whose burst is worth 1 s and 3.6 s of the rate.
PLANS = [
    {},
    {"window_s": 8.0},
    {"window_s": 8.0, "burst": 3600.0},
]


@pytest.mark.parametrize("plan", PLANS)
@pytest.mark.parametrize("seed", range(20))
def test_no_window_goes_over_the_quota_while_hosts_are_cut_and_killed(seed, plan):
    rng = random.Random(seed)
    hosts = build_hosts(plan)
    cut = set()
    spends = []
    for step in range(1, 4000):
        now = step / 100
        if step % 300 == 0:
            cut = set(rng.sample(sorted(hosts), rng.choice([0, 0, 1, 2])))
        if step % 500 == 0:
            restart(hosts, rng.choice(sorted(hosts)), now, plan)
        if step % 10 == 0:
            for x in hosts:
                for y in hosts:
                    if x != y and not {x, y} & cut:
                        tell(hosts[x], hosts[y], x, now)
        name = rng.choice(sorted(hosts))
        if hosts[name].try_spend("shop", 60, now=now) is None:
            spends.append((now, 60))
    check_windows(spends, plan.get("burst", BURST))


def check_windows(spends, burst):
    allowed = (RATE * 8 + burst) * 1.1 + 17_000 / 60
    for start, _ in spends:
        spent = sum(tokens for at, tokens in spends if start <= at < start + 8.0)
        assert spent <= allowed, start


@pytest.mark.parametrize("plan", PLANS)
def test_no_window_goes_over_the_quota_when_all_hosts_lose_power_under_pressure(plan):
    hosts = build_hosts(plan)
    spends = []
    for step in range(1, 3000):
        now = step / 100
        if step == 1500:
            for name in list(hosts):
                restart(hosts, name, now, plan)
        if step % 10 == 0:
            for x in hosts:
                for y in hosts:
                    if x != y:
                        tell(hosts[x], hosts[y], x, now)
        is_dark = 1450 <= step < 1500
        for quota in hosts.values():
            if not is_dark and quota.try_spend("shop", 60, now=now) is None:
                spends.append((now, 60))
    check_windows(spends, plan.get("burst", BURST))


def build_hosts(plan, letters="abcd"):
    names = [f"{letter}.0" for letter in letters]
    return {
        name: build(peers=[m for m in names if m != name], **plan) for name in names
    }


def restart(hosts, name, now, plan):
    """Replace a host by a new incarnation of it."""
    del hosts[name]
    letter, _, number = name.partition(".")
    hosts[f"{letter}.{int(number) + 1}"] = build(now=now, **plan)
    for one, quota in hosts.items():
        quota.set_peers([other for other in hosts if other != one], now=now)


def spend_steadily(hosts, demand, *, until):
    """Ask for tokens at a steady rate on all hosts; return what was spent when."""
    spends = []
    for step in range(1, int(until * 100)):
        now = step / 100
        if step % 5 == 0:
            for x in hosts:
                for y in hosts:
                    if x != y:
                        tell(hosts[x], hosts[y], x, now)
        name = sorted(hosts)[step % len(hosts)]
        if hosts[name].try_spend("shop", demand / 100, now=now) is None:
            spends.append((now, demand / 100))
    return spends


def test_organisation_that_goes_on_asking_gets_what_each_window_holds():
    """Seen on mandacaru-bolsas quiet-1: a fourth refused of what the windows held."""
    hosts = build_hosts(PLANS[2], "ab")
    spends = spend_steadily(hosts, 1200.0, until=60)
    assert sum(tokens for at, tokens in spends if at > 20) > 0.99 * 1200 * 40
    check_windows(spends, 3600.0)


def test_organisation_that_asks_for_more_than_the_windows_hold_is_kept_within():
    hosts = build_hosts(PLANS[2], "ab")
    spends = spend_steadily(hosts, 5000.0, until=60)
    assert sum(t for at, t in spends if at > 20) > 1200 * 40
    check_windows(spends, 3600.0)


def test_organisation_whose_limit_is_cut_goes_on_at_the_lower_one():
    """A window full of what a higher limit allowed would refuse it for 8 s."""
    quota = build(rate=4000.0, burst=16_000.0, window_s=8.0)
    for number in range(40):
        quota.try_spend("shop", 1000, now=10.0 + number / 10)
    lower = organisation(RATE, 3600.0)
    quota.set_organisations([lower], now=14.0)
    spent = 0
    for number in range(40):
        spent += 100 * (quota.try_spend("shop", 100, now=14.0 + number / 10) is None)
    assert RATE * 4 <= spent <= RATE * 4 * 1.25 + 3600


def test_refused_caller_is_told_when_the_window_has_room():
    quota = build(burst=4000.0, window_s=8.0)
    assert quota.try_spend("shop", 1000, now=10.0) is None
    bucket = quota.buckets["shop"]
    bucket.window.add(11_000, now=11.0)
    bucket.level = 4000.0
    wait_s = quota.try_spend("shop", 500, now=12.0)
    assert wait_s >= 5.0  # the longest that callers are told
    assert quota.try_spend("shop", 500, now=19.4) is None


def tell_stream(quota, relay, total, *, is_used, now):
    quota.apply_domain_digest(
        "d", relay, {"shop": total}, {}, hosts=["b"], is_used=is_used, now=now
    )


@pytest.mark.parametrize("told", [[], [1650]])
def test_spending_while_a_domain_s_relay_dies_is_taken_off_once(told):
    """Seen in the histories of large fleets: 8% above the quota after such a death."""
    quota = build(rate=1e-3, burst=10_000.0)
    quota.buckets["shop"].level = 10_000.0
    for now in (2.0, 2.1):
        tell_stream(quota, "first", 500, is_used=True, now=now)
        tell_stream(quota, "spare", 1500, is_used=False, now=now)
    for total in told:
        tell_stream(quota, "spare", total, is_used=False, now=2.4)
    tell_stream(quota, "spare", 1800, is_used=True, now=2.8)
    assert quota.get_spent(now=2.8)[1]["shop"] == pytest.approx(9700, abs=1)
    tell_stream(quota, "spare", 1900, is_used=True, now=2.9)
    assert quota.get_spent(now=2.9)[1]["shop"] == pytest.approx(9600, abs=1)


def test_relay_that_hears_of_fewer_hosts_hides_no_spending():
    quota = build(rate=1e-3, burst=10_000.0)
    quota.buckets["shop"].level = 10_000.0
    for number in range(8):
        now = 2.0 + number / 10
        tell_stream(quota, "first", 100 * number, is_used=True, now=now)
        tell_stream(quota, "spare", 1000 + 10 * number, is_used=False, now=now)
    # The first relay is silent for 0.4 s, in which its hosts go on at 1000 a second.
    tell_stream(quota, "spare", 1090, is_used=True, now=3.1)
    assert quota.get_spent(now=3.1)[1]["shop"] == pytest.approx(8900, abs=30)
