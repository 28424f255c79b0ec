"""What the host list says, through changes of the inventory and new sessions."""

from dataclasses import replace
from random import Random

import pytest

from thornlatch.configuration import (
    ConfigurationChanged,
    Inventory,
    Pool,
    Store,
    Target,
)
from thornlatch.daemon._daemon import Daemon
from thornlatch.daemon._host_slices import HostSlices, SliceSettings
from thornlatch.daemon._settings import DaemonSettings, HostSettings
from thornlatch.logservice import HostList, PlatformSettings
from thornlatch.membership import Membership

LEAVING = HostList(frozenset({"h"}), frozenset({"t2"}))
STORE = Store("weights", 5.0, 1, 8, 0.25)
INVENTORY = Inventory(
    stores=(STORE,),
    pools=(Pool("llm", "engine", "base", "weights"),),
    targets=(
        Target("t1", "llm", "10.0.0.1:8000", "a", adapter_slots=4),
        Target("t2", "llm", "10.0.0.2:8000", "b", adapter_slots=4),
    ),
)


def apply_inventory(host_slices, inventory, *, offset=0, now=0.0):
    change = ConfigurationChanged(offset - 1, "test", inventory)
    return host_slices.apply_records([(offset, change)], now=now)


def list_leaving(host_slices):
    return host_slices.dispatch.leaving_by_host_list


def test_target_added_after_the_last_list_leaves_as_the_list_says():
    """In an outage of the list, no later one says so again."""
    host_slices = HostSlices(
        SliceSettings(), host="h.1", address="x", failure_domain="d", random=Random(1)
    )
    apply_inventory(host_slices, replace(INVENTORY, targets=INVENTORY.targets[:1]))
    host_slices.note_host_list(LEAVING, now=1.0)
    assert list_leaving(host_slices) == set()
    actions = apply_inventory(
        host_slices, Inventory(targets=INVENTORY.targets[1:]), offset=1, now=2.0
    )
    assert list_leaving(host_slices) == {"t2"}
    events = [action.event for action in actions if hasattr(action, "event")]
    assert ("dispatch.target_leaving", "t2") in [(e.name, e.target) for e in events]


@pytest.fixture
def daemon():
    host = HostSettings("h", "d", "127.0.0.1:0", "127.0.0.1:0")
    daemon = Daemon(DaemonSettings(host, PlatformSettings("127.0.0.1:9")))
    yield daemon
    daemon.appender.stop(timeout_s=2.0)
    daemon.peers.close()


def test_targets_leave_in_a_new_session_as_the_last_list_says(daemon, monkeypatch):
    """The platform may not answer for the list when the session is lost."""
    apply_inventory(daemon.host_slices, INVENTORY)
    daemon.host_slices.note_host_list(LEAVING, now=1.0)
    former = daemon.host_slices
    assert list_leaving(former) == {"t2"}
    with monkeypatch.context() as patch:
        patch.setattr(Membership, "is_expelled", True)
        daemon._renew_session(2.0)
    assert daemon.host_slices is not former
    apply_inventory(daemon.host_slices, INVENTORY, now=3.0)
    assert list_leaving(daemon.host_slices) == {"t2"}
