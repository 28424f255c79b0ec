"""Allowed regions of routes and organisations, as of the moment of each choice."""

import threading
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thornlatch.core import read_clock
from thornlatch.exceptions import ANSWERS, ErrorKind, Execution, RequestRefused
from thornlatch.fleet import Target
from thornlatch.gateway._choice import Step, TargetOption
from thornlatch.gateway._forwarder import Forwarder
from thornlatch.gateway._regions import RegionPolicy
from thornlatch.gateway.tests.test_evacuations import (
    AT_ONCE_S,
    build_forwarder,
    build_plain_call,
    evacuate,
    make_resident,
)
from thornlatch.gateway.tests.test_ordering import (
    build_selector,
    hold,
    manager_and_sent,
)
from thornlatch.routing import (
    Configuration,
    ConfigurationInForce,
    FreshnessSettings,
    Organisation,
)

__all__ = ["manager_and_sent"]
REGIONS = {"z-eu": "eu", "z-us": "us", "z-asia": "asia"}
SHOP = Organisation("shop", frozenset({"k"}), None, 0.0, 0.0)
NAMES = st.frozensets(st.sampled_from(["eu", "us", "asia", "moon"]))


def install(manager, call, version, *, route=(), organisation=()):
    """Bring a configuration into force, also as that of the request at first."""
    restricted_route = replace(call.route, regions=frozenset(route))
    shop = replace(SHOP, regions=frozenset(organisation))
    services = manager.in_force.configuration.services
    manager.in_force.install(
        Configuration(version, (restricted_route,), services, {"shop": shop})
    )
    if call.organisation is None:
        call.route, call.organisation = restricted_route, shop


def register(manager, *domains):
    """Replace the targets by one in each domain, named after it."""
    for name in list(manager.registry.targets):
        manager.registry.apply(name, None, now=0.0)
    for domain in domains:
        target = Target(domain, "llm", "1.2.3.4:5", domain, 8, started_ms=1)
        manager.registry.apply(domain, target, now=0.0)


@pytest.fixture
def bed(manager_and_sent):
    manager, _ = manager_and_sent
    register(manager, *REGIONS, "z-unlisted")
    call = build_plain_call()
    return manager, call, build_selector(manager, REGIONS)


def list_choices(selector, call):
    """Return the targets chosen one after the other, each time without the former."""
    chosen = []
    while True:
        call.excluded = set(chosen)
        options = selector.list_startable(call, "", within_s=0.0, now=read_clock())
        if not options:
            return set(chosen)
        chosen.append(options[0].target.id)


@given(
    old=st.tuples(NAMES, NAMES),
    new=st.tuples(NAMES, NAMES),
    domain=st.sampled_from([*REGIONS, "z-unlisted"]),
)
def test_both_restrictions_of_the_configuration_in_force_apply(old, new, domain):
    in_force = ConfigurationInForce(FreshnessSettings())
    call = build_plain_call()
    for version, (route, organisation) in enumerate([old, new], 1):
        restricted_route = replace(call.route, regions=route)
        shop = replace(SHOP, regions=organisation)
        in_force.install(
            Configuration(version, (restricted_route,), {}, {"shop": shop})
        )
        if version == 1:
            call.route, call.organisation = restricted_route, shop
    policy = RegionPolicy(REGIONS, in_force=in_force)
    target = Target("t", "llm", "1.2.3.4:5", domain, 8)
    region = REGIONS.get(domain)
    expected = all(not regions or region in regions for regions in new)
    assert policy.is_allowed(target, policy.get_allowed(call)) is expected


@pytest.mark.parametrize(
    ("route", "organisation", "expected"),
    [
        ((), (), {"z-eu", "z-us", "z-asia", "z-unlisted"}),
        (("eu", "us"), (), {"z-eu", "z-us"}),
        ((), ("eu", "us", "asia"), {"z-eu", "z-us", "z-asia"}),
        (("eu", "us"), ("us", "asia"), {"z-us"}),
        (("eu", "moon"), ("moon", "eu"), {"z-eu"}),
    ],
)
def test_only_targets_of_allowed_regions_are_chosen(bed, route, organisation, expected):
    manager, call, selector = bed
    install(manager, call, 2, route=route, organisation=organisation)
    assert list_choices(selector, call) == expected


@pytest.mark.parametrize(
    ("route", "organisation"), [(("moon",), ()), (("eu",), ("us",)), ((), ("moon",))]
)
@pytest.mark.parametrize("may_have_run", [True, False])
def test_request_without_a_target_in_its_regions_is_refused_at_once(
    bed, route, organisation, may_have_run
):
    manager, call, selector = bed
    install(manager, call, 2, route=route, organisation=organisation)
    call.may_have_run = may_have_run
    began_at = read_clock()
    with pytest.raises(RequestRefused) as error:
        selector.choose(call)
    assert read_clock() - began_at < AT_ONCE_S
    if may_have_run:
        # Its caller mustn't conclude that it hasn't run.
        assert error.value.kind is ErrorKind.TARGET_FAILED
        return
    assert error.value.kind is ErrorKind.REGION_UNAVAILABLE
    answer = ANSWERS[error.value.kind]
    assert (answer.status, answer.execution, answer.retry) == (
        503,
        Execution.NOT_RUN,
        True,
    )


def test_evacuated_target_of_the_only_allowed_region_is_named_as_the_reason(bed):
    manager, call, selector = bed
    install(manager, call, 2, route=["eu"])
    evacuate(manager, "z-eu")
    with pytest.raises(RequestRefused, match="evacuated") as error:
        selector.choose(call)
    assert error.value.kind is ErrorKind.NO_TARGET


@pytest.mark.parametrize(
    ("regions", "expected"),
    [((), "z-us"), (("us",), "z-us"), (("moon",), ErrorKind.REGION_UNAVAILABLE)],
)
def test_regions_that_change_apply_to_a_waiting_request(bed, regions, expected):
    """It was bound to the configuration under which it was admitted."""
    manager, call, selector = bed
    register(manager, "z-us", "z-eu")
    install(manager, call, 2, organisation=["eu"])
    manager.registry.note_leaving(("z-eu", 1), was_seen=True)
    timer = threading.Timer(
        0.05, install, [manager, call, 3], {"organisation": regions}
    )
    timer.start()
    began_at = read_clock()
    if isinstance(expected, str):
        assert selector.choose(call).target.id == expected
    else:
        with pytest.raises(RequestRefused) as error:
            selector.choose(call)
        assert error.value.kind is expected
    assert read_clock() - began_at > 0.04
    timer.join()


def test_regions_that_change_after_the_choice_apply_to_the_send(bed, monkeypatch):
    manager, call, selector = bed
    install(manager, call, 2, route=["eu"])
    call.next_option = TargetOption(manager.registry.get("z-us"), Step.SEND, 0.0, 0.0)

    def check_may_send(self, call, *, is_reserved):
        install(manager, call, 3, route=["asia"])

    monkeypatch.setattr(Forwarder, "_check_may_send", check_may_send)
    assert build_forwarder(manager, selector)._choose(call).target.id == "z-asia"


def test_key_that_moved_is_bound_to_its_new_organisation(bed):
    manager, call, selector = bed
    install(manager, call, 2, organisation=["eu"])
    services = manager.in_force.configuration.services
    former = replace(SHOP, keys=frozenset({"x"}), regions=frozenset({"eu"}))
    other = replace(SHOP, name="other", regions=frozenset({"asia"}))
    organisations = {"shop": former, "other": other}
    manager.in_force.install(Configuration(3, (call.route,), services, organisations))
    assert list_choices(selector, call) == {"z-asia"}


def test_route_and_organisation_that_are_gone_keep_their_regions(bed):
    manager, call, selector = bed
    install(manager, call, 2, route=["eu", "us"], organisation=["us"])
    services = manager.in_force.configuration.services
    manager.in_force.install(Configuration(3, (), services, {}))
    assert list_choices(selector, call) == {"z-us"}


def test_load_elsewhere_can_t_replace_that_in_an_allowed_region(bed):
    """A holder drops a queued load if another target begins to load the adapter."""
    manager, call, selector = bed
    call.request = replace(call.request, model="m", adapter="m/a1")
    hold(manager, "z-eu", "z-us")
    make_resident(manager, "z-us")
    install(manager, call, 2, route=["eu"])
    assert set(selector._list_unusable(call, read_clock())) == {
        "z-us",
        "z-asia",
        "z-unlisted",
    }
    assert {
        option.target.id for option in selector._list_options(call, {}, read_clock())
    } == {"z-eu"}


def test_configuration_without_regions_costs_nothing(bed, monkeypatch):
    manager, call, selector = bed
    install(manager, call, 2)
    # Neither are routes matched nor targets copied.
    monkeypatch.setattr(type(manager.in_force.table), "match", None)
    assert selector._list_ready(call) is manager.registry.get_ready("llm")
