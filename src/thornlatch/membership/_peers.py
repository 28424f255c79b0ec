"""Choice of the members that a host watches, bounded in large fleets."""

import functools
import hashlib
from collections.abc import Iterable

from thornlatch.core import Member
from thornlatch.membership._view import MembershipView

RING_NEIGHBOURS_PER_SIDE = 2
DOMAIN_NEIGHBOURS_PER_SIDE = 1


def choose_watched(
    host: str, view: MembershipView, *, full_mesh_limit: int, probed: Iterable[str] = ()
) -> set[str]:
    """Choose the members that `host` watches.

    Parameters
    ----------
    host : str
    view : MembershipView
    full_mesh_limit : int
        Largest fleet in which every member is watched.
    probed : iterable of str
        Hosts that were accused recently; voters watch them too, to confirm it.

    Returns
    -------
    set of str
        In larger fleets, the neighbours of `host` on both sides of two hash rings, one
        of the fleet and one of its failure domain, so that neighbours watch each
        other; also the probed members if `host` is a voter.
    """
    other_members = [member for member in view.members.values() if member.host != host]
    if len(view.members) <= full_mesh_limit:
        return {member.host for member in other_members}
    domain = view.members[host].failure_domain
    same_domain = [
        member for member in other_members if member.failure_domain == domain
    ]
    watched = _find_neighbours(host, other_members, RING_NEIGHBOURS_PER_SIDE)
    watched |= _find_neighbours(host, same_domain, DOMAIN_NEIGHBOURS_PER_SIDE)
    if view.is_voter(host):
        watched |= view.members.keys() & set(probed)
    return watched - {host}


def _find_neighbours(host: str, members: Iterable[Member], per_side: int) -> set[str]:
    own_position = _get_position(host)
    ring = sorted(
        (((_get_position(m.host) - own_position) % (1 << 64)), m.host) for m in members
    )
    return {name for _, name in ring[:per_side] + ring[-per_side:]}


@functools.lru_cache(maxsize=4096)
def _get_position(host: str) -> int:
    digest = hashlib.blake2b(host.encode(), digest_size=8).digest()
    return int.from_bytes(digest)
