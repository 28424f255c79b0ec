"""``thornlatch where``: show where hosts would send a request, without sending it."""

import ipaddress
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field, replace
from typing import Annotated

import cappa
import msgspec

from thornlatch.cli._exits import EXIT_FAILED, EXIT_OK, PageUnavailable
from thornlatch.cli._options import AsJson
from thornlatch.cli._output import write_json, write_line
from thornlatch.cli._pages import find_address, read_page
from thornlatch.cli._where_differences import (
    Difference,
    HostExplanation,
    find_differences,
)
from thornlatch.cli._where_text import describe_explanation
from thornlatch.core import read_clock
from thornlatch.exceptions import ErrorKind, InvalidInput
from thornlatch.gateway import (
    ErrorPage,
    Explanation,
    PageError,
    WhereQuery,
    parse_part,
)

PARALLEL_LIMIT = 16
MAX_TIMEOUT_S = 60.0


@dataclass(frozen=True)
class HostResult:
    """What one host answered.

    Parameters
    ----------
    address : str
    explanation : Explanation or None
    error : PageError or None
        None if there is an explanation.
    """

    address: str
    explanation: Explanation | None = None
    error: PageError | None = None


@dataclass(frozen=True)
class WhereResult:
    """What all hosts answered.

    Parameters
    ----------
    hosts : tuple of HostResult
    differences : tuple of Difference
    """

    hosts: tuple[HostResult, ...]
    differences: tuple[Difference, ...]


@cappa.command(
    name="where",
    help="Show where hosts would send a request now, and why.",
    description="Sends nothing to targets and changes nothing.",
)
@dataclass(frozen=True)
class Where:
    """Asks hosts where they would send a request; exits with 1 if one can't tell.

    Parameters
    ----------
    hosts : list of str
        Metrics addresses of hosts, as ``ip:port``.
    host, path, organisation, model, id, service, request : str
    prompt_tokens, output_tokens : int or None
    parts : list of str
        Parts of the prompt, as ``ID:TOKENS``.
    deadline_s : float or None
    software_version : str or None
    targets : int
    timeout_s : float
    as_json : bool
    """

    hosts: Annotated[
        list[str],
        cappa.Arg(
            num_args=-1, required=True, help="Metrics addresses of hosts, as ip:port."
        ),
    ]
    host: Annotated[
        str, cappa.Arg(long=True, group="Request", help="Host name of the request.")
    ] = ""
    path: Annotated[
        str, cappa.Arg(long=True, group="Request", help="Path of the request.")
    ] = ""
    organisation: Annotated[
        str, cappa.Arg(long=True, group="Request", help="Organisation of the caller.")
    ] = ""
    model: Annotated[
        str, cappa.Arg(long=True, group="Request", help="MODEL or MODEL/ADAPTER.")
    ] = ""
    prompt_tokens: Annotated[
        int | None, cappa.Arg(long=True, group="Request", help="Tokens of the prompt.")
    ] = None
    output_tokens: Annotated[
        int | None, cappa.Arg(long=True, group="Request", help="Most tokens to return.")
    ] = None
    parts: Annotated[
        list[str],
        cappa.Arg(
            long="--part",
            group="Request",
            help="Part of the prompt, as ID:TOKENS; may be repeated.",
            show_default=False,
        ),
    ] = field(default_factory=list)
    deadline_s: Annotated[
        float | None,
        cappa.Arg(long="--deadline", group="Request", help="Seconds the caller waits."),
    ] = None
    id: Annotated[
        str,
        cappa.Arg(
            long=True, group="Request", help="Request id, which chooses the service."
        ),
    ] = ""
    service: Annotated[
        str, cappa.Arg(long=True, group="Request", help="Service of the route.")
    ] = ""
    software_version: Annotated[
        str | None,
        cappa.Arg(
            long=True, group="Request", help="Version that began a resumed stream."
        ),
    ] = None
    request: Annotated[
        str,
        cappa.Arg(
            long=True,
            group="Request",
            help="Id of a request that a host served lately, instead of the above.",
        ),
    ] = ""
    targets: Annotated[
        int, cappa.Arg(long=True, help="Most targets to list; 0 for the host's limit.")
    ] = 0
    timeout_s: Annotated[
        float, cappa.Arg(long="--timeout", help="Seconds for all answers.")
    ] = 5.0
    as_json: AsJson = False

    def __call__(self) -> int:
        """Print what each host would do and return the exit status."""
        query = self.build_query()
        addresses = [_check_address(host) for host in dict.fromkeys(self.hosts)]
        if not 0 < self.timeout_s <= MAX_TIMEOUT_S:
            raise InvalidInput(f"--timeout must be above 0 and at most {MAX_TIMEOUT_S}")
        until = read_clock() + self.timeout_s
        results = ask_hosts(addresses, query, until=until)
        explained = [
            HostExplanation(result.address, result.explanation)
            for result in results
            if result.explanation is not None
        ]
        if not explained:
            raise _build_error(results)
        differences = find_differences(explained)
        if self.as_json:
            write_json(WhereResult(results, differences))
        else:
            _write_results(results, differences)
        adapters = [item.explanation.adapter for item in explained]
        if all(adapter is not None and not adapter.is_known for adapter in adapters):
            # It may be a name that is misspelt, or an adapter that was never used.
            raise PageUnavailable(
                ErrorKind.UNKNOWN_ADAPTER,
                "no version of the adapter was announced to these hosts, and no target"
                " has or had it",
                context=explained[0].explanation.query.model,
            )
        return EXIT_OK if len(explained) == len(results) else EXIT_FAILED

    def build_query(self) -> WhereQuery:
        """Return the request to explain.

        Returns
        -------
        WhereQuery

        Raises
        ------
        RequestRefused
            If an argument can't be used.
        """
        query = WhereQuery(
            self.host,
            self.path.partition("?")[0],
            self.organisation,
            self.model,
            self.prompt_tokens,
            self.output_tokens,
            tuple(parse_part(part) for part in self.parts),
            self.deadline_s,
            self.id,
            self.service,
            self.software_version,
            self.software_version is not None,
            self.request,
            self.targets,
        )
        query.check()
        return query


def ask_hosts(
    addresses: Sequence[str], query: WhereQuery, *, until: float
) -> tuple[HostResult, ...]:
    """Ask hosts where they would send a request.

    Of a request that one of them served, the others are asked with its arguments.

    Parameters
    ----------
    addresses : sequence of str
    query : WhereQuery
    until : float
        Clock time by which they must have answered.

    Returns
    -------
    tuple of HostResult
        In the order of the addresses.
    """
    with ThreadPoolExecutor(PARALLEL_LIMIT, "where") as executor:

        def ask_all(asked: Sequence[str], about: WhereQuery) -> dict[str, HostResult]:
            answers = executor.map(lambda host: ask_host(host, about, until), asked)
            return {result.address: result for result in answers}

        results = ask_all(addresses, query)
        served = [
            result.explanation.query
            for result in results.values()
            if result.explanation is not None
        ]
        if query.request and served:
            others = [
                result.address
                for result in results.values()
                if result.error is not None
                and result.error.code == ErrorKind.UNKNOWN_REQUEST.value
            ]
            results |= ask_all(others, replace(served[0], targets=query.targets))
    return tuple(results[address] for address in addresses)


def ask_host(address: str, query: WhereQuery, until: float) -> HostResult:
    """Ask one host where it would send a request.

    Parameters
    ----------
    address : str
    query : WhereQuery
    until : float
        Clock time by which it must have answered.

    Returns
    -------
    HostResult
    """
    page = read_page(address, f"/where?{query.encode()}", until=until)
    if page.error:
        no_answer = PageError(ErrorKind.NO_HOST_ANSWERS.value, page.error)
        return HostResult(address, error=no_answer)
    try:
        if page.status == 200:
            explanation = msgspec.json.decode(page.data, type=Explanation)
            return HostResult(address, explanation)
        error = msgspec.json.decode(page.data, type=ErrorPage).error
    except (msgspec.DecodeError, RecursionError) as failure:
        error = PageError(
            ErrorKind.NO_HOST_ANSWERS.value,
            f"answered {page.status} without an explanation ({failure}): not the"
            " metrics address of a gateway host of this version",
        )
    return HostResult(address, error=error)


def _check_address(host: str) -> str:
    address = find_address(host)
    name = address.rpartition(":")[0].strip("[]")
    try:
        ipaddress.ip_address(name)
    except ValueError as error:
        # Resolving a name may take longer than the command's time.
        raise InvalidInput(
            f"not an IP address with a port: {host!r}", hint="Use ip:port."
        ) from error
    return address


def _build_error(results: Sequence[HostResult]) -> PageUnavailable:
    """Return the error of a command that no host gave an explanation."""
    errors = [(result, result.error) for result in results if result.error is not None]
    told = [
        item for item in errors if item[1].code != ErrorKind.NO_HOST_ANSWERS.value
    ] or errors
    result, error = told[0]
    try:
        kind = ErrorKind(error.code)
    except ValueError:
        return PageUnavailable(
            ErrorKind.NO_HOST_ANSWERS,
            f"{result.address}: unknown code {error.code}: {error.message}",
        )
    if kind is ErrorKind.NO_HOST_ANSWERS:
        message = "; ".join(f"{item.address}: {why.message}" for item, why in errors)
        return PageUnavailable(kind, message)
    return PageUnavailable(kind, error.message, context=result.address)


def _write_results(
    results: Sequence[HostResult], differences: Sequence[Difference]
) -> None:
    for result in results:
        if result.explanation is not None:
            for line in describe_explanation(result.address, result.explanation):
                write_line(line)
        elif result.error is not None:
            error = result.error
            write_line(f"{result.address}: error: {error.code}: {error.message}")
    if differences:
        write_line("differences:")
    for difference in differences:
        values = "; ".join(
            f"{value.address}: {value.value}" for value in difference.values
        )
        write_line(f"  {difference.what}: {values}")
