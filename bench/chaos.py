"""Runs the chaos test of a whole fleet with one seed.

``make chaos SEED=n`` runs it with another seed.
"""

import tempfile
from pathlib import Path
from typing import Any

from bench.output import build_row
from tests.test_chaos import run_chaos

SEED = 1


def measure() -> list[dict[str, Any]]:
    """Count requests, injected faults and violated invariants."""
    with tempfile.TemporaryDirectory() as directory:
        report = run_chaos(Path(directory), SEED)
    violations = len(report["broken_promises"]) + len(report["violations"])
    return [
        build_row("chaos.broken_promises", violations, "promises", 0, seed=SEED),
        build_row("chaos.requests", report["requests"], "requests", seed=SEED),
        build_row("chaos.faults", report["faults"], "faults", seed=SEED),
    ]
