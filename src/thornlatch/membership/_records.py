"""Records of stream ``control``: sessions, accusations and acknowledgements."""

from dataclasses import dataclass, field

from thornlatch.core import register

CONTROL_STREAM = "control"


@register
@dataclass(frozen=True)
class SessionOpened:
    """Opens the session of one process life.

    Parameters
    ----------
    host : str
        Host id, unique per process life.
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
    """Ends a session by its own word; its host acts on nothing afterwards.

    Parameters
    ----------
    host : str
    """

    host: str


@register
@dataclass(frozen=True)
class KeysReleased:
    """States that a host acts as no key's owner from here on; its session goes on.

    The first such record of a session decides: it has no effect, and no later one has,
    if no other member is established then.

    Parameters
    ----------
    host : str
    """

    host: str


@register
@dataclass(frozen=True)
class Accused:
    """States that a member has stopped supporting another.

    Parameters
    ----------
    host : str
        Host that is accused.
    by : str
        Host that accuses.
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
        Offset of the newest accusation that is cleared.
    """

    host: str
    accusation_offset: int


@register
@dataclass(frozen=True)
class Expelled:
    """Ends the session of a host that left an accusation unanswered.

    Parameters
    ----------
    host : str
    accusation_offset : int
        Offset of the accusation by `by`.
    by : str
    is_fast : bool
        Whether the record is void unless it cuts the host off from every majority; the
        voters may have changed since it was sent.
    """

    host: str
    accusation_offset: int
    by: str
    is_fast: bool = False


@register
@dataclass(frozen=True)
class ViewAcknowledged:
    """States that a host acts only on the keys that later joins leave to it.

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
    """States that a host can act no more, which ends all waits for it.

    Parameters
    ----------
    host : str
    by : str
        Operator, or the member that waited out a slow expulsion.
    """

    host: str
    by: str


@dataclass(frozen=True)
class ViewState:
    """The whole view at an offset, as tables in the order in which they grew.

    Parameters
    ----------
    electorate_offset : int
        Offset of the last change of the voters.
    members : list of MemberState
        Sessions in log order.
    voters : list of tuple of str
        Host id and failure domain of each voter, ghosts included.
    ghosts : list of str
        Slowly expelled voters that may still support others.
    accusations : list of tuple
        Host, accuser, offset and view offset.
    departures : list of tuple
        Host, offset, established offset and kind of wait.
    departed : list of tuple of str
        Host id and kind of wait.
    removed : list of str
        Departed hosts that can act no more.
    releases : list of tuple of str and bool
        Members whose `KeysReleased` was read, and whether they own no keys since.
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
        Offset of the host's last defence; -1 if there is none.
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
    """Repeats the view, for hosts that start after older records are gone.

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
