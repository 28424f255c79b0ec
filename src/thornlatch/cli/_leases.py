"""Membership as a command sees it."""

from collections.abc import Iterable

from thornlatch.core import Member, Owner


class NoLeases:
    """Membership as a command sees it: it has no peers."""

    def get_owner(self, key: str) -> Owner | None:
        """Return no owner."""
        return None

    def get_held_epoch(self, key: str, *, now: float) -> int | None:
        """Return no epoch."""
        return None

    def is_confirmed(self, *, now: float) -> bool:
        """Return that a command has no rights."""
        return False

    def iter_members(self) -> Iterable[Member]:
        """Iterate over nothing."""
        return ()

    def iter_possible_holders(self, *, now: float) -> Iterable[str]:
        """Iterate over nothing."""
        return ()
