"""Retries, at most once, streams and quarantine."""

from thornlatch.requests._claim_records import Claims, ClaimWon, RecordedAnswer
from thornlatch.requests._claims import ClaimTable
from thornlatch.requests._retries import (
    AttemptFailed,
    RetryAfter,
    RetryBudget,
    RetryPolicy,
)
from thornlatch.requests._settings import QuarantineSettings, RequestsSettings
from thornlatch.requests._streams import StreamCursor, StreamPart

__all__ = [
    "AttemptFailed",
    "ClaimTable",
    "ClaimWon",
    "Claims",
    "QuarantineSettings",
    "RecordedAnswer",
    "RequestsSettings",
    "RetryAfter",
    "RetryBudget",
    "RetryPolicy",
    "StreamCursor",
    "StreamPart",
]
