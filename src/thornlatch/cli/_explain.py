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
    """Shows the history of one request from the logs of gateway hosts.

    Parameters
    ----------
    request : str
    files : list of Path
    """

    request: Annotated[str, cappa.Arg(help="Request id, as quoted by the caller.")]
    files: Annotated[
        list[Path],
        cappa.Arg(num_args=-1, required=True, help="Logs of all gateway hosts."),
    ]

    def __call__(self) -> int:
        """Print the request's history; return 1 if no cause was found for it."""
        story = explain_request(self.request, read_lines(self.files))
        for line in story.iter_text():
            sys.stdout.write(line + "\n")
        return EXIT_OK if story.cause else EXIT_FAILED
