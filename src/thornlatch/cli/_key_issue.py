"""``thornlatch key issue``: issue a key for an organisation."""

import secrets
from dataclasses import dataclass
from typing import Annotated

import cappa

from thornlatch.cli._exits import EXIT_OK, AppendOutcomeUnknown
from thornlatch.cli._options import AsJson, LogOptions
from thornlatch.cli._output import write_json, write_line
from thornlatch.configuration import Key, KeyIssued, digest_key
from thornlatch.exceptions import InvalidInput

KEY_BYTES = 32


@cappa.command(
    name="issue",
    help="Issue a key and print it once.",
    description="Only the digest of the key is written to the log.",
)
@dataclass(frozen=True, kw_only=True)
class Issue:
    """Issues a key, of which only the digest is written to the log.

    Parameters
    ----------
    options : LogOptions
    organisation : str
        Name of an organisation in force.
    as_json : bool
    """

    options: cappa.Destructured[LogOptions]
    organisation: Annotated[str, cappa.Arg(help="Name of an organisation in force.")]
    as_json: AsJson = False

    def __call__(self) -> int:
        """Issue a key, print it, and return the exit status."""
        log = self.options.open_log()
        if self.organisation not in log.state.tables.organisations:
            raise InvalidInput(
                f"no organisation {self.organisation!r} is in force",
                hint="Publish an inventory that contains it first.",
            )
        key = secrets.token_urlsafe(KEY_BYTES)
        digest = digest_key(key)
        record = KeyIssued(Key(digest, self.organisation), self.options.get_author())
        try:
            offset = log.append(record)
        except AppendOutcomeUnknown as error:
            raise AppendOutcomeUnknown(
                error.message,
                context=error.context,
                note=f"The key was not printed; its digest is {digest}.",
                hint="Withdraw the key by its digest and issue another one.",
            ) from error
        if self.as_json:
            write_json({"key": key, "digest": digest, "offset": offset})
            return EXIT_OK
        write_line(f"key: {key}")
        write_line(f"digest: {digest}")
        write_line(f"in force at offset {offset}; the key can't be shown again")
        return EXIT_OK
