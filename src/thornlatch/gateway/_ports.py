"""What an adapter translates: callers' requests, targets' answers, orders."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from thornlatch.residency import EngineReport, NumberedOrder, OrderOutcome


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request, decoded.

    Parameters
    ----------
    id : str
    method : str
    uri : str
        Path and query as they came.
    host : str
    key : str or None
    deadline_s : float or None
        Seconds that the caller waits.
    model : str
        Empty for a plain service.
    adapter : str
        ``model/adapter``, or empty.
    prompt_tokens, output_tokens : int or None
        Size of a generation, the second as its upper bound.
    prompt_parts : tuple of (str, int)
        Identity and tokens of the prompt's parts, in order.
    last_event : str
        Event after which a stream is to go on; empty for its beginning.
    headers : tuple of (str, str)
        Further headers that the target gets.
    body : bytes
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

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.uri.partition("?")[0]


@dataclass(frozen=True)
class SendContext:
    """What a target is told beside the request.

    Parameters
    ----------
    target : str
        Id of the target that is meant.
    time_left_s : float
    organisation : str
        Empty on public routes.
    priority : int or None
        0 first.
    adapter_version : int
        Version that the target must use; 0 for any.
    last_event : str
    """

    target: str
    time_left_s: float
    organisation: str
    priority: int | None
    adapter_version: int
    last_event: str


@dataclass(frozen=True)
class AnswerHead:
    """Status and headers of a target's answer, decoded.

    Parameters
    ----------
    status : int
    request : str
        Id of the request that is answered; empty if it isn't named.
    is_signed : bool
        Whether the target signed the answer as its own.
    is_not_run : bool
        Whether the target says that it hasn't run the request.
    is_misdirected : bool
        Whether the target isn't the one that was meant, or doesn't hold what the
        request needs.
    answering_target : str
        Id of the target, if it names itself.
    load : (int, int, int) or None
        Running and waiting requests, and slots.
    headers : tuple of (str, str)
        Headers that the caller gets.
    """

    status: int
    request: str
    is_signed: bool
    is_not_run: bool
    is_misdirected: bool
    answering_target: str
    load: tuple[int, int, int] | None
    headers: tuple[tuple[str, str], ...]


class CallerProtocol(Protocol):
    """Reads callers' requests."""

    def read_request(self, environ: Mapping[str, Any]) -> CallerRequest:
        """Decode a request.

        Raises
        ------
        RequestRefused
            If it is malformed.
        """

    def build_refusal_headers(self, request: str) -> list[tuple[str, str]]:
        """Return headers of an answer that the gateway gives itself."""


@dataclass(frozen=True)
class OrderReply:
    """A target's answer to an order.

    Parameters
    ----------
    outcome : OrderOutcome
    detail : str
    """

    outcome: OrderOutcome
    detail: str = ""


class TargetProtocol(Protocol):
    """Speaks to targets."""

    def build_headers(
        self, request: CallerRequest, context: SendContext
    ) -> dict[str, str]:
        """Return the headers of a request to a target."""

    def read_head(self, status: int, headers: list[tuple[str, str]]) -> AnswerHead:
        """Decode the head of an answer."""

    def send_order(
        self, address: str, target: str, order: NumberedOrder, fencing_token: int
    ) -> OrderReply:
        """Send an order and wait for its answer."""

    def read_report(self, address: str, target: str) -> EngineReport:
        """Ask a target for a report.

        Raises
        ------
        TargetError
            If there is no usable answer.
        """
