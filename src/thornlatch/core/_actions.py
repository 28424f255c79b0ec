"""Actions that pure slices return and the daemon carries out."""

from dataclasses import dataclass
from typing import Any

from thornlatch.core._events import Event


@dataclass(frozen=True)
class Send:
    """Sends a message to a peer; it may be lost, repeated or reordered.

    Parameters
    ----------
    recipient : str
        Host id; the sender's own id delivers the message locally.
    message : object
        Registered frozen data class.
    """

    recipient: str
    message: Any


@dataclass(frozen=True)
class Append:
    """Appends a record to a log stream; the reply may be lost.

    Parameters
    ----------
    stream : str
        Name of the stream.
    record : object
        Registered frozen data class.
    """

    stream: str
    record: Any


@dataclass(frozen=True)
class Order:
    """Sends a control order to a target.

    Parameters
    ----------
    target : str
        Target name.
    order : object
        Frozen data class, such as a load or an eviction.
    """

    target: str
    order: Any


@dataclass(frozen=True)
class Resolve:
    """Delivers a decision to the local request that is waiting for it.

    Parameters
    ----------
    ticket : str
        Identifier that the request supplied.
    value : object
        Frozen data class, or an exception to raise in the request.
    """

    ticket: str
    value: Any


@dataclass(frozen=True)
class Emit:
    """Writes an event to the timeline.

    Parameters
    ----------
    event : Event
    """

    event: Event


Action = Send | Append | Order | Resolve | Emit
