"""``thornlatch key withdraw``: end a key for good."""

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

DIGEST = re.compile(r"[0-9a-f]{64}")


@cappa.command(
    name="withdraw",
    help="Withdraw a key for good.",
    description="New requests with the key are refused and its running streams end "
    "within seconds on every host. It can't be issued again.",
)
@dataclass(frozen=True, kw_only=True)
class Withdraw:
    """Withdraws a key by its digest, or by the key itself on standard input.

    Parameters
    ----------
    options : LogOptions
    digest : str or None
    as_json : bool
    """

    options: cappa.Destructured[LogOptions]
    digest: Annotated[
        str | None,
        cappa.Arg(help="Digest; without it, a key or digest is read from stdin."),
    ] = None
    as_json: AsJson = False

    def __call__(self) -> int:
        """Withdraw the key and return the exit status."""
        digest = _read_digest(self.digest)
        log = self.options.open_log()
        is_known = log.state.get_key(digest) is not None
        offset = log.append(KeyWithdrawn(digest, self.options.get_author()))
        if self.as_json:
            write_json({"digest": digest, "offset": offset, "was_in_force": is_known})
            return EXIT_OK
        write_line(f"withdrawn at offset {offset}: {digest}")
        if not is_known:
            write_line("the key wasn't in force")
        return EXIT_OK


def _read_digest(argument: str | None) -> str:
    if argument is not None:
        if not DIGEST.fullmatch(argument):
            raise InvalidInput(
                "not the digest of a key (64 hexadecimal digits)",
                hint="Give a key itself on standard input; arguments can be seen by "
                "others on this machine.",
            )
        return argument
    text = sys.stdin.readline().strip()
    if not text:
        raise InvalidInput("no key on standard input", hint="Give a key or a digest.")
    return text if DIGEST.fullmatch(text) else digest_key(text)
