"""``thornlatch key issue``: give an organisation a new key."""

import secrets
from dataclasses import dataclass
from typing import Annotated

import cappa

from thornlatch.cli._exits import EXIT_OK, AppendUnknown
from thornlatch.cli._options import AsJson, LogOptions
from thornlatch.cli._output import write_json, write_line
from thornlatch.configuration import Key, KeyIssued, digest_key
from thornlatch.exceptions import InvalidInput

KEY_BYTES = 32


@cappa.command(
    name="issue",
    help="Issue a key; prints it once.",
    description="The log sees only the digest of the key.",
)
@dataclass(frozen=True, kw_only=True)
class Issue:
    """Issues a key, of which the log sees only the digest.

    Parameters
    ----------
    options : LogOptions
    organisation : str
    as_json : bool
    """

    options: cappa.Destructured[LogOptions]
    organisation: Annotated[str, cappa.Arg(help="Organisation in force.")]
    as_json: AsJson = False

    def __call__(self) -> int:
        """Issue a key, print it, and return the exit status."""
        log = self.options.open_log()
        if self.organisation not in log.state.tables.organisations:
            raise InvalidInput(
                f"no organisation {self.organisation!r} is in force",
                hint="Publish an inventory with it first.",
            )
        key = secrets.token_urlsafe(KEY_BYTES)
        digest = digest_key(key)
        record = KeyIssued(Key(digest, self.organisation), self.options.get_author())
        try:
            offset = log.append(record)
        except AppendUnknown as error:
            raise AppendUnknown(
                error.message,
                context=error.context,
                note=f"The key isn't printed; its digest is {digest}.",
                hint="Withdraw the digest and issue another key.",
            ) from error
        if self.as_json:
            write_json({"key": key, "digest": digest, "offset": offset})
            return EXIT_OK
        write_line(f"key: {key}")
        write_line(f"digest: {digest}")
        write_line(f"in force at offset {offset}; the key isn't shown again")
        return EXIT_OK
