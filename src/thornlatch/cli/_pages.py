"""Reads pages of hosts and daemons within a bounded time."""

import http.client
from dataclasses import dataclass
from typing import cast
from urllib.parse import urlsplit

from thornlatch.core import BoundedSocket, connect, read_clock
from thornlatch.exceptions import InvalidInput

MAX_PAGE_BYTES = 4 << 20
DEFAULT_PORT = 80


@dataclass(frozen=True)
class Page:
    """Answer of a host or daemon, or the error that prevented reading it.

    Parameters
    ----------
    status : int
        HTTP status; 0 without an answer.
    data : bytes
    error : str
        Why it couldn't be read; empty if it was.
    """

    status: int
    data: bytes = b""
    error: str = ""


def find_address(url: str) -> str:
    """Return the address in a URL.

    Parameters
    ----------
    url : str
        ``ip:port`` or URL.

    Returns
    -------
    str
        ``ip:port``.

    Raises
    ------
    InvalidInput
        If the URL is malformed or its scheme isn't ``http``.
    """
    hint = "Use ip:port."
    try:
        parts = urlsplit(url if "://" in url else f"http://{url}")
        port = parts.port or DEFAULT_PORT
    except ValueError as error:
        raise InvalidInput(f"not an address: {url!r}: {error}", hint=hint) from error
    if parts.scheme != "http" or not parts.hostname or "@" in parts.netloc:
        raise InvalidInput(f"not the URL of a daemon: {url!r}", hint=hint)
    host = f"[{parts.hostname}]" if ":" in parts.hostname else parts.hostname
    return f"{host}:{port}"


def read_page(address: str, path: str, *, until: float) -> Page:
    """Read a page.

    Parameters
    ----------
    address : str
        ``ip:port``.
    path : str
        With the query.
    until : float
        Clock time by which the page must have been read.

    Returns
    -------
    Page
    """
    left_s = until - read_clock()
    if left_s <= 0:
        return Page(0, error="there was no time left to ask it")
    try:
        connection = connect(address, timeout_s=left_s)
    except OSError as error:
        return Page(0, error=repr(error))
    try:
        connection.request("GET", path)
        sock = cast(BoundedSocket, connection.sock)
        # One bound for head and body.
        sock.bound_reads(until - read_clock())
        response = connection.getresponse()
        data = response.read(MAX_PAGE_BYTES + 1)
        if len(data) > MAX_PAGE_BYTES or response.length:
            return Page(0, error=f"the page is over {MAX_PAGE_BYTES} bytes or cut off")
    except (OSError, http.client.HTTPException) as error:
        return Page(0, error=repr(error))
    finally:
        connection.close()
    return Page(response.status, data)
