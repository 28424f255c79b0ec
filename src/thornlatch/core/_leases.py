"""Read access of slices to membership and leases."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True)
class Member:
    """A session of a host.

    Parameters
    ----------
    host : str
        Host id; unique per process, so it also identifies the session.
    address : str
        ``ip:port`` of the peer socket.
    failure_domain : str
    offset : int
        Log offset of the record that opened the session.
    """

    host: str
    address: str
    failure_domain: str
    offset: int


def get_host_name(host: str) -> str:
    """Return the name of a host without the incarnation suffix of its session.

    Parameters
    ----------
    host : str
        Host id ``name.incarnation``, or a bare name.

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
        Log offset at which the ownership began; increases with every change.
    """

    host: str
    epoch: int


class LeaseReader(Protocol):
    """Queries about membership and leases; they have no side effects."""

    def get_owner(self, key: str) -> Owner | None:
        """Return the owner of `key` according to the log records read so far."""

    def get_held_epoch(self, key: str, *, now: float) -> int | None:
        """Return this host's epoch for `key` if it may act on it at `now`."""

    def is_confirmed(self, *, now: float) -> bool:
        """Return whether this host may use the grants that it holds."""

    def iter_members(self) -> Iterable[Member]:
        """Iterate over the sessions in the view, including this host's."""

    def iter_possible_holders(self, *, now: float) -> Iterable[str]:
        """Iterate over the host ids that may still use grants they received.

        These are the members and those expelled sessions that may not have read of
        their expulsion yet.
        """
