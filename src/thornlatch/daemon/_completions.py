"""Completions: attempts on engines, streams resumed after the last token sent."""

import hashlib
import json
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from thornlatch.configuration import Adapter
from thornlatch.core import Event
from thornlatch.daemon._calls import Caller, CompletionCall
from thornlatch.daemon._running import RunningRequest
from thornlatch.daemon._services import Grant, GrantSpec, Services
from thornlatch.daemon._settings import TargetSettings
from thornlatch.exceptions import ErrorKind, RequestRefused, TargetError
from thornlatch.targets import (
    CompletionChunk,
    TargetCall,
    TargetResponse,
    iter_chunks,
    open_call,
)

PREFIX_CHARACTERS = 512


@dataclass(frozen=True)
class CompletionRequest:
    """A completion that passed authentication.

    Parameters
    ----------
    caller : Caller
    call : CompletionCall
    adapter : Adapter
    version : str
    organisation : str
    deadline : float
        Time of the monotonic clock by which the first token is due.
    running : RunningRequest
    is_disconnected : callable
        Returns whether the caller has gone.
    """

    caller: Caller
    call: CompletionCall
    adapter: Adapter
    version: str
    organisation: str
    deadline: float
    running: RunningRequest
    is_disconnected: Callable[[], bool]

    @property
    def model(self) -> str:
        """Adapter version as engines name it."""
        return f"{self.adapter.name}@{self.version}"


class CallerGone(Exception):
    """Raised when the caller disconnected, to end its attempt."""


class CompletionStream:
    """Iterates over the chunks of one request through all its attempts.

    Parameters
    ----------
    request : CompletionRequest
    services : Services
    settings : TargetSettings
    """

    def __init__(
        self, request: CompletionRequest, services: Services, settings: TargetSettings
    ) -> None:
        self.request = request
        self.services = services
        self.settings = settings
        self.attempt = 0
        self.sent_tokens = 0
        self.is_finished = False
        self.excluded: tuple[str, ...] = ()

    def iter_chunks(self) -> Iterator[list[CompletionChunk]]:
        """Iterate over chunks; each token comes once, in order.

        Yields
        ------
        list of CompletionChunk

        Raises
        ------
        RequestRefused
            If the request ends without its whole answer.
        """
        while not self.is_finished:
            self.attempt += 1
            grant = self.services.acquire_grant(self._build_spec())
            try:
                yield from self._run_attempt(grant)
            except TargetError as error:
                self._handle_failure(grant, error)

    def _build_spec(self) -> GrantSpec:
        request = self.request
        prompt = json.dumps(request.call.body.get("messages") or "")
        prompt += request.call.fields.prompt or ""
        prefix = hashlib.sha256(prompt[:PREFIX_CHARACTERS].encode()).hexdigest()[:16]
        deadline = request.deadline
        if self.attempt > 1:
            deadline = max(deadline, time.monotonic() + request.caller.deadline_s)
        return GrantSpec(
            request=request.caller.request,
            attempt=self.attempt,
            organisation=request.organisation,
            pool=request.adapter.pool,
            adapter=request.adapter.name,
            version=request.version,
            priority=request.caller.priority,
            deadline=deadline,
            tokens=request.call.fields.max_tokens - self.sent_tokens,
            prefix=prefix,
            excluded=self.excluded,
        )

    def _run_attempt(self, grant: Grant) -> Iterator[list[CompletionChunk]]:
        started = time.monotonic()
        sent_before = self.sent_tokens
        first_token_s = -1.0
        outcome = "failed"
        response = None
        try:
            response = self._open(grant)
            for chunks in iter_chunks(response):
                self._check_still_wanted()
                if first_token_s < 0:
                    first_token_s = time.monotonic() - started
                kept = [chunk for chunk in chunks if self._accept(chunk)]
                if kept:
                    yield kept
            if not self.is_finished:
                raise TargetError("stream has no finish reason", is_sent=True)
            outcome = "finished"
        except (CallerGone, GeneratorExit):
            outcome = "cancelled"
            raise
        except RequestRefused:
            outcome = "cancelled"
            raise
        finally:
            self.request.running.attach(None)
            if response is not None:
                if outcome != "finished":
                    response.abort()
                response.close()
            self.services.release_grant(
                grant,
                outcome=outcome,
                tokens=self.sent_tokens - sent_before,
                first_token_s=first_token_s,
            )

    def _open(self, grant: Grant) -> TargetResponse:
        request = self.request
        if not self.services.is_confirmed():
            raise RequestRefused(
                ErrorKind.HOST_UNCONFIRMED, "host lost contact", retry_after_s=1.0
            )
        body = {
            **request.call.body,
            "model": request.model,
            "stream": True,
            "max_tokens": request.call.fields.max_tokens,
        }
        if self.sent_tokens:
            body["resume_after"] = self.sent_tokens
        path = "/v1/chat/completions" if request.call.is_chat else "/v1/completions"
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request.caller.request,
            "X-Attempt": str(self.attempt),
            "X-Priority": request.caller.priority,
            "X-Fencing-Token": str(grant.epoch),
        }
        call = TargetCall(
            grant.address,
            "POST",
            path,
            json.dumps(body).encode(),
            headers,
            self.settings.silence_limit_s,
        )
        self._emit("requests.sent", grant, {"is_idempotent": True})
        response = open_call(call)
        request.running.attach(response)
        if response.status != 200:
            text = response.read_all(1 << 16)[:200].decode(errors="replace")
            response.close()
            raise TargetError(
                f"engine answered {response.status}: {text}",
                is_sent=True,
                status=response.status,
            )
        return response

    def _check_still_wanted(self) -> None:
        request = self.request
        if request.running.is_key_withdrawn:
            raise RequestRefused(ErrorKind.KEY_WITHDRAWN, "the key was withdrawn")
        if request.is_disconnected():
            raise CallerGone

    def _accept(self, chunk: CompletionChunk) -> bool:
        if chunk.model != self.request.model:
            raise TargetError(
                f"engine answered for {chunk.model}, not {self.request.model}",
                is_sent=True,
                status=502,
            )
        if chunk.token_index is None:
            self.is_finished = self.is_finished or chunk.is_finish
            return True
        if chunk.token_index < self.sent_tokens:
            return False
        if chunk.token_index > self.sent_tokens:
            raise TargetError("stream has a gap", is_sent=True)
        self.sent_tokens += 1
        return True

    def _handle_failure(self, grant: Grant, error: TargetError) -> None:
        self._emit("requests.attempt_failed", grant, {"error": error.message})
        if self.request.running.is_key_withdrawn:
            raise RequestRefused(ErrorKind.KEY_WITHDRAWN, "the key was withdrawn")
        if self.request.is_disconnected():
            raise CallerGone
        if self.attempt >= self.settings.attempts:
            raise RequestRefused(
                ErrorKind.TARGET_FAILED, error.message, retry_after_s=1.0
            ) from error
        self.excluded = (*self.excluded, grant.target)

    def _emit(self, name: str, grant: Grant, detail: dict[str, object]) -> None:
        self.services.emit(
            Event(
                name,
                request=self.request.caller.request,
                attempt=self.attempt,
                organisation=self.request.organisation,
                target=grant.target,
                epoch=grant.epoch,
                detail={"model": self.request.model, **detail},
            )
        )
