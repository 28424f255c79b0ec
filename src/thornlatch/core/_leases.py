"""The view of membership and leases that other slices read."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True)
class Member:
    """One host's session.

    Parameters
    ----------
    host : str
        Host id; unique for the life of the process, so it names the session too.
    address : str
        ``ip:port`` of the peer socket.
    failure_domain : str
    offset : int
        Offset of the record that opened the session.
    """

    host: str
    address: str
    failure_domain: str
    offset: int


def get_host_name(host: str) -> str:
    """Return the name of a host without the incarnation of its session.

    Parameters
    ----------
    host : str
        Host id, ``name.incarnation``, or a name alone.

    Returns
    -------
    str
    """
    return host.rpartition(".")[0] or host


@dataclass(frozen=True)
class Owner:
    """Owner of a lease key.

    Parameters
    ----------
    host : str
        Host id.
    epoch : int
        Log offset at which the ownership began; grows with every change.
    """

    host: str
    epoch: int


class LeaseReader(Protocol):
    """What slices may ask of membership and leases; all reads are pure."""

    def get_owner(self, key: str) -> Owner | None:
        """Return the owner of `key` in the view read from the log."""

    def get_held_epoch(self, key: str, *, now: float) -> int | None:
        """Return this host's epoch for `key` if it's safe to act on at `now`."""

    def is_confirmed(self, *, now: float) -> bool:
        """Return whether this host may use rights that it was granted."""

    def iter_members(self) -> Iterable[Member]:
        """Iterate over the sessions in the view, this host included."""

    def iter_possible_holders(self, *, now: float) -> Iterable[str]:
        """Iterate over host ids that may still use rights granted earlier.

        These are the members and the expelled sessions that may not know it yet.
        """
