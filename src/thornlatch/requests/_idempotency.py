"""Idempotency keys, and answers and refusals for repeats."""

import hashlib
import uuid

from thornlatch.exceptions import ErrorKind, Execution, RequestRefused
from thornlatch.requests._claim_records import RecordedAnswer

KEY_LIMIT_CHARACTERS = 255
KEY_VERSION_DATED = 7
RECORDED_HEADERS = frozenset(
    {"content-type", "content-language", "location", "etag", "last-modified"}
)


def is_valid_key(key: str) -> bool:
    """Return whether `key` is usable as an idempotency key."""
    return 0 < len(key) <= KEY_LIMIT_CHARACTERS and key.isprintable()


def get_key_time(key: str) -> float | None:
    """Return the wall time that a UUID of version 7 contains.

    Returns
    -------
    float or None
        Seconds since the epoch; None if the key contains no time.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    return (parsed.int >> 80) / 1000 if parsed.version == KEY_VERSION_DATED else None


def record_answer(
    status: int,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
    *,
    limit_bytes: int,
) -> RecordedAnswer:
    """Build the record of an answer; of a body over the limit only the digest is kept.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        All headers of the answer; those of `RECORDED_HEADERS` are kept.
    body : bytes
    limit_bytes : int
    """
    kept = tuple(pair for pair in headers if pair[0].lower() in RECORDED_HEADERS)
    is_whole = len(body) <= limit_bytes
    if is_whole:
        return RecordedAnswer(status, kept, body)
    digest = hashlib.sha256(body).hexdigest()
    return RecordedAnswer(status, kept, b"", digest, is_whole=False)


def refuse_conflict() -> RequestRefused:
    """Build the refusal of a key that was used with a different body."""
    return RequestRefused(
        ErrorKind.IDEMPOTENCY_CONFLICT,
        "the Idempotency-Key was used for a different request",
    )


def refuse_unknown() -> RequestRefused:
    """Build the refusal of a repeat whose first call may have run."""
    return RequestRefused(
        ErrorKind.OUTCOME_UNKNOWN,
        "the first call with this Idempotency-Key may have run; its answer was lost",
    )


def refuse_running(retry_after_s: float) -> RequestRefused:
    """Build the refusal of a repeat whose first call still runs."""
    refusal = RequestRefused(
        ErrorKind.OUTCOME_UNKNOWN,
        "the first call with this Idempotency-Key is still running",
        retry_after_s=retry_after_s,
    )
    refusal.hint = "Repeat with the same Idempotency-Key after the given time."
    return refusal


def refuse_large(answer: RecordedAnswer) -> RequestRefused:
    """Build the refusal of a repeat whose answer was too large to keep."""
    return RequestRefused(
        ErrorKind.OUTCOME_UNKNOWN,
        f"the first call was answered with status {answer.status};"
        " the answer is too large to repeat",
        execution=Execution.RAN,
    )


def refuse_old() -> RequestRefused:
    """Build the refusal of a key that is older than the remembered claims."""
    return RequestRefused(
        ErrorKind.OUTCOME_UNKNOWN,
        "the Idempotency-Key is older than the time for which claims are remembered",
    )


def refuse_log(retry_after_s: float) -> RequestRefused:
    """Build the refusal of a call that couldn't be claimed on the log."""
    return RequestRefused(
        ErrorKind.LOG_UNAVAILABLE,
        "the call couldn't be claimed on the log; this call was not run",
        retry_after_s=retry_after_s,
    )


def refuse_busy(retry_after_s: float) -> RequestRefused:
    """Build the refusal of a call beyond a limit of the claim table."""
    return RequestRefused(
        ErrorKind.OVERLOADED,
        "too many claims are waiting or remembered; this call was not run",
        retry_after_s=retry_after_s,
    )


def refuse_key(reason: str) -> RequestRefused:
    """Build the refusal of an unusable key."""
    return RequestRefused(ErrorKind.BAD_REQUEST, reason)
