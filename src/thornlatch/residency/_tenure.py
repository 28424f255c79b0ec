"""Tenure of partitions: the right to send orders to their targets, with a token."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta


@dataclass(frozen=True)
class TenureSettings:
    """When tenure ends, and how it is enforced.

    Parameters
    ----------
    lease_s : float
        Smallest time between orders of two successive holders, in seconds.
    ttl_s : float
        Seconds after the start of a renewal at which the store reassigns partitions.
    is_fenced : bool
        Whether targets reject orders with a lower token than they have seen. If not,
        tenure expires by this host's clock.
    """

    lease_s: Annotated[float, Meta(ge=0)] = 3.0
    ttl_s: Annotated[float, Meta(gt=0)] = 2.0
    is_fenced: bool = True


class Tenure:
    """Tracks the partitions that the store's group assigns to this host.

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
        """Apply the store's answer to a renewal.

        Parameters
        ----------
        partitions : frozenset of int
        generation : int
            Generation of the group; rises with each change of its members.
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
            # The former holder's token is of an earlier generation, so this is higher.
            self.tokens[partition] = generation
        for partition, fenced in self.fenced_tokens.items():
            # A fenced token means that another host has held the partition unnoticed by
            # this one. Targets accept only a token of a later generation.
            if self.tokens.get(partition, generation) <= fenced < generation:
                self.tokens[partition] = generation
        return gained, lost

    def note_fenced(self, partition: int) -> None:
        """Stop using a token that a target rejected as too low.

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
        """Return the token for orders, or None if this host must not send any.

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
        is_expired = now - self.renewed_at >= self.settings.ttl_s
        if is_expired and not self.settings.is_fenced:
            return None
        return token
