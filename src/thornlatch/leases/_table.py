"""Owners of lease keys, derived from the view of membership.

Only the control thread may use this module's state.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from thornlatch.core import Member, Owner
from thornlatch.leases._hashing import score_key
from thornlatch.membership import Departure, Membership


@dataclass(frozen=True)
class CachedOwner:
    """Cached owner of one key.

    Parameters
    ----------
    owner : Owner
    score : int
        Score of the owner for the key.
    checked_offset : int
        Offset of the view up to which the owner is known to be the same.
    """

    owner: Owner
    score: int
    checked_offset: int


class LeaseTable:
    """Tells who owns a key and whether this host may act as its owner.

    A member can own keys once it is *established*: each member that joined before it
    has acknowledged its join or departed. The established member with the highest score
    owns a key. This host stops acting on a key as soon as it has sent the
    acknowledgement for a joining member with a higher score, even before that member is
    established. A member that has released its keys owns none, but may still hold
    grants.

    Parameters
    ----------
    membership : Membership
    """

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.view = membership.view
        self.cached_owners: dict[str, CachedOwner] = {}

    def get_owner(self, key: str) -> Owner | None:
        """Return the owner of `key` in the view read from the log.

        Parameters
        ----------
        key : str

        Returns
        -------
        Owner or None
            None while no host is established.
        """
        cached = self._get_cached_owner(key)
        return cached.owner if cached else None

    def get_held_epoch(self, key: str, *, now: float) -> int | None:
        """Return this host's epoch for `key` if it may act on it at `now`.

        Parameters
        ----------
        key : str
        now : float
            Seconds of this host's monotonic clock.

        Returns
        -------
        int or None
        """
        if not self.membership.is_confirmed(now=now):
            return None
        if self.membership.has_released_keys:
            return None
        cached = self._get_cached_owner(key)
        if cached is None or cached.owner.host != self.membership.host:
            return None
        if self._is_relinquished(key, cached) or self._is_waiting(key, now):
            return None
        return cached.owner.epoch

    def is_confirmed(self, *, now: float) -> bool:
        """Return whether this host may act on its grants."""
        return self.membership.is_confirmed(now=now)

    def iter_members(self) -> Iterator[Member]:
        """Iterate over the sessions in the view, this host included."""
        return self.membership.iter_members()

    def iter_possible_holders(self, *, now: float) -> Iterator[str]:
        """Iterate over the ids of hosts that may still act on earlier grants."""
        return self.membership.iter_possible_holders(now=now)

    def _get_cached_owner(self, key: str) -> CachedOwner | None:
        cached = self.cached_owners.get(key)
        if cached is None or self._has_changed(key, cached):
            cached = self._compute_owner(key)
        elif cached.checked_offset < self.view.offset:
            cached = CachedOwner(cached.owner, cached.score, self.view.offset)
        if cached is not None:
            self.cached_owners[key] = cached
        return cached

    def _has_changed(self, key: str, cached: CachedOwner) -> bool:
        """Return whether another host has owned `key` since it was cached."""
        if cached.owner.host not in self.view.established:
            return True
        return any(
            score_key(key, host) > cached.score
            for host in self._iter_established_since(cached.checked_offset)
        )

    def _iter_established_since(self, checked_offset: int) -> Iterator[str]:
        for host, offset in reversed(self.view.established.items()):
            if offset <= checked_offset:
                break
            yield host
        for departure in reversed(self.view.departures):
            if departure.offset <= checked_offset:
                break
            if departure.established_offset > checked_offset:
                yield departure.host

    def _compute_owner(self, key: str) -> CachedOwner | None:
        established = self.view.established
        if not established:
            return None
        score, host = max((score_key(key, host), host) for host in established)
        epoch = established[host]
        for departure in self.view.departures:
            if departure.established_offset < 0 or departure.offset <= epoch:
                continue
            if score_key(key, departure.host) > score:
                epoch = departure.offset
        return CachedOwner(Owner(host, epoch), score, self.view.offset)

    def _is_relinquished(self, key: str, cached: CachedOwner) -> bool:
        acknowledged = self.membership.acknowledged_offset
        return any(
            self.view.members[joiner].offset <= acknowledged
            and score_key(key, joiner) > cached.score
            for joiner in self.view.awaiting
        )

    def _is_waiting(self, key: str, now: float) -> bool:
        if not self.membership.is_past_takeover(now=now):
            return True
        return any(
            self._may_have_owned(key, departure)
            for departure in self.membership.iter_waiting(now=now)
        )

    def _may_have_owned(self, key: str, departure: Departure) -> bool:
        """Return whether an expelled host may have owned `key` when it departed."""
        if departure.established_offset < 0:
            return False
        score = score_key(key, departure.host)
        return not any(
            offset < departure.offset and score_key(key, host) > score
            for host, offset in self.view.established.items()
        )
