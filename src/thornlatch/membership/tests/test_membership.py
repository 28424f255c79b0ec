"""Faults as seen by a single host, whose peers and log are simulated."""

from random import Random

import pytest

from thornlatch.core import Append, Send
from thornlatch.membership import (
    Accused,
    Defended,
    Expelled,
    Heartbeat,
    HeartbeatAnswer,
    HostRemoved,
    Membership,
    MembershipSettings,
    SessionClosed,
    SessionOpened,
    ViewAcknowledged,
    ViewRecorded,
    build_empty_view,
)

SETTINGS = MembershipSettings(outage_limit_s=100.0)
PEERS = ("b.1", "c.1")


class Session:
    """A host with two simulated peers."""

    def __init__(self, host="a.1", start=1000.0):
        self.now = start
        self.offset = -1
        self.membership = Membership(
            SETTINGS, host=host, address="x", failure_domain="d", random=Random(3)
        )
        self.membership.open_session(now=self.now)
        self.apply(*(SessionOpened(name, "x", "d") for name in ("a.1", *PEERS)))
        for _ in range(3):
            for name in ("a.1", *PEERS):
                self.apply(ViewAcknowledged(name, self.offset))
        self.read()

    def apply(self, *records):
        for record in records:
            self.offset += 1
            self.membership.apply_record(self.offset, record, now=self.now)

    def read(self, age=0.0):
        self.membership.note_log_read(sent_at=self.now - age, now=self.now)

    def tick(self):
        return self.membership.tick(now=self.now)

    def run(self, duration_s, *, answering=PEERS, is_log_up=True, is_supporting=True):
        """Let time pass; return the records that were appended."""
        appended = []
        end = self.now + duration_s
        while self.now < end:
            self.now += 0.05
            if is_log_up:
                self.read()
            for action in self.tick():
                if isinstance(action, Append):
                    appended.append(action.record)
                elif isinstance(action, Send) and action.recipient in answering:
                    self.answer(action, is_supporting=is_supporting)
        return appended

    def answer(self, action, *, is_supporting=True, view_offset=None):
        offset = self.offset if view_offset is None else view_offset
        answer = HeartbeatAnswer(action.message.number, offset, is_supporting)
        self.membership.handle(answer, sender=action.recipient, now=self.now)

    def is_confirmed(self):
        return self.membership.is_confirmed(now=self.now)


def test_log_reads_confirm_host_while_peers_are_silent():
    session = Session()
    session.run(1.0, answering=())
    assert session.is_confirmed()


OUTAGES = {
    "majority": ({"answering": ("b.1",)}, 5.0, True),
    "alone": ({"answering": ()}, 2.1, False),
    "refused": ({"is_supporting": False}, 2.1, False),
    "past_limit": ({}, 100.5, False),
    "within_limit": ({}, 95.0, True),
}


@pytest.mark.parametrize("name", OUTAGES)
def test_confirmation_during_log_outage(name):
    options, duration_s, is_confirmed = OUTAGES[name]
    session = Session()
    session.membership.note_log_unavailable(now=session.now)
    appended = session.run(duration_s, is_log_up=False, **options)
    assert session.is_confirmed() is is_confirmed
    assert appended == []


@pytest.mark.parametrize("pause_s", [2.1, 50.0, 5000.0])
def test_pause_ends_confirmation(pause_s):
    session = Session()
    session.run(1.0)
    session.now += pause_s
    assert not session.is_confirmed()
    appends = [a for a in session.tick() if isinstance(a, Append)]
    assert appends == []


def test_answers_and_reads_from_before_pause_do_not_confirm():
    session = Session()
    session.now += 0.5
    sends = [action for action in session.tick() if isinstance(action, Send)]
    session.now += 30.0
    for action in sends:
        session.answer(action)
    session.read(age=30.0)
    assert not session.is_confirmed()


def test_pause_of_process_leads_to_no_accusations():
    session = Session()
    session.run(1.0)
    session.now += 60.0
    appended = session.run(1.0, answering=PEERS)
    assert not [record for record in appended if isinstance(record, Accused)]


def test_support_from_newer_view_counts_once_read():
    session = Session()
    session.membership.note_log_unavailable(now=session.now)
    session.now += 3.0
    sends = [action for action in session.tick() if isinstance(action, Send)]
    session.answer(sends[0], view_offset=session.offset + 1)
    assert not session.is_confirmed()
    session.apply(SessionOpened("d.1", "x", "d"))
    assert session.is_confirmed()


def test_answer_to_unknown_round_is_ignored():
    session = Session()
    session.now += 3.0
    answer = HeartbeatAnswer(999_999, session.offset, True)
    session.membership.handle(answer, sender="b.1", now=session.now)
    assert not session.is_confirmed()


def test_accusation_of_silent_peer_is_retried_until_read_back():
    session = Session()
    appended = session.run(4.0, answering=("b.1",))
    accused = [record for record in appended if isinstance(record, Accused)]
    assert {record.host for record in accused} == {"c.1"}
    assert len(accused) >= 2
    assert not session.membership._is_supporting("c.1", session.now)


def test_isolated_host_accuses_later():
    session = Session()
    timeout_s = 3 * SETTINGS.suspect_s
    assert not session.run(timeout_s - 0.5, answering=())
    accused = {record.host for record in session.run(1.0, answering=())}
    assert accused == {"b.1", "c.1"}


def test_log_outage_leads_to_no_accusations():
    session = Session()
    session.membership.note_log_unavailable(now=session.now)
    assert session.run(10.0, answering=("b.1",), is_log_up=False) == []


def test_host_missing_from_list_is_suspected_earlier():
    session = Session()
    session.membership.note_host_list(["a", "b"], [], now=session.now)
    first = session.run(1.2, answering=("b.1",))
    assert [record.host for record in first] == ["c.1"]


def test_answering_host_missing_from_list_is_not_accused():
    session = Session()
    session.membership.note_host_list([], ["b", "c"], now=session.now)
    assert session.run(10.0) == []


def test_accuser_supports_host_again_after_defence():
    session = Session()
    session.run(2.0, answering=("b.1",))
    session.apply(Accused("c.1", "a.1", session.offset))
    assert not session.membership._is_supporting("c.1", session.now)
    session.apply(Defended("c.1", session.offset))
    assert session.membership._is_supporting("c.1", session.now)


def test_host_without_defence_is_expelled():
    session = Session()
    session.run(2.0, answering=("b.1",))
    session.apply(Accused("c.1", "a.1", session.offset))
    accusation = session.offset
    early = session.run(SETTINGS.expulsion_delay_s - 0.2, answering=("b.1",))
    late = session.run(0.5, answering=("b.1",))
    assert not [record for record in early if isinstance(record, Expelled)]
    assert Expelled("c.1", accusation, "a.1") in late


def test_accused_host_that_answers_again_is_not_expelled():
    session = Session()
    session.run(2.0, answering=("b.1",))
    session.apply(Accused("c.1", "a.1", session.offset))
    appended = session.run(2 * SETTINGS.expulsion_delay_s)
    assert not [record for record in appended if isinstance(record, Expelled)]


def test_accused_host_defends_itself_after_delay():
    session = Session()
    session.apply(Accused("a.1", "b.1", session.offset))
    accusation = session.offset
    assert session.run(SETTINGS.defence_s / 2 - 0.1) == []
    assert Defended("a.1", accusation) in session.run(0.3)


def test_acknowledgement_is_retried_until_read_back():
    session = Session()
    session.apply(SessionOpened("d.1", "x", "d"))
    appended = session.run(2.5)
    acknowledged = ViewAcknowledged("a.1", session.offset)
    assert appended.count(acknowledged) >= 2
    session.apply(acknowledged)
    assert acknowledged not in session.run(2.0)


def test_late_acknowledger_is_accused():
    session = Session()
    session.apply(SessionOpened("d.1", "x", "d"))
    session.apply(ViewAcknowledged("a.1", session.offset))
    session.apply(ViewAcknowledged("b.1", session.offset))
    answering = (*PEERS, "d.1")
    early = session.run(SETTINGS.acknowledge_s - 1, answering=answering)
    late = session.run(2.0, answering=answering)
    assert not [record for record in early if isinstance(record, Accused)]
    assert {r.host for r in late if isinstance(r, Accused)} == {"c.1"}


@pytest.mark.parametrize(
    "records",
    [
        lambda at: [Accused("a.1", "b.1", at), Accused("a.1", "c.1", at)],
        lambda at: [Accused("a.1", "b.1", at), Expelled("a.1", at + 1, "b.1")],
        lambda at: [HostRemoved("a.1", "operator")],
    ],
    ids=["fast", "slow", "removed"],
)
def test_expelled_host_does_not_act(records):
    session = Session()
    session.apply(*records(session.offset))
    assert session.membership.is_expelled
    assert not session.is_confirmed()
    assert session.run(3.0) == []
    assert session.membership.handle(Heartbeat(1), sender="b.1", now=session.now) == []


def test_closed_host_does_not_act():
    session = Session()
    first = session.membership.close(now=session.now)
    assert [action.record for action in first] == [SessionClosed("a.1")]
    assert not session.is_confirmed()
    assert session.membership.handle(Heartbeat(1), sender="b.1", now=session.now) == []
    assert set(session.run(2.5)) == {SessionClosed("a.1")}
    session.apply(SessionClosed("a.1"))
    assert session.run(2.5) == []
    assert not session.membership.is_expelled


def test_session_opening_is_retried_until_read_back():
    membership = Membership(
        SETTINGS, host="a.1", address="x", failure_domain="d", random=Random(1)
    )
    opened = SessionOpened("a.1", "x", "d")
    actions = membership.open_session(now=0.0)
    for step in range(1, 30):
        actions += membership.tick(now=step * 0.1)
    assert [action.record for action in actions] == [opened] * 3
    membership.apply_record(0, opened, now=3.0)
    assert membership.is_member
    assert not membership.is_confirmed(now=3.0)


def test_slow_wait_ends_with_host_removed_record():
    session = Session()
    session.apply(Accused("c.1", "b.1", session.offset))
    session.apply(Expelled("c.1", session.offset, "b.1"))
    holders = session.membership.iter_possible_holders(now=session.now)
    assert list(holders) == ["a.1", "b.1", "c.1"]
    appended = session.run(SETTINGS.slow_wait_s + 1.0, answering=("b.1",))
    assert HostRemoved("c.1", "a.1") in appended


def test_host_past_outage_limit_supports_no_peer():
    session = Session()
    session.run(SETTINGS.outage_limit_s + 1.0, is_log_up=False)
    actions = session.membership.handle(Heartbeat(7), sender="b.1", now=session.now)
    assert actions == [Send("b.1", HeartbeatAnswer(7, session.offset, False))]


def test_view_is_recorded_periodically():
    session = Session()
    appended = session.run(SETTINGS.record_view_s + 0.5)
    records = [r for r in appended if isinstance(r, ViewRecorded)]
    assert records and records[0].view_offset == session.offset


def test_recorded_view_is_loaded_after_log_gap():
    session = Session()
    appended = session.run(SETTINGS.record_view_s + 0.5)
    recorded = next(r for r in appended if isinstance(r, ViewRecorded))
    joiner = Membership(
        SETTINGS, host="d.1", address="x", failure_domain="d", random=Random(1)
    )
    first = session.offset + 1
    joiner.note_log_gap(first_offset=first, now=0.0)
    joiner.apply_record(first, recorded, now=0.0)
    joiner.apply_record(first + 1, SessionOpened("d.1", "x", "d"), now=0.0)
    joiner.note_log_read(sent_at=0.0, now=0.0)
    members = [member.host for member in joiner.iter_members()]
    assert members == ["a.1", *PEERS, "d.1"]
    assert joiner.is_confirmed(now=0.0)


def test_fleet_restarts_from_empty_view_after_log_gap():
    joiner = Membership(
        SETTINGS, host="d.1", address="x", failure_domain="d", random=Random(1)
    )
    joiner.note_log_gap(first_offset=9, now=0.0)
    joiner.apply_record(9, SessionOpened("d.1", "x", "d"), now=0.0)
    empty = build_empty_view("operator", view_offset=9)
    joiner.apply_record(10, empty, now=0.0)
    joiner.apply_record(11, SessionOpened("d.1", "x", "d"), now=0.0)
    joiner.note_log_read(sent_at=0.0, now=0.0)
    assert joiner.is_confirmed(now=0.0)
    assert list(joiner.view.voters) == ["d.1"]


def test_records_of_other_streams_are_not_buffered_after_log_gap():
    joiner = Membership(
        SETTINGS, host="d.1", address="x", failure_domain="d", random=Random(1)
    )
    joiner.note_log_gap(first_offset=9, now=0.0)
    joiner.apply_record(10_000, object(), now=0.0)
    assert joiner.loader.pending_records == []


def test_host_is_not_confirmed_after_log_gap_without_recorded_view():
    joiner = Membership(
        SETTINGS, host="d.1", address="x", failure_domain="d", random=Random(1)
    )
    joiner.note_log_gap(first_offset=5, now=0.0)
    joiner.apply_record(5, SessionOpened("d.1", "x", "d"), now=0.0)
    joiner.note_log_read(sent_at=0.0, now=0.0)
    assert not joiner.is_confirmed(now=0.0)
    assert not joiner.is_member


def start_alone(*records):
    """Return a host that has read its own session after `records`."""
    membership = Membership(
        SETTINGS, host="a.1", address="x", failure_domain="d", random=Random(3)
    )
    membership.open_session(now=0.0)
    for offset, record in enumerate((*records, SessionOpened("a.1", "x", "d"))):
        membership.apply_record(offset, record, now=0.0)
    return membership


def test_first_host_is_settled_at_once():
    assert start_alone().has_settled(now=0.0)


def test_host_is_settled_once_voters_know_each_other():
    membership = start_alone(SessionOpened("b.1", "x", "d"))
    for offset, (host, view_offset) in enumerate(
        [("b.1", 1), ("a.1", 2), ("b.1", 3)], start=2
    ):
        assert not membership.has_settled(now=0.1)
        record = ViewAcknowledged(host, view_offset)
        membership.apply_record(offset, record, now=0.1)
    assert membership.has_settled(now=0.1)


def test_host_is_settled_after_time_limit():
    membership = start_alone(SessionOpened("b.1", "x", "d"))
    assert not membership.has_settled(now=SETTINGS.settle_s - 0.1)
    assert membership.has_settled(now=SETTINGS.settle_s)


def test_host_stays_settled_when_another_joins():
    membership = start_alone()
    assert membership.has_settled(now=0.0)
    membership.apply_record(1, SessionOpened("b.1", "x", "d"), now=0.1)
    assert membership.has_settled(now=0.1)


def test_next_due_covers_timeouts_and_accusations():
    session = Session()
    session.run(3.0)
    assert session.now < session.membership.next_due(now=session.now)
    timeout_at = session.membership.suspects.get_next_timeout()
    session.run(SETTINGS.suspect_s - 0.1, answering=())
    assert session.membership.suspects.get_next_timeout() == timeout_at
    assert session.membership.next_due(now=session.now) <= timeout_at
    session.apply(Accused("b.1", "c.1", session.offset))
    assert session.membership.next_due(now=session.now) == session.now


def test_next_heartbeat_answers_the_last_one_of_a_watched_peer():
    session = Session()
    session.run(1.0)
    for number in (7, 8):
        heartbeat = Heartbeat(number)
        assert session.membership.handle(heartbeat, sender="b.1", now=session.now) == []
    for expected in (8, -1):
        session.now = session.membership.next_round_at
        session.read()
        heartbeats = {a.recipient: a.message for a in session.tick()}
        assert heartbeats["b.1"].answered == expected
        assert heartbeats["c.1"].answered == -1


def test_answer_carried_by_heartbeat_counts_as_support():
    session = Session()
    session.run(1.0, answering=())
    number = session.membership.round_number
    heartbeat = Heartbeat(3, number, session.offset, True)
    session.membership.handle(heartbeat, sender="b.1", now=session.now)
    session.membership.note_log_unavailable(now=session.now)
    session.now += SETTINGS.safe_s - 0.4
    assert session.membership.confirmation.is_supported(
        session.membership.view, now=session.now
    )


def test_heartbeat_is_answered_at_once_during_log_outage():
    session = Session()
    session.membership.note_log_unavailable(now=session.now)
    actions = session.membership.handle(Heartbeat(7), sender="b.1", now=session.now)
    assert actions == [Send("b.1", HeartbeatAnswer(7, session.offset, True))]


@pytest.mark.parametrize(("until_round_s", "is_started"), [(0.09, True), (0.11, False)])
def test_received_heartbeat_starts_a_round_that_is_nearly_due(
    until_round_s, is_started
):
    session = Session()
    session.run(1.0)
    session.now = session.membership.next_round_at - until_round_s
    session.membership.handle(Heartbeat(9), sender="b.1", now=session.now)
    session.read()
    sent = [a.message for a in session.tick() if isinstance(a, Send)]
    assert [heartbeat.answered for heartbeat in sent] == ([9, -1] if is_started else [])


def test_next_due_covers_end_of_confirmation_by_log_reads():
    session = Session()
    session.run(1.0)
    read_at = session.now
    session.run(SETTINGS.safe_s - 0.15, is_log_up=False)
    due = session.membership.next_due(now=session.now)
    assert due <= read_at + SETTINGS.safe_s


def test_expired_support_is_dropped():
    session = Session()
    session.run(1.0)
    assert set(session.membership.confirmation.supports) == set(PEERS)
    session.run(2 * SETTINGS.safe_s, answering=("b.1",))
    assert set(session.membership.confirmation.supports) == {"b.1"}
