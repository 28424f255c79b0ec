"""Records of stream ``quarantine``, notices between hosts, and verdicts."""

import hashlib
from dataclasses import dataclass
from enum import Enum

from thornlatch.core import register
from thornlatch.exceptions import RequestRefused


def make_fingerprint(organisation: str, adapter_version: str, body: bytes) -> str:
    """Return a hexadecimal digest that identical requests have in common.

    Parameters
    ----------
    organisation : str
    adapter_version : str
        Adapter and version, or the route of a plain service.
    body : bytes
    """
    digest = hashlib.sha256(body)
    digest.update(f"\0{organisation}\0{adapter_version}".encode())
    return digest.hexdigest()


class IsolationOutcome(Enum):
    """How an isolated run ended."""

    CLEARED = "cleared"
    CRASHED = "crashed"
    NOT_RUN = "not-run"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Suspected:
    """Records that a target failed while it ran a request.

    Parameters
    ----------
    fingerprint : str
    target : str
    """

    fingerprint: str
    target: str


@dataclass(frozen=True, slots=True)
class IsolationAsked:
    """Requests an isolated run of a suspect.

    Parameters
    ----------
    ask : str
        Identifier of the isolated run (`isolation_id` in the code).
    fingerprint : str
    pool : str
    """

    ask: str
    fingerprint: str
    pool: str


@dataclass(frozen=True, slots=True)
class IsolationEnded:
    """Ends an isolated run.

    Parameters
    ----------
    ask : str
        Identifier of the isolated run (`isolation_id` in the code).
    fingerprint : str
    outcome : IsolationOutcome
    """

    ask: str
    fingerprint: str
    outcome: IsolationOutcome


@dataclass(frozen=True, slots=True)
class Cleared:
    """Records that a request is no longer suspect."""

    fingerprint: str


QuarantineItem = Suspected | IsolationAsked | IsolationEnded | Cleared


@register
@dataclass(frozen=True, slots=True)
class QuarantineRecord:
    """One append of a host to stream ``quarantine``, applied in field order."""

    host: str
    suspected: tuple[Suspected, ...] = ()
    asked: tuple[IsolationAsked, ...] = ()
    ended: tuple[IsolationEnded, ...] = ()
    cleared: tuple[Cleared, ...] = ()


def build_quarantine_record(host: str, items: list[QuarantineItem]) -> QuarantineRecord:
    """Build the record of one append from its items."""
    return QuarantineRecord(
        host,
        suspected=tuple(item for item in items if isinstance(item, Suspected)),
        asked=tuple(item for item in items if isinstance(item, IsolationAsked)),
        ended=tuple(item for item in items if isinstance(item, IsolationEnded)),
        cleared=tuple(item for item in items if isinstance(item, Cleared)),
    )


@register
@dataclass(frozen=True, slots=True)
class SuspectNotice:
    """Informs a peer of suspects before the log does; sent until acknowledged.

    Parameters
    ----------
    notice : int
        Number of the notice, unique for the sender.
    suspects : tuple of Suspected
    refused : tuple of str
        Fingerprints of requests that crashed two targets.
    cleared : tuple of str
        Fingerprints of requests that are no longer suspect.
    """

    notice: int
    suspects: tuple[Suspected, ...] = ()
    refused: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()


@register
@dataclass(frozen=True, slots=True)
class SuspectNoticeSeen:
    """Acknowledges a notice."""

    notice: int


@dataclass(frozen=True, slots=True)
class RunNormally:
    """The request may run concurrently with others."""


@dataclass(frozen=True, slots=True)
class RunIsolated:
    """The request may run as the only one on a target.

    Parameters
    ----------
    isolation_id : str
        Argument of `Quarantine.note_started`.
    excluded : tuple of str
        Targets that failed while they ran it.
    """

    isolation_id: str
    excluded: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class IsolationRequired:
    """The request is suspect and may run only in isolation."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is refused without another run."""

    refusal: RequestRefused


Verdict = RunNormally | RunIsolated | IsolationRequired | Refuse
