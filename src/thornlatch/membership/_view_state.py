"""The view as a record, for hosts that start after older records were dropped."""

from typing import Any

from thornlatch.core import Member
from thornlatch.membership._records import MemberState, ViewRecorded, ViewState
from thornlatch.membership._view import Accusation, Departure, MembershipView, Wait


def dump_state(view: MembershipView) -> ViewState:
    """Return the whole state of `view`.

    Parameters
    ----------
    view : MembershipView

    Returns
    -------
    ViewState
    """
    return ViewState(
        view.electorate_offset,
        [_dump_member(view, member) for member in view.members.values()],
        list(view.voters.items()),
        sorted(view.expelled_voters),
        [
            (a.host, a.by, a.offset, a.view_offset)
            for by_accuser in view.accusations.values()
            for a in by_accuser.values()
        ],
        [
            (d.host, d.offset, d.established_offset, d.wait.value)
            for d in view.departures
        ],
        [(host, wait.value) for host, wait in view.departed.items()],
        list(view.removed),
        list(view.releases.items()),
    )


def load_state(view: MembershipView, offset: int, state: ViewState) -> None:
    """Replace the whole state of `view`.

    Parameters
    ----------
    view : MembershipView
    offset : int
        Offset that `state` covers.
    state : ViewState
    """
    view.offset = offset
    view.version += 1
    view.electorate_offset = state.electorate_offset
    view.releases = dict(state.releases)
    _load_members(view, state.members)
    view.voters = dict(state.voters)
    view.expelled_voters = set(state.ghosts)
    view.accusations = {}
    for host, by, first_offset, view_offset in state.accusations:
        by_accuser = view.accusations.setdefault(host, {})
        by_accuser[by] = Accusation(host, by, first_offset, view_offset)
    view.departures = [
        Departure(host, departed_offset, established, Wait(wait))
        for host, departed_offset, established, wait in state.departures
    ]
    view.departed = {host: Wait(wait) for host, wait in state.departed}
    view.removed = dict.fromkeys(state.removed)


def build_empty_view(by: str, *, view_offset: int) -> ViewRecorded:
    """Build an empty view, from which a fleet restarts on a trimmed stream.

    Whoever appends it states that every earlier process of the fleet has ended.

    Parameters
    ----------
    by : str
        Operator.
    view_offset : int
        Offset of the last record of the control stream.

    Returns
    -------
    ViewRecorded
    """
    state = ViewState(view_offset, [], [], [], [], [], [], [])
    return ViewRecorded(by, view_offset, state)


class ViewLoader:
    """Buffers records after a gap until a recorded view covers the gap."""

    def __init__(self) -> None:
        self.first_offset = 0
        self.is_loading = False
        self.pending_records: list[tuple[int, Any]] = []

    def start(self, first_offset: int) -> None:
        """Start waiting for a recorded view.

        Parameters
        ----------
        first_offset : int
            Oldest offset of the control stream that can be read.
        """
        self.first_offset = first_offset
        self.is_loading = True
        self.pending_records = []

    def load(
        self, offset: int, record: Any, view: MembershipView
    ) -> list[tuple[int, Any]]:
        """Buffer a record, or load the view that it contains.

        Parameters
        ----------
        offset : int
        record : object
        view : MembershipView
            Its state is replaced once a record covers the gap.

        Returns
        -------
        list of (int, object)
            The buffered records to apply to the loaded view, this one included; empty
            while no view has been loaded.
        """
        self.pending_records.append((offset, record))
        if not isinstance(record, ViewRecorded):
            return []
        if record.view_offset + 1 < self.first_offset or record.view_offset >= offset:
            return []
        load_state(view, record.view_offset, record.state)
        records, self.pending_records, self.is_loading = self.pending_records, [], False
        return records


def _dump_member(view: MembershipView, member: Member) -> MemberState:
    host = member.host
    return MemberState(
        host,
        member.address,
        member.failure_domain,
        member.offset,
        view.acknowledged[host],
        view.established.get(host, -1),
        view.defence_offsets.get(host, -1),
        sorted(view.awaiting.get(host, ())),
    )


def _load_members(view: MembershipView, members: list[MemberState]) -> None:
    view.members = {
        m.host: Member(m.host, m.address, m.failure_domain, m.offset) for m in members
    }
    view.acknowledged = {m.host: m.acknowledged for m in members}
    view.defence_offsets = {m.host: m.fence for m in members if m.fence >= 0}
    joining = [
        m for m in members if m.established < 0 and not view.releases.get(m.host)
    ]
    view.awaiting = {m.host: set(m.awaiting) for m in joining}
    owners = sorted(
        (m for m in members if m.established >= 0), key=lambda m: m.established
    )
    view.established = {m.host: m.established for m in owners}
