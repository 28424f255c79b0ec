"""The budget for sends to further targets."""

from thornlatch.quota import RetryBudget, RetryBudgetSettings

SETTINGS = RetryBudgetSettings(ratio=0.2, window_s=10.0, slack=10.0, share=1.0)


def count_acquired(budget, now):
    return sum(budget.try_acquire("llm", now=now) for _ in range(1000))


def test_slack_is_divided_among_hosts():
    budget = RetryBudget(SETTINGS)
    budget.hosts = 5
    assert count_acquired(budget, 1.0) == 2


def test_budget_grows_with_requests_and_is_spent_once():
    budget = RetryBudget(SETTINGS)
    for _ in range(100):
        budget.note_request("llm", now=1.0)
    assert count_acquired(budget, 2.0) == 30
    assert count_acquired(budget, 3.0) == 0


def test_window_slides():
    budget = RetryBudget(SETTINGS)
    assert count_acquired(budget, 1.0) == 10
    assert count_acquired(budget, 10.9) == 0
    assert count_acquired(budget, 11.1) == 10


def test_services_have_separate_budgets():
    budget = RetryBudget(SETTINGS)
    assert count_acquired(budget, 1.0) == 10
    assert budget.try_acquire("api", now=1.0)
