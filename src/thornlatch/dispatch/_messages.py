"""Messages between the hosts that use grants and the owner that issues them."""

from dataclasses import dataclass
from enum import Enum

from thornlatch.core import register
from thornlatch.exceptions import ErrorKind


def get_pool_key(pool: str) -> str:
    """Return the lease key of a pool."""
    return f"pool:{pool}"


class Outcome(Enum):
    """Result of the use of a grant."""

    OK = "ok"
    BUSY = "busy"
    NOT_LOADED = "not-loaded"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"
    UNUSED = "unused"


# After any other outcome the target may still be working on the request.
SETTLED_OUTCOMES = frozenset(
    {Outcome.OK, Outcome.BUSY, Outcome.NOT_LOADED, Outcome.UNUSED}
)


class Priority(Enum):
    """Priority class of a request within its organisation."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


@dataclass(frozen=True)
class RequestSpec:
    """Requirements of one attempt of a request.

    Parameters
    ----------
    request : str
        Request id.
    attempt : int
        Attempt number, from 1; each attempt of a request has its own.
    organisation : str
    pool : str
    deadline_in_s : float
        Time until the answer is due, seconds.
    tokens : float
        Estimated tokens, prompt and completion together.
    adapter : str
        Empty for plain services.
    version : str
        Empty for plain services.
    priority : Priority
    prefix : str
        Digest of the start of the prompt; empty if there is none.
    excluded : tuple of str
        Targets that must not run the request.
    is_stream : bool
        Whether the deadline holds for the first token of the answer, not for the last.
    fingerprint : str
        Digest of the whole request, the same for its duplicates; empty if there is
        none.
    is_isolated : bool
        Whether the quarantine has assigned the request an isolated run.
    """

    request: str
    attempt: int
    organisation: str
    pool: str
    deadline_in_s: float
    tokens: float
    adapter: str = ""
    version: str = ""
    priority: Priority = Priority.INTERACTIVE
    prefix: str = ""
    excluded: tuple[str, ...] = ()
    is_stream: bool = False
    fingerprint: str = ""
    is_isolated: bool = False


@register
@dataclass(frozen=True)
class GrantRequest:
    """Requests a grant from a pool's owner; resent until it's answered.

    Parameters
    ----------
    host : str
        Id of the requesting host.
    spec : RequestSpec
        Its deadline is relative to the time of sending.
    """

    host: str
    spec: RequestSpec


@register
@dataclass(frozen=True)
class Granted:
    """Grants a batch slot of a target and pins an adapter version there.

    Parameters
    ----------
    request : str
    attempt : int
    grant : str
        Grant id, unique within the pool.
    pool : str
    target : str
    address : str
        ``ip:port`` of the target.
    adapter : str
    version : str
    epoch : int
        Epoch of the owner; hosts that have answered a newer owner ignore the grant.
    linger_s : float
        Time for which the host may keep the grant after a use, seconds.
    incarnation : str
        Incarnation of the target's process that the owner knows; empty if it knows
        none.
    """

    request: str
    attempt: int
    grant: str
    pool: str
    target: str
    address: str
    adapter: str
    version: str
    epoch: int
    linger_s: float
    incarnation: str = ""


@register
@dataclass(frozen=True)
class GrantQueued:
    """Acknowledges a resent `GrantRequest` that is still queued.

    Parameters
    ----------
    request : str
    attempt : int
    pool : str
    """

    request: str
    attempt: int
    pool: str


@register
@dataclass(frozen=True)
class GrantRefused:
    """Refuses a grant; this attempt of the request has not run and will not run.

    Parameters
    ----------
    request : str
    attempt : int
    pool : str
    kind : ErrorKind
    retry_after_s : float
        Time after which the request may be retried, seconds.
    epoch : int
        Epoch of the owner.
    """

    request: str
    attempt: int
    pool: str
    kind: ErrorKind
    retry_after_s: float
    epoch: int


@register
@dataclass(frozen=True)
class GrantReleased:
    """Reports the use of a grant and returns the grant unless it's kept.

    Parameters
    ----------
    host : str
    pool : str
    grant : str
    use : int
        Number of uses of the grant so far, so that a resent message counts once.
    is_kept : bool
        Whether the host keeps the grant for its next request.
    outcome : Outcome
        Outcome of the last use.
    organisation : str
        Organisation of the last use.
    tokens : float
        Tokens of the last use, prompt and completion together.
    first_token_s : float or None
        Time from sending the request to the first token, seconds.
    duration_s : float
        Duration of the last use, seconds.
    """

    host: str
    pool: str
    grant: str
    use: int
    is_kept: bool
    outcome: Outcome
    organisation: str
    tokens: float
    first_token_s: float | None
    duration_s: float


@register
@dataclass(frozen=True)
class GrantReleaseNoted:
    """Acknowledges `GrantReleased`.

    Parameters
    ----------
    pool : str
    grant : str
    use : int
    is_kept : bool
    """

    pool: str
    grant: str
    use: int
    is_kept: bool


@register
@dataclass(frozen=True)
class GrantHeld:
    """Acknowledges a resent `Granted` whose grant the host already holds.

    Parameters
    ----------
    host : str
    pool : str
    grant : str
    """

    host: str
    pool: str
    grant: str


@register
@dataclass(frozen=True)
class GrantRecalled:
    """Asks a host to return a grant as soon as it's unused.

    Parameters
    ----------
    pool : str
    grant : str
    """

    pool: str
    grant: str


@register
@dataclass(frozen=True)
class GrantCancelled:
    """Cancels a request for a grant.

    Parameters
    ----------
    host : str
    pool : str
    request : str
    attempt : int
    """

    host: str
    pool: str
    request: str
    attempt: int


@register
@dataclass(frozen=True)
class GrantCancelNoted:
    """Acknowledges `GrantCancelled`.

    Parameters
    ----------
    pool : str
    request : str
    attempt : int
    """

    pool: str
    request: str
    attempt: int


@register
@dataclass(frozen=True)
class TargetDeathReported:
    """Reports to the owner that a target failed; the owner polls it to verify.

    It isn't resent: if it's lost, the owner notices the failure by the released grant
    and the next poll.

    Parameters
    ----------
    pool : str
    target : str
    incarnation : str
        Incarnation of the target's process that failed.
    """

    pool: str
    target: str
    incarnation: str


@register
@dataclass(frozen=True)
class GrantInventoryRequest:
    """Requests the grants of a pool that a host holds; sent by a new owner.

    Parameters
    ----------
    pool : str
    epoch : int
        Epoch of the new owner; from then on the host ignores grants of earlier epochs.
    """

    pool: str
    epoch: int


@dataclass(frozen=True)
class HeldGrant:
    """Grant that a host holds.

    Parameters
    ----------
    grant : str
    target : str
    adapter : str
    version : str
    use : int
        Number of finished uses.
    is_idle : bool
        Whether it's kept for the next request.
    fingerprint : str
        Digest of the request that uses it; empty if there is none.
    """

    grant: str
    target: str
    adapter: str
    version: str
    use: int
    is_idle: bool
    fingerprint: str = ""


@dataclass(frozen=True)
class OrderInDoubt:
    """Order of a former owner that a target may still carry out.

    Parameters
    ----------
    target : str
    adapter : str
    version : str
    settled_in_s : float
        Time after which the target no longer starts it, seconds.
    """

    target: str
    adapter: str
    version: str
    settled_in_s: float


@dataclass(frozen=True)
class PinInDoubt:
    """Adapter version that a request without an answer may still use.

    Parameters
    ----------
    target : str
    adapter : str
    version : str
    ends_in_s : float
        Time until the pin ends, seconds.
    """

    target: str
    adapter: str
    version: str
    ends_in_s: float


@register
@dataclass(frozen=True)
class GrantInventory:
    """Answers `GrantInventoryRequest`.

    Parameters
    ----------
    host : str
    pool : str
    epoch : int
        Epoch of the owner that requested the inventory.
    grants : tuple of HeldGrant
    orders : tuple of OrderInDoubt
        Orders that this host sent as a former owner.
    pins : tuple of PinInDoubt
        Pins of this host's own requests, and those it knew as a former owner.
    seen_epoch : int
        Highest epoch of a former owner that requested this host's inventory; -1 if none
        did.
    handover_epoch : int
        Last epoch in which this host, as the owner, knew all uses of the pool's
        targets; -1 if there is none or a pin handed over from it has expired.
    """

    host: str
    pool: str
    epoch: int
    grants: tuple[HeldGrant, ...]
    orders: tuple[OrderInDoubt, ...] = ()
    pins: tuple[PinInDoubt, ...] = ()
    seen_epoch: int = -1
    handover_epoch: int = -1
