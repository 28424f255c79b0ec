"""``thornlatch target drain``: stop sending new work to a target."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from thornlatch.cli._exits import EXIT_OK
from thornlatch.cli._options import AsJson, LogOptions
from thornlatch.cli._output import write_json, write_line
from thornlatch.configuration import TargetDrained
from thornlatch.exceptions import InvalidInput


@cappa.command(
    name="drain",
    help="Stop sending new work to a target, or resume it.",
    description="The target finishes its running requests and receives no new ones "
    "until --undo, even if an inventory is published in the meantime.",
)
@dataclass(frozen=True, kw_only=True)
class Drain:
    """Drains a target until `undo`; publishing an inventory doesn't end the drain.

    Parameters
    ----------
    options : LogOptions
    name : str
        Name of a target in force.
    undo : bool
        Whether to end the drain.
    as_json : bool
    """

    options: cappa.Destructured[LogOptions]
    name: Annotated[str, cappa.Arg(help="Name of a target in force.")]
    undo: Annotated[bool, cappa.Arg(long=True, help="Resume sending work.")] = False
    as_json: AsJson = False

    def __call__(self) -> int:
        """Start or end the drain and return the exit status."""
        log = self.options.open_log()
        target = log.state.tables.targets.get(self.name)
        if target is None:
            raise InvalidInput(
                f"no target {self.name!r} is in force",
                hint="List the targets with `thornlatch config show --json`.",
            )
        record = TargetDrained(self.name, self.options.get_author(), not self.undo)
        offset = log.append(record, is_repeatable=False)
        is_leaving = not self.undo or target.is_leaving
        if self.as_json:
            write_json({"offset": offset, "is_leaving": is_leaving})
            return EXIT_OK
        state = "leaving" if is_leaving else "in use"
        write_line(f"target {self.name} is {state} from offset {offset}")
        if self.undo and target.is_leaving:
            write_line("the inventory sets is_leaving for it; publish it without that")
        return EXIT_OK
