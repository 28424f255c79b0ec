"""The view: a pure fold of stream ``control``, equal on all hosts at an offset."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum
from functools import singledispatchmethod
from typing import Any

from thornlatch.core import Member
from thornlatch.membership._records import (
    Accused,
    Defended,
    Expelled,
    HostRemoved,
    KeysReleased,
    Record,
    SessionClosed,
    SessionOpened,
    ViewAcknowledged,
)

DEPARTED_IDS_KEPT = 4096


class Wait(Enum):
    """What a successor waits for after a departure."""

    NONE = "none"
    FAST = "fast"
    SLOW = "slow"


@dataclass(frozen=True)
class Accusation:
    """An accusation that is open in the view.

    Parameters
    ----------
    host : str
    by : str
    offset : int
        Offset of the first record of this accusation.
    view_offset : int
        Greatest view offset that the accuser gave.
    """

    host: str
    by: str
    offset: int
    view_offset: int


@dataclass(frozen=True)
class Departure:
    """The end of a session, or of its ownerships alone.

    Parameters
    ----------
    host : str
    offset : int
        Offset of the record that ended the session or released the keys.
    established_offset : int
        Offset at which the host could first own keys; -1 if never, or if it had
        released them before.
    wait : Wait
    """

    host: str
    offset: int
    established_offset: int
    wait: Wait


class ViewFold:
    """Members, voters, accusations and acknowledgements up to an offset.

    Parameters
    ----------
    voter_limit : int
        Largest number of voters.
    """

    def __init__(self, *, voter_limit: int) -> None:
        self.voter_limit = voter_limit
        self.offset = -1
        self.members: dict[str, Member] = {}
        self.voters: dict[str, str] = {}
        self.ghosts: set[str] = set()
        self.electorate_offset = -1
        self.accusations: dict[str, dict[str, Accusation]] = {}
        self.fences: dict[str, int] = {}
        self.acknowledged: dict[str, int] = {}
        self.awaiting: dict[str, set[str]] = {}
        self.established: dict[str, int] = {}
        self.releases: dict[str, bool] = {}
        self.departures: list[Departure] = []
        self.departed: dict[str, Wait] = {}
        self.removed: dict[str, None] = {}
        self.version = 0

    def apply(self, offset: int, record: Any) -> bool:
        """Apply one record of the control stream.

        Parameters
        ----------
        offset : int
        record : object
            Records of other kinds and offsets already read change nothing.

        Returns
        -------
        bool
            Whether the record belongs to the view and is new.
        """
        if offset <= self.offset or not isinstance(record, Record):
            return False
        self.offset = offset
        self._fold(record, offset)
        return True

    def is_voter(self, host: str) -> bool:
        """Return whether `host` is a member whose word counts."""
        return host in self.voters and host not in self.ghosts

    def is_majority(self, count: int) -> bool:
        """Return whether `count` voters are a majority, ghosts being counted."""
        return 2 * count > len(self.voters)

    def is_cut_off(self, host: str) -> bool:
        """Return whether no majority that `host` may count supports it any more.

        Half the voters are in every majority that has another one in it, and a voter
        that has read of all voters counts no older electorate.
        """
        is_half = 2 * self._count_accusers(host) >= len(self.voters)
        return is_half and self._knows_voters(host)

    def is_settled(self) -> bool:
        """Return whether the electorate outlives the loss of any one host."""
        if self.find_candidate() is not None:
            return False
        return len(self.voters) % 2 == 1 or all(
            self._knows_voters(host) for host in self.voters if host in self.members
        )

    def has_outdated_accusation(self, host: str) -> bool:
        """Return whether an accuser of `host` spoke of an earlier electorate."""
        return any(
            self.is_voter(accusation.by) and not self._is_counted(accusation)
            for accusation in self.accusations.get(host, {}).values()
        )

    def find_accusation(self, host: str, by: str) -> Accusation | None:
        """Return the open accusation against `host` by `by`, if any."""
        return self.accusations.get(host, {}).get(by)

    def find_candidate(self) -> Member | None:
        """Return the member that becomes a voter next, if any.

        The failure domain with the fewest voters comes first, then join order.
        """
        if len(self.voters) >= self.voter_limit:
            return None
        domains = list(self.voters.values())
        return min(
            (
                member
                for host, member in self.members.items()
                if host not in self.voters
            ),
            key=lambda member: (domains.count(member.failure_domain), member.offset),
            default=None,
        )

    def iter_late(self, joiner: str) -> Iterator[str]:
        """Iterate over members that have not acknowledged the join of `joiner`."""
        return iter(self.awaiting.get(joiner, ()))

    def get_required_acknowledgement(self, host: str) -> int:
        """Return the view offset that `host` must have acknowledged by now."""
        own = self.members[host].offset
        newest = next(reversed(self.members.values())).offset
        required = newest if newest > own else -1
        if not self.is_voter(host):
            return required
        candidate = self.find_candidate()
        if candidate is not None:
            required = max(required, candidate.offset, self.electorate_offset)
        if len(self.voters) % 2 == 0:
            # Half the voters can end this host's rights soon if it knows of them all.
            required = max(required, self.electorate_offset)
        return required

    @singledispatchmethod
    def _fold(self, record: Any, offset: int) -> None:
        """Fold one record; kinds that are not registered change nothing."""

    @_fold.register
    def _open(self, record: SessionOpened, offset: int) -> None:
        if record.host in self.members or record.host in self.departed:
            return
        self.awaiting[record.host] = set(self.members)
        self.members[record.host] = Member(
            record.host, record.address, record.failure_domain, offset
        )
        self.acknowledged[record.host] = -1
        self.version += 1
        self._establish(offset)
        self._elect_first(offset)

    @_fold.register
    def _close(self, record: SessionClosed, offset: int) -> None:
        if record.host in self.members:
            self._depart(record.host, offset, Wait.NONE)

    @_fold.register
    def _release(self, record: KeysReleased, offset: int) -> None:
        host = record.host
        if host not in self.members or host in self.releases:
            return
        # Hosts that stop at once must not leave the keys without an owner.
        self.releases[host] = bool(self.established.keys() - {host})
        if not self.releases[host]:
            return
        self.awaiting.pop(host, None)
        established = self.established.pop(host, -1)
        # Successors' epochs follow it, as if the session had been closed.
        self.departures.append(Departure(host, offset, established, Wait.NONE))
        self.version += 1

    @_fold.register
    def _accuse(self, record: Accused, offset: int) -> None:
        if not self._is_valid_accusation(record, offset):
            return
        open_ = self.accusations.setdefault(record.host, {})
        known = open_.get(record.by)
        first = known.offset if known else offset
        newest = max(known.view_offset if known else -1, record.view_offset)
        open_[record.by] = Accusation(record.host, record.by, first, newest)
        if self.is_majority(self._count_accusers(record.host)):
            self._depart(record.host, offset, Wait.FAST)

    @_fold.register
    def _defend(self, record: Defended, offset: int) -> None:
        if record.host not in self.members:
            return
        open_ = self.accusations.get(record.host, {})
        if not any(a.offset <= record.accusation_offset for a in open_.values()):
            return
        self.accusations.pop(record.host)
        self.fences[record.host] = offset

    @_fold.register
    def _expel(self, record: Expelled, offset: int) -> None:
        accusation = self.find_accusation(record.host, record.by)
        if not accusation or accusation.offset != record.accusation_offset:
            return
        if self.is_cut_off(record.host):
            self._depart(record.host, offset, Wait.FAST)
        elif not record.is_fast:
            self._depart(record.host, offset, Wait.SLOW)

    @_fold.register
    def _acknowledge(self, record: ViewAcknowledged, offset: int) -> None:
        host = record.host
        if host not in self.members or record.view_offset >= offset:
            return
        self.acknowledged[host] = max(self.acknowledged[host], record.view_offset)
        for joiner, late in self.awaiting.items():
            if self.members[joiner].offset <= record.view_offset:
                late.discard(host)
        self._establish(offset)
        self._promote(offset)

    @_fold.register
    def _remove(self, record: HostRemoved, offset: int) -> None:
        if record.host in self.members:
            self._depart(record.host, offset, Wait.NONE)
        if record.host in self.ghosts:
            self.ghosts.discard(record.host)
            self._remove_voter(record.host, offset)
        if record.host in self.departed:
            self.removed[record.host] = None
            self.departures = [
                replace(departure, wait=Wait.NONE)
                if departure.host == record.host
                else departure
                for departure in self.departures
            ]

    def _is_valid_accusation(self, record: Accused, offset: int) -> bool:
        host, by = record.host, record.by
        if host not in self.members or by not in self.members or host == by:
            return False
        oldest = max(self.members[host].offset, self.fences.get(host, -1))
        return oldest <= record.view_offset < offset

    def _count_accusers(self, host: str) -> int:
        return sum(map(self._is_counted, self.accusations.get(host, {}).values()))

    def _knows_voters(self, host: str) -> bool:
        return self.is_voter(host) and (
            self.acknowledged[host] >= self.electorate_offset
        )

    def _is_counted(self, accusation: Accusation) -> bool:
        return (
            self.is_voter(accusation.by)
            and accusation.view_offset >= self.electorate_offset
        )

    def _depart(self, host: str, offset: int, wait: Wait) -> None:
        member = self.members.pop(host)
        self.version += 1
        established = self.established.pop(member.host, -1)
        self.departures.append(Departure(host, offset, established, wait))
        self.departed[host] = wait
        self.releases.pop(host, None)
        self._forget(host)
        if host in self.voters and wait is Wait.SLOW:
            # It may still support hosts that are cut off from the log with it, so
            # it stays in the count until it can act no more.
            self.ghosts.add(host)
        elif host in self.voters:
            self._remove_voter(host, offset)
        self._establish(offset)
        self._compact()

    def _forget(self, host: str) -> None:
        for table in (self.acknowledged, self.awaiting, self.accusations, self.fences):
            table.pop(host, None)
        for late in self.awaiting.values():
            late.discard(host)
        for accusers in self.accusations.values():
            accusers.pop(host, None)

    def _establish(self, offset: int) -> None:
        for joiner in [host for host, late in self.awaiting.items() if not late]:
            del self.awaiting[joiner]
            self.established[joiner] = offset

    def _remove_voter(self, host: str, offset: int) -> None:
        del self.voters[host]
        self.electorate_offset = offset
        self._elect_first(offset)

    def _elect_first(self, offset: int) -> None:
        if not self.voters and self.members:
            first = next(iter(self.members.values()))
            self._add_voter(first, offset)

    def _promote(self, offset: int) -> None:
        candidate = self.find_candidate()
        if candidate is None:
            return
        required = max(candidate.offset, self.electorate_offset)
        agreed = sum(
            self.is_voter(host) and self.acknowledged[host] >= required
            for host in self.members
        )
        if self.is_majority(agreed):
            self._add_voter(candidate, offset)

    def _add_voter(self, member: Member, offset: int) -> None:
        self.voters[member.host] = member.failure_domain
        self.version += 1
        self.electorate_offset = offset

    def _compact(self) -> None:
        """Drop departures that no current ownership can have followed."""
        oldest = min(self.established.values(), default=-1)
        self.departures = [
            departure
            for departure in self.departures
            if departure.offset >= oldest or departure.wait is Wait.SLOW
        ]
        while len(self.departed) > DEPARTED_IDS_KEPT:
            oldest_id = next(iter(self.departed))
            del self.departed[oldest_id]
            self.removed.pop(oldest_id, None)
