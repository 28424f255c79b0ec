"""``thornlatch host clear``: reset the sessions of a fleet that has stopped."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from thornlatch.cli._control_log import append_until_confirmed, find_end_offset
from thornlatch.cli._exits import EXIT_OK, EXIT_USAGE
from thornlatch.cli._options import AsJson, LogOptions
from thornlatch.cli._output import write_json, write_line
from thornlatch.membership import build_empty_view


@cappa.command(
    name="clear",
    help="Reset the sessions after every daemon has ended.",
    description="Needed only if the fleet was down for longer than the log keeps "
    "records, so that the log has dropped its sessions. If any daemon is still "
    "running, two hosts may act on one key.",
)
@dataclass(frozen=True, kw_only=True)
class Clear:
    """Resets the sessions of a fleet whose processes have all ended.

    Parameters
    ----------
    options : LogOptions
    all_ended : bool
    as_json : bool
    """

    options: cappa.Destructured[LogOptions]
    all_ended: Annotated[
        bool,
        cappa.Arg(long=True, help="Confirm that every daemon has certainly ended."),
    ] = False
    as_json: AsJson = False

    def __call__(self) -> int:
        """Append the empty view and return the exit status."""
        if not self.all_ended:
            message = "make sure that every daemon has ended, then pass --all-ended"
            raise cappa.Exit(message, code=EXIT_USAGE)
        log = self.options.open_client()
        end_offset = find_end_offset(log)
        record = build_empty_view(self.options.get_author(), view_offset=end_offset - 1)
        offset = append_until_confirmed(log, [record])
        if self.as_json:
            write_json({"offset": offset})
            return EXIT_OK
        write_line(f"sessions were reset at offset {offset}")
        return EXIT_OK
