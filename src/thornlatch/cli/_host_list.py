"""``thornlatch host list``: list the sessions of hosts recorded on the log."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated

import cappa

from thornlatch.cli._control_log import read_view
from thornlatch.cli._exits import EXIT_OK
from thornlatch.cli._options import AsJson, LogOptions
from thornlatch.cli._output import write_json, write_line
from thornlatch.membership import MembershipSettings, MembershipView, Wait

DEFAULT_VOTER_LIMIT = MembershipSettings().voter_limit


@dataclass(frozen=True)
class HostLine:
    """Session state of one host, as printed by the command.

    Parameters
    ----------
    host : str
        Host id.
    state : {"member", "accused", "expelled"}
        An expelled host is listed as long as others may wait for its leases to end.
    failure_domain : str
        Empty for expelled hosts.
    offset : int
        Offset of the record that began the session; for expelled hosts, of the one
        that ended it.
    is_voter : bool
        For expelled hosts, whether the size of a majority still counts the host.
    may_own : bool
        Whether the host can own keys: all earlier members have acknowledged its join
        or departed. For expelled hosts, whether it could.
    accusers : tuple of str
        Members that have stopped supporting the host, since they don't receive its
        heartbeats.
    wait : str
        For expelled hosts, how long their keys stay reserved: ``fast`` for seconds,
        ``slow`` for the time of ``outage_limit_s``.
    """

    host: str
    state: str
    failure_domain: str
    offset: int
    is_voter: bool
    may_own: bool
    accusers: tuple[str, ...] = ()
    wait: str = ""


@cappa.command(
    name="list",
    help="List the hosts with a session and the recently expelled ones.",
    description="Reads the log and contacts no daemon. An expelled host with a slow "
    "wait keeps its keys reserved: run `host remove` once its process has certainly "
    "ended.",
)
@dataclass(frozen=True, kw_only=True)
class List:
    """Lists the sessions of hosts.

    Parameters
    ----------
    options : LogOptions
    voter_limit : int
    as_json : bool
    """

    options: cappa.Destructured[LogOptions]
    voter_limit: Annotated[
        int, cappa.Arg(long=True, help="slices.membership.voter_limit of the fleet.")
    ] = DEFAULT_VOTER_LIMIT
    as_json: AsJson = False

    def __call__(self) -> int:
        """Print the hosts and return the exit status."""
        view = read_view(self.options.open_client(), voter_limit=self.voter_limit)
        lines = [*iter_members(view), *iter_expelled(view)]
        if self.as_json:
            write_json(lines)
            return EXIT_OK
        for line in lines:
            write_line(describe(line))
        return EXIT_OK


def iter_members(view: MembershipView) -> Iterator[HostLine]:
    """Iterate over the hosts with a session in the order in which they joined.

    Parameters
    ----------
    view : MembershipView

    Yields
    ------
    HostLine
    """
    for host, member in view.members.items():
        accusers = tuple(sorted(view.accusations.get(host, {})))
        yield HostLine(
            host,
            "accused" if accusers else "member",
            member.failure_domain,
            member.offset,
            is_voter=view.is_voter(host),
            may_own=host in view.established,
            accusers=accusers,
        )


def iter_expelled(view: MembershipView) -> Iterator[HostLine]:
    """Iterate over the expelled hosts whose leases may not have ended yet.

    Parameters
    ----------
    view : MembershipView

    Yields
    ------
    HostLine
    """
    for departure in view.departures:
        if departure.wait is not Wait.NONE:
            yield HostLine(
                departure.host,
                "expelled",
                "",
                departure.offset,
                is_voter=departure.host in view.expelled_voters,
                may_own=departure.established_offset >= 0,
                wait=departure.wait.value,
            )


def describe(line: HostLine) -> str:
    """Return a host's session state as one line of text.

    Parameters
    ----------
    line : HostLine

    Returns
    -------
    str
    """
    parts = [f"{line.host}: {line.state}", f"offset {line.offset}"]
    if line.failure_domain:
        parts.append(f"failure domain {line.failure_domain}")
    if line.is_voter:
        parts.append("voter")
    if line.state != "expelled" and not line.may_own:
        parts.append("owns no keys yet")
    if line.accusers:
        parts.append("not heard by " + ", ".join(line.accusers))
    if line.wait:
        parts.append(f"{line.wait} wait")
    return ", ".join(parts)
