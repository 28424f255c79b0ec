"""A large fleet without sockets: its hosts, and digests that take time."""

import random

from thornlatch.fleet import (
    DomainExchange,
    DomainView,
    ExchangeSettings,
    FleetDigest,
    HostDigest,
    Member,
    PeerView,
    PeerViewSettings,
    TargetUses,
)
from thornlatch.quota import QuotaSettings, SharedQuota
from thornlatch.routing import Organisation

SETTINGS = ExchangeSettings()
# The turns of 24 hosts last as long as those of 195 do otherwise.
SLOW_SETTINGS = ExchangeSettings(host_period_s=0.0122)
MESSAGE_DELAY_S = 0.02
# A large organisation of the platform; the test requests four times its rate.
SHOP = Organisation("shop", frozenset({"k"}), None, 121_457.0, 121_457.0)
SMALL_SHOP = Organisation("small", frozenset({"s"}), None, 12_000.0, 12_000.0)
TOKENS_PER_REQUEST = 1000
TOLERANCE = 17_000.0  # by which the platform lets a window exceed a quota


class Host:
    """A host's part in the fleet, without sockets."""

    def __init__(
        self,
        name,
        domain,
        capacity,
        now,
        settings=SETTINGS,
        organisations=(SHOP, SMALL_SHOP),
    ):
        self.name, self.domain = name, domain
        self.exchange = DomainExchange(
            settings, host=name, domain=domain, capacity=capacity
        )
        self.peers = PeerView(PeerViewSettings(silent_s=SETTINGS.silent_s))
        self.view = DomainView(settings, self.peers, host=name, domain=domain)
        quota_settings = QuotaSettings(silent_s=SETTINGS.silent_s, tolerance=TOLERANCE)
        self.quota = SharedQuota(quota_settings, now=now, random=random.Random(name))
        self.quota.set_organisations(organisations, now=now)
        self.running = ()
        self.held = ()
        self.broken = {}
        self.leaving = ()
        self.sent_messages = 0

    def build_digest(self, now):
        spent, levels = self.quota.get_spent(now=now)
        names = tuple(report.target for report in self.held)
        return HostDigest(
            now,
            self.running,
            spent,
            levels,
            self.held,
            names,
            False,
            self.broken,
            leaving=self.leaving,
            demands=self.quota.get_demands(now=now),
        )

    def run_turn(self, now):
        digest = self.build_digest(now)
        self.view.note_sent(digest)
        outgoing, for_self = self.exchange.run_turn(digest, now=now)
        for message in for_self:
            self.handle_message(self.name, message, now)
        self.sent_messages = len(outgoing)
        return outgoing

    def handle_message(self, sender, message, now):
        if sender != self.name and self.exchange.handle_message(
            sender, message, now=now
        ):
            return
        if isinstance(message, TargetUses):
            self.view.apply_target_uses(message, now=now)
        elif isinstance(message, FleetDigest):
            for update in self.view.apply_fleet_digest(message, now=now):
                if update.spent is not None:
                    self.quota.apply_domain_digest(
                        update.domain,
                        update.relay,
                        update.spent,
                        update.levels,
                        hosts=update.live,
                        is_used=update.is_selected,
                        now=now,
                        demands=update.demands,
                    )


class Fleet:
    """Hosts in domains, with delayed messages."""

    def __init__(
        self,
        domains=3,
        hosts=8,
        settings=SETTINGS,
        organisations=(SHOP, SMALL_SHOP),
    ):
        self.now = 10.0
        self.turn_s = settings.compute_timing(domains * hosts).period_s
        self.isolated = set()
        # Hosts that are stopping: they have left the list of hosts, and still serve.
        self.stopping = set()
        self.in_transit = []
        self.members_due_at = {}
        self.hosts = {}
        for domain in range(domains):
            for number in range(hosts):
                name = f"h{domain}-{number}"
                self.hosts[name] = Host(
                    name, f"d{domain}", 10 - number, self.now, settings, organisations
                )
        self.set_members()

    def set_members(self, within_s=0.0, rng=None):
        """Tell all hosts the members, each after a time up to `within_s`."""
        self.members = self.list_members()
        for name in self.hosts:
            due_at = self.now + (rng.uniform(0.0, within_s) if rng else 0.0)
            self.members_due_at.setdefault(name, due_at)
        self.adopt_members()

    def list_members(self):
        return {
            name: Member("", host.domain, host.exchange.capacity)
            for name, host in self.hosts.items()
            if name not in self.stopping
        }

    def adopt_members(self):
        for name, due_at in list(self.members_due_at.items()):
            if due_at > self.now:
                continue
            del self.members_due_at[name]
            if name in self.stopping or name not in self.hosts:
                continue
            host = self.hosts[name]
            peers = {
                peer: member for peer, member in self.members.items() if peer != name
            }
            host.exchange.set_members(peers)
            host.quota.set_large_fleet(True, digest_period_s=self.turn_s, now=self.now)
            host.quota.set_peers(peers, now=self.now)
            silent_s = host.exchange.timing.silent_s
            host.view.selector.silent_s = silent_s
            host.peers.silent_s = host.quota.silent_s = silent_s

    def run(self, seconds):
        for _ in range(round(seconds / self.turn_s)):
            self.turn()

    def turn(self):
        self.now += self.turn_s
        self.adopt_members()
        for sender, receiver, message in self.in_transit:
            if receiver in self.hosts and not {sender, receiver} & self.isolated:
                self.hosts[receiver].handle_message(
                    sender, message, self.now - self.turn_s + MESSAGE_DELAY_S
                )
        self.in_transit = [
            (name, receiver, message)
            for name, host in self.hosts.items()
            for receiver, message in host.run_turn(self.now)
        ]

    def iter_peers(self, name):
        return (host for peer, host in self.hosts.items() if peer != name)
