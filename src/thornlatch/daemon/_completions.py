"""Completions: attempts at engines, resumed after the last token sent to the caller."""

import hashlib
import json
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from thornlatch.configuration import Adapter
from thornlatch.core import Event
from thornlatch.daemon._calls import Caller, CompletionCall
from thornlatch.daemon._relay import Send, StreamRelay
from thornlatch.daemon._running import RunningRequest
from thornlatch.daemon._settings import TargetSettings
from thornlatch.daemon._slice_client import SliceClient
from thornlatch.daemon._suspects import SuspectGate
from thornlatch.dispatch import Grant, Outcome, Priority, RequestSpec
from thornlatch.exceptions import ErrorKind, RequestRefused, TargetError
from thornlatch.requests import AttemptFailed, StreamCursor, StreamPart
from thornlatch.targets import (
    ChunkReader,
    CompletionChunk,
    TargetCall,
    TargetResponse,
    open_call,
)

PREFIX_CHARACTERS = 512
ERROR_TEXT_LIMIT_BYTES = 1 << 16


@dataclass(frozen=True)
class CompletionRequest:
    """A completion request, after authentication.

    Parameters
    ----------
    caller : Caller
    call : CompletionCall
    adapter : Adapter
    organisation : str
    deadline : float
        Time of the monotonic clock, in seconds, by which the first token is due.
    running : RunningRequest
    is_disconnected : callable
        Returns whether the caller has disconnected.
    """

    caller: Caller
    call: CompletionCall
    adapter: Adapter
    organisation: str
    deadline: float
    running: RunningRequest
    is_disconnected: Callable[[], bool]

    @property
    def model(self) -> str:
        """Adapter version as engines name it, ``adapter@version``."""
        return f"{self.adapter.name}@{self.adapter.version}"


class CallerDisconnected(Exception):
    """Raised to end an attempt whose caller disconnected."""


class CompletionStream:
    """The answer to one completion request, streamed over all its attempts.

    Parameters
    ----------
    request : CompletionRequest
    slice_client : SliceClient
    settings : TargetSettings
    """

    def __init__(
        self,
        request: CompletionRequest,
        slice_client: SliceClient,
        settings: TargetSettings,
    ) -> None:
        self.request = request
        self.slice_client = slice_client
        self.settings = settings
        self.cursor = StreamCursor(
            request.caller.request, adapter_version=request.model
        )
        self.gate = SuspectGate(
            slice_client,
            request=request.caller.request,
            organisation=request.organisation,
            adapter_version=request.model,
            pool=request.adapter.pool,
            body=json.dumps(request.call.body, sort_keys=True).encode(),
        )
        self.relay: StreamRelay | None = None
        self.send: Send | None = None
        self.may_have_run = False
        self.answered_model = ""

    @property
    def attempt(self) -> int:
        """Number of the current attempt; 0 before the first."""
        return self.cursor.attempt

    @property
    def sent_tokens(self) -> int:
        """Number of tokens sent to the caller."""
        return self.cursor.next_token

    @property
    def is_finished(self) -> bool:
        """Whether the whole answer was sent."""
        return self.cursor.is_complete

    def relay_to(self, relay: StreamRelay, send: Send) -> None:
        """Let the relay thread forward chunks where it can, bypassing `iter_chunks`.

        Parameters
        ----------
        relay : StreamRelay
        send : callable
            Sends chunks to the caller without blocking: those that follow the last
            ones that `iter_chunks` yielded. The iteration continues after them.
        """
        self.relay = relay
        self.send = send

    def iter_chunks(self) -> Iterator[list[CompletionChunk]]:
        """Iterate over the chunks; each token is yielded once, in order.

        Yields
        ------
        list of CompletionChunk

        Raises
        ------
        RequestRefused
            If the request ends before the answer is complete.
        CallerDisconnected
            If the caller disconnected.
        """
        while not self.is_finished:
            permit = self.gate.acquire(self._begin_attempt, self._adjust_refusal)
            failure = None
            try:
                yield from self._run_attempt(permit.grant, permit.isolation_id)
            except TargetError as error:
                failure = error
            if failure is not None:
                self._handle_failure(permit.grant, failure)

    def _begin_attempt(self) -> RequestSpec:
        self.cursor.start_attempt()
        request = self.request
        messages = request.call.body.get("messages")
        prompt = request.call.fields.prompt or json.dumps(messages)
        prefix = hashlib.sha256(prompt[:PREFIX_CHARACTERS].encode()).hexdigest()[:16]
        remaining_s = request.deadline - time.monotonic()
        if self.attempt > 1:
            # The deadline is that of the first token, which a resumed stream has sent,
            # so attempts after the first get the full time again.
            remaining_s = request.caller.deadline_s
        return RequestSpec(
            request=request.caller.request,
            attempt=self.attempt,
            organisation=request.organisation,
            pool=request.adapter.pool,
            deadline_in_s=max(0.0, remaining_s),
            tokens=request.call.fields.max_tokens - self.sent_tokens,
            adapter=request.adapter.name,
            version=request.adapter.version,
            priority=Priority(request.caller.priority),
            prefix=prefix,
            is_stream=True,
        )

    def _run_attempt(
        self, grant: Grant, isolation_id: str
    ) -> Iterator[list[CompletionChunk]]:
        sent_before = self.sent_tokens
        # Until the target is called, an error says nothing about target or request.
        outcome = Outcome.UNUSED
        is_sent = False
        first_token_s = None
        response = None
        started_at = time.monotonic()
        self.slice_client.note_attempt(
            self.request.organisation, grant.target, is_first=self.attempt == 1
        )
        self.gate.note_started(grant.target, isolation_id)
        try:
            self.slice_client.check_confirmed()
            outcome = Outcome.FAILED
            is_sent = True
            response = self._open(grant)
            self.may_have_run = True
            reader = ChunkReader(response)
            while not reader.is_done:
                new_chunks = self._check_and_accept(reader.read())
                if first_token_s is None:
                    first_token_s = time.monotonic() - started_at
                if new_chunks:
                    yield new_chunks
                self._relay_rest(reader)
            reader.drain()
            self.cursor.finish()
            outcome = Outcome.OK
        except TargetError as error:
            outcome = classify_failure(error)
            is_sent = error.is_sent
            self.may_have_run = self.may_have_run or error.is_sent
            raise
        except (CallerDisconnected, GeneratorExit, RequestRefused):
            if is_sent:
                outcome = Outcome.CANCELLED
            raise
        finally:
            self.request.running.attach(None)
            if response is not None:
                if outcome is not Outcome.OK:
                    response.abort()
                response.close()
            self._emit_tokens_passed(grant, sent_before)
            self.gate.note_ended(grant, outcome, is_sent=is_sent)
            self.slice_client.release_grant(
                grant,
                outcome=outcome,
                tokens=self.sent_tokens - sent_before,
                first_token_s=first_token_s,
            )

    def _emit_tokens_passed(self, grant: Grant, first: int) -> None:
        count = self.sent_tokens - first
        if count:
            self._emit(
                "requests.tokens_passed", grant, {"first": first, "count": count}
            )

    def _open(self, grant: Grant) -> TargetResponse:
        request = self.request
        self._emit("requests.sent", grant, {"idempotent": True})
        response = open_call(self._build_call(grant))
        request.running.attach(response)
        if response.status != 200:
            text = response.read_all(ERROR_TEXT_LIMIT_BYTES)[:200].decode(
                errors="replace"
            )
            response.close()
            raise TargetError(
                f"engine answered {response.status}: {text}",
                is_sent=True,
                status=response.status,
            )
        return response

    def _build_call(self, grant: Grant) -> TargetCall:
        request = self.request
        body = {
            **request.call.body,
            "model": request.model,
            "stream": True,
            "max_tokens": request.call.fields.max_tokens,
        }
        if self.sent_tokens:
            body["resume_after"] = self.sent_tokens
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request.caller.request,
            "X-Attempt": str(self.attempt),
            "X-Priority": request.caller.priority,
            "X-Fencing-Token": str(grant.epoch),
        }
        return TargetCall(
            grant.address,
            "POST",
            "/v1/chat/completions" if request.call.is_chat else "/v1/completions",
            json.dumps(body).encode(),
            headers,
            self.settings.silence_limit_s,
        )

    def _check_may_continue(self) -> None:
        self.request.running.check_stopped(may_have_run=self.may_have_run)
        if self.request.is_disconnected():
            raise CallerDisconnected

    def _relay_rest(self, reader: ChunkReader) -> None:
        relay, send = self.relay, self.send
        if relay is None or send is None:
            return

        def accept_and_send(chunks: list[CompletionChunk]) -> None:
            new_chunks = self._check_and_accept(chunks)
            if new_chunks:
                send(new_chunks)

        relay.forward(reader, accept_and_send)

    def _check_and_accept(self, chunks: list[CompletionChunk]) -> list[CompletionChunk]:
        self._check_may_continue()
        return self._accept(chunks) if chunks else []

    def _accept(self, chunks: list[CompletionChunk]) -> list[CompletionChunk]:
        part = self._build_part(chunks)
        new_tokens = self.cursor.accept(part)
        self.answered_model = part.adapter_version
        repeated_count = len(part.tokens) - len(new_tokens)
        return chunks[repeated_count:] if repeated_count else chunks

    def _build_part(self, chunks: list[CompletionChunk]) -> StreamPart:
        first = self.sent_tokens
        texts: list[str] = []
        version = self.cursor.adapter_version
        is_last = False
        for chunk in chunks:
            index = chunk.token_index
            if index is not None:
                if not texts:
                    first = index
                elif index != first + len(texts):
                    raise TargetError(
                        f"stream has token {index} instead of {first + len(texts)}",
                        is_sent=True,
                    )
                texts.append(chunk.text)
            if chunk.model != self.cursor.adapter_version:
                version = chunk.model
            is_last = is_last or chunk.is_finish
        return StreamPart(
            request=self.cursor.request,
            attempt=self.attempt,
            adapter_version=version,
            first_token=first,
            tokens=tuple(texts),
            is_last=is_last,
        )

    def _handle_failure(self, grant: Grant, error: TargetError) -> None:
        self._emit("requests.attempt_failed", grant, {"error": error.message})
        self._check_may_continue()
        request = self.request
        failure = AttemptFailed(
            organisation=request.organisation,
            target=grant.target,
            attempt=self.attempt,
            is_idempotent=True,
            may_have_run=error.is_sent,
            may_have_run_earlier=self.may_have_run,
            deadline=time.monotonic() + request.caller.deadline_s,
        )
        time.sleep(self.slice_client.decide_retry(failure))
        self.gate.exclude(grant.target)

    def _adjust_refusal(self, error: RequestRefused) -> RequestRefused:
        if not self.may_have_run:
            return error
        # An earlier attempt may have run, so the refusal must not say "not-run".
        return RequestRefused(
            ErrorKind.TARGET_FAILED, error.message, retry_after_s=error.retry_after_s
        )

    def _emit(self, name: str, grant: Grant, detail: dict[str, object]) -> None:
        self.slice_client.emit(
            Event(
                name,
                request=self.request.caller.request,
                attempt=self.attempt,
                organisation=self.request.organisation,
                target=grant.target,
                epoch=grant.epoch,
                detail={
                    "adapter_version": self.request.model,
                    "key_digest": self.request.running.short_digest,
                    "grant": grant.grant,
                    **detail,
                },
            )
        )


def classify_failure(error: TargetError) -> Outcome:
    """Return the outcome to report for a failed attempt.

    Parameters
    ----------
    error : TargetError

    Returns
    -------
    Outcome
    """
    if error.status == 404:
        return Outcome.NOT_LOADED
    if error.status in (429, 503):
        return Outcome.BUSY
    if error.is_sent and error.status is None:
        return Outcome.UNKNOWN
    return Outcome.FAILED
