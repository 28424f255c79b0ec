"""Reads of the log follower, its requests to peers and its answers to theirs."""

from random import Random

import pytest

from thornlatch.core import Envelope, Send, decode_envelope, encode_envelope
from thornlatch.logservice import (
    FollowerSettings,
    LogFollower,
    LogPage,
    LogRecord,
    LogTail,
    LogTailRequest,
)

STREAM = "control"
SETTINGS = FollowerSettings(page_limit=10, records_kept=50)


def make_follower(host="a.1"):
    return LogFollower(SETTINGS, (STREAM,), host=host, random=Random(1))


def make_page(first, count, *, first_kept_offset=0):
    records = tuple(
        LogRecord(offset, 0.0, {"n": offset}) for offset in range(first, first + count)
    )
    return LogPage(records, first + count, first_kept_offset)


def read(follower, count, *, sent_at, now=None):
    plan = follower.plan_read(STREAM, now=sent_at)
    page = make_page(plan.offset, count)
    return follower.note_page(plan, page, sent_at=sent_at, now=now or sent_at)


def list_offsets(delivery):
    return [record.offset for record in delivery.records]


def test_read_delivers_once_in_order():
    follower = make_follower()
    first, _ = read(follower, 10, sent_at=1.0)
    second, _ = read(follower, 4, sent_at=1.1)
    assert list_offsets(first) + list_offsets(second) == list(range(14))
    assert first.tail_sent_at is None
    assert second.tail_sent_at == 1.1


def test_one_read_at_a_time_that_waits_when_up_to_date():
    follower = make_follower()
    plan = follower.plan_read(STREAM, now=1.0)
    assert plan.wait_s == 0.0
    assert follower.plan_read(STREAM, now=1.5) is None
    follower.note_page(plan, make_page(0, 0), sent_at=1.0, now=1.1)
    assert follower.plan_read(STREAM, now=1.2).wait_s == SETTINGS.poll_wait_s


def test_read_after_failure_is_delayed():
    follower = make_follower()
    follower.note_failure(follower.plan_read(STREAM, now=1.0), now=1.0)
    assert follower.plan_read(STREAM, now=1.1) is None
    assert follower.plan_read(STREAM, now=1.3) is not None


def test_read_of_trimmed_stream_reports_gap():
    follower = make_follower()
    plan = follower.plan_read(STREAM, now=1.0)
    follower.note_failure(plan, now=1.0, first_offset=30)
    delivery, _ = read(follower, 2, sent_at=1.1)
    assert delivery.gap_until == 30
    assert list_offsets(delivery) == [30, 31]
    assert read(follower, 1, sent_at=1.2)[0].gap_until is None


def query_peer(follower, *, now=10.0):
    (send,) = follower.tick(peers=["a.1", "b.1"], now=now)
    assert send.recipient == "b.1"
    return send.message


def test_peers_queried_only_while_log_does_not_answer():
    follower = make_follower()
    read(follower, 3, sent_at=10.0)
    overdue_at = 10.01 + SETTINGS.overdue_s
    assert follower.tick(peers=["b.1"], now=10.0 + 2 * SETTINGS.poll_wait_s) == []
    assert follower.tick(peers=["b.1"], now=overdue_at - 0.02) == []
    assert query_peer(follower, now=overdue_at) == LogTailRequest(STREAM, 3, 1)
    assert follower.tick(peers=["b.1"], now=overdue_at + 0.1) == []


@pytest.mark.parametrize(
    ("read_sent_at", "is_current"), [(9.9, False), (10.2, True)], ids=["older", "newer"]
)
def test_answer_is_current_only_after_later_read(read_sent_at, is_current):
    peer = make_follower("b.1")
    read(peer, 3, sent_at=9.0)
    if not is_current:
        plan = peer.plan_read(STREAM, now=read_sent_at)
    peer.handle(LogTailRequest(STREAM, 1, 7), sender="a.1", now=10.0)
    if is_current:
        plan = peer.plan_read(STREAM, now=read_sent_at)
    page = make_page(3, 0)
    _, actions = peer.note_page(plan, page, sent_at=read_sent_at, now=10.4)
    actions = actions or peer.tick(peers=[], now=10.0 + SETTINGS.answer_s)
    answer = next(a.message for a in actions if isinstance(a.message, LogTail))
    assert answer.is_current is is_current
    assert [record.offset for record in answer.records] == [1, 2]


def test_answer_confirms_time_of_request():
    follower = make_follower()
    request = query_peer(follower, now=10.0)
    page = make_page(0, 3)
    tail = LogTail(STREAM, request.sequence, 0, page.records, 3, True)
    (delivery,), _ = follower.handle(tail, sender="b.1", now=11.0)
    assert delivery.tail_sent_at == 10.0
    assert list_offsets(delivery) == [0, 1, 2]
    assert follower.handle(tail, sender="b.1", now=11.0) == ([], [])


IGNORED_ANSWERS = {
    "sender": (
        "c.1",
        lambda request: LogTail(STREAM, request.sequence, 0, (), 5, True),
    ),
    "sequence": (
        "b.1",
        lambda request: LogTail(STREAM, request.sequence + 1, 0, (), 5, True),
    ),
    "stream": (
        "b.1",
        lambda request: LogTail("other", request.sequence, 0, (), 5, True),
    ),
    "gap": ("b.1", lambda request: LogTail(STREAM, request.sequence, 4, (), 5, True)),
}


@pytest.mark.parametrize("name", IGNORED_ANSWERS)
def test_answer_ignored(name):
    sender, build = IGNORED_ANSWERS[name]
    follower = make_follower()
    request = query_peer(follower)
    assert follower.handle(build(request), sender=sender, now=10.1) == ([], [])
    assert follower.get_next_offset(STREAM) == 0


def test_answer_overlapping_read_delivers_once():
    follower = make_follower()
    request = query_peer(follower)
    read(follower, 3, sent_at=10.1)
    tail = LogTail(STREAM, request.sequence, 0, make_page(0, 5).records, 5, False)
    (delivery,), _ = follower.handle(tail, sender="b.1", now=10.2)
    assert list_offsets(delivery) == [3, 4]
    assert delivery.tail_sent_at is None


def test_read_overtaken_by_answer_delivers_once():
    follower = make_follower()
    plan = follower.plan_read(STREAM, now=10.0)
    request = query_peer(follower)
    tail = LogTail(STREAM, request.sequence, 0, make_page(0, 3).records, 3, True)
    follower.handle(tail, sender="b.1", now=10.2)
    page = make_page(0, 5)
    delivery, _ = follower.note_page(plan, page, sent_at=10.0, now=10.3)
    assert list_offsets(delivery) == [3, 4]


def test_answer_size_is_limited():
    settings = FollowerSettings()
    peer = LogFollower(settings, (STREAM,), host="b.1", random=Random(1))
    records = tuple(LogRecord(offset, 0.0, "x" * 9_000) for offset in range(300))
    plan = peer.plan_read(STREAM, now=1.0)
    peer.note_page(plan, LogPage(records, 300, 0), sent_at=1.0, now=1.0)
    peer.handle(LogTailRequest(STREAM, 0, 1), sender="a.1", now=2.0)
    (send,) = peer.tick(peers=[], now=2.0 + settings.answer_s)
    tail = send.message
    assert 0 < len(tail.records) < 300
    assert tail.next_offset == len(tail.records)
    assert not tail.is_current
    data = encode_envelope(Envelope("b.1", 1, tail))
    assert decode_envelope(data).message == tail


def test_answer_for_records_no_longer_kept_is_ignored():
    peer = make_follower("b.1")
    for step in range(9):
        read(peer, 9, sent_at=1.0 + step)
    peer.handle(LogTailRequest(STREAM, 0, 1), sender="a.1", now=20.0)
    actions = peer.tick(peers=[], now=20.0 + SETTINGS.answer_s)
    (tail,) = [a.message for a in actions if isinstance(a, Send)]
    assert tail.first_offset == 81 - SETTINGS.records_kept
    follower = make_follower()
    follower.streams[STREAM].sent_requests[1] = ("b.1", 20.0)
    assert follower.handle(tail, sender="b.1", now=21.0) == ([], [])


def test_next_due_covers_retry_request_and_answer():
    follower = make_follower()
    read(follower, 0, sent_at=1.0)
    plan = follower.plan_read(STREAM, now=1.0)
    assert follower.next_due(now=1.0) == 1.0 + SETTINGS.overdue_s
    request = LogTailRequest(STREAM, 0, 1)
    follower.handle(request, sender="b.1", now=1.1)
    assert follower.next_due(now=1.1) == 1.1 + SETTINGS.answer_s
    follower.note_failure(plan, now=1.2)
    assert follower.next_due(now=1.2) == 1.2 + SETTINGS.retry_s


def make_patient():
    streams = (STREAM, "claims")
    return LogFollower(
        SETTINGS, streams, host="a.1", random=Random(1), patient_streams=("claims",)
    )


def read_stream(follower, stream, *, now):
    plan = follower.plan_read(stream, now=now)
    follower.note_page(plan, make_page(plan.offset, 0), sent_at=now, now=now)


def list_queried_streams(follower, *, now):
    actions = follower.tick(peers=["b.1"], now=now)
    return {action.message.stream for action in actions}


def test_patient_stream_waits_while_other_streams_are_read():
    follower = make_patient()
    for stream in (STREAM, "claims"):
        read_stream(follower, stream, now=1.0)
    assert follower.plan_read("claims", now=1.0).wait_s == SETTINGS.patient_wait_s
    read_stream(follower, STREAM, now=2.0)
    assert list_queried_streams(follower, now=1.0 + SETTINGS.overdue_s) == set()
    for now in (3.0, 4.0, 5.0, 6.0):
        read_stream(follower, STREAM, now=now)
    assert list_queried_streams(follower, now=6.0) == {"claims"}


def test_patient_stream_queries_peers_in_outage_until_read():
    follower = make_patient()
    for stream in (STREAM, "claims"):
        read_stream(follower, stream, now=1.0)
    open_read = follower.plan_read("claims", now=1.0)
    outage_at = 1.0 + SETTINGS.overdue_s
    assert follower.next_due(now=1.0) <= outage_at
    assert list_queried_streams(follower, now=outage_at) == {STREAM, "claims"}
    read_stream(follower, STREAM, now=outage_at + 0.1)
    assert list_queried_streams(follower, now=outage_at + 0.3) == {"claims"}
    follower.note_page(open_read, make_page(0, 0), sent_at=2.6, now=2.6)
    assert list_queried_streams(follower, now=outage_at + 0.6) == set()


def test_patient_stream_answers_at_once():
    follower = make_patient()
    read_stream(follower, "claims", now=1.0)
    plan = follower.plan_read("claims", now=1.1)
    follower.note_page(plan, make_page(0, 2), sent_at=1.1, now=1.2)
    request = LogTailRequest("claims", 1, 9)
    _, actions = follower.handle(request, sender="b.1", now=1.3)
    (answer,) = actions
    assert [record.offset for record in answer.message.records] == [1]
    assert not answer.message.is_current
