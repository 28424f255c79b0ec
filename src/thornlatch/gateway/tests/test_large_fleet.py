"""Digests, quotas and shared reads of large fleets, with failed and isolated hosts."""

import random

import pytest

from thornlatch.fleet import DomainExchange, HeldTarget, Member
from thornlatch.gateway._peer_loop import FREQUENT_PERIOD_S
from thornlatch.gateway._topic_share import (
    TopicAnswered,
    TopicShare,
    TopicShareSettings,
)
from thornlatch.gateway.tests.large_fleet import (
    SETTINGS,
    SHOP,
    SLOW_SETTINGS,
    SMALL_SHOP,
    TOKENS_PER_REQUEST,
    TOLERANCE,
    Fleet,
    Host,
)


@pytest.fixture
def fleet():
    test_fleet = Fleet()
    rng = random.Random(1)
    for host in test_fleet.hosts.values():
        host.running = (
            ("t1", "m/a", rng.randrange(9)),
            ("t2", "m/b", rng.randrange(9)),
        )
    return test_fleet


def check_request_counts(fleet):
    for name, host in fleet.hosts.items():
        for target, index in (("t1", 0), ("t2", 1)):
            expected = sum(peer.running[index][2] for peer in fleet.iter_peers(name))
            assert host.peers.count_peer_requests(target) == expected, (name, target)


def test_each_host_counts_the_requests_of_all_peers(fleet):
    fleet.run(1.0)
    check_request_counts(fleet)
    for name, host in fleet.hosts.items():
        live = set(host.peers.list_live(now=fleet.now))
        assert live == fleet.hosts.keys() - {name}


def test_all_hosts_learn_that_a_target_leaves_while_one_of_them_says_so(fleet):
    fleet.hosts["h1-5"].leaving = (("t1", 5),)
    fleet.run(1.5)
    assert {host.view.leaving for host in fleet.hosts.values()} == {(("t1", 5),)}
    fleet.hosts["h1-5"].leaving = ()
    fleet.run(1.5)
    assert {host.view.leaving for host in fleet.hosts.values()} == {()}


@pytest.mark.parametrize(
    ("hosts", "messages_per_s"), [(24, 14.0), (83, 12.1), (195, 5.2), (340, 3.0)]
)
def test_larger_fleets_exchange_digests_less_often(hosts, messages_per_s):
    timing = SETTINGS.compute_timing(hosts)
    sent_per_s = (1 + 1 / timing.spare_turns) / timing.period_s
    assert sent_per_s <= messages_per_s
    # A host that misses a digest of a spare relay doesn't count it as silent.
    assert timing.silent_s > timing.spare_turns * timing.period_s * 1.5


def test_hosts_send_to_two_relays_and_relays_to_the_hosts_of_their_domain(fleet):
    fleet.run(3.0)
    sent_by_turn = []
    for _ in range(SETTINGS.compute_timing(24).spare_turns):
        fleet.turn()
        sent_by_turn.append(sorted(host.sent_messages for host in fleet.hosts.values()))
        # A relay sends to its 7 hosts, the spare relay and two relays of each of the
        # two other domains.
        assert sent_by_turn[-1][-1] <= 7 + 1 + 4
    # Hosts send to the first relay each turn, and to the spare relay once.
    assert sorted(counts[:18] for counts in sent_by_turn) == [
        [1] * 18,
        [1] * 18,
        [2] * 18,
    ]


@pytest.mark.parametrize("killed", [["h0-0"], ["h0-0", "h0-1"], ["h1-0", "h2-0"]])
def test_failed_relays_are_replaced_within_two_seconds(fleet, killed):
    fleet.run(1.0)
    for name in killed:
        del fleet.hosts[name]
    fleet.run(2.0)
    check_request_counts(fleet)
    for host in fleet.hosts.values():
        assert not set(host.peers.list_live(now=fleet.now)) & set(killed)


def test_partitioned_domain_is_silent_until_the_partition_ends(fleet):
    fleet.run(1.0)
    fleet.isolated = {name for name in fleet.hosts if name.startswith("h1-")}
    fleet.run(2.0)
    peers = fleet.hosts["h0-5"].peers
    assert not any(host.startswith("h1-") for host in peers.list_live(now=fleet.now))
    fleet.isolated = set()
    fleet.run(5.0)
    check_request_counts(fleet)


def test_holder_receives_the_requests_at_its_targets_by_adapter(fleet):
    held = HeldTarget("t1", 1, 3, 0.0, ())
    holder = fleet.hosts["h2-4"]
    holder.held = (held,)
    # The holder counts its own requests itself, so digests must not add them.
    holder.running = (("t1", "m/a", 4), *holder.running[1:])
    fleet.run(1.5)
    expected = sum(peer.running[0][2] for peer in fleet.iter_peers("h2-4"))
    assert holder.peers.count_peer_requests_by_adapter("t1")["m/a"] == expected
    for name, host in fleet.hosts.items():
        if name != "h2-4":
            assert host.peers.get_holder("t1", now=fleet.now) == "h2-4"
            assert host.peers.held["h2-4"]["t1"][0] == held


def test_crashes_by_request_reach_all_hosts(fleet):
    fleet.hosts["h0-3"].broken = {"f": ("t1/1/0", "t2/1/0")}
    fleet.hosts["h2-6"].broken = {"f": ("t1/1/0", "t3/1/0")}
    fleet.run(1.0)
    for host in fleet.hosts.values():
        assert host.view.crashes == {"f": ("t1/1/0", "t2/1/0", "t3/1/0")}


def list_orderers(fleet, silent=(), current=()):
    return {
        name
        for name, host in fleet.hosts.items()
        if name not in silent
        and host.exchange.is_orderer(silent, orders_now=name in current)
    }


def test_hosts_that_order_adapters_are_replaced_when_they_fail(fleet):
    first = list_orderers(fleet)
    assert len(first) == SETTINGS.orderers
    failed = {name for name in first if name.startswith("h0-")}
    assert len(list_orderers(fleet, failed, first)) == SETTINGS.orderers
    # Hosts that return don't displace those that replaced them.
    second = list_orderers(fleet, failed, first)
    assert second <= list_orderers(fleet, (), second)


@pytest.mark.parametrize("settings", [SETTINGS, SLOW_SETTINGS], ids=["24", "195"])
@pytest.mark.parametrize("shop", [SHOP, SMALL_SHOP], ids=["large", "small"])
@pytest.mark.parametrize("seed", range(12))
def test_organisation_stays_within_its_quota_in_a_large_fleet(seed, shop, settings):
    rng = random.Random(seed)
    fleet = Fleet(settings=settings)
    fleet.run(3.0)
    spent_at = []
    for step in range(round(40 / fleet.turn_s)):
        if step % 60 == 20:
            domain = rng.choice(["h0-", "h1-", "h2-"])
            hosts = [name for name in fleet.hosts if name.startswith(domain)]
            fleet.isolated = set(rng.sample(hosts, rng.randrange(len(hosts) + 1)))
        if step % 60 == 45:
            fleet.isolated = set()
        if step % 100 == 50 and len(fleet.hosts) > 18:
            # Removes hosts of the highest capacity first, since they are relays.
            del fleet.hosts[min(fleet.hosts, key=lambda n: (n[3:], rng.random()))]
            fleet.set_members()
        fleet.turn()
        names = sorted(fleet.hosts)
        for _ in range(round(4 * shop.rate / TOKENS_PER_REQUEST * fleet.turn_s)):
            quota = fleet.hosts[rng.choice(names)].quota
            if quota.try_spend(shop.name, TOKENS_PER_REQUEST, now=fleet.now) is None:
                spent_at.append(fleet.now)
    allowed = (shop.rate * 8 + shop.burst) * 1.1 + TOLERANCE
    for start in set(spent_at):
        spent = TOKENS_PER_REQUEST * sum(start <= at < start + 8.0 for at in spent_at)
        assert spent <= allowed, start
    assert TOKENS_PER_REQUEST * len(spent_at) > shop.rate * 40 * 0.5


def test_small_organisation_may_use_its_whole_burst_at_once_in_a_large_fleet():
    """What hosts hear late is less than the tolerance."""
    fleet = Fleet(settings=SLOW_SETTINGS)
    fleet.run(8.0)
    quota = fleet.hosts["h1-3"].quota
    for _ in range(round(SMALL_SHOP.burst / TOKENS_PER_REQUEST)):
        assert quota.try_spend("small", TOKENS_PER_REQUEST, now=fleet.now) is None


@pytest.mark.parametrize("list_age_s", [0.0, 2.0])
def test_rolling_stop_of_many_hosts_does_not_use_up_quotas(list_age_s):
    """Hosts that are stopping leave the list of hosts before their last digests.

    With each change of the list their relay counted all that they had ever spent once
    more: in a fleetbench run of qsl-search-grown (rolling stop of 26 of 72 hosts) two
    of three requests of organisations far below their rates were refused. Hosts learn
    of a change of the list up to 2 s apart, and send digests to a new relay from then
    on, which counted all that each of them had ever spent, too.
    """
    rng = random.Random(5)
    fleet = Fleet()
    fleet.run(20.0)
    stops = [f"h{number % 3}-{number // 3}" for number in range(9)]
    asked = refused = 0
    stop_turns = round(0.4 / fleet.turn_s)
    for step in range(stop_turns * len(stops) + round(3.0 / fleet.turn_s)):
        if step % stop_turns == 0 and step // stop_turns < len(stops):
            fleet.stopping.add(stops[step // stop_turns])
            fleet.set_members(list_age_s, rng)
        ended = step - round(2.5 / fleet.turn_s)
        if ended >= 0 and ended % stop_turns == 0 and ended // stop_turns < len(stops):
            name = stops[ended // stop_turns]
            fleet.hosts.pop(name, None)
            fleet.stopping.discard(name)
            successor = f"{name}b"
            fleet.hosts[successor] = Host(successor, f"d{name[1]}", 1, fleet.now)
            fleet.set_members(list_age_s, rng)
        fleet.turn()
        serving = sorted(fleet.hosts)
        for _ in range(round(0.55 * SHOP.rate / TOKENS_PER_REQUEST * fleet.turn_s)):
            host = fleet.hosts[rng.choice(serving)]
            asked += 1
            if host.quota.try_spend(SHOP.name, TOKENS_PER_REQUEST, now=fleet.now):
                refused += 1
    assert refused <= asked * 0.05


def play_start_of_all_hosts(*, wait_s, silence_s=0.5, shop=SHOP):
    """Return the shares of requests that are charged at once, and after a wait.

    All hosts start at once with callers already there, who ask for 0.55 of the rate.
    Digests begin to arrive after `silence_s`.
    """
    rng = random.Random(7)
    fleet = Fleet(domains=4, hosts=18)
    fleet.turn_s = FREQUENT_PERIOD_S
    fleet.isolated = set(fleet.hosts)
    began_at = fleet.now
    names = sorted(fleet.hosts)
    waiting, asked, at_once, after_wait = [], 0, 0, 0
    arrivals = 0.0
    while fleet.now - began_at < silence_s + wait_s:
        if fleet.now - began_at >= silence_s:
            fleet.isolated = set()
        fleet.turn()
        now = fleet.now
        waiting = [(host, since) for host, since in waiting if now - since <= wait_s]
        if now - began_at < silence_s:
            arrivals += 0.55 * shop.rate / TOKENS_PER_REQUEST * fleet.turn_s
            while arrivals >= 1:
                arrivals -= 1
                asked += 1
                host = fleet.hosts[rng.choice(names)]
                if host.quota.try_spend(shop.name, TOKENS_PER_REQUEST, now=now) is None:
                    at_once += 1
                elif host.quota.is_discovering(now=now):
                    waiting.append((host, now))
        for entry in list(waiting):
            quota = entry[0].quota
            if quota.try_spend(shop.name, TOKENS_PER_REQUEST, now=now) is None:
                after_wait += 1
                waiting.remove(entry)
    return at_once / asked, after_wait / asked


def test_host_uses_its_share_of_large_quotas_before_it_hears_from_its_peers():
    """The reserve for resumed streams took more than a host's whole share.

    In a fleetbench run of qsl-search-grown 600 of 640 requests were refused in the
    0.7 s after the start of 72 hosts.
    """
    at_once, _ = play_start_of_all_hosts(wait_s=0.3)
    assert at_once >= 0.5


@pytest.mark.parametrize("shop", [SHOP, SMALL_SHOP], ids=["large", "small"])
def test_requests_that_wait_for_the_first_digests_are_charged_then(shop):
    """Callers were refused at once, returned after 0.08 s and were refused again."""
    at_once, after_wait = play_start_of_all_hosts(wait_s=0.8, shop=shop)
    assert at_once + after_wait >= 0.95


def test_hosts_that_start_one_after_the_other_serve_normal_demand():
    """Hosts adopted the levels of relays that had heard of nobody yet themselves.

    In a fleetbench run of qsl-search-grown 320 of 560 requests were refused in the
    second after 72 hosts had heard of each other.
    """
    rng = random.Random(9)
    fleet = Fleet(domains=4, hosts=18)
    fleet.turn_s = FREQUENT_PERIOD_S
    began_at = fleet.now
    ready_at = {name: began_at + rng.uniform(0.1, 1.0) for name in fleet.hosts}
    asked = refused = 0
    arrivals = 0.0
    while fleet.now - began_at < 3.0:
        fleet.isolated = {name for name, at in ready_at.items() if at > fleet.now}
        fleet.turn()
        names = sorted(fleet.hosts.keys() - fleet.isolated)
        if not names:
            continue
        arrivals += 0.55 * SHOP.rate / TOKENS_PER_REQUEST * fleet.turn_s
        while arrivals >= 1:
            arrivals -= 1
            quota = fleet.hosts[rng.choice(names)].quota
            wait_s = quota.try_spend(SHOP.name, TOKENS_PER_REQUEST, now=fleet.now)
            if fleet.now - began_at >= 1.2:
                asked += 1
                refused += wait_s is not None
    assert refused <= asked * 0.05


def test_host_that_heard_from_its_peers_does_not_let_requests_wait():
    fleet = Fleet()
    quota = fleet.hosts["h1-3"].quota
    assert quota.is_discovering(now=fleet.now)
    fleet.run(0.5)
    assert not quota.is_discovering(now=fleet.now)
    fleet.isolated = set(fleet.hosts)
    fleet.run(3.0)
    # Cut off later on, it can't expect to hear from them soon.
    assert not quota.is_discovering(now=fleet.now)


def test_quota_is_kept_when_all_hosts_start_again_under_overload():
    """Callers that wait and callers that return all ask for four times the rate."""
    for seed in range(2):
        rng = random.Random(seed)
        fleet = Fleet(domains=4, hosts=18)
        fleet.run(3.0)
        spent_at = []

        def press(for_s, demand, rng=rng, fleet=fleet, spent_at=spent_at):
            end = fleet.now + for_s
            while fleet.now < end:
                fleet.turn()
                names = sorted(fleet.hosts)
                count = demand * SHOP.rate / TOKENS_PER_REQUEST * fleet.turn_s
                for _ in range(round(count)):
                    quota = fleet.hosts[rng.choice(names)].quota
                    if (
                        quota.try_spend(SHOP.name, TOKENS_PER_REQUEST, now=fleet.now)
                        is None
                    ):
                        spent_at.append(fleet.now)

        press(8.0, 4)
        fleet.now += 0.5
        restarted = {
            name: Host(name + "b", host.domain, host.exchange.capacity, fleet.now)
            for name, host in fleet.hosts.items()
        }
        fleet.hosts = {host.name: host for host in restarted.values()}
        fleet.in_transit = []
        fleet.set_members()
        fleet.isolated = set(fleet.hosts)
        fleet.turn_s = FREQUENT_PERIOD_S
        press(0.7, 4)
        fleet.isolated = set()
        press(0.8, 4)
        fleet.turn_s = SETTINGS.compute_timing(72).period_s
        press(9.0, 4)
        allowed = (SHOP.rate * 8 + SHOP.burst) * 1.1 + TOLERANCE
        for start in set(spent_at):
            spent = sum(start <= at < start + 8.0 for at in spent_at)
            assert spent * TOKENS_PER_REQUEST <= allowed, seed


class Clock:
    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(
            "thornlatch.gateway._topic_share.read_clock", lambda: self.now
        )


@pytest.fixture
def shares(fleet, monkeypatch):
    """Shared reads of a relay and another host, whose messages aren't delayed."""
    fleet.run(1.0)
    clock = Clock(monkeypatch)
    settings = TopicShareSettings(answer_s=0.01)
    shares_by_host = {}

    def connect(name):
        def send(receiver, message):
            if receiver in shares_by_host:
                shares_by_host[receiver].handle_message(name, message, now=clock.now)

        shares_by_host[name] = TopicShare(
            settings, fleet.hosts[name].exchange, lambda _: True, send
        )
        return shares_by_host[name]

    return connect("h0-0"), connect("h0-4"), clock


@pytest.mark.parametrize("known_within_s", [1.0, 2.0, 3.0, 4.0])
def test_shared_reads_keep_within_the_time_in_which_changes_must_be_known(
    known_within_s,
):
    settings = TopicShareSettings().scale(known_within_s)
    longest_s = settings.age_limit_s + settings.period_s + settings.answer_s
    assert longest_s <= 0.9 * known_within_s


RECORDS = [("a", b"1"), ("b", None)]


def test_first_relay_of_a_domain_reads_for_its_hosts(shares):
    relay, other, clock = shares
    assert relay.must_read_store()
    assert not other.must_read_store()
    relay.publish("t", 5, RECORDS, 7, read_started_at=clock.now - 0.3)
    answer = other.fetch("t", 6)
    assert (answer.records, answer.next_offset) == ((("b", None),), 7)
    assert answer.age_s == pytest.approx(0.3)


def test_many_records_are_read_through_the_relay_at_once(shares):
    """Each 0.4 s brought 400, and the first of them counted as all (review/8)."""
    relay, other, clock = shares
    records = [(f"version/{number}", b"1") for number in range(2500)]
    relay.publish("t", 5, records, 2505, read_started_at=clock.now - 0.3)
    answer = other.fetch("t", 5)
    assert (list(answer.records), answer.next_offset) == (records, 2505)
    assert answer.is_whole
    assert answer.age_s == pytest.approx(0.3)


def test_relay_that_stops_in_the_middle_of_its_records_confirms_nothing(shares):
    relay, other, clock = shares
    records = [(f"version/{number}", b"1") for number in range(1000)]
    relay.publish("t", 5, records, 1005, read_started_at=clock.now)
    build_answer, asked = relay._build_answer, []

    def answer_once(message, now):
        asked.append(message)
        if len(asked) > 1:
            return TopicAnswered(message.number, -1, (), 0.0)
        return build_answer(message, now)

    relay._build_answer = answer_once
    assert other.fetch("t", 5) is None
    assert [message.offset for message in asked] == [5, 405]


def test_records_not_cached_by_the_relay_are_read_from_the_store(shares):
    relay, other, clock = shares
    assert other.fetch("t", 5) is None
    relay.publish("t", 5, RECORDS, 7, read_started_at=clock.now)
    assert other.fetch("t", 4) is None
    assert other.fetch("t", 7).records == ()


def test_host_that_read_the_store_itself_continues_through_the_relay(shares):
    relay, other, clock = shares
    relay.publish("t", 5, RECORDS, 7, read_started_at=clock.now - 0.2)
    answer = other.fetch("t", 9)
    assert (answer.records, answer.next_offset) == ((), 9)


def test_records_of_a_relay_that_lost_the_store_are_not_used(shares):
    relay, other, clock = shares
    relay.publish("t", 5, RECORDS, 7, read_started_at=clock.now)
    clock.now += 2.0
    assert other.fetch("t", 5) is None


def test_gap_between_reads_clears_the_relay_s_cache(shares):
    relay, other, clock = shares
    relay.publish("t", 5, RECORDS, 7, read_started_at=clock.now)
    relay.publish("t", 9, RECORDS, 11, read_started_at=clock.now)
    assert other.fetch("t", 6) is None
    assert other.fetch("t", 10).next_offset == 11


def test_host_sends_no_query_if_the_relay_s_digest_shows_no_new_records(shares):
    """Queries for unchanged topics were half of all messages in an idle fleet of 76."""
    relay, other, clock = shares
    relay.publish("t", 5, RECORDS, 7, read_started_at=clock.now - 0.1)
    reads = relay.list_reads(now=clock.now)
    # The relay built them 0.2 s after this host had sent the digest that it echoes.
    other.note_reads("h0-0", reads, sent_at=clock.now - 0.2)
    relay.cached.clear()
    answer = other.fetch("t", 7)
    assert (answer.records, answer.next_offset) == ((), 7)
    assert answer.age_s == pytest.approx(0.3)
    # There are records after this offset, so a query is sent, which the relay no
    # longer can answer.
    assert other.fetch("t", 6) is None
    clock.now += SETTINGS.silent_s
    assert other.fetch("t", 7) is None


def test_age_of_reads_includes_a_suspension_before_the_digest_is_received(shares):
    relay, other, clock = shares
    relay.publish("t", 5, RECORDS, 7, read_started_at=clock.now)
    reads = relay.list_reads(now=clock.now)
    sent_at = clock.now
    clock.now += 5.0
    other.note_reads("h0-0", reads, sent_at=sent_at)
    assert other.fetch("t", 7) is None


def test_answer_after_the_timeout_is_dropped(shares):
    _, other, clock = shares
    other.handle_message("h0-0", TopicAnswered(99, 7, (), 0.0), now=clock.now)
    assert other.pending_queries == {}


def test_one_live_host_of_a_small_fleet_reads_for_all():
    live = {"b"}
    exchange = DomainExchange(SETTINGS, host="c", domain="d", capacity=1.0)
    exchange.set_members({"a": Member("", "e", 1.0), "b": Member("", "f", 1.0)})
    share = TopicShare(
        TopicShareSettings(), exchange, live.__contains__, lambda *_: None
    )
    assert not share.must_read_store()
    live.add("a")
    assert share._list_readers() == ["a", "b"]
    live.clear()
    assert share.must_read_store()


def test_records_of_another_store_epoch_are_not_used(shares):
    """A restored store gives the same offsets to other records."""
    relay, other, clock = shares
    relay.publish("t", 5, RECORDS, 7, read_started_at=clock.now, epoch=1)
    assert other.fetch("t", 6, epoch=1).records == (("b", None),)
    for offset in (5, 6, 7, 9):
        assert other.fetch("t", offset, epoch=2) is None
    relay.publish("t", 7, [("c", b"2")], 8, read_started_at=clock.now, epoch=2)
    assert other.fetch("t", 7, epoch=2).records == (("c", b"2"),)
    assert other.fetch("t", 6, epoch=2) is None
    assert other.fetch("t", 7, epoch=1) is None


def test_progress_of_another_store_epoch_is_not_used(shares):
    relay, other, clock = shares
    relay.publish("t", 5, RECORDS, 7, read_started_at=clock.now, epoch=1)
    assert relay.list_reads(now=clock.now, epoch=2) == {}
    reads = relay.list_reads(now=clock.now, epoch=1)
    other.note_reads("h0-0", reads, sent_at=clock.now, epoch=1)
    relay.cached.clear()
    assert other.fetch("t", 7, epoch=1).records == ()
    assert other.fetch("t", 7, epoch=2) is None
