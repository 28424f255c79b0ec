"""Records of stream ``control``: sessions, accusations and acknowledgements."""

from dataclasses import dataclass

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
    """

    host: str
    accusation_offset: int
    by: str


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


Record = (
    SessionOpened
    | SessionClosed
    | Accused
    | Defended
    | Expelled
    | ViewAcknowledged
    | HostRemoved
)
