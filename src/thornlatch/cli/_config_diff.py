"""``thornlatch config diff``: show what publishing an inventory would change."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from thornlatch.cli._changes import list_changes, summarise
from thornlatch.cli._exits import EXIT_OK
from thornlatch.cli._options import AsJson, LogOptions
from thornlatch.cli._output import write_json, write_line
from thornlatch.settings import load_inventory

ACTION_SIGNS = {"add": "+", "replace": "~", "remove": "-"}


@cappa.command(
    name="diff",
    help="Show what publishing an inventory would change.",
    description="Only reads from the log.",
)
@dataclass(frozen=True, kw_only=True)
class Diff:
    """Compares an inventory with the one in force.

    Parameters
    ----------
    options : LogOptions
    file : Path
        Inventory in TOML.
    as_json : bool
    """

    options: cappa.Destructured[LogOptions]
    file: Annotated[Path, cappa.Arg(help="Inventory in TOML.")]
    as_json: AsJson = False

    def __call__(self) -> int:
        """Print the differences and return the exit status."""
        inventory = load_inventory(self.file)
        state = self.options.open_log().state
        changes = list_changes(state.tables, inventory)
        if self.as_json:
            write_json({"base": state.inventory_offset, "changes": changes})
            return EXIT_OK
        for change in changes:
            write_line(f"{ACTION_SIGNS[change.action]} {change.kind} {change.name}")
        write_line(f"against offset {state.inventory_offset}: {summarise(changes)}")
        return EXIT_OK
