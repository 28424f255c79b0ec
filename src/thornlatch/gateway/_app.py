"""WSGI application that serves callers' requests."""

import json
from collections.abc import Callable, Generator, Iterable, Iterator
from dataclasses import replace
from typing import Any

import logbook
from waitress.channel import ClientDisconnected

from thornlatch.core import (
    MemoryExceeded,
    MemoryUse,
    build_status_line,
    read_clock,
    received_memory,
)
from thornlatch.exceptions import ANSWERS, ErrorKind, RequestRefused
from thornlatch.gateway._call import GatewayAnswer
from thornlatch.gateway._dispatcher import ThreadShortage
from thornlatch.gateway._forwarder import Forwarder
from thornlatch.gateway._metrics import GatewayMetrics
from thornlatch.gateway._ports import CallerProtocol

logger = logbook.Logger("thornlatch.gateway")

# Keys of the WSGI environment: seconds that the request waited for its thread, and the
# `ThreadShortage` if it has none.
THREAD_WAIT = "thornlatch.thread_wait_s"
SHORTAGE = "thornlatch.thread_shortage"
LONG_THREAD_WAIT_S = 0.05  # is logged
MIN_SHORTAGE_RETRY_S = 0.1
MAX_SHORTAGE_RETRY_S = 10.0  # if no rate is known, nor a deadline

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class GatewayApplication:
    """Serves callers' requests.

    Parameters
    ----------
    protocol : CallerProtocol
    forwarder : Forwarder
    metrics : GatewayMetrics

    Attributes
    ----------
    closes_connections : bool
        Whether connections are closed after the answer, as the host is stopping.
    refuses_requests : bool
        Whether new requests are refused, since they might not finish before the
        process exits.
    """

    def __init__(
        self, protocol: CallerProtocol, forwarder: Forwarder, metrics: GatewayMetrics
    ) -> None:
        self.protocol = protocol
        self.forwarder = forwarder
        self.metrics = metrics
        self.closes_connections = False
        self.refuses_requests = False

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request.

        Parameters
        ----------
        environ : dict
        start_response : callable

        Returns
        -------
        iterable of bytes
        """
        request_id = ""
        is_caller_disconnected = environ["waitress.client_disconnected"]
        try:
            request = self.protocol.read_request(environ)
            request_id = request.id
            if self.refuses_requests:
                raise RequestRefused(
                    ErrorKind.HOST_STOPPING,
                    "this host is shutting down",
                    retry_after_s=0.1,
                )
            self._check_thread(environ, request_id)
            answer = self.forwarder.serve(
                request, is_caller_disconnected=is_caller_disconnected
            )
            if answer.length is None and environ["SERVER_PROTOCOL"] == "HTTP/1.0":
                answer = _read_whole(answer)
        except RequestRefused as error:
            # Closes the connection, so that the caller may reach another host.
            closes = environ.get(SHORTAGE) is not None
            return self._refuse(error, request_id, start_response, closes=closes)
        except Exception:
            logger.exception("request.crashed", extra={"request": request_id})
            internal_error = RequestRefused(ErrorKind.INTERNAL, "internal error")
            return self._refuse(internal_error, request_id, start_response)
        headers = list(answer.headers)
        self._add_content_length(headers, answer.length)
        start_response(build_status_line(answer.status), headers)
        return self._iterate_body(answer, request_id)

    def estimate_wait_s(self, shortage: ThreadShortage, *, now: float) -> float:
        """Return the time after which enough threads for all refused are likely free.

        They are freed as fast as lately, and at the deadlines of what they run.

        Parameters
        ----------
        shortage : ThreadShortage
        now : float

        Returns
        -------
        float
            Seconds.
        """
        wait_s = self.forwarder.work.get_end(shortage.refused) - now
        if shortage.freed_per_s:
            wait_s = min(wait_s, shortage.refused / shortage.freed_per_s)
        return min(max(wait_s, MIN_SHORTAGE_RETRY_S), MAX_SHORTAGE_RETRY_S)

    def _check_thread(self, environ: dict[str, Any], request_id: str) -> None:
        """Refuse a request that got no thread; log a long wait for one."""
        shortage = environ.get(SHORTAGE)
        waited_s = environ.get(THREAD_WAIT, 0.0)
        if shortage is not None:
            raise RequestRefused(
                ErrorKind.OVERLOADED,
                f"all {shortage.threads} threads of this host were busy for"
                f" {shortage.waited_s:.2f} s",
                retry_after_s=self.estimate_wait_s(shortage, now=read_clock()),
            )
        if waited_s >= LONG_THREAD_WAIT_S:
            logger.info(
                "request.waited_for_thread",
                extra={"request": request_id, "waited_s": round(waited_s, 3)},
            )

    def note_abandoned(self, environ: dict[str, Any]) -> None:
        """Record a request whose caller disconnected before it began.

        Parameters
        ----------
        environ : dict
        """
        try:
            request_id = self.protocol.read_request(environ).id
        except RequestRefused:
            request_id = ""
        self.metrics.answers.labels("", "abandoned").inc()
        _log_abandoned(request_id, was_begun=False, passed_bytes=0)

    def _add_content_length(
        self, headers: list[tuple[str, str]], length: int | None
    ) -> None:
        # Without a length, waitress closes the connection after the answer, so that
        # callers of a stopping host reconnect to another one.
        if length is not None and not self.closes_connections:
            headers.append(("Content-Length", str(length)))

    def _iterate_body(self, answer: GatewayAnswer, request_id: str) -> Iterator[bytes]:
        passed_bytes = 0
        try:
            for data in answer.body:
                yield data
                passed_bytes += len(data)
        except GeneratorExit:
            _log_abandoned(request_id, was_begun=True, passed_bytes=passed_bytes)
            raise
        except RequestRefused as error:
            logger.info(
                "request.broken_off",
                extra={
                    "request": request_id,
                    "passed_bytes": passed_bytes,
                    "why": error.message,
                },
            )
            # Makes waitress close the connection without terminating the chunked body
            # and without logging a traceback.
            raise ClientDisconnected from error
        finally:
            # Ends the request at its target at once if the caller has disconnected.
            if isinstance(answer.body, Generator):
                answer.body.close()

    def _refuse(
        self,
        error: RequestRefused,
        request_id: str,
        start_response: StartResponse,
        *,
        closes: bool = False,
    ) -> Iterable[bytes]:
        answer = ANSWERS[error.kind]
        body = json.dumps(
            {
                "error": {
                    "code": error.reference,
                    "message": error.message,
                    "execution": error.execution.value,
                }
            }
        ).encode()
        headers = self.protocol.build_refusal_headers(request_id)
        headers.append(("Content-Type", "application/json"))
        if error.retry_after_s is not None:
            headers.append(("Retry-After", f"{error.retry_after_s:.2f}"))
        self._add_content_length(headers, None if closes else len(body))
        self.metrics.answers.labels("", error.reference).inc()
        logger.info(
            "request.refused",
            extra={
                "request": request_id,
                "code": error.reference,
                "status": answer.status,
                "why": error.message,
                "execution": error.execution.value,
                "retry_after_s": error.retry_after_s,
                "at": round(read_clock(), 3),
            },
        )
        start_response(build_status_line(answer.status), headers)
        return _iterate_once(body)


def _log_abandoned(request_id: str, *, was_begun: bool, passed_bytes: int) -> None:
    logger.info(
        "request.abandoned",
        extra={
            "request": request_id,
            "was_begun": was_begun,
            "passed_bytes": passed_bytes,
        },
    )


def _read_whole(answer: GatewayAnswer) -> GatewayAnswer:
    # HTTP/1.0 has no chunks: without a length, a broken answer would look complete.
    body = bytearray()
    memory = MemoryUse(received_memory)
    try:
        for data in answer.body:
            memory.add(len(data))
            body += data
    except MemoryExceeded as error:
        raise RequestRefused(
            ErrorKind.TARGET_FAILED, f"the answer is too long: {error}"
        ) from error
    finally:
        if isinstance(answer.body, Generator):
            answer.body.close()
    return replace(answer, body=_iterate_held(bytes(body), memory), length=len(body))


def _iterate_held(body: bytes, memory: MemoryUse) -> Iterator[bytes]:
    yield body
    memory.release()


def _iterate_once(body: bytes) -> Iterator[bytes]:
    yield body
