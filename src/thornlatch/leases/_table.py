"""Owners of lease keys, derived from the view of membership.

One control thread touches the state of this module.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from thornlatch.core import Member, Owner
from thornlatch.leases._hashing import score_key
from thornlatch.membership import Departure, Membership


@dataclass(frozen=True)
class Entry:
    """Cached ownership of one key.

    Parameters
    ----------
    owner : Owner
    score : int
        Score of the owner for the key.
    checked_offset : int
        Hosts established up to this offset have been compared.
    """

    owner: Owner
    score: int
    checked_offset: int


class LeaseTable:
    """Answers who owns a key and whether this host may act as its owner.

    A member can own keys once it is *established*: each member that joined before
    it has acknowledged its join or is gone. The established member with the highest
    score owns a key; members that outrank this host but are not established yet
    take the key away as soon as this host has sent its acknowledgement. A member that
    has released its keys stays a possible holder of rights and owns nothing.

    Parameters
    ----------
    membership : Membership
    """

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.view = membership.view
        self.entries: dict[str, Entry] = {}

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
        entry = self._get_entry(key)
        return entry.owner if entry else None

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
        entry = self._get_entry(key)
        if entry is None or entry.owner.host != self.membership.host:
            return None
        if self._is_given_up(key, entry) or self._is_waiting(key, now):
            return None
        return entry.owner.epoch

    def is_confirmed(self, *, now: float) -> bool:
        """Return whether this host may use rights that it was granted."""
        return self.membership.is_confirmed(now=now)

    def iter_members(self) -> Iterator[Member]:
        """Iterate over the sessions in the view, this host included."""
        return self.membership.iter_members()

    def iter_possible_holders(self, *, now: float) -> Iterator[str]:
        """Iterate over host ids that may still use rights granted earlier."""
        return self.membership.iter_possible_holders(now=now)

    def _get_entry(self, key: str) -> Entry | None:
        entry = self.entries.get(key)
        if entry is None or self._is_changed(key, entry):
            entry = self._compute_entry(key)
        elif entry.checked_offset < self.view.offset:
            entry = Entry(entry.owner, entry.score, self.view.offset)
        if entry is not None:
            self.entries[key] = entry
        return entry

    def _is_changed(self, key: str, entry: Entry) -> bool:
        """Return whether another host has owned `key` since the last check."""
        if entry.owner.host not in self.view.established:
            return True
        return any(
            score_key(key, host) > entry.score
            for host in self._iter_established_since(entry.checked_offset)
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

    def _compute_entry(self, key: str) -> Entry | None:
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
        return Entry(Owner(host, epoch), score, self.view.offset)

    def _is_given_up(self, key: str, entry: Entry) -> bool:
        acknowledged = self.membership.acknowledged_offset
        return any(
            self.view.members[joiner].offset <= acknowledged
            and score_key(key, joiner) > entry.score
            for joiner in self.view.awaiting
        )

    def _is_waiting(self, key: str, now: float) -> bool:
        if not self.membership.is_past_takeover(now=now):
            return True
        return any(
            self._may_hold(key, departure)
            for departure in self.membership.iter_waiting(now=now)
        )

    def _may_hold(self, key: str, departure: Departure) -> bool:
        """Return whether an expelled host may have owned `key` at its end."""
        if departure.established_offset < 0:
            return False
        score = score_key(key, departure.host)
        return not any(
            offset < departure.offset and score_key(key, host) > score
            for host, offset in self.view.established.items()
        )
