"""Aggregation of peers' digests in a host's view."""

from dataclasses import replace

import pytest

from thornlatch.fleet import (
    HeldTarget,
    HostDigest,
    PeerView,
    PeerViewSettings,
    ResidentAdapter,
)


def digest(at, running=(), held=None, names=()):
    return HostDigest(at, running, {}, {}, held, names, False, {})


def held(token, ago_s=1.0):
    return HeldTarget("t", 1, token, ago_s, (ResidentAdapter("m/a", 1),))


def build():
    return PeerView(PeerViewSettings(silent_s=0.45))


def test_requests_of_live_peers_are_summed():
    view = build()
    view.apply_digest("a", digest(1, (("t", "m/a", 2), ("t", "", 1))), now=1.0)
    view.apply_digest("b", digest(1, (("t", "m/a", 3),)), now=1.0)
    assert view.count_peer_requests("t") == 6
    assert view.count_peer_requests_by_adapter("t")["m/a"] == 5
    view.apply_digest("b", digest(2, (("t", "m/a", 1),)), now=2.0)
    assert view.count_peer_requests("t") == 1


def test_digest_older_than_the_latest_is_ignored():
    view = build()
    view.apply_digest("a", digest(2, (("t", "", 1),)), now=1.0)
    view.apply_digest("a", digest(1, (("t", "", 9),)), now=1.1)
    assert view.count_peer_requests("t") == 1


def test_host_with_the_higher_fencing_token_is_the_holder():
    view = build()
    view.apply_digest("a", digest(1, held=(held(5),), names=("t",)), now=1.0)
    view.apply_digest("b", digest(1, held=(held(7),), names=("t",)), now=1.0)
    view.apply_digest("a", digest(2, names=("t",)), now=1.1)
    assert view.get_holder("t", now=1.1) == "b"


def test_silent_holder_is_not_returned():
    view = build()
    view.apply_digest("a", digest(1, held=(held(5),), names=("t",)), now=1.0)
    assert view.get_holder("t", now=1.4) == "a"
    assert view.get_holder("t", now=1.5) is None


def test_forgotten_host_is_not_live():
    view = build()
    view.apply_digest("a", digest(1), now=1.0)
    view.forget("a")
    assert view.list_live(now=1.0) == []


def test_recent_prompt_tokens_of_peers_decay():
    view = build()
    for host in ("a", "b"):
        sent = replace(digest(1), prompts={"t": 1000})
        view.apply_digest(host, sent, now=1.0)
    assert view.get_recent_prompt_tokens("t", now=1.0) == pytest.approx(2000)
    assert view.get_recent_prompt_tokens("t", now=1.3) == pytest.approx(
        2000 / 2.718, rel=0.01
    )
    assert view.get_recent_prompt_tokens("other", now=1.0) == 0


def test_live_peers_that_a_target_failed_are_counted():
    view = build()
    view.apply_digest("a", replace(digest(1), avoided=("t",)), now=1.0)
    view.apply_digest("b", replace(digest(1), avoided=("t", "u")), now=1.0)
    assert (view.count_peers_avoiding("t"), view.count_peers_avoiding("u")) == (2, 1)
    view.apply_digest("b", digest(2), now=2.0)
    assert view.count_peers_avoiding("t") == 0
