"""Messages between the holders of a key's parts.

`epoch` is that of the key's ownership and `round_number` counts the owner's inventories
within it. Together they are the fencing number of a part: a holder that has answered an
inventory takes no message of an earlier one.
"""

from dataclasses import dataclass
from typing import Literal

from thornlatch.admission._shares import Share
from thornlatch.core import register

Lane = Literal["grant", "return", "peer"]


@register
@dataclass(frozen=True)
class ShareInventoryRequest:
    """Asks a possible holder for its part, and fences off earlier rounds.

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
    """Answers an inventory with the part held; zero if there never was one.

    Parameters
    ----------
    key : str
    epoch : int
    round_number : int
    part : Share
    pool_level : int
        Microtokens that the sender's own, now retired, pool hands over.
    level : int
        Microtokens in the sender's bucket, for the division alone.
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
    """Moves a part that the sender has already given up.

    Parameters
    ----------
    key : str
    epoch : int
    round_number : int
    lane : {"grant", "return", "peer"}
        From the owner's pool, to the owner's pool, or between hosts.
    number : int
        Counts the moves of the lane from this sender to this recipient in the round.
    part : Share
    level : int
        Microtokens; at most what the moved depth holds.
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
    """Says that a move was added to the recipient's part.

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
    """Asks a host to return a part to the pool.

    Parameters
    ----------
    key : str
    epoch : int
    round_number : int
    number : int
        Counts the recalls to this host in the round.
    part : Share
        What to return at most.
    level : int
        Microtokens to return at most.
    spare_level : int
        Microtokens to return besides, as far as the host won't miss them at once.
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
    """Tells the owner what a host has and needs.

    Parameters
    ----------
    key : str
    epoch : int
        Epoch of the host's part; -1 if it never had one.
    round_number : int
    number : int
        Counts the reports of this host on this key.
    demand : int
        Microtokens per second asked for lately.
    need : int
        Microtokens that the waiting requests cost.
    slots : int
        Uses in flight, held and waiting.
    waited_ms : int
        Milliseconds that the oldest request has waited.
    part : Share
    level : int
        Microtokens in the bucket.
    is_closing : bool
        Whether the host is stopping and wants nothing more.
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
    """Answers a report with a waiting request when the pool has nothing to move yet.

    Parameters
    ----------
    key : str
    epoch : int
    round_number : int
    number : int
        That of the report.
    is_exhausted : bool
        Whether all levels and the whole rate can't serve the request in time.
    """

    key: str
    epoch: int
    round_number: int
    number: int
    is_exhausted: bool


@register
@dataclass(frozen=True)
class PeerRequest:
    """Asks a peer for spare parts while the owner is silent.

    Parameters
    ----------
    key : str
    epoch : int
    round_number : int
    rate : int
        Part of the rate wanted, in units.
    need : int
        Microtokens wanted.
    slots : int
        Slots wanted.
    """

    key: str
    epoch: int
    round_number: int
    rate: int
    need: int
    slots: int
