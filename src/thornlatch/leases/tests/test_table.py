"""Owners and epochs computed from the view of a single host."""

from collections import Counter
from random import Random

import pytest

from thornlatch.leases import LeaseTable
from thornlatch.membership import (
    Accused,
    Expelled,
    HostRemoved,
    KeysReleased,
    Membership,
    MembershipSettings,
    SessionClosed,
    SessionOpened,
    ViewAcknowledged,
)

KEYS = [f"organisation:{n}" for n in range(2000)]
SETTINGS = MembershipSettings(outage_limit_s=100.0)


class View:
    """A host's membership and lease table, with records applied directly."""

    def __init__(self, host="a.1"):
        self.offset = -1
        self.membership = Membership(
            SETTINGS, host=host, address="x", failure_domain="d", random=Random(1)
        )
        self.table = LeaseTable(self.membership)

    def apply(self, *records, now=0.0):
        for record in records:
            self.offset += 1
            self.membership.apply_record(self.offset, record, now=now)

    def join(self, host, now=0.0):
        """Open a session and acknowledge it for all members."""
        self.apply(SessionOpened(host, "x", "d"), now=now)
        members = list(self.membership.iter_members())
        joined = self.offset
        for member in members[:-1]:
            self.apply(ViewAcknowledged(member.host, joined), now=now)

    def owners(self):
        return {key: self.table.get_owner(key) for key in KEYS}


def test_keys_spread_evenly():
    view = View()
    for n in range(8):
        view.join(f"h.{n}")
    counts = Counter(owner.host for owner in view.owners().values())
    assert len(counts) == 8
    assert max(counts.values()) < 1.3 * len(KEYS) / 8


@pytest.mark.parametrize("change", ["join", "close"])
def test_join_or_close_moves_only_one_share(change):
    view = View()
    for n in range(8):
        view.join(f"h.{n}")
    before = view.owners()
    if change == "join":
        view.join("h.8")
    else:
        view.apply(SessionClosed("h.3"))
    after = view.owners()
    moved = [key for key in KEYS if before[key] != after[key]]
    if change == "join":
        assert all(after[key].host == "h.8" for key in moved)
        assert all(after[key].epoch == view.offset for key in moved)
    else:
        assert all(before[key].host == "h.3" for key in moved)
    assert 0 < len(moved) < 1.4 * len(KEYS) / 8


def test_owner_is_kept_until_last_acknowledgement():
    view = View()
    view.join("h.1")
    view.join("h.2")
    before = view.owners()
    view.apply(SessionOpened("h.3", "x", "d"), ViewAcknowledged("h.1", view.offset + 1))
    assert view.owners() == before
    view.apply(ViewAcknowledged("h.2", view.offset - 1))
    assert any(owner.host == "h.3" for owner in view.owners().values())


def test_owners_do_not_depend_on_times_of_reads():
    """A table read after every record agrees with one read only at the end."""
    random = Random(5)
    view, late = View(), View()
    for n in range(30):
        members = [member.host for member in view.membership.iter_members()]
        if len(members) > 2 and random.random() < 0.5:
            view.apply(SessionClosed(random.choice(members)))
            late.apply(SessionClosed(get_last_departed_host(view)))
        else:
            view.join(f"h.{n}")
            late.join(f"h.{n}")
        view.owners()
    assert view.owners() == late.owners()


def get_last_departed_host(view):
    return view.membership.view.departures[-1].host


def expel_fast(view, host, by, now):
    at = view.offset
    for accuser in by:
        view.apply(Accused(host, accuser, at), now=now)


def expel_slowly(view, host, by, now):
    view.apply(Accused(host, by, view.offset), now=now)
    view.apply(Expelled(host, view.offset, by), now=now)


def make_successor():
    """Return the view of ``b.1``, one of three voters, before ``a.1`` departs."""
    view = View(host="b.1")
    for host in ("a.1", "b.1", "c.1"):
        view.join(host)
        for member in list(view.membership.iter_members()):
            view.apply(ViewAcknowledged(member.host, view.offset))
    for _ in range(3):
        for member in list(view.membership.iter_members()):
            view.apply(ViewAcknowledged(member.host, view.offset))
    assert len(view.membership.view.voters) == 3
    return view


def find_key(view, host):
    return next(key for key, owner in view.owners().items() if owner.host == host)


def find_inherited_key(view, successor):
    """Return a key that `successor` has owned only since the last record."""
    owned = [key for key, owner in view.owners().items() if owner.host == successor]
    return next(key for key in owned if view.table.get_owner(key).epoch == view.offset)


@pytest.mark.parametrize(
    ("end", "wait_s"),
    [
        ("closed", 0.0),
        ("fast", SETTINGS.fast_wait_s),
        ("slow", SETTINGS.slow_wait_s),
        ("removed", 0.0),
    ],
)
def test_successor_waits_according_to_departure(end, wait_s):
    view = make_successor()
    start = 50.0
    if end == "closed":
        view.apply(SessionClosed("a.1"), now=start)
    elif end == "fast":
        expel_fast(view, "a.1", ["b.1", "c.1"], start)
    elif end == "slow":
        expel_slowly(view, "a.1", "b.1", start)
    else:
        view.apply(HostRemoved("a.1", "operator"), now=start)
    key = find_inherited_key(view, "b.1")

    def held(now):
        view.membership.note_log_read(sent_at=now, now=now)
        return view.table.get_held_epoch(key, now=now)

    if wait_s:
        assert held(start + wait_s - 0.01) is None
    assert held(start + wait_s + 0.01) == view.offset


def test_removal_by_operator_ends_slow_wait():
    view = make_successor()
    expel_slowly(view, "a.1", "b.1", 50.0)
    key = find_inherited_key(view, "b.1")
    epoch = view.offset
    view.apply(HostRemoved("a.1", "operator"), now=51.0)
    view.membership.note_log_read(sent_at=51.0, now=51.0)
    assert view.table.get_held_epoch(key, now=51.0) == epoch
    assert "a.1" not in view.table.iter_possible_holders(now=51.0)


def test_keys_are_relinquished_when_acknowledgement_is_sent():
    view = make_successor()
    before = view.owners()
    view.apply(SessionOpened("d.1", "x", "d"), now=60.0)
    view.membership.note_log_read(sent_at=60.0, now=60.0)
    view.membership.tick(now=60.0)
    view.membership.tick(now=60.1)
    assert view.membership.acknowledged_offset == view.offset
    held = {
        key
        for key, owner in before.items()
        if owner.host == "b.1" and view.table.get_held_epoch(key, now=60.1) is not None
    }
    for host in ("a.1", "b.1", "c.1"):
        view.apply(ViewAcknowledged(host, view.offset), now=60.2)
    after = view.owners()
    owned = {key for key, owner in before.items() if owner.host == "b.1"}
    assert held == {key for key in owned if after[key].host == "b.1"}
    assert held < owned


def test_unconfirmed_host_holds_no_key():
    view = make_successor()
    view.membership.note_log_read(sent_at=10.0, now=10.0)
    key = find_key(view, "b.1")
    assert view.table.get_held_epoch(key, now=11.9) is not None
    assert view.table.get_held_epoch(key, now=12.1) is None


def test_released_keys_move_and_host_stays_possible_holder():
    view = View("b.1")
    view.join("a.1")
    view.join("b.1")
    view.membership.note_log_read(sent_at=1.0, now=1.0)
    before = view.owners()
    view.apply(KeysReleased("a.1"), now=1.0)
    released_at = view.offset
    for key, owner in view.owners().items():
        assert owner.host == "b.1"
        is_moved = before[key].host == "a.1"
        assert owner.epoch == (released_at if is_moved else before[key].epoch)
        assert view.table.get_held_epoch(key, now=1.0) == owner.epoch
    assert "a.1" in view.table.iter_possible_holders(now=1.0)
    view.apply(SessionClosed("a.1"), now=1.0)
    assert {owner.epoch for owner in view.owners().values()} <= {
        released_at,
        *(owner.epoch for owner in before.values()),
    }
    assert list(view.table.iter_possible_holders(now=1.0)) == ["b.1"]


def test_host_stops_acting_on_released_keys_before_record_is_read():
    view = View("a.1")
    view.join("a.1")
    view.join("b.1")
    view.membership.note_log_read(sent_at=1.0, now=1.0)
    owned = [key for key, owner in view.owners().items() if owner.host == "a.1"]
    assert view.table.get_held_epoch(owned[0], now=1.0) is not None
    assert view.membership.release_keys(now=1.0)
    assert view.table.get_held_epoch(owned[0], now=1.0) is None
    assert view.membership.is_confirmed(now=1.0)


def test_last_of_several_releasing_hosts_keeps_its_keys():
    view = View("b.1")
    for host in ("a.1", "b.1"):
        view.join(host)
    view.membership.note_log_read(sent_at=1.0, now=1.0)
    view.membership.release_keys(now=1.0)
    view.apply(KeysReleased("a.1"), KeysReleased("b.1"), now=1.0)
    view.membership.tick(now=1.1)
    assert view.table.get_held_epoch(KEYS[0], now=1.1) is not None
    view.join("c.1", now=1.2)
    before = view.owners()
    view.apply(KeysReleased("b.1"), now=1.3)
    assert view.owners() == before
    assert {owner.host for owner in before.values()} == {"b.1", "c.1"}


def test_only_member_keeps_its_keys():
    view = View("a.1")
    view.join("a.1")
    view.membership.note_log_read(sent_at=1.0, now=1.0)
    view.membership.release_keys(now=1.0)
    assert view.table.get_held_epoch(KEYS[0], now=1.0) is not None
