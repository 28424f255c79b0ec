"""Calls to plain services, which may have to run at most once."""

import hashlib
import time
from dataclasses import dataclass

from thornlatch.configuration import Route
from thornlatch.core import Event
from thornlatch.daemon._answers import HttpAnswer
from thornlatch.daemon._calls import Caller
from thornlatch.daemon._completions import classify_failure
from thornlatch.daemon._running import RunningRequest
from thornlatch.daemon._settings import TargetSettings
from thornlatch.daemon._slice_client import SliceClient
from thornlatch.daemon._suspects import SuspectGate
from thornlatch.dispatch import Grant, Outcome, Priority, RequestSpec
from thornlatch.exceptions import ErrorKind, RequestRefused, TargetError
from thornlatch.requests import AttemptFailed, RecordedAnswer
from thornlatch.targets import Reuse, TargetCall, TargetResponse, open_call

ANSWER_LIMIT_BYTES = 8 << 20


@dataclass(frozen=True)
class PlainRequest:
    """A call to a plain service, after authentication.

    Parameters
    ----------
    caller : Caller
    route : Route
    method : str
    path : str
        Including the query string.
    body : bytes
    content_type : str
    organisation : str
        Empty for calls without a key, on open routes.
    deadline : float
        Time of the monotonic clock, in seconds, by which the answer is due.
    running : RunningRequest
    """

    caller: Caller
    route: Route
    method: str
    path: str
    body: bytes
    content_type: str
    organisation: str
    deadline: float
    running: RunningRequest

    @property
    def needs_claim(self) -> bool:
        """Whether the call must be claimed, so that it runs at most once."""
        return not self.route.is_idempotent and bool(self.caller.idempotency_key)


class PlainCall:
    """Runs one call, with retries.

    A call on a route that isn't idempotent is retried only if the target can't have
    received the attempt that failed.

    Parameters
    ----------
    request : PlainRequest
    slice_client : SliceClient
    settings : TargetSettings
    """

    def __init__(
        self, request: PlainRequest, slice_client: SliceClient, settings: TargetSettings
    ) -> None:
        self.request = request
        self.slice_client = slice_client
        self.settings = settings
        self.gate = SuspectGate(
            slice_client,
            request=request.caller.request,
            organisation=request.organisation,
            adapter_version=request.path,
            pool=request.route.pool,
            body=request.body,
        )
        self.attempt = 0
        self.may_have_run = False

    def run(self) -> HttpAnswer:
        """Run the call, under a claim if it needs one.

        Returns
        -------
        HttpAnswer

        Raises
        ------
        RequestRefused
            If the call ends without an answer; `execution` tells whether it may have
            run.
        """
        if not self.request.needs_claim:
            return self._run_attempts("")
        decision = self.slice_client.claim(
            self.request.caller.request,
            self.request.organisation,
            self.request.caller.idempotency_key,
            self._digest_call(),
        )
        if isinstance(decision, RecordedAnswer):
            return self._replay_answer(decision)
        return self._run_claimed(decision.claim)

    def _run_claimed(self, claim: str) -> HttpAnswer:
        answer = None
        try:
            answer = self._run_attempts(claim)
            return answer
        finally:
            self._end_claim(claim, answer)

    def _end_claim(self, claim: str, answer: HttpAnswer | None) -> None:
        claims = self.slice_client.host_slices.claims
        is_certain = not self.may_have_run
        if answer is None:
            self.slice_client.submit(
                lambda now: claims.abandon(
                    claim, is_certain_not_run=is_certain, now=now
                )
            )
            return
        recorded_headers = tuple(h for h in answer.headers if h[0] != "X-Request-Id")
        self.slice_client.submit(
            lambda now: claims.complete(
                claim,
                status=answer.status,
                headers=recorded_headers,
                body=answer.body,
                now=now,
            )
        )

    def _run_attempts(self, claim: str) -> HttpAnswer:
        while True:
            permit = self.gate.acquire(self._begin_attempt, self._adjust_refusal)
            try:
                return self._run_attempt(permit.grant, permit.isolation_id, claim)
            except TargetError as error:
                time.sleep(self._decide_retry(permit.grant, error))
                self.gate.exclude(permit.grant.target)

    def _run_attempt(self, grant: Grant, isolation_id: str, claim: str) -> HttpAnswer:
        request = self.request
        # Until the target is called, an error says nothing about it.
        outcome = Outcome.UNUSED
        is_sent = False
        started_at = time.monotonic()
        response = None
        self.slice_client.note_attempt(
            request.organisation, grant.target, is_first=self.attempt == 1
        )
        self.gate.note_started(grant.target, isolation_id)
        try:
            self._check_may_send(claim)
            self._emit_sent(grant, claim)
            outcome = Outcome.FAILED
            is_sent = True
            response = self._open(grant, claim)
            self.may_have_run = True
            request.running.attach(response)
            data = response.read_all(ANSWER_LIMIT_BYTES)
            outcome = Outcome.OK
            content_type = response.response.getheader(
                "Content-Type", "application/json"
            )
            headers = (
                ("Content-Type", content_type),
                ("X-Request-Id", request.caller.request),
            )
            return HttpAnswer(response.status, data, headers)
        except TargetError as error:
            outcome = classify_failure(error)
            is_sent = error.is_sent
            self.may_have_run = self.may_have_run or error.is_sent
            raise
        finally:
            request.running.attach(None)
            if response is not None:
                response.close()
            self.gate.note_ended(grant, outcome, is_sent=is_sent)
            self.slice_client.release_grant(
                grant,
                outcome=outcome,
                tokens=request.route.tokens,
                first_token_s=time.monotonic() - started_at,
            )

    def _open(self, grant: Grant, claim: str) -> TargetResponse:
        try:
            # Answers of services name no call, so an extra one would pass for its own.
            reuse = Reuse.ANY if self.request.route.is_idempotent else Reuse.NONE
            return open_call(self._build_call(grant), reuse=reuse)
        except TargetError as error:
            if claim and not error.is_sent:
                claims = self.slice_client.host_slices.claims
                self.slice_client.run(lambda now: claims.return_unsent(claim))
            raise

    def _check_may_send(self, claim: str) -> None:
        self.slice_client.check_confirmed()
        claims = self.slice_client.host_slices.claims
        if claim and not self.slice_client.run(
            lambda now: claims.begin(claim, now=now)
        ):
            raise RequestRefused(
                ErrorKind.LOG_UNAVAILABLE,
                "the claim is too old to send the call",
                retry_after_s=1.0,
            )

    def _decide_retry(self, grant: Grant, error: TargetError) -> float:
        request = self.request
        try:
            request.running.check_stopped(may_have_run=self.may_have_run)
        except RequestRefused as stop_refusal:
            raise self._adjust_refusal(stop_refusal) from stop_refusal
        return self.slice_client.decide_retry(
            AttemptFailed(
                organisation=request.organisation,
                target=grant.target,
                attempt=self.attempt,
                is_idempotent=request.route.is_idempotent,
                may_have_run=error.is_sent,
                may_have_run_earlier=self.may_have_run,
                deadline=request.deadline,
            )
        )

    def _adjust_refusal(self, error: RequestRefused) -> RequestRefused:
        if not self.may_have_run or error.kind is ErrorKind.KEY_WITHDRAWN:
            return error
        kind = ErrorKind.TARGET_FAILED
        if not self.request.route.is_idempotent:
            kind = ErrorKind.OUTCOME_UNKNOWN
        return RequestRefused(kind, error.message, retry_after_s=error.retry_after_s)

    def _begin_attempt(self) -> RequestSpec:
        self.attempt += 1
        request = self.request
        return RequestSpec(
            request=request.caller.request,
            attempt=self.attempt,
            organisation=request.organisation,
            pool=request.route.pool,
            deadline_in_s=max(0.0, request.deadline - time.monotonic()),
            tokens=request.route.tokens,
            priority=Priority(request.route.priority),
        )

    def _build_call(self, grant: Grant) -> TargetCall:
        request = self.request
        headers = {
            "Content-Type": request.content_type or "application/octet-stream",
            "X-Request-Id": request.caller.request,
            "X-Attempt": str(self.attempt),
        }
        timeout_s = max(0.05, request.deadline - time.monotonic())
        return TargetCall(
            grant.address,
            request.method,
            request.path,
            request.body,
            headers,
            min(timeout_s, self.settings.silence_limit_s),
        )

    def _digest_call(self) -> str:
        request = self.request
        head = f"{request.method} {request.path}\n".encode()
        return hashlib.sha256(head + request.body).hexdigest()

    def _replay_answer(self, recorded: RecordedAnswer) -> HttpAnswer:
        if not recorded.is_whole:
            raise RequestRefused(
                ErrorKind.OUTCOME_UNKNOWN,
                "the call ran, but its answer was too large to be recorded",
            )
        headers = (
            *recorded.headers,
            ("X-Request-Id", self.request.caller.request),
            ("Idempotent-Replayed", "true"),
        )
        return HttpAnswer(recorded.status, recorded.body, headers)

    def _emit_sent(self, grant: Grant, claim: str) -> None:
        request = self.request
        self.slice_client.emit(
            Event(
                "requests.sent",
                request=request.caller.request,
                attempt=self.attempt,
                organisation=request.organisation,
                target=grant.target,
                epoch=grant.epoch,
                detail={
                    "idempotent": request.route.is_idempotent,
                    "idempotency_key": request.caller.idempotency_key,
                    "claim": claim,
                    "key_digest": request.running.short_digest,
                    "grant": grant.grant,
                    "path": request.path,
                },
            )
        )
