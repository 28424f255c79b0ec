"""Seeded random histories of callers, hosts and a log, for claim tables."""

import random
from dataclasses import dataclass, field

from thornlatch.core import Append, Member, Resolve, decode_record, encode_record
from thornlatch.exceptions import Execution, RequestRefused
from thornlatch.requests import (
    ClaimTable,
    ClaimWon,
    RecordedAnswer,
    RequestsSettings,
)

STEP_S = 0.02
SETTINGS = RequestsSettings(
    claim_batch_s=0.02,
    append_retry_s=0.1,
    append_retry_limit_s=0.4,
    claim_timeout_s=0.5,
    send_timeout_s=0.5,
    wait_s=1.0,
    gone_grace_s=0.1,
    clock_skew_s=0.1,
    repeat_window_s=6.0,
    log_retention_s=10.0,
)


@dataclass
class View:
    """Members of the fleet, the same for all hosts."""

    hosts: list[str] = field(default_factory=list)

    def iter_members(self):
        return [Member(host, "", "d", 0) for host in self.hosts]


@dataclass
class CallRun:
    key: str
    ticket: str
    at: float


@dataclass
class HostState:
    table: ClaimTable
    read: int = 0
    paused_until: float = 0.0
    skew: float = 0.0
    won: dict[str, tuple[str, float]] = field(default_factory=dict)
    sent: dict[str, tuple[str, float]] = field(default_factory=dict)


class History:
    """Runs one seeded history; `check` lists violated guarantees.

    Parameters
    ----------
    seed : int
    table : type
        `ClaimTable` or a mutation of it.
    duration_s : float
        Simulated seconds before the faults stop.
    keys : int
    skew : float
        Seconds by which the clock of the first host is wrong.
    """

    def __init__(self, seed, table=ClaimTable, duration_s=3.0, keys=4, skew=0.0):
        self.random = random.Random(seed)
        self.table = table
        self.duration_s = duration_s
        self.keys = keys
        self.now = 100.0
        self.members = View()
        self.host_states: dict[str, HostState] = {}
        self.log: list[dict] = []
        self.in_flight: list[tuple[float, dict]] = []
        self.outage_until = 0.0
        self.tickets: dict[str, tuple[str, str]] = {}
        self.results: dict[str, object] = {}
        self.runs: list[CallRun] = []
        self.started_hosts = 0
        self.skew = skew
        for _ in range(3):
            self.start_host()

    def start_host(self):
        self.started_hosts += 1
        number = (
            self.started_hosts if self.started_hosts <= 3 else self.find_free_number()
        )
        host = f"m{number}.{self.started_hosts}"
        table = self.table(SETTINGS, host=host, leases=self.members)
        self.members.hosts.append(host)
        skew = self.random.uniform(-0.05, 0.05) + (self.skew if number == 1 else 0)
        self.host_states[host] = HostState(table, skew=skew)

    def find_free_number(self):
        used = {host.split(".")[0] for host in self.host_states}
        return next(number for number in (1, 2, 3) if f"m{number}" not in used)

    def warm_up(self):
        """Let the two hosts with correct clocks claim before faults start."""
        for host in list(self.host_states)[1:]:
            self.call(host)
        for _ in range(int(2.0 / STEP_S)):
            self.step()

    def run(self):
        if self.skew:
            self.warm_up()
        end = self.now + self.duration_s
        while self.now < end:
            self.inject_fault()
            if self.random.random() < 0.25:
                self.call()
            self.step()
        self.outage_until = 0.0
        for _ in range(int(4.0 / STEP_S)):
            self.step()
        return self

    def step(self):
        self.now += STEP_S
        self.deliver_appends()
        for host, state in list(self.host_states.items()):
            if state.paused_until <= self.now:
                self.read_log(host, state)
                self.execute(host, state.table.tick(now=self.now))
                self.send_won(host, state)
                self.finish_sent(host, state)

    def inject_fault(self):
        chance = self.random.random()
        if chance < 0.01:
            self.outage_until = self.now + self.random.choice([0.2, 1.2])
        elif chance < 0.03:
            state = self.random.choice(list(self.host_states.values()))
            state.paused_until = self.now + self.random.choice([0.1, 0.8, 2.0])
        elif chance < 0.045:
            host = self.random.choice(list(self.host_states))
            del self.host_states[host]
            self.members.hosts.remove(host)
            self.start_host()

    def call(self, host=""):
        host = host or self.random.choice(list(self.host_states))
        state = self.host_states[host]
        if state.paused_until > self.now:
            return
        key = f"k{self.random.randrange(self.keys)}"
        ticket = f"r{len(self.tickets)}"
        self.tickets[ticket] = (key, host)
        actions = state.table.claim(
            ticket,
            organisation="o",
            idempotency_key=key,
            body_digest="d" + key,
            now=self.now,
            wall_time=self.now + state.skew,
        )
        self.execute(host, actions)

    def deliver_appends(self):
        if self.now < self.outage_until:
            return
        ready = [append for append in self.in_flight if append[0] <= self.now]
        self.in_flight = [append for append in self.in_flight if append[0] > self.now]
        self.log += [record for _, record in ready]

    def read_log(self, host, state):
        if self.now < self.outage_until or self.random.random() < 0.3:
            return
        end = len(self.log)
        for offset in range(state.read, end):
            record = decode_record(self.log[offset])
            self.execute(host, state.table.apply_record(offset, record, now=self.now))
        state.read = end

    def execute(self, host, actions):
        for action in actions:
            if isinstance(action, Append):
                self.append(encode_record(action.record))
            elif isinstance(action, Resolve):
                self.resolve(host, action)

    def append(self, record):
        chance = self.random.random()
        if chance < 0.15 or (self.now < self.outage_until and chance < 0.7):
            return
        delay = self.random.choice([0.01, 0.02, 0.05, 0.3, 0.9])
        self.in_flight.append((self.now + delay, record))

    def resolve(self, host, action):
        assert action.ticket not in self.results, "resolved twice"
        self.results[action.ticket] = action.value
        if isinstance(action.value, ClaimWon):
            at = self.now + self.random.choice([0.0, 0.02, 0.2])
            self.host_states[host].won[action.value.claim] = (action.ticket, at)

    def send_won(self, host, state):
        for claim, (ticket, at) in list(state.won.items()):
            if at > self.now:
                continue
            del state.won[claim]
            if not state.table.begin(claim, now=self.now):
                actions = state.table.abandon(
                    claim, is_certain_not_run=True, now=self.now
                )
                self.execute(host, actions)
                continue
            self.send(host, state, claim, ticket)

    def send(self, host, state, claim, ticket):
        if self.random.random() < 0.25:
            state.table.return_unsent(claim)
            if self.random.random() < 0.5:
                state.won[claim] = (ticket, self.now + 0.05)
                return
            self.execute(
                host, state.table.abandon(claim, is_certain_not_run=True, now=self.now)
            )
            return
        self.runs.append(CallRun(self.tickets[ticket][0], ticket, self.now))
        state.sent[claim] = (ticket, self.now + self.random.choice([0.02, 0.1, 0.6]))

    def finish_sent(self, host, state):
        for claim, (ticket, at) in list(state.sent.items()):
            if at > self.now:
                continue
            del state.sent[claim]
            if self.random.random() < 0.3:
                actions = state.table.abandon(
                    claim, is_certain_not_run=False, now=self.now
                )
            else:
                actions = state.table.complete(
                    claim,
                    status=200,
                    headers=(("Content-Type", "text/plain"),),
                    body=ticket.encode(),
                    now=self.now,
                )
            self.execute(host, actions)

    def check(self):
        """Return one line per violation."""
        return self.find_duplicate_runs() + self.find_false_answers()

    def find_duplicate_runs(self):
        last: dict[str, CallRun] = {}
        found = []
        for run in self.runs:
            earlier = last.get(run.key)
            if earlier and run.at - earlier.at < SETTINGS.repeat_window_s:
                found.append(f"{run.key} ran for {earlier.ticket} and {run.ticket}")
            last[run.key] = run
        return found

    def find_false_answers(self):
        ran = {run.ticket: run.key for run in self.runs}
        found = []
        for ticket, value in self.results.items():
            if isinstance(value, RequestRefused):
                if value.execution is Execution.NOT_RUN and ticket in ran:
                    found.append(f"{ticket} was reported as not run but ran")
            elif isinstance(value, RecordedAnswer):
                source = value.body.decode()
                if ran.get(source) != self.tickets[ticket][0]:
                    found.append(f"{ticket} got the answer of {source}")
        return found

    def find_unresolved(self):
        """Return the tickets of live hosts that were never resolved."""
        return [
            ticket
            for ticket, (_, host) in self.tickets.items()
            if ticket not in self.results and host in self.host_states
        ]
