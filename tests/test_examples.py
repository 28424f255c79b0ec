"""Checks that the examples of embedding a component run and hold their limits."""

import importlib.util
from pathlib import Path

EXAMPLES = Path(__file__).parent.parent / "examples"


def load_example(name):
    spec = importlib.util.spec_from_file_location(name, EXAMPLES / f"{name}.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_embedded_admission_enforces_and_uses_the_rate():
    # The burst allowance starts empty, and clocks may differ by the drift margin.
    assert 900 <= load_example("embed_admission").run(10.0, rate=100.0) <= 1000
