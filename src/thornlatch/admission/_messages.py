"""Messages between the holders of a key's shares.

`epoch` identifies the ownership of the key, and `round_number` counts the owner's
inventory rounds within it. Together they act as a fencing number: a holder that has
joined a round ignores the messages of earlier rounds.
"""

from dataclasses import dataclass
from typing import Literal

from thornlatch.admission._shares import Share
from thornlatch.core import register

Lane = Literal["grant", "return", "peer"]


@register
@dataclass(frozen=True)
class ShareInventoryRequest:
    """Requests a possible holder's inventory and invalidates earlier rounds.

    Parameters
    ----------
    key : str
    epoch : int
    round_number : int
    """

    key: str
    epoch: int
    round_number: int


@register
@dataclass(frozen=True)
class ShareInventory:
    """Answers an inventory request.

    Parameters
    ----------
    key : str
    epoch : int
    round_number : int
    part : Share
        Share that the sender holds; may be empty.
    pool_level : int
        Microtokens handed over from the pool that the sender kept as the owner.
    level : int
        Microtokens in the sender's bucket; used only by the division.
    """

    key: str
    epoch: int
    round_number: int
    part: Share
    pool_level: int
    level: int


@register
@dataclass(frozen=True)
class ShareMove:
    """Moves a share that the sender has already given up.

    Parameters
    ----------
    key : str
    epoch : int
    round_number : int
    lane : {"grant", "return", "peer"}
        Direction: from the owner's pool, to the owner's pool, or between hosts.
    number : int
        Counts the moves on this lane from the sender to the recipient in the round.
    part : Share
        Share that is moved.
    level : int
        Microtokens; at most the capacity of the moved depth.
    """

    key: str
    epoch: int
    round_number: int
    lane: Lane
    number: int
    part: Share
    level: int


@register
@dataclass(frozen=True)
class ShareMoveAccepted:
    """Acknowledges that a move was added to the recipient's share.

    Parameters
    ----------
    key : str
    epoch : int
    round_number : int
    lane : {"grant", "return", "peer"}
    number : int
    """

    key: str
    epoch: int
    round_number: int
    lane: Lane
    number: int


@register
@dataclass(frozen=True)
class ShareRecall:
    """Asks a host to return a share to the pool.

    Parameters
    ----------
    key : str
    epoch : int
    round_number : int
    number : int
        Counts the recalls to this host in the round.
    part : Share
        Share to return; slots in use follow when they are released. The host returns
        more depth if the level needs it, and more rate if its remaining depth is too
        small for it.
    level : int
        Microtokens to return, limited to what the host holds. Those that its remaining
        depth can't hold are returned as well.
    spare_level : int
        Further microtokens to return if they exceed the host's need and the demand of
        the next moments.
    """

    key: str
    epoch: int
    round_number: int
    number: int
    part: Share
    level: int
    spare_level: int


@register
@dataclass(frozen=True)
class DemandReport:
    """Reports to the owner what a host holds and needs.

    Parameters
    ----------
    key : str
    epoch : int
        Epoch of the round that the host has joined; -1 if it has joined none.
    round_number : int
    number : int
        Counts the reports of this host on this key.
    demand : int
        Estimated demand in microtokens per second.
    need : int
        Cost of the waiting requests in microtokens.
    slots : int
        Slots in use or waited for.
    waited_ms : int
        Milliseconds that the oldest request has waited.
    part : Share
        Share that the host holds.
    level : int
        Microtokens in the host's bucket.
    is_closing : bool
        Whether the host is stopping and must not receive grants.
    """

    key: str
    epoch: int
    round_number: int
    number: int
    demand: int
    need: int
    slots: int
    waited_ms: int
    part: Share
    level: int
    is_closing: bool = False


@register
@dataclass(frozen=True)
class DemandAnswer:
    """Answers a report with a need when the pool has nothing to grant yet.

    Parameters
    ----------
    key : str
    epoch : int
    round_number : int
    number : int
        Number of the report.
    is_exhausted : bool
        Whether the levels of all hosts and the whole rate can't cover the need in time.
    """

    key: str
    epoch: int
    round_number: int
    number: int
    is_exhausted: bool


@register
@dataclass(frozen=True)
class PeerRequest:
    """Requests spare shares of a peer while the owner is silent.

    Parameters
    ----------
    key : str
    epoch : int
    round_number : int
    rate : int
        Requested rate in units of 1 / `UNITS`.
    need : int
        Requested microtokens.
    slots : int
        Requested slots.
    """

    key: str
    epoch: int
    round_number: int
    rate: int
    need: int
    slots: int
