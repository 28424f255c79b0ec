"""Records of stream ``claims`` and the decisions that waiting requests receive."""

from dataclasses import dataclass

from thornlatch.core import register


@dataclass(frozen=True, slots=True)
class Claimed:
    """Claims the right to run a non-idempotent call once.

    Parameters
    ----------
    claim : str
        Identifier of the claim; never reused.
    organisation : str
    key : str
        Idempotency key of the caller.
    body_digest : str
        Hexadecimal SHA-256 of method, path and body.
    claimed_at : float
        Wall time of the claimer in seconds since the epoch.
    expires_at : float
        Wall time after which repeats are no longer recognised.
    """

    claim: str
    organisation: str
    key: str
    body_digest: str
    claimed_at: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """Answer of a target, recorded for repeats of the call.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers that describe the answer.
    body : bytes
        Empty if it was too large to record or has been dropped.
    body_digest : str
        Hexadecimal SHA-256 of a body that was too large; empty otherwise.
    is_whole : bool
        Whether `body` is the whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    body_digest: str = ""
    is_whole: bool = True


@dataclass(frozen=True, slots=True)
class Completed:
    """Records the answer to a claimed call."""

    claim: str
    answer: RecordedAnswer


@dataclass(frozen=True, slots=True)
class Unresolved:
    """Records that a claimed call was sent and its outcome is unknown."""

    claim: str


@dataclass(frozen=True, slots=True)
class Released:
    """Releases a claim whose call was not run and never will be."""

    claim: str


ClaimItem = Claimed | Completed | Unresolved | Released


@register
@dataclass(frozen=True, slots=True)
class Claims:
    """One append of a host to stream ``claims``.

    Outcomes are applied before claims, so that a host can release a claim and claim the
    same key again in one append.
    """

    host: str
    claims: tuple[Claimed, ...] = ()
    completed: tuple[Completed, ...] = ()
    unresolved: tuple[Unresolved, ...] = ()
    released: tuple[Released, ...] = ()

    def get_ended(self) -> list[str]:
        """Return the claims whose outcome this record contains."""
        return [
            *(item.claim for item in self.completed),
            *(item.claim for item in self.unresolved),
            *(item.claim for item in self.released),
        ]


def build_claims(host: str, items: list[ClaimItem]) -> Claims:
    """Build the record of one append from its items."""
    return Claims(
        host,
        claims=tuple(item for item in items if isinstance(item, Claimed)),
        completed=tuple(item for item in items if isinstance(item, Completed)),
        unresolved=tuple(item for item in items if isinstance(item, Unresolved)),
        released=tuple(item for item in items if isinstance(item, Released)),
    )


@dataclass(frozen=True, slots=True)
class ClaimWon:
    """The decision that a request may be sent under its claim.

    Parameters
    ----------
    claim : str
        Argument of `ClaimTable.begin`, directly before the first byte is sent.
    send_before : float
        Monotonic time from which it must not be sent any more.
    """

    claim: str
    send_before: float
