"""Ways to targets through other hosts, while links of this host are cut."""

from random import Random

import pytest

from thornlatch.targets import _detours
from thornlatch.targets._detours import Detours, DetourSettings, TunnelHost

SETTINGS = DetourSettings()
NEAR = TunnelHost("near", "1.1.1.1:2", is_near=True)
FAR = TunnelHost("far", "1.1.1.2:2")
TARGET, OTHER = "1.2.3.4:5", "1.2.3.5:5"


class World:
    """Links between hosts and targets, and the attempts to connect."""

    def __init__(self, monkeypatch):
        self.now = 100.0
        self.cut, self.hanging = set(), set()
        self.attempts = []
        self.dropped = []
        monkeypatch.setattr(_detours, "connect", self.connect)
        monkeypatch.setattr(_detours, "read_clock", lambda: self.now)
        self.detours = Detours(
            SETTINGS,
            lambda: [FAR, NEAR],
            Random(1),
            lambda address, now: self.dropped.append(address),
        )

    def connect(self, address, *, timeout_s, tunnel_to=""):
        self.attempts.append((address, tunnel_to))
        if tunnel_to in self.hanging:
            self.now += timeout_s
            raise TimeoutError("timed out")
        if address in self.cut or (address, tunnel_to) in self.cut:
            raise ConnectionRefusedError("refused")
        return address, tunnel_to

    def open(self, target=TARGET):
        """Return the attempts of one connection, and what it leads through."""
        self.attempts = []
        via, tunnel_to = self.detours.connect(target, timeout_s=0.3)
        assert target in (via, tunnel_to)
        return len(self.attempts), via


@pytest.fixture
def world(monkeypatch):
    return World(monkeypatch)


def test_targets_that_are_reached_need_no_other_host(world):
    assert world.open() == (1, TARGET)
    assert not world.detours.is_cut(TARGET)


def test_cut_target_is_reached_through_a_near_host_until_the_link_is_back(world):
    world.cut = {TARGET}
    assert world.open() == (2, NEAR.address)
    assert world.detours.count_cut() == 1
    assert world.dropped == [TARGET]
    # The link isn't tried again by each request.
    assert world.open() == (1, NEAR.address)
    world.now += SETTINGS.probe_period_s
    assert world.open() == (2, NEAR.address)
    assert world.open() == (1, NEAR.address)
    world.cut = set()
    world.now += SETTINGS.probe_period_s
    assert world.open() == (1, TARGET)
    assert world.detours.count_cut() == 0


def test_links_to_all_targets_are_tried_when_one_is_back(world):
    world.cut = {TARGET, OTHER}
    world.open()
    world.now += SETTINGS.probe_period_s / 2
    world.open(OTHER)
    world.cut = set()
    world.now += SETTINGS.probe_period_s / 2
    assert world.open() == (1, TARGET)
    assert world.open(OTHER) == (1, OTHER)


def test_host_that_is_cut_off_too_is_asked_last(world):
    world.cut = {TARGET, (NEAR.address, TARGET), OTHER}
    assert world.open() == (3, FAR.address)
    assert world.open(OTHER) == (2, FAR.address)


# A target that crashed looks the same to the host that connects to it first.
def test_target_that_no_host_reaches_is_unreachable(world):
    world.cut = {TARGET, (NEAR.address, TARGET), (FAR.address, TARGET)}
    with pytest.raises(ConnectionRefusedError):
        world.open()
    assert not world.detours.is_cut(TARGET)
    with pytest.raises(ConnectionRefusedError):
        world.open()
    assert len(world.attempts) == 1
    world.now += SETTINGS.avoid_s
    with pytest.raises(ConnectionRefusedError):
        world.open()
    assert len(world.attempts) == 3


def test_dead_target_costs_one_tunnel_if_others_are_reached(world):
    world.open(OTHER)
    world.cut = {TARGET, (NEAR.address, TARGET), (FAR.address, TARGET)}
    with pytest.raises(ConnectionRefusedError):
        world.open()
    assert len(world.attempts) == 2


# Keys are checked before a request is sent, and a withdrawn one must stop in time.
def test_time_for_finding_a_tunnel_is_bounded_over_all_hosts(world):
    world.cut, world.hanging = {TARGET}, {TARGET}
    began_at = world.now
    with pytest.raises(ConnectionRefusedError):
        world.open()
    assert world.now - began_at == pytest.approx(SETTINGS.tunnel_s)


def test_links_to_targets_that_left_are_forgotten(world):
    world.cut = {TARGET}
    world.open()
    world.detours.retain([OTHER])
    assert world.detours.links == {}
