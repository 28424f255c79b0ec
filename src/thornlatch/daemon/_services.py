"""What request threads ask of the slices, over the control thread."""

import time
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass
from typing import Any, Protocol

from thornlatch.configuration import Adapter, Key, Pool, Route
from thornlatch.core import Event
from thornlatch.exceptions import ErrorKind, RequestRefused

DECISION_SLACK_S = 1.0


@dataclass(frozen=True)
class GrantSpec:
    """What a request needs of a pool.

    Parameters
    ----------
    request : str
    attempt : int
    organisation : str
    pool : str
    adapter, version : str
        Empty for plain services.
    priority : str
    deadline : float
        Time of the monotonic clock by which the request must begin.
    tokens : int
        Tokens that it may generate.
    prefix : str
        Digest of the prompt's beginning, for prefix locality.
    excluded : tuple of str
        Targets that failed this request.
    """

    request: str
    attempt: int
    organisation: str
    pool: str
    adapter: str
    version: str
    priority: str
    deadline: float
    tokens: int
    prefix: str = ""
    excluded: tuple[str, ...] = ()


@dataclass(frozen=True)
class Grant:
    """The right to run one request on a target.

    Parameters
    ----------
    grant : str
    target : str
    address : str
    epoch : int
        Fencing number.
    """

    grant: str
    target: str
    address: str
    epoch: int


class Services(Protocol):
    """Decisions that a request thread waits for; errors are `RequestRefused`."""

    def authenticate(self, key: str) -> Key:
        """Return the record of a bearer key."""

    def find_adapter(self, model: str) -> tuple[Adapter, str]:
        """Return adapter and version that a model name means."""

    def find_route(self, path: str) -> Route:
        """Return the route with the longest matching prefix."""

    def get_pool(self, name: str) -> Pool:
        """Return a pool."""

    def list_adapters(self, organisation: str) -> list[Adapter]:
        """Return the adapters that an organisation may call."""

    def check_serving(self) -> None:
        """Raise if this host may not take requests now."""

    def is_key_withdrawn(self, digest: str) -> bool:
        """Return whether a key that was valid has been withdrawn."""

    def is_confirmed(self) -> bool:
        """Return whether rights granted earlier may be used now."""

    def admit(self, organisation: str, tokens: float, deadline: float) -> Any:
        """Take tokens of an organisation's allowance."""

    def settle(self, admitted: Any, used: float) -> None:
        """Give back what of the admitted tokens wasn't used."""

    def acquire_grant(self, spec: GrantSpec) -> Grant:
        """Wait for a target."""

    def release_grant(
        self, grant: Grant, *, outcome: str, tokens: int, first_token_s: float
    ) -> None:
        """Return a grant with what became of the attempt."""

    def emit(self, event: Event) -> None:
        """Write an event to the time line."""


def wait_for(future: "Future[Any]", deadline: float) -> Any:
    """Wait for a decision of the control thread.

    Parameters
    ----------
    future : Future
    deadline : float
        Time of the monotonic clock by which the decision is due.

    Returns
    -------
    object

    Raises
    ------
    RequestRefused
        If it was refused, or no decision came.
    """
    timeout_s = max(0.0, deadline - time.monotonic()) + DECISION_SLACK_S
    try:
        return future.result(timeout=timeout_s)
    except FutureTimeoutError:
        raise RequestRefused(
            ErrorKind.DEADLINE_UNREACHABLE, "no decision in time", retry_after_s=1.0
        ) from None
