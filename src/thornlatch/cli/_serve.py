"""``thornlatch serve``: run a daemon."""

import os
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from thornlatch.cli._exits import EXIT_FAILED
from thornlatch.daemon import Daemon, DaemonSettings
from thornlatch.settings import load_settings


@cappa.command(name="serve", help="Run a daemon until SIGTERM.")
@dataclass(frozen=True)
class Serve:
    """Runs a daemon.

    The first SIGTERM or SIGINT starts a planned stop, which finishes every running
    request; a second one ends the process at once with status 1.

    Parameters
    ----------
    settings : Path
        TOML file.
    """

    settings: Annotated[Path, cappa.Arg(help="TOML file of settings.")]

    def __call__(self) -> int:
        """Run the daemon and return its exit status."""
        settings = load_settings(self.settings, DaemonSettings)
        status = EXIT_FAILED
        try:
            status = Daemon(settings).run()
        except Exception as error:
            # Caught so that threads that have already started can't keep the failed
            # process running.
            sys.stderr.write(f"error: the daemon failed: {error!r}\n")
        sys.stderr.flush()
        # Threads that wait for a slow caller or target must not delay the exit.
        os._exit(status)
