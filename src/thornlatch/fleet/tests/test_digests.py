"""Aggregation of peers' digests in a host's view."""

from dataclasses import fields, replace

import msgspec
import pytest

from thornlatch.core import Envelope, decode_envelope, encode_envelope, encode_message
from thornlatch.fleet import (
    DomainDigest,
    DomainSpending,
    HeldTarget,
    HostDigest,
    PeerView,
    PeerViewSettings,
    ResidentAdapter,
    TargetLimit,
    TargetPace,
    WorkSum,
)
from thornlatch.fleet._digests import LEAVING_LIMIT
from thornlatch.fleet._domain_messages import merge_leaving, sum_work
from thornlatch.fleet._domain_relay import DomainRelay


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


def decode_edited(message, edit):
    fields = msgspec.msgpack.decode(encode_message(message))
    body = msgspec.msgpack.encode(edit(fields))
    return decode_envelope(encode_envelope(Envelope("a", 1, message), body)).message


FIELDS = [item.name for item in fields(HostDigest)]
SPENDING = DomainSpending("z", "a", 1.0, (), {}, {})


def test_digests_of_hosts_that_know_no_leaving_targets_are_read():
    digest_sent = replace(digest(1), leaving=(("t", 5),))
    # The fields that came with it and after it.
    decoded = decode_edited(
        digest_sent, lambda fields: fields[: FIELDS.index("leaving")]
    )
    assert decoded == digest(1)
    domain_digest = DomainDigest(SPENDING, WorkSum(leaving=(("t", 5),)))

    def drop_leaving(fields):
        spending, work = fields
        return [spending, {name: work[name] for name in work if name != "leaving"}]

    decoded = decode_edited(domain_digest, drop_leaving)
    assert decoded == DomainDigest(SPENDING, WorkSum())


def test_digests_of_hosts_that_know_no_limits_are_read():
    limits = (TargetLimit("t", 5, 2.0, 0.1),)
    digest_sent = replace(digest(1), limits=limits, recent_sends={"t": 1})
    decoded = decode_edited(
        digest_sent, lambda fields: fields[: FIELDS.index("limits")]
    )
    assert decoded == digest(1)
    assert decode_edited(digest_sent, lambda fields: fields) == digest_sent


def test_latest_limit_of_a_target_is_reported_with_its_present_age():
    relay = DomainRelay("z", "a", 1.0)
    early, late = TargetLimit("t", 5, 2.0, 0.5), TargetLimit("t", 5, None, 0.1)
    sends = {"t": 2}
    sent = replace(digest(1), limits=(early,), recent_sends=sends)
    relay.apply_digest("a", sent, now=1.0)
    sent = replace(digest(1), limits=(late,), recent_sends=sends)
    relay.apply_digest("b", sent, now=1.0)
    work = relay.build_digest(now=1.2).work
    assert work.limits == (replace(late, age_s=pytest.approx(0.3)),)
    assert work.recent_sends == {"t": 4}
    other = WorkSum(limits=(replace(early, age_s=0.01),), recent_sends=sends)
    fleet = sum_work([work, other])
    assert (fleet.limits[0].rate, fleet.recent_sends) == (2.0, {"t": 6})


def test_digests_of_hosts_that_know_no_paces_are_read():
    digest_sent = replace(digest(1), paces=(TargetPace("t", 5, 3, 4.0),))
    decoded = decode_edited(digest_sent, lambda fields: fields[: FIELDS.index("paces")])
    assert decoded == digest(1)
    assert decode_edited(digest_sent, lambda fields: fields) == digest_sent
    domain_digest = DomainDigest(SPENDING, WorkSum(paces=digest_sent.paces))

    def drop_paces(fields):
        spending, work = fields
        return [spending, {name: work[name] for name in work if name != "paces"}]

    decoded = decode_edited(domain_digest, drop_paces)
    assert decoded == DomainDigest(SPENDING, WorkSum())


def test_relay_reports_the_window_that_counts_with_its_present_age():
    relay = DomainRelay("z", "a", 1.0)
    low, high = TargetPace("t", 5, 3, 2.0, 0.5, 0.4), TargetPace("t", 5, 3, 4.0, 0.1)
    relay.apply_digest("a", replace(digest(1), paces=(high,)), now=1.0)
    relay.apply_digest("b", replace(digest(1), paces=(low,)), now=1.0)
    work = relay.build_digest(now=1.2).work
    merged = replace(low, age_s=pytest.approx(0.7), idle_s=pytest.approx(0.2))
    assert work.paces == (merged,)
    later = TargetPace("t", 5, 4, 4.0)
    assert sum_work([work, WorkSum(paces=(later,))]).paces == (later,)


def test_digests_with_fields_of_later_versions_are_read():
    """It is how hosts of an earlier version read this one's digests."""
    assert decode_edited(digest(1), lambda fields: [*fields, "later"]) == digest(1)
    domain_digest = DomainDigest(SPENDING, WorkSum())

    def add_field(fields):
        spending, work = fields
        return [spending, {**work, "later": 1}]

    assert decode_edited(domain_digest, add_field) == domain_digest


def test_leaving_targets_of_a_fleet_are_bounded():
    parts = [tuple((f"{part}-{n}", 1) for n in range(60)) for part in "ab"]
    merged = merge_leaving(parts)
    assert len(merged) == LEAVING_LIMIT
    assert set(merged) <= {*parts[0], *parts[1]}


def test_digests_of_hosts_that_know_no_demands_are_read():
    digest_sent = replace(digest(1), demands={"shop": 500})
    decoded = decode_edited(
        digest_sent, lambda fields: fields[: FIELDS.index("demands")]
    )
    assert decoded == digest(1)
    assert decode_edited(digest_sent, lambda fields: fields) == digest_sent
    domain_digest = DomainDigest(replace(SPENDING, demands={"shop": 900}), WorkSum())

    def drop_demands(fields):
        spending, work = fields
        return [
            {name: spending[name] for name in spending if name != "demands"},
            work,
        ]

    assert decode_edited(domain_digest, drop_demands) == DomainDigest(
        SPENDING, WorkSum()
    )
