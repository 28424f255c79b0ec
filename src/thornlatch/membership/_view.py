"""The view of the fleet, computed from the records of stream ``control``.

It depends on nothing but the records, so that hosts that have read up to the same
offset have equal views.
"""

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

MAX_DEPARTED_IDS = 4096


class Wait(Enum):
    """How long a successor waits before it acts on a departed host's keys.

    Attributes
    ----------
    NONE
        Not at all: the host doesn't act on its keys any more.
    FAST
        Until the host's last confirmation and orders have ended, as no majority of
        voters supports it.
    SLOW
        Until the host is past the outage limit, as voters that are cut off from the
        log with it may still confirm it.
    """

    NONE = "none"
    FAST = "fast"
    SLOW = "slow"


@dataclass(frozen=True)
class Accusation:
    """An open accusation.

    Parameters
    ----------
    host : str
    by : str
    offset : int
        Offset of the first record of this accusation.
    view_offset : int
        Greatest view offset in the records of this accusation.
    """

    host: str
    by: str
    offset: int
    view_offset: int


@dataclass(frozen=True)
class Departure:
    """The end of a session, or only of its ownership of keys.

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


class MembershipView:
    """Members, voters, accusations and acknowledgements up to an offset.

    Voters are members whose support confirms others while the log is unavailable. A
    joining member is *established*, which means that it can own keys, once all earlier
    members have acknowledged its join or departed.

    Parameters
    ----------
    voter_limit : int
        Largest number of voters.

    Attributes
    ----------
    voters : dict
        Failure domain of each voter, including `expelled_voters`.
    expelled_voters : set of str
        Slowly expelled voters. They have no vote any more, but still count for the size
        of a majority, since they may support hosts that are cut off with them.
    electorate_offset : int
        Offset of the last change of the voters.
    defence_offsets : dict
        Offset of the last defence of each member that defended itself.
    acknowledged : dict
        Greatest view offset that each member acknowledged.
    awaiting : dict
        Members that have not acknowledged the join, by joining host.
    established : dict
        Offset at which each established member could first own keys.
    releases : dict
        Whether the `KeysReleased` of each member that sent one took effect.
    """

    def __init__(self, *, voter_limit: int) -> None:
        self.voter_limit = voter_limit
        self.offset = -1
        self.members: dict[str, Member] = {}
        self.voters: dict[str, str] = {}
        self.expelled_voters: set[str] = set()
        self.electorate_offset = -1
        self.accusations: dict[str, dict[str, Accusation]] = {}
        self.defence_offsets: dict[str, int] = {}
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
            Records of other kinds, or at offsets already read, are ignored.

        Returns
        -------
        bool
            Whether the record was applied.
        """
        if offset <= self.offset or not isinstance(record, Record):
            return False
        self.offset = offset
        self._apply(record, offset)
        return True

    def is_voter(self, host: str) -> bool:
        """Return whether `host` is a member that has a vote."""
        return host in self.voters and host not in self.expelled_voters

    def is_majority(self, count: int) -> bool:
        """Return whether `count` is a majority of voters, expelled ones included."""
        return 2 * count > len(self.voters)

    def has_lost_majority(self, host: str) -> bool:
        """Return whether no majority of voters that `host` knows of can support it.

        Accusations by half of the voters are enough, as every majority includes at
        least one of them. That holds only if `host` is a voter that has acknowledged
        the present voters; otherwise it may still count a majority of earlier ones.
        """
        is_half = 2 * self._count_accusers(host) >= len(self.voters)
        return is_half and self._has_acknowledged_voters(host)

    def is_settled(self) -> bool:
        """Return whether the voters can quickly expel any one host that is lost."""
        if self.find_voter_candidate() is not None:
            return False
        return len(self.voters) % 2 == 1 or all(
            self._has_acknowledged_voters(host)
            for host in self.voters
            if host in self.members
        )

    def has_outdated_accusation(self, host: str) -> bool:
        """Return whether a voter accused `host` before the last change of voters."""
        return any(
            self.is_voter(accusation.by) and not self._is_counted(accusation)
            for accusation in self.accusations.get(host, {}).values()
        )

    def find_accusation(self, host: str, by: str) -> Accusation | None:
        """Return the open accusation of `by` against `host`, if any."""
        return self.accusations.get(host, {}).get(by)

    def find_voter_candidate(self) -> Member | None:
        """Return the member that becomes a voter next, if any.

        Members of the failure domain with the fewest voters come first, in join order.
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

    def iter_missing_acknowledgers(self, joiner: str) -> Iterator[str]:
        """Iterate over members that have not acknowledged the join of `joiner`."""
        return iter(self.awaiting.get(joiner, ()))

    def get_required_acknowledgement(self, host: str) -> int:
        """Return the least view offset that `host` has to acknowledge."""
        joined_offset = self.members[host].offset
        latest = next(reversed(self.members.values())).offset
        required = latest if latest > joined_offset else -1
        if not self.is_voter(host):
            return required
        candidate = self.find_voter_candidate()
        if candidate is not None:
            required = max(required, candidate.offset, self.electorate_offset)
        if len(self.voters) % 2 == 0:
            # Half the voters can expel this host with the short wait only if it has
            # acknowledged all of them.
            required = max(required, self.electorate_offset)
        return required

    @singledispatchmethod
    def _apply(self, record: Any, offset: int) -> None:
        """Apply one record; kinds that are not registered are ignored."""

    @_apply.register
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

    @_apply.register
    def _close(self, record: SessionClosed, offset: int) -> None:
        if record.host in self.members:
            self._depart(record.host, offset, Wait.NONE)

    @_apply.register
    def _release(self, record: KeysReleased, offset: int) -> None:
        host = record.host
        if host not in self.members or host in self.releases:
            return
        # If all hosts stop together, the last of them has to keep the keys.
        self.releases[host] = bool(self.established.keys() - {host})
        if not self.releases[host]:
            return
        self.awaiting.pop(host, None)
        established = self.established.pop(host, -1)
        # The successors' epochs are computed from it, as for a closed session.
        self.departures.append(Departure(host, offset, established, Wait.NONE))
        self.version += 1

    @_apply.register
    def _accuse(self, record: Accused, offset: int) -> None:
        if not self._is_valid_accusation(record, offset):
            return
        by_accuser = self.accusations.setdefault(record.host, {})
        known = by_accuser.get(record.by)
        first_offset = known.offset if known else offset
        view_offset = max(known.view_offset if known else -1, record.view_offset)
        by_accuser[record.by] = Accusation(
            record.host, record.by, first_offset, view_offset
        )
        if self.is_majority(self._count_accusers(record.host)):
            self._depart(record.host, offset, Wait.FAST)

    @_apply.register
    def _defend(self, record: Defended, offset: int) -> None:
        if record.host not in self.members:
            return
        by_accuser = self.accusations.get(record.host, {})
        if not any(a.offset <= record.accusation_offset for a in by_accuser.values()):
            return
        self.accusations.pop(record.host)
        self.defence_offsets[record.host] = offset

    @_apply.register
    def _expel(self, record: Expelled, offset: int) -> None:
        accusation = self.find_accusation(record.host, record.by)
        if not accusation or accusation.offset != record.accusation_offset:
            return
        if self.has_lost_majority(record.host):
            self._depart(record.host, offset, Wait.FAST)
        elif not record.is_fast:
            self._depart(record.host, offset, Wait.SLOW)

    @_apply.register
    def _acknowledge(self, record: ViewAcknowledged, offset: int) -> None:
        host = record.host
        if host not in self.members or record.view_offset >= offset:
            return
        self.acknowledged[host] = max(self.acknowledged[host], record.view_offset)
        for joiner, missing in self.awaiting.items():
            if self.members[joiner].offset <= record.view_offset:
                missing.discard(host)
        self._establish(offset)
        self._promote(offset)

    @_apply.register
    def _remove(self, record: HostRemoved, offset: int) -> None:
        if record.host in self.members:
            self._depart(record.host, offset, Wait.NONE)
        if record.host in self.expelled_voters:
            self.expelled_voters.discard(record.host)
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
        least = max(self.members[host].offset, self.defence_offsets.get(host, -1))
        return least <= record.view_offset < offset

    def _count_accusers(self, host: str) -> int:
        return sum(map(self._is_counted, self.accusations.get(host, {}).values()))

    def _has_acknowledged_voters(self, host: str) -> bool:
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
        self._discard_host(host)
        if host in self.voters and wait is Wait.SLOW:
            # It may still support hosts that are cut off from the log with it, so it
            # counts for the size of a majority until it can act no more.
            self.expelled_voters.add(host)
        elif host in self.voters:
            self._remove_voter(host, offset)
        self._establish(offset)
        self._compact()

    def _discard_host(self, host: str) -> None:
        for table in (
            self.acknowledged,
            self.awaiting,
            self.accusations,
            self.defence_offsets,
        ):
            table.pop(host, None)
        for missing in self.awaiting.values():
            missing.discard(host)
        for accusers in self.accusations.values():
            accusers.pop(host, None)

    def _establish(self, offset: int) -> None:
        for joiner in [host for host, missing in self.awaiting.items() if not missing]:
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
        candidate = self.find_voter_candidate()
        if candidate is None:
            return
        required = max(candidate.offset, self.electorate_offset)
        acknowledged_count = sum(
            self.is_voter(host) and self.acknowledged[host] >= required
            for host in self.members
        )
        if self.is_majority(acknowledged_count):
            self._add_voter(candidate, offset)

    def _add_voter(self, member: Member, offset: int) -> None:
        self.voters[member.host] = member.failure_domain
        self.version += 1
        self.electorate_offset = offset

    def _compact(self) -> None:
        """Drop departures that no current owner's epoch can depend on."""
        oldest = min(self.established.values(), default=-1)
        self.departures = [
            departure
            for departure in self.departures
            if departure.offset >= oldest or departure.wait is Wait.SLOW
        ]
        while len(self.departed) > MAX_DEPARTED_IDS:
            oldest_host = next(iter(self.departed))
            del self.departed[oldest_host]
            self.removed.pop(oldest_host, None)
