"""Retries, at most once, streams and quarantine."""

from thornlatch.requests._claim_records import Claims, ClaimWon, RecordedAnswer
from thornlatch.requests._claims import ClaimTable
from thornlatch.requests._settings import QuarantineSettings, RequestsSettings

__all__ = [
    "ClaimTable",
    "ClaimWon",
    "Claims",
    "QuarantineSettings",
    "RecordedAnswer",
    "RequestsSettings",
]
