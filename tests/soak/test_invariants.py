"""Answers from which the soak concludes that a process reverted its configuration."""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from tests.soak.callers import Outcome
from tests.soak.invariants import check_invariants
from tests.soak.servers import Arrival

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
        limited=[],
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


def build_stream(number, body, *, resumes="", after_event=0, is_complete=False):
    stream = build_outcome(f"s{number}", 1.0, 2.0, 200, 1)
    return replace(
        stream,
        kind="llm",
        body=body,
        resumes=resumes,
        after_event=after_event,
        is_complete=is_complete,
    )


def build_world(outcomes=(), arrivals=(), limited=()):
    return SimpleNamespace(
        observations=SimpleNamespace(
            violations=[], arrivals=list(arrivals), paused_arrivals=[]
        ),
        announced=[],
        limited=list(limited),
        outcomes=list(outcomes),
        published=PUBLISHED_ONCE,
        fault_periods=[],
        leaving=[],
        stalls=[],
    )


PUBLISHED_ONCE = [(0.0, False, ("key-1",))]


@pytest.mark.parametrize(("joined", "is_noticed"), [(2, False), (3, True)])
def test_streams_of_two_software_versions_are_noticed(joined, is_noticed):
    outcomes = []
    for number in range(joined):
        outcomes.append(build_stream(number, b"id: 1\ndata: e1 v1\n\n"))
        body = b"id: 2\ndata: e2 v2\n\n"
        outcomes.append(
            build_stream(f"{number}-2", body, resumes=f"s{number}", after_event=1)
        )
    found = [invariant for invariant, _ in check_invariants(build_world(outcomes))]
    assert found == ["one software version a stream"] * is_noticed


@pytest.mark.parametrize(("count", "is_noticed"), [(17, False), (18, True)])
def test_requests_above_a_named_limit_are_noticed(count, is_noticed):
    arrivals = [
        Arrival(14.0 + n * 0.1, "s", f"r{n}", "/", True, "", 1, 1, False, 0)
        for n in range(count)
    ]
    world = build_world(arrivals=arrivals, limited=[("s", 2.0, 10.0, 20.0)])
    found = [invariant for invariant, _ in check_invariants(world)]
    assert found == ["limits"] * is_noticed
