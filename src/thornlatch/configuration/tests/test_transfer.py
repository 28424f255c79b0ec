import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from thornlatch.configuration import (
    ConfigurationPublished,
    KeyWithdrawn,
    OffsetDigest,
    SnapshotPart,
    SnapshotQuery,
    _transfer,
)
from thornlatch.configuration._transfer import decode_snapshot, encode_snapshot
from thornlatch.configuration.tests.builders import (
    DIGESTS,
    FakeLeases,
    FakeStream,
    build_host,
    build_inventory,
    describe,
    read_all,
)
from thornlatch.core import Emit, Send
from thornlatch.exceptions import InvalidInput

STEP_S = 0.25


@pytest.fixture
def hosts(monkeypatch):
    """Return a host that has read nothing, and a peer that has read all."""
    monkeypatch.setattr(_transfer, "PART_BYTES", 100)
    stream, leases = FakeStream(), FakeLeases(("a", "b"))
    stream.append(ConfigurationPublished(-1, "ana", build_inventory(adapters=9)))
    stream.append(KeyWithdrawn(DIGESTS[0], "ana"))
    peer = build_host("b", leases)
    read_all(peer, stream)
    return build_host("a", leases), peer


def exchange(host, peer, *, steps, lose=lambda message: False):
    """Exchange messages between two hosts over `steps`; return their number."""
    queue, count = [], 0
    for index in range(steps):
        now = index * STEP_S
        arriving, queue = queue, []
        for sender, send in arriving:
            receiver = peer if send.recipient == peer.host else host
            actions = receiver.handle(send.message, sender=sender, now=now)
            queue += [(receiver.host, a) for a in actions if isinstance(a, Send)]
        queue += [("a", a) for a in host.tick(now=now) if isinstance(a, Send)]
        queue = [
            (s, a) for s, a in queue if a.recipient in "ab" and not lose(a.message)
        ]
        count += len(queue)
    return count


def test_host_behind_fetches_snapshot(hosts):
    host, peer = hosts
    exchange(host, peer, steps=60)
    assert describe(host.state) == describe(peer.state)
    assert host.view.get_key(DIGESTS[0]) is None


@pytest.mark.parametrize("every", [2, 3, 5])
def test_lost_parts_are_queried_again(hosts, every):
    host, peer = hosts
    seen = []

    def lose(message):
        if not isinstance(message, SnapshotPart):
            return False
        seen.append(message)
        return len(seen) < 30 and len(seen) % every == 0

    exchange(host, peer, steps=400, lose=lose)
    assert describe(host.state) == describe(peer.state)


def test_other_peer_is_queried_when_one_does_not_answer(hosts):
    host, peer = hosts
    host.leases.hosts = ("a", "b", "c")
    host.tick(now=0.0)
    host.handle(OffsetDigest(1, 0.0, 0.0), sender="c", now=0.1)
    exchange(host, peer, steps=80)
    assert describe(host.state) == describe(peer.state)


def test_newer_snapshot_restarts_transfer(hosts):
    host, peer = hosts
    host.tick(now=0.0)
    host.handle(OffsetDigest(1, 0.0, 0.0), sender="b", now=0.1)
    host.tick(now=0.2)
    [query] = [
        a.message for a in host.tick(now=3.0) if isinstance(a.message, SnapshotQuery)
    ]
    first = peer.handle(query, sender="a", now=3.0)[0].message
    host.handle(first, sender="b", now=3.0)
    peer.apply_record(2, KeyWithdrawn(DIGESTS[1], "ana"), now=3.0)
    peer.source.covered_offset = -1
    exchange(host, peer, steps=60)
    assert describe(host.state) == describe(peer.state)


def test_host_at_same_offset_queries_no_part(hosts):
    host, peer = hosts
    host.apply_snapshot(peer.build_snapshot(), now=0.0)
    before = host.state
    exchange(host, peer, steps=60)
    assert host.state is before
    assert peer.source.data == b""


def test_part_of_another_peer_is_ignored(hosts):
    host, _ = hosts
    assert host.handle(SnapshotPart(5, 0, 1, b"x"), sender="c", now=0.0) == []


def test_malformed_snapshot_is_reported(hosts):
    host, _ = hosts
    host.tick(now=0.0)
    host.handle(OffsetDigest(1, 0.0, 0.0), sender="b", now=0.1)
    host.tick(now=0.2)
    host.tick(now=3.0)
    [action] = host.handle(SnapshotPart(1, 0, 1, b"x"), sender="b", now=3.0)
    assert isinstance(action, Emit)
    assert action.event.name == "configuration.snapshot_refused"
    assert host.view.offset == -1


@given(data=st.binary(max_size=200))
def test_decode_snapshot_any_bytes(data):
    with pytest.raises(InvalidInput):
        decode_snapshot(data)


def test_decode_snapshot_truncated():
    snapshot = build_host().build_snapshot()
    data = encode_snapshot(snapshot)
    assert decode_snapshot(data) == snapshot
    for length in range(len(data)):
        with pytest.raises(InvalidInput):
            decode_snapshot(data[:length])


def test_snapshot_part_round_trip():
    part = SnapshotPart(1, 0, 1, b"\x00\xff")
    data = msgspec.msgpack.encode(part)
    assert msgspec.msgpack.decode(data, type=SnapshotPart) == part
