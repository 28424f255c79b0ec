"""The process: sockets, threads and clock around the slices."""

from thornlatch.daemon._daemon import Daemon
from thornlatch.daemon._settings import DaemonSettings

__all__ = ["Daemon", "DaemonSettings"]
