"""Taking up targets, sending orders and dropping wishes that others answer."""

import pytest

from thornlatch.core import read_clock
from thornlatch.fleet import (
    HeldTarget,
    HostDigest,
    LoadedModel,
    LoadRequested,
    PeerView,
    PeerViewSettings,
    RegistrySettings,
    Target,
    TargetRegistry,
)
from thornlatch.gateway import GatewayMetrics, OrderReply
from thornlatch.gateway._ordering import OrderManager
from thornlatch.gateway._replication import AdapterReplicator
from thornlatch.gateway._work import WorkTable
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
    Configuration,
    ConfigurationInForce,
    EngineLimits,
    FreshnessSettings,
    ModelSize,
    Service,
)

LIMITS = EngineLimits(8, 1000, 1300.0, 3, (ModelSize("m", 1000.0, 0.6, 10.0),), 4.0)


class Wire:
    """Answers orders as planned."""

    def __init__(self):
        self.outcome = OrderOutcome.ACCEPTED
        self.orders = []

    def send_order(self, address, target, order, fencing_token):
        self.orders.append((target, order, fencing_token))
        return OrderReply(self.outcome)

    def read_report(self, address, target):
        return EngineReport(0, (LoadedModel("m", 1),), (), False, 0, 0, 1)


class Inline:
    """Runs what is submitted at once."""

    def submit(self, function, *arguments):
        function(*arguments)


@pytest.fixture
def world():
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
        protocol=Wire(),
        in_force=in_force,
        registry=registry,
        peers=PeerView(PeerViewSettings()),
        versions=AdapterVersions(VersionSettings()),
        residents=ResidentTable(),
        tenure=Tenure(TenureSettings(lease_s=3.0)),
        work=WorkTable(),
        metrics=GatewayMetrics(),
        send=lambda host, message: sent.append((host, message)),
        send_digest_now=lambda: None,
    )
    manager.executor = Inline()
    return manager, sent


def hold(manager, *names, generation=5):
    parts = frozenset(manager.get_partition(name) for name in names)
    manager.tenure.renew(parts, generation, asked_at=read_clock())
    manager.update_held_targets(now=read_clock())
    manager.tick(now=read_clock())


def tell_of_holder(manager, ordered_ago_s, *, heard_ago_s=0.0, target="t1"):
    held = HeldTarget(target, 1, 4, ordered_ago_s, ())
    digest = HostDigest(1.0, (), {}, {}, (held,), (target,), False, {})
    manager.peers.apply_digest("other", digest, now=read_clock() - heard_ago_s)


def wish(target="t1", adapter="m/a1", **more):
    return LoadRequested(target, adapter, 0, 1, **more)


def test_wish_is_ordered_under_the_token_of_the_tenure(world):
    manager, _ = world
    hold(manager, "t1")
    manager.request_load(wish(), now=read_clock())
    target, numbered, token = manager.protocol.orders[0]
    assert (target, numbered.order) == ("t1", LoadAdapter("m", "a1", 0))
    assert (numbered.expected, token) == (0, 5)
    assert manager.residents.get("t1", "m/a1") is not None


def test_peers_are_told_of_the_targets_that_changed_and_now_and_then_of_all(world):
    """All of a holder's targets in each digest took a third of the hosts' time."""
    manager, _ = world
    hold(manager, "t1", "t2")
    now = read_clock()

    def list_told(after_s):
        told = manager.build_held_report(now=now + after_s)
        return None if told is None else {one.target for one in told}

    assert list_told(0.0) == {"t1", "t2"}
    assert list_told(0.1) is None
    manager.request_load(wish("t2"), now=now)
    assert list_told(0.2) == {"t2"}
    assert list_told(0.3) is None
    assert list_told(1.1) == {"t1", "t2"}


def test_asking_host_is_told_by_the_holder_itself_when_the_load_is_done(world):
    """Digests of a large fleet take longer than the load of a former adapter."""
    manager, sent = world
    hold(manager, "t1")
    manager.request_load(wish(), now=read_clock(), requester="other")
    ((host, message),) = sent
    assert (host, message.target, message.adapter.name) == ("other", "t1", "m/a1")
    assert 0.1 < message.adapter.ready_in_s < 0.4
    manager.request_load(wish(), now=read_clock(), requester="third")
    assert sent[1][0] == "third"


def test_asking_host_is_told_once_its_turn_in_the_queue_has_come(world):
    manager, sent = world
    hold(manager, "t1")
    manager.request_load(wish(), now=read_clock())
    manager.request_load(wish(adapter="m/a2"), now=read_clock(), requester="other")
    manager.request_load(wish(adapter="m/a3"), now=read_clock(), requester="other")
    assert {message.adapter.name for _, message in sent} <= {"m/a2", "m/a3"}
    assert all(not message.adapter.is_queued for _, message in sent)


def test_wish_for_a_target_of_another_holder_goes_there(world):
    manager, sent = world
    tell_of_holder(manager, 1.0)
    manager.request_load(wish(), now=read_clock())
    assert sent == [("other", wish())]
    assert manager.protocol.orders == []


def test_live_former_holder_s_lease_is_waited_out(world):
    manager, _ = world
    tell_of_holder(manager, 1.0)
    hold(manager, "t1")
    manager.request_load(wish(), now=read_clock())
    assert manager.protocol.orders == []
    left_s = manager.held["t1"].orders_from - read_clock()
    assert 1.5 < left_s <= 2.0


def test_silent_former_holder_isn_t_waited_for(world):
    manager, _ = world
    tell_of_holder(manager, 1.0, heard_ago_s=2.0)
    hold(manager, "t1")
    manager.request_load(wish(), now=read_clock())
    assert len(manager.protocol.orders) == 1


def test_holder_that_was_fenced_orders_no_more(world):
    manager, _ = world
    hold(manager, "t1")
    manager.protocol.outcome = OrderOutcome.FENCED
    manager.request_load(wish(), now=read_clock())
    manager.request_load(wish(adapter="m/a2"), now=read_clock())
    manager.tick(now=read_clock() + 5)
    assert len(manager.protocol.orders) == 1


def test_two_hosts_that_miss_an_adapter_at_once_load_it_once(world):
    manager, _ = world
    hold(manager, "t1", "t2")
    manager.request_load(wish("t1"), now=read_clock())
    manager.request_load(wish("t2"), now=read_clock())
    assert [order[0] for order in manager.protocol.orders] == ["t1"]


def test_crash_of_a_target_doesn_t_keep_its_adapters_from_the_others(world):
    """Its entry and its places are known for seconds after it has gone."""
    manager, _ = world
    hold(manager, "t1", "t2")
    manager.request_load(wish("t1"), now=read_clock())
    manager.request_load(wish("t2", unusable=("t1",)), now=read_clock())
    assert [order[0] for order in manager.protocol.orders] == ["t1", "t2"]


def test_crowd_beyond_the_slots_gets_its_second_copy(world):
    manager, _ = world
    hold(manager, "t1", "t2")
    manager.request_load(wish("t1"), now=read_clock())
    for _ in range(8):
        manager.work.begin("t1", "m/a1")
    manager.request_load(wish("t2"), now=read_clock())
    assert [order[0] for order in manager.protocol.orders] == ["t1", "t2"]


def test_crowded_target_has_its_busiest_adapter_copied_to_the_calmest(world):
    manager, sent = world
    hold(manager, "t1")
    manager.request_load(wish("t1"), now=read_clock())
    tell_of_holder(manager, 1.0, target="t2")
    for _ in range(4):
        manager.work.begin("t1", "m/a1")
    relief = AdapterReplicator(
        ReplicationSettings(),
        orders=manager,
        registry=manager.registry,
        residents=manager.residents,
        versions=manager.versions,
    )
    relief.tick(now=read_clock())
    relief.tick(now=read_clock())
    (host, message), *others = sent
    assert (host, message.target, message.adapter) == ("other", "t2", "m/a1")
    assert message.is_copy
    assert not others


def test_wish_for_a_copy_isn_t_dropped_for_the_target_that_is_crowded(world):
    manager, _ = world
    hold(manager, "t1", "t2")
    manager.request_load(wish("t1"), now=read_clock())
    manager.request_load(wish("t2", is_copy=True), now=read_clock())
    assert [order[0] for order in manager.protocol.orders] == ["t1", "t2"]


def test_restarted_target_is_taken_up_anew(world):
    manager, _ = world
    hold(manager, "t1")
    former = manager.held["t1"]
    target = Target("t1", "llm", "1.2.3.4:5", "z", 8, started_ms=2)
    manager.registry.apply("t1", target, now=1.0)
    manager.update_held_targets(now=read_clock())
    assert manager.held["t1"] is not former


def test_lost_partition_and_stop_end_the_orders(world):
    manager, _ = world
    hold(manager, "t1")
    manager.tenure.renew(frozenset(), 6, asked_at=read_clock())
    manager.update_held_targets(now=read_clock())
    assert manager.held == {}


def test_late_load_delays_its_announcement(world):
    manager, _ = world
    hold(manager, "t1")
    manager.request_load(wish(), now=read_clock())
    resident = manager.residents.get("t1", "m/a1")
    manager.request_load(wish(was_missing=True), now=resident.ready_at + 0.01)
    later = manager.residents.get("t1", "m/a1")
    assert isinstance(later, Resident)
    assert later.ready_at > resident.ready_at
