from collections import Counter

import pytest

from thornlatch.membership import MembershipSettings, SessionOpened, ViewFold
from thornlatch.membership._peers import (
    DOMAIN_REACH,
    RING_REACH,
    choose_watched,
)
from thornlatch.membership._suspects import HINTED_FACTOR, Suspects


def make_view(count):
    view = ViewFold(voter_limit=15)
    for number in range(count):
        record = SessionOpened(f"h.{number}", "x", f"domain-{number % 4}")
        view.apply(number, record)
    return view


def choose_all(view, **options):
    return {
        host: choose_watched(host, view, full_mesh_limit=16, **options)
        for host in view.members
    }


def test_watched_all_in_small_fleet():
    watched = choose_all(make_view(16))
    assert all(len(others) == 15 for others in watched.values())


@pytest.mark.parametrize("count", [17, 60, 340])
def test_watched_bounded_and_everybody_watched(count):
    watched = choose_all(make_view(count))
    most = 2 * (RING_REACH + DOMAIN_REACH)
    assert most == 6
    assert all(len(others) <= most for others in watched.values())
    watchers = Counter(host for others in watched.values() for host in others)
    assert min(watchers.values()) >= 4
    assert len(watchers) == count


@pytest.mark.parametrize("count", [17, 60, 340])
def test_watching_is_mutual(count):
    watched = choose_all(make_view(count))
    pairs = {(host, other) for host, others in watched.items() for other in others}
    assert {(other, host) for host, other in pairs} == pairs


def test_watched_accused_by_voters_only():
    view = make_view(60)
    watched = choose_all(view, probed=["h.59", "h.gone"])
    voter = next(iter(view.voters))
    assert "h.59" in watched[voter]
    assert "h.gone" not in watched[voter]
    assert sum("h.59" in others for others in watched.values()) < 10


def test_probed_host_is_suspect_sooner_than_a_usual_one():
    view = make_view(60)
    settings = MembershipSettings()
    host = next(iter(view.voters))
    suspects = Suspects(settings, host)
    suspects.update(view, now=0.0)
    usual = set(suspects.watch.heard_at)
    probed = min(view.members.keys() - usual - {host})
    suspects.note_accused(probed, now=0.0)
    suspects.update(view, now=0.0)
    for peer in usual:
        suspects.watch.note_heard(peer, now=0.1)
    soon = max(settings.suspect_s * HINTED_FACTOR, 2 * settings.heartbeat_s)
    assert suspects.find_suspects(view, now=soon - 0.01) == set()
    assert suspects.get_next_silence() <= soon
    assert suspects.find_suspects(view, now=soon) == {probed}
