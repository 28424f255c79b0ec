"""Messages between members."""

from dataclasses import dataclass

from thornlatch.core import register


@register
@dataclass(frozen=True)
class Heartbeat:
    """Asks a peer for a sign of life and for its support.

    Parameters
    ----------
    number : int
        Number of the round, growing for the sender.
    """

    number: int


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
