"""Requests at targets whose load is being raised, without network."""

from dataclasses import replace
from random import Random
from types import SimpleNamespace

import pytest

from thornlatch.core import read_clock
from thornlatch.exceptions import ErrorKind, RequestRefused, TargetError
from thornlatch.fleet import (
    PeerView,
    PeerViewSettings,
    RegistrySettings,
    Target,
    TargetPace,
)
from thornlatch.fleet import TargetRegistry as Registry
from thornlatch.gateway import (
    CallerRequest,
    GatewayMetrics,
    GatewaySettings,
    HostAddresses,
    ReportedLoad,
)
from thornlatch.gateway._call import Call
from thornlatch.gateway._choice import Step, TargetOption
from thornlatch.gateway._forwarder import Forwarder
from thornlatch.gateway._gateway import Gateway
from thornlatch.gateway._health import TargetHealth
from thornlatch.gateway._pacing import PromptPacing
from thornlatch.gateway._regions import RegionPolicy
from thornlatch.gateway._selector import TargetSelector
from thornlatch.gateway._sender import TargetSender
from thornlatch.gateway._settings import ForwardingSettings
from thornlatch.gateway._suspect_settings import SuspectSettings
from thornlatch.gateway._suspects import CrashSuspects
from thornlatch.gateway._work import RunningRequest, WorkTable
from thornlatch.pace import Pacer, PaceSettings
from thornlatch.residency import HolderSettings, ResidentTable
from thornlatch.routing import (
    CallKind,
    Configuration,
    ConfigurationInForce,
    FreshnessSettings,
    Route,
    Service,
)

ROUTE = Route("r", "h", "/", CallKind.IDEMPOTENT, (("s", 1.0),), 0.4, 0.1)


def build_target(name):
    return Target(name, "s", "1.2.3.4:5", "z", 8, started_ms=5)


def build_call(name="1", deadline_s=1.0):
    now = read_clock()
    request = CallerRequest(
        name, "GET", "/", "h", "k", 1.0, "", "", None, None, (), "", (), b""
    )
    running = RunningRequest(name, now + deadline_s, lambda: False)
    return Call(request, ROUTE, None, "s", running, now, 1, "f")


class Host:
    """The parts of a host that select targets."""

    def __init__(self, *names):
        self.settings = ForwardingSettings()
        self.work = WorkTable()
        self.peers = PeerView(PeerViewSettings())
        self.pacer = Pacer(
            PaceSettings(is_enabled=True),
            count_own=self.work.get_total,
            count_peers=self.peers.count_peer_requests,
            random=Random(1),
        )
        self.health = TargetHealth(self.settings, pacer=self.pacer)
        self.health.service_s["s"] = 0.2
        self.registry = Registry(RegistrySettings())
        for name in names:
            self.registry.apply(name, build_target(name), now=read_clock())
        orders = SimpleNamespace(
            peers=self.peers,
            settings=HolderSettings(),
            is_view_late=False,
            count_requests=self.work.get_total,
            count_recent_prompt_tokens=lambda target, now: 0.0,
        )
        self.selector = TargetSelector(
            self.settings,
            failure_domain="z",
            registry=self.registry,
            versions=None,
            residents=ResidentTable(),
            orders=orders,
            health=self.health,
            pacing=PromptPacing(self.settings),
            regions=RegionPolicy(
                {}, in_force=ConfigurationInForce(FreshnessSettings())
            ),
            random=Random(1),
        )
        self.forwarder = Forwarder.__new__(Forwarder)
        self.forwarder.health = self.health
        self.forwarder.metrics = GatewayMetrics()
        self.forwarder.suspects = CrashSuspects(SuspectSettings(), self.registry)

    def pace(self, name):
        target = self.registry.get(name)
        self.pacer.begin(target, is_first_read=False, now=read_clock())

    def send(self, name):
        """Send a request as the forwarder does; return whether it was sent."""
        call = build_call(name)
        option = self.selector.choose(call)
        if not self.forwarder._try_send(call, option.target):
            return ""
        self.work.begin(option.target.id, "")
        request = call.build_paced_request(option.target)
        self.pacer.note_sent(request, now=read_clock())
        return option.target.id


def test_requests_beyond_the_window_go_to_other_targets():
    host = Host("a", "b")
    host.pace("a")
    targets = [host.send(str(number)) for number in range(10)]
    assert targets.count("a") == 2
    assert targets.count("b") == 8


def test_two_requests_do_not_take_the_same_place():
    host = Host("a")
    host.pace("a")
    calls = [build_call(str(number)) for number in range(3)]
    for call in calls:
        assert host.selector.choose(call).step is Step.SEND
    target = host.registry.get("a")
    sent = [host.forwarder._try_send(call, target) for call in calls]
    assert sent == [True, True, False]


def test_request_waits_for_a_place_at_the_last_target():
    host = Host("a")
    host.health.service_s["s"] = 0.4
    host.pace("a")
    host.send("1")
    use = host.work.begin("a", "")
    call = build_call()
    option = host.selector._list_options(call, {}, read_clock())[0]
    assert (option.step, option.wait_s) == (Step.AWAIT_PLACE, pytest.approx(0.2))
    host.selector._wait_closed = lambda call, wait_s: host.work.end(use)
    assert host.selector.choose(call).step is Step.SEND


def test_request_uses_an_avoided_target_rather_than_none():
    host = Host("a", "b")
    host.pace("a")
    host.health.note_failure("b", now=read_clock(), is_unreachable=True)
    for number in range(2):
        assert host.send(str(number)) == "a"
    assert host.send("2") == "b"


def test_refusal_at_the_last_target_says_when_a_place_is_free():
    host = Host("a")
    host.pace("a")
    for number in range(2):
        host.send(str(number))
    host.health.service_s["s"] = 3.0
    with pytest.raises(RequestRefused) as error:
        host.selector.choose(build_call())
    assert error.value.kind is ErrorKind.OVERLOADED
    assert 1.5 <= error.value.retry_after_s <= 2.0
    # The requests that wait here come before.
    host.selector.waiting["s"] = 3
    with pytest.raises(RequestRefused) as error:
        host.selector.choose(build_call())
    assert error.value.retry_after_s >= 6.0


def test_refusal_counts_the_place_and_not_a_longer_queue_elsewhere():
    """Callers were told to return after the queue of an avoided target."""
    host = Host("a", "b")
    host.pace("a")
    host.health.note_failure("b", now=read_clock(), is_unreachable=True)
    for _ in range(31):
        host.work.begin("b", "")
    for number in range(2):
        assert host.send(str(number)) == "a"
    host.health.service_s["s"] = 3.0
    with pytest.raises(RequestRefused, match="a would start it") as error:
        host.selector.choose(build_call())
    assert 1.5 <= error.value.retry_after_s <= 2.0
    # The requests that wait come before; the avoided target serves none of them.
    host.selector.waiting["s"] = 3
    with pytest.raises(RequestRefused) as error:
        host.selector.choose(build_call())
    assert error.value.retry_after_s >= 6.0


def test_stream_that_has_begun_waits_until_its_deadline():
    # A refusal would cut it.
    host = Host("a")
    host.pace("a")
    uses = [host.work.begin("a", "") for _ in range(2)]
    host.health.service_s["s"] = 3.0
    call = build_call(deadline_s=20.0)
    call.may_have_run = True
    host.selector._wait_closed = lambda call, wait_s: host.work.end(uses.pop())
    assert host.selector.choose(call).step is Step.SEND


@pytest.mark.parametrize(("is_sent", "window"), [(True, 1.0), (False, 2.0)])
def test_failure_lowers_the_window_if_the_target_had_the_request(is_sent, window):
    # A connection that couldn't be made may be this host's own fault.
    host = Host("a")
    host.pace("a")
    state = host.pacer.states["a", 5]
    state.lowered_at -= 1
    call = build_call()
    call.sent_at = read_clock()
    error = TargetError("connection lost", is_sent=is_sent)
    host.forwarder._note_failed_send(call, host.registry.get("a"), error)
    assert host.pacer.get_window(("a", 5)) == window


@pytest.mark.parametrize(
    ("avoiding_peers", "has_peers", "is_paced"),
    [(0, True, False), (1, True, True), (0, False, True)],
)
def test_target_is_paced_if_more_than_this_host_avoid_it(
    avoiding_peers, has_peers, is_paced
):
    # A single host may only have lost its own connection.
    host = Host("a")
    now = read_clock()
    host.health.note_failure("a", now=now, is_unreachable=True)
    host.peers.avoiding["a"] = avoiding_peers
    Gateway._note_avoided(host, now, has_peers=has_peers)
    changes = host.pacer.tick(host.registry.get, now=now + 0.3)
    assert [change.window for change in changes] == [2.0] * is_paced


def test_request_without_time_left_gives_its_place_back():
    host = Host("a")
    host.pace("a")
    sender = TargetSender(
        host.settings, protocol=None, work=host.work, health=host.health, metrics=None
    )
    call, target = build_call(deadline_s=0.0), host.registry.get("a")
    assert host.forwarder._try_send(call, target)
    with pytest.raises(RequestRefused):
        sender.send(call, TargetOption(target, Step.SEND, 0.0, 0.0), None)
    assert host.pacer.states["a", 5].reserved == {}


@pytest.mark.parametrize(
    ("work_ratio", "paces_uneven", "is_paced"),
    [(1.0, True, True), (None, True, False), (1.0, False, False)],
)
def test_service_is_paced_once_its_targets_tell_how_long_work_takes(
    work_ratio, paces_uneven, is_paced
):
    """Nothing enabled the pace, so targets that restarted were flooded."""
    host = Host("a")
    host.pacer.settings = PaceSettings(paces_uneven=paces_uneven)
    sender = TargetSender(
        host.settings, protocol=None, work=host.work, health=host.health, metrics=None
    )
    target = host.registry.get("a")
    load = ReportedLoad(1, 0, 8, work_ratio)
    answer = SimpleNamespace(
        head=SimpleNamespace(status=200, load=load), sent_at=read_clock()
    )
    sender._note_pace(build_call().build_paced_request(target), answer)
    assert host.pacer.is_enabled_for("s") == is_paced


@pytest.mark.parametrize("cold_s", [5.0, 0.0])
def test_service_whose_targets_are_cold_after_a_start_is_paced(cold_s):
    """Only settings with a tolerated ratio enabled it, so it was off by default."""
    addresses = HostAddresses("h", "z", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0")
    host = Gateway(
        GatewaySettings(addresses), callers=None, targets=None, partitions=12
    )
    host.fleet.peer_loop.mesh.close()
    service = Service("s", "/", 50, cold_s=cold_s)
    target = build_target("a")
    host.replace_targets({"a": target})
    host.apply_configuration(Configuration(7, (ROUTE,), {"s": service}, {}))
    # Pacing begins with the next start, not with a change of the registration.
    host.apply_target("a", replace(target, slots=9))
    assert host.health.pacer.count_paced() == 0
    host.apply_target("a", replace(target, started_ms=6))
    assert host.health.pacer.count_paced() == (cold_s > 0)


def test_host_that_paces_nothing_forgets_targets_that_its_peers_pace():
    """Each incarnation stayed for good while any peer reported a window."""
    host = Host("a")
    host.pacer.settings = PaceSettings()
    host.metrics = GatewayMetrics()
    now = read_clock()
    host.pacer.apply_report(TargetPace("a", 5, 1, 2.0), slots=8, now=now)
    restarted = replace(build_target("b"), started_ms=6)
    host.pacer.begin(restarted, is_first_read=False, now=now)
    Gateway._pace_targets(host, now + 100.0, has_peers=False)
    assert restarted.incarnation not in host.pacer.known


def test_without_the_setting_nothing_is_kept():
    host = Host("a")
    host.pacer.settings = PaceSettings()
    host.pace("a")
    assert [host.send(str(number)) for number in range(8)] == ["a"] * 8
    assert not (host.pacer.states or host.pacer.known or host.pacer.times.entries)
