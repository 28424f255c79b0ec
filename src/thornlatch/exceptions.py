"""Error kinds, the answers that callers receive for them, and exception classes."""

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from thornlatch.fleet import TargetNotice

__all__ = [
    "ANSWERS",
    "Answer",
    "ConfigurationConflict",
    "ErrorKind",
    "Execution",
    "ForeignAnswer",
    "InvalidInput",
    "OversizedAnswer",
    "RequestRefused",
    "SettingsError",
    "TargetError",
    "ThornlatchError",
]


class ErrorKind(Enum):
    """Error kinds; the value is the code that callers see."""

    BAD_REQUEST = "bad-request"
    REQUEST_TOO_LARGE = "request-too-large"
    UNKNOWN_KEY = "unknown-key"
    KEY_WITHDRAWN = "key-withdrawn"
    NOT_ALLOWED = "not-allowed"
    UNKNOWN_MODEL = "unknown-model"
    UNKNOWN_ADAPTER = "unknown-adapter"
    UNKNOWN_REQUEST = "unknown-request"
    UNKNOWN_ROUTE = "unknown-route"
    RATE_EXCEEDED = "rate-exceeded"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    OVERLOADED = "overloaded"
    HOST_STOPPING = "host-stopping"
    HOST_UNCONFIRMED = "host-unconfirmed"
    NO_TARGET = "no-target"
    REGION_UNAVAILABLE = "region-unavailable"
    LOG_UNAVAILABLE = "log-unavailable"
    LOAD_FAILED = "load-failed"
    TARGET_FAILED = "target-failed"
    VERSION_MISMATCH = "version-mismatch"
    TIMED_OUT = "timed-out"
    OUTCOME_UNKNOWN = "outcome-unknown"
    IDEMPOTENCY_CONFLICT = "idempotency-conflict"
    QUARANTINED = "quarantined"
    INVALID_SETTINGS = "invalid-settings"
    INVALID_RECORD = "invalid-record"
    INVALID_MESSAGE = "invalid-message"
    CONFIGURATION_CONFLICT = "configuration-conflict"
    PLATFORM_FAILED = "platform-failed"
    NO_HOST_ANSWERS = "no-host-answers"
    INTERNAL = "internal"


class Execution(Enum):
    """Whether a request that ended with an error was executed."""

    NOT_RUN = "not-run"
    OUTCOME_UNKNOWN = "outcome-unknown"
    RAN = "ran"


@dataclass(frozen=True)
class Answer:
    """Answer to the caller for an error kind.

    Parameters
    ----------
    status : int
        HTTP status.
    execution : Execution
        What the caller may assume about the execution of the request.
    retry : bool
        Whether the caller may send the same request again.
    hint : str
        Advice to the caller.
    """

    status: int
    execution: Execution
    retry: bool
    hint: str


_NOT_RUN = Execution.NOT_RUN
_UNKNOWN = Execution.OUTCOME_UNKNOWN

ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, _NOT_RUN, False, "Correct the request."),
    ErrorKind.REQUEST_TOO_LARGE: Answer(413, _NOT_RUN, False, "Send a smaller body."),
    ErrorKind.UNKNOWN_KEY: Answer(401, _NOT_RUN, False, "Send a valid bearer key."),
    ErrorKind.KEY_WITHDRAWN: Answer(
        401, _UNKNOWN, False, "Ask the operator for a new key."
    ),
    ErrorKind.NOT_ALLOWED: Answer(
        403, _NOT_RUN, False, "Use a model or route of your organisation."
    ),
    ErrorKind.UNKNOWN_MODEL: Answer(
        404, _NOT_RUN, False, "List the models with GET /v1/models."
    ),
    ErrorKind.UNKNOWN_ADAPTER: Answer(
        404, _NOT_RUN, False, "Check the adapter's name."
    ),
    ErrorKind.UNKNOWN_REQUEST: Answer(
        404, _NOT_RUN, False, "Ask the host that served it, or give its arguments."
    ),
    ErrorKind.UNKNOWN_ROUTE: Answer(404, _NOT_RUN, False, "Check the path."),
    ErrorKind.RATE_EXCEEDED: Answer(
        429, _NOT_RUN, True, "Retry after the time in Retry-After."
    ),
    ErrorKind.DEADLINE_UNREACHABLE: Answer(
        503, _NOT_RUN, True, "Retry after the time in Retry-After."
    ),
    ErrorKind.OVERLOADED: Answer(
        503, _NOT_RUN, True, "Retry after the time in Retry-After."
    ),
    ErrorKind.HOST_STOPPING: Answer(503, _NOT_RUN, True, "Retry; another host serves."),
    ErrorKind.HOST_UNCONFIRMED: Answer(
        503, _NOT_RUN, True, "Retry; another host may serve."
    ),
    ErrorKind.NO_TARGET: Answer(
        503, _NOT_RUN, True, "Retry after the time in Retry-After."
    ),
    ErrorKind.REGION_UNAVAILABLE: Answer(
        503, _NOT_RUN, True, "Retry after the time in Retry-After."
    ),
    ErrorKind.LOG_UNAVAILABLE: Answer(
        503, _NOT_RUN, True, "Retry after the time in Retry-After."
    ),
    ErrorKind.LOAD_FAILED: Answer(
        503, _NOT_RUN, True, "Retry after the time in Retry-After."
    ),
    ErrorKind.TARGET_FAILED: Answer(
        502, _UNKNOWN, True, "Retry if the request is idempotent."
    ),
    ErrorKind.VERSION_MISMATCH: Answer(
        502, _UNKNOWN, True, "Retry; the target served another version."
    ),
    ErrorKind.TIMED_OUT: Answer(
        504, _UNKNOWN, True, "Retry if the request is idempotent."
    ),
    ErrorKind.OUTCOME_UNKNOWN: Answer(
        409, _UNKNOWN, False, "Look up the effect before sending a new request."
    ),
    ErrorKind.IDEMPOTENCY_CONFLICT: Answer(
        422, _NOT_RUN, False, "Use a new Idempotency-Key for a different request."
    ),
    ErrorKind.QUARANTINED: Answer(
        422, _UNKNOWN, False, "Do not repeat this request; targets failed on it."
    ),
    ErrorKind.INVALID_SETTINGS: Answer(500, _NOT_RUN, False, "Correct the settings."),
    ErrorKind.INVALID_RECORD: Answer(500, _NOT_RUN, False, "Correct the record."),
    ErrorKind.INVALID_MESSAGE: Answer(
        500, _NOT_RUN, False, "Check the peer's version."
    ),
    ErrorKind.CONFIGURATION_CONFLICT: Answer(
        409, _NOT_RUN, True, "Read the configuration in force and publish again."
    ),
    ErrorKind.PLATFORM_FAILED: Answer(503, _NOT_RUN, True, "Retry later."),
    ErrorKind.NO_HOST_ANSWERS: Answer(
        503, _NOT_RUN, True, "Check the addresses: ip:port of the hosts' metrics."
    ),
    ErrorKind.INTERNAL: Answer(500, _UNKNOWN, False, "Report the request id."),
}


class ThornlatchError(Exception):
    """Base class of every error that thornlatch raises.

    Parameters
    ----------
    message : str
        What happened.
    context : str
        The file, record, request or peer concerned.
    note : str
        Further facts, such as the allowed values.
    hint : str
        What to do; if empty, the hint of the kind in `ANSWERS`.
    """

    kind = ErrorKind.INTERNAL

    def __init__(
        self, message: str, *, context: str = "", note: str = "", hint: str = ""
    ) -> None:
        super().__init__(message)
        self.message = message
        self.context = context
        self.note = note
        self.hint = hint or ANSWERS[self.kind].hint

    @property
    def reference(self) -> str:
        """Error code in kebab case."""
        return self.kind.value

    def format(self) -> str:
        """Return the error in the form shown to operators.

        Returns
        -------
        str
            Several lines without a trailing newline.
        """
        lines = [f"error: {self.reference}", f"  {self.message}"]
        if self.context:
            lines.append(f"  where: {self.context}")
        if self.note:
            lines.append(f"  note: {self.note}")
        if self.hint:
            lines.append(f"  hint: {self.hint}")
        return "\n".join(lines)


class SettingsError(ThornlatchError):
    """Raised when a settings file or inventory is invalid."""

    kind = ErrorKind.INVALID_SETTINGS


class InvalidInput(ThornlatchError):
    """Raised when a message, record or file is unreadable, invalid or too large."""

    kind = ErrorKind.INVALID_MESSAGE


class ConfigurationConflict(ThornlatchError):
    """Raised when another operator published a configuration first."""

    kind = ErrorKind.CONFIGURATION_CONFLICT


class RequestRefused(ThornlatchError):
    """Raised when a request ends without an answer from a target.

    Parameters
    ----------
    kind : ErrorKind
        Reason for the refusal.
    message : str
        What happened.
    retry_after_s : float or None
        Seconds after which the caller may try again.
    execution : Execution or None
        Overrides the value in `ANSWERS` where more is known.
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        retry_after_s: float | None = None,
        execution: Execution | None = None,
    ) -> None:
        self.kind = kind
        super().__init__(message)
        self.retry_after_s = retry_after_s
        self.execution = execution or ANSWERS[kind].execution


class TargetError(ThornlatchError):
    """Raised when a call to a target fails.

    Parameters
    ----------
    message : str
        What happened.
    is_sent : bool
        Whether the target may have received the request.
    status : int or None
        HTTP status, if the target answered.
    is_connection_lost : bool
        Whether the connection ended before the answer did, as it does if the target
        crashes; False for silence and for malformed answers.
    is_timeout : bool
        Whether a time limit of this host ended the call.
    notice : TargetNotice or None
        What the target said of itself, if it answered.
    """

    kind = ErrorKind.TARGET_FAILED

    def __init__(
        self,
        message: str,
        *,
        is_sent: bool,
        status: int | None = None,
        is_connection_lost: bool = False,
        is_timeout: bool = False,
        notice: "TargetNotice | None" = None,
    ) -> None:
        super().__init__(message)
        self.is_sent = is_sent
        self.notice = notice
        self.status = status
        self.is_connection_lost = is_connection_lost
        self.is_timeout = is_timeout


class ForeignAnswer(TargetError):
    """Raised when the answer to a call belongs to another one.

    Parameters
    ----------
    message : str
        What happened.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, is_sent=True)


class OversizedAnswer(TargetError):
    """Raised when the answer to a call is longer than this host accepts.

    Parameters
    ----------
    message : str
        What happened.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, is_sent=True)
