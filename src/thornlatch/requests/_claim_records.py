"""Records of stream ``claims`` and what a waiting request is told."""

from dataclasses import dataclass

from thornlatch.core import register


@dataclass(frozen=True, slots=True)
class Claimed:
    """Claims the only run of a non-idempotent call.

    Parameters
    ----------
    claim : str
        Identifier of the claim, never used again.
    organisation : str
    key : str
        Idempotency key of the caller.
    body_digest : str
        Hexadecimal SHA-256 of method, path and body.
    claimed_at : float
        Wall time of the claimer, seconds since the epoch.
    expires_at : float
        Wall time after which a repeat is no longer recognised.
    """

    claim: str
    organisation: str
    key: str
    body_digest: str
    claimed_at: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """Answer of a target, as a repeat of the call receives it.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers that belong to the answer.
    body : bytes
        Empty if it was too large to record.
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
    """Records that a claimed call was sent and its outcome was lost."""

    claim: str


@dataclass(frozen=True, slots=True)
class Released:
    """Gives up a claim whose call was certainly not run and never will be."""

    claim: str


ClaimItem = Claimed | Completed | Unresolved | Released


@register
@dataclass(frozen=True, slots=True)
class Claims:
    """One append of a host to stream ``claims``.

    Outcomes are applied before claims, so that a host may release a claim and make the
    next one for the same key in one append.
    """

    host: str
    claims: tuple[Claimed, ...] = ()
    completed: tuple[Completed, ...] = ()
    unresolved: tuple[Unresolved, ...] = ()
    released: tuple[Released, ...] = ()

    def get_ended(self) -> list[str]:
        """Return the claims whose outcome this record tells."""
        return [
            *(item.claim for item in self.completed),
            *(item.claim for item in self.unresolved),
            *(item.claim for item in self.released),
        ]


def build_claims(host: str, items: list[ClaimItem]) -> Claims:
    """Sort the items of one append by class."""
    return Claims(
        host,
        claims=tuple(item for item in items if isinstance(item, Claimed)),
        completed=tuple(item for item in items if isinstance(item, Completed)),
        unresolved=tuple(item for item in items if isinstance(item, Unresolved)),
        released=tuple(item for item in items if isinstance(item, Released)),
    )


@dataclass(frozen=True, slots=True)
class ClaimWon:
    """Tells a request that it may be sent under its claim.

    Parameters
    ----------
    claim : str
        To be passed to `ClaimTable.begin` directly before the first byte is sent.
    send_before : float
        Monotonic time after which it mustn't be sent any more.
    """

    claim: str
    send_before: float
