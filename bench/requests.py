"""Measures claims, streams, quarantine and the timeline.

The histories and fleets are those of the tests.
"""

import random
import statistics
import tempfile
import time
import tracemalloc
from dataclasses import replace
from functools import partial
from pathlib import Path

import msgspec

from bench import output
from thornlatch.core import Append, Resolve, decode_record, encode_record
from thornlatch.requests import (
    Claims,
    ClaimTable,
    ClaimWon,
    RecordedAnswer,
    RequestsSettings,
)
from thornlatch.requests._claim_fold import ClaimFold
from thornlatch.requests._claim_records import Claimed, Completed
from thornlatch.requests.tests.claim_histories import History, View
from thornlatch.requests.tests.quarantine_fleets import SETTINGS, Fleet, Plan
from thornlatch.requests.tests.stream_histories import StreamHistory
from thornlatch.timeline import LoggedEvent, encode_event, merge_events, read_events

HISTORIES = 500
FLEETS = 15
SEED = 20_000

build_row = partial(output.build_row, seed=SEED)
APPENDS_PER_S = 300
CLAIMS_PER_S_OFFERED = 3_000
HOSTS = 8
EVENTS = 160_000
CLAIMS = 20_000


def measure() -> list[dict]:
    """Return the rows of all measurements."""
    return [
        *measure_histories(),
        measure_claim_throughput(),
        *measure_claim_costs(),
        *measure_quarantine(),
        measure_timeline(),
    ]


def measure_histories():
    duplicate_runs = wrong_answers = 0
    for seed in range(SEED, SEED + HISTORIES):
        history = History(seed).run()
        duplicate_runs += len(history.find_duplicate_runs())
        wrong_answers += len(history.find_false_answers())
        wrong_answers += len(StreamHistory(seed).run().check())
    return [
        build_row("requests.duplicate_runs", duplicate_runs, "runs", 0),
        build_row("requests.mixed_answers", wrong_answers, "answers", 0),
    ]


class ThrottledLog:
    """Log that accepts a limited number of appends per second, in order of arrival."""

    def __init__(self):
        self.queue = []
        self.records = []
        self.available_appends = 0.0

    def step(self, seconds):
        self.available_appends = min(
            self.available_appends + APPENDS_PER_S * seconds, 30.0
        )
        while self.queue and self.available_appends >= 1:
            self.available_appends -= 1
            self.records.append(self.queue.pop(0))


def measure_claim_throughput():
    """Make claims on all hosts over one log; count those won and completed."""
    rng = random.Random(SEED)
    view = View([f"h{index}" for index in range(HOSTS)])
    settings = RequestsSettings(appends_per_s=APPENDS_PER_S)
    tables = [ClaimTable(settings, host=host, leases=view) for host in view.hosts]
    read_counts = [0] * HOSTS
    log = ThrottledLog()
    won = claim_count = 0
    step = 0.01
    seconds = 3.0
    for tick in range(int(seconds / step)):
        now = 10 + tick * step
        log.step(step)
        for index, table in enumerate(tables):
            actions = []
            for record in log.records[read_counts[index] :]:
                actions += table.apply_record(0, decode_record(record), now=now)
            read_counts[index] = len(log.records)
            for _ in range(int(CLAIMS_PER_S_OFFERED * step / HOSTS + rng.random())):
                claim_count += 1
                actions += table.claim(
                    f"r{claim_count}",
                    organisation="o",
                    idempotency_key=f"k{claim_count}",
                    body_digest="d",
                    now=now,
                    wall_time=now,
                )
            for action in [*actions, *table.tick(now=now)]:
                if isinstance(action, Append):
                    log.queue.append(encode_record(action.record))
                elif isinstance(action, Resolve) and isinstance(action.value, ClaimWon):
                    won += complete(table, action.value.claim, now)
    return build_row("requests.claims_per_second", won / seconds, "claims/s", 2000)


def complete(table, claim, now):
    if not table.begin(claim, now=now):
        return 0
    table.complete(claim, status=200, headers=(), body=b"x" * 200, now=now)
    return 1


def measure_claim_costs():
    """Measure memory and time per claim read from the log, with 200-byte answers."""
    lines = [
        msgspec.json.encode(encode_record(record)) for record in build_claim_records()
    ]
    start = time.perf_counter()
    fold_lines(lines)
    elapsed_s = time.perf_counter() - start
    tracemalloc.start()
    fold = fold_lines(lines)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(fold.entries) == CLAIMS
    return [
        build_row("requests.claim_memory", held_bytes / CLAIMS, "bytes", 2000),
        build_row("requests.claim_read_time", elapsed_s / CLAIMS * 1e6, "us", 200),
    ]


def fold_lines(lines):
    settings = RequestsSettings()
    fold = ClaimFold(
        clock_skew_s=settings.clock_skew_s,
        answers_limit_bytes=settings.answers_limit_bytes,
    )
    for line in lines:
        fold.apply(decode_record(msgspec.json.decode(line)))
    return fold


def build_claim_records():
    headers = (("content-type", "application/json"),)
    for batch in range(CLAIMS // 10):
        host = f"host-{batch % HOSTS}.17abc"
        names = [f"{host}/{batch * 10 + index}" for index in range(10)]
        claims = tuple(
            Claimed(name, "organisation", f"{name:0>36}", "d" * 64, 1e9, 1e9 + 7200)
            for name in names
        )
        answer = RecordedAnswer(200, headers, b"x" * 200)
        yield Claims(host, claims=claims)
        yield Claims(host, completed=tuple(Completed(name, answer) for name in names))


def measure_quarantine():
    plans = [Plan(), Plan(is_concurrent=True), Plan(crashers=2), Plan(message_loss=0.5)]
    crashes = wrongly_refused = 0
    for plan in plans:
        for seed in range(SEED, SEED + FLEETS):
            fleet = Fleet(seed, plan).run()
            crashes = max(crashes, *fleet.crash_counts.values())
            wrongly_refused += len(fleet.wrongly_refused)
    return [
        build_row(
            "quarantine.targets_lost", crashes, "targets per crashing request", 2
        ),
        build_row("quarantine.innocent_final_refusals", wrongly_refused, "requests", 0),
    ]


VARIANTS = {
    "default": Plan(),
    "1 isolated per pool": Plan(settings=replace(SETTINGS, isolated_per_pool=1)),
    "4 isolated per pool": Plan(settings=replace(SETTINGS, isolated_per_pool=4)),
    "concurrent duplicates, together": Plan(is_concurrent=True),
    "concurrent duplicates, apart": Plan(
        is_concurrent=True, keeps_copies_together=False
    ),
    "pods of 2": Plan(pod_targets=2),
    "pods of 3": Plan(pod_targets=3),
    "pods of 2, concurrent duplicates, apart": Plan(
        pod_targets=2, is_concurrent=True, keeps_copies_together=False
    ),
    "half of all messages lost": Plan(message_loss=0.5),
    "two crashing requests": Plan(crashers=2),
    "log outage": Plan(outage=(0.4, 3.0)),
    "failure domain lost": Plan(crashers=0, domain_loss_at=0.6),
    "failure domain lost and crash": Plan(domain_loss_at=0.6),
}


def compare_rules(seeds=20):
    """Print the table of docs/design/0005-requests.md; takes several minutes.

    Columns: variant, most targets lost to one request, mean number of harmless
    requests that were delayed, their mean total delay in seconds, and number of
    requests without an answer.
    """
    for name, plan in VARIANTS.items():
        fleets = [Fleet(seed, plan).run() for seed in range(seeds)]
        max_crashes = max(
            max(fleet.crash_counts.values(), default=0) for fleet in fleets
        )
        delays = [fleet.get_delay() for fleet in fleets]
        delayed = sum(count for count, _ in delays) / seeds
        delay_s = sum(seconds for _, seconds in delays) / seeds
        unserved = sum(len(fleet.calls) for fleet in fleets)
        print(f"{name} | {max_crashes} | {delayed:.1f} | {delay_s:.1f} | {unserved}")


def measure_timeline():
    with tempfile.TemporaryDirectory() as directory:
        paths = write_logs(Path(directory))
        rates = [time_merge(paths) for _ in range(3)]
    rate = statistics.median(rates)
    return build_row("timeline.events_per_second", rate, "events/s", 100_000)


def time_merge(paths):
    start = time.perf_counter()
    count = sum(1 for _ in merge_events(read_events(paths)))
    return count / (time.perf_counter() - start)


def write_logs(directory):
    rng = random.Random(SEED)
    lines = {f"h{index}": [] for index in range(HOSTS)}
    skew = {host: rng.uniform(-0.05, 0.05) for host in lines}
    for number in range(EVENTS // 2):
        sender, recipient = rng.sample(sorted(lines), 2)
        cause = f"{sender}:{number}"
        for host, name in ((sender, "sent"), (recipient, "received")):
            wall = 1000 + number * 1e-4 + skew[host]
            event = LoggedEvent(f"peer.message_{name}", host, wall=wall, cause=cause)
            lines[host].append(encode_event(event))
    paths = []
    for host, encoded_events in lines.items():
        path = directory / host
        path.write_bytes(b"\n".join(encoded_events))
        paths.append(path)
    return paths
