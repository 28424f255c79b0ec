"""Parses and checks callers' requests."""

import json
import uuid
from dataclasses import dataclass
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from thornlatch.core import parse_number
from thornlatch.daemon._settings import HttpSettings
from thornlatch.exceptions import ErrorKind, RequestRefused

CHARACTERS_PER_TOKEN = 4
HEADER_LIMIT_CHARACTERS = 200
Priority = Literal["interactive", "batch"]


DEADLINE_LIMIT_MS = 86_400_000
DEADLINE_DIGITS = 12  # leading zeros are allowed


@dataclass(frozen=True)
class Caller:
    """Values from the headers of a request.

    Parameters
    ----------
    request : str
        Request id, generated for each request.
    key : str
        Bearer key; empty if none was sent.
    priority : {"interactive", "batch"}
    deadline_s : float
        Seconds within which the first token, or a plain service's answer, is due.
    idempotency_key : str
        Empty if none was sent.
    """

    request: str
    key: str
    priority: Priority
    deadline_s: float
    idempotency_key: str


@dataclass(frozen=True)
class Message:
    """One message of a chat.

    Parameters
    ----------
    role : str
    content : object
        Text or a list of parts, forwarded unchanged.
    """

    role: Annotated[str, Meta(min_length=1, max_length=50)]
    content: Any


@dataclass(frozen=True)
class CompletionFields:
    """Fields of a completion request that thornlatch checks and uses itself.

    Parameters
    ----------
    model : str
        Adapter name, optionally ``name@version``.
    prompt : str or None
    messages : list of Message or None
    max_tokens : int
    stream : bool
    n : int
        Must be 1: a resumed stream continues one choice.
    """

    model: Annotated[str, Meta(min_length=1, max_length=400)]
    prompt: str | None = None
    messages: Annotated[list[Message], Meta(min_length=1)] | None = None
    max_tokens: Annotated[int, Meta(ge=1)] = 16
    stream: bool = False
    n: Annotated[int, Meta(ge=1, le=1)] = 1


@dataclass(frozen=True)
class CompletionCall:
    """A completion request.

    Parameters
    ----------
    fields : CompletionFields
    body : dict
        The JSON object to forward; as received, but with ``max_completion_tokens`` of
        a chat renamed to ``max_tokens``.
    is_chat : bool
    prompt_tokens : int
        Estimate from the prompt's length, for admission.
    """

    fields: CompletionFields
    body: dict[str, Any]
    is_chat: bool
    prompt_tokens: int


def parse_caller(environ: dict[str, Any], settings: HttpSettings) -> Caller:
    """Parse the headers of a request.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    settings : HttpSettings

    Returns
    -------
    Caller

    Raises
    ------
    RequestRefused
        If a header is malformed.
    """
    priority = environ.get("HTTP_X_PRIORITY", "interactive")
    if priority not in ("interactive", "batch"):
        raise _refuse("X-Priority must be interactive or batch")
    scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    if scheme and scheme.lower() != "bearer":
        raise _refuse("Authorization must be a bearer key")
    idempotency_key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if (
        len(idempotency_key) > HEADER_LIMIT_CHARACTERS
        or len(key) > HEADER_LIMIT_CHARACTERS
    ):
        raise _refuse(
            "Idempotency-Key or the bearer key is longer than "
            f"{HEADER_LIMIT_CHARACTERS} characters"
        )
    return Caller(
        request=uuid.uuid4().hex,
        key=key.strip(),
        priority=priority,
        deadline_s=_parse_deadline(environ, priority, settings),
        idempotency_key=idempotency_key,
    )


def _parse_deadline(
    environ: dict[str, Any], priority: str, settings: HttpSettings
) -> float:
    text = environ.get("HTTP_X_DEADLINE_MS")
    if text is None:
        is_batch = priority == "batch"
        return settings.batch_deadline_s if is_batch else settings.default_deadline_s
    deadline_ms = parse_number(text, max_digits=DEADLINE_DIGITS)
    if deadline_ms is None or not 1 <= deadline_ms <= DEADLINE_LIMIT_MS:
        raise _refuse(
            f"X-Deadline-Ms must be a whole number from 1 to {DEADLINE_LIMIT_MS}"
        )
    return deadline_ms / 1000


def parse_completion(
    body: bytes, settings: HttpSettings, *, is_chat: bool
) -> CompletionCall:
    """Parse the body of a completion or chat completion request.

    Parameters
    ----------
    body : bytes
    settings : HttpSettings
    is_chat : bool

    Returns
    -------
    CompletionCall

    Raises
    ------
    RequestRefused
        If the body is malformed or a value is out of range.
    """
    value = parse_json_object(body)
    if is_chat and "max_completion_tokens" in value:
        value["max_tokens"] = value.pop("max_completion_tokens")
    try:
        fields = msgspec.convert(value, type=CompletionFields)
    except msgspec.ValidationError as error:
        raise _refuse(str(error)) from error
    if (fields.messages if is_chat else fields.prompt) is None:
        raise _refuse("messages are missing" if is_chat else "prompt is missing")
    if fields.max_tokens > settings.max_tokens:
        raise _refuse(f"max_tokens must be at most {settings.max_tokens}")
    prompt_characters = sum(len(str(m.content)) for m in fields.messages or ())
    prompt_characters += len(fields.prompt or "")
    return CompletionCall(
        fields, value, is_chat, 1 + prompt_characters // CHARACTERS_PER_TOKEN
    )


def parse_json_object(body: bytes) -> dict[str, Any]:
    """Parse a JSON object.

    Parameters
    ----------
    body : bytes

    Returns
    -------
    dict

    Raises
    ------
    RequestRefused
        If the body isn't a JSON object.
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _refuse(f"body is not valid JSON: {error}") from error
    if not isinstance(value, dict):
        raise _refuse("body is not a JSON object")
    return value


def _refuse(message: str) -> RequestRefused:
    return RequestRefused(ErrorKind.BAD_REQUEST, message)
