"""Which targets this host orders: tenure of a partition, with a fencing token."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta


@dataclass(frozen=True)
class TenureSettings:
    """How tenure begins and ends.

    Parameters
    ----------
    lease_s : float
        Seconds that must lie between orders of two hosts that take turns.
    ttl_s : float
        Seconds after a renewal began at which the store gives partitions away.
    is_fenced : bool
        Whether targets refuse orders with a token lower than one they have seen; if
        not, tenure ends by this host's own clock.
    """

    lease_s: Annotated[float, Meta(ge=0)] = 3.0
    ttl_s: Annotated[float, Meta(gt=0)] = 2.0
    is_fenced: bool = True


class Tenure:
    """Tracks the partitions that the store's group gives this host.

    Parameters
    ----------
    settings : TenureSettings
    """

    def __init__(self, settings: TenureSettings) -> None:
        self.settings = settings
        self.tokens: dict[int, int] = {}
        self.renewed_at = float("-inf")
        self.fenced_tokens: dict[int, int] = {}

    def renew(
        self, partitions: frozenset[int], generation: int, *, asked_at: float
    ) -> tuple[frozenset[int], frozenset[int]]:
        """Take the store's answer to a renewal.

        Parameters
        ----------
        partitions : frozenset of int
        generation : int
            Rises with each change of the group.
        asked_at : float
            When the renewal was sent.

        Returns
        -------
        (frozenset, frozenset)
            Partitions gained and lost.
        """
        self.renewed_at = asked_at
        gained = partitions - self.tokens.keys()
        lost = frozenset(self.tokens.keys() - partitions)
        for partition in lost:
            del self.tokens[partition]
        for partition in gained:
            # The holder before knew of an earlier generation only.
            self.tokens[partition] = generation
        for partition, fenced in self.fenced_tokens.items():
            # Another host ordered in between, and the group has changed since.
            if self.tokens.get(partition, generation) <= fenced < generation:
                self.tokens[partition] = generation
        return gained, lost

    def note_fenced(self, partition: int) -> None:
        """Stop ordering under a token that a target found too low.

        Parameters
        ----------
        partition : int
        """
        token = self.tokens.get(partition)
        if token is not None:
            self.fenced_tokens[partition] = token

    def drop_all(self) -> None:
        """End every tenure, as at a planned stop."""
        self.tokens = {}

    def get_token(self, partition: int, *, now: float) -> int | None:
        """Return the fencing token to order with, or None if this host must not.

        Parameters
        ----------
        partition : int
        now : float

        Returns
        -------
        int or None
        """
        token = self.tokens.get(partition)
        if token is None or self.fenced_tokens.get(partition, -1) >= token:
            return None
        is_lapsed = now - self.renewed_at >= self.settings.ttl_s
        if is_lapsed and not self.settings.is_fenced:
            return None
        return token
