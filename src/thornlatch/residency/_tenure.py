"""Tenure of partitions: the right to send orders to their targets, with a token."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

# Tokens of a later store epoch are higher whatever the group's generation.
GENERATION_BITS = 32


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
        self.epoch = 0
        # Token of a partition that would be gained now.
        self.newest_token = 0
        # Until then the holders before the store's restore may still send orders.
        self.settled_at = float("-inf")
        self.held_before_restore: frozenset[int] = frozenset()
        self.orders_from: dict[int, float] = {}

    def renew(
        self,
        partitions: frozenset[int],
        generation: int,
        *,
        asked_at: float,
        epoch: int = 0,
    ) -> tuple[frozenset[int], frozenset[int]]:
        """Apply the store's answer to a renewal.

        Parameters
        ----------
        partitions : frozenset of int
        generation : int
            Generation of the group; rises with each change of its members.
        asked_at : float
            When the renewal was sent.
        epoch : int
            Store epoch of the answer. The generation may be lower than in an earlier
            epoch.

        Returns
        -------
        (frozenset, frozenset)
            Partitions gained and lost.
        """
        newest_token = (epoch << GENERATION_BITS) + generation
        if newest_token < self.newest_token:
            # The store went back without a new epoch, or the answer is older than one
            # that was applied: other hosts may have used higher tokens.
            partitions = partitions & self.tokens.keys()
            newest_token = self.newest_token
        elif epoch > self.epoch:
            # Another host may have held a partition in this epoch before this one
            # renewed, with a token that is higher than those of earlier epochs.
            self.tokens = {
                partition: newest_token if partition in partitions else token
                for partition, token in self.tokens.items()
            }
            self.epoch = epoch
        self.newest_token = newest_token
        self.renewed_at = asked_at
        gained = partitions - self.tokens.keys()
        lost = frozenset(self.tokens.keys() - partitions)
        for partition in lost:
            del self.tokens[partition]
            self.orders_from.pop(partition, None)
        for partition in gained:
            # The former holder's token is of an earlier generation, so this is higher.
            self.tokens[partition] = newest_token
            if partition not in self.held_before_restore:
                self.orders_from[partition] = self.settled_at
        for partition, fenced in self.fenced_tokens.items():
            # A fenced token means that another host has held the partition unnoticed by
            # this one. Targets accept only a token of a later generation.
            if self.tokens.get(partition, newest_token) <= fenced < newest_token:
                self.tokens[partition] = newest_token
        return gained, lost

    def note_restored(self, *, now: float) -> None:
        """Record that the store was restored from a copy.

        The restored group may assign a partition to this host while its former holder
        doesn't know yet.

        Parameters
        ----------
        now : float
        """
        held = frozenset(
            partition
            for partition in list(self.tokens)
            if self.get_token(partition, now=now) is not None
        )
        if now < self.settled_at:
            # Nobody else has sent orders there since the previous restore.
            held |= self.held_before_restore
        self.held_before_restore = held
        self.settled_at = now + self.settings.ttl_s + self.settings.lease_s
        for partition in self.tokens.keys() - held:
            self.orders_from[partition] = self.settled_at

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
        if now < self.orders_from.get(partition, float("-inf")):
            return None
        is_expired = now - self.renewed_at >= self.settings.ttl_s
        if is_expired and not self.settings.is_fenced:
            return None
        return token
