"""``thornlatch explain``: show what happened to one request."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from thornlatch.cli._exits import EXIT_FAILED, EXIT_OK
from thornlatch.story import explain_request, read_lines


@cappa.command(name="explain", help="Show from the logs what happened to a request.")
@dataclass(frozen=True)
class Explain:
    """Explains the outcome of one request from the logs of gateway hosts.

    Parameters
    ----------
    request : str
        Request id.
    files : list of Path
        Logs in JSON lines, of all gateway hosts.
    """

    request: Annotated[str, cappa.Arg(help="Request id, as quoted by the caller.")]
    files: Annotated[
        list[Path],
        cappa.Arg(num_args=-1, required=True, help="Logs of all gateway hosts."),
    ]

    def __call__(self) -> int:
        """Print the explanation; return 1 if no cause was recognised."""
        explanation = explain_request(self.request, read_lines(self.files))
        for line in explanation.iter_text():
            sys.stdout.write(line + "\n")
        return EXIT_OK if explanation.cause else EXIT_FAILED
