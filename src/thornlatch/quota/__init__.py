"""Quotas of organisations and the retry budget, shared by all hosts."""

from thornlatch.quota._retries import RetryBudget, RetryBudgetSettings
from thornlatch.quota._shared import QuotaAccount, QuotaSettings, SharedQuota

__all__ = [
    "QuotaAccount",
    "QuotaSettings",
    "RetryBudget",
    "RetryBudgetSettings",
    "SharedQuota",
]
