"""What a host may use beside the others, small fleets and large ones."""

from types import SimpleNamespace

import pytest

from thornlatch.core import read_clock
from thornlatch.fleet import Member, PeerView, PeerViewSettings
from thornlatch.gateway import GatewaySettings, HostAddresses
from thornlatch.gateway._fleet_link import FleetLink, HostState
from thornlatch.quota import (
    QuotaSettings,
    RetryBudget,
    RetryBudgetSettings,
    SharedQuota,
)
from thornlatch.residency import Tenure, TenureSettings
from thornlatch.routing import (
    Configuration,
    ConfigurationInForce,
    EngineLimits,
    FreshnessSettings,
    Service,
)

PARTITIONS = 24
LOADS_PER_S = 48.0
LIMITS = EngineLimits(8, 1000, 1300.0, 3, (), LOADS_PER_S)


class Loads:
    def set_rate(self, rate):
        self.rate = rate


@pytest.fixture
def link():
    in_force = ConfigurationInForce(FreshnessSettings())
    in_force.install(
        Configuration(1, (), {"llm": Service("llm", "/h", 10, LIMITS)}, {})
    )
    unused = SimpleNamespace(retain_hosts=lambda others: None)
    one = FleetLink(
        GatewaySettings(HostAddresses("h", "z", "", "", "127.0.0.1:0")),
        "h.0",
        HostState(
            in_force,
            PeerView(PeerViewSettings()),
            SharedQuota(QuotaSettings(), now=read_clock()),
            RetryBudget(RetryBudgetSettings(0.2, 10.0, 56)),
            unused,
            Tenure(TenureSettings()),
            unused,
            unused,
            unused,
            SimpleNamespace(partitions=PARTITIONS, model_loads=Loads()),
        ),
        is_stopping=lambda: False,
        on_tick=lambda now: None,
    )
    yield one
    one.loop.mesh.close()


@pytest.mark.parametrize(("others", "part"), [(7, 8), (23, 24), (75, 24)])
def test_model_loads_are_divided_among_the_hosts_that_may_order(link, others, part):
    """A crash of all engines of a large fleet: 66 parts for 12 hosts that load."""
    link.take_hosts({f"o{n}.0": Member("127.0.0.1:1", "z") for n in range(others)})
    assert link.state.orders.model_loads.rate == pytest.approx(LOADS_PER_S / part)


def test_all_hosts_of_a_small_fleet_order(link):
    link.take_hosts({f"o{n}.0": Member("127.0.0.1:1", "z", 9.0) for n in range(7)})
    assert link.is_orderer(now=read_clock())


def test_narrow_host_of_a_large_fleet_orders_once_wider_ones_are_silent(link):
    link.take_hosts({f"o{n}.0": Member("127.0.0.1:1", "z", 9.0) for n in range(75)})
    now = read_clock()
    assert not link.is_orderer(now=now)
    link.started_at = now - 10.0
    assert link.is_orderer(now=now)
