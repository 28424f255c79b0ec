"""Exit statuses, and the errors that lead to them."""

from thornlatch.exceptions import ErrorKind, ThornlatchError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_INVALID = 3
EXIT_CONFLICT = 4
EXIT_UNKNOWN = 5

STATUSES = {
    ErrorKind.INVALID_SETTINGS: EXIT_INVALID,
    ErrorKind.INVALID_RECORD: EXIT_INVALID,
    ErrorKind.INVALID_MESSAGE: EXIT_INVALID,
    ErrorKind.CONFIGURATION_CONFLICT: EXIT_CONFLICT,
    ErrorKind.OUTCOME_UNKNOWN: EXIT_UNKNOWN,
}


class AppendUnknown(ThornlatchError):
    """Raised when a record may or may not be on the log and re-reading didn't tell."""

    kind = ErrorKind.OUTCOME_UNKNOWN


class RecordRefused(ThornlatchError):
    """Raised when a record was appended but is invalid, so it isn't in force."""

    kind = ErrorKind.INVALID_RECORD


class CommandFailed(ThornlatchError):
    """Raised when a command can't do its work for a reason that isn't its input."""

    kind = ErrorKind.PLATFORM_FAILED


def get_status(error: ThornlatchError) -> int:
    """Return the exit status for an error.

    Parameters
    ----------
    error : ThornlatchError

    Returns
    -------
    int
    """
    return STATUSES.get(error.kind, EXIT_FAILED)
