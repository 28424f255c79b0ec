"""Options shared by the commands that use the log service."""

import getpass
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from thornlatch.cli._exits import EXIT_USAGE
from thornlatch.cli._log import ConfigurationLog, Log
from thornlatch.daemon import DaemonSettings
from thornlatch.logservice import LogClient, PlatformSettings
from thornlatch.settings import load_settings

TIMEOUT_S = 10.0

AsJson = Annotated[bool, cappa.Arg(long="--json", help="Print one JSON value.")]


@dataclass(frozen=True, kw_only=True)
class LogOptions:
    """Options of commands that use the log service.

    Parameters
    ----------
    settings : Path or None
        Settings file of a daemon, which names the log service.
    log : str or None
        Address of the log service as ``ip:port`` or URL; overrides `settings`.
    author : str or None
        Name of the operator; the user's login name if None.
    """

    settings: Annotated[
        Path | None,
        cappa.Arg(
            long=True, group="Log", help="Settings of a daemon that uses the log."
        ),
    ] = None
    log: Annotated[
        str | None,
        cappa.Arg(long=True, group="Log", help="Log service, as ip:port or URL."),
    ] = None
    author: Annotated[
        str | None,
        cappa.Arg(
            long=True, group="Log", help="Operator's name; login name by default."
        ),
    ] = None

    def open_log(self) -> "ConfigurationLog":
        """Read the configuration from the log.

        Returns
        -------
        ConfigurationLog

        Raises
        ------
        CommandFailed
            If the log dropped records that no snapshot covers.
        PlatformError
            If the log service fails.
        """
        log = ConfigurationLog(self.open_client())
        log.read_to_end()
        log.check_complete()
        return log

    def open_client(self) -> Log:
        """Return a client of the log service that the options name."""
        return open_client(self.settings, self.log)

    def get_author(self) -> str:
        """Return the operator's name that is written into records."""
        return self.author if self.author is not None else getpass.getuser()


def open_client(settings: Path | None, address: str | None) -> Log:
    """Return a client of the log service that the options name.

    Parameters
    ----------
    settings : Path or None
    address : str or None
        ``ip:port`` or URL; takes precedence over `settings`.

    Returns
    -------
    Log
    """
    if address is not None:
        address = address.removeprefix("http://").rstrip("/")
        return LogClient(PlatformSettings(log=address, timeout_s=TIMEOUT_S))
    if settings is None:
        raise cappa.Exit(
            "specify the log service with --settings or --log", code=EXIT_USAGE
        )
    return LogClient(load_settings(settings, DaemonSettings).platform)
