"""Seeded fleets in which callers repeat a request that crashes its target."""

import hashlib
import heapq
import random
from dataclasses import dataclass, field

from thornlatch.core import (
    Append,
    Envelope,
    Member,
    Resolve,
    Send,
    decode_envelope,
    decode_record,
    encode_envelope,
    encode_record,
)
from thornlatch.dispatch import DispatchSettings, DuplicateTracker, Outcome, RequestSpec
from thornlatch.exceptions import ErrorKind, RequestRefused
from thornlatch.requests import (
    IsolationRequired,
    Quarantine,
    QuarantineSettings,
    Refuse,
    RunIsolated,
)

STEP_S = 0.005
SETTINGS = QuarantineSettings(wait_s=20.0)


@dataclass(frozen=True)
class Plan:
    """Parameters of one simulated fleet."""

    settings: QuarantineSettings = SETTINGS
    hosts: int = 8
    targets: int = 10
    domains: int = 3
    crashers: int = 1
    is_concurrent: bool = False
    keeps_copies_together: bool = True
    pod_targets: int = 0
    message_loss: float = 0.05
    outage: tuple[float, float] = (0.0, 0.0)
    domain_loss_at: float = -1.0
    host_loss_at: float = -1.0
    arrivals_per_s: float = 60.0
    duration_s: float = 2.0


@dataclass
class Call:
    name: str
    fingerprint: str
    host: str
    created_at: float
    is_crasher: bool = False
    run: int = 0
    delayed_since: float = -1.0

    def make_spec(self):
        return RequestSpec(
            self.name, self.run + 1, "o", "p", 60.0, 1.0, fingerprint=self.fingerprint
        )


@dataclass
class Target:
    name: str
    domain: str
    back_at: float = 0.0
    calls: dict[str, Call] = field(default_factory=dict)
    reserved_for: str = ""


def rank_targets(fingerprint, targets):
    """Order targets by rendezvous hashing, the same on each host."""
    return sorted(targets, key=lambda target: _score(fingerprint, target), reverse=True)


def _score(fingerprint, target):
    return hashlib.sha256(f"{fingerprint}\0{target}".encode()).digest()


class Fleet:
    """Runs one plan with one seed; counts crashes, wrong refusals and delays."""

    def __init__(self, seed, plan=None, quarantine=Quarantine):
        self.plan = plan or Plan()
        self.random = random.Random(seed)
        self.now = 50.0
        self.events = []
        self.event_count = 0
        names = [f"h{index}" for index in range(self.plan.hosts)]
        self.members = list(names)
        self.quarantines = {
            name: quarantine(self.plan.settings, host=name, leases=self)
            for name in names
        }
        self.targets = {
            f"t{index}": Target(f"t{index}", f"d{index % self.plan.domains}")
            for index in range(self.plan.targets)
        }
        self.read = dict.fromkeys(names, 0)
        self.log = []
        self.calls = {}
        self.duplicates = DuplicateTracker(DispatchSettings().copy_hold_s)
        self.crash_counts: dict[str, int] = {}
        self.repeats: dict[str, int] = {}
        self.wrongly_refused: list[Call] = []
        self.delays: dict[str, float] = {}
        self.call_count = 0

    def iter_members(self):
        return [Member(name, "", "d", 0) for name in self.members]

    def schedule(self, delay, action, *arguments):
        self.event_count += 1
        heapq.heappush(
            self.events, (self.now + delay, self.event_count, action, arguments)
        )

    def run(self):
        plan = self.plan
        start = self.now
        for index in range(plan.crashers):
            self.schedule(0.5 + 0.01 * index, self.begin_crasher, f"crash{index}")
        if plan.domain_loss_at >= 0:
            self.schedule(plan.domain_loss_at, self.lose_domain, "d0")
        if plan.host_loss_at >= 0:
            self.schedule(plan.host_loss_at, self.lose_host, "h0")
        while self.now < start + plan.duration_s or (
            (self.calls or self.events) and self.now < start + plan.duration_s + 20
        ):
            self.now += STEP_S
            is_busy = self.now < start + plan.duration_s
            if is_busy and self.random.random() < plan.arrivals_per_s * STEP_S:
                self.arrive(self.random.choice(sorted(self.quarantines)), False)
            while self.events and self.events[0][0] <= self.now:
                _, _, action, arguments = heapq.heappop(self.events)
                action(*arguments)
            for name in list(self.quarantines):
                self.read_log(name, start)
                self.execute(name, self.quarantines[name].tick(now=self.now))
        return self

    def begin_crasher(self, fingerprint):
        hosts = sorted(self.quarantines)
        if not self.plan.is_concurrent:
            hosts = hosts[:1]
        for host in hosts:
            self.arrive(host, True, fingerprint)

    def arrive(self, host, is_crasher, fingerprint=""):
        if host not in self.quarantines:
            return
        self.call_count += 1
        name = f"c{self.call_count}"
        fingerprint = fingerprint or f"f{self.call_count}"
        call = Call(name, fingerprint, host, self.now, is_crasher)
        self.calls[name] = call
        self.route(call)

    def route(self, call):
        quarantine = self.quarantines[call.host]
        verdict = quarantine.check(call.fingerprint, now=self.now)
        if isinstance(verdict, Refuse):
            self.refuse(call, verdict.refusal)
        elif isinstance(verdict, IsolationRequired):
            self.begin_delay(call)
            actions = quarantine.request_isolation(
                call.name, call.fingerprint, pool="p", now=self.now
            )
            self.execute(call.host, actions)
        else:
            self.dispatch(call)

    def dispatch(self, call):
        names = [
            target.name
            for target in self.targets.values()
            if target.back_at <= self.now and not target.reserved_for
        ]
        names = self.limit_to_pod(call, names)
        if self.plan.keeps_copies_together:
            spec = call.make_spec()
            names = [n for n in names if self.duplicates.may_run(spec, n, self.now)]
        if not names:
            self.schedule(0.05, self.retry, call)
            return
        self.start(call, self.random.choice(names), "")

    def limit_to_pod(self, call, names):
        """Keep the targets of the call's pod: its `pod_targets` first by rank."""
        if not self.plan.pod_targets:
            return names
        pod = rank_targets(call.fingerprint, self.targets)[: self.plan.pod_targets]
        return [name for name in names if name in pod]

    def retry(self, call):
        if call.name in self.calls and call.host in self.quarantines:
            self.route(call)

    def start(self, call, target, isolation_id):
        self.end_delay(call)
        call.run += 1
        self.targets[target].calls[call.name] = call
        self.duplicates.note_granted(call.fingerprint, target, self.now)
        self.quarantines[call.host].note_started(
            call.name,
            call.fingerprint,
            target=target,
            now=self.now,
            isolation_id=isolation_id,
        )
        if call.is_crasher:
            self.schedule(self.random.uniform(0.02, 0.3), self.crash, call, target)
        else:
            duration = self.random.uniform(0.2, 1.0)
            self.schedule(duration, self.finish, call, target, call.run)

    def run_isolated(self, call, verdict):
        if call.name not in self.calls or call.host not in self.quarantines:
            return
        live = [
            target.name
            for target in self.targets.values()
            if target.back_at <= self.now
            and target.name not in verdict.excluded
            and target.reserved_for in ("", verdict.isolation_id)
        ]
        live = self.limit_to_pod(call, live)
        ranked = rank_targets(call.fingerprint, live)
        reserved = [name for name in ranked if self.targets[name].reserved_for]
        chosen = self.targets[(reserved or ranked)[0]] if ranked else None
        if chosen is None or chosen.calls:
            if chosen is not None:
                chosen.reserved_for = verdict.isolation_id
            self.schedule(0.01, self.run_isolated, call, verdict)
            return
        chosen.reserved_for = verdict.isolation_id
        self.start(call, chosen.name, verdict.isolation_id)

    def crash(self, call, target):
        if call.name in self.targets[target].calls:
            self.crash_counts[call.fingerprint] = (
                self.crash_counts.get(call.fingerprint, 0) + 1
            )
            self.kill(target)

    def kill(self, name):
        target = self.targets[name]
        target.back_at = self.now + 30.0
        target.reserved_for = ""
        interrupted = list(target.calls.values())
        target.calls.clear()
        for call in interrupted:
            self.duplicates.note_ended(call.fingerprint, Outcome.UNKNOWN, self.now)
        for host in self.quarantines:
            own = [call for call in interrupted if call.host == host]
            self.schedule(
                self.random.uniform(0.001, 0.01), self.report_failure, host, name, own
            )

    def report_failure(self, host, target, calls):
        if host not in self.quarantines:
            return
        domain = self.targets[target].domain
        self.execute(
            host,
            self.quarantines[host].note_target_failure(
                target,
                failure_domain=domain,
                domain_targets=sum(t.domain == domain for t in self.targets.values()),
                now=self.now,
            ),
        )
        for call in calls:
            self.route(call)

    def finish(self, call, target, run):
        running_calls = self.targets[target].calls
        if running_calls.get(call.name) is not call or call.run != run:
            return
        del running_calls[call.name]
        self.duplicates.note_ended(call.fingerprint, Outcome.OK, self.now)
        self.targets[target].reserved_for = ""
        self.calls.pop(call.name, None)
        if call.host in self.quarantines:
            actions = self.quarantines[call.host].note_finished(call.name, now=self.now)
            self.execute(call.host, actions)

    def refuse(self, call, refusal):
        self.calls.pop(call.name, None)
        if not call.is_crasher:
            if refusal.kind is ErrorKind.QUARANTINED:
                self.wrongly_refused.append(call)
            self.end_delay(call)
            return
        count = self.repeats[call.fingerprint] = (
            self.repeats.get(call.fingerprint, 0) + 1
        )
        if count <= 2 * self.plan.hosts:
            host = f"h{count % self.plan.hosts}"
            self.schedule(0.001, self.arrive, host, True, call.fingerprint)

    def begin_delay(self, call):
        if call.delayed_since < 0:
            call.delayed_since = self.now

    def end_delay(self, call):
        if call.delayed_since >= 0 and not call.is_crasher:
            delay_s = self.now - call.delayed_since
            self.delays[call.name] = self.delays.get(call.name, 0.0) + delay_s
        call.delayed_since = -1.0

    def lose_domain(self, domain):
        for target in self.targets.values():
            if target.domain == domain:
                self.schedule(self.random.uniform(0, 0.05), self.kill, target.name)

    def lose_host(self, host):
        del self.quarantines[host]
        self.members.remove(host)
        for target in self.targets.values():
            if target.reserved_for.startswith(host + "/"):
                target.reserved_for = ""
        self.calls = {n: c for n, c in self.calls.items() if c.host != host}

    def read_log(self, host, start):
        if self.is_log_unavailable(start):
            return
        for offset in range(self.read[host], len(self.log)):
            record = decode_record(self.log[offset])
            actions = self.quarantines[host].apply_record(offset, record, now=self.now)
            self.execute(host, actions)
        self.read[host] = len(self.log)

    def is_log_unavailable(self, start=50.0):
        begin, end = self.plan.outage
        return begin <= self.now - start < end

    def append_to_log(self, record):
        if not self.is_log_unavailable() and self.random.random() > 0.05:
            self.log.append(record)

    def deliver(self, recipient, data):
        if recipient in self.quarantines:
            envelope = decode_envelope(data)
            quarantine = self.quarantines[recipient]
            self.execute(
                recipient,
                quarantine.handle(
                    envelope.message, sender=envelope.sender, now=self.now
                ),
            )

    def execute(self, host, actions):
        for action in actions:
            if isinstance(action, Append):
                delay = self.random.uniform(0.005, 0.03)
                self.schedule(delay, self.append_to_log, encode_record(action.record))
            elif isinstance(action, Send):
                if self.random.random() >= self.plan.message_loss:
                    data = encode_envelope(Envelope(host, 0, action.message))
                    delay = self.random.uniform(0.0005, 0.0015)
                    self.schedule(delay, self.deliver, action.recipient, data)
            elif isinstance(action, Resolve):
                self.resolve(host, action)

    def resolve(self, host, action):
        call = self.calls.get(action.ticket)
        if call is None:
            return
        if isinstance(action.value, RequestRefused):
            self.refuse(call, action.value)
        elif isinstance(action.value, RunIsolated):
            self.run_isolated(call, action.value)
        else:
            self.dispatch(call)

    def get_delay(self):
        """Return the count and total delay in seconds of delayed harmless requests."""
        return len(self.delays), sum(self.delays.values())
