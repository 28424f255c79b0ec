"""Messages between the hosts that use grants and the owner that gives them."""

from dataclasses import dataclass
from enum import Enum

from thornlatch.core import register
from thornlatch.exceptions import ErrorKind


def get_pool_key(pool: str) -> str:
    """Return the lease key of a pool."""
    return f"pool:{pool}"


class Outcome(Enum):
    """How the use of a grant ended."""

    OK = "ok"
    BUSY = "busy"
    NOT_LOADED = "not-loaded"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"
    UNUSED = "unused"


SETTLED_OUTCOMES = frozenset(
    {Outcome.OK, Outcome.BUSY, Outcome.NOT_LOADED, Outcome.UNUSED}
)


class Priority(Enum):
    """Class of a request within its organisation."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


@dataclass(frozen=True)
class RequestSpec:
    """What a request needs of a pool.

    Parameters
    ----------
    request : str
        Request id.
    attempt : int
        Attempt number from 1; each attempt of a request has its own.
    organisation : str
    pool : str
    deadline_in_s : float
        Seconds until the answer is due.
    tokens : float
        Estimated tokens, prompt and completion together.
    adapter : str
        Empty for plain services.
    version : str
        Empty for plain services.
    priority : Priority
    prefix : str
        Digest of the prompt's beginning; empty if there is none.
    excluded : tuple of str
        Targets that must not run the request.
    is_stream : bool
        Whether the answer is due with its first token, not with its last.
    fingerprint : str
        Digest of the whole request, equal for its copies; empty if there is none.
    is_isolated : bool
        Whether the quarantine gave it a turn to run isolated.
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
    """Asks a pool's owner for a grant; repeated until it's answered.

    Parameters
    ----------
    host : str
        Host id of the asker.
    spec : RequestSpec
        Its deadline is relative to the sending.
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
        Grant id, unique for the pool.
    pool : str
    target : str
    address : str
        ``ip:port`` of the target.
    adapter : str
    version : str
    epoch : int
        Epoch of the owner; hosts that answered a newer owner ignore it.
    linger_s : float
        Seconds that the host may keep the grant after use.
    incarnation : str
        Life of the target's process that the owner knows; empty if it knows none.
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
    """Acknowledges a repeated `GrantRequest` that still waits.

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
    """Refuses a grant; the request was not and won't be run for this attempt.

    Parameters
    ----------
    request : str
    attempt : int
    pool : str
    kind : ErrorKind
    retry_after_s : float
        Seconds.
    epoch : int
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
    """Reports the use of a grant, and gives it back unless it's kept.

    Parameters
    ----------
    host : str
    pool : str
    grant : str
    use : int
        Uses of the grant so far, so that repeats count once.
    is_kept : bool
        Whether the host keeps the grant for its next request.
    outcome : Outcome
        Of the last use.
    organisation : str
        Organisation of the last use.
    tokens : float
        Tokens of the last use, prompt and completion together.
    first_token_s : float or None
        Seconds from the sending to the first token.
    duration_s : float
        Seconds of the last use.
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
    """Tells the owner that a repeated `Granted` had arrived before.

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
    """Asks a host to give a grant back as soon as it's unused.

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
    """Withdraws a request for a grant.

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
    """Tells the owner that a target has died; the owner finds out for itself.

    Sent once: if it's lost, the released grant and the next poll tell the owner.

    Parameters
    ----------
    pool : str
    target : str
    incarnation : str
        Life of the target's process that ended.
    """

    pool: str
    target: str
    incarnation: str


@register
@dataclass(frozen=True)
class GrantInventoryRequest:
    """Asks a host which grants of a pool it holds, at a change of the owner.

    Parameters
    ----------
    pool : str
    epoch : int
        Epoch of the new owner; the host accepts no older grants any more.
    """

    pool: str
    epoch: int


@dataclass(frozen=True)
class HeldGrant:
    """One grant that a host holds.

    Parameters
    ----------
    grant : str
    target : str
    adapter : str
    version : str
    use : int
        Finished uses.
    is_idle : bool
        Whether it's kept for a next request.
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
    """An order of an earlier owner that a target may still carry out.

    Parameters
    ----------
    target : str
    adapter : str
    version : str
    settled_in_s : float
        Seconds after which the target doesn't begin it any more.
    """

    target: str
    adapter: str
    version: str
    settled_in_s: float


@dataclass(frozen=True)
class PinInDoubt:
    """An adapter version that a request without an answer may still use.

    Parameters
    ----------
    target : str
    adapter : str
    version : str
    ends_in_s : float
        Seconds until the pin ends.
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
    grants : tuple of HeldGrant
    orders : tuple of OrderInDoubt
        Orders that this host sent as an earlier owner.
    pins : tuple of PinInDoubt
        Of this host's own requests, and those it knew as an earlier owner.
    seen_epoch : int
        Highest epoch of an earlier owner that asked this host; -1 if none did.
    handover_epoch : int
        Highest epoch at which this host itself knew all grants; -1 if it never did.
    """

    host: str
    pool: str
    epoch: int
    grants: tuple[HeldGrant, ...]
    orders: tuple[OrderInDoubt, ...] = ()
    pins: tuple[PinInDoubt, ...] = ()
    seen_epoch: int = -1
    handover_epoch: int = -1
