import pytest

from thornlatch.timeline import LoggedEvent, Promise, check_history
from thornlatch.timeline.tests.histories import CORRUPTIONS, build_history


def test_valid_history_has_no_violation():
    assert check_history(build_history().values()) == []


@pytest.mark.parametrize(
    ("promise", "subject", "corrupt"), CORRUPTIONS.values(), ids=CORRUPTIONS
)
def test_corrupted_history_has_violation(promise, subject, corrupt):
    steps = build_history()
    corrupt(steps)
    violations = check_history(steps.values())
    assert [violation.promise for violation in violations] == [promise]
    assert violations[0].subject == subject
    assert violations[0].events
    for event in violations[0].events:
        assert f"{event.host}:{event.sequence} {event.event}" in violations[0].format()


def test_corruptions_cover_all_promises():
    assert {promise for promise, _, _ in CORRUPTIONS.values()} == set(Promise)


def spend(wall, tokens, host="h1"):
    return LoggedEvent(
        "admission.tokens_spent",
        host,
        wall=wall,
        organisation="o",
        detail={"tokens": tokens},
    )


@pytest.mark.parametrize(
    ("spendings", "is_allowed"),
    [
        ([(0, 100), (1, 10), (2, 10)], True),
        ([(0, 100), (1, 10), (2, 12)], False),
        ([(0, 60), (0, 60), (0, -20)], False),
        ([(0, 60), (0, -20), (0, 60)], True),
        ([(0, 100), (20, 100)], True),
        ([(0, 100), (9, 100)], False),
    ],
    ids=["rate", "over-rate", "over-burst", "returned", "refilled", "not-refilled"],
)
def test_allowance_in_every_window(spendings, is_allowed):
    events = [spend(wall, tokens) for wall, tokens in spendings]
    violations = check_history(events, [("o", 10.0, 100.0)])
    assert (violations == []) is is_allowed


def test_allowance_change_allows_settling_time():
    events = [
        spend(0, 100),
        LoggedEvent(
            "configuration.allowance_in_force",
            "h1",
            wall=1.0,
            organisation="o",
            detail={"rate": 1.0, "burst": 10.0},
        ),
        spend(10, 90),
        spend(200, 11),
    ]
    violations = check_history(events, [("o", 10.0, 100.0)])
    assert [violation.events[0].wall for violation in violations] == [200]


def test_detail_of_wrong_type_is_ignored():
    steps = build_history()
    event = steps["tokens-1"]
    malformed = LoggedEvent(event.event, "h9", detail={"first": "x", "count": None})
    assert check_history([malformed, spend(0, "many")]) == []
