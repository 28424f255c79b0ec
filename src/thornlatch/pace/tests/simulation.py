"""Simulated hosts and targets, with delayed and lost digests and without network."""

import heapq
from collections import Counter
from dataclasses import dataclass, field
from random import Random

from thornlatch.fleet import Target, merge_paces
from thornlatch.pace import PacedRequest, Pacer, PaceReason, PaceSettings

SERVICE = "s"
STEP_S = 0.01
USUAL_S = 0.3
QUEUE_RATIO = 1.5  # requests per slot above which a host sends no more
SETTINGS = PaceSettings(is_enabled=True)


def build_target(name="t1", *, started_ms=1000, slots=16):
    return Target(name, SERVICE, "ip:1", "d1", slots, started_ms=started_ms)


@dataclass
class SimulatedTarget:
    """A target of which tests override how it responds."""

    target: Target
    slow_above: float = 1e9  # running requests above which it slows down
    crash_above: float = 1e9  # running requests above which it crashes
    crashed: bool = False
    answers: bool = True
    running: int = 0
    sends: list = field(default_factory=list)
    totals: list = field(default_factory=list)
    windows: list = field(default_factory=list)  # largest of all hosts

    def respond(self, now, random):
        """Return the seconds and the outcome; None for no answer at all."""
        if self.crashed:
            return 0.002, PaceReason.FAILED
        if not self.answers:
            return None
        slowdown = max(self.running / self.slow_above, 1.0) ** 2
        return USUAL_S * slowdown * random.uniform(0.9, 1.1), None


@dataclass
class Host:
    """A simulated host."""

    name: str
    pacer: Pacer = None
    running: Counter = field(default_factory=Counter)
    reports: dict = field(default_factory=dict)  # latest digest by peer
    waiting: int = 0
    next_digest_at: float = 0.0
    changes: list = field(default_factory=list)

    def count_peers(self, target):
        return sum(running.get(target, 0) for running in self.reports.values())

    def get_share(self):
        own = self.running.total()
        peers = sum(sum(running.values()) for running in self.reports.values())
        return own / (own + peers) if own else 0.0


class Fleet:
    """Hosts that send what their pacers allow, the rest waits up to a bound."""

    def __init__(
        self, hosts=3, *, period_s=0.05, delay_s=0.03, loss=0.0, demand=100.0, seed=1
    ):
        self.random = Random(seed)
        self.period_s, self.delay_s, self.loss = period_s, delay_s, loss
        self.demand = demand
        self.now = 0.0
        self.events = []
        self.number = 0
        self.targets = {}
        self.hosts = {}
        self.cut = set()
        for number in range(hosts):
            self.add_host(f"h{number}")

    def add_host(self, name):
        host = Host(name)
        host.pacer = Pacer(
            SETTINGS,
            count_own=lambda target: host.running[target],
            count_peers=host.count_peers,
            get_share=host.get_share,
            random=Random(name),
        )
        host.next_digest_at = self.now + self.random.uniform(0, self.period_s)
        self.hosts[name] = host
        for other in self.hosts.values():
            other.pacer.set_fleet(hosts=len(self.hosts), period_s=self.period_s)
        for simulated in self.targets.values():
            host.pacer.begin(simulated.target, is_first_read=True, now=self.now)
        self.note_others(host, 30)
        return host

    def note_others(self, host, responses):
        """Note responses of the service's other targets, which aren't simulated."""
        request = PacedRequest(build_target("other"), "1", True, 10)
        for _ in range(responses):
            host.pacer.note_response(request, USUAL_S, now=self.now)

    def start(self, simulated):
        self.targets[simulated.target.id] = simulated
        for host in self.hosts.values():
            self.note(
                host,
                host.pacer.begin(simulated.target, is_first_read=False, now=self.now),
            )

    def note(self, host, change):
        if change is not None:
            host.changes.append((self.now, change))

    def get(self, name):
        return self.targets[name].target if name in self.targets else None

    def schedule(self, at, action):
        self.number += 1
        heapq.heappush(self.events, (at, self.number, action))

    def run(self, for_s):
        end = self.now + for_s
        while self.now < end - STEP_S / 2:
            self.now += STEP_S
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            for host in list(self.hosts.values()):
                if self.now >= host.next_digest_at:
                    host.next_digest_at = self.now + self.period_s
                    self.send_digest(host)
                    self.note_others(host, 1)
                    for change in host.pacer.tick(self.get, now=self.now):
                        self.note(host, change)
            self.add_demand()
            for simulated in self.targets.values():
                simulated.totals.append(simulated.running)
                simulated.windows.append(max(self.get_windows(simulated.target)))

    def add_demand(self):
        expected = self.demand * STEP_S
        names = list(self.hosts)
        for _ in range(int(expected) + (self.random.random() < expected % 1)):
            host = self.hosts[self.random.choice(names)]
            host.waiting = min(
                host.waiting + 1, max(round(self.demand / len(names)), 1)
            )
        for host in self.random.sample(list(self.hosts.values()), len(names)):
            while host.waiting and self.try_any(host):
                host.waiting -= 1

    def try_any(self, host):
        targets = list(self.targets.values())
        self.random.shuffle(targets)
        return any(self.try_send(host, simulated) for simulated in targets)

    def try_send(self, host, simulated):
        target = simulated.target
        self.number += 1
        request = PacedRequest(target, str(self.number), True, 10)
        if host.pacer.get_wait_s(target, service_s=USUAL_S, now=self.now):
            host.pacer.note_wanted(target.incarnation)
            return False
        view = host.running[target.id] + host.count_peers(target.id)
        if view >= QUEUE_RATIO * target.slots:
            return False  # it would start too late, as for targets that aren't paced
        if not host.pacer.try_send(request, now=self.now):
            return False
        host.running[target.id] += 1
        host.pacer.note_sent(request, now=self.now)
        simulated.running += 1
        simulated.sends.append(self.now)
        if simulated.running > simulated.crash_above:
            simulated.crashed = True
        outcome = simulated.respond(self.now, self.random)
        if outcome is not None:
            elapsed_s, failure = outcome
            self.schedule(
                self.now + elapsed_s,
                lambda: self.answer(host, simulated, request, elapsed_s, failure),
            )
        return True

    def answer(self, host, simulated, request, elapsed_s, failure):
        host.running[request.target.id] -= 1
        simulated.running -= 1
        if simulated.crashed:
            failure = PaceReason.FAILED
        if failure is None:
            change = host.pacer.note_response(request, elapsed_s, now=self.now)
        else:
            change = host.pacer.note_failure(
                request, failure, sent_at=self.now - elapsed_s, now=self.now
            )
        self.note(host, change)

    def send_digest(self, sender):
        running = dict(sender.running)
        reports = sender.pacer.build_reports(now=self.now)
        for peer in self.hosts.values():
            if peer is sender or self.random.random() < self.loss:
                continue
            if sender.name in self.cut or peer.name in self.cut:
                continue
            delay_s = self.delay_s * self.random.uniform(0.5, 1.5)
            self.schedule(
                self.now + delay_s,
                lambda peer=peer: self.receive(peer, sender.name, running, reports),
            )

    def receive(self, peer, sender, running, reports):
        peer.reports[sender] = running
        for report in merge_paces(reports):
            target = self.get(report.target)
            slots = target.slots if target is not None else float("inf")
            change = peer.pacer.apply_report(report, slots=slots, now=self.now)
            self.note(peer, change)

    def get_windows(self, target):
        return {
            host.pacer.get_window(target.incarnation) for host in self.hosts.values()
        }
