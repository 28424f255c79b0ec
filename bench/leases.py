"""Measures ownership of lease keys over seeded histories of faults."""

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

# Seeds count up from 0.
build_row = partial(output.build_row, seed=0, digits=3)


def measure() -> list[dict[str, Any]]:
    """Return one row for each figure of membership and leases."""
    with ProcessPoolExecutor(WORKERS) as pool:
        broken = sum(pool.map(count_violations, range(HISTORIES)))
        unguarded = sum(pool.map(count_unguarded, range(BASELINE_HISTORIES)))
        takeovers = list(pool.map(time_takeover, range(TAKEOVERS)))
        unheld = sum(pool.map(count_unheld, range(BASELINE_HISTORIES)))
    rows = [
        build_row("leases.double_owner_actions", broken, "violations", 0, unguarded),
        build_row("leases.unheld_keys_after_healing", unheld, "keys", 0, 0),
        build_row(
            "leases.takeover_median_s", median(takeovers), "s", 9, SETTINGS.slow_wait_s
        ),
        build_row(
            "leases.takeover_max_s", max(takeovers), "s", 12, SETTINGS.slow_wait_s
        ),
    ]
    return [*rows, *measure_moves(), *measure_large_fleet()]


def count_violations(seed: int) -> int:
    """Count broken promises in one history of the protocol as built."""
    return len(run_history(seed).history.violations)


def count_unguarded(seed: int) -> int:
    """Count broken promises in one history without a successor's wait."""
    fleet = run_history(seed, classes=BREAKAGES["no_wait"])
    return len(fleet.history.violations)


def count_unheld(seed: int) -> int:
    """Count keys that nobody holds 30 s after one history has healed."""
    return len(find_unheld_keys(run_history(seed, duration_s=15.0)))


def time_takeover(seed: int) -> float:
    """Return the seconds from a crash until all keys are held again."""
    fleet = Fleet(seed, classes=Classes(), settings=SETTINGS)
    hosts = [fleet.start_host() for _ in range(5)]
    fleet.run(10.0)
    fleet.crash(hosts[seed % 5])
    start = fleet.time
    while count_held(fleet) < len(fleet.keys) and fleet.time < start + 60.0:
        fleet.run(0.05)
    return fleet.time - start


def count_held(fleet: Fleet) -> int:
    """Count the keys that a running host holds."""
    return sum(
        any(
            host.leases.get_held_epoch(key, now=host.now()) is not None
            for host in fleet.running()
        )
        for key in fleet.keys
    )


def measure_moves() -> Iterator[dict[str, Any]]:
    """Measure the share of keys that the ninth host moves, and the spread."""
    before = [max(range(8), key=lambda n: score_key(key, f"h.{n}")) for key in KEYS]
    after = [max(range(9), key=lambda n: score_key(key, f"h.{n}")) for key in KEYS]
    pairs = list(zip(before, after, strict=True))
    moved = sum(one != other for one, other in pairs) / len(KEYS)
    astray = sum(one != other and other != 8 for one, other in pairs)
    yield build_row("leases.moved_share_on_join", moved, "share", 0.16, 8 / 9)
    yield build_row("leases.keys_moved_between_others", astray, "keys", 0, 0)


def measure_large_fleet() -> Iterator[dict[str, Any]]:
    """Measure what one daemon of 340 sends and spends, against one of 8."""
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
    yield build_row("leases.read_500_keys_cold_at_340", time_reads(table), "ms", 400, 0)
    yield build_row("leases.read_500_keys_warm_at_340", time_reads(table), "ms", 5, 0)


def build_member(count: int) -> Membership:
    """Build one member of a fleet of `count` that has read all joins."""
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
    """Return messages per second over ten seconds with a readable log."""
    sent = 0
    for step in range(200):
        now = 1.0 + step * 0.05
        membership.note_log_read(sent_at=now, now=now)
        actions = membership.tick(now=now)
        sent += sum(isinstance(action, Send) for action in actions)
    return sent / 10.0


def time_reads(table: LeaseTable) -> float:
    """Return the milliseconds that one reading of all keys takes."""
    start = time.perf_counter()
    for key in KEYS:
        table.get_owner(key)
    return (time.perf_counter() - start) * 1000
