"""A request on its way, and how it ends if no target answers it."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from thornlatch.exceptions import ErrorKind, RequestRefused
from thornlatch.gateway._choice import TargetOption
from thornlatch.gateway._events import EventSplitter, StreamEvent
from thornlatch.gateway._ports import AnswerHead, CallerRequest
from thornlatch.gateway._work import Running, TargetUse
from thornlatch.routing import Organisation, Route
from thornlatch.targets import TargetResponse

SHORTEST_RETRY_S = 0.1  # shortest time that callers are told to wait
MIN_SEND_BUDGET_S = 0.05  # requests with less time left aren't sent


@dataclass(frozen=True)
class GatewayAnswer:
    """An answer on its way to the caller.

    Parameters
    ----------
    status : int
    headers : tuple of (str, str)
    body : iterator of bytes
        Raises if the answer breaks off.
    length : int or None
        Bytes of the body, if known.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterator[bytes]
    length: int | None


@dataclass
class Call:
    """A request on its way through this host, touched by the thread that serves it.

    Parameters
    ----------
    request : CallerRequest
    route : Route
    organisation : Organisation or None
    service : str
    running : Running
    began_at : float
    tokens : int
        What it counts for in the organisation's quota.
    fingerprint : str
        What it has in common with its repetitions.
    tries, sends, runs : int
        Tries to reach a target, those that arrived or may have, and those of them that
        began or may have begun to run.
    may_have_run : bool
    is_first_sent : bool
        Whether it counts as a request in the retry budget.
    excluded : set of str
        Targets that have failed it.
    waits_since : float
        From when on its waiting for a target counts.
    waited_s, first_s : float
        Seconds before it was sent, and until the first part of its answer.
    passed_at : float or None
        When the newest part of its answer went to the caller.
    longest_gap_s, gap_ended_s : float
        Longest pause between two parts, and when it ended, from the beginning.
    target : str
        Where it was sent last.
    status : int
        Of the target's answer; 0 if there was none.
    last_event : str
        Event after which a stream goes on.
    last_id : int or None
        The same as a number, once this host has passed an event on.
    last_failure : str
    has_ended : bool
    """

    request: CallerRequest
    route: Route
    organisation: Organisation | None
    service: str
    running: Running
    began_at: float
    tokens: int
    fingerprint: str
    tries: int = 0
    sends: int = 0
    runs: int = 0
    may_have_run: bool = False
    is_first_sent: bool = False
    excluded: set[str] = field(default_factory=set)
    waits_since: float = 0.0
    waited_s: float = 0.0
    first_s: float = 0.0
    passed_at: float | None = None
    longest_gap_s: float = 0.0
    gap_ended_s: float = 0.0
    target: str = ""
    status: int = 0
    last_event: str = ""
    last_id: int | None = None
    last_failure: str = ""
    has_ended: bool = False

    def __post_init__(self) -> None:
        self.waits_since = self.began_at

    def note_passed(self, now: float) -> None:
        """Note that a part of the answer goes to the caller."""
        if self.passed_at is None:
            self.first_s = now - self.began_at
        else:
            gap_s = now - self.passed_at
            if gap_s > self.longest_gap_s:
                self.longest_gap_s = gap_s
                self.gap_ended_s = now - self.began_at
        self.passed_at = now

    @property
    def priority(self) -> int:
        """Rank of the request, 0 first."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority


@dataclass
class Opened:
    """An answer that a target has begun.

    Parameters
    ----------
    option : TargetOption
    head : AnswerHead
    response : TargetResponse
    sent_at : float
    use : TargetUse
        The request's part of the work at the target.
    splitter : EventSplitter
    events : list of StreamEvent
        Whole events that haven't been passed on.
    body : bytes
        The whole body, if it isn't a stream.
    has_ended : bool
        Whether a stream has ended completely.
    """

    option: TargetOption
    head: AnswerHead
    response: TargetResponse
    sent_at: float
    use: TargetUse
    splitter: EventSplitter = field(default_factory=EventSplitter)
    events: list[StreamEvent] = field(default_factory=list)
    body: bytes = b""
    has_ended: bool = False


def build_failure(call: Call) -> RequestRefused:
    """Return the final answer of a request that no target answered.

    Parameters
    ----------
    call : Call

    Returns
    -------
    RequestRefused
    """
    reason = call.running.stop_reason
    if call.may_have_run:
        is_late = reason is ErrorKind.DEADLINE_UNREACHABLE
        kind = ErrorKind.TIMED_OUT if is_late else ErrorKind.TARGET_FAILED
        return RequestRefused(kind, call.last_failure or "the time is over")
    if reason is not None:
        return RequestRefused(reason, "the time is over before a target could be found")
    return build_refusal(
        call, ErrorKind.OVERLOADED, 0.0, call.last_failure or "no target"
    )


def build_refusal(
    call: Call, kind: ErrorKind, retry_after_s: float, why: str
) -> RequestRefused:
    """Return the refusal of a request, if it hasn't run; else its failure.

    Parameters
    ----------
    call : Call
    kind : ErrorKind
    retry_after_s : float
    why : str

    Returns
    -------
    RequestRefused
    """
    if call.may_have_run:
        return build_failure(call)
    return RequestRefused(kind, why, retry_after_s=max(retry_after_s, SHORTEST_RETRY_S))
