"""A simulated fleet: log outages, a lossy network, drifting clocks and pauses."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from thornlatch.core import Append, Send, decode_record, encode_record
from thornlatch.leases import LeaseTable
from thornlatch.logservice import (
    Delivery,
    FollowerSettings,
    LogFollower,
    LogPage,
    LogRecord,
    LogTail,
)
from thornlatch.membership import (
    CONTROL_STREAM,
    Membership,
    MembershipSettings,
    ViewRecorded,
)

SETTINGS = MembershipSettings(
    safe_s=1.2,
    heartbeat_s=0.3,
    suspect_s=0.8,
    defence_s=0.6,
    order_limit_s=0.4,
    outage_limit_s=15.0,
    acknowledge_s=4.0,
    record_view_s=4.0,
)
FOLLOWER_SETTINGS = FollowerSettings(poll_wait_s=0.1, overdue_s=0.5, answer_s=0.4)
KEYS = tuple(f"pool:{n}" for n in range(6))
TICK_S = 0.1
CLOCK_SPREAD = 0.049


@dataclass
class Faults:
    """Faults of the network and of the log."""

    loss: float = 0.02
    duplication: float = 0.02
    slow: float = 0.02
    is_log_up: bool = True
    append_loss: float = 0.05
    append_repeat: float = 0.1
    append_late: float = 0.05
    late_s: float = 6.0
    cut_links: set[tuple[str, str]] = field(default_factory=set)
    cut_from_log: set[str] = field(default_factory=set)


class Host:
    """A process with its slices and its own clock; pauses delay its events."""

    def __init__(self, fleet: "Fleet", name: str, domain: str, classes: Any) -> None:
        random = Random(f"{fleet.seed}:{name}")
        self.name = name
        self.fleet = fleet
        self.rate = 1 + random.random() * CLOCK_SPREAD
        self.start = random.random() * 1e5
        self.membership = classes.membership(
            fleet.settings,
            host=name,
            address=f"10.0.0.1:{len(fleet.hosts)}",
            failure_domain=domain,
            random=random,
        )
        # The worst case: orders are always running, for as long as they may take.
        self.membership.control_writer.has_open_orders = lambda now: True
        self.leases = classes.table(self.membership)
        self.follower = LogFollower(
            FOLLOWER_SETTINGS, (CONTROL_STREAM,), host=name, random=random
        )
        self.is_running = True
        self.paused_until = -1.0
        self.events: list[str] = []

    def now(self) -> float:
        return self.start + self.rate * self.fleet.time

    def is_paused(self) -> bool:
        return self.fleet.time < self.paused_until

    def call(self, action: Callable[[], None]) -> None:
        """Run an event, after the pause if the host is paused."""
        if not self.is_running:
            return
        if self.is_paused():
            delay_s = self.paused_until - self.fleet.time
            self.fleet.schedule(delay_s, lambda: self.call(action))
            return
        action()

    def tick(self) -> None:
        if self.membership.is_expelled:
            self.is_running = False
            return
        now = self.now()
        peers = [member.host for member in self.membership.iter_members()]
        self.carry_out(self.membership.tick(now=now))
        self.carry_out(self.follower.tick(peers=peers, now=now))
        if self.follower.is_overdue(CONTROL_STREAM, now=now):
            self.carry_out(self.membership.note_log_unavailable(now=now))
        plan = self.follower.plan_read(CONTROL_STREAM, now=now)
        if plan is not None:
            self.fleet.read(self, plan, sent_at=now)

    def receive(self, message: Any, sender: str) -> None:
        now = self.now()
        deliveries, actions = self.follower.handle(message, sender=sender, now=now)
        self.carry_out(actions)
        self.deliver(deliveries)
        self.carry_out(self.membership.handle(message, sender=sender, now=now))

    def finish_read(self, plan: Any, page: LogPage | None, sent_at: float) -> None:
        now = self.now()
        if page is None:
            self.follower.note_failure(plan, now=now)
            return
        if plan.offset < page.first_offset:
            first = page.first_offset
            self.follower.note_failure(plan, now=now, first_offset=first)
            return
        delivery, actions = self.follower.note_page(
            plan, page, sent_at=sent_at, now=now
        )
        self.carry_out(actions)
        self.deliver([delivery])

    def deliver(self, deliveries: list[Delivery]) -> None:
        now = self.now()
        for delivery in deliveries:
            if delivery.gap_until is not None:
                first = delivery.gap_until
                self.carry_out(
                    self.membership.note_log_gap(first_offset=first, now=now)
                )
            for entry in delivery.records:
                record = decode_record(entry.value)
                self.carry_out(
                    self.membership.apply_record(entry.offset, record, now=now)
                )
            if delivery.tail_sent_at is not None:
                sent_at = self.fleet.get_read_time(delivery.tail_sent_at, now)
                self.carry_out(self.membership.note_log_read(sent_at=sent_at, now=now))

    def carry_out(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.fleet.send(self.name, action.recipient, action.message)
            elif isinstance(action, Append):
                self.fleet.append(self, action.record)


@dataclass(frozen=True)
class Classes:
    """Classes under test; each broken variant replaces one."""

    membership: type = Membership
    table: type = LeaseTable
    get_read_time: Callable[[float, float], float] = lambda sent_at, now: sent_at


class Fleet:
    """Hosts, network and log, driven by a heap of events in simulated real time."""

    def __init__(
        self,
        seed: int,
        *,
        classes: Classes = Classes(),  # noqa: B008
        settings: MembershipSettings = SETTINGS,
        faults: Faults | None = None,
        checked_keys: tuple[str, ...] = KEYS,
        has_peer_tails: bool = True,
    ) -> None:
        self.seed = seed
        self.random = Random(seed)
        self.classes = classes
        self.settings = settings
        self.faults = faults or Faults()
        self.keys = checked_keys
        self.has_peer_tails = has_peer_tails
        self.time = 0.0
        self.numbers = itertools.count()
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.hosts: dict[str, Host] = {}
        self.log: list[Any] = []
        self.first_offset = 0
        self.history = History(self.settings)
        self.incarnations = itertools.count(1)
        self.sent_count = 0

    def get_read_time(self, sent_at: float, now: float) -> float:
        return self.classes.get_read_time(sent_at, now)

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (self.time + delay_s, next(self.numbers), action))

    def run(self, duration_s: float) -> None:
        end = self.time + duration_s
        while self.heap and self.heap[0][0] <= end:
            self.time, _, action = heapq.heappop(self.heap)
            action()
        self.time = end

    def start_host(self, domain: str = "") -> Host:
        name = f"host.{next(self.incarnations)}"
        domain = domain or f"domain-{len(self.hosts) % 3}"
        host = Host(self, name, domain, self.classes)
        self.hosts[name] = host
        host.carry_out(host.membership.open_session(now=host.now()))
        self.schedule(self.random.random() * TICK_S, lambda: self.tick_host(host))
        return host

    def tick_host(self, host: Host) -> None:
        if not host.is_running:
            return
        host.call(host.tick)
        self.history.check(self)
        delay_s = TICK_S
        if host.is_paused():
            delay_s += host.paused_until - self.time
        self.schedule(delay_s, lambda: self.tick_host(host))

    def release_keys(self, host: Host) -> None:
        host.call(lambda: host.carry_out(host.membership.release_keys(now=host.now())))

    def close_host(self, host: Host) -> None:
        host.call(lambda: host.carry_out(host.membership.close(now=host.now())))

    def crash(self, host: Host) -> None:
        host.is_running = False

    def pause(self, host: Host, duration_s: float) -> None:
        host.paused_until = self.time + duration_s

    def running(self) -> list[Host]:
        return [host for host in self.hosts.values() if host.is_running]

    def send(self, sender: str, recipient: str, message: Any) -> None:
        self.sent_count += 1
        if (sender, recipient) in self.faults.cut_links:
            return
        if isinstance(message, LogTail) and not self.has_peer_tails:
            return
        if self.random.random() < self.faults.loss:
            return
        copies = 2 if self.random.random() < self.faults.duplication else 1
        for _ in range(copies):
            delay_s = 0.001 + 0.02 * self.random.random()
            if self.random.random() < self.faults.slow:
                delay_s = 3 * self.random.random()
            self.schedule(delay_s, lambda: self._deliver(sender, recipient, message))

    def cut(self, hosts: list[Host], peers: list[Host]) -> None:
        """Cut the links between two groups in both directions."""
        for host in hosts:
            for peer in peers:
                links = {(host.name, peer.name), (peer.name, host.name)}
                self.faults.cut_links |= links

    def cut_log(self, hosts: list[Host]) -> None:
        """Cut hosts from the log."""
        self.faults.cut_from_log |= {host.name for host in hosts}

    def trim_log(self) -> None:
        """Drop old records that the last two recorded views cover."""
        covered = sorted(
            {record.view_offset for record in self.read_records(ViewRecorded)}
        )
        if len(covered) > 1:
            self.first_offset = max(self.first_offset, covered[-2] + 1)

    def read_records(self, kind: type) -> list[Any]:
        """Return the records of one kind on the log."""
        records = map(decode_record, self.log)
        return [record for record in records if isinstance(record, kind)]

    def _deliver(self, sender: str, recipient: str, message: Any) -> None:
        host = self.hosts.get(recipient)
        if host is not None:
            host.call(lambda: host.receive(message, sender))

    def append(self, host: Host, record: Any) -> None:
        if host.name in self.faults.cut_from_log:
            return
        if self.random.random() < self.faults.append_loss:
            return
        copies = 2 if self.random.random() < self.faults.append_repeat else 1
        for _ in range(copies):
            delay_s = 0.005 + 0.05 * self.random.random()
            if self.random.random() < self.faults.append_late:
                delay_s = self.faults.late_s * self.random.random()
            self.schedule(delay_s, lambda: self._append_to_log(record))

    def _append_to_log(self, record: Any) -> None:
        if self.faults.is_log_up:
            self.log.append(encode_record(record))

    def read(self, host: Host, plan: Any, *, sent_at: float) -> None:
        delay_s = 0.005 + 0.05 * self.random.random()
        if self.random.random() < self.faults.slow:
            delay_s = 1.5 * self.random.random()
        self.schedule(delay_s, lambda: self._serve(host, plan, sent_at))

    def _serve(self, host: Host, plan: Any, sent_at: float) -> None:
        page = None
        is_cut = host.name in self.faults.cut_from_log
        if self.faults.is_log_up and not is_cut:
            values = self.log[plan.offset : plan.offset + plan.limit]
            records = tuple(
                LogRecord(plan.offset + index, 0.0, value)
                for index, value in enumerate(values)
            )
            page = LogPage(records, plan.offset + len(records), self.first_offset)
        delay_s = 0.005 + 0.05 * self.random.random()
        if self.random.random() < self.faults.slow:
            delay_s = 1.5 * self.random.random()
        self.schedule(
            delay_s, lambda: host.call(lambda: host.finish_read(plan, page, sent_at))
        )


@dataclass
class LastHold:
    """The last time at which a host held a key."""

    host: str
    epoch: int
    time: float


@dataclass
class History:
    """Holders of all keys over simulated real time, and violations of the rules."""

    settings: MembershipSettings
    last: dict[str, LastHold] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    hold_count: int = 0
    check_count: int = 0

    def check(self, fleet: Fleet) -> None:
        """Check the holders of all keys at the present time."""
        self.check_count += 1
        for key in fleet.keys:
            holders = [
                (host, epoch)
                for host in fleet.hosts.values()
                if host.is_running
                and (epoch := host.leases.get_held_epoch(key, now=host.now()))
                is not None
            ]
            if len(holders) > 1:
                names = sorted(host.name for host, _ in holders)
                self._report(fleet, f"{key} is held by {names}")
            for host, epoch in holders:
                self._record_hold(fleet, key, host, epoch)
        self._check_possible_holders(fleet)

    def _record_hold(self, fleet: Fleet, key: str, host: Host, epoch: int) -> None:
        self.hold_count += 1
        last = self.last.get(key)
        if last is not None:
            if epoch < last.epoch or (epoch == last.epoch and host.name != last.host):
                self._report(
                    fleet,
                    f"{key}: epoch {epoch} of {host.name} after {last.epoch} of "
                    f"{last.host}",
                )
            self._check_orders(fleet, key, host, last)
        self.last[key] = LastHold(host.name, epoch, fleet.time)

    def _check_orders(self, fleet: Fleet, key: str, host: Host, last: LastHold) -> None:
        """Check that orders of the previous holder have ended, unless it closed."""
        if last.host == host.name:
            return
        previous = fleet.hosts[last.host]
        if previous.membership.is_closing:
            return
        elapsed = (fleet.time - last.time) * previous.rate
        if elapsed < self.settings.order_limit_s:
            self._report(
                fleet,
                f"{key}: orders of {last.host} may still run when {host.name} holds it",
            )

    def _check_possible_holders(self, fleet: Fleet) -> None:
        """Check that confirmed hosts list each other as possible holders."""
        confirmed = [
            host
            for host in fleet.hosts.values()
            if host.is_running and host.membership.is_confirmed(now=host.now())
        ]
        for host in confirmed:
            departed = host.membership.view.departed
            for other in confirmed:
                if other.name not in departed:
                    continue
                holders = host.membership.iter_possible_holders(now=host.now())
                if other.name not in holders:
                    self._report(
                        fleet,
                        f"{other.name} is confirmed but isn't a possible holder for "
                        f"{host.name}",
                    )

    def _report(self, fleet: Fleet, text: str) -> None:
        if len(self.violations) < 20:
            self.violations.append(f"{fleet.time:.2f}: {text}")
