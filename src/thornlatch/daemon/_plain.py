"""Calls to plain services, some of which may run at most once."""

import time
from dataclasses import dataclass

from thornlatch.configuration import Route
from thornlatch.core import Event
from thornlatch.daemon._answers import HttpAnswer
from thornlatch.daemon._calls import Caller
from thornlatch.daemon._running import RunningRequest
from thornlatch.daemon._services import Grant, GrantSpec, Services
from thornlatch.daemon._settings import TargetSettings
from thornlatch.exceptions import ErrorKind, Execution, RequestRefused, TargetError
from thornlatch.targets import TargetCall, open_call

ANSWER_LIMIT_BYTES = 8 << 20


@dataclass(frozen=True)
class PlainRequest:
    """A call of a plain service that passed authentication.

    Parameters
    ----------
    caller : Caller
    route : Route
    method : str
    path : str
        With its query string.
    body : bytes
    content_type : str
    organisation : str
        Empty on routes open to all.
    deadline : float
        Time of the monotonic clock by which the answer is due.
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


def run_plain(
    request: PlainRequest, services: Services, settings: TargetSettings
) -> HttpAnswer:
    """Run a call, again only where that is harmless.

    Parameters
    ----------
    request : PlainRequest
    services : Services
    settings : TargetSettings

    Returns
    -------
    HttpAnswer

    Raises
    ------
    RequestRefused
        Says whether the call may have run.
    """
    excluded: tuple[str, ...] = ()
    for attempt in range(1, settings.attempts + 1):
        grant = services.acquire_grant(_build_spec(request, attempt, excluded))
        try:
            return _run_attempt(request, attempt, grant, services, settings)
        except TargetError as error:
            _check_may_retry(request, attempt, error, settings)
            excluded = (*excluded, grant.target)
    raise RequestRefused(ErrorKind.TARGET_FAILED, "no attempt succeeded")


def _check_may_retry(
    request: PlainRequest, attempt: int, error: TargetError, settings: TargetSettings
) -> None:
    if request.running.is_key_withdrawn:
        raise RequestRefused(ErrorKind.KEY_WITHDRAWN, "the key was withdrawn")
    if error.is_sent and not request.route.is_idempotent:
        raise RequestRefused(ErrorKind.OUTCOME_UNKNOWN, error.message) from error
    if attempt >= settings.attempts:
        execution = Execution.OUTCOME_UNKNOWN if error.is_sent else Execution.NOT_RUN
        raise RequestRefused(
            ErrorKind.TARGET_FAILED,
            error.message,
            retry_after_s=1.0,
            execution=execution,
        ) from error


def _build_spec(
    request: PlainRequest, attempt: int, excluded: tuple[str, ...]
) -> GrantSpec:
    return GrantSpec(
        request=request.caller.request,
        attempt=attempt,
        organisation=request.organisation,
        pool=request.route.pool,
        adapter="",
        version="",
        priority=request.route.priority,
        deadline=request.deadline,
        tokens=int(request.route.tokens),
        excluded=excluded,
    )


def _run_attempt(
    request: PlainRequest,
    attempt: int,
    grant: Grant,
    services: Services,
    settings: TargetSettings,
) -> HttpAnswer:
    started = time.monotonic()
    outcome = "failed"
    response = None
    try:
        if not services.is_confirmed():
            raise RequestRefused(
                ErrorKind.HOST_UNCONFIRMED, "host lost contact", retry_after_s=1.0
            )
        _emit_sent(request, attempt, grant, services)
        call = _build_call(request, attempt, grant, settings)
        response = open_call(call, may_reuse=request.route.is_idempotent)
        request.running.attach(response)
        data = response.read_all(ANSWER_LIMIT_BYTES)
        outcome = "finished"
        kind = response.response.getheader("Content-Type", "application/octet-stream")
        headers = (("Content-Type", kind), ("X-Request-Id", request.caller.request))
        return HttpAnswer(response.status, data, headers)
    finally:
        request.running.attach(None)
        if response is not None:
            response.close()
        services.release_grant(
            grant,
            outcome=outcome,
            tokens=int(request.route.tokens),
            first_token_s=time.monotonic() - started,
        )


def _build_call(
    request: PlainRequest, attempt: int, grant: Grant, settings: TargetSettings
) -> TargetCall:
    headers = {
        "Content-Type": request.content_type or "application/octet-stream",
        "X-Request-Id": request.caller.request,
        "X-Attempt": str(attempt),
    }
    timeout_s = max(0.05, request.deadline - time.monotonic())
    return TargetCall(
        grant.address,
        request.method,
        request.path,
        request.body,
        headers,
        min(timeout_s, settings.silence_limit_s),
    )


def _emit_sent(
    request: PlainRequest, attempt: int, grant: Grant, services: Services
) -> None:
    services.emit(
        Event(
            "requests.sent",
            request=request.caller.request,
            attempt=attempt,
            organisation=request.organisation,
            target=grant.target,
            epoch=grant.epoch,
            detail={
                "is_idempotent": request.route.is_idempotent,
                "idempotency_key": request.caller.idempotency_key,
                "path": request.path,
            },
        )
    )
