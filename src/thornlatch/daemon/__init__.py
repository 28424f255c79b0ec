"""The daemon process, which runs the slices with sockets, threads and a clock."""

from thornlatch.daemon._daemon import Daemon
from thornlatch.daemon._settings import DaemonSettings

__all__ = ["Daemon", "DaemonSettings"]
