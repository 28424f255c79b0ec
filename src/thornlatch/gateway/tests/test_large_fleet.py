"""Large fleets: sums over the domains, quotas and reads, with hosts killed and cut."""

import random

import pytest

from thornlatch.fleet import (
    DomainExchange,
    DomainView,
    ExchangeSettings,
    FleetDigest,
    HeldTarget,
    HostDigest,
    Member,
    PeerView,
    PeerViewSettings,
    TargetUses,
)
from thornlatch.gateway._topic_share import (
    TopicAnswered,
    TopicShare,
    TopicShareSettings,
)
from thornlatch.quota import QuotaSettings, SharedQuota
from thornlatch.routing import Organisation

SETTINGS = ExchangeSettings()
TURN_S = 0.1
LAG_S = 0.02
# A large organisation of the platform, at four times its rate.
SHOP = Organisation("shop", frozenset({"k"}), None, 121_457.0, 121_457.0)
TOKENS = 1000
DEMAND = round(4 * SHOP.rate * TURN_S / TOKENS)  # requests a turn


class Host:
    """A host's part in the fleet, without sockets."""

    def __init__(self, name, domain, capacity, now):
        self.name, self.domain = name, domain
        self.exchange = DomainExchange(
            SETTINGS, host=name, domain=domain, capacity=capacity
        )
        self.peers = PeerView(PeerViewSettings(silent_s=SETTINGS.silent_s))
        self.view = DomainView(SETTINGS, self.peers, host=name, domain=domain)
        self.quota = SharedQuota(QuotaSettings(silent_s=SETTINGS.silent_s), now=now)
        self.quota.set_organisations([SHOP], now=now)
        self.quota.set_large_fleet(True, now=now)
        self.running = ()
        self.held = ()
        self.broken = {}
        self.sent = 0

    def build_digest(self, now):
        spent, levels = self.quota.get_spent(now=now)
        names = tuple(one.target for one in self.held)
        return HostDigest(
            now, self.running, spent, levels, self.held, names, False, self.broken
        )

    def run_turn(self, now):
        digest = self.build_digest(now)
        self.view.note_sent(digest)
        outgoing, own = self.exchange.run_turn(digest, now=now)
        for message in own:
            self.take(self.name, message, now)
        self.sent = len(outgoing)
        return outgoing

    def take(self, sender, message, now):
        if sender != self.name and self.exchange.handle_message(
            sender, message, now=now
        ):
            return
        if isinstance(message, TargetUses):
            self.view.apply_target_uses(message, now=now)
        elif isinstance(message, FleetDigest):
            for update in self.view.apply_fleet_digest(message, now=now):
                if update.spent is not None:
                    self.quota.apply_domain_digest(
                        update.domain,
                        update.relay,
                        update.spent,
                        update.levels,
                        hosts=update.live,
                        is_used=update.is_selected,
                        now=now,
                    )


class Fleet:
    """Hosts in domains, with messages that take a while."""

    def __init__(self, domains=3, hosts=8):
        self.now = 10.0
        self.cut = set()
        self.under_way = []
        self.hosts = {}
        for domain in range(domains):
            for number in range(hosts):
                name = f"h{domain}-{number}"
                self.hosts[name] = Host(name, f"d{domain}", 10 - number, self.now)
        self.tell_members()

    def tell_members(self):
        members = {
            name: Member("", host.domain, host.exchange.capacity)
            for name, host in self.hosts.items()
        }
        for name, host in self.hosts.items():
            others = {other: one for other, one in members.items() if other != name}
            host.exchange.set_members(others)
            host.quota.set_peers(others, now=self.now)

    def run(self, seconds):
        for _ in range(round(seconds / TURN_S)):
            self.turn()

    def turn(self):
        self.now += TURN_S
        for sender, receiver, message in self.under_way:
            if receiver in self.hosts and not {sender, receiver} & self.cut:
                self.hosts[receiver].take(sender, message, self.now - TURN_S + LAG_S)
        self.under_way = [
            (name, receiver, message)
            for name, host in self.hosts.items()
            for receiver, message in host.run_turn(self.now)
        ]

    def iter_others(self, name):
        return (host for other, host in self.hosts.items() if other != name)


@pytest.fixture
def fleet():
    one = Fleet()
    rng = random.Random(1)
    for host in one.hosts.values():
        host.running = (
            ("t1", "m/a", rng.randrange(9)),
            ("t2", "m/b", rng.randrange(9)),
        )
    return one


def check_sums(fleet):
    for name, host in fleet.hosts.items():
        for target, place in (("t1", 0), ("t2", 1)):
            others = sum(one.running[place][2] for one in fleet.iter_others(name))
            assert host.peers.count_peer_requests(target) == others, (name, target)


def test_each_host_knows_the_requests_of_all_others(fleet):
    fleet.run(1.0)
    check_sums(fleet)
    for name, host in fleet.hosts.items():
        live = set(host.peers.list_live(now=fleet.now))
        assert live == fleet.hosts.keys() - {name}


def test_host_sends_to_two_others_and_relays_to_their_domain_s_hosts(fleet):
    fleet.run(3.0)
    turns = []
    for _ in range(SETTINGS.spare_turns):
        fleet.turn()
        turns.append(sorted(host.sent for host in fleet.hosts.values()))
        # Its 7 hosts, the other relay, two relays of two domains each.
        assert turns[-1][-1] <= 7 + 1 + 4
    # To the first relay each time, to the spare one once.
    assert sorted(counts[:18] for counts in turns) == [[1] * 18, [1] * 18, [2] * 18]


@pytest.mark.parametrize("killed", [["h0-0"], ["h0-0", "h0-1"], ["h1-0", "h2-0"]])
def test_loss_of_relays_is_made_up_for_within_two_seconds(fleet, killed):
    fleet.run(1.0)
    for name in killed:
        del fleet.hosts[name]
    fleet.run(2.0)
    check_sums(fleet)
    for host in fleet.hosts.values():
        assert not set(host.peers.list_live(now=fleet.now)) & set(killed)


def test_domain_that_is_cut_off_is_silent_and_comes_back(fleet):
    fleet.run(1.0)
    fleet.cut = {name for name in fleet.hosts if name.startswith("h1-")}
    fleet.run(2.0)
    view = fleet.hosts["h0-5"].peers
    assert not any(host.startswith("h1-") for host in view.list_live(now=fleet.now))
    fleet.cut = set()
    fleet.run(5.0)
    check_sums(fleet)


def test_holder_hears_of_its_targets_uses_by_adapter(fleet):
    held = HeldTarget("t1", 1, 3, 0.0, ())
    holder = fleet.hosts["h2-4"]
    holder.held = (held,)
    # Its own requests are known to it already.
    holder.running = (("t1", "m/a", 4), *holder.running[1:])
    fleet.run(1.5)
    others = sum(one.running[0][2] for one in fleet.iter_others("h2-4"))
    assert holder.peers.count_peer_requests_by_adapter("t1")["m/a"] == others
    for name, host in fleet.hosts.items():
        if name != "h2-4":
            assert host.peers.get_holder("t1", now=fleet.now) == "h2-4"
            assert host.peers.get_holder_report("t1")[0] == held


def test_request_that_broke_targets_is_known_to_all(fleet):
    fleet.hosts["h0-3"].broken = {"f": ("t1/1/0", "t2/1/0")}
    fleet.hosts["h2-6"].broken = {"f": ("t1/1/0", "t3/1/0")}
    fleet.run(1.0)
    for host in fleet.hosts.values():
        assert host.view.broken == {"f": ("t1/1/0", "t2/1/0", "t3/1/0")}


def list_orderers(fleet, silent=(), former=()):
    return {
        name
        for name, host in fleet.hosts.items()
        if name not in silent
        and host.exchange.is_orderer(silent, orders_now=name in former)
    }


def test_few_hosts_order_and_others_follow_when_they_are_gone(fleet):
    first = list_orderers(fleet)
    assert len(first) == SETTINGS.orderers
    gone = {name for name in first if name.startswith("h0-")}
    assert len(list_orderers(fleet, gone, first)) == SETTINGS.orderers
    # Those that return don't drive the ones out that came for them.
    second = list_orderers(fleet, gone, first)
    assert second <= list_orderers(fleet, (), second)


@pytest.mark.parametrize("seed", range(12))
def test_hot_organisation_stays_within_its_quota_in_a_large_fleet(seed):
    rng = random.Random(seed)
    fleet = Fleet()
    fleet.run(3.0)
    spends = []
    for step in range(400):
        if step % 60 == 20:
            domain = rng.choice(["h0-", "h1-", "h2-"])
            hosts = [name for name in fleet.hosts if name.startswith(domain)]
            fleet.cut = set(rng.sample(hosts, rng.randrange(len(hosts) + 1)))
        if step % 60 == 45:
            fleet.cut = set()
        if step % 100 == 50 and len(fleet.hosts) > 18:
            # The widest hosts first: they are relays.
            del fleet.hosts[min(fleet.hosts, key=lambda n: (n[3:], rng.random()))]
            fleet.tell_members()
        fleet.turn()
        names = sorted(fleet.hosts)
        for _ in range(DEMAND):
            quota = fleet.hosts[rng.choice(names)].quota
            if quota.try_spend("shop", TOKENS, now=fleet.now) is None:
                spends.append(fleet.now)
    allowed = (SHOP.rate * 8 + SHOP.burst) * 1.1 + 17_000
    for start in set(spends):
        spent = TOKENS * sum(start <= at < start + 8.0 for at in spends)
        assert spent <= allowed, start
    assert TOKENS * len(spends) > SHOP.rate * 40 * 0.5


class Clock:
    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(
            "thornlatch.gateway._topic_share.read_clock", lambda: self.now
        )


@pytest.fixture
def shares(fleet, monkeypatch):
    """A relay's share and another host's, whose messages arrive at once."""
    fleet.run(1.0)
    clock = Clock(monkeypatch)
    settings = TopicShareSettings(answer_s=0.01)
    ends = {}

    def connect(name):
        def send(receiver, message):
            if receiver in ends:
                ends[receiver].take(name, message, now=clock.now)

        ends[name] = TopicShare(
            settings, fleet.hosts[name].exchange, lambda _: True, send
        )
        return ends[name]

    return connect("h0-0"), connect("h0-4"), clock


RECORDS = [("a", b"1"), ("b", None)]


def test_first_relay_of_a_domain_reads_for_the_others(shares):
    relay, other, clock = shares
    assert relay.must_read()
    assert not other.must_read()
    relay.publish("t", 5, RECORDS, 7, asked_at=clock.now - 0.3)
    answer = other.ask("t", 6)
    assert (answer.records, answer.next_offset) == ((("b", None),), 7)
    assert answer.age_s == pytest.approx(0.3)


def test_records_that_the_relay_hasn_t_kept_are_read_from_the_store(shares):
    relay, other, clock = shares
    assert other.ask("t", 5) is None
    relay.publish("t", 5, RECORDS, 7, asked_at=clock.now)
    assert other.ask("t", 4) is None
    assert other.ask("t", 7).records == ()


def test_host_that_read_the_store_itself_goes_on_through_the_relay(shares):
    relay, other, clock = shares
    relay.publish("t", 5, RECORDS, 7, asked_at=clock.now - 0.2)
    answer = other.ask("t", 9)
    assert (answer.records, answer.next_offset) == ((), 9)


def test_relay_that_lost_the_store_is_passed_over(shares):
    relay, other, clock = shares
    relay.publish("t", 5, RECORDS, 7, asked_at=clock.now)
    clock.now += 2.0
    assert other.ask("t", 5) is None


def test_gap_in_what_the_relay_read_drops_what_it_kept(shares):
    relay, other, clock = shares
    relay.publish("t", 5, RECORDS, 7, asked_at=clock.now)
    relay.publish("t", 9, RECORDS, 11, asked_at=clock.now)
    assert other.ask("t", 6) is None
    assert other.ask("t", 10).next_offset == 11


def test_host_that_knows_that_nothing_is_new_asks_nothing(shares):
    """Half of all messages of a calm fleet of 76 hosts were such questions."""
    relay, other, clock = shares
    relay.publish("t", 5, RECORDS, 7, asked_at=clock.now - 0.1)
    reads = relay.list_reads(now=clock.now)
    # The relay wrote them 0.2 s after it had got the digest that it echoes.
    other.note_reads("h0-0", reads, sent_at=clock.now - 0.2)
    relay.kept.clear()
    answer = other.ask("t", 7)
    assert (answer.records, answer.next_offset) == ((), 7)
    assert answer.age_s == pytest.approx(0.3)
    # It is told of news, and asks for them.
    assert other.ask("t", 6) is None
    clock.now += SETTINGS.silent_s
    assert other.ask("t", 7) is None


def test_digest_read_after_a_suspension_makes_no_old_reads_new(shares):
    relay, other, clock = shares
    relay.publish("t", 5, RECORDS, 7, asked_at=clock.now)
    reads = relay.list_reads(now=clock.now)
    sent_at = clock.now
    clock.now += 5.0
    other.note_reads("h0-0", reads, sent_at=sent_at)
    assert other.ask("t", 7) is None


def test_late_answer_to_a_question_given_up_is_dropped(shares):
    _, other, clock = shares
    other.take("h0-0", TopicAnswered(99, 7, (), 0.0), now=clock.now)
    assert other.questions == {}


def test_one_host_of_a_small_fleet_reads_for_all_while_it_is_heard_of():
    live = {"b"}
    exchange = DomainExchange(SETTINGS, host="c", domain="d", capacity=1.0)
    exchange.set_members({"a": Member("", "e", 1.0), "b": Member("", "f", 1.0)})
    share = TopicShare(
        TopicShareSettings(), exchange, live.__contains__, lambda *_: None
    )
    assert not share.must_read()
    live.add("a")
    assert share._list_readers() == ["a", "b"]
    live.clear()
    assert share.must_read()
