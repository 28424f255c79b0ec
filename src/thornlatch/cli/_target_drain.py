"""``thornlatch target drain``: send a target no new work."""

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
    help="Send a target no new work, or end that.",
    description="The target finishes what it runs and gets nothing new until --undo, "
    "whatever is published meanwhile.",
)
@dataclass(frozen=True, kw_only=True)
class Drain:
    """Drains a target until `undo`, whatever is published meanwhile.

    Parameters
    ----------
    options : LogOptions
    name : str
    undo : bool
    as_json : bool
    """

    options: cappa.Destructured[LogOptions]
    name: Annotated[str, cappa.Arg(help="Target in force.")]
    undo: Annotated[bool, cappa.Arg(long=True, help="Send it work again.")] = False
    as_json: AsJson = False

    def __call__(self) -> int:
        """Drain the target and return the exit status."""
        log = self.options.open_log()
        target = log.state.tables.targets.get(self.name)
        if target is None:
            raise InvalidInput(
                f"no target {self.name!r} is in force",
                hint="Look it up with `thornlatch config show --json`.",
            )
        record = TargetDrained(self.name, self.options.get_author(), not self.undo)
        offset = log.append(record, is_repeatable=False)
        is_leaving = not self.undo or target.is_leaving
        if self.as_json:
            write_json({"offset": offset, "is_leaving": is_leaving})
            return EXIT_OK
        word = "leaving" if is_leaving else "in use"
        write_line(f"target {self.name} is {word} from offset {offset}")
        if self.undo and target.is_leaving:
            write_line("the inventory marks it as leaving; publish it without that")
        return EXIT_OK
