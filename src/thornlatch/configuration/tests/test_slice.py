import pytest

from thornlatch.configuration import (
    ConfigurationPublished,
    ConfigurationSnapshot,
    Key,
    KeyIssued,
    KeyWithdrawn,
    OffsetDigest,
    OffsetQuery,
    UnreadableRecord,
    decode_entry,
)
from thornlatch.configuration.tests.builders import (
    DIGESTS,
    KEYS,
    FakeLeases,
    FakeStream,
    build_host,
    build_inventory,
    describe,
    read_all,
)
from thornlatch.core import Append, Emit, Send
from thornlatch.exceptions import ErrorKind, Execution, RequestRefused

PUBLISHED = ConfigurationPublished(-1, "ana", build_inventory())


@pytest.fixture
def stream():
    stream = FakeStream()
    stream.append(PUBLISHED)
    return stream


def select(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def list_event_names(actions):
    return [action.event.name for action in select(actions, Emit)]


def get_refusal_kind(host, key, *, now):
    with pytest.raises(RequestRefused) as caught:
        host.authenticate(key, now=now)
    return caught.value.kind


def test_authenticate(stream):
    host = build_host()
    read_all(host, stream)
    assert host.authenticate(KEYS[0], now=1.0) == Key(DIGESTS[0], "shop")
    assert get_refusal_kind(host, "no such key", now=1.0) is ErrorKind.UNKNOWN_KEY


def test_authenticate_withdrawn(stream):
    host = build_host()
    stream.append(KeyWithdrawn(DIGESTS[0], "ana"))
    read_all(host, stream)
    with pytest.raises(RequestRefused) as caught:
        host.authenticate(KEYS[0], now=1.0)
    assert caught.value.kind is ErrorKind.KEY_WITHDRAWN
    assert caught.value.execution is Execution.NOT_RUN


@pytest.mark.parametrize(
    "record",
    [
        KeyWithdrawn(DIGESTS[0], "ana"),
        ConfigurationPublished(0, "ana", build_inventory(keys=(1,))),
    ],
    ids=["withdrawn", "dropped"],
)
def test_iter_withdrawn_since(stream, record):
    host = build_host()
    stream.append(KeyIssued(Key(DIGESTS[2], "club"), "ana"))
    stream.append(record)
    read_all(host, stream)
    assert list(host.iter_withdrawn_since(1)) == [DIGESTS[0]]
    assert list(host.iter_withdrawn_since(2)) == []


def test_is_fresh_ends_after_stale_limit(stream):
    host = build_host(leases=FakeLeases(("a", "b"), confirmed=False))
    assert not host.is_fresh(now=0.0)
    read_all(host, stream, now=10.0)
    assert host.is_fresh(now=14.0)
    assert not host.is_fresh(now=14.01)
    assert get_refusal_kind(host, KEYS[0], now=14.01) is ErrorKind.HOST_UNCONFIRMED
    assert "configuration.stale" in list_event_names(host.tick(now=14.01))


@pytest.mark.parametrize(
    ("digest", "confirmed", "is_fresh"),
    [
        (OffsetDigest(0, 0.5, 9.5), True, True),
        (OffsetDigest(0, 0.5, 9.5), False, True),
        (OffsetDigest(0, 60.0, 9.5), True, True),
        (OffsetDigest(0, None, 9.5), True, True),
        (OffsetDigest(0, 60.0, 9.5), False, False),
        (OffsetDigest(0, 60.0, 3.0), True, False),
        (OffsetDigest(1, 0.5, 9.5), True, False),
        (OffsetDigest(1, 60.0, 9.5), True, False),
        (OffsetDigest(0, 0.0, 11.0), True, False),
        (None, True, False),
    ],
    ids=[
        "peer-reads-log",
        "peer-reads-log-no-membership",
        "outage",
        "outage-new-peer",
        "outage-no-membership",
        "answer-too-old",
        "peer-read-further",
        "stale-peer-read-further",
        "answer-sent-later-than-now",
        "no-answer",
    ],
)
def test_is_fresh_after_answer_of_peer(stream, digest, confirmed, is_fresh):
    host = build_host(leases=FakeLeases(("a", "b"), confirmed=confirmed))
    read_all(host, stream)
    host.tick(now=9.5)
    if digest:
        host.handle(digest, sender="b", now=10.0)
    assert host.is_fresh(now=10.0) is is_fresh


@pytest.mark.parametrize(
    ("answers", "is_fresh"), [(1, False), (2, True), (4, True)], ids=str
)
def test_is_fresh_outage_needs_majority(stream, answers, is_fresh):
    host = build_host(leases=FakeLeases(tuple("abcde")))
    read_all(host, stream)
    host.tick(now=9.0)
    for peer in "bcde"[:answers]:
        host.handle(OffsetDigest(0, 9.0, 9.0), sender=peer, now=9.1)
    assert host.is_fresh(now=9.1) is is_fresh


def test_is_fresh_single_host_outage(stream):
    host = build_host(leases=FakeLeases(("a",)))
    read_all(host, stream)
    assert host.is_fresh(now=3600.0)


def test_is_fresh_needs_a_record_in_outage():
    host = build_host(leases=FakeLeases(("a",)))
    assert not host.is_fresh(now=0.0)
    assert get_refusal_kind(host, KEYS[0], now=0.0) is ErrorKind.HOST_UNCONFIRMED


def test_note_log_read_does_not_confirm_missing_records(stream):
    host = build_host(leases=FakeLeases(confirmed=False))
    host.note_log_read(sent_at=1.0, now=1.0, next_offset=1)
    assert not host.is_fresh(now=1.0)


def test_tick_queries_peers_only_during_log_outage(stream):
    host = build_host(leases=FakeLeases(tuple("abcd")), query_peers=2)
    read_all(host, stream)
    assert not select(host.tick(now=1.0), Send)
    queries = [select(host.tick(now=2.0 + n), Send) for n in range(3)]
    assert [len(sends) for sends in queries] == [2, 2, 2]
    assert {send.recipient for sends in queries for send in sends} == set("bcd")
    assert not select(host.tick(now=4.5), Send)


def test_handle_query(stream):
    host = build_host()
    read_all(host, stream, now=5.0)
    answer = host.handle(OffsetQuery(0, 77.0), sender="b", now=5.5)
    assert answer == [Send("b", OffsetDigest(0, 0.5, 77.0))]


def test_refused_record_is_reported(stream):
    host = build_host()
    stream.append("half a rec")
    actions = read_all(host, stream)
    assert "configuration.record_refused" in list_event_names(actions)
    status = host.get_status(now=0.0)
    assert [(r.offset, r.reason) for r in status.refusals] == [
        (1, "record has no kind")
    ]
    assert (status.offset, status.inventory_offset) == (1, 0)


def test_older_record_is_ignored(stream):
    host = build_host()
    stream.append(KeyWithdrawn(DIGESTS[0], "ana"))
    read_all(host, stream)
    assert host.apply_record(0, PUBLISHED, now=1.0) == []
    assert (host.view.offset, host.view.get_key(DIGESTS[0])) == (1, None)


def test_record_of_other_stream_is_ignored():
    host = build_host()
    assert host.apply_record(0, object(), now=0.0) == []
    assert host.view.offset == -1


def build_trimmed(*, first, covered=1):
    """Return a stream with a snapshot of `covered` at offset 3, trimmed to `first`."""
    stream, writer = FakeStream(), build_host("w")
    stream.append(PUBLISHED)
    stream.append(KeyWithdrawn(DIGESTS[0], "ana"))
    stream.append(KeyIssued(Key(DIGESTS[2], "club"), "ana"))
    for offset, record in list(stream.iter_entries())[: covered + 1]:
        writer.apply_record(offset, record, now=0.0)
    stream.append(writer.build_snapshot())
    stream.append(KeyWithdrawn(DIGESTS[1], "ana"))
    stream.first = first
    return stream


@pytest.mark.parametrize(
    ("first", "covered", "is_fresh"),
    [
        (0, 1, True),
        (1, 1, True),
        (2, 1, True),
        (3, 1, False),
        (3, 2, True),
        (4, 1, False),
        (1, 0, True),
        (2, 0, False),
    ],
)
def test_start_on_trimmed_stream(first, covered, is_fresh):
    stream = build_trimmed(first=first, covered=covered)
    host = build_host(leases=FakeLeases(("a",)))
    read_all(host, stream)
    assert host.is_fresh(now=0.0) is is_fresh
    if is_fresh:
        expected = build_host("other")
        stream.first = 0
        read_all(expected, stream)
        assert describe(host.state) == describe(expected.state)


def test_pause_longer_than_log_retention():
    stream = build_trimmed(first=0)
    host = build_host(leases=FakeLeases(("a",)))
    host.apply_record(0, PUBLISHED, now=0.0)
    host.apply_record(4, decode_entry(stream.values[4]), now=0.0)
    assert not host.is_fresh(now=0.0)
    assert host.view.offset == 0
    read_all(host, stream)
    assert host.is_fresh(now=0.0)
    assert host.view.offset == 4


def test_gap_in_records_refuses_requests_at_once(stream):
    host = build_host()
    read_all(host, stream)
    assert host.is_fresh(now=1.0)
    host.apply_record(5, KeyWithdrawn(DIGESTS[1], "ana"), now=1.0)
    assert get_refusal_kind(host, KEYS[0], now=1.0) is ErrorKind.HOST_UNCONFIRMED


def test_buffered_snapshot_that_covers_later_offset_is_ignored():
    host = build_host()
    snapshot = ConfigurationSnapshot(7, 0, "h", build_inventory())
    host.apply_record(5, snapshot, now=0.0)
    assert (host.view.offset, host.view.inventory_offset) == (-1, -1)


def test_catch_up_from_peer():
    stream = build_trimmed(first=4)
    peer, host = build_host("p"), build_host(leases=FakeLeases(("a",)))
    for offset, value in enumerate(stream.values):
        peer.apply_record(offset, decode_entry(value), now=0.0)
    read_all(host, stream)
    host.apply_snapshot(peer.build_snapshot(), now=0.0)
    assert host.is_fresh(now=0.0)
    assert describe(host.state) == describe(peer.state)
    older = ConfigurationSnapshot(0, 0, "p", build_inventory())
    assert host.apply_snapshot(older, now=1.0) == []
    assert host.view.offset == 4


def test_invalid_snapshot_is_reported():
    host = build_host()
    invalid = ConfigurationSnapshot(3, 9, "p", build_inventory())
    host.apply_snapshot(invalid, now=0.0)
    assert (
        "inventory_offset 9, which is greater"
        in host.get_status(now=0.0).refusals[0].reason
    )
    assert host.view.offset == -1


def test_snapshot_is_written_by_one_host(stream):
    leases = FakeLeases(tuple("abc"))
    hosts = [build_host(name, leases, snapshot_every_s=100.0) for name in "abc"]
    writers = []
    for now in range(0, 105, 5):
        for host in hosts:
            read_all(host, stream, now=float(now))
            for action in select(host.tick(now=float(now)), Append):
                stream.append(action.record)
                writers.append((now, host.host))
    assert [now for now, _ in writers] == [100]


def test_missing_snapshot_is_written_by_next_host(stream):
    leases = FakeLeases(tuple("abc"))
    hosts = [build_host(name, leases, snapshot_every_s=100.0) for name in "abc"]
    times = []
    for now in range(0, 170, 5):
        for host in hosts:
            read_all(host, stream, now=float(now))
            times += [now for _ in select(host.tick(now=float(now)), Append)]
    assert times == [100, 130, 160]


def test_refused_snapshot_does_not_delay_the_next(stream):
    host = build_host(leases=FakeLeases(("a",)), snapshot_every_s=100.0)
    host.tick(now=0.0)
    stream.append(ConfigurationSnapshot(0, 0, "h", build_inventory(adapters=1)))
    read_all(host, stream, now=90.0)
    assert "differs" in host.get_status(now=90.0).refusals[0].reason
    assert select(host.tick(now=100.0), Append)


def test_snapshot_is_not_written_by_stale_host(stream):
    host = build_host(leases=FakeLeases(("a", "b"), False), snapshot_every_s=1.0)
    read_all(host, stream)
    host.tick(now=0.0)
    assert not select(host.tick(now=600.0), Append)


def test_snapshot_is_due_after_number_of_records(stream):
    host = build_host(snapshot_every_records=10, snapshot_backoff_s=30.0)
    for _ in range(10):
        stream.append("x")
    read_all(host, stream)
    host.tick(now=0.0)
    assert not select(host.tick(now=29.0), Append)
    assert select(host.tick(now=31.0), Append)


def test_unreadable_record_advances_offset(stream):
    host = build_host()
    read_all(host, stream)
    host.apply_record(1, UnreadableRecord("", "cut"), now=0.0)
    assert host.view.offset == 1
