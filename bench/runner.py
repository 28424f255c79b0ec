"""Runs benchmark modules and writes one JSON object per line."""

import argparse
import importlib
import json
import sys
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path
from typing import Any

# Simulations start no daemons and run in parallel.
SIMULATIONS = ("scheduling", "admission", "requests", "leases")
# These run one at a time: other load would distort the times and costs that they
# measure, most of them with real daemons.
FLEETS = ("path", "configuration", "control", "chaos")
OUTPUT = Path("build/bench.jsonl")


@dataclass(frozen=True)
class Measured:
    """Rows of one module and the seconds that measuring them took."""

    rows: list[dict[str, Any]]
    spent_s: float


def main() -> int:
    """Run the modules named on the command line, or all, and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    names = (*SIMULATIONS, *FLEETS)
    parser.add_argument("modules", nargs="*", help="all by default", metavar="MODULE")
    options = parser.parse_args()
    unknown = set(options.modules) - set(names)
    if unknown:
        parser.error(f"no such module: {sorted(unknown)}; there are {names}")
    OUTPUT.parent.mkdir(exist_ok=True)
    failures = 0
    with OUTPUT.open("w") as file:
        for name, future in iter_futures(options.modules or names):
            error = future.exception()
            if error is not None:
                print(f"{name}: failed: {error!r}", file=sys.stderr)
                failures += 1
                continue
            for row in future.result().rows:
                line = json.dumps(row)
                print(line)
                file.write(line + "\n")
                file.flush()
            print(f"{name}: {future.result().spent_s:.1f} s", file=sys.stderr)
    return int(failures > 0)


def iter_futures(names: Sequence[str]) -> Iterator[tuple[str, Future[Measured]]]:
    """Run the simulations in parallel, then the fleets one after the other."""
    # Each module runs in a new process so that it doesn't inherit another's threads.
    context = get_context("spawn")
    with ProcessPoolExecutor(4, context, max_tasks_per_child=1) as executor:
        simulations = [name for name in names if name in SIMULATIONS]
        futures = [executor.submit(measure, name) for name in simulations]
        yield from zip(simulations, futures, strict=True)
        for name in [name for name in names if name in FLEETS]:
            yield name, executor.submit(measure, name)


def measure(name: str) -> Measured:
    """Run one module."""
    started = time.monotonic()
    rows = list(importlib.import_module(f"bench.{name}").measure())
    return Measured(rows, time.monotonic() - started)
