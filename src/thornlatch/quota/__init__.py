"""Quotas of organisations and the retry budget, kept over all hosts together."""

from thornlatch.quota._retries import RetryBudget, RetryBudgetSettings
from thornlatch.quota._shared import QuotaSettings, SharedQuota

__all__ = ["QuotaSettings", "RetryBudget", "RetryBudgetSettings", "SharedQuota"]
