"""Retries, at-most-once execution, resumable streams and quarantine of requests."""

from thornlatch.requests._claim_records import Claims, ClaimWon, RecordedAnswer
from thornlatch.requests._claims import ClaimTable
from thornlatch.requests._quarantine import Quarantine
from thornlatch.requests._quarantine_records import (
    IsolationRequired,
    QuarantineRecord,
    Refuse,
    RunIsolated,
    RunNormally,
    SuspectNotice,
    SuspectNoticeSeen,
    make_fingerprint,
)
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
    "IsolationRequired",
    "Quarantine",
    "QuarantineRecord",
    "QuarantineSettings",
    "RecordedAnswer",
    "Refuse",
    "RequestsSettings",
    "RetryAfter",
    "RetryBudget",
    "RetryPolicy",
    "RunIsolated",
    "RunNormally",
    "StreamCursor",
    "StreamPart",
    "SuspectNotice",
    "SuspectNoticeSeen",
    "make_fingerprint",
]
