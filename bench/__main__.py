"""Runs every measurement and writes one JSON object a line."""

import argparse
import importlib
import json
import sys
import time
import traceback
from pathlib import Path

MODULES = (
    "path",
    "admission",
    "leases",
    "scheduling",
    "requests",
    "configuration",
    "control",
)
OUTPUT = Path("build/bench.jsonl")


def main() -> int:
    """Run the measurements named on the command line, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("modules", nargs="*", default=MODULES)
    options = parser.parse_args()
    OUTPUT.parent.mkdir(exist_ok=True)
    failures = 0
    with OUTPUT.open("w") as file:
        for name in options.modules:
            if not (Path(__file__).parent / f"{name}.py").exists():
                print(f"{name}: not written yet", file=sys.stderr)
                continue
            started = time.monotonic()
            try:
                rows = importlib.import_module(f"bench.{name}").measure()
            except Exception:
                traceback.print_exc()
                failures += 1
                continue
            for row in rows:
                line = json.dumps(row)
                print(line)
                file.write(line + "\n")
                file.flush()
            spent_s = time.monotonic() - started
            print(f"{name}: {spent_s:.1f} s", file=sys.stderr)
    return int(failures > 0)


if __name__ == "__main__":
    sys.exit(main())
