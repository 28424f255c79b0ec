"""Messages between members."""

from dataclasses import dataclass

from thornlatch.core import register


@register
@dataclass(frozen=True)
class Heartbeat:
    """Asks a peer for a sign of life and for its support, and may answer its own.

    Parameters
    ----------
    number : int
        Number of the round, growing for the sender.
    answered : int
        Number of the recipient's heartbeat that this one answers; -1 if none.
    view_offset, is_supporting
        As in `HeartbeatAnswer`.
    """

    number: int
    answered: int = -1
    view_offset: int = -1
    is_supporting: bool = False


@register
@dataclass(frozen=True)
class HeartbeatAnswer:
    """Answers one heartbeat.

    Parameters
    ----------
    number : int
        Number of the heartbeat.
    view_offset : int
        View offset of the answering host.
    is_supporting : bool
        Whether the answering host has no accusation open or in flight against
        the asking host and may itself still act.
    """

    number: int
    view_offset: int
    is_supporting: bool
