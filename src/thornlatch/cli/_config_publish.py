"""``thornlatch config publish``: put an inventory in force."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from thornlatch.cli._changes import build_record, list_changes, summarise
from thornlatch.cli._exits import EXIT_OK
from thornlatch.cli._log import check_base
from thornlatch.cli._options import AsJson, LogOptions
from thornlatch.cli._output import write_json, write_line
from thornlatch.configuration import ConfigurationState, Inventory
from thornlatch.settings import load_inventory


@cappa.command(
    name="publish",
    help="Put an inventory in force.",
    description="Publishes the file, or only what changed in it. Keys that were issued "
    "or withdrawn by `thornlatch key` are not affected.",
)
@dataclass(frozen=True, kw_only=True)
class Publish:
    """Publishes an inventory, or only what changed in it.

    Parameters
    ----------
    options : LogOptions
    file : Path
        Inventory in TOML.
    base : int or None
        Offset of the inventory that the file was made from; that of the inventory
        in force if None.
    as_json : bool
    """

    options: cappa.Destructured[LogOptions]
    file: Annotated[Path, cappa.Arg(help="Inventory in TOML.")]
    base: Annotated[
        int | None,
        cappa.Arg(
            long=True,
            help="Offset of the inventory that the file was made from, as printed by "
            "`config show`; the inventory in force by default.",
        ),
    ] = None
    as_json: AsJson = False

    def __call__(self) -> int:
        """Publish the file and return the exit status."""
        inventory = load_inventory(self.file)
        log = self.options.open_log()
        if self.base is not None:
            check_base(self.base, log.state)
        changes = list_changes(log.state.tables, inventory)
        offset = log.state.inventory_offset
        if changes:
            record = build_record(log.state, inventory, self.options.get_author())
            offset = log.append(record)
        withdrawn = _list_withdrawn_digests(inventory, log.state)
        if self.as_json:
            result = {"offset": offset, "changes": changes, "withdrawn": withdrawn}
            write_json(result)
            return EXIT_OK
        write_line(f"in force at offset {offset}: {summarise(changes)}")
        for digest in withdrawn:
            write_line(f"key {digest} remains withdrawn; remove it from the file")
        return EXIT_OK


def _list_withdrawn_digests(
    inventory: Inventory, state: ConfigurationState
) -> list[str]:
    return [key.digest for key in inventory.keys if key.digest in state.withdrawn]
