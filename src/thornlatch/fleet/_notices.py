"""What a target says of itself in its answers, whatever it was asked."""

from dataclasses import dataclass


@dataclass(frozen=True)
class UnreadableHeader:
    """A header of an answer that isn't as described.

    Parameters
    ----------
    name, value : str
    expected : str
        Description of the values that are accepted.
    """

    name: str
    value: str
    expected: str


@dataclass(frozen=True)
class TargetNotice:
    """What a target says of itself in an answer.

    Parameters
    ----------
    is_leaving : bool
        Whether it announces that it accepts no new requests.
    pause_s : float
        Seconds for which it wants nothing of this host; 0 for none.
    started_ms : int
        Start of the incarnation that answered, in Unix milliseconds; 0 if the answer
        doesn't tell.
    unreadable : tuple of UnreadableHeader
        Headers that were treated as absent.
    limit_rate : float or None
        Requests a second that it accepts from all hosts together; None without a limit.
    cold_s : float
        Seconds for which it stays cold; 0 if the answer doesn't tell.
    """

    is_leaving: bool = False
    pause_s: float = 0.0
    started_ms: int = 0
    unreadable: tuple[UnreadableHeader, ...] = ()
    limit_rate: float | None = None
    cold_s: float = 0.0
