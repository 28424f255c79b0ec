"""Rate limits of organisations and weight stores, shared by all hosts of the fleet."""

from thornlatch.admission._admission import Admission, Admitted
from thornlatch.admission._bucket import TokenBucket
from thornlatch.admission._load_budget import LoadBudgetShare
from thornlatch.admission._settings import AdmissionSettings
from thornlatch.admission._shares import Allowance

__all__ = [
    "Admission",
    "AdmissionSettings",
    "Admitted",
    "Allowance",
    "LoadBudgetShare",
    "TokenBucket",
]
