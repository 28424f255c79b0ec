"""Which members a host sends heartbeats to, bounded in large fleets."""

import functools
import hashlib
from collections.abc import Iterable

from thornlatch.core import Member
from thornlatch.membership._view import ViewFold

RING_REACH = 2
DOMAIN_REACH = 1


def choose_watched(
    host: str, view: ViewFold, *, full_mesh_limit: int, probed: Iterable[str] = ()
) -> set[str]:
    """Choose the members that `host` watches.

    Parameters
    ----------
    host : str
    view : ViewFold
    full_mesh_limit : int
        Up to this many members all are watched.
    probed : iterable of str
        Hosts that were accused of late; voters look for themselves.

    Returns
    -------
    set of str
        In larger fleets the neighbours on both sides of a hash ring of the fleet and
        of one of the failure domain, so that these watch `host` as well, and, if
        `host` is a voter, the probed members.
    """
    others = [member for member in view.members.values() if member.host != host]
    if len(view.members) <= full_mesh_limit:
        return {member.host for member in others}
    domain = view.members[host].failure_domain
    near = [member for member in others if member.failure_domain == domain]
    watched = _find_neighbours(host, others, RING_REACH)
    watched |= _find_neighbours(host, near, DOMAIN_REACH)
    if view.is_voter(host):
        watched |= view.members.keys() & set(probed)
    return watched - {host}


def _find_neighbours(host: str, members: Iterable[Member], reach: int) -> set[str]:
    own = _get_position(host)
    ring = sorted(
        (((_get_position(m.host) - own) % (1 << 64)), m.host) for m in members
    )
    return {name for _, name in ring[:reach] + ring[-reach:]}


@functools.lru_cache(maxsize=4096)
def _get_position(host: str) -> int:
    digest = hashlib.blake2b(host.encode(), digest_size=8).digest()
    return int.from_bytes(digest)
