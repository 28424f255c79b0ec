"""State of a request while it is served, and its outcome if no target answers."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from thornlatch.exceptions import ErrorKind, RequestRefused
from thornlatch.fleet import Target
from thornlatch.gateway._choice import TargetOption
from thornlatch.gateway._events import EventSplitter, StreamEvent
from thornlatch.gateway._ports import AnswerHead, CallerRequest
from thornlatch.gateway._work import RunningRequest, TargetUse
from thornlatch.pace import PacedRequest
from thornlatch.routing import CallKind, Organisation, Route
from thornlatch.targets import TargetResponse

MIN_RETRY_AFTER_S = 0.1
MIN_SEND_BUDGET_S = 0.05  # requests with less time left aren't sent
TRY_LIMIT = 6  # per request, including rejected sends and refused connections


@dataclass(frozen=True)
class GatewayAnswer:
    """An answer that the gateway passes to the caller.

    Parameters
    ----------
    status : int
    headers : tuple of (str, str)
    body : iterator of bytes
        Raises `RequestRefused` if the answer is aborted.
    length : int or None
        Length of the body in bytes; None if unknown.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterator[bytes]
    length: int | None


@dataclass
class Call:
    """State of a request while this host serves it.

    Only the thread that serves the request may use it.

    Parameters
    ----------
    request : CallerRequest
    route : Route
    organisation : Organisation or None
    service : str
    running : RunningRequest
    admitted_at : float
        Clock time at which the request was admitted.
    tokens : int
        Tokens charged to the organisation's quota for each run.
    fingerprint : str
        Digest that is equal for all repetitions of the request.
    is_run_charged, is_next_run_charged : bool
        Whether the quota was charged for a run that no target has begun yet, and for
        that at `next_option`.
    charged_runs : int
        Runs for which the quota was charged.
    charged_at : float
        Clock time of the latest charge.
    known_rounds : dict of str to int
        Rounds of crashes that were known of parts of the prompt at the latest send.
    tries, sends, runs : int
        Attempts to reach a target, those of them that reached it or may have, and
        those of the latter that ran or may have run.
    addresses : set of str
        Addresses of targets to which the request was sent.
    may_have_run : bool
        Whether a target ran the request or may have run it.
    is_in_retry_budget : bool
        Whether the retry budget has counted the request.
    excluded : set of str
        Ids of targets where the request failed.
    waiting_since : float
        Clock time from which the wait for a target is counted.
    waited_s, first_s : float
        Seconds that the request waited to be sent, and seconds until the first part of
        its answer.
    last_part_at : float or None
        Clock time at which the latest part of the answer was passed to the caller.
    longest_gap_s, gap_ended_s : float
        Longest pause between two parts of the answer, and the seconds from admission
        to its end.
    target, software_version : str
        Id of the target to which the request was sent last, and its version.
    status : int
        HTTP status of the target's answer; 0 without an answer.
    framing : str
        How the target delimits its latest answer; empty without an answer.
    media_type : str or None
        Media type of the stream that the caller receives; None before its head.
    last_event : str
        Id of the event after which the stream continues.
    stream_version : str or None
        Software version at which the stream began and has to go on; None before.
    last_event_id : int or None
        Id of the last event passed to the caller; None before the first.
    last_failure : str
        Description of the last failed attempt.
    no_retry_reason : str
        Why the request wasn't sent again after its last failed attempt.
    silent_use : TargetUse or None
        Latest use of a target that was silent for too long.
    load_requested_at : float
        Clock time at which its adapter was requested at another target, since the
        present one is silent.
    left_targets : set of str
        Targets that it left as they were silent, and that may get it once more.
    next_option : TargetOption or None
        Target that was selected, and retry budget spent, before the previous one was
        left.
    was_timeout : bool
        Whether the last attempt that was sent failed at a time limit of this host.
    has_ended : bool
        Whether the request has been completed or has failed.
    sent_at : float
        Clock time of the latest send.
    """

    request: CallerRequest
    route: Route
    organisation: Organisation | None
    service: str
    running: RunningRequest
    admitted_at: float
    tokens: int
    fingerprint: str
    is_run_charged: bool = False
    is_next_run_charged: bool = False
    charged_runs: int = 0
    charged_at: float = 0.0
    known_rounds: dict[str, int] = field(default_factory=dict)
    tries: int = 0
    sends: int = 0
    runs: int = 0
    addresses: set[str] = field(default_factory=set)
    may_have_run: bool = False
    is_in_retry_budget: bool = False
    excluded: set[str] = field(default_factory=set)
    waiting_since: float = 0.0
    waited_s: float = 0.0
    first_s: float = 0.0
    last_part_at: float | None = None
    longest_gap_s: float = 0.0
    gap_ended_s: float = 0.0
    target: str = ""
    software_version: str = ""
    status: int = 0
    framing: str = ""
    media_type: str | None = None
    last_event: str = ""
    stream_version: str | None = None
    last_event_id: int | None = None
    last_failure: str = ""
    no_retry_reason: str = ""
    silent_use: TargetUse | None = None
    load_requested_at: float = float("-inf")
    left_targets: set[str] = field(default_factory=set)
    next_option: TargetOption | None = None
    was_timeout: bool = False
    has_ended: bool = False
    sent_at: float = 0.0

    def __post_init__(self) -> None:
        self.waiting_since = self.admitted_at

    def build_paced_request(self, target: Target) -> PacedRequest:
        """Return the request as it is paced at a target.

        Parameters
        ----------
        target : Target

        Returns
        -------
        PacedRequest
            Its size is what the time to the answer depends on.
        """
        request = self.request
        is_stream = self.route.kind is CallKind.STREAM
        size = len(request.body)
        if request.prompt_tokens is not None:
            size = request.prompt_tokens
            size += 0 if is_stream else request.output_tokens or 0
        return PacedRequest(target, request.id, is_stream, size)

    def note_part_sent(self, now: float) -> None:
        """Record that a part of the answer is passed to the caller."""
        if self.last_part_at is None:
            self.first_s = now - self.admitted_at
        else:
            gap_s = now - self.last_part_at
            if gap_s > self.longest_gap_s:
                self.longest_gap_s = gap_s
                self.gap_ended_s = now - self.admitted_at
        self.last_part_at = now

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Parts of the prompt that other requests may have too: all but the last."""
        return tuple(part for part, _ in self.request.prompt_parts[:-1])

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is the most urgent."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority


@dataclass
class TargetAnswer:
    """An answer whose head has been received from a target.

    Parameters
    ----------
    option : TargetOption
    head : AnswerHead
    response : TargetResponse
    sent_at : float
    use : TargetUse
        Counts the request at the target until it is ended.
    splitter : EventSplitter
    events : list of StreamEvent
        Complete events that haven't been passed to the caller yet.
    body : tuple of bytes
        Pieces of the body; empty for a stream.
    has_ended : bool
        Whether a stream has been received to its end.
    """

    option: TargetOption
    head: AnswerHead
    response: TargetResponse
    sent_at: float
    use: TargetUse
    splitter: EventSplitter = field(default_factory=EventSplitter)
    events: list[StreamEvent] = field(default_factory=list)
    body: tuple[bytes, ...] = ()
    has_ended: bool = False


def find_retry_obstacle(call: Call, *, runs: int, is_blocked: bool) -> str:
    """Return why a request can't be sent again; empty if it can.

    Parameters
    ----------
    call : Call
    runs : int
        Runs that count, also one that the request is about to leave.
    is_blocked : bool
        Whether targets aborted too many runs of equal requests.

    Returns
    -------
    str
    """
    if call.tries >= TRY_LIMIT or runs >= call.route.max_attempts:
        return "all attempts are used up"
    return "targets aborted too many runs of it" if is_blocked else ""


def build_failure(call: Call, no_retry_reason: str = "") -> RequestRefused:
    """Return the error for a request that no target answered completely.

    Parameters
    ----------
    call : Call
    no_retry_reason : str
        Why the request isn't sent again, for the log.

    Returns
    -------
    RequestRefused
    """
    call.no_retry_reason = no_retry_reason
    reason = call.running.stop_reason
    if call.may_have_run:
        is_late = reason is ErrorKind.DEADLINE_UNREACHABLE
        kind = ErrorKind.TIMED_OUT if is_late else ErrorKind.TARGET_FAILED
        return RequestRefused(
            kind, call.last_failure or "no target completed the request"
        )
    if reason is not None:
        return RequestRefused(
            reason, f"stopped ({reason.value}) before a target ran the request"
        )
    return build_refusal(
        call,
        ErrorKind.OVERLOADED,
        0.0,
        call.last_failure or "no target ran the request",
    )


def build_refusal(
    call: Call, kind: ErrorKind, retry_after_s: float, message: str
) -> RequestRefused:
    """Return the refusal of a request, or its failure if it may have run.

    Parameters
    ----------
    call : Call
    kind : ErrorKind
    retry_after_s : float
        Seconds; raised to `MIN_RETRY_AFTER_S` if shorter.
    message : str

    Returns
    -------
    RequestRefused
    """
    if call.may_have_run:
        return build_failure(call, message)
    return RequestRefused(
        kind, message, retry_after_s=max(retry_after_s, MIN_RETRY_AFTER_S)
    )
