"""Connections of the store's client."""

import pytest

from adapter import _store
from adapter._store import IDLE_LIMIT_S, KeyedRecord, StoreClient, StoreError
from stand_ins import Store
from thornlatch.core.tests.endless import BODIES, HEADS, SPEEDS, EndlessTarget
from thornlatch.gateway import GatewayMetrics


@pytest.fixture
def store():
    stand_in = Store()
    yield stand_in
    stand_in.close()


def test_connection_that_has_been_idle_too_long_is_replaced(store, monkeypatch):
    """A call on a connection that broke while idle fails.

    Hosts that read through another one rarely call the store themselves.
    """
    now = [100.0]
    monkeypatch.setattr(_store, "read_clock", lambda: now[0])
    client = StoreClient(store.address, GatewayMetrics())
    client.append("keyed.t", KeyedRecord("a", b"1"))
    first = client.connection
    now[0] += IDLE_LIMIT_S / 2
    assert client.read("keyed.t", 0, wait_s=0.0)[1] == 1
    assert client.connection is first
    # The connection breaks without the client being notified.
    first.sock.close()
    now[0] += IDLE_LIMIT_S
    assert client.read("keyed.t", 0, wait_s=0.0)[1] == 1
    assert client.connection is not first


@pytest.mark.timeout(30)
@pytest.mark.parametrize("speed", SPEEDS)
@pytest.mark.parametrize("case", [*HEADS, *BODIES])
def test_answer_without_end_is_given_up(case, speed, monkeypatch):
    """Feeds and renewals would stand still, or memory run out."""
    for name in ("CALL_TIMEOUT_S", "BODY_TIMEOUT_S"):
        monkeypatch.setattr(_store, name, 0.3)
    monkeypatch.setattr(_store, "BODY_LIMIT_BYTES", 1 << 16)
    start, part = {**HEADS, **BODIES}[case]
    count, pause_s = SPEEDS[speed]
    endless = EndlessTarget(start, part * count, pause_s)
    client = StoreClient(endless.address, GatewayMetrics())
    with pytest.raises(StoreError):
        client.append("keyed.t", KeyedRecord("a", b"1"))
    assert client.connection is None
    assert endless.was_closed.wait(10)
    endless.close()
