"""Records of the stream ``control``: sessions, accusations and acknowledgements."""

from dataclasses import dataclass, field

from thornlatch.core import register

CONTROL_STREAM = "control"


@register
@dataclass(frozen=True)
class SessionOpened:
    """Opens the session of one process.

    Parameters
    ----------
    host : str
        Host id, unique for each process.
    address : str
        ``ip:port`` of the peer socket.
    failure_domain : str
    """

    host: str
    address: str
    failure_domain: str


@register
@dataclass(frozen=True)
class SessionClosed:
    """Ends the session of the host that wrote it, which doesn't act any more.

    Parameters
    ----------
    host : str
    """

    host: str


@register
@dataclass(frozen=True)
class KeysReleased:
    """Hands the keys of a host over to other members; its session continues.

    Only the first such record of a session counts. If no other member is established at
    that point, neither it nor any later one has an effect.

    Parameters
    ----------
    host : str
    """

    host: str


@register
@dataclass(frozen=True)
class Accused:
    """States that a member suspects another and doesn't support it any more.

    Parameters
    ----------
    host : str
        Accused host.
    by : str
        Accusing host.
    view_offset : int
        View offset of the accuser when it sent the record.
    """

    host: str
    by: str
    view_offset: int


@register
@dataclass(frozen=True)
class Defended:
    """Clears the accusations that a live host has read against itself.

    Parameters
    ----------
    host : str
    accusation_offset : int
        Offset of the latest accusation that is cleared.
    """

    host: str
    accusation_offset: int


@register
@dataclass(frozen=True)
class Expelled:
    """Ends the session of a host that didn't defend itself against an accusation.

    Parameters
    ----------
    host : str
    accusation_offset : int
        Offset of the accusation by `by`.
    by : str
    is_fast : bool
        Whether the record applies only if no majority of voters can support the host
        any more. The voters may have changed since the record was sent.
    """

    host: str
    accusation_offset: int
    by: str
    is_fast: bool = False


@register
@dataclass(frozen=True)
class ViewAcknowledged:
    """States that a host has given up the keys that move with the joins it has read.

    Parameters
    ----------
    host : str
    view_offset : int
        Offset up to which the host has read the control stream.
    """

    host: str
    view_offset: int


@register
@dataclass(frozen=True)
class HostRemoved:
    """States that a departed host can't act any more, which ends the wait for it.

    Parameters
    ----------
    host : str
    by : str
        Operator, or the member whose wait after a slow expulsion has ended.
    """

    host: str
    by: str


@dataclass(frozen=True)
class ViewState:
    """Complete state of a view at an offset, each table in order of insertion.

    Parameters
    ----------
    electorate_offset : int
        Offset of the last change of the voters.
    members : list of MemberState
        Sessions in log order.
    voters : list of tuple of str
        Host id and failure domain of each voter, including `ghosts`.
    ghosts : list of str
        Slowly expelled voters, which may still support others until the outage limit.
    accusations : list of tuple
        Host, accuser, offset and view offset.
    departures : list of tuple
        Host, offset, established offset and kind of wait.
    departed : list of tuple of str
        Host id and kind of wait.
    removed : list of str
        Departed hosts whose wait was ended by a `HostRemoved`.
    releases : list of tuple of str and bool
        Members whose `KeysReleased` was read, and whether it took effect.
    """

    electorate_offset: int
    members: list["MemberState"]
    voters: list[tuple[str, str]]
    ghosts: list[str]
    accusations: list[tuple[str, str, int, int]]
    departures: list[tuple[str, int, int, str]]
    departed: list[tuple[str, str]]
    removed: list[str]
    releases: list[tuple[str, bool]] = field(default_factory=list)


@dataclass(frozen=True)
class MemberState:
    """One session in a `ViewState`.

    Parameters
    ----------
    host : str
    address : str
    failure_domain : str
    offset : int
        Offset of the record that opened the session.
    acknowledged : int
        Greatest view offset that the host acknowledged.
    established : int
        Offset at which the host could first own keys; -1 if it can't yet.
    fence : int
        Offset of the host's last defence, which invalidates accusations from before
        it; -1 if there is none.
    awaiting : list of str
        Members that have not acknowledged the join.
    """

    host: str
    address: str
    failure_domain: str
    offset: int
    acknowledged: int
    established: int
    fence: int
    awaiting: list[str]


@register
@dataclass(frozen=True)
class ViewRecorded:
    """Repeats the view, for hosts that start after older records were dropped.

    Parameters
    ----------
    host : str
        Host that wrote the record.
    view_offset : int
        Offset up to which `state` covers the control stream.
    state : ViewState
    """

    host: str
    view_offset: int
    state: ViewState


Record = (
    SessionOpened
    | SessionClosed
    | KeysReleased
    | Accused
    | Defended
    | Expelled
    | ViewAcknowledged
    | HostRemoved
    | ViewRecorded
)
