"""Choice of routes and services, and freshness of the configuration."""

import pytest

from thornlatch.routing import (
    CallKind,
    Configuration,
    ConfigurationInForce,
    FreshnessSettings,
    Route,
    RouteTable,
    choose_service,
)


def build_route(prefix, host="a.example", services=(("s", 1.0),), **more):
    kind = more.pop("kind", CallKind.IDEMPOTENT)
    return Route(prefix, host, prefix, kind, services, 1.0, 0.1, **more)


TABLE = RouteTable(
    (build_route("/x/"), build_route("/x/y/"), build_route("/", host="b.example"))
    + (build_route("/x/", host="[::1]"),)
)


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("a.example", "/x/1", "/x/"),
        ("a.example:80", "/x/1", "/x/"),
        ("a.example", "/x/y/1", "/x/y/"),
        ("[::1]", "/x/1", "/x/"),
        ("[::1]:80", "/x/1", "/x/"),
        ("[::2]:80", "/x/1", None),
        ("a.example", "/x/y", "/x/"),
        ("a.example", "/xy/1", None),
        ("a.example", "/", None),
        ("b.example", "/any/thing", "/"),
        ("c.example", "/x/1", None),
        ("a.example", "", None),
    ],
)
def test_longest_prefix_wins(host, path, expected):
    matched = TABLE.match(host, path)
    assert (matched.name if matched else None) == expected


def test_requests_are_distributed_by_weight():
    weighted_route = build_route("/x/", services=(("a", 90.0), ("b", 10.0)))
    chosen = [choose_service(weighted_route, str(i)) for i in range(5000)]
    assert 0.07 < chosen.count("b") / len(chosen) < 0.13
    assert choose_service(weighted_route, "7") == choose_service(weighted_route, "7")


@pytest.mark.parametrize(
    ("kind", "is_resumable", "expected"),
    [
        (CallKind.IDEMPOTENT, False, True),
        (CallKind.AT_MOST_ONCE, False, False),
        (CallKind.STREAM, False, False),
        (CallKind.STREAM, True, True),
    ],
)
def test_what_may_be_repeated(kind, is_resumable, expected):
    assert build_route("/", kind=kind, is_resumable=is_resumable).may_repeat is expected


def build_configuration(number):
    return Configuration(number, (), {}, {})


def test_older_version_is_not_installed():
    in_force = ConfigurationInForce(FreshnessSettings())
    assert in_force.install(build_configuration(3))
    assert not in_force.install(build_configuration(2))
    assert in_force.configuration.version == 3
    assert in_force.install(build_configuration(9))


def test_keys_are_rejected_without_confirmation_by_store_and_group():
    in_force = ConfigurationInForce(FreshnessSettings(revocation_s=5.0, margin_s=0.6))
    in_force.confirm(asked_at=10.0)
    assert not in_force.is_fresh(now=10.1)
    in_force.note_renewal(asked_at=10.0)
    assert in_force.is_fresh(now=14.3)
    assert not in_force.is_fresh(now=14.5)
    in_force.confirm(asked_at=14.0)
    assert not in_force.is_fresh(now=14.5)


def test_host_is_not_ready_before_its_configuration_expires():
    in_force = ConfigurationInForce(FreshnessSettings(revocation_s=5.0, margin_s=0.6))
    in_force.confirm(asked_at=10.0)
    in_force.note_renewal(asked_at=10.0)
    assert in_force.is_fresh_for_new_requests(now=12.0)
    assert not in_force.is_fresh_for_new_requests(now=12.3)
    assert in_force.is_fresh(now=12.3)


def build_confirmed(version):
    in_force = ConfigurationInForce(FreshnessSettings(restored_s=1.2))
    in_force.install(build_configuration(version))
    in_force.note_renewal(asked_at=100.0)
    in_force.confirm(asked_at=9.0)
    return in_force


def test_reads_confirm_nothing_until_operators_have_written_again():
    in_force = build_confirmed(7)
    in_force.note_restored(now=10.0)
    in_force.confirm(asked_at=11.1)
    assert in_force.confirmed_at == 9.0
    in_force.confirm(asked_at=11.2)
    assert in_force.confirmed_at == 11.2


def test_version_of_a_restored_store_confirms_nothing_if_a_peer_has_a_newer_one():
    in_force = build_confirmed(6)
    assert in_force.note_published(7)
    assert not in_force.note_published(7)
    in_force.note_restored(now=10.0)
    for asked_at in (12.0, 20.0):
        assert not in_force.install(build_configuration(6))
        in_force.confirm(asked_at=asked_at)
    assert in_force.confirmed_at == 9.0
    assert in_force.install(build_configuration(7))
    in_force.confirm(asked_at=21.0)
    assert in_force.confirmed_at == 21.0


def test_configuration_does_not_revert_to_that_of_a_restored_store():
    in_force = build_confirmed(7)
    in_force.note_restored(now=10.0)
    assert not in_force.install(build_configuration(6))
    assert in_force.version == 7
    in_force.confirm(asked_at=11.5)
    assert in_force.confirmed_at == 11.5
