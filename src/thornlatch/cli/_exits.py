"""Exit statuses and the errors of commands."""

from thornlatch.exceptions import ErrorKind, ThornlatchError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_INVALID = 3
EXIT_CONFLICT = 4
EXIT_UNKNOWN = 5

EXIT_STATUSES = {
    ErrorKind.INVALID_SETTINGS: EXIT_INVALID,
    ErrorKind.INVALID_RECORD: EXIT_INVALID,
    ErrorKind.INVALID_MESSAGE: EXIT_INVALID,
    ErrorKind.BAD_REQUEST: EXIT_INVALID,
    ErrorKind.UNKNOWN_ROUTE: EXIT_INVALID,
    ErrorKind.UNKNOWN_MODEL: EXIT_INVALID,
    ErrorKind.UNKNOWN_ADAPTER: EXIT_INVALID,
    ErrorKind.UNKNOWN_REQUEST: EXIT_INVALID,
    ErrorKind.CONFIGURATION_CONFLICT: EXIT_CONFLICT,
    ErrorKind.OUTCOME_UNKNOWN: EXIT_UNKNOWN,
}


class AppendOutcomeUnknown(ThornlatchError):
    """Raised when it can't be determined whether a record was appended to the log."""

    kind = ErrorKind.OUTCOME_UNKNOWN


class RecordRefused(ThornlatchError):
    """Raised when an appended record is invalid and therefore not in force."""

    kind = ErrorKind.INVALID_RECORD


class PageUnavailable(ThornlatchError):
    """Raised when no host answers with the page that a command needs.

    Parameters
    ----------
    kind : ErrorKind
        The code that the hosts answered with, or that none answered.
    message : str
        What happened.
    context : str
        The hosts that were asked.
    """

    def __init__(self, kind: ErrorKind, message: str, *, context: str = "") -> None:
        self.kind = kind
        super().__init__(message, context=context)


class CommandFailed(ThornlatchError):
    """Raised when a command fails for a reason other than its input."""

    kind = ErrorKind.PLATFORM_FAILED


def get_status(error: ThornlatchError) -> int:
    """Return the exit status for an error.

    Parameters
    ----------
    error : ThornlatchError

    Returns
    -------
    int
        `EXIT_FAILED` unless the error's kind has an exit status of its own.
    """
    return EXIT_STATUSES.get(error.kind, EXIT_FAILED)
