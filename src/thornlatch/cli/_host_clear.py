"""``thornlatch host clear``: start a fleet anew whose processes have all ended."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from thornlatch.cli._control_log import append_until_confirmed, find_end
from thornlatch.cli._exits import EXIT_OK, EXIT_USAGE
from thornlatch.cli._options import AsJson, LogOptions
from thornlatch.cli._output import write_json, write_line
from thornlatch.membership import build_empty_view


@cappa.command(
    name="clear",
    help="Start anew after every daemon of the fleet has ended.",
    description="Needed only if the log has dropped the sessions of a fleet that was "
    "away for longer than the log keeps records. If any daemon still runs, two hosts "
    "may act on one key.",
)
@dataclass(frozen=True, kw_only=True)
class Clear:
    """States that every earlier process of the fleet has ended.

    Parameters
    ----------
    options : LogOptions
    all_ended : bool
    as_json : bool
    """

    options: cappa.Destructured[LogOptions]
    all_ended: Annotated[
        bool, cappa.Arg(long=True, help="Yes, every daemon has surely ended.")
    ] = False
    as_json: AsJson = False

    def __call__(self) -> int:
        """Append the empty view and return the exit status."""
        if not self.all_ended:
            message = "make sure that every daemon has ended, then give --all-ended"
            raise cappa.Exit(message, code=EXIT_USAGE)
        log = self.options.open_client()
        end = find_end(log)
        record = build_empty_view(self.options.get_author(), view_offset=end - 1)
        offset = append_until_confirmed(log, [record])
        if self.as_json:
            write_json({"offset": offset})
            return EXIT_OK
        write_line(f"the fleet starts anew from offset {offset}")
        return EXIT_OK
