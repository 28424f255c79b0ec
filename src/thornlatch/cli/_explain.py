"""Command ``explain``: tells what happened to one request."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from thornlatch.cli._exits import EXIT_FAILED, EXIT_OK
from thornlatch.story import explain_request, read_lines


@cappa.command(name="explain", help="Tell what happened to a request, from the logs.")
@dataclass(frozen=True)
class Explain:
    """Reads the logs of gateway hosts and tells one request's story."""

    request: Annotated[str, cappa.Arg(help="The request id that the caller names.")]
    files: Annotated[
        list[Path],
        cappa.Arg(num_args=-1, required=True, help="Logs of all gateway hosts."),
    ]

    def __call__(self) -> int:
        """Run the command and return its exit status."""
        story = explain_request(self.request, read_lines(self.files))
        for line in story.iter_text():
            sys.stdout.write(line + "\n")
        return EXIT_OK if story.cause else EXIT_FAILED
