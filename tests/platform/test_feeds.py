"""Bounds in time of the adapter's reads, and how long it goes on with them."""

import threading
from types import SimpleNamespace

import pytest

from adapter._feeds import (
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
        members={},
        is_orderer=lambda *, now: next(orderers),
        has_silent_peers=lambda *, now: False,
    )
    gateway.orders = SimpleNamespace(partitions=24)
    gateway.renew_tenure = lambda *_, asked_at: None

    def join(*_, **__):
        calls.append("joins")
        return SimpleNamespace(generation=1, partitions=frozenset({1}))

    client = SimpleNamespace(join=join, leave=lambda *_: calls.append("leaves"))
    feed = TenureFeed(gateway, client)
    for _ in range(3):
        feed.turn()
    assert calls == ["joins", "leaves", "stands by", "stands by"]
