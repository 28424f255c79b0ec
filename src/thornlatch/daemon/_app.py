"""WSGI application that serves the callers' HTTP interface."""

import contextlib
import json
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import logbook
from waitress.channel import ClientDisconnected

from thornlatch.core import Event
from thornlatch.daemon._answers import (
    HttpAnswer,
    StartResponse,
    build_json,
    build_refusal,
    describe_refusal,
)
from thornlatch.daemon._calls import Caller, parse_caller, parse_completion
from thornlatch.daemon._completions import (
    CallerDisconnected,
    CompletionRequest,
    CompletionStream,
)
from thornlatch.daemon._plain import PlainCall, PlainRequest
from thornlatch.daemon._relay import StreamRelay
from thornlatch.daemon._running import RunningRequest, RunningRequests
from thornlatch.daemon._settings import HttpSettings, TargetSettings
from thornlatch.daemon._slice_client import SliceClient
from thornlatch.exceptions import ErrorKind, RequestRefused
from thornlatch.targets import CompletionChunk

logger = logbook.Logger("thornlatch.http")

Environ = dict[str, Any]
METHODS = frozenset({"GET", "POST", "PUT", "DELETE"})
BUSY_RETRY_S = 1.0


@dataclass(frozen=True)
class StatusPages:
    """The daemon's state, as its status pages show it.

    Parameters
    ----------
    get_status : callable
        Returns the JSON value of ``/status``.
    is_ready : callable
        Returns whether the load balancer may send requests to this host.
    """

    get_status: Callable[[], Any]
    is_ready: Callable[[], bool]


class Application:
    """WSGI application of the daemon.

    Parameters
    ----------
    http_settings : HttpSettings
    target_settings : TargetSettings
    slice_client : SliceClient
    running : RunningRequests
    relay : StreamRelay
    pages : StatusPages
    """

    def __init__(
        self,
        *,
        http_settings: HttpSettings,
        target_settings: TargetSettings,
        slice_client: SliceClient,
        running: RunningRequests,
        relay: StreamRelay,
        pages: StatusPages,
    ) -> None:
        self.http_settings = http_settings
        self.target_settings = target_settings
        self.slice_client = slice_client
        self.running = running
        self.relay = relay
        self.pages = pages

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request.

        Parameters
        ----------
        environ : dict
        start_response : callable

        Returns
        -------
        iterable of bytes
        """
        path = environ["PATH_INFO"]
        if path in ("/healthz", "/readyz", "/status"):
            return self._answer_page(path).send(start_response)
        request = ""
        try:
            caller = parse_caller(environ, self.http_settings)
            request = caller.request
            return self._answer(environ, start_response, caller, path)
        except RequestRefused as error:
            self._note_refusal(error, request)
            return build_refusal(error, request).send(start_response)
        except Exception:
            logger.exception("http.request_failed", extra={"request": request})
            refusal = RequestRefused(ErrorKind.INTERNAL, "internal error")
            return build_refusal(refusal, request).send(start_response)

    def _answer_page(self, path: str) -> HttpAnswer:
        if path == "/status":
            return build_json(self.pages.get_status())
        is_ready = path == "/healthz" or self.pages.is_ready()
        return build_json({"ready": is_ready}, status=200 if is_ready else 503)

    def _answer(
        self, environ: Environ, start_response: StartResponse, caller: Caller, path: str
    ) -> Iterable[bytes]:
        self.slice_client.check_serving()
        if path == "/v1/models" and environ["REQUEST_METHOD"] == "GET":
            return self._list_models(caller).send(start_response)
        if path in ("/v1/completions", "/v1/chat/completions"):
            return self._answer_completion(environ, start_response, caller, path)
        return self._answer_plain_call(environ, caller, path).send(start_response)

    def _list_models(self, caller: Caller) -> HttpAnswer:
        key = self.slice_client.authenticate(caller.key)
        adapters = self.slice_client.list_adapters(key.organisation)
        models = [
            {"id": name, "object": "model", "owned_by": key.organisation}
            for name in sorted({adapter.name for adapter in adapters})
        ]
        listing = {"object": "list", "data": models}
        return build_json(listing, request=caller.request)

    def _answer_completion(
        self, environ: Environ, start_response: StartResponse, caller: Caller, path: str
    ) -> Iterable[bytes]:
        if environ["REQUEST_METHOD"] != "POST":
            raise RequestRefused(
                ErrorKind.BAD_REQUEST, "completion requests must use POST"
            )
        key = self.slice_client.authenticate(caller.key)
        body = environ["wsgi.input"].read()
        call = parse_completion(body, self.http_settings, is_chat="/chat/" in path)
        adapter = self.slice_client.find_adapter(call.fields.model)
        if adapter.organisation not in ("", key.organisation):
            raise RequestRefused(
                ErrorKind.NOT_ALLOWED, "the model belongs to another organisation"
            )
        running = self._begin_request(caller, key.digest, key.organisation)
        request = CompletionRequest(
            caller=caller,
            call=call,
            adapter=adapter,
            organisation=key.organisation,
            deadline=time.monotonic() + caller.deadline_s,
            running=running,
            is_disconnected=environ.get("waitress.client_disconnected", lambda: False),
        )
        handler = _CompletionHandler(
            request,
            self.slice_client,
            self.target_settings,
            self._end_request,
            self._note_refusal,
        )
        try:
            first_chunks = handler.read_first_chunks()
        except BaseException:
            handler.finish()
            raise
        if call.fields.stream:
            headers = [
                ("Content-Type", "text/event-stream"),
                ("Cache-Control", "no-cache"),
                ("X-Request-Id", caller.request),
            ]
            handler.send_stream(
                first_chunks, self.relay, start_response("200 OK", headers)
            )
            return []
        return handler.read_answer(first_chunks).send(start_response)

    def _answer_plain_call(
        self, environ: Environ, caller: Caller, path: str
    ) -> HttpAnswer:
        method = environ["REQUEST_METHOD"]
        if method not in METHODS:
            raise RequestRefused(
                ErrorKind.BAD_REQUEST, "method must be GET, POST, PUT or DELETE"
            )
        route = self.slice_client.find_route(path)
        organisation = digest = ""
        if caller.key or not route.is_open:
            key = self.slice_client.authenticate(caller.key)
            organisation, digest = key.organisation, key.digest
        if route.organisations and organisation not in route.organisations:
            raise RequestRefused(
                ErrorKind.NOT_ALLOWED, "the route isn't open to this organisation"
            )
        query = environ.get("QUERY_STRING", "")
        request = PlainRequest(
            caller=caller,
            route=route,
            method=method,
            path=f"{path}?{query}" if query else path,
            body=environ["wsgi.input"].read(),
            content_type=environ.get("CONTENT_TYPE", ""),
            organisation=organisation,
            deadline=time.monotonic() + caller.deadline_s,
            running=self._begin_request(caller, digest, organisation),
        )
        try:
            return self._admit_and_run(request)
        finally:
            self._end_request(caller.request)

    def _admit_and_run(self, request: PlainRequest) -> HttpAnswer:
        tokens = request.route.tokens
        admitted = None
        if request.organisation:
            admitted = self.slice_client.admit(
                request.caller.request, request.organisation, tokens, request.deadline
            )
        used_tokens = tokens
        try:
            answer = PlainCall(request, self.slice_client, self.target_settings).run()
            self.slice_client.emit(
                Event("requests.answered", request=request.caller.request)
            )
            return answer
        except RequestRefused as error:
            used_tokens = 0.0 if error.execution.value == "not-run" else tokens
            raise
        finally:
            if admitted is not None:
                self.slice_client.settle(admitted, used_tokens)

    def _begin_request(
        self, caller: Caller, digest: str, organisation: str
    ) -> RunningRequest:
        running = RunningRequest(caller.request, digest)
        if not self.running.try_add(running):
            raise RequestRefused(
                ErrorKind.OVERLOADED,
                f"this host has reached its limit of {self.running.limit} requests",
                retry_after_s=BUSY_RETRY_S,
            )
        # The key may have been withdrawn before the request was added, in which case
        # the withdrawal did not stop it.
        if digest and not self.slice_client.is_key_in_force(digest):
            running.stop(ErrorKind.KEY_WITHDRAWN)
        event = Event(
            "requests.accepted", request=caller.request, organisation=organisation
        )
        self.slice_client.emit(event)
        return running

    def _end_request(self, request: str) -> None:
        self.running.remove(request)

    def _note_refusal(self, error: RequestRefused, request: str) -> None:
        detail = {"code": error.reference, "execution": error.execution.value}
        self.slice_client.emit(
            Event("requests.refused", request=request, detail=detail)
        )


class _CompletionHandler:
    """Admits one completion, sends its answer and settles its tokens."""

    def __init__(
        self,
        request: CompletionRequest,
        slice_client: SliceClient,
        settings: TargetSettings,
        on_end: Callable[[str], None],
        on_refused: Callable[[RequestRefused, str], None],
    ) -> None:
        self.request = request
        self.slice_client = slice_client
        self.stream = CompletionStream(request, slice_client, settings)
        self.chunks = self.stream.iter_chunks()
        self.on_end = on_end
        self.on_refused = on_refused
        self.admitted: Any = None
        self.is_settled = False

    def read_first_chunks(self) -> list[CompletionChunk]:
        """Admit the request and wait for its first chunks."""
        call = self.request.call
        self.admitted = self.slice_client.admit(
            self.request.caller.request,
            self.request.organisation,
            call.prompt_tokens + call.fields.max_tokens,
            self.request.deadline,
        )
        try:
            return next(self.chunks)
        except CallerDisconnected:
            raise RequestRefused(
                ErrorKind.TARGET_FAILED, "caller disconnected"
            ) from None

    def read_answer(self, first_chunks: list[CompletionChunk]) -> HttpAnswer:
        """Read the rest of the answer, for a caller that requested no stream."""
        chunks = list(first_chunks)
        try:
            for next_chunks in self.chunks:
                chunks += next_chunks
        except CallerDisconnected:
            raise RequestRefused(
                ErrorKind.TARGET_FAILED, "caller disconnected"
            ) from None
        finally:
            self.finish()
        return build_json(
            build_completion(self.request, chunks), request=self.request.caller.request
        )

    def send_stream(
        self,
        first_chunks: list[CompletionChunk],
        relay: StreamRelay,
        write: Callable[[bytes], None],
    ) -> None:
        """Send the stream to the caller, including its end or its error.

        Parameters
        ----------
        first_chunks : list of CompletionChunk
        relay : StreamRelay
        write : callable
            WSGI server's write; the relay thread calls it while this thread waits.
        """

        def send(data: bytes) -> None:
            try:
                write(data)
            except ClientDisconnected:
                raise CallerDisconnected from None

        self.stream.relay_to(relay, lambda chunks: send(_encode_events(chunks)))
        try:
            with contextlib.suppress(CallerDisconnected):
                self._send_events(first_chunks, send)
        finally:
            self.finish()

    def _send_events(
        self, first_chunks: list[CompletionChunk], send: Callable[[bytes], None]
    ) -> None:
        try:
            send(_encode_events(first_chunks))
            for chunks in self.chunks:
                send(_encode_events(chunks))
            send(b"data: [DONE]\n\n")
        except RequestRefused as error:
            self.on_refused(error, self.request.caller.request)
            text = json.dumps(describe_refusal(error, self.request.caller.request))
            send(f"data: {text}\n\n".encode())

    def finish(self) -> None:
        """Settle the tokens and end the request; further calls do nothing."""
        if self.is_settled:
            return
        self.is_settled = True
        self.chunks.close()  # type: ignore[attr-defined]
        call = self.request.call
        used_tokens = 0.0
        if self.stream.attempt:
            used_tokens = call.prompt_tokens + self.stream.sent_tokens
        if self.admitted is not None:
            self.slice_client.settle(self.admitted, used_tokens)
        self.on_end(self.request.caller.request)
        if not self.stream.attempt:
            return
        self.slice_client.emit(
            Event(
                "requests.answered" if self.stream.is_finished else "requests.ended",
                request=self.request.caller.request,
                attempt=self.stream.attempt,
                organisation=self.request.organisation,
                detail={
                    "version": self.stream.answered_model,
                    "requested": self.request.model,
                    "tokens": self.stream.sent_tokens,
                    "max_tokens": call.fields.max_tokens,
                },
            )
        )


def _encode_events(chunks: list[CompletionChunk]) -> bytes:
    return b"".join([b"data: %b\n\n" % chunk.data for chunk in chunks])


def build_completion(
    request: CompletionRequest, chunks: list[CompletionChunk]
) -> dict[str, Any]:
    """Build the answer for a caller that requested no stream.

    Parameters
    ----------
    request : CompletionRequest
    chunks : list of CompletionChunk

    Returns
    -------
    dict
        JSON value of the answer.
    """
    finish_reason = None
    for chunk in chunks:
        if chunk.is_finish:
            finish_reason = json.loads(chunk.data)["choices"][0]["finish_reason"]
    tokens = sum(chunk.token_index is not None for chunk in chunks)
    prompt_tokens = request.call.prompt_tokens
    choice = {"index": 0, "finish_reason": finish_reason, "logprobs": None}
    text = "".join(chunk.text for chunk in chunks)
    if request.call.is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": request.caller.request,
        "object": "chat.completion" if request.call.is_chat else "text_completion",
        "created": int(time.time()),
        "model": request.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt_tokens + tokens,
        },
    }
