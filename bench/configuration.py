"""Measures configurations of 63,000 adapters, and the withdrawal of keys.

Time and memory are measured for loading an inventory and for applying its records.
"""

import csv
import json
import statistics
import tempfile
import time
from functools import partial
from pathlib import Path

from bench import output
from thornlatch.configuration import (
    Adapter,
    ConfigurationChanged,
    ConfigurationPublished,
    ConfigurationState,
    ConfigurationView,
    Inventory,
    apply_record,
    build_snapshot,
    decode_entry,
)
from thornlatch.configuration.tests.test_staleness import (
    HOSTS,
    STEP_S,
    Fleet,
)
from thornlatch.core import encode_record
from thornlatch.settings import load_inventory

ADAPTERS = 63_000
ORGANISATIONS = 50
CHANGES = 1_600
LOOKUPS = 100_000
PAGE_BYTES = 4096
HISTORIES = 200
INVENTORY_HEADER = """
adapters_file = "adapters.csv"
[[stores]]
name = "weights"
loads_per_s = 5
full_speed_loads = 1
in_flight_loads = 8
load_s = 0.25
[[pools]]
name = "llm"
kind = "engine"
model = "base"
store = "weights"
"""

build_row = partial(output.build_row, digits=4)


def measure() -> list[dict]:
    """Return the measurements."""
    with tempfile.TemporaryDirectory() as directory:
        rows, inventory = measure_load(write_inventory(Path(directory)))
    return rows + measure_apply(inventory) + measure_withdrawal()


def write_inventory(directory: Path) -> Path:
    path = directory / "inventory.toml"
    organisations = (
        f'[[organisations]]\nname = "org-{n}"\nrate = 100\nburst = 1000\n'
        for n in range(ORGANISATIONS)
    )
    path.write_text(INVENTORY_HEADER + "".join(organisations))
    with (directory / "adapters.csv").open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(["name", "version", "pool", "organisation"])
        for n in range(ADAPTERS):
            row = [f"adapter-{n:06}", "v1", "llm", f"org-{n % ORGANISATIONS}"]
            writer.writerow(row)
    return path


def measure_load(path: Path) -> tuple[list[dict], Inventory]:
    rss_before_mb = read_rss_mb()
    started_at = time.perf_counter()
    inventory = load_inventory(path)
    elapsed_s = time.perf_counter() - started_at
    rss_mb = read_rss_mb() - rss_before_mb
    return [
        build_row("configuration.load_63000_s", elapsed_s, "s", 10),
        build_row("configuration.load_63000_mb", rss_mb, "MiB", 128),
    ], inventory


def measure_apply(inventory: Inventory) -> list[dict]:
    """Measure applying a full inventory from the log, then a day's changes."""
    record = ConfigurationPublished(-1, "bench", inventory)
    full_record = json.dumps(encode_record(record))
    rss_before_mb = read_rss_mb()
    started_at = time.perf_counter()
    entry = decode_entry(json.loads(full_record))
    state = apply_record(ConfigurationState(), 0, entry)
    full_record_s = time.perf_counter() - started_at
    assert state.inventory_offset == 0
    del entry
    rss_mb = read_rss_mb() - rss_before_mb
    started_at = time.perf_counter()
    snapshot = build_snapshot(state, "bench")
    snapshot_s = time.perf_counter() - started_at
    assert snapshot.covered_offset == 0
    durations_s, sizes, state = apply_changes(state)
    sorted_durations_s = sorted(durations_s)
    return [
        build_row("configuration.whole_in_force_s", full_record_s, "s", 10),
        build_row("configuration.whole_in_force_mb", rss_mb, "MiB", 128),
        build_row("configuration.whole_record_mb", len(full_record) / 2**20, "MiB", 16),
        build_row("configuration.snapshot_63000_s", snapshot_s, "s", 1),
        build_row(
            "configuration.delta_63000_p50_ms",
            statistics.median(sorted_durations_s) * 1000,
            "ms",
            5,
            baseline=full_record_s * 1000,
        ),
        build_row(
            "configuration.delta_63000_p99_ms",
            sorted_durations_s[len(sorted_durations_s) * 99 // 100] * 1000,
            "ms",
            50,
            baseline=full_record_s * 1000,
        ),
        build_row("configuration.delta_day_s", sum(durations_s), "s", 30),
        build_row(
            "configuration.delta_record_bytes",
            statistics.mean(sizes),
            "B",
            1024,
            baseline=len(full_record),
        ),
        build_row("configuration.find_adapter_us", measure_lookup(state), "us", 20),
    ]


def apply_changes(
    state: ConfigurationState,
) -> tuple[list[float], list[int], ConfigurationState]:
    durations_s, sizes = [], []
    for offset in range(1, CHANGES + 1):
        number = offset * 37 % ADAPTERS
        organisation = f"org-{offset % ORGANISATIONS}"
        adapter = Adapter(f"adapter-{number:06}", "v1", "llm", organisation)
        change = ConfigurationChanged(
            state.inventory_offset, "bench", Inventory(adapters=(adapter,))
        )
        text = json.dumps(encode_record(change))
        sizes.append(len(text))
        started_at = time.perf_counter()
        state = apply_record(state, offset, decode_entry(json.loads(text)))
        durations_s.append(time.perf_counter() - started_at)
        assert state.inventory_offset == offset
    return durations_s, sizes, state


def measure_lookup(state: ConfigurationState) -> float:
    """Return microseconds per look-up of an adapter by its name."""
    view = ConfigurationView(state)
    names = [f"adapter-{n % ADAPTERS:06}" for n in range(LOOKUPS)]
    started_at = time.perf_counter()
    for name in names:
        view.find_adapter(name)
    return (time.perf_counter() - started_at) / LOOKUPS * 1e6


def measure_withdrawal() -> list[dict]:
    """Measure the withdrawal of a key; two of five hosts never reach the log."""
    times_s = sorted(simulate_withdrawal(seed) for seed in range(HISTORIES))
    return [
        build_row(
            "keys.withdrawn_simulated_max_s", times_s[-1], "s", 5, seed=HISTORIES
        ),
        build_row(
            "keys.withdrawn_simulated_p50_s",
            statistics.median(times_s),
            "s",
            5,
            seed=HISTORIES,
        ),
    ]


def simulate_withdrawal(seed: int) -> float:
    """Return the seconds from a withdrawal until no host accepts the key."""
    fleet, last_accepted_at = Fleet(seed), 0.0
    for index in range(1, 80):
        fleet.step(index)
        if index == 40:
            fleet.withdraw()
        elif index > 40 and any(map(fleet.accepts, HOSTS)):
            last_accepted_at = fleet.now - fleet.withdrawn_at + STEP_S
    return last_accepted_at


def read_rss_mb() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 2**20
