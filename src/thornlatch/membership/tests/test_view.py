"""The view computed from single records of the control stream."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thornlatch.core import decode_record, encode_record
from thornlatch.membership import (
    Accused,
    Defended,
    Expelled,
    HostRemoved,
    KeysReleased,
    MembershipView,
    SessionClosed,
    SessionOpened,
    ViewAcknowledged,
    ViewRecorded,
    Wait,
)
from thornlatch.membership._view_state import ViewLoader, dump_state

HOSTS = ["a.1", "b.1", "c.1", "d.1", "e.1"]


def opened(host):
    return SessionOpened(host, "10.0.0.1:1", "domain-1")


def make_view(count=3):
    """Return a view in which the first `count` hosts are voters."""
    view = MembershipView(voter_limit=15)
    for host in HOSTS[:count]:
        view.apply(view.offset + 1, opened(host))
    for _ in range(count):
        for host in HOSTS[:count]:
            add(view, ViewAcknowledged(host, view.offset))
    assert list(view.voters) == HOSTS[:count]
    return view


def add(view, *records):
    for record in records:
        view.apply(view.offset + 1, record)
    return view


VIEW_OFFSET = make_view().offset
ACCUSED = Accused("a.1", "b.1", VIEW_OFFSET)

REPEATED = {
    "opened": opened("d.1"),
    "accused": ACCUSED,
    "closed": SessionClosed("a.1"),
    "released": KeysReleased("a.1"),
    "acknowledged": ViewAcknowledged("a.1", 11),
    "removed": HostRemoved("a.1", "operator"),
}


@pytest.mark.parametrize("name", REPEATED)
def test_repeated_record_changes_nothing(name):
    once = add(make_view(), REPEATED[name])
    twice = add(make_view(), REPEATED[name], REPEATED[name])
    assert dump_state(once) == dump_state(twice)


IGNORED = {
    "unknown_kind": object(),
    "opened_after_close": opened("z.1"),
    "accused_by_itself": Accused("a.1", "a.1", VIEW_OFFSET),
    "accused_by_non_member": Accused("a.1", "x.1", VIEW_OFFSET),
    "accused_non_member": Accused("x.1", "a.1", VIEW_OFFSET),
    "accused_at_future_offset": Accused("a.1", "b.1", 99),
    "accused_before_joining": Accused("a.1", "b.1", -1),
    "defended_without_accusation": Defended("a.1", VIEW_OFFSET),
    "expelled_without_accusation": Expelled("a.1", VIEW_OFFSET, "b.1"),
    "acknowledged_by_non_member": ViewAcknowledged("x.1", 3),
    "closed_by_non_member": SessionClosed("x.1"),
}


@pytest.mark.parametrize("name", IGNORED)
def test_invalid_record_is_ignored(name):
    view = add(make_view(), opened("z.1"), SessionClosed("z.1"))
    before = dump_state(view)
    add(view, IGNORED[name])
    assert dump_state(view) == before


def test_record_at_applied_offset_is_ignored():
    view = make_view()
    assert not view.apply(view.offset, SessionClosed("a.1"))
    assert "a.1" in view.members


def test_majority_of_accusers_expels_fast():
    view = add(make_view(), Accused("a.1", "b.1", VIEW_OFFSET))
    assert "a.1" in view.members
    add(view, Accused("a.1", "c.1", VIEW_OFFSET))
    assert view.departed["a.1"] is Wait.FAST
    assert list(view.voters) == ["b.1", "c.1"]


def test_slowly_expelled_voter_counts_for_majority_size():
    view = make_view()
    add(view, Accused("a.1", "b.1", view.offset))
    add(view, Expelled("a.1", view.offset, "b.1"))
    assert view.departed["a.1"] is Wait.SLOW
    assert list(view.voters) == ["a.1", "b.1", "c.1"]
    assert not view.is_voter("a.1")
    add(view, HostRemoved("a.1", "b.1"))
    assert list(view.voters) == ["b.1", "c.1"]


@pytest.mark.parametrize(
    ("count", "accusers", "has_acknowledged_voters", "wait"),
    [
        (2, 1, True, Wait.FAST),
        (2, 1, False, Wait.SLOW),
        (3, 1, True, Wait.SLOW),
        (4, 1, True, Wait.SLOW),
        (4, 2, True, Wait.FAST),
        (4, 2, False, Wait.SLOW),
    ],
)
def test_expulsion_by_half_of_the_voters(
    count, accusers, has_acknowledged_voters, wait
):
    view = make_view(count)
    if has_acknowledged_voters:
        add(view, ViewAcknowledged("a.1", view.electorate_offset))
    else:
        view.acknowledged["a.1"] = view.electorate_offset - 1
    for by in HOSTS[1 : 1 + accusers]:
        add(view, Accused("a.1", by, view.offset))
    assert "a.1" in view.members
    accusation = view.find_accusation("a.1", "b.1")
    add(view, Expelled("a.1", accusation.offset, "b.1"))
    assert view.departed["a.1"] is wait


def test_fast_expulsion_is_ignored_after_change_of_voters():
    view = make_view(4)
    for by in ("b.1", "c.1"):
        add(view, Accused("a.1", by, view.offset))
    accusation = view.find_accusation("a.1", "b.1")
    add(view, ViewAcknowledged("a.1", view.electorate_offset), SessionClosed("d.1"))
    assert not view.has_lost_majority("a.1")
    add(view, Expelled("a.1", accusation.offset, "b.1", is_fast=True))
    assert "a.1" in view.members


def test_half_of_the_voters_expels_non_voters_slowly():
    view = make_view(2)
    add(view, opened("c.1"))
    add(view, Accused("c.1", "b.1", view.offset))
    accusation = view.find_accusation("c.1", "b.1")
    add(view, Expelled("c.1", accusation.offset, "b.1"))
    assert view.departed["c.1"] is Wait.SLOW


def test_defence_invalidates_accusations_sent_before_it():
    view = make_view()
    sent = Accused("a.1", "b.1", view.offset)
    add(view, sent)
    add(view, Defended("a.1", view.offset), sent)
    assert view.find_accusation("a.1", "b.1") is None
    add(view, Accused("a.1", "b.1", view.offset))
    assert view.find_accusation("a.1", "b.1") is not None


def test_late_duplicate_of_defence_clears_nothing():
    view = make_view()
    add(view, Accused("a.1", "b.1", view.offset))
    defence = Defended("a.1", view.offset)
    add(view, defence)
    add(view, Accused("a.1", "b.1", view.offset), defence)
    assert view.find_accusation("a.1", "b.1") is not None


def test_accusations_count_only_after_last_change_of_voters():
    view = make_view(5)
    view_offset = view.offset
    add(view, Accused("a.1", "b.1", view_offset), Accused("a.1", "c.1", view_offset))
    add(view, SessionClosed("e.1"), Accused("a.1", "d.1", view_offset))
    assert "a.1" in view.members
    view_offset = view.offset
    for host in ("b.1", "c.1", "d.1"):
        add(view, Accused("a.1", host, view_offset))
    assert view.departed["a.1"] is Wait.FAST


def test_joiner_becomes_voter_after_majority_of_acknowledgements():
    view = add(make_view(), opened("d.1"))
    joined = view.offset
    add(view, ViewAcknowledged("a.1", joined))
    assert "d.1" not in view.voters
    add(view, ViewAcknowledged("b.1", joined))
    assert "d.1" in view.voters


def test_joiners_become_voters_one_at_a_time():
    view = add(make_view(), opened("d.1"), opened("e.1"))
    joined = view.offset
    for host in ("a.1", "b.1", "c.1"):
        add(view, ViewAcknowledged(host, joined))
    assert len(view.voters) == 4


def test_number_of_voters_is_bounded():
    view = MembershipView(voter_limit=2)
    add(view, *map(opened, HOSTS))
    for _ in range(5):
        for host in HOSTS:
            add(view, ViewAcknowledged(host, view.offset))
    assert len(view.voters) == 2


host_names = st.sampled_from(HOSTS)
offsets = st.integers(-1, 60)
records = st.one_of(
    st.builds(opened, host_names),
    st.builds(SessionClosed, host_names),
    st.builds(KeysReleased, host_names),
    st.builds(Accused, host_names, host_names, offsets),
    st.builds(Defended, host_names, offsets),
    st.builds(Expelled, host_names, offsets, host_names),
    st.builds(ViewAcknowledged, host_names, offsets),
    st.builds(HostRemoved, host_names, host_names),
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(before=st.lists(records, max_size=30), after=st.lists(records, max_size=20))
def test_loaded_view_equals_view_built_from_records(before, after):
    expected = add(MembershipView(voter_limit=4), opened("a.1"), *before)
    recorded_offset = expected.offset
    record = ViewRecorded("a.1", expected.offset, dump_state(expected))
    record = decode_record(encode_record(record))
    loaded, loader = MembershipView(voter_limit=4), ViewLoader()
    loader.start(recorded_offset + 1)
    replayed = loader.load(recorded_offset + 1, record, loaded)
    for offset, item in [*replayed, *enumerate(after, recorded_offset + 2)]:
        loaded.apply(offset, item)
    add(expected, record, *after)
    assert dump_state(loaded) == dump_state(expected)
    assert list(loaded.established) == list(expected.established)
    assert loaded.offset == expected.offset


@pytest.mark.parametrize(
    ("view_offset", "is_loaded"), [(8, False), (9, True), (11, True), (12, False)]
)
def test_recorded_view_must_cover_the_gap(view_offset, is_loaded):
    loader, view = ViewLoader(), MembershipView(voter_limit=4)
    loader.start(10)
    record = ViewRecorded("a.1", view_offset, dump_state(make_view()))
    loader.load(10, SessionClosed("c.1"), view)
    loader.load(11, SessionClosed("c.1"), view)
    assert bool(loader.load(12, record, view)) is is_loaded
    assert loader.is_loading is not is_loaded
