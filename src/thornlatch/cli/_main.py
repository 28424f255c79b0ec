"""Root command and entry point of the command line."""

import sys
from dataclasses import dataclass
from typing import Any

import cappa

import thornlatch
from thornlatch.cli._check import Check
from thornlatch.cli._docs import Docs
from thornlatch.cli._exits import EXIT_FAILED, EXIT_OK, get_status
from thornlatch.cli._explain import Explain
from thornlatch.cli._groups import Config, HostGroup, KeyGroup, TargetGroup
from thornlatch.cli._serve import Serve
from thornlatch.cli._status import Status
from thornlatch.cli._timeline import Timeline
from thornlatch.cli._where import Where
from thornlatch.exceptions import ThornlatchError


@cappa.command(name="thornlatch", help="Serve many LoRA adapters on few engines.")
@dataclass(frozen=True)
class Thornlatch:
    """Root of the command line."""

    command: cappa.Subcommands[
        Serve
        | Check
        | Config
        | KeyGroup
        | TargetGroup
        | HostGroup
        | Status
        | Where
        | Timeline
        | Explain
        | Docs
    ]


def run(arguments: list[str]) -> int:
    """Parse the arguments and run the command.

    Parameters
    ----------
    arguments : list of str

    Returns
    -------
    int
        Exit status: 0 success, 1 failure, 2 usage error, 3 invalid input,
        4 conflict, 5 outcome unknown.
    """
    output = cappa.Output()
    try:
        root = cappa.parse(
            Thornlatch, argv=arguments, version=thornlatch.__version__, output=output
        )
        result = _run_command(root, output)
    except SystemExit as error:
        return error.code if isinstance(error.code, int) else EXIT_FAILED
    except ThornlatchError as error:
        sys.stderr.write(error.format() + "\n")
        return get_status(error)
    return result if isinstance(result, int) else EXIT_OK


def _run_command(parsed: Any, output: cappa.Output) -> Any:
    # `cappa.invoke` would enter arguments of type Path, which Python deprecates.
    while hasattr(parsed, "command"):
        parsed = parsed.command
    try:
        return parsed()
    except cappa.Exit as error:
        output.exit(error)
        raise
