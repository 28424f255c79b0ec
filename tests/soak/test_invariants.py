"""Answers from which the soak concludes that a process reverted its configuration."""

from types import SimpleNamespace

import pytest

from tests.soak.callers import Outcome
from tests.soak.invariants import check_invariants

# Route missing, published, removed and published again, all within `APPLY_LIMIT_S`.
PUBLISHED = [(0.0, False), (10.0, True), (11.0, False), (11.5, True)]


def build_outcome(request, sent_at, ended_at, status, start_number):
    return Outcome(
        request,
        "new",
        "edge-0",
        start_number,
        "key-1",
        sent_at,
        ended_at,
        status,
        "sig-s" if status == 200 else "",
        f"{request} s".encode(),
        True,
    )


def find_violations(*answers, published=PUBLISHED, fault_periods=()):
    """Return the invariants that answers violate; see `build_outcome` for an answer."""
    outcomes = [
        build_outcome(f"r{number}", *answer) for number, answer in enumerate(answers)
    ]
    world = SimpleNamespace(
        observations=SimpleNamespace(violations=[], arrivals=[], paused_arrivals=[]),
        announced=[],
        outcomes=outcomes,
        published=[(at, has_route, ("key-1",)) for at, has_route in published],
        fault_periods=list(fault_periods),
        leaving=[],
        stalls=[],
    )
    return [invariant for invariant, _ in check_invariants(world)]


@pytest.mark.parametrize(
    "answers",
    [
        pytest.param([(10.1, 10.2, 200, 1), (10.3, 10.4, 404, 1)], id="reverted"),
        pytest.param(
            [(10.1, 10.2, 200, 1), (11.1, 11.2, 404, 1), (11.3, 11.4, 200, 1)],
            id="reverted-to-the-last-but-one",
        ),
    ],
)
@pytest.mark.parametrize("is_disturbed", [False, True])
def test_process_that_reverts_within_the_limit_is_noticed(answers, is_disturbed):
    fault = SimpleNamespace(
        kind="slow_store", scope="", is_planned=False, began_at=9.0, ended_at=12.0
    )
    periods = [fault] if is_disturbed else []
    assert find_violations(*answers, fault_periods=periods) == ["configuration"]


@pytest.mark.parametrize(
    "answers",
    [
        pytest.param([(10.1, 10.2, 404, 1), (10.3, 10.4, 200, 1)], id="applied-late"),
        pytest.param([(10.1, 10.2, 200, 1), (10.3, 10.4, 404, 2)], id="restarted"),
        pytest.param([(10.1, 10.4, 200, 1), (10.3, 10.5, 404, 1)], id="concurrent"),
        pytest.param([(10.1, 10.2, 200, 1), (10.9, 11.1, 404, 1)], id="removed"),
        pytest.param(
            [(10.1, 10.2, 200, 1), (11.1, 11.2, 200, 1), (11.2, 11.3, 404, 1)],
            id="removed-late",
        ),
    ],
)
def test_process_that_applies_a_change_late_does_not_revert(answers):
    assert find_violations(*answers) == []


def test_process_that_misses_a_change_is_noticed():
    answers = [(12.1, 12.2, 404, 1)]
    published = [(0.0, False), (10.0, True)]
    assert find_violations(*answers, published=published) == ["configuration"]
