from random import Random

import pytest

from thornlatch.configuration import Pool
from thornlatch.dispatch import DispatchSettings, Priority, RequestSpec
from thornlatch.dispatch._fairness import FairShares
from thornlatch.dispatch._needs import find_needs
from thornlatch.dispatch._queue import RequestQueue, make_waiting_request
from thornlatch.placement import Placement, PlacementSettings

NOW = 100.0


def find_load_order(requests):
    """Return adapters by urgency of their load.

    `requests` holds (adapter, priority, seconds waited).
    """
    settings = DispatchSettings()
    queue = RequestQueue()
    for index, (adapter, priority, waited_s) in enumerate(requests):
        spec = RequestSpec(str(index), 1, "o", "p", 600.0, 10.0, adapter, "1", priority)
        waiting = make_waiting_request(
            "h", spec, aging_s=settings.batch_aging_s, now=NOW - waited_s
        )
        queue.add(waiting)
    pool = Pool("p", "engine", "b", "s")
    placement = Placement(PlacementSettings(), pool, random=Random(1))
    shares = FairShares(lambda name: 1.0, settings.credit_loads)
    needs = find_needs(queue, placement, shares, settings, lambda name: True, NOW)
    return [need.version.adapter for need in needs]


INTERACTIVE, BATCH = Priority.INTERACTIVE, Priority.BATCH


@pytest.mark.parametrize(
    "requests",
    [
        pytest.param([("a", INTERACTIVE, 0), ("b", BATCH, 0)], id="interactive-first"),
        pytest.param(
            [("a", INTERACTIVE, 0), ("a", INTERACTIVE, 0), ("b", INTERACTIVE, 10)],
            id="two-new-before-one-waiting-10s",
        ),
        pytest.param(
            [("a", INTERACTIVE, 70), ("b", INTERACTIVE, 0), ("b", INTERACTIVE, 0)],
            id="one-waiting-70s-before-two-new",
        ),
        pytest.param([("a", BATCH, 60), ("b", INTERACTIVE, 0)], id="batch-ages"),
        pytest.param(
            [("a", BATCH, 400), *[("b", INTERACTIVE, 5)] * 5], id="batch-never-starves"
        ),
        pytest.param([*[("a", BATCH, 9)] * 20, ("b", INTERACTIVE, 9)], id="many-batch"),
    ],
)
def test_needs_order(requests):
    assert find_load_order(requests) == ["a", "b"]
