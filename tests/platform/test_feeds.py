"""Bounds in time of the adapter's reads, and how long it goes on with them."""

import threading
from types import SimpleNamespace

import pytest

from adapter._feeds import (
    HOST_RENEWAL_S,
    HOST_TOPIC,
    OPERATOR_TOPIC,
    OPERATOR_WAIT_S,
    SERVER_PERIOD_S,
    SERVER_TOPIC,
    HostFeed,
    OperatorFeed,
    ServerFeed,
    TenureFeed,
)
from adapter._store import KeyedRecord
from thornlatch.gateway import GatewaySettings, HostAddresses

SETTINGS = GatewaySettings(HostAddresses("", "", "", "", "")).share
NEWS_S = 2.0  # in which a leaving server and a configuration must be known everywhere
READ_S = 0.2  # of the store, fifty times its usual answer


def test_reader_that_loses_the_store_delays_no_news_beyond_the_bound():
    """Seen on mandacaru-bolsas-grown: 3.06 s after a server had said that it leaves."""
    pause_s = max(SETTINGS.period_s, SERVER_PERIOD_S)
    worst_s = SETTINGS.age_limit_s + pause_s + SETTINGS.answer_s + READ_S
    assert worst_s < NEWS_S


def test_reader_s_own_reads_are_young_enough_for_the_others():
    """Seen on mandacaru-bolsas-grown: three of four hosts read the store themselves."""
    # A read that waits says what was known when it began, until the next one ends.
    oldest_s = max(2 * OPERATOR_WAIT_S, SERVER_PERIOD_S) + READ_S
    # Hosts count its age from the digest that the reader echoes.
    lag_s = GatewaySettings(HostAddresses("", "", "", "", "")).exchange.period_s
    assert oldest_s + lag_s <= SETTINGS.age_limit_s


def build_gateway():
    return SimpleNamespace(
        stopping=threading.Event(), ended=threading.Event(), settings=None
    )


@pytest.mark.parametrize(
    ("feed_class", "topic"),
    [(OperatorFeed, OPERATOR_TOPIC), (ServerFeed, SERVER_TOPIC)],
)
def test_news_are_read_until_the_last_request_of_a_stop(feed_class, topic):
    """Found by the soak, seed 130: a stopping host sent to a server that had left."""
    gateway = build_gateway()
    gateway.stopping.set()
    turns = []

    class Counted(feed_class):
        def turn(self):
            turns.append(self.name)
            if len(turns) == 3:
                gateway.ended.set()
            return 0.0

    Counted(gateway, None, topic).run()
    assert turns == [topic] * 3


def test_host_that_stops_leaves_the_list_and_the_group_at_once():
    gateway = build_gateway()
    gateway.settings = SimpleNamespace(host=SimpleNamespace(name="edge-1"))
    gateway.stopping.set()
    goodbyes = []
    client = SimpleNamespace(
        append=lambda topic, record: goodbyes.append((topic, record.value)),
        leave=lambda group, member: goodbyes.append((group, member)),
    )
    HostFeed(gateway, client).run()
    tenure = TenureFeed(gateway, client)
    tenure.is_member = True
    tenure.run()
    assert goodbyes == [(HOST_TOPIC, None), ("targets", "edge-1")]


def build_host_feed(monkeypatch):
    """Return a feed of the hosts, what it writes and the clocks that it reads."""
    clock = SimpleNamespace(now=100.0, wall=1e9)
    monkeypatch.setattr("adapter._feeds.read_clock", lambda: clock.now)
    monkeypatch.setattr("adapter._feeds.time.time", lambda: clock.wall)
    gateway = build_gateway()
    gateway.host = "edge-1.0"
    gateway.settings = SimpleNamespace(
        host=SimpleNamespace(
            name="edge-1", peer_address="a:1", failure_domain="z", capacity=1.0
        )
    )
    gateway.quota = SimpleNamespace(knows_peers=True)
    gateway.fleet = SimpleNamespace(members={}, share=SimpleNamespace())
    gateway.fleet.take_hosts = lambda hosts: setattr(gateway.fleet, "members", hosts)
    gateway.fleet.share.must_read = lambda: True
    written = []
    client = SimpleNamespace(append=lambda topic, record: written.append(record))
    return HostFeed(gateway, client), written, clock


def tell_of_host(feed, name, wall=1e9):
    entry = f'{{"id": "{name}.0", "address": "b:1", "written_s": {wall}}}'
    feed.take(KeyedRecord(name, entry.encode()), 0.0)


@pytest.mark.parametrize("step_s", [-7200.0, 7200.0])
def test_time_of_day_that_jumps_hides_no_hosts(monkeypatch, step_s):
    """A host that knows of no others would use the whole of each quota."""
    feed, _, clock = build_host_feed(monkeypatch)
    tell_of_host(feed, "edge-2")
    clock.wall += step_s
    feed.confirm(0.0)
    tell_of_host(feed, "edge-3", wall=1e9 - step_s)
    feed.confirm(0.0)
    assert feed.gateway.fleet.members.keys() == {"edge-2.0", "edge-3.0"}


def test_host_that_ended_without_a_goodbye_is_dropped_for_all(monkeypatch):
    feed, written, clock = build_host_feed(monkeypatch)
    tell_of_host(feed, "edge-2")
    tell_of_host(feed, "edge-3")
    for _ in range(5):
        feed.confirm(0.0)
        clock.now += 10.0
    tell_of_host(feed, "edge-3")
    feed.confirm(0.0)
    assert feed.gateway.fleet.members.keys() == {"edge-2.0", "edge-3.0"}
    clock.now += 11.0
    feed.confirm(0.0)
    assert feed.gateway.fleet.members.keys() == {"edge-3.0"}
    assert written == [KeyedRecord("edge-2", None)]


def test_hosts_that_an_outage_kept_from_renewing_are_not_dropped(monkeypatch):
    feed, written, clock = build_host_feed(monkeypatch)
    tell_of_host(feed, "edge-2")
    feed.confirm(0.0)
    clock.now += 100.0
    feed.confirm(0.0)
    assert feed.gateway.fleet.members.keys() == {"edge-2.0"}
    assert not written


def test_host_that_was_taken_for_gone_writes_itself_again(monkeypatch):
    feed, _, clock = build_host_feed(monkeypatch)
    feed.written_at = clock.now
    feed.take(KeyedRecord("edge-1", None), 0.0)
    assert clock.now - feed.written_at > HOST_RENEWAL_S


def test_host_that_others_order_for_leaves_the_group_and_calls_nobody():
    """Seen on mandacaru-bolsas-grown: 66 hosts renewed themselves 83 times a second."""
    calls, orderers = [], iter([True, False, False])
    gateway = build_gateway()
    gateway.settings = SimpleNamespace(
        host=SimpleNamespace(name="edge-1"), tenure=SimpleNamespace(ttl_s=2.0)
    )
    gateway.quota = SimpleNamespace(knows_peers=True)
    gateway.stand_by = lambda *, now: calls.append("stands by")
    gateway.fleet = SimpleNamespace(
        has_standbys=False,
        is_orderer=lambda *, now: next(orderers),
        has_silent_peers=lambda *, now: False,
    )
    gateway.renew_tenure = lambda *_, asked_at: None

    def join(*_, **__):
        calls.append("joins")
        return SimpleNamespace(generation=1, partitions=frozenset({1}))

    client = SimpleNamespace(join=join, leave=lambda *_: calls.append("leaves"))
    feed = TenureFeed(gateway, client)
    for _ in range(3):
        feed.turn()
    assert calls == ["joins", "leaves", "stands by", "stands by"]
