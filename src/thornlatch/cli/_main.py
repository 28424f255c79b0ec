"""Root command and exit statuses."""

import sys
from dataclasses import dataclass

import cappa

import thornlatch
from thornlatch.cli._serve import Serve
from thornlatch.exceptions import ThornlatchError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_INVALID = 3


@cappa.command(name="thornlatch", help="Serve many LoRA adapters on few engines.")
@dataclass(frozen=True)
class Thornlatch:
    """Root of the command line."""

    command: cappa.Subcommands[Serve]


def run(arguments: list[str]) -> int:
    """Parse the arguments and run the command.

    Parameters
    ----------
    arguments : list of str

    Returns
    -------
    int
        Exit status: 0 done, 1 failed, 2 wrong usage, 3 invalid input.
    """
    try:
        result = cappa.invoke(
            Thornlatch, argv=arguments, version=thornlatch.__version__
        )
    except ThornlatchError as error:
        sys.stderr.write(error.format() + "\n")
        return EXIT_INVALID
    return result if isinstance(result, int) else EXIT_OK
