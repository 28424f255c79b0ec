import gc
from pathlib import Path

import pytest

from thornlatch.cli import run
from thornlatch.cli._docs import PAGES
from thornlatch.cli._exits import EXIT_FAILED, EXIT_OK

REFERENCE = Path(__file__).parents[4] / "docs" / "reference"


@pytest.mark.parametrize("name", PAGES)
def test_committed_page_is_current(name):
    text = (REFERENCE / name).read_text(encoding="utf-8")
    assert text == PAGES[name](), "run `thornlatch docs`"


def test_docs(tmp_path):
    directory = ["--directory", str(tmp_path / "reference")]
    assert run(["docs", "--check", *directory]) == EXIT_FAILED
    assert not (tmp_path / "reference").exists()
    assert run(["docs", *directory]) == EXIT_OK
    assert run(["docs", "--check", *directory]) == EXIT_OK


@pytest.mark.parametrize("table", ["host", "forwarding", "exchange", "relief"])
def test_gateway_page_describes_every_table(table):
    assert f"## `{table}`\n" in PAGES["gateway-settings.md"]()


@pytest.mark.parametrize("table", ["host", "slices.membership", "slices.follower"])
def test_settings_page_describes_every_table(table):
    assert f"## `[{table}]`\n" in PAGES["settings.md"]()


def test_paths_are_not_entered_as_context_managers(tmp_path, recwarn):
    """Python 3.11 and 3.12 deprecate it, which each command reported."""
    # Sockets that other tests left open are reported when they are collected.
    gc.collect()
    recwarn.clear()
    run(["docs", "--check", "--directory", str(tmp_path)])
    assert not recwarn.list
