"""HTTP answers, with the status of errors taken from the table of error kinds."""

import json
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from thornlatch.core import build_status_line
from thornlatch.exceptions import ANSWERS, RequestRefused

StartResponse = Callable[..., Any]


@dataclass(frozen=True)
class HttpAnswer:
    """An HTTP answer with a complete body.

    Parameters
    ----------
    status : int
    body : bytes
    headers : tuple of (str, str)
    """

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = field(default=())

    def send(self, start_response: StartResponse) -> Iterable[bytes]:
        """Start the WSGI response and return its body.

        Parameters
        ----------
        start_response : callable

        Returns
        -------
        iterable of bytes
        """
        headers = [("Content-Length", str(len(self.body))), *self.headers]
        start_response(build_status_line(self.status), headers)
        return [self.body]


def build_json(value: Any, *, status: int = 200, request: str = "") -> HttpAnswer:
    """Build an answer from a JSON value.

    Parameters
    ----------
    value : object
    status : int
    request : str
        Request id for the headers; empty for none.

    Returns
    -------
    HttpAnswer
    """
    headers = [("Content-Type", "application/json")]
    if request:
        headers.append(("X-Request-Id", request))
    return HttpAnswer(status, json.dumps(value).encode(), tuple(headers))


def describe_refusal(error: RequestRefused, request: str) -> dict[str, Any]:
    """Build the JSON value that describes a refusal to callers.

    Parameters
    ----------
    error : RequestRefused
    request : str

    Returns
    -------
    dict
    """
    fields: dict[str, Any] = {
        "message": error.message,
        "type": "thornlatch_error",
        "code": error.reference,
        "execution": error.execution.value,
        "may_retry": ANSWERS[error.kind].retry,
        "hint": error.hint,
        "request_id": request,
    }
    if error.retry_after_s is not None:
        fields["retry_after_s"] = round(error.retry_after_s, 3)
    return {"error": fields}


def build_refusal(error: RequestRefused, request: str) -> HttpAnswer:
    """Build the answer to a refused request.

    Parameters
    ----------
    error : RequestRefused
    request : str

    Returns
    -------
    HttpAnswer
    """
    headers = [("Content-Type", "application/json"), ("X-Request-Id", request)]
    if error.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, math.ceil(error.retry_after_s)))))
    body = json.dumps(describe_refusal(error, request)).encode()
    return HttpAnswer(ANSWERS[error.kind].status, body, tuple(headers))
