"""In-memory fleet of hosts, engines and an unreliable network, with checks."""

from collections import Counter
from dataclasses import dataclass, field
from random import Random

from thornlatch.configuration import Pool, Store, Target
from thornlatch.core import Emit, Member, Order, Owner, Resolve, Send
from thornlatch.dispatch import (
    Dispatch,
    DispatchSettings,
    Grant,
    Outcome,
    Priority,
    RequestSpec,
    TargetReport,
)
from thornlatch.placement import AdapterVersion, LoadAdapter, PlacementSettings

POOL = Pool("p", "engine", "base", "s")
STORE = Store("s", 50.0, 4, 8, 0.1)
KEY = "pool:p"


def make_targets(count=2, batch_slots=2, adapter_slots=2, **fields):
    return tuple(
        Target(
            f"t{i}",
            "p",
            f"10.0.0.{i}:80",
            f"d{i % 2}",
            batch_slots,
            adapter_slots,
            **fields,
        )
        for i in range(count)
    )


def make_spec(request, adapter="a", **fields):
    values = {
        "attempt": 1,
        "organisation": "o",
        "pool": "p",
        "deadline_in_s": 60.0,
        "tokens": 100.0,
        "adapter": adapter,
        "version": "1" if adapter else "",
        "priority": Priority.INTERACTIVE,
    }
    return RequestSpec(request, **(values | fields))


@dataclass
class FleetView:
    """Membership and ownership, as all hosts of the fleet see them."""

    members: dict[str, Member] = field(default_factory=dict)
    expelled: dict[str, float] = field(default_factory=dict)
    paused: set[str] = field(default_factory=set)
    owner: Owner | None = None
    acts_from: float = 0.0
    grant_expiry_s: float = 3.0


class FakeLeases:
    """Leases as one host reads them."""

    def __init__(self, view, host):
        self.view = view
        self.host = host

    def get_owner(self, key):
        return self.view.owner

    def get_held_epoch(self, key, *, now):
        owner = self.view.owner
        if owner is None or owner.host != self.host or now < self.view.acts_from:
            return None
        return owner.epoch if self.is_confirmed(now=now) else None

    def is_confirmed(self, *, now):
        return self.host in self.view.members and self.host not in self.view.paused

    def iter_members(self):
        return list(self.view.members.values())

    def iter_possible_holders(self, *, now):
        unexpired = [h for h, end in self.view.expelled.items() if now < end]
        return [*self.view.members, *unexpired]


class Engine:
    """Target that carries out orders; some reject those with an outdated epoch."""

    def __init__(self, target):
        self.target = target
        self.incarnation = 0
        self.loaded = set()
        self.reports_in_use = target.name[-1] in "13579"
        self.issued_epoch = -1
        self.highest_epoch = -1

    def restart(self):
        self.incarnation += 1
        self.loaded = set()

    def execute_order(self, order):
        version = AdapterVersion(order.adapter, order.version)
        if self.target.checks_fencing and order.epoch < self.highest_epoch:
            return False
        self.highest_epoch = max(self.highest_epoch, order.epoch)
        if not isinstance(order, LoadAdapter):
            self.loaded.discard(version)
            return True
        if len(self.loaded) >= self.target.adapter_slots:
            return version in self.loaded
        self.loaded.add(version)
        return True

    def report(self, running, snapshot_at, in_use=()):
        loaded = tuple(sorted(self.loaded))
        return TargetReport(
            str(self.incarnation),
            loaded,
            running,
            0,
            snapshot_at,
            tuple(sorted(set(in_use))) if self.reports_in_use else None,
        )


class Fleet:
    """Hosts with their Dispatch and a network that can lose and reorder messages."""

    def __init__(
        self,
        hosts=2,
        targets=None,
        settings=None,
        placement=None,
        make_dispatch=Dispatch,
        pool=POOL,
        seed=1,
    ):
        self.now = 1000.0
        self.random = Random(seed)
        self.settings = settings or DispatchSettings()
        self.placement = placement or PlacementSettings()
        self.make_dispatch = make_dispatch
        self.pool = pool
        self.view = FleetView()
        self.targets = targets or make_targets()
        self.engines = {t.name: Engine(t) for t in self.targets}
        self.hosts = {}
        self.network = []
        self.orders = []
        self.results = {}
        self.uses = {}
        self.orphaned_uses = []
        self.leaving_since = {}
        self.violations = []
        self.events = []
        self.count = 0
        for _ in range(hosts):
            self.add_host()
        self.set_owner("h1")

    # Fleet.

    def add_host(self):
        self.count += 1
        name = f"h{self.count}"
        self.view.members[name] = Member(name, "", "d0", self.count)
        dispatch = self.make_dispatch(
            self.settings,
            host=name,
            leases=FakeLeases(self.view, name),
            random=Random(self.count),
            placement=self.placement,
        )
        self.hosts[name] = dispatch
        self.apply_actions(name, self._set_inventory(dispatch))
        for target in self.leaving_since:
            self.apply_actions(name, dispatch.note_target_leaving(target, now=self.now))
        return name

    def _set_inventory(self, dispatch):
        return dispatch.set_inventory(
            [self.pool],
            self.targets,
            lambda name: None,
            [STORE],
            offset=1,
            now=self.now,
        )

    def set_owner(self, host, wait_s=0.0):
        epoch = self.view.owner.epoch + 10 if self.view.owner else 10
        self.view.owner = Owner(host, epoch)
        self.view.acts_from = self.now + wait_s

    def kill(self, host):
        """End a host's process; its requests end with its connections."""
        del self.hosts[host]
        self.view.paused.discard(host)
        for grant, (user, _) in list(self.uses.items()):
            if user == host:
                del self.uses[grant]
        if host in self.view.members:
            self.expel(host)

    def expel(self, host):
        """Expel a host; its requests end some time after its grants expire."""
        del self.view.members[host]
        self.view.expelled[host] = self.now + self.view.grant_expiry_s
        if self.view.owner.host == host:
            successor = min(self.view.members)
            self.set_owner(successor, wait_s=self.view.grant_expiry_s)

    def mark_leaving(self, target):
        self.leaving_since.setdefault(target, self.now)
        for name, dispatch in list(self.hosts.items()):
            if name not in self.view.paused:
                self.apply_actions(
                    name, dispatch.note_target_leaving(target, now=self.now)
                )

    def resume(self, host):
        """Resume a paused host, which reads the log before it's confirmed again."""
        self.view.paused.discard(host)
        dispatch = self.hosts[host]
        for target in self.leaving_since:
            self.apply_actions(host, dispatch.note_target_leaving(target, now=self.now))

    # Requests.

    def request(self, host, spec):
        self.apply_actions(
            host, self.hosts[host].request(spec.request, spec, now=self.now)
        )

    def finish(self, grant_id, outcome=Outcome.OK):
        host, grant = self.uses.pop(grant_id)
        if outcome in (Outcome.UNKNOWN, Outcome.CANCELLED):
            self.orphaned_uses.append(
                (self.now + self._get_orphan_duration(grant), grant)
            )
        actions = self.hosts[host].release(
            grant, outcome=outcome, tokens=50.0, first_token_s=0.1, now=self.now
        )
        self.apply_actions(host, actions)

    # Time and network.

    def advance(self, seconds, step=0.05, deliver=True):
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(end, self.now + step)
            self.tick()
            if deliver:
                self.settle()

    def tick(self):
        self._end_expelled_uses()
        for name, dispatch in list(self.hosts.items()):
            if name not in self.view.paused:
                self.apply_actions(name, dispatch.tick(now=self.now))

    def settle(self):
        """Deliver all messages and execute all orders until none are left."""
        for _ in range(10_000):
            if self.network:
                self.deliver(0)
            elif self.orders:
                self.execute_order(0)
            else:
                return
        raise AssertionError("messages or orders are left after 10,000 deliveries")

    def deliver(self, index, *, keep=False):
        recipient, sender, message = self.network[index]
        if not keep:
            del self.network[index]
        if recipient in self.hosts and recipient not in self.view.paused:
            dispatch = self.hosts[recipient]
            self.apply_actions(
                recipient, dispatch.handle(message, sender=sender, now=self.now)
            )

    def execute_order(self, index, *, is_lost=False):
        host, target, order, deadline = self.orders.pop(index)
        if self.now > deadline:
            ok, is_certain = False, False
        else:
            was_loaded = set(self.engines[target].loaded)
            ok, is_certain = self.engines[target].execute_order(order), not is_lost
            if was_loaded - self.engines[target].loaded:
                self._check_eviction(target, order)
        if host in self.hosts and host not in self.view.paused:
            actions = self.hosts[host].note_order_result(
                target, order, ok=ok and is_certain, is_certain=is_certain, now=self.now
            )
            self.apply_actions(host, actions)

    def make_report(self, target):
        """Return the status report of a target."""
        grants = [g for _, g in [*self.uses.values(), *self.orphaned_uses]]
        in_use = [
            AdapterVersion(grant.adapter, grant.version)
            for grant in grants
            if grant.target == target
        ]
        return self.engines[target].report(len(in_use), self.now, in_use)

    def poll_targets(self):
        """Pass the report of every target to every host that isn't paused."""
        for name, dispatch in list(self.hosts.items()):
            if name in self.view.paused:
                continue
            for target in self.engines:
                report = self.make_report(target)
                self.apply_actions(
                    name, dispatch.note_target_report(target, report, now=self.now)
                )

    def apply_actions(self, host, actions):
        for action in actions:
            if isinstance(action, Send):
                self.network.append((action.recipient, host, action.message))
            elif isinstance(action, Order):
                self._check_order_epoch(action)
                deadline = self.now + action.order.deadline_s
                self.orders.append((host, action.target, action.order, deadline))
            elif isinstance(action, Resolve):
                self._resolve(host, action)
            elif isinstance(action, Emit):
                self.events.append((self.now, host, action.event))

    def _resolve(self, host, action):
        assert action.ticket not in self.results, f"resolved twice: {action.ticket}"
        self.results[action.ticket] = action.value
        if isinstance(action.value, Grant):
            self._check_use(host, action.value)
            self.uses[action.value.grant] = (host, action.value)

    # Checks of the history.

    def _end_expelled_uses(self):
        for grant, (host, use) in list(self.uses.items()):
            duration_s = self._get_orphan_duration(use)
            if self.now > self.view.expelled.get(host, self.now) + duration_s:
                del self.uses[grant]
        self.orphaned_uses = [
            (end, g) for end, g in self.orphaned_uses if self.now < end
        ]

    def _get_orphan_duration(self, grant):
        """Return how long a request without an answer continues, seconds."""
        limit_s = self.settings.orphan_pin_s
        return 3 * limit_s if self.engines[grant.target].reports_in_use else limit_s / 2

    def _may_use_grants(self, host):
        return self.now < self.view.expelled.get(host, float("inf"))

    def _check_use(self, host, grant):
        target = self.engines[grant.target].target
        if grant.grant in self.uses:
            self.violations.append(f"grant {grant.grant} used twice at once")
        used = sum(
            g.target == grant.target and self._may_use_grants(user)
            for user, g in self.uses.values()
        )
        if used >= target.batch_slots:
            self.violations.append(
                f"more than {target.batch_slots} requests on {grant.target}"
            )
        since = self.leaving_since.get(grant.target)
        if since is not None and self.now > since + 5.0:
            self.violations.append(f"new request on leaving target {grant.target}")
        if host in self.view.paused or host not in self.view.members:
            self.violations.append(f"unconfirmed host {host} used a grant")

    def _check_order_epoch(self, action):
        engine = self.engines[action.target]
        if action.order.epoch < engine.issued_epoch:
            self.violations.append(f"order with a lower epoch to {action.target}")
        engine.issued_epoch = max(engine.issued_epoch, action.order.epoch)

    def _check_eviction(self, target, order):
        orphaned = [("request without an answer", g) for _, g in self.orphaned_uses]
        for user, grant in [*self.uses.values(), *orphaned]:
            in_use = grant.target == target and grant.adapter == order.adapter
            if in_use and grant.version == order.version:
                self.violations.append(f"{user} uses evicted adapter {order.adapter}")

    def count_held(self):
        """Return the number of grants that hosts hold, by target."""
        return Counter(
            held.granted.target
            for dispatch in self.hosts.values()
            for client in dispatch.clients.values()
            for held in client.grants.values()
        )
