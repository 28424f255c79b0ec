"""The retry budget of a service."""

from thornlatch.quota import RetryBudget, RetryBudgetSettings

SETTINGS = RetryBudgetSettings(ratio=0.2, window_s=10.0, slack=10.0, share=1.0)


def count(budget, now):
    return sum(budget.try_acquire("llm", now=now) for _ in range(1000))


def test_slack_is_divided_among_the_hosts():
    budget = RetryBudget(SETTINGS)
    budget.hosts = 5
    assert count(budget, 1.0) == 2


def test_budget_grows_with_requests_and_is_used_once():
    budget = RetryBudget(SETTINGS)
    for _ in range(100):
        budget.note_request("llm", now=1.0)
    assert count(budget, 2.0) == 30
    assert count(budget, 3.0) == 0


def test_window_slides():
    budget = RetryBudget(SETTINGS)
    assert count(budget, 1.0) == 10
    assert count(budget, 10.9) == 0
    assert count(budget, 11.1) == 10


def test_services_have_budgets_of_their_own():
    budget = RetryBudget(SETTINGS)
    assert count(budget, 1.0) == 10
    assert budget.try_acquire("api", now=1.0)
