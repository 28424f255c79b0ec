"""Status lines of HTTP answers."""

from http import HTTPStatus

_REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}


def build_status_line(status: int) -> str:
    """Return the status line of an answer without the protocol version.

    Parameters
    ----------
    status : int
        From 200 to 599; also one that isn't registered, as targets may choose.

    Returns
    -------
    str

    Raises
    ------
    ValueError
        If there is no final answer with this status.
    """
    if not 200 <= status <= 599:
        raise ValueError(f"no status of a final answer: {status}")
    return f"{status} {_REASON_PHRASES.get(status, 'Unknown')}"
