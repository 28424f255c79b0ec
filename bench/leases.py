"""Measures the ownership of lease keys over seeded histories with faults."""

import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from random import Random
from statistics import median
from typing import Any

from bench import output
from thornlatch.core import Send
from thornlatch.leases import LeaseTable, score_key
from thornlatch.leases.tests.breakages import BREAKAGES
from thornlatch.leases.tests.fleet import Classes, Fleet
from thornlatch.leases.tests.schedules import find_unheld_keys, run_history
from thornlatch.membership import (
    Membership,
    MembershipSettings,
    SessionOpened,
    ViewAcknowledged,
)

HISTORIES = 500
BASELINE_HISTORIES = 50
TAKEOVERS = 20
WORKERS = 4
KEYS = [f"organisation:{number}" for number in range(500)]
SETTINGS = MembershipSettings()

# The seeds of all measurements start at 0.
build_row = partial(output.build_row, seed=0, digits=3)


def measure() -> list[dict[str, Any]]:
    """Return the rows of all measurements of membership and leases."""
    with ProcessPoolExecutor(WORKERS) as pool:
        violations = sum(pool.map(count_violations, range(HISTORIES)))
        baseline_violations = sum(
            pool.map(count_baseline_violations, range(BASELINE_HISTORIES))
        )
        takeover_times_s = list(pool.map(measure_takeover_s, range(TAKEOVERS)))
        unheld_keys = sum(pool.map(count_unheld_keys, range(BASELINE_HISTORIES)))
    rows = [
        build_row(
            "leases.double_owner_actions",
            violations,
            "violations",
            0,
            baseline_violations,
        ),
        build_row("leases.unheld_keys_after_healing", unheld_keys, "keys", 0, 0),
        build_row(
            "leases.takeover_median_s",
            median(takeover_times_s),
            "s",
            9,
            SETTINGS.slow_wait_s,
        ),
        build_row(
            "leases.takeover_max_s",
            max(takeover_times_s),
            "s",
            12,
            SETTINGS.slow_wait_s,
        ),
    ]
    return [*rows, *measure_moves(), *measure_large_fleet()]


def count_violations(seed: int) -> int:
    """Count violations of invariants in one history."""
    return len(run_history(seed).history.violations)


def count_baseline_violations(seed: int) -> int:
    """Count violations in one history in which successors take over without a wait."""
    fleet = run_history(seed, classes=BREAKAGES["no_wait"])
    return len(fleet.history.violations)


def count_unheld_keys(seed: int) -> int:
    """Count the keys that no host held within 30 s of the end of a history's faults."""
    return len(find_unheld_keys(run_history(seed, duration_s=15.0)))


def measure_takeover_s(seed: int) -> float:
    """Return the seconds from a host's crash until all keys are held again."""
    fleet = Fleet(seed, classes=Classes(), settings=SETTINGS)
    hosts = [fleet.start_host() for _ in range(5)]
    fleet.run(10.0)
    fleet.crash(hosts[seed % 5])
    start = fleet.time
    while count_held_keys(fleet) < len(fleet.keys) and fleet.time < start + 60.0:
        fleet.run(0.05)
    return fleet.time - start


def count_held_keys(fleet: Fleet) -> int:
    """Count the keys that running hosts hold."""
    return sum(
        any(
            host.leases.get_held_epoch(key, now=host.now()) is not None
            for host in fleet.running()
        )
        for key in fleet.keys
    )


def measure_moves() -> Iterator[dict[str, Any]]:
    """Measure the share of keys that move when a ninth host joins eight.

    Keys may move only to the new host.
    """
    before = [max(range(8), key=lambda n: score_key(key, f"h.{n}")) for key in KEYS]
    after = [max(range(9), key=lambda n: score_key(key, f"h.{n}")) for key in KEYS]
    pairs = list(zip(before, after, strict=True))
    moved = sum(old_owner != new_owner for old_owner, new_owner in pairs) / len(KEYS)
    moved_elsewhere = sum(
        old_owner != new_owner and new_owner != 8 for old_owner, new_owner in pairs
    )
    yield build_row("leases.moved_share_on_join", moved, "share", 0.16, 8 / 9)
    yield build_row("leases.keys_moved_between_others", moved_elsewhere, "keys", 0, 0)


def measure_large_fleet() -> Iterator[dict[str, Any]]:
    """Measure heartbeats and lookup times of one host in a fleet of 340.

    Heartbeats are also measured in a fleet of 8. The baseline is a fleet of 340 in
    which each host sends heartbeats to all others.
    """
    small, large = build_member(8), build_member(340)
    yield build_row(
        "membership.heartbeats_per_s_at_340",
        count_heartbeats(large),
        "1/s",
        20,
        339 / SETTINGS.heartbeat_s,
    )
    yield build_row(
        "membership.heartbeats_per_s_at_8", count_heartbeats(small), "1/s", 20, 0
    )
    table = LeaseTable(large)
    yield build_row(
        "leases.read_500_keys_cold_at_340", measure_read_time_ms(table), "ms", 400, 0
    )
    yield build_row(
        "leases.read_500_keys_warm_at_340", measure_read_time_ms(table), "ms", 5, 0
    )


def build_member(count: int) -> Membership:
    """Build one member of a fleet of `count` hosts that has read all joins."""
    membership = Membership(
        SETTINGS, host="h.0", address="x", failure_domain="d-0", random=Random(1)
    )
    records: list[Any] = [
        SessionOpened(f"h.{n}", "x", f"d-{n % 4}") for n in range(count)
    ]
    records += [ViewAcknowledged(f"h.{n}", count - 1) for n in range(count)]
    for offset, record in enumerate(records):
        membership.apply_record(offset, record, now=0.0)
    return membership


def count_heartbeats(membership: Membership) -> float:
    """Return the messages per second over 10 s with a readable log."""
    sent = 0
    for step in range(200):
        now = 1.0 + step * 0.05
        membership.note_log_read(sent_at=now, now=now)
        actions = membership.tick(now=now)
        sent += sum(isinstance(action, Send) for action in actions)
    return sent / 10.0


def measure_read_time_ms(table: LeaseTable) -> float:
    """Return the milliseconds that looking up the owners of all keys takes."""
    start = time.perf_counter()
    for key in KEYS:
        table.get_owner(key)
    return (time.perf_counter() - start) * 1000
