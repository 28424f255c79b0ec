"""Checks that documents match the tests, files, metrics and events of the code."""

import re
from pathlib import Path

import pytest

from thornlatch.daemon._metrics import METRICS
from thornlatch.gateway import GatewayMetrics

ROOT = Path(__file__).parent.parent
NODE_IDS = sorted(
    set(
        re.findall(
            r"`((?:src|tests)/[\w/]+\.py::\w+)`",
            (ROOT / "docs/INVARIANTS.md").read_text(),
        )
    )
)


def test_invariants_page_names_tests():
    assert len(NODE_IDS) > 30


@pytest.mark.parametrize("node_id", NODE_IDS)
def test_invariants_test_exists(node_id):
    path, _, name = node_id.partition("::")
    assert re.search(rf"^def {name}\(", (ROOT / path).read_text(), re.MULTILINE)


def test_metrics_reference_is_complete():
    page = (ROOT / "docs/operators/metrics.md").read_text()
    documented = dict(re.findall(r"^\| `([\w.]+)` \| (.*) \|$", page, re.MULTILINE))
    assert documented == METRICS


def test_links_point_to_existing_files():
    for page in [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]:
        for link in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
            assert (page.parent / link).exists(), (page, link)


def test_events_reference_is_complete():
    page = (ROOT / "docs/reference/events.md").read_text()
    areas = "adapter|admission|configuration|control|daemon|dispatch|evacuation|fleet"
    areas += (
        "|host|hosts|log|membership|peer|placement|quarantine|relay|request|requests"
    )
    areas += "|quota|residency|store|target|tenure|version"
    call = rf"(?:Event|_emit|logger\.\w+)\([^\"()]*\"((?:{areas})\.[a-z_]+)\""
    modules = [*(ROOT / "src").rglob("*.py"), *(ROOT / "platform").rglob("*.py")]
    for module in modules:
        if "tests" in module.parts:
            continue
        for name in re.findall(call, module.read_text()):
            assert f"`{name}`" in page, (module, name)


def test_gateway_metrics_are_documented():
    page = (ROOT / "docs/reference/events.md").read_text()
    for metric in GatewayMetrics().registry.collect():
        assert re.search(rf"`{metric.name}(_total)?`", page), metric.name
