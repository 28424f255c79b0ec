"""``thornlatch host remove``: say that a host is gone for good."""

import time
from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from thornlatch import membership
from thornlatch.cli._exits import EXIT_OK, AppendUnknown, CommandFailed
from thornlatch.cli._log import APPEND_ATTEMPTS, RETRY_PAUSE_S, Log
from thornlatch.cli._options import AsJson, LogOptions
from thornlatch.cli._output import write_json, write_line
from thornlatch.core import encode_record
from thornlatch.platform import PlatformError

STREAM = "control"


@cappa.command(
    name="remove",
    help="End the wait for a host that is gone for good.",
    description="Only for a host whose process has surely ended: others take over its "
    "work at once.",
)
@dataclass(frozen=True, kw_only=True)
class Remove:
    """Removes a host whose process has surely ended.

    Parameters
    ----------
    options : LogOptions
    host : str
        Host id.
    as_json : bool
    """

    options: cappa.Destructured[LogOptions]
    host: Annotated[str, cappa.Arg(help="Host id, as `status` shows it.")]
    as_json: AsJson = False

    def __call__(self) -> int:
        """Append the record and return the exit status."""
        kind: Any = getattr(membership, "HostRemoved", None)
        if kind is None:
            raise CommandFailed("this version of thornlatch removes no hosts")
        record = kind(self.host, self.options.get_author())
        offset = append_until_confirmed(self.options.open_client(), record)
        if self.as_json:
            write_json({"offset": offset, "host": self.host})
            return EXIT_OK
        write_line(f"host {self.host} is removed at offset {offset}")
        return EXIT_OK


def append_until_confirmed(log: Log, record: Any) -> int:
    """Append a record, which may be repeated, until the log gives its offset.

    Parameters
    ----------
    log : Log
    record : object
        Registered frozen data class.

    Returns
    -------
    int

    Raises
    ------
    AppendUnknown
        If no attempt was confirmed but one may have taken effect.
    PlatformError
        If the record certainly wasn't appended.
    """
    is_possibly_appended = False
    for attempt in range(APPEND_ATTEMPTS):
        if attempt:
            time.sleep(RETRY_PAUSE_S)
        try:
            return log.append(STREAM, [encode_record(record)])
        except PlatformError as error:
            is_possibly_appended |= error.is_outcome_unknown
            if not is_possibly_appended:
                raise
    raise AppendUnknown(
        "the log service didn't confirm the record",
        context=f"{type(record).__name__} on stream {STREAM}",
        hint="Give the command again; a repetition is harmless.",
    )
