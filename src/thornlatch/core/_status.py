"""Status lines of HTTP answers."""

from http import HTTPStatus

_REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}


def build_status_line(status: int) -> str:
    """Return the status line of an answer without the protocol version.

    Parameters
    ----------
    status : int
        Also one that isn't registered, as targets may choose.

    Returns
    -------
    str
    """
    return f"{status} {_REASON_PHRASES.get(status, 'Unknown')}"
