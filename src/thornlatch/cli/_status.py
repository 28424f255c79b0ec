"""``thornlatch status``: show the status pages of daemons and gateway hosts."""

import http.client
import json
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
import msgspec

from thornlatch.cli._exits import EXIT_FAILED, EXIT_OK
from thornlatch.cli._options import AsJson
from thornlatch.cli._output import write_json, write_line
from thornlatch.cli._pages import find_address, read_page
from thornlatch.cli._where_text import describe_gateway
from thornlatch.core import read_clock
from thornlatch.gateway import GATEWAY_PAGE, GatewayStatus

TIMEOUT_S = 5.0


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
    help="Show the status pages of daemons and gateway hosts.",
    description="Exit status 1 if one isn't ready or can't be reached.",
)
@dataclass(frozen=True)
class Status:
    """Reads ``/status`` of each daemon; exits with 1 if one isn't ready.

    Parameters
    ----------
    urls : list of str
        Daemons, or metrics addresses of gateway hosts, as ``ip:port`` or URL.
    as_json : bool
    """

    urls: Annotated[
        list[str],
        cappa.Arg(
            num_args=-1,
            required=True,
            help="Daemons, or metrics addresses of gateway hosts, as ip:port or URL.",
        ),
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
    answer = read_page(find_address(url), "/status", until=read_clock() + TIMEOUT_S)
    if answer.error:
        return DaemonStatus(url, {}, error=answer.error)
    try:
        page = json.loads(answer.data)
    except (ValueError, RecursionError) as error:
        return DaemonStatus(url, {}, error=repr(error))
    if answer.status != http.client.OK or not isinstance(page, dict):
        return DaemonStatus(
            url,
            {},
            error=f"answered {answer.status}; expected 200 with a JSON object",
        )
    if page.get("page") == GATEWAY_PAGE:
        try:
            msgspec.convert(page, GatewayStatus)
        except msgspec.ValidationError as error:
            return DaemonStatus(url, {}, error=f"not the page of a host: {error}")
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
    if page.get("page") == GATEWAY_PAGE:
        return describe_gateway(status.url, msgspec.convert(page, GatewayStatus))
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
