"""Runs a fleet under a seeded schedule of faults, at most two at a time."""

import json
import random
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field, replace

import pytest

from tests.deployments import (
    SHOP_KEY,
    Deployment,
    append,
    start_deployment,
    start_engine,
    start_host,
)
from tests.fleet import Fleet, send_http
from tests.streams import StreamCaller
from thornlatch.configuration import (
    Adapter,
    ConfigurationChanged,
    Inventory,
    Key,
    KeyIssued,
    KeyWithdrawn,
    TargetDrained,
    digest_key,
)
from thornlatch.timeline import check_history, merge_events, read_events

RUN_DURATION_S = 60.0
CALLER_COUNT = 16
FAULT_INTERVAL_S = 3.0
HOSTS, ENGINES, SERVICES, DOMAINS = 8, 10, 3, 4
RATE, BURST = 30_000.0, 60_000.0
ALLOWANCES = [("shop", RATE, BURST), ("library", RATE, BURST)]


@dataclass
class Results:
    """Counts of the outcomes that callers saw, and violations of invariants."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    counts: Counter = field(default_factory=Counter)
    violations: list = field(default_factory=list)

    def count(self, outcome):
        with self.lock:
            self.counts[outcome] += 1

    def add_violation(self, violation):
        with self.lock:
            self.violations.append(violation)


class Schedule:
    """Starts faults chosen by a seeded generator and ends each after its duration."""

    def __init__(self, fleet, deployment, seed):
        self.fleet = fleet
        self.deployment = deployment
        self.random = random.Random(seed)
        self.hosts = [f"host-{i}" for i in range(HOSTS)]
        self.engines = [f"engine-{i}" for i in range(ENGINES)]
        self.active = []
        self.affected = set()
        self.log_faults = {}
        self.cuts = {}
        self.fault_count = 0
        self.issued_key_count = 0
        self.current_key = SHOP_KEY

    def step(self):
        now = time.monotonic()
        for fault in [fault for fault in self.active if fault[0] <= now]:
            self.active.remove(fault)
            fault[1]()
        if len(self.active) < 2:
            kind = self.random.choice(FAULTS)
            self.fault_count += 1
            getattr(self, kind)()

    def finish(self):
        for _, end in self.active:
            end()
        self.active.clear()

    def end_after(self, seconds, end):
        self.active.append((time.monotonic() + seconds, end))

    def choose_unaffected(self, names):
        unaffected = [name for name in names if name not in self.affected]
        name = self.random.choice(unaffected)
        self.affected.add(name)
        return name

    def kill_host(self):
        name = self.choose_unaffected(self.hosts)
        self.fleet.kill(name)
        self.end_after(4, lambda: self.restart_host(name))

    def restart_host(self, name):
        index = int(name.partition("-")[2])
        log = self.fleet.addresses["log"]
        start_host(self.fleet, self.deployment, name, index, log)
        self.affected.discard(name)

    def stop_host(self):
        name = self.choose_unaffected(self.hosts)
        self.fleet.terminate(name)

        def end():
            status = self.fleet.wait_exit(name, timeout_s=60)
            assert status == 0, (
                f"{name} exited with status {status} after a planned stop"
            )
            self.restart_host(name)

        self.end_after(4, end)

    def pause_host(self):
        name = self.choose_unaffected(self.hosts)
        self.fleet.pause(name)

        def end():
            self.fleet.resume(name)
            self.affected.discard(name)

        self.end_after(self.random.choice([1, 3, 9]), end)

    def partition_host(self):
        name = self.choose_unaffected(self.hosts)
        peers = [peer for peer in self.hosts if peer != name]
        direction = self.random.choice(["to", "from", "both"])
        cut = {key: peers for key in ("to", "from") if direction in (key, "both")}
        path = self.fleet.directory / f"{name}.cuts.json"
        path.write_text(json.dumps(cut))

        def end():
            path.write_text("{}")
            self.affected.discard(name)

        self.end_after(5, end)

    def set_log_faults(self, seconds, **faults):
        self.log_faults.update(faults)
        self.fleet.set_faults("log", **self.log_faults)

        def end():
            for name in faults:
                self.log_faults.pop(name, None)
            self.fleet.set_faults("log", **self.log_faults)

        self.end_after(seconds, end)

    def stop_log(self):
        self.set_log_faults(6, is_down=True)

    def slow_log(self):
        self.set_log_faults(5, delay_s=0.4)

    def lose_replies(self):
        self.set_log_faults(3, lose_replies=10)

    def refuse_log_client(self):
        self.set_log_faults(5, refused_clients=[self.random.choice(self.hosts)])

    def kill_engine(self):
        name = self.choose_unaffected(self.engines)
        self.fleet.kill(name)
        self.end_after(3, lambda: self.restart_engine(name))

    def restart_engine(self, name):
        start_engine(self.fleet, self.deployment, name, self.fleet.addresses["store"])
        self.affected.discard(name)

    def kill_domain_engines(self):
        domain = self.random.randrange(DOMAINS)
        killed = [
            name
            for i, name in enumerate(self.engines)
            if i % DOMAINS == domain and name not in self.affected
        ]
        for name in killed:
            self.affected.add(name)
            self.fleet.kill(name)

        def end():
            for name in killed:
                self.restart_engine(name)

        self.end_after(5, end)

    def withdraw_key(self):
        self.issued_key_count += 1
        new_key = f"shop-key-{self.issued_key_count}"
        old_key, self.current_key = self.current_key, new_key
        self.publish(KeyIssued(Key(digest_key(new_key), "shop"), "chaos"))
        self.publish(KeyWithdrawn(digest_key(old_key), "chaos"))

    def publish_conflicting_changes(self):
        status = self.read_status()
        if status is None:
            return
        base = status["configuration"]["inventory_offset"]
        for author in ("first", "second"):
            adapter = Adapter(f"raced-{self.fault_count}-{author}", "1", "llm", "shop")
            change = ConfigurationChanged(base, author, Inventory(adapters=(adapter,)))
            self.publish(change)

    def drain_engine(self):
        name = self.choose_unaffected(self.engines)
        self.publish(TargetDrained(name, "chaos", True))

        def end():
            self.publish(TargetDrained(name, "chaos", False))
            self.affected.discard(name)

        self.end_after(8, end)

    def publish(self, record):
        threading.Thread(
            target=append, args=(self.fleet, "configuration", record), daemon=True
        ).start()

    def read_status(self):
        for name in self.hosts:
            try:
                address = self.fleet.addresses[name]
                return send_http(address, "GET", "/status", timeout_s=1).json
            except (OSError, ValueError):
                continue
        return None


FAULTS = [
    "kill_host",
    "kill_host",
    "stop_host",
    "pause_host",
    "pause_host",
    "partition_host",
    "stop_log",
    "slow_log",
    "lose_replies",
    "refuse_log_client",
    "kill_engine",
    "kill_engine",
    "kill_domain_engines",
    "withdraw_key",
    "publish_conflicting_changes",
    "drain_engine",
]


def run_caller(number, fleet, schedule, results, stop_at):
    """Send requests to random hosts until `stop_at`."""
    rng = random.Random(number)
    hosts = list(schedule.hosts)
    while time.monotonic() < stop_at:
        address = fleet.addresses[rng.choice(hosts)]
        if rng.random() < 0.2:
            reserve(
                address, f"key-{number}-{rng.randrange(20)}", rng, schedule, results
            )
        else:
            read_stream(address, rng, schedule, results)
        time.sleep(rng.random() * 0.1)


def read_stream(address, rng, schedule, results):
    model = f"adapter-{min(int(rng.expovariate(0.2)), 23)}"
    tokens = rng.choice([5, 20, 80])
    headers = {"X-Deadline-Ms": "4000"}
    prompt = f"p{rng.randrange(1000)}"
    stream = StreamCaller(
        address, model, prompt, tokens, key=schedule.current_key, headers=headers
    ).read()
    if not stream.is_correct_so_far:
        results.add_violation(("wrong answer", model, prompt, stream.text))
    if stream.is_done and stream.error is None and not stream.is_correct:
        results.add_violation(("incomplete answer", model, prompt, stream.text))
    results.count(classify(stream))


def classify(stream):
    if stream.is_correct:
        return "right"
    if stream.is_connection_lost or (stream.status == 200 and stream.error is None):
        return "broken"
    return str((stream.error or {}).get("code"))


def reserve(address, key, rng, schedule, results):
    headers = {
        "Authorization": f"Bearer {schedule.current_key}",
        "Idempotency-Key": key,
        "X-Deadline-Ms": "4000",
    }
    body = {"key": key}
    try:
        answer = send_http(
            address, "POST", "/reserve", body, headers=headers, timeout_s=20
        )
    except (OSError, ValueError):
        results.count("reservation broken")
        return
    code = "right" if answer.status == 200 else answer.json["error"]["code"]
    results.count(f"reservation {code}")


@pytest.mark.chaos
@pytest.mark.timeout(240)
def test_fleet_holds_its_invariants_under_failures(tmp_path, request):
    report = run_chaos(tmp_path, request.config.getoption("--chaos-seed"))
    print(json.dumps(report, indent=1, default=str))
    assert not report["broken_promises"]
    assert not report["violations"]
    assert report["outcomes"]["right"] > 0.5 * report["requests"]


def run_chaos(directory, seed):
    """Run the fleet under the faults of a seed; return counts and violations."""
    results = Results()
    deployment = Deployment(
        hosts=HOSTS,
        engines=ENGINES,
        plain_services=SERVICES,
        domains=DOMAINS,
        adapters=24,
        adapter_slots=6,
        token_s=0.005,
        rate=RATE,
        burst=BURST,
    )
    with Fleet(directory) as fleet:
        cuts = {
            f"host-{i}": str(directory / f"host-{i}.cuts.json") for i in range(HOSTS)
        }
        deployment = replace(deployment, cut_files=cuts)
        start_deployment(fleet, deployment)
        schedule = Schedule(fleet, deployment, seed)
        stop_at = time.monotonic() + RUN_DURATION_S
        with ThreadPoolExecutor(CALLER_COUNT) as executor:
            futures = [
                executor.submit(run_caller, n, fleet, schedule, results, stop_at)
                for n in range(CALLER_COUNT)
            ]
            while time.monotonic() < stop_at:
                schedule.step()
                time.sleep(FAULT_INTERVAL_S)
            schedule.finish()
            for future in futures:
                future.result()
        check_reservations(fleet, results)
        violations = check_history(
            merge_events(read_events(fleet.list_event_files())), ALLOWANCES
        )
    return {
        "seed": seed,
        "requests": sum(results.counts.values()),
        "faults": schedule.fault_count,
        "outcomes": dict(results.counts),
        "violations": [str(violation) for violation in violations][:20],
        "broken_promises": results.violations[:20],
    }


def check_reservations(fleet, results):
    """Add a violation for each reservation that ran more than once."""
    reservation_keys = {}
    for event in fleet.read_events():
        if event["event"] == "requests.sent" and event["detail"].get("claim"):
            reservation_keys[event["request"]] = event["detail"]["idempotency_key"]
    run_counts = Counter(
        reservation_keys[event["request"]]
        for event in fleet.read_events()
        if event["event"] == "target.request_run"
        and event["request"] in reservation_keys
    )
    for key, count in run_counts.items():
        if count > 1:
            results.add_violation(("reservation ran more than once", key, count))
