"""``thornlatch check``: check settings and inventories before they are used."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from thornlatch.cli._exits import EXIT_OK
from thornlatch.cli._output import write_line
from thornlatch.configuration import KINDS
from thornlatch.daemon import DaemonSettings
from thornlatch.settings import load_inventory, load_settings, read_toml


@cappa.command(
    name="check",
    help="Check settings or inventory files.",
    description="Starts nothing and needs no log service.",
)
@dataclass(frozen=True)
class Check:
    """Checks files without starting anything.

    Parameters
    ----------
    files : list of Path
        TOML; a file with an array of a kind of the inventory, such as
        ``[[organisations]]``, is an inventory, any other one is settings.
    """

    files: Annotated[
        list[Path],
        cappa.Arg(num_args=-1, required=True, help="Settings or inventories in TOML."),
    ]

    def __call__(self) -> int:
        """Check each file and return the exit status."""
        for file in self.files:
            write_line(f"{file}: {check_file(file)}")
        return EXIT_OK


def check_file(path: Path) -> str:
    """Check one file.

    Parameters
    ----------
    path : Path

    Returns
    -------
    str
        What it is.

    Raises
    ------
    SettingsError
        If it's invalid.
    """
    table = read_toml(path)
    is_inventory = any(isinstance(table.get(kind), list) for kind in KINDS)
    if not is_inventory and "adapters_file" not in table:
        load_settings(path, DaemonSettings)
        return "valid settings"
    inventory = load_inventory(path)
    counts = (f"{len(getattr(inventory, kind))} {kind}" for kind in KINDS)
    return "valid inventory: " + ", ".join(counts)
