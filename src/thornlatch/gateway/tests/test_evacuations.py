"""Evacuated failure domains: requests, loads, log lines and the return of targets."""

import threading
from dataclasses import replace

import logbook
import pytest

from thornlatch.core import read_clock
from thornlatch.exceptions import ErrorKind, RequestRefused
from thornlatch.fleet import Target
from thornlatch.gateway import GatewayMetrics
from thornlatch.gateway._choice import Step, TargetOption
from thornlatch.gateway._evacuations import Evacuations
from thornlatch.gateway._forwarder import Forwarder
from thornlatch.gateway._replication import AdapterReplicator
from thornlatch.gateway._work import WorkTable
from thornlatch.gateway.tests import test_forwarder
from thornlatch.gateway.tests.test_ordering import (
    QueueingExecutor,
    build_call,
    build_load_request,
    build_selector,
    hold,
    manager_and_sent,
    report_other_holder,
)
from thornlatch.residency import ReplicationSettings, Resident

__all__ = ["manager_and_sent"]
AT_ONCE_S = 0.5  # a request that waits does so for 1.3 s


def set_domain(manager, target, domain):
    known = manager.registry.get(target)
    manager.registry.apply(target, replace(known, failure_domain=domain), now=0.0)


def evacuate(manager, *domains):
    manager.registry.set_evacuated(frozenset(domains))
    manager.update_held_targets(now=read_clock())


def build_plain_call():
    call = build_call(read_clock())
    call.request = replace(call.request, model="", adapter="")
    return call


def make_resident(manager, *targets):
    for target in targets:
        manager.residents.apply_holder_report(
            target, {"m/a1": Resident(0, 0.0)}, now=read_clock()
        )


def test_request_goes_to_the_domain_that_is_left(manager_and_sent):
    manager, _ = manager_and_sent
    set_domain(manager, "t2", "y")
    make_resident(manager, "t1", "t2")
    selector = build_selector(manager)
    for evacuated, chosen in [("z", "t2"), ("y", "t1")]:
        evacuate(manager, evacuated)
        assert selector.choose(build_call(read_clock())).target.id == chosen


@pytest.mark.parametrize("is_leaving", [True, False])
@pytest.mark.parametrize("may_have_run", [True, False])
def test_request_without_a_target_elsewhere_is_refused_at_once(
    manager_and_sent, is_leaving, may_have_run
):
    """It waited for a third of its time, as if a target might register."""
    manager, _ = manager_and_sent
    if is_leaving:
        manager.registry.note_leaving(("t1", 1), was_seen=True)
    evacuate(manager, "z")
    call = build_call(read_clock())
    call.may_have_run = may_have_run
    began_at = read_clock()
    with pytest.raises(RequestRefused) as error:
        build_selector(manager).choose(call)
    assert read_clock() - began_at < AT_ONCE_S
    expected = ErrorKind.TARGET_FAILED if may_have_run else ErrorKind.NO_TARGET
    assert error.value.kind is expected


def test_waiting_request_is_refused_once_its_target_is_evacuated(manager_and_sent):
    manager, _ = manager_and_sent
    hold(manager, "t1", "t2")
    timer = threading.Timer(0.05, evacuate, [manager, "z"])
    timer.start()
    began_at = read_clock()
    with pytest.raises(RequestRefused) as error:
        build_selector(manager).choose(build_call(read_clock()))
    assert error.value.kind is ErrorKind.NO_TARGET
    assert 0.04 < read_clock() - began_at < 0.05 + 2 * AT_ONCE_S
    timer.join()


def test_evacuated_targets_get_no_loads(manager_and_sent):
    manager, sent = manager_and_sent
    set_domain(manager, "t2", "y")
    hold(manager, "t1", "t2")
    reports = manager.protocol.reports
    evacuate(manager, "z")
    assert manager.held.keys() == {"t2"}
    manager.request_load(build_load_request("t1"), now=read_clock())
    manager.tick(now=read_clock())
    assert not (manager.protocol.orders or sent)
    assert manager.protocol.reports == reports
    evacuate(manager)
    manager.tick(now=read_clock())
    manager.request_load(build_load_request("t1"), now=read_clock())
    assert [target for target, *_ in manager.protocol.orders] == ["t1"]


def test_load_is_not_requested_of_a_holder_that_may_not_know_yet(manager_and_sent):
    manager, sent = manager_and_sent
    report_other_holder(manager, 1.0)
    evacuate(manager, "z")
    manager.request_load(build_load_request("t1"), now=read_clock())
    assert not sent
    evacuate(manager)
    manager.request_load(build_load_request("t1"), now=read_clock())
    assert sent


def test_order_that_waits_for_a_thread_is_not_sent(manager_and_sent):
    """The evacuation may begin between the choice of an order and its sending."""
    manager, _ = manager_and_sent
    hold(manager, "t1")
    manager.executor = QueueingExecutor()
    manager.request_load(build_load_request(), now=read_clock())
    manager.registry.set_evacuated(frozenset({"z"}))
    for function, *arguments in manager.executor.submitted:
        function(*arguments)
    assert not manager.protocol.orders


@pytest.mark.parametrize("evacuated", ["z", "y"])
def test_nothing_is_copied_from_or_to_an_evacuated_target(manager_and_sent, evacuated):
    manager, _ = manager_and_sent
    set_domain(manager, "t2", "y")
    hold(manager, "t1", "t2")
    make_resident(manager, "t1")
    for _ in range(30):
        manager.work.begin("t1", "m/a1")
    replicator = AdapterReplicator(
        ReplicationSettings(),
        orders=manager,
        registry=manager.registry,
        residents=manager.residents,
        versions=manager.versions,
    )
    evacuate(manager, evacuated)
    replicator.tick(now=read_clock())
    assert not manager.protocol.orders
    replicator.due_at.clear()
    evacuate(manager)
    manager.tick(now=read_clock())
    replicator.tick(now=read_clock())
    assert [target for target, *_ in manager.protocol.orders] == ["t2"]


def build_forwarder(manager, selector):
    forwarder = test_forwarder.build_forwarder(
        health=manager.health, suspects=test_forwarder.build_suspects()
    )
    forwarder.selector = selector
    return forwarder


def test_target_reserved_before_its_evacuation_gets_no_request(
    manager_and_sent, monkeypatch
):
    manager, _ = manager_and_sent
    checked = []
    monkeypatch.setattr(
        Forwarder, "_check_may_send", lambda self, call, **_: checked.append(call)
    )
    set_domain(manager, "t2", "y")
    call = build_plain_call()
    call.next_option = TargetOption(manager.registry.get("t1"), Step.SEND, 0.0, 0.0)
    evacuate(manager, "z")
    forwarder = build_forwarder(manager, build_selector(manager))
    assert forwarder._choose(call).target.id == "t2"
    # The evacuated target's limit isn't used either.
    assert checked == [call]


def test_evacuation_during_the_last_checks_is_noticed(manager_and_sent, monkeypatch):
    manager, _ = manager_and_sent
    set_domain(manager, "t2", "y")
    checked = []

    def check_may_send(self, call, *, is_reserved):
        checked.append(is_reserved)
        evacuate(manager, "z")

    monkeypatch.setattr(Forwarder, "_check_may_send", check_may_send)
    call = build_plain_call()
    call.excluded = {"t2"}
    forwarder = build_forwarder(manager, build_selector(manager))
    assert forwarder._choose(call).target.id == "t2"
    # The retry budget isn't spent twice.
    assert checked == [False, True]


class Bed:
    """Evacuations with a registry of two targets, and the log lines."""

    def __init__(self, registry):
        self.registry = registry
        self.work = WorkTable()
        self.metrics = GatewayMetrics()
        self.returned = []
        self.evacuations = Evacuations(
            registry=registry,
            work=self.work,
            metrics=self.metrics,
            on_domain_returned=self.note_returned,
        )

    def note_returned(self, domain, now):
        self.returned.append((domain, now, len(self.registry.get_ready("llm"))))

    def get_gauge(self):
        return self.metrics.registry.get_sample_value(
            "thornlatch_gateway_evacuated_domains"
        )


@pytest.fixture
def bed(manager_and_sent):
    return Bed(manager_and_sent[0].registry)


def test_beginning_and_end_are_recorded(bed):
    bed.work.begin("t1", "")
    with logbook.TestHandler() as log:
        assert bed.evacuations.begin("z", read_at=4.5, now=5.0)
        assert not bed.evacuations.begin("z", read_at=5.5, now=6.0)
        assert (bed.get_gauge(), bed.registry.get_ready("llm")) == (1, ())
        assert bed.evacuations.end("z", read_at=7.0, now=7.1)
        assert not bed.evacuations.end("z", read_at=8.0, now=8.1)
    fields = {"domain": "z", "targets": 2, "running": 1}
    assert [(record.message, record.extra) for record in log.records] == [
        ("evacuation.began", fields | {"read_age_s": 0.5}),
        ("evacuation.ended", fields | {"read_age_s": 0.1}),
    ]
    assert bed.get_gauge() == 0
    # Its targets become cold before requests can be sent there.
    assert bed.returned == [("z", 7.1, 0)]
    assert len(bed.registry.get_ready("llm")) == 2


def test_evacuation_missing_in_a_restored_store_ends_with_time(bed):
    bed.evacuations.replace_all(frozenset({"z", "y"}), read_at=0.0, now=0.0)
    bed.evacuations.replace_all(frozenset({"y"}), read_at=9.0, now=9.0)
    assert not bed.evacuations.expire(now=12.9)
    assert bed.registry.get_ready("llm") == ()
    assert bed.evacuations.expire(now=13.0)
    assert [domain for domain, *_ in bed.returned] == ["z"]
    assert len(bed.registry.get_ready("llm")) == 2


def test_unknown_domain_is_logged_once_and_kept(bed):
    with logbook.TestHandler() as log:
        for domain in ("z", "no-such", "hosts-only"):
            bed.evacuations.begin(domain, read_at=0.0, now=0.0)
        for _ in range(2):
            bed.evacuations.check_unknown({"hosts-only"})
    unknown = [
        record.extra["domain"]
        for record in log.records
        if record.message == "evacuation.unknown_domain"
    ]
    assert unknown == ["no-such"]
    assert bed.evacuations.is_evacuated("no-such")
    target = Target("t9", "new", "1.2.3.4:5", "no-such", 8)
    bed.registry.apply("t9", target, now=1.0)
    assert bed.registry.get_ready("new") == ()
