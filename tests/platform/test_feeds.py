"""Timing of the platform adapter's reads and writes of the store."""

import threading
from types import SimpleNamespace

import pytest

from adapter._feeds import (
    HOST_PERIOD_S,
    HOST_RENEWAL_S,
    HOST_TOPIC,
    OPERATOR_TOPIC,
    OPERATOR_WAIT_RATIO,
    PAGE_RECORDS,
    SERVER_PERIOD_RATIO,
    SERVER_TOPIC,
    HostFeed,
    OperatorFeed,
    ServerFeed,
    TenureFeed,
)
from adapter._store import KeyedRecord, Membership, StoreOffset
from thornlatch.gateway import GatewaySettings, HostAddresses, StoreEpochs

DEFAULTS = GatewaySettings(HostAddresses("", "", "", "", ""))
# Times within which all hosts must know of a leaving server or a configuration.
CHANGE_LIMITS_S = [2.0, 3.0, 4.0]
STORE_READS_PER_S, STORE_WRITES_PER_S = 2000, 400
READ_S = 0.2  # duration of a read of the store, fifty times the usual one


@pytest.mark.parametrize("limit_s", CHANGE_LIMITS_S)
def test_reader_that_loses_the_store_delays_changes_within_the_limit(limit_s):
    """A host that reads through one without the store notices changes too late.

    In a fleetbench run of mandacaru-bolsas-grown a request was sent 3.06 s after a
    server had announced that it was leaving.
    """
    share = DEFAULTS.share.scale(limit_s)
    pause_s = max(share.period_s, SERVER_PERIOD_RATIO * limit_s)
    worst_case_s = share.age_limit_s + pause_s + share.answer_s + READ_S
    assert worst_case_s < limit_s


@pytest.mark.parametrize(
    ("limit_s", "hosts"), list(zip(CHANGE_LIMITS_S, [60, 100, 200], strict=True))
)
def test_reads_of_the_reading_host_are_recent_enough_for_other_hosts(limit_s, hosts):
    """Hosts read the store themselves if the reading host's reads are too old.

    In a fleetbench run of mandacaru-bolsas-grown three of four hosts did.
    """
    # A read that waits reflects the state at its start, and is used until the next one
    # ends.
    oldest_s = max(2 * OPERATOR_WAIT_RATIO, SERVER_PERIOD_RATIO) * limit_s + READ_S
    # Hosts count the age from the digest that the reading host echoes.
    lag_s = DEFAULTS.exchange.compute_timing(hosts).period_s
    assert oldest_s + lag_s <= DEFAULTS.share.scale(limit_s).age_limit_s


def build_gateway():
    return SimpleNamespace(
        stopping=threading.Event(),
        drained=threading.Event(),
        settings=None,
        store_epochs=StoreEpochs(),
    )


@pytest.mark.parametrize(
    ("feed_class", "topic"),
    [(OperatorFeed, OPERATOR_TOPIC), (ServerFeed, SERVER_TOPIC)],
)
def test_changes_are_read_until_the_last_request_of_a_stop(feed_class, topic):
    """A stopping host that stops reading sends requests to servers that have left.

    Found by the soak test with seed 130.
    """
    gateway = build_gateway()
    gateway.stopping.set()
    polls = []

    class CountingFeed(feed_class):
        def poll(self):
            polls.append(self.name)
            if len(polls) == 3:
                gateway.drained.set()
            return 0.0

    CountingFeed(gateway, None, topic).run()
    assert polls == [topic] * 3


def test_stopping_host_leaves_the_list_and_the_group_at_once():
    gateway = build_gateway()
    gateway.settings = SimpleNamespace(host=SimpleNamespace(name="edge-1"))
    gateway.stopping.set()
    removals = []
    client = SimpleNamespace(
        append=lambda topic, record: removals.append((topic, record.value)),
        leave=lambda group, member: removals.append((group, member)),
    )
    HostFeed(gateway, client).run()
    tenure = TenureFeed(gateway, client)
    tenure.is_member = True
    tenure.run()
    assert removals == [(HOST_TOPIC, None), ("targets", "edge-1")]


def build_host_feed(monkeypatch):
    """Return a feed of the hosts, a list of its written records and its clocks."""
    clock = SimpleNamespace(now=100.0, wall=1e9)
    monkeypatch.setattr("adapter._feeds.read_clock", lambda: clock.now)
    monkeypatch.setattr("adapter._feeds.time.time", lambda: clock.wall)
    gateway = build_gateway()
    gateway.host = "edge-1.0"
    gateway.settings = SimpleNamespace(
        host=SimpleNamespace(
            name="edge-1", peer_address="10.0.0.1:1", failure_domain="z", capacity=1.0
        )
    )
    gateway.quota = SimpleNamespace(knows_peers=True)
    gateway.fleet = SimpleNamespace(
        members={},
        topic_share=SimpleNamespace(),
        exchange=SimpleNamespace(is_large=False),
    )
    gateway.fleet.set_hosts = lambda hosts: setattr(gateway.fleet, "members", hosts)
    gateway.fleet.topic_share.must_read_store = lambda: True
    written = []
    client = SimpleNamespace(append=lambda topic, record: written.append(record))
    return HostFeed(gateway, client), written, clock


def apply_host(feed, name, wall=1e9):
    entry = f'{{"id": "{name}.0", "address": "10.0.0.2:1", "written_s": {wall}}}'
    feed.apply_record(KeyedRecord(name, entry.encode()), 0.0)


@pytest.mark.parametrize("step_s", [-7200.0, 7200.0])
def test_wall_clock_step_drops_no_hosts(monkeypatch, step_s):
    """Hosts dropped because of a clock step would leave this host the whole quota."""
    feed, _, clock = build_host_feed(monkeypatch)
    apply_host(feed, "edge-2")
    clock.wall += step_s
    feed.confirm_read(0.0)
    apply_host(feed, "edge-3", wall=1e9 - step_s)
    feed.confirm_read(0.0)
    assert feed.gateway.fleet.members.keys() == {"edge-2.0", "edge-3.0"}


def test_host_that_stops_renewing_is_removed_from_the_store(monkeypatch):
    feed, written, clock = build_host_feed(monkeypatch)
    apply_host(feed, "edge-2")
    apply_host(feed, "edge-3")
    for _ in range(5):
        feed.confirm_read(0.0)
        clock.now += 10.0
    apply_host(feed, "edge-3")
    feed.confirm_read(0.0)
    assert feed.gateway.fleet.members.keys() == {"edge-2.0", "edge-3.0"}
    clock.now += 11.0
    feed.confirm_read(0.0)
    assert feed.gateway.fleet.members.keys() == {"edge-3.0"}
    assert written == [KeyedRecord("edge-2", None)]


def test_hosts_that_could_not_renew_during_an_outage_are_not_dropped(monkeypatch):
    feed, written, clock = build_host_feed(monkeypatch)
    apply_host(feed, "edge-2")
    feed.confirm_read(0.0)
    clock.now += 100.0
    feed.confirm_read(0.0)
    assert feed.gateway.fleet.members.keys() == {"edge-2.0"}
    assert not written


def test_host_whose_entry_was_removed_writes_it_again(monkeypatch):
    feed, _, clock = build_host_feed(monkeypatch)
    feed.written_at = clock.now
    feed.apply_record(KeyedRecord("edge-1", None), 0.0)
    assert clock.now - feed.written_at > HOST_RENEWAL_S


def test_host_that_orders_no_adapters_leaves_the_group_and_sends_no_renewals():
    """Renewals of hosts that order no adapters would load the store.

    In a fleetbench run of mandacaru-bolsas-grown 66 hosts sent 83 renewals a second.
    """
    calls, orderers = [], iter([True, False, False])
    gateway = build_gateway()
    gateway.settings = SimpleNamespace(
        host=SimpleNamespace(name="edge-1"), tenure=SimpleNamespace(ttl_s=2.0)
    )
    gateway.quota = SimpleNamespace(knows_peers=True)
    gateway.release_tenure = lambda *, now: calls.append("release")
    gateway.fleet = SimpleNamespace(
        has_standbys=False,
        is_orderer=lambda *, now: next(orderers),
        has_silent_peers=lambda *, now: False,
    )
    gateway.renew_tenure = lambda *_, requested_at, epoch: None

    def join(*_, **__):
        calls.append("join")
        return SimpleNamespace(generation=1, partitions=frozenset({1}), epoch=-1)

    client = SimpleNamespace(join=join, leave=lambda *_: calls.append("leave"))
    feed = TenureFeed(gateway, client)
    for _ in range(3):
        feed.poll()
    assert calls == ["join", "leave", "release", "release"]


def build_restored_feeds(count, *, announced_versions=0):
    """Return the feeds of the topics of so many hosts, in a new epoch."""
    gateway = build_gateway()
    gateway.store_epochs.observe(2)
    gateway.fleet = SimpleNamespace(
        members=dict.fromkeys(range(count - 1)),
        topic_share=SimpleNamespace(must_read_store=lambda: False),
    )
    feeds = []
    for _ in range(count):
        host_feeds = {
            OperatorFeed(gateway, None, OPERATOR_TOPIC): announced_versions + 1,
            ServerFeed(gateway, None, SERVER_TOPIC): 600,
            HostFeed(gateway, None): count,
        }
        for feed, records in host_feeds.items():
            feed.offset = StoreOffset(1, 9)
            feed.latest_records = records
            feed.random.seed(len(feeds))
            feeds.append(feed)
    return feeds


def count_per_second(times):
    """Return the highest number of times within a second."""
    times = sorted(times)
    return max(sum(start <= time < start + 1.0 for time in times) for start in times)


@pytest.mark.parametrize("announced_versions", [0, 1500, 8000])
def test_hosts_of_a_large_fleet_spread_their_calls_after_a_restore(
    announced_versions,
):
    """All of them stay below half of the store's rates, and end within 12 s."""
    reads, writes = [], []
    for feed in build_restored_feeds(195, announced_versions=announced_versions):
        assert feed.has_offset_of_earlier_epoch()
        begins_at = feed.begin_reread()
        assert begins_at < 12.0 - HOST_PERIOD_S
        if feed.topic == HOST_TOPIC:
            writes.append(begins_at)
        pages = 1 + feed.latest_records // PAGE_RECORDS
        reads += [begins_at + 0.01 * page for page in range(pages)]
    assert count_per_second(reads) < STORE_READS_PER_S / 2
    assert count_per_second(writes) < STORE_WRITES_PER_S / 2


def test_host_that_reads_for_others_reads_first_after_a_restore():
    (feed, *_) = build_restored_feeds(195)
    feed.gateway.fleet.topic_share.must_read_store = lambda: True
    assert feed.begin_reread() == 0.0
    assert feed.offset is None


def test_copy_of_the_host_list_replaces_no_known_host(monkeypatch):
    """The copy may list the former run of a restarted host, or one that stopped."""
    feed, _, _ = build_host_feed(monkeypatch)
    apply_host(feed, "edge-2")
    apply_host(feed, "edge-3")
    feed.apply_record(KeyedRecord("edge-3", None), 0.0)
    entries = {
        name: (
            f'{{"id": "{identity}", "address": "10.0.0.2:1", "written_s": 1}}'
        ).encode()
        for name, identity in [
            ("edge-2", "edge-2.former"),
            ("edge-3", "edge-3.0"),
            ("edge-4", "edge-4.0"),
        ]
    }
    feed.is_reread = True
    feed.apply_all([KeyedRecord(*entry) for entry in entries.items()], 0.0)
    assert feed.gateway.fleet.members.keys() == {"edge-2.0", "edge-4.0"}
    feed.apply_record(KeyedRecord("edge-3", entries["edge-3"]), 0.0)
    feed.confirm_read(0.0)
    assert feed.gateway.fleet.members.keys() == {"edge-2.0", "edge-3.0", "edge-4.0"}


def test_renewal_after_a_restore_acknowledges_no_generation():
    generations = []
    gateway = build_gateway()
    gateway.settings = SimpleNamespace(
        host=SimpleNamespace(name="edge-1"), tenure=SimpleNamespace(ttl_s=2.0)
    )
    gateway.quota = SimpleNamespace(knows_peers=True)
    gateway.fleet = SimpleNamespace(
        has_standbys=False,
        is_orderer=lambda *, now: True,
        has_silent_peers=lambda *, now: False,
    )
    gateway.renew_tenure = lambda *_, requested_at, epoch: None

    def join(*_, generation, **__):
        generations.append(generation)
        return Membership(50 + len(generations), frozenset({1}), epochs.current)

    epochs = gateway.store_epochs
    feed = TenureFeed(gateway, SimpleNamespace(join=join))
    for epoch in (1, 1, 2, 2, 3):
        epochs.observe(epoch)
        feed.poll()
    assert generations == [0, 51, 0, 53, 0]
