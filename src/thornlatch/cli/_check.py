"""``thornlatch check``: validate settings and inventory files."""

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
    description="Validates files offline; no log service is needed.",
)
@dataclass(frozen=True)
class Check:
    """Validates settings and inventory files offline.

    Parameters
    ----------
    files : list of Path
        TOML files. A file with ``adapters_file`` or with an array of tables of an
        inventory's kind, such as ``[[organisations]]``, is read as an inventory;
        any other file as settings.
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
    """Validate one file.

    Parameters
    ----------
    path : Path

    Returns
    -------
    str
        What the file holds; for an inventory with the number of items of each kind.

    Raises
    ------
    SettingsError
        If the file can't be read or is invalid.
    """
    table = read_toml(path)
    is_inventory = any(isinstance(table.get(kind), list) for kind in KINDS)
    if not is_inventory and "adapters_file" not in table:
        load_settings(path, DaemonSettings)
        return "valid settings"
    inventory = load_inventory(path)
    counts = (f"{len(getattr(inventory, kind))} {kind}" for kind in KINDS)
    return "valid inventory: " + ", ".join(counts)
