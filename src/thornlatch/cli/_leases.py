"""Leases of a process that is no member of the fleet."""

from collections.abc import Iterable

from thornlatch.core import Member, Owner


class NoLeases:
    """Leases of a command, which has no peers and owns no key."""

    def get_owner(self, key: str) -> Owner | None:
        """Return None: a command knows no owners."""
        return None

    def get_held_epoch(self, key: str, *, now: float) -> int | None:
        """Return None: a command holds no key."""
        return None

    def is_confirmed(self, *, now: float) -> bool:
        """Return False: a command has no session."""
        return False

    def iter_members(self) -> Iterable[Member]:
        """Return no members."""
        return ()

    def iter_possible_holders(self, *, now: float) -> Iterable[str]:
        """Return no hosts."""
        return ()
