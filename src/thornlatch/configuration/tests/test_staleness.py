"""Simulation of withdrawn keys, which hosts with cut links refuse within 5 s."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thornlatch.configuration import (
    ConfigurationPublished,
    KeyWithdrawn,
)
from thornlatch.configuration._freshness import Freshness
from thornlatch.configuration.tests.builders import (
    DIGESTS,
    KEYS,
    FakeLeases,
    FakeStream,
    build_host,
    build_inventory,
)
from thornlatch.core import Send
from thornlatch.exceptions import RequestRefused

STEP_S = 0.25
STEPS_PER_READ = 2
LIMIT_S = 5.0
HOSTS = tuple("abcde")
CUT_HOSTS = ("d", "e")


class Fleet:
    """Five hosts with changing links, of which two never reach the log.

    Membership stays confirmed all the time, which is the harder case: a host then has
    to stop accepting the key because of its own state.
    """

    def __init__(self, seed, *, cut_ratio=0.3, outage_s=0.0):
        self.random = random.Random(seed)
        self.cut_ratio = cut_ratio
        self.outage_s = outage_s
        self.now = 0.0
        self.stream = FakeStream()
        self.leases = FakeLeases(HOSTS)
        self.hosts = {name: build_host(name, self.leases) for name in HOSTS}
        self.cut_links = set()
        self.sent = []
        self.withdrawn_at = None
        self.stream.append(ConfigurationPublished(-1, "ana", build_inventory()))
        for host in self.hosts.values():
            self.read(host)

    def is_log_down(self):
        return 2.0 <= self.now < 2.0 + self.outage_s

    def read(self, host):
        for offset, record in self.stream.iter_entries(host.view.offset + 1):
            host.apply_record(offset, record, now=self.now)
        host.note_log_read(
            sent_at=self.now, now=self.now, next_offset=len(self.stream.values)
        )

    def step(self, index):
        self.now = index * STEP_S
        if index % 8 == 0:
            links = [(a, b) for a in HOSTS for b in HOSTS]
            self.cut_links = {k for k in links if self.random.random() < self.cut_ratio}
        arriving, self.sent = self.sent, []
        for sender, send in arriving:
            host = self.hosts[send.recipient]
            self.send(host, host.handle(send.message, sender=sender, now=self.now))
        for name, host in self.hosts.items():
            is_cut = name in CUT_HOSTS or self.is_log_down()
            if not is_cut and index % STEPS_PER_READ == 0:
                self.read(host)
            self.send(host, host.tick(now=self.now))

    def send(self, host, actions):
        for action in actions:
            if isinstance(action, Send):
                link = (host.host, action.recipient)
                if link not in self.cut_links:
                    self.sent.append((host.host, action))

    def withdraw(self):
        self.stream.append(KeyWithdrawn(DIGESTS[0], "ana"))
        self.withdrawn_at = self.now

    def is_unread(self):
        """Return whether no host read the withdrawal before the log outage."""
        offset = len(self.stream.values) - 1
        hosts = self.hosts.values()
        return self.is_log_down() and all(h.view.offset < offset for h in hosts)

    def accepts(self, name):
        try:
            self.hosts[name].authenticate(KEYS[0], now=self.now)
        except RequestRefused:
            return False
        return True


def check_withdrawal(seed, outage_s, withdraw_step):
    fleet = Fleet(seed, outage_s=outage_s)
    for index in range(1, 160):
        fleet.step(index)
        is_due = index >= withdraw_step and fleet.withdrawn_at is None
        if is_due and not fleet.is_log_down():
            fleet.withdraw()
        if fleet.withdrawn_at is None:
            continue
        if fleet.is_unread():
            # No host can know a record that none read before the log outage, so the
            # limit counts from the end of the outage.
            fleet.withdrawn_at = fleet.now
        if fleet.now - fleet.withdrawn_at >= LIMIT_S:
            assert not any(map(fleet.accepts, HOSTS))


@settings(max_examples=100, deadline=None)
@given(
    seed=st.integers(0, 10**6),
    outage_s=st.sampled_from([0.0, 3.0, 15.0]),
    withdraw_step=st.integers(1, 100),
)
def test_withdrawn_key_is_refused_within_limit(seed, outage_s, withdraw_step):
    check_withdrawal(seed, outage_s, withdraw_step)


def test_withdrawn_key_check_detects_stale_host(monkeypatch):
    monkeypatch.setattr(Freshness, "is_fresh", lambda self, offset, *, now: True)
    with pytest.raises(AssertionError):
        check_withdrawal(seed=1, outage_s=0.0, withdraw_step=10)


def test_withdrawn_key_check_detects_ignored_peer(monkeypatch):
    monkeypatch.setattr(Freshness, "note_offset", lambda self, offset: None)
    with pytest.raises(AssertionError):
        for seed in range(50):
            check_withdrawal(seed, outage_s=0.0, withdraw_step=10)


@pytest.mark.parametrize("outage_s", [0.0, 30.0], ids=["cut", "outage"])
def test_connected_hosts_stay_fresh(outage_s):
    fleet = Fleet(1, cut_ratio=0.0, outage_s=outage_s)
    for index in range(1, 160):
        fleet.step(index)
        assert all(map(fleet.accepts, HOSTS))
