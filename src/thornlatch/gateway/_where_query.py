"""Arguments of a request whose routing is to be explained, and their query string."""

import math
import re
from dataclasses import dataclass, fields
from urllib.parse import parse_qsl, urlencode

from thornlatch.core import parse_number
from thornlatch.exceptions import ErrorKind, RequestRefused

QUERY_LIMIT = 1 << 15  # characters
TEXT_LIMIT = 2048  # characters of one argument
PART_LIMIT = 256
MAX_DIGITS = 9
SECONDS = re.compile(r"[0-9]{1,6}(\.[0-9]{1,6})?", re.ASCII)
MAX_DEADLINE_S = 999_999.0  # the longest one of that form
CONTROL_CHARACTERS = re.compile(r"[\x00-\x1f\x7f]")


@dataclass(frozen=True, slots=True)
class WhereQuery:
    """A request whose routing is to be explained.

    Parameters
    ----------
    host, path : str
        Host name and path that the caller requests.
    organisation : str
        Empty if none is given: key, quota and its allowed regions aren't considered
        then.
    model : str
        ``model`` or ``model/adapter``; empty for a plain service.
    prompt_tokens, output_tokens : int or None
    prompt_parts : tuple of (str, int)
        Identity and number of tokens of the prompt's parts, in order.
    deadline_s : float or None
        Seconds until the caller gives up.
    id : str
        Request id, by which one of several services of a route is chosen.
    service : str
        Service to explain instead of the one that `id` chooses; empty for none.
    software_version : str or None
        Version that began the stream that the request resumes; None for any.
    is_resumed : bool
        Whether the request resumes a stream.
    request : str
        Id of a request that the host served lately and whose arguments are used; empty
        for none.
    targets : int
        Largest number of targets to list; 0 for the host's own limit.
    """

    host: str = ""
    path: str = ""
    organisation: str = ""
    model: str = ""
    prompt_tokens: int | None = None
    output_tokens: int | None = None
    prompt_parts: tuple[tuple[str, int], ...] = ()
    deadline_s: float | None = None
    id: str = ""
    service: str = ""
    software_version: str | None = None
    is_resumed: bool = False
    request: str = ""
    targets: int = 0

    @property
    def model_name(self) -> str:
        """The model without the adapter."""
        return self.model.partition("/")[0]

    @property
    def adapter(self) -> str:
        """``model/adapter``, or empty."""
        return self.model if "/" in self.model else ""

    def encode(self) -> str:
        """Return the arguments that aren't the defaults as a query string.

        Returns
        -------
        str
        """
        pairs: list[tuple[str, str]] = []
        for argument in fields(self):
            value = getattr(self, argument.name)
            if value == argument.default:
                continue
            if argument.name == "prompt_parts":
                pairs += [("part", f"{part}:{tokens}") for part, tokens in value]
            elif argument.name == "is_resumed":
                pairs.append(("is_resumed", "1"))
            elif argument.name == "deadline_s":
                pairs.append(("deadline_s", f"{value:.6f}"))
            else:
                pairs.append((argument.name, str(value)))
        return urlencode(pairs)

    def check(self) -> None:
        """Check that the arguments are there that an explanation needs.

        Raises
        ------
        RequestRefused
            With the code ``bad-request``.
        """
        try:
            self.encode()
        except UnicodeEncodeError as error:
            # A command line may contain bytes that aren't UTF-8.
            raise build_bad_argument(f"an argument isn't text: {error}") from error
        if self.request:
            given = [
                argument.name
                for argument in fields(self)
                if argument.name not in ("request", "targets")
                and getattr(self, argument.name) != argument.default
            ]
            if given:
                raise build_bad_argument(
                    f"{given[0]} can't be given together with the id of a request"
                )
            return
        if not self.host or not self.path:
            raise build_bad_argument(
                "host and path are required, or the id of a request"
            )
        if not self.path.startswith("/"):
            raise build_bad_argument(f"path must begin with '/': {self.path[:80]!r}")
        model, separator, adapter = self.model.partition("/")
        if self.model and (not model or (separator and not adapter)):
            raise build_bad_argument(
                f"model must be MODEL or MODEL/ADAPTER: {self.model[:80]!r}"
            )
        if (self.prompt_tokens is None) != (self.output_tokens is None):
            raise build_bad_argument(
                "prompt_tokens and output_tokens must be given together"
            )


def build_bad_argument(message: str) -> RequestRefused:
    """Return the error for an argument that can't be used.

    Parameters
    ----------
    message : str

    Returns
    -------
    RequestRefused
    """
    return RequestRefused(ErrorKind.BAD_REQUEST, message)


def parse_query(text: str) -> WhereQuery:
    """Decode and check a query string.

    Parameters
    ----------
    text : str
        As received, without the question mark.

    Returns
    -------
    WhereQuery

    Raises
    ------
    RequestRefused
        With the code ``bad-request``.
    """
    if len(text) > QUERY_LIMIT:
        raise build_bad_argument(f"the query is over {QUERY_LIMIT} characters")
    try:
        pairs = parse_qsl(
            text,
            keep_blank_values=True,
            strict_parsing=bool(text),
            errors="strict",
            max_num_fields=PART_LIMIT + len(fields(WhereQuery)),
        )
    except ValueError as error:
        raise build_bad_argument(f"malformed query: {error}") from error
    values: dict[str, object] = {}
    parts: list[tuple[str, int]] = []
    for name, value in pairs:
        if name == "part":
            parts.append(parse_part(value))
        elif name in values:
            raise build_bad_argument(f"{name[:80]!r} is given more than once")
        else:
            values[name] = _parse_value(name, value)
    if len(parts) > PART_LIMIT:
        raise build_bad_argument(f"more than {PART_LIMIT} parts of a prompt")
    query = WhereQuery(**values, prompt_parts=tuple(parts))  # type: ignore[arg-type]
    query.check()
    return query


def parse_part(value: str) -> tuple[str, int]:
    """Decode a part of a prompt.

    Parameters
    ----------
    value : str
        ``ID:TOKENS``.

    Returns
    -------
    (str, int)

    Raises
    ------
    RequestRefused
        With the code ``bad-request``.
    """
    identity, _, tokens = _parse_text("part", value).rpartition(":")
    if not identity:
        raise build_bad_argument(f"part must be ID:TOKENS: {value[:80]!r}")
    return identity, _parse_count("part", tokens)


def _parse_value(name: str, value: str) -> object:
    if name in ("prompt_tokens", "output_tokens", "targets"):
        return _parse_count(name, value)
    if name == "deadline_s":
        if not SECONDS.fullmatch(value) or not math.isfinite(float(value)):
            raise build_bad_argument(f"deadline_s must be seconds: {value[:80]!r}")
        return float(value)
    if name == "is_resumed":
        if value not in ("0", "1"):
            raise build_bad_argument(f"is_resumed must be 0 or 1: {value[:80]!r}")
        return value == "1"
    if name not in {argument.name for argument in fields(WhereQuery)} - {
        "prompt_parts"
    }:
        raise build_bad_argument(f"unknown argument {name[:80]!r}")
    text = _parse_text(name, value)
    return text.partition("?")[0] if name == "path" else text


def _parse_count(name: str, value: str) -> int:
    number = parse_number(value, max_digits=MAX_DIGITS)
    if number is None:
        raise build_bad_argument(
            f"{name} must be a number of at most {MAX_DIGITS} digits: {value[:80]!r}"
        )
    return number


def _parse_text(name: str, value: str) -> str:
    if len(value) > TEXT_LIMIT or CONTROL_CHARACTERS.search(value):
        raise build_bad_argument(
            f"{name} must have at most {TEXT_LIMIT} characters, none of them a control"
            " character"
        )
    return value
