"""Settings of claims, retries and quarantine."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

Seconds = Annotated[float, Meta(gt=0, le=604_800)]
Bytes = Annotated[int, Meta(ge=0, le=1 << 30)]


@dataclass(frozen=True)
class RequestsSettings:
    """Settings of at-most-once execution and of retries.

    Parameters
    ----------
    claim_batch_s : float
        Seconds for which claims are collected into one append.
    claim_batch_items : int
        Claims and outcomes per append.
    claim_batch_bytes : int
        Bytes of recorded answers per append.
    appends_per_s : float
        Limit of appends per second for claims, over all hosts.
    append_retry_s : float
        Seconds after which a claim or outcome that was not read back is appended again.
    append_retry_limit_s : float
        Longest delay between two appends of the same claim.
    claim_timeout_s : float
        Seconds after which a claim that was not read back is withdrawn.
    send_timeout_s : float
        Seconds within which a won claim must be sent.
    wait_s : float
        Seconds for which a repeat waits for the first call.
    gone_grace_s : float
        Seconds for which a claimer must be missing from the members before the outcome
        of its claims counts as unknown.
    repeat_window_s : float
        Seconds for which a claim is remembered.
    log_retention_s : float
        Seconds for which the log keeps records.
    clock_skew_s : float
        Largest difference between two wall clocks, of hosts or of callers whose
        idempotency keys contain a time.
    refuses_undated_keys : bool
        Whether idempotency keys that don't contain their time (UUID version 7) are
        refused.
    claims_limit : int
        Limit of remembered claims, above which new ones are refused.
    pending_limit : int
        Limit of claims and repeats that wait at this host, above which new ones are
        refused.
    answer_limit_bytes : int
        Largest answer that is recorded for repeats.
    answers_limit_bytes : int
        Limit of the bytes of recorded answers in memory.
    outbox_limit_bytes : int
        Limit of the bytes of answers that wait for the log; above it, only digests are
        recorded.
    retry_ratio : float
        Retries allowed per request, for an organisation and for a target.
    retry_burst : float
        Retries allowed at once after a period without retries.
    retry_base_s : float
        Mean of the first delay before a retry.
    retry_delay_limit_s : float
        Longest delay before a retry.
    attempts_limit : int
        Limit of the attempts of one request, including the first.
    """

    claim_batch_s: Annotated[float, Meta(ge=0, le=1)] = 0.02
    claim_batch_items: Annotated[int, Meta(ge=1, le=10_000)] = 500
    claim_batch_bytes: Annotated[int, Meta(ge=1024, le=8 << 20)] = 1 << 20
    appends_per_s: Annotated[float, Meta(gt=0, le=100_000)] = 300.0
    append_retry_s: Seconds = 0.5
    append_retry_limit_s: Seconds = 4.0
    claim_timeout_s: Seconds = 3.0
    send_timeout_s: Seconds = 60.0
    wait_s: Seconds = 10.0
    gone_grace_s: Seconds = 2.0
    repeat_window_s: Seconds = 7_200.0
    log_retention_s: Seconds = 86_400.0
    clock_skew_s: Annotated[float, Meta(ge=0, le=3600)] = 5.0
    refuses_undated_keys: bool = False
    claims_limit: Annotated[int, Meta(ge=1, le=10_000_000)] = 50_000
    pending_limit: Annotated[int, Meta(ge=1, le=1_000_000)] = 10_000
    answer_limit_bytes: Bytes = 16 << 10
    answers_limit_bytes: Bytes = 16 << 20
    outbox_limit_bytes: Bytes = 8 << 20
    retry_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.1
    retry_burst: Annotated[float, Meta(ge=1, le=10_000)] = 10.0
    retry_base_s: Annotated[float, Meta(gt=0, le=60)] = 0.05
    retry_delay_limit_s: Annotated[float, Meta(gt=0, le=600)] = 2.0
    attempts_limit: Annotated[int, Meta(ge=1, le=100)] = 4

    def __post_init__(self) -> None:
        """Raise ValueError if the times contradict each other."""
        needed = self.repeat_window_s + 2 * self.clock_skew_s + self.claim_timeout_s
        if needed > self.log_retention_s:
            raise ValueError(
                "log_retention_s must be at least repeat_window_s + 2 * clock_skew_s"
                f" + claim_timeout_s = {needed:g}"
            )
        if self.send_timeout_s + self.claim_timeout_s > self.repeat_window_s:
            raise ValueError(
                "repeat_window_s must be at least send_timeout_s + claim_timeout_s"
                f" = {self.send_timeout_s + self.claim_timeout_s:g}"
            )


@dataclass(frozen=True)
class QuarantineSettings:
    """Settings of the quarantine of requests that crash targets.

    Parameters
    ----------
    suspect_s : float
        Seconds after which a suspect that no longer causes failures is forgotten.
    refused_s : float
        Seconds for which a request that crashed two targets is refused.
    isolated_per_pool : int
        Targets of a pool that may run suspects in isolation at the same time.
    isolation_timeout_s : float
        Seconds after which an isolated run no longer blocks the next one.
    wait_s : float
        Longest time in seconds that a suspect waits for an isolated run before it is
        refused with a retry time.
    gone_grace_s : float
        Seconds for which the host of an isolated run must be missing from the members
        before the run no longer blocks the next one.
    domain_window_s : float
        Seconds within which failures of several targets of one failure domain count as
        the loss of the domain.
    notice_retry_s : float
        Seconds after which an unanswered notice to a peer is sent again.
    notice_attempts : int
        Attempts to send a notice to a peer that doesn't answer.
    append_batch_s : float
        Seconds for which records are collected into one append.
    append_retry_s : float
        Seconds after which a record that was not read back is appended again.
    append_retry_limit_s : float
        Longest delay between two appends of the same record.
    entries_limit : int
        Limit of remembered fingerprints; the one that expires first is removed.
    """

    suspect_s: Seconds = 600.0
    refused_s: Seconds = 3600.0
    isolated_per_pool: Annotated[int, Meta(ge=1, le=100)] = 1
    isolation_timeout_s: Seconds = 120.0
    wait_s: Seconds = 30.0
    gone_grace_s: Seconds = 2.0
    domain_window_s: Seconds = 0.25
    notice_retry_s: Seconds = 0.1
    notice_attempts: Annotated[int, Meta(ge=1, le=100)] = 10
    append_batch_s: Annotated[float, Meta(ge=0, le=1)] = 0.005
    append_retry_s: Seconds = 0.5
    append_retry_limit_s: Seconds = 4.0
    entries_limit: Annotated[int, Meta(ge=16, le=1_000_000)] = 10_000
