"""``thornlatch status``: show the status pages of daemons."""

import contextlib
import http.client
import json
from dataclasses import dataclass
from typing import Annotated, Any
from urllib.parse import urlsplit

import cappa

from thornlatch.cli._exits import EXIT_FAILED, EXIT_OK
from thornlatch.cli._options import AsJson
from thornlatch.cli._output import write_json, write_line
from thornlatch.core import connect, read_answer
from thornlatch.exceptions import InvalidInput

TIMEOUT_S = 5.0
MAX_PAGE_BYTES = 4 << 20


@dataclass(frozen=True)
class DaemonStatus:
    """Status page of one daemon, or the error that prevented reading it.

    Parameters
    ----------
    url : str
    page : dict
        JSON object of ``/status``; empty if it couldn't be read.
    error : str
        Why it couldn't be read.
    """

    url: str
    page: dict[str, Any]
    error: str = ""


@cappa.command(
    name="status",
    help="Show the status pages of daemons.",
    description="Exit status 1 if a daemon isn't ready or can't be reached.",
)
@dataclass(frozen=True)
class Status:
    """Reads ``/status`` of each daemon; exits with 1 if one isn't ready.

    Parameters
    ----------
    urls : list of str
        Daemons, as ``ip:port`` or URL.
    as_json : bool
    """

    urls: Annotated[
        list[str],
        cappa.Arg(num_args=-1, required=True, help="Daemons, as ip:port or URL."),
    ]
    as_json: AsJson = False

    def __call__(self) -> int:
        """Print the status of each daemon and return the exit status."""
        statuses = [read_status(url) for url in self.urls]
        if self.as_json:
            write_json(statuses)
        else:
            for status in statuses:
                for line in describe(status):
                    write_line(line)
        is_ready = all(status.page.get("ready") is True for status in statuses)
        return EXIT_OK if is_ready else EXIT_FAILED


def read_status(url: str) -> DaemonStatus:
    """Read the status page of a daemon.

    Parameters
    ----------
    url : str
        ``ip:port`` or URL.

    Returns
    -------
    DaemonStatus

    Raises
    ------
    InvalidInput
        If the URL is malformed or its scheme isn't ``http``.
    """
    parts = urlsplit(url if "://" in url else f"http://{url}")
    if parts.scheme != "http" or not parts.netloc:
        raise InvalidInput(f"not the URL of a daemon: {url!r}", hint="Use ip:port.")
    try:
        with contextlib.closing(connect(parts.netloc, timeout_s=TIMEOUT_S)) as daemon:
            daemon.request("GET", "/status")
            response, data = read_answer(
                daemon, head_s=TIMEOUT_S, body_s=TIMEOUT_S, limit=MAX_PAGE_BYTES
            )
        page = json.loads(data)
    except (OSError, http.client.HTTPException, ValueError, RecursionError) as error:
        return DaemonStatus(url, {}, error=repr(error))
    if response.status != http.client.OK or not isinstance(page, dict):
        return DaemonStatus(
            url,
            {},
            error=f"answered {response.status}; expected 200 with a JSON object",
        )
    return DaemonStatus(url, page)


def describe(status: DaemonStatus) -> list[str]:
    """Return a daemon's status as lines of text.

    Parameters
    ----------
    status : DaemonStatus

    Returns
    -------
    list of str
    """
    if status.error:
        return [f"{status.url}: unreachable: {status.error}"]
    page = status.page
    readiness = "ready" if page.get("ready") is True else "not ready"
    lines = [f"{status.url}: {page.get('host', '?')}: {readiness}"]
    if "confirmed" in page:
        session = "confirmed" if page["confirmed"] is True else "not confirmed"
        lines.append(f"  session: {session}")
    configuration = page.get("configuration")
    if isinstance(configuration, dict):
        lines += _describe_configuration(configuration)
    return lines


def _describe_configuration(configuration: dict[str, Any]) -> list[str]:
    get = configuration.get
    freshness = "confirmed" if get("is_fresh") is True else "not confirmed"
    lines = [
        f"  configuration: offset {get('offset')}, inventory of offset "
        f"{get('inventory_offset')}, {freshness}"
    ]
    for refusal in get("refusals") or []:
        lines.append(
            f"  refused: offset {refusal.get('offset')}, {refusal.get('kind')}: "
            f"{refusal.get('code')}: {refusal.get('reason')}"
        )
    return lines
