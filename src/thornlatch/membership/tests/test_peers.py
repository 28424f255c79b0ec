from collections import Counter

import pytest

from thornlatch.membership import MembershipSettings, MembershipView, SessionOpened
from thornlatch.membership._peers import (
    DOMAIN_NEIGHBOURS_PER_SIDE,
    RING_NEIGHBOURS_PER_SIDE,
    choose_watched,
)
from thornlatch.membership._suspects import EARLY_TIMEOUT_FACTOR, Suspects


def make_view(count):
    view = MembershipView(voter_limit=15)
    for number in range(count):
        record = SessionOpened(f"h.{number}", "x", f"domain-{number % 4}")
        view.apply(number, record)
    return view


def choose_all(view, **options):
    return {
        host: choose_watched(host, view, full_mesh_limit=16, **options)
        for host in view.members
    }


def test_small_fleet_watches_all_members():
    watched = choose_all(make_view(16))
    assert all(len(peers) == 15 for peers in watched.values())


@pytest.mark.parametrize("count", [17, 60, 340])
def test_number_of_watched_members_is_bounded(count):
    watched = choose_all(make_view(count))
    limit = 2 * (RING_NEIGHBOURS_PER_SIDE + DOMAIN_NEIGHBOURS_PER_SIDE)
    assert limit == 6
    assert all(len(peers) <= limit for peers in watched.values())
    watchers = Counter(host for peers in watched.values() for host in peers)
    assert min(watchers.values()) >= 4
    assert len(watchers) == count


@pytest.mark.parametrize("count", [17, 60, 340])
def test_neighbours_watch_each_other(count):
    watched = choose_all(make_view(count))
    pairs = {(host, peer) for host, peers in watched.items() for peer in peers}
    assert {(peer, host) for host, peer in pairs} == pairs


def test_accused_host_is_probed_by_voters_only():
    view = make_view(60)
    watched = choose_all(view, probed=["h.59", "h.absent"])
    voter = next(iter(view.voters))
    assert "h.59" in watched[voter]
    assert "h.absent" not in watched[voter]
    assert sum("h.59" in peers for peers in watched.values()) < 10


def test_probed_host_is_suspect_sooner_than_other_hosts():
    view = make_view(60)
    settings = MembershipSettings()
    host = next(iter(view.voters))
    suspects = Suspects(settings, host)
    suspects.update(view, now=0.0)
    neighbours = set(suspects.watch.heard_at)
    probed = min(view.members.keys() - neighbours - {host})
    suspects.note_accused(probed, now=0.0)
    suspects.update(view, now=0.0)
    for peer in neighbours:
        suspects.watch.note_heard(peer, now=0.1)
    timeout_s = max(settings.suspect_s * EARLY_TIMEOUT_FACTOR, 2 * settings.heartbeat_s)
    assert suspects.find_suspects(view, now=timeout_s - 0.01) == set()
    assert suspects.get_next_timeout() <= timeout_s
    assert suspects.find_suspects(view, now=timeout_s) == {probed}
