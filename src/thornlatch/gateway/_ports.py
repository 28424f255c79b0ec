"""Interfaces that a platform's adapter implements, and the data they exchange."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property
from typing import Any, Protocol

from thornlatch.fleet import TargetNotice
from thornlatch.residency import EngineReport, NumberedOrder, OrderOutcome


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request, decoded.

    Parameters
    ----------
    id : str
    method : str
    uri : str
        Path and query as received.
    host : str
        Host name that the caller requested, by which routes are chosen.
    key : str or None
        The caller's API key; None if it sent none.
    deadline_s : float or None
        Seconds until the caller gives up.
    model : str
        Empty for a plain service.
    adapter : str
        ``model/adapter``, or empty.
    prompt_tokens, output_tokens : int or None
        Size of a generation; `output_tokens` is an upper bound.
    prompt_parts : tuple of (str, int)
        Identity and number of tokens of the prompt's parts, in order.
    last_event : str
        Id of the event after which a stream is resumed; empty to start at the
        beginning.
    headers : tuple of (str, str)
        Further headers that are forwarded to the target.
    body : bytes
    resumes : str
        Id of the request that the resumed stream's first event answered; empty if the
        caller didn't tell.
    """

    id: str
    method: str
    uri: str
    host: str
    key: str | None
    deadline_s: float | None
    model: str
    adapter: str
    prompt_tokens: int | None
    output_tokens: int | None
    prompt_parts: tuple[tuple[str, int], ...]
    last_event: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    resumes: str = ""

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.uri.partition("?")[0]

    @cached_property
    def fingerprint(self) -> str:
        """Digest that is equal for all repetitions of the request."""
        digest = hashlib.blake2b(digest_size=8)
        for part in (self.method, self.host, self.uri, self.key or ""):
            digest.update(part.encode())
            digest.update(b"\0")
        digest.update(self.body)
        return digest.hexdigest()


@dataclass(frozen=True)
class SendContext:
    """What is sent to a target in addition to the caller's request.

    Parameters
    ----------
    target : str
        Id of the intended target.
    time_left_s : float
    organisation : str
        Empty on public routes.
    priority : int or None
        0 is the highest.
    adapter_version : int
        Version that the target must use; 0 for any.
    last_event : str
        Id of the event after which a stream is resumed.
    """

    target: str
    time_left_s: float
    organisation: str
    priority: int | None
    adapter_version: int
    last_event: str


@dataclass(frozen=True)
class ReportedLoad:
    """What a target reports of its load; None for what it doesn't tell.

    Parameters
    ----------
    running, waiting, slots : int or None
        Numbers of running and waiting requests, and of slots.
    work_ratio : float or None
        How long work takes at the moment, relative to the usual.
    """

    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    work_ratio: float | None = None


@dataclass(frozen=True)
class AnswerHead:
    """Status and headers of a target's answer, decoded.

    Parameters
    ----------
    status : int
    request : str
        Id of the answered request; empty if the answer has none, which is accepted
        only from the first answer on a connection.
    is_signed : bool
        Whether the target signed the answer.
    is_not_run : bool
        Whether the target states that it didn't run the request.
    is_misdirected : bool
        Whether the target isn't the intended one, or doesn't have what the request
        needs.
    answering_target : str
        Id of the target that answered; empty if the answer has none.
    load : ReportedLoad or None
    headers : tuple of (str, str)
        Headers that are forwarded to the caller.
    notice : TargetNotice
        What the target says of itself.
    """

    status: int
    request: str
    is_signed: bool
    is_not_run: bool
    is_misdirected: bool
    answering_target: str
    load: ReportedLoad | None
    headers: tuple[tuple[str, str], ...]
    notice: TargetNotice = TargetNotice()

    def is_from(self, target: str) -> bool:
        """Return whether the intended target answered, as far as the answer tells.

        Parameters
        ----------
        target : str

        Returns
        -------
        bool
        """
        return self.answering_target in ("", target)


class CallerProtocol(Protocol):
    """Protocol between callers and the gateway."""

    def read_request(self, environ: Mapping[str, Any]) -> CallerRequest:
        """Decode a request.

        Raises
        ------
        RequestRefused
            If it is malformed.
        """

    def build_refusal_headers(self, request: str) -> list[tuple[str, str]]:
        """Return the headers of an answer that the gateway generates itself."""


@dataclass(frozen=True)
class OrderReply:
    """A target's answer to an order.

    Parameters
    ----------
    outcome : OrderOutcome
    detail : str
    notice : TargetNotice
    """

    outcome: OrderOutcome
    detail: str = ""
    notice: TargetNotice = TargetNotice()


class TargetProtocol(Protocol):
    """Protocol between the gateway and targets."""

    def build_headers(
        self, request: CallerRequest, context: SendContext
    ) -> dict[str, str]:
        """Return the headers of a request to a target."""

    def read_head(self, status: int, headers: list[tuple[str, str]]) -> AnswerHead:
        """Decode the head of an answer."""

    def send_order(
        self, address: str, target: str, order: NumberedOrder, fencing_token: int
    ) -> OrderReply:
        """Send an order and return the target's answer."""

    def read_report(self, address: str, target: str) -> EngineReport:
        """Request a report from a target.

        Raises
        ------
        TargetError
            If no valid answer is received.
        """
