"""Messages between members of the fleet."""

from dataclasses import dataclass

from thornlatch.core import register


@register
@dataclass(frozen=True)
class Heartbeat:
    """Asks a peer to confirm that it is live and supports the sender.

    A heartbeat also carries the answer to one of the recipient's heartbeats if one is
    due, which saves a message.

    Parameters
    ----------
    number : int
        Number of the heartbeat round; increases with each round of the sender.
    answered : int
        Number of the recipient's heartbeat that this one answers; -1 if none.
    view_offset, is_supporting
        As in `HeartbeatAnswer`; meaningless if `answered` is -1.
    """

    number: int
    answered: int = -1
    view_offset: int = -1
    is_supporting: bool = False


@register
@dataclass(frozen=True)
class HeartbeatAnswer:
    """Answer to one heartbeat.

    Parameters
    ----------
    number : int
        Number of the heartbeat that is answered.
    view_offset : int
        View offset of the answering host.
    is_supporting : bool
        Whether the answering host has no open or pending accusation against the
        recipient and is itself within the outage limit.
    """

    number: int
    view_offset: int
    is_supporting: bool
