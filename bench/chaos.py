"""One seed of the whole-fleet failure run (`make chaos SEED=n` runs others)."""

import tempfile
from pathlib import Path
from typing import Any

from bench.output import build_row
from tests.test_chaos import run_chaos

SEED = 1


def measure() -> list[dict[str, Any]]:
    """Count requests, faults and promises that were broken."""
    with tempfile.TemporaryDirectory() as directory:
        report = run_chaos(Path(directory), SEED)
    broken = len(report["broken_promises"]) + len(report["violations"])
    return [
        build_row("chaos.broken_promises", broken, "promises", 0, seed=SEED),
        build_row("chaos.requests", report["requests"], "requests", seed=SEED),
        build_row("chaos.faults", report["faults"], "faults", seed=SEED),
    ]
