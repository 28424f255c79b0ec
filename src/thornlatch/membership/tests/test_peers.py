from collections import Counter

import pytest

from thornlatch.membership import SessionOpened, ViewFold
from thornlatch.membership._peers import (
    DOMAIN_REACH,
    RING_REACH,
    choose_watched,
)


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
