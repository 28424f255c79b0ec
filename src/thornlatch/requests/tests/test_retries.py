import random
from dataclasses import replace

import pytest

from thornlatch.exceptions import ErrorKind, Execution, RequestRefused
from thornlatch.requests import (
    AttemptFailed,
    RequestsSettings,
    RetryAfter,
    RetryPolicy,
)

FAILURE = AttemptFailed("o", "t", 1, is_idempotent=True, may_have_run=True)
CALL = replace(FAILURE, is_idempotent=False)


def make_policy(**changes):
    return RetryPolicy(RequestsSettings(**changes), rng=random.Random(1))


@pytest.mark.parametrize(
    ("failure", "expected"),
    [
        (FAILURE, None),
        (replace(CALL, may_have_run=False), None),
        (CALL, (ErrorKind.OUTCOME_UNKNOWN, Execution.OUTCOME_UNKNOWN)),
        (
            replace(FAILURE, attempt=4),
            (ErrorKind.TARGET_FAILED, Execution.OUTCOME_UNKNOWN),
        ),
        (
            replace(FAILURE, attempt=4, may_have_run=False),
            (ErrorKind.TARGET_FAILED, Execution.NOT_RUN),
        ),
        (
            replace(FAILURE, attempt=4, may_have_run=False, may_have_run_earlier=True),
            (ErrorKind.TARGET_FAILED, Execution.OUTCOME_UNKNOWN),
        ),
        (
            replace(CALL, may_have_run=False, deadline=10.0),
            (ErrorKind.TARGET_FAILED, Execution.NOT_RUN),
        ),
    ],
    ids=[
        "idempotent",
        "call-unsent",
        "call-sent",
        "last-attempt",
        "last-attempt-unsent",
        "earlier-attempt-sent",
        "deadline",
    ],
)
def test_decide_retry(failure, expected):
    decision = make_policy().decide(failure, now=10.0)
    if expected is None:
        assert isinstance(decision, RetryAfter)
        return
    assert isinstance(decision, RequestRefused)
    assert (decision.kind, decision.execution) == expected


@pytest.mark.parametrize("shared", ["organisation", "target"])
def test_decide_budget_bounds_retries(shared):
    policy = make_policy(retry_ratio=0.1, retry_burst=5)
    retries = 0
    for index in range(1000):
        names = {"organisation": f"o{index}", "target": f"t{index}", shared: "shared"}
        policy.note_attempt(names["organisation"], names["target"], is_first=True)
        decision = policy.decide(replace(FAILURE, **names), now=0.0)
        retries += isinstance(decision, RetryAfter)
    assert 95 <= retries <= 106


def test_decide_jitter_doubles_within_limit():
    policy = make_policy(
        retry_base_s=0.1, retry_delay_limit_s=0.5, retry_burst=9999, attempts_limit=9
    )
    for attempt, limit in [(1, 0.2), (2, 0.4), (3, 0.5), (8, 0.5)]:
        delays = [
            policy.decide(replace(FAILURE, attempt=attempt), now=0.0).delay_s
            for _ in range(200)
        ]
        assert 0.9 * limit < max(delays) <= limit
        assert min(delays) < 0.1 * limit
