"""Costs of 63,000 adapters: loading, folding, changes, memory; and withdrawn keys."""

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
HEAD = """
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
        rows, inventory = measure_load(write_files(Path(directory)))
    return rows + measure_fold(inventory) + measure_withdrawal()


def write_files(directory: Path) -> Path:
    path = directory / "inventory.toml"
    organisations = (
        f'[[organisations]]\nname = "org-{n}"\nrate = 100\nburst = 1000\n'
        for n in range(ORGANISATIONS)
    )
    path.write_text(HEAD + "".join(organisations))
    with (directory / "adapters.csv").open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(["name", "version", "pool", "organisation"])
        for n in range(ADAPTERS):
            row = [f"adapter-{n:06}", "v1", "llm", f"org-{n % ORGANISATIONS}"]
            writer.writerow(row)
    return path


def measure_load(path: Path) -> tuple[list[dict], Inventory]:
    before = read_rss_mb()
    started = time.perf_counter()
    inventory = load_inventory(path)
    spent_s = time.perf_counter() - started
    rss_mb = read_rss_mb() - before
    return [
        build_row("configuration.load_63000_s", spent_s, "s", 10),
        build_row("configuration.load_63000_mb", rss_mb, "MiB", 128),
    ], inventory


def measure_fold(inventory: Inventory) -> list[dict]:
    """Measure a host that reads the whole from the log, then a day of changes."""
    record = ConfigurationPublished(-1, "bench", inventory)
    whole = json.dumps(encode_record(record))
    before = read_rss_mb()
    started = time.perf_counter()
    entry = decode_entry(json.loads(whole))
    state = apply_record(ConfigurationState(), 0, entry)
    whole_s = time.perf_counter() - started
    assert state.inventory_offset == 0
    del entry
    rss_mb = read_rss_mb() - before
    started = time.perf_counter()
    snapshot = build_snapshot(state, "bench")
    snapshot_s = time.perf_counter() - started
    assert snapshot.covered_offset == 0
    spent_s, sizes, state = apply_changes(state)
    in_order = sorted(spent_s)
    return [
        build_row("configuration.whole_in_force_s", whole_s, "s", 10),
        build_row("configuration.whole_in_force_mb", rss_mb, "MiB", 128),
        build_row("configuration.whole_record_mb", len(whole) / 2**20, "MiB", 16),
        build_row("configuration.snapshot_63000_s", snapshot_s, "s", 1),
        build_row(
            "configuration.delta_63000_p50_ms",
            statistics.median(in_order) * 1000,
            "ms",
            5,
            baseline=whole_s * 1000,
        ),
        build_row(
            "configuration.delta_63000_p99_ms",
            in_order[len(in_order) * 99 // 100] * 1000,
            "ms",
            50,
            baseline=whole_s * 1000,
        ),
        build_row("configuration.delta_day_s", sum(spent_s), "s", 30),
        build_row(
            "configuration.delta_record_bytes",
            statistics.mean(sizes),
            "B",
            1024,
            baseline=len(whole),
        ),
        build_row("configuration.find_adapter_us", measure_lookup(state), "us", 20),
    ]


def apply_changes(
    state: ConfigurationState,
) -> tuple[list[float], list[int], ConfigurationState]:
    spent_s, sizes = [], []
    for offset in range(1, CHANGES + 1):
        number = offset * 37 % ADAPTERS
        organisation = f"org-{offset % ORGANISATIONS}"
        adapter = Adapter(f"adapter-{number:06}", "v1", "llm", organisation)
        change = ConfigurationChanged(
            state.inventory_offset, "bench", Inventory(adapters=(adapter,))
        )
        text = json.dumps(encode_record(change))
        sizes.append(len(text))
        started = time.perf_counter()
        state = apply_record(state, offset, decode_entry(json.loads(text)))
        spent_s.append(time.perf_counter() - started)
        assert state.inventory_offset == offset
    return spent_s, sizes, state


def measure_lookup(state: ConfigurationState) -> float:
    """Return microseconds per look-up of an adapter by its name."""
    view = ConfigurationView(state)
    names = [f"adapter-{n % ADAPTERS:06}" for n in range(LOOKUPS)]
    started = time.perf_counter()
    for name in names:
        view.find_adapter(name)
    return (time.perf_counter() - started) / LOOKUPS * 1e6


def measure_withdrawal() -> list[dict]:
    """Measure simulated hosts, two of five cut off from the log."""
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
    """Return seconds from a withdrawal to the last moment that a host took the key."""
    fleet, last_at = Fleet(seed), 0.0
    for index in range(1, 80):
        fleet.step(index)
        if index == 40:
            fleet.withdraw()
        elif index > 40 and any(map(fleet.accepts, HOSTS)):
            last_at = fleet.now - fleet.withdrawn_at + STEP_S
    return last_at


def read_rss_mb() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 2**20
