"""Holding of targets, orders, and load requests that are forwarded or dropped."""

import threading
from random import Random

import logbook
import pytest

from thornlatch.core import read_clock
from thornlatch.exceptions import ErrorKind, RequestRefused, TargetError
from thornlatch.fleet import (
    HeldTarget,
    HostDigest,
    LoadedModel,
    LoadRequested,
    PeerView,
    PeerViewSettings,
    RegistrySettings,
    Target,
    TargetNotice,
    TargetRegistry,
)
from thornlatch.gateway import CallerRequest, GatewayMetrics, OrderReply, _selector
from thornlatch.gateway._call import Call
from thornlatch.gateway._health import RETURN_SPREAD_LIMIT_S, TargetHealth
from thornlatch.gateway._ordering import OrderManager
from thornlatch.gateway._pacing import PromptPacing
from thornlatch.gateway._regions import RegionPolicy
from thornlatch.gateway._replication import AdapterReplicator
from thornlatch.gateway._selector import TargetSelector
from thornlatch.gateway._settings import ForwardingSettings
from thornlatch.gateway._work import RunningRequest, WorkTable
from thornlatch.residency import (
    AdapterVersions,
    EngineReport,
    HolderSettings,
    LoadAdapter,
    OrderOutcome,
    ReplicationSettings,
    Resident,
    ResidentTable,
    Tenure,
    TenureSettings,
    VersionSettings,
)
from thornlatch.routing import (
    CallKind,
    Configuration,
    ConfigurationInForce,
    EngineLimits,
    FreshnessSettings,
    ModelSize,
    Route,
    Service,
)

LIMITS = EngineLimits(8, 1000, 1300.0, 3, (ModelSize("m", 1000.0, 0.6, 10.0),), 4.0)


class FakeProtocol:
    """Answers every order with a configured outcome."""

    def __init__(self):
        self.outcome = OrderOutcome.ACCEPTED
        self.orders = []
        self.order_notice = TargetNotice()
        self.report_notice = TargetNotice()
        self.fails_reports = False
        self.reports = 0

    def send_order(self, address, target, order, fencing_token):
        self.orders.append((target, order, fencing_token))
        return OrderReply(self.outcome, notice=self.order_notice)

    def read_report(self, address, target):
        self.reports += 1
        if self.fails_reports:
            raise TargetError("503", is_sent=True, notice=self.report_notice)
        models = (LoadedModel("m", 1),)
        return EngineReport(0, models, (), False, 0, 0, 1, self.report_notice)


class InlineExecutor:
    """Runs submitted functions immediately."""

    def submit(self, function, *arguments):
        function(*arguments)


class QueueingExecutor:
    """Keeps submitted functions with their arguments."""

    def __init__(self):
        self.submitted = []

    def submit(self, function, *arguments):
        self.submitted.append((function, *arguments))


@pytest.fixture
def manager_and_sent():
    in_force = ConfigurationInForce(FreshnessSettings())
    service = Service("llm", "/h", 10, LIMITS)
    in_force.install(Configuration(1, (), {"llm": service}, {}))
    registry = TargetRegistry(RegistrySettings())
    for name in ("t1", "t2"):
        target = Target(name, "llm", "1.2.3.4:5", "z", 8, started_ms=1)
        registry.apply(name, target, now=0.0)
    sent = []
    manager = OrderManager(
        HolderSettings(),
        partitions=12,
        protocol=FakeProtocol(),
        in_force=in_force,
        registry=registry,
        peers=PeerView(PeerViewSettings()),
        versions=AdapterVersions(VersionSettings()),
        residents=ResidentTable(),
        tenure=Tenure(TenureSettings(lease_s=3.0)),
        work=WorkTable(),
        health=TargetHealth(ForwardingSettings()),
        metrics=GatewayMetrics(),
        send=lambda host, message: sent.append((host, message)),
        send_digest_now=lambda: None,
    )
    manager.executor = InlineExecutor()
    return manager, sent


def hold(manager, *names, generation=5):
    partitions = frozenset(manager.get_partition(name) for name in names)
    manager.tenure.renew(partitions, generation, asked_at=read_clock())
    manager.update_held_targets(now=read_clock())
    manager.tick(now=read_clock())


def report_other_holder(manager, ordered_ago_s, *, received_ago_s=0.0, target="t1"):
    held = HeldTarget(target, 1, 4, ordered_ago_s, ())
    digest = HostDigest(1.0, (), {}, {}, (held,), (target,), False, {})
    manager.peers.apply_digest("other", digest, now=read_clock() - received_ago_s)


def build_load_request(target="t1", adapter="m/a1", **more):
    return LoadRequested(target, adapter, 0, 1, **more)


def test_requested_load_is_ordered_with_the_fencing_token_of_the_tenure(
    manager_and_sent,
):
    manager, _ = manager_and_sent
    hold(manager, "t1")
    manager.request_load(build_load_request(), now=read_clock())
    target, numbered, token = manager.protocol.orders[0]
    assert (target, numbered.order) == ("t1", LoadAdapter("m", "a1", 0))
    assert (numbered.expected, token) == (0, 5)
    assert manager.residents.get("t1", "m/a1") is not None


def list_ready(manager):
    return {target.id for target in manager.registry.get_ready("llm")}


@pytest.mark.parametrize("fails_reports", [True, False])
def test_target_that_announces_its_leaving_in_a_report_is_released(
    manager_and_sent, fails_reports
):
    manager, _ = manager_and_sent
    manager.protocol.fails_reports = fails_reports
    manager.protocol.report_notice = TargetNotice(is_leaving=True)
    hold(manager, "t1")
    assert list_ready(manager) == {"t2"}
    assert "t1" not in manager.held


@pytest.mark.parametrize("outcome", OrderOutcome)
def test_target_that_announces_its_leaving_in_answer_to_an_order_gets_no_more(
    manager_and_sent, outcome
):
    manager, _ = manager_and_sent
    hold(manager, "t1")
    manager.protocol.outcome = outcome
    manager.protocol.order_notice = TargetNotice(is_leaving=True, started_ms=1)
    manager.request_load(build_load_request(), now=read_clock())
    manager.request_load(build_load_request(adapter="m/a2"), now=read_clock())
    assert len(manager.protocol.orders) == 1
    assert list_ready(manager) == {"t2"}


def test_announced_leaving_of_another_incarnation_is_ignored(manager_and_sent):
    manager, _ = manager_and_sent
    notice = TargetNotice(is_leaving=True, started_ms=2)
    manager.protocol.order_notice = manager.protocol.report_notice = notice
    hold(manager, "t1")
    manager.request_load(build_load_request(), now=read_clock())
    assert list_ready(manager) == {"t1", "t2"}


def end_pause(manager, target):
    manager.health.observations[target].paused_until = read_clock()


@pytest.mark.parametrize("outcome", OrderOutcome)
def test_target_that_asks_for_a_pause_gets_no_orders_until_its_end(
    manager_and_sent, outcome
):
    manager, _ = manager_and_sent
    hold(manager, "t1")
    manager.protocol.outcome = outcome
    manager.protocol.order_notice = TargetNotice(pause_s=30.0)
    adapters = ("m/a1", "m/a2")
    for adapter in adapters:
        manager.held["t1"].planner.request_load(
            adapter, 0, priority=1, now=read_clock(), due_s=9.0, useful_s=9.0
        )
    for _ in range(3):
        manager.tick(now=read_clock())
    manager.request_load(build_load_request(adapter="m/a3"), now=read_clock())
    assert len(manager.protocol.orders) == 1
    assert manager.residents.place_at["t1"] > read_clock() + 29
    if outcome is OrderOutcome.ACCEPTED:
        end_pause(manager, "t1")
        manager.tick(now=read_clock())
        assert len(manager.protocol.orders) == 2


def test_target_that_asks_for_a_pause_is_asked_for_no_report_until_its_end(
    manager_and_sent,
):
    manager, _ = manager_and_sent
    protocol = manager.protocol
    protocol.fails_reports, protocol.report_notice = True, TargetNotice(pause_s=30.0)
    hold(manager, "t1")
    assert protocol.reports == 1
    manager.held["t1"].planner.report_due_at = float("-inf")
    manager.tick(now=read_clock())
    assert protocol.reports == 1
    protocol.fails_reports, protocol.report_notice = False, TargetNotice()
    end_pause(manager, "t1")
    manager.tick(now=read_clock())
    assert protocol.reports == 2


def test_orders_respect_the_pause_that_a_request_was_answered_with(manager_and_sent):
    manager, _ = manager_and_sent
    manager.health.note_pause("t1", 30.0, now=read_clock())
    hold(manager, "t1")
    assert manager.protocol.reports == 0
    manager.request_load(build_load_request(), now=read_clock())
    assert not manager.protocol.orders


def test_reports_contain_changed_targets_and_periodically_all(manager_and_sent):
    """Reporting all held targets in each digest took a third of the hosts' time."""
    manager, _ = manager_and_sent
    hold(manager, "t1", "t2")
    now = read_clock()

    def list_reported(after_s):
        report = manager.build_held_report(now=now + after_s)
        return None if report is None else {held.target for held in report}

    assert list_reported(0.0) == {"t1", "t2"}
    assert list_reported(0.1) is None
    manager.request_load(build_load_request("t2"), now=now)
    assert list_reported(0.2) == {"t2"}
    assert list_reported(0.3) is None
    assert list_reported(1.1) == {"t1", "t2"}


def test_holder_notifies_the_requesting_host_of_the_expected_load(manager_and_sent):
    """In a large fleet, digests take longer than the load of a former adapter."""
    manager, sent = manager_and_sent
    hold(manager, "t1")
    manager.request_load(build_load_request(), now=read_clock(), requester="other")
    ((host, message),) = sent
    assert (host, message.target, message.adapter.name) == ("other", "t1", "m/a1")
    assert 0.1 < message.adapter.ready_in_s < 0.4
    manager.request_load(build_load_request(), now=read_clock(), requester="third")
    assert sent[1][0] == "third"


def test_requesting_host_is_notified_of_the_queue_and_once_its_load_leaves_it(
    manager_and_sent,
):
    """A host without a word requested the adapter at one target after another."""
    manager, sent = manager_and_sent
    hold(manager, "t1")
    for adapter in ("m/a1", "m/a2", "m/a3"):
        requester = "" if adapter == "m/a1" else "other"
        manager.request_load(
            build_load_request(adapter=adapter), now=read_clock(), requester=requester
        )
    assert [(m.adapter.name, m.adapter.is_queued) for _, m in sent] == [
        ("m/a2", False),
        ("m/a3", True),
    ]
    assert sent[1][1].adapter.ready_in_s > HolderSettings().adapter_load_s
    planner = manager.held["t1"].planner
    for state in planner.adapters.values():
        state.ready_at = read_clock()
    manager.tick(now=read_clock())
    manager.tick(now=read_clock())
    assert [(m.adapter.name, m.adapter.is_queued) for _, m in sent[2:]] == [
        ("m/a3", False)
    ]


def test_held_targets_are_listed_while_another_thread_releases_one(
    manager_and_sent, monkeypatch
):
    """The digest that lists them is built by another thread than the renewal's."""
    manager, _ = manager_and_sent
    hold(manager, "t1", "t2")
    is_held = manager.is_held

    def release_meanwhile(target, *, now):
        if target == "t1":
            manager.tenure.renew(frozenset(), 6, asked_at=read_clock())
            manager.update_held_targets(now=read_clock())
        return is_held(target, now=now)

    monkeypatch.setattr(manager, "is_held", release_meanwhile)
    assert manager.list_held() == ()


class SwitchingLock:
    """A lock after whose release another thread runs first, once `is_due`."""

    def __init__(self, is_due, run_other_thread):
        self.is_due = is_due
        self.run_other_thread = run_other_thread
        self.lock = threading.Lock()
        self.has_switched = False

    def __enter__(self):
        self.lock.acquire()

    def __exit__(self, *details):
        is_due = not self.has_switched and self.is_due()
        self.lock.release()
        if is_due:
            self.has_switched = True
            self.run_other_thread()


def test_order_requested_as_a_sender_ends_has_one_sender(manager_and_sent):
    """Two senders would send the same numbered order to a target twice."""
    manager, _ = manager_and_sent
    hold(manager, "t1")
    held = manager.held["t1"]
    executor = QueueingExecutor()

    def request_another():
        manager.executor = executor
        manager.request_load(build_load_request(adapter="m/a2"), now=read_clock())

    def has_sender_ended():
        return bool(manager.protocol.orders) and not held.is_sending

    held.lock = SwitchingLock(has_sender_ended, request_another)
    manager.request_load(build_load_request(), now=read_clock())
    assert len(manager.protocol.orders) == 1
    assert held.lock.has_switched
    assert len(executor.submitted) == 1
    manager.tick(now=read_clock())
    assert len(executor.submitted) == 1


def test_lost_partition_is_not_taken_up_again_by_an_update_under_way(
    manager_and_sent,
):
    """The store's renewals and the ticks update the held targets in two threads."""
    manager, _ = manager_and_sent
    hold(manager, "t1")
    lock = manager.lock

    class PrecededLock:
        """Lets the thread of the renewals run before the lock is taken."""

        def __enter__(self):
            manager.lock = lock
            manager.tenure.renew(frozenset(), 6, asked_at=read_clock())
            manager.update_held_targets(now=read_clock())
            lock.acquire()

        def __exit__(self, *details):
            lock.release()

    manager.lock = PrecededLock()
    manager.update_held_targets(now=read_clock())
    assert manager.held == {}


def test_sender_of_a_released_target_ends_without_an_error(manager_and_sent):
    """The target may be released between the request for a load and its order."""
    manager, _ = manager_and_sent
    hold(manager, "t1")
    manager.executor = QueueingExecutor()
    manager.request_load(build_load_request(), now=read_clock())
    manager.registry.apply("t1", None, now=read_clock())
    manager.update_held_targets(now=read_clock())
    assert "t1" not in manager.held
    ((send_orders, held),) = manager.executor.submitted
    with logbook.TestHandler() as log:
        send_orders(held)
    assert not log.records
    assert not manager.protocol.orders


def test_target_changed_without_a_token_is_reported_once_there_is_one(
    manager_and_sent,
):
    manager, _ = manager_and_sent
    hold(manager, "t1", "t2")
    now = read_clock()
    manager.build_held_report(now=now)
    manager.request_load(build_load_request("t2"), now=now)
    manager.tenure.renew(frozenset(), 6, asked_at=now)
    assert manager.build_held_report(now=now + 0.1) is None
    partitions = frozenset(manager.get_partition(name) for name in ("t1", "t2"))
    manager.tenure.renew(partitions, 7, asked_at=now)
    assert [held.target for held in manager.build_held_report(now=now + 0.2)] == ["t2"]


@pytest.mark.parametrize("was_missing", [True, False])
@pytest.mark.parametrize("unusable", [(), ("t2",)])
def test_queued_load_is_dropped_once_another_target_loads_the_adapter(
    manager_and_sent, was_missing, unusable
):
    """Nearly half of all loads were meant for requests that had begun elsewhere."""
    manager, _ = manager_and_sent
    hold(manager, "t1")
    for adapter in ("m/a1", "m/a2"):
        manager.request_load(build_load_request(adapter=adapter), now=read_clock())
    manager.request_load(
        build_load_request(adapter="m/a3", was_missing=was_missing, unusable=unusable),
        now=read_clock(),
    )
    queued = {"m/a3": Resident(0, read_clock() + 1.0, is_queued=True)}
    manager.residents.apply_holder_report("t2", queued, now=read_clock())
    manager.tick(now=read_clock())
    assert "m/a3" in manager.held["t1"].planner.requested
    started = {"m/a3": Resident(0, read_clock() + 0.2)}
    manager.residents.apply_holder_report("t2", started, now=read_clock())
    manager.tick(now=read_clock())
    is_queued = "m/a3" in manager.held["t1"].planner.requested
    assert is_queued == bool(unusable)


def test_load_request_for_a_target_of_another_holder_is_forwarded(manager_and_sent):
    manager, sent = manager_and_sent
    report_other_holder(manager, 1.0)
    manager.request_load(build_load_request(), now=read_clock())
    assert sent == [("other", build_load_request())]
    assert manager.protocol.orders == []


def test_new_holder_waits_for_the_lease_of_a_live_former_holder(manager_and_sent):
    manager, _ = manager_and_sent
    report_other_holder(manager, 1.0)
    hold(manager, "t1")
    manager.request_load(build_load_request(), now=read_clock())
    assert manager.protocol.orders == []
    left_s = manager.held["t1"].orders_from - read_clock()
    assert 1.5 < left_s <= 2.0


def test_new_holder_waits_for_the_lease_after_the_former_holder_released(
    manager_and_sent,
):
    """Two calm hosts sent orders to a target within a lease as a third one restarted.

    The former holder no longer lists the target by the time that the store assigns it.
    """
    manager, _ = manager_and_sent
    report_other_holder(manager, 1.0)
    digest = HostDigest(2.0, (), {}, {}, (), (), False, {})
    manager.peers.apply_digest("other", digest, now=read_clock())
    hold(manager, "t1")
    manager.request_load(build_load_request(), now=read_clock())
    assert manager.protocol.orders == []
    left_s = manager.held["t1"].orders_from - read_clock()
    assert 1.5 < left_s <= 2.0


def test_last_order_that_is_known_late_delays_the_new_holder_too(manager_and_sent):
    manager, _ = manager_and_sent
    hold(manager, "t1")
    report_other_holder(manager, 0.0)
    manager.request_load(build_load_request(), now=read_clock())
    assert manager.protocol.orders == []
    assert manager.held["t1"].orders_from - read_clock() > 2.5


def test_former_holder_reports_its_last_order_for_the_time_of_a_lease(manager_and_sent):
    manager, _ = manager_and_sent
    hold(manager, "t1")
    manager.request_load(build_load_request(), now=read_clock())
    ordered_at = read_clock()
    manager.tenure.renew(frozenset(), 6, asked_at=ordered_at)
    manager.update_held_targets(now=ordered_at)
    assert manager.list_held() == ()
    (report,) = manager.build_held_report(now=ordered_at + 0.05)
    assert (report.target, report.adapters) == ("t1", ())
    assert report.ordered_ago_s == pytest.approx(0.05, abs=0.05)
    assert len(manager.build_held_report(now=ordered_at + 2.0)) == 1
    assert manager.build_held_report(now=ordered_at + 4.0) == ()


def test_new_holder_does_not_wait_for_a_silent_former_holder(manager_and_sent):
    manager, _ = manager_and_sent
    report_other_holder(manager, 1.0, received_ago_s=2.0)
    hold(manager, "t1")
    manager.request_load(build_load_request(), now=read_clock())
    assert len(manager.protocol.orders) == 1


def test_fenced_holder_sends_no_further_orders(manager_and_sent):
    manager, _ = manager_and_sent
    hold(manager, "t1")
    manager.protocol.outcome = OrderOutcome.FENCED
    manager.request_load(build_load_request(), now=read_clock())
    manager.request_load(build_load_request(adapter="m/a2"), now=read_clock())
    manager.tick(now=read_clock() + 5)
    assert len(manager.protocol.orders) == 1


def test_adapter_requested_by_two_hosts_at_once_is_loaded_once(manager_and_sent):
    manager, _ = manager_and_sent
    hold(manager, "t1", "t2")
    manager.request_load(build_load_request("t1"), now=read_clock())
    manager.request_load(build_load_request("t2"), now=read_clock())
    assert [order[0] for order in manager.protocol.orders] == ["t1"]


def test_adapters_of_a_crashed_target_are_loaded_at_other_targets(manager_and_sent):
    """The registry and the resident table still list a crashed target for seconds."""
    manager, _ = manager_and_sent
    hold(manager, "t1", "t2")
    manager.request_load(build_load_request("t1"), now=read_clock())
    manager.request_load(build_load_request("t2", unusable=("t1",)), now=read_clock())
    assert [order[0] for order in manager.protocol.orders] == ["t1", "t2"]


@pytest.mark.parametrize("has_place", [False, True])
def test_adapter_at_a_paced_target_without_a_place_is_loaded_elsewhere(
    manager_and_sent, has_place
):
    """The holder dropped the load, as a target with free slots has the adapter."""
    manager, _ = manager_and_sent
    hold(manager, "t1", "t2")
    manager.request_load(build_load_request("t1"), now=read_clock())
    pacer, target = manager.health.pacer, manager.registry.get("t1")
    pacer.enable_service("llm")
    pacer.begin(target, is_first_read=False, now=read_clock())
    pacer.states[target.incarnation].window = 2.0 if has_place else 0.5
    pacer.states[target.incarnation].places = int(has_place)
    now = read_clock()
    build_selector(manager).request_load(
        build_call(now), manager.registry.get("t2"), now, was_missing=False
    )
    loaded = ["t1"] if has_place else ["t1", "t2"]
    assert [order[0] for order in manager.protocol.orders] == loaded


def test_adapter_whose_target_has_no_free_slot_gets_a_second_copy(manager_and_sent):
    manager, _ = manager_and_sent
    hold(manager, "t1", "t2")
    manager.request_load(build_load_request("t1"), now=read_clock())
    for _ in range(8):
        manager.work.begin("t1", "m/a1")
    manager.request_load(build_load_request("t2"), now=read_clock())
    assert [order[0] for order in manager.protocol.orders] == ["t1", "t2"]


def test_most_used_adapter_of_a_crowded_target_is_copied_to_the_least_loaded(
    manager_and_sent,
):
    manager, sent = manager_and_sent
    hold(manager, "t1")
    manager.request_load(build_load_request("t1"), now=read_clock())
    report_other_holder(manager, 1.0, target="t2")
    for _ in range(4):
        manager.work.begin("t1", "m/a1")
    replicator = AdapterReplicator(
        ReplicationSettings(),
        orders=manager,
        registry=manager.registry,
        residents=manager.residents,
        versions=manager.versions,
    )
    replicator.tick(now=read_clock())
    replicator.tick(now=read_clock())
    (host, message), *further = sent
    assert (host, message.target, message.adapter) == ("other", "t2", "m/a1")
    assert message.is_copy
    assert not further


def test_request_for_a_copy_is_not_dropped_because_of_the_crowded_target(
    manager_and_sent,
):
    manager, _ = manager_and_sent
    hold(manager, "t1", "t2")
    manager.request_load(build_load_request("t1"), now=read_clock())
    manager.request_load(build_load_request("t2", is_copy=True), now=read_clock())
    assert [order[0] for order in manager.protocol.orders] == ["t1", "t2"]


def test_restarted_target_is_held_with_new_state(manager_and_sent):
    manager, _ = manager_and_sent
    hold(manager, "t1")
    former_state = manager.held["t1"]
    target = Target("t1", "llm", "1.2.3.4:5", "z", 8, started_ms=2)
    manager.registry.apply("t1", target, now=1.0)
    manager.update_held_targets(now=read_clock())
    assert manager.held["t1"] is not former_state


def test_targets_of_a_lost_partition_are_released(manager_and_sent):
    manager, _ = manager_and_sent
    hold(manager, "t1")
    manager.tenure.renew(frozenset(), 6, asked_at=read_clock())
    manager.update_held_targets(now=read_clock())
    assert manager.held == {}


def test_late_load_moves_its_expected_completion(manager_and_sent):
    manager, _ = manager_and_sent
    hold(manager, "t1")
    manager.request_load(build_load_request(), now=read_clock())
    resident = manager.residents.get("t1", "m/a1")
    manager.request_load(
        build_load_request(was_missing=True), now=resident.ready_at + 0.01
    )
    later = manager.residents.get("t1", "m/a1")
    assert isinstance(later, Resident)
    assert later.ready_at > resident.ready_at


def test_holder_that_awaits_a_report_stays_the_holder(manager_and_sent):
    """Otherwise relays would stop telling it which adapters are in use."""
    manager, _ = manager_and_sent
    hold(manager, "t1")
    planner = manager.held["t1"].planner
    now = read_clock()
    planner._invalidate(now)
    assert manager.is_held("t1", now=now + 0.9)
    assert manager.list_held() == ("t1",)
    planner.needs_report(now=now + 0.9)
    # The target answers neither orders nor reports.
    assert not manager.is_held("t1", now=now + 1.1)


def test_request_whose_queued_load_never_begins_is_refused_in_time(
    manager_and_sent, monkeypatch
):
    """On a host cut off from all holders it waited until its deadline, 4 s."""
    manager, _ = manager_and_sent
    clock = [read_clock()]
    monkeypatch.setattr(_selector, "read_clock", lambda: clock[0])

    def wait(adapter, timeout_s):
        clock[0] += timeout_s

    manager.residents.wait = wait
    # Known as queued by its holder's last word, and as held before, so loaded quickly.
    queued = {"m/a1": Resident(0, clock[0] + 0.2, is_queued=True)}
    for target in ("t1", "t2"):
        ready = {"m/a1": Resident(0, clock[0])}
        manager.residents.apply_holder_report(target, ready, now=clock[0])
        manager.residents.apply_holder_report(target, queued, now=clock[0])
    selector = build_selector(manager)
    began_at = clock[0]
    call = build_call(began_at)
    with pytest.raises(RequestRefused) as error:
        selector.choose(call)
    assert error.value.kind is ErrorKind.OVERLOADED
    wait_budget_ratio = selector.settings.wait_budget_ratio
    assert clock[0] - began_at <= 4.0 * wait_budget_ratio + 0.1


PAUSE_TEXT = "all targets of service llm asked for a pause"


def test_request_is_refused_with_a_true_time_if_all_targets_are_in_a_pause(
    manager_and_sent,
):
    manager, _ = manager_and_sent
    began_at = read_clock()
    for target in ("t1", "t2"):
        manager.health.note_pause(target, 10.0, now=began_at)
    selector, times_s = build_selector(manager), []
    for _ in range(40):
        with pytest.raises(RequestRefused) as error:
            selector.choose(build_call(read_clock()))
        assert error.value.message == PAUSE_TEXT
        times_s.append(error.value.retry_after_s)
    assert read_clock() - began_at < 1.0
    # None returns before the end, and they don't return at once.
    assert min(times_s) >= 10.0 - (read_clock() - began_at)
    assert max(times_s) <= 10.0 + 2 * RETURN_SPREAD_LIMIT_S
    assert max(times_s) - min(times_s) > RETURN_SPREAD_LIMIT_S / 2


def test_pause_of_one_target_isn_t_the_reason_if_the_other_rejected_the_request(
    manager_and_sent,
):
    """The caller was told to return when the first target's pause ends."""
    manager, _ = manager_and_sent
    manager.health.note_pause("t1", 30.0, now=read_clock())
    call = build_call(read_clock())
    call.excluded, call.tries = {"t2"}, 2
    call.last_failure = "t2 rejected it with 503"
    with pytest.raises(RequestRefused) as error:
        build_selector(manager).choose(call)
    assert error.value.message == call.last_failure
    assert error.value.retry_after_s < 1.0


def build_selector(manager, regions=None):
    settings = ForwardingSettings()
    return TargetSelector(
        settings,
        failure_domain="z",
        registry=manager.registry,
        versions=manager.versions,
        residents=manager.residents,
        orders=manager,
        health=manager.health,
        pacing=PromptPacing(settings),
        regions=RegionPolicy(regions or {}, in_force=manager.in_force),
        random=Random(1),
    )


def build_call(now):
    route = Route("r", "h", "/", CallKind.STREAM, (("llm", 1.0),), 1.0, 0.1)
    request = CallerRequest(
        "1", "GET", "/", "h", "k", 4.0, "m", "m/a1", None, None, (), "", (), b""
    )
    running = RunningRequest("1", now + 4.0, lambda: False)
    return Call(request, route, None, "llm", running, now, 1, "f")
