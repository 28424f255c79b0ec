"""The store's client on connections that have gone."""

import pytest

from adapter import _store
from adapter._store import KEPT_S, KeyedRecord, StoreClient
from stand_ins import Store
from thornlatch.gateway import GatewayMetrics


@pytest.fixture
def store():
    one = Store()
    yield one
    one.close()


def test_connection_that_was_idle_for_long_isn_t_used(store, monkeypatch):
    """A host that reads through another one seldom calls the store itself."""
    now = [100.0]
    monkeypatch.setattr(_store, "read_clock", lambda: now[0])
    client = StoreClient(store.address, GatewayMetrics())
    client.append("keyed.t", KeyedRecord("a", b"1"))
    first = client.connection
    now[0] += KEPT_S / 2
    assert client.read("keyed.t", 0, wait_s=0.0)[1] == 1
    assert client.connection is first
    # It has gone without a sign.
    first.sock.close()
    now[0] += KEPT_S
    assert client.read("keyed.t", 0, wait_s=0.0)[1] == 1
    assert client.connection is not first
