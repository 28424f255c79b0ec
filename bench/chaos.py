"""One seed of the whole-fleet failure run (`make chaos SEED=n` runs others)."""

import tempfile
from pathlib import Path
from typing import Any

from tests.test_chaos import run_chaos

SEED = 1


def measure() -> list[dict[str, Any]]:
    """Count requests, faults and promises that were broken."""
    with tempfile.TemporaryDirectory() as directory:
        report = run_chaos(Path(directory), SEED)
    broken = len(report["broken_promises"]) + len(report["violations"])
    return [
        build_row("chaos.broken_promises", broken, "promises", 0),
        build_row("chaos.requests", report["requests"], "requests", None),
        build_row("chaos.faults", report["faults"], "faults", None),
    ]


def build_row(name: str, value: int, unit: str, bound: int | None) -> dict[str, Any]:
    """Build one line of the output."""
    return {
        "name": name,
        "value": value,
        "unit": unit,
        "bound": bound,
        "baseline": None,
        "seed": SEED,
    }
