"""``thornlatch key withdraw``: withdraw a key permanently."""

import re
import sys
from dataclasses import dataclass
from typing import Annotated

import cappa

from thornlatch.cli._exits import EXIT_OK
from thornlatch.cli._options import AsJson, LogOptions
from thornlatch.cli._output import write_json, write_line
from thornlatch.configuration import KeyWithdrawn, digest_key
from thornlatch.exceptions import InvalidInput

DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


@cappa.command(
    name="withdraw",
    help="Withdraw a key permanently.",
    description="New requests with the key are refused and its running streams end "
    "within seconds on every host. The key can't be issued again.",
)
@dataclass(frozen=True, kw_only=True)
class Withdraw:
    """Withdraws a key by its digest, or by the key itself on standard input.

    Parameters
    ----------
    options : LogOptions
    digest : str or None
        Hexadecimal SHA-256 of the key; None reads a key or digest from standard
        input.
    as_json : bool
    """

    options: cappa.Destructured[LogOptions]
    digest: Annotated[
        str | None,
        cappa.Arg(help="Digest; if omitted, a key or digest is read from stdin."),
    ] = None
    as_json: AsJson = False

    def __call__(self) -> int:
        """Withdraw the key and return the exit status."""
        digest = _read_digest(self.digest)
        log = self.options.open_log()
        was_in_force = log.state.get_key(digest) is not None
        offset = log.append(KeyWithdrawn(digest, self.options.get_author()))
        if self.as_json:
            write_json(
                {"digest": digest, "offset": offset, "was_in_force": was_in_force}
            )
            return EXIT_OK
        write_line(f"withdrawn at offset {offset}: {digest}")
        if not was_in_force:
            write_line("the key wasn't in force")
        return EXIT_OK


def _read_digest(argument: str | None) -> str:
    if argument is not None:
        if not DIGEST_PATTERN.fullmatch(argument):
            raise InvalidInput(
                "the argument is not the digest of a key (64 lower-case hexadecimal "
                "digits)",
                hint="Pass a key itself on standard input; arguments are visible to "
                "other users in the process list.",
            )
        return argument
    text = sys.stdin.readline().strip()
    if not text:
        raise InvalidInput(
            "no key on standard input", hint="Enter a key or the digest of a key."
        )
    return text if DIGEST_PATTERN.fullmatch(text) else digest_key(text)
