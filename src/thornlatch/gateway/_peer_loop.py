"""Exchanges digests with the other hosts, in one thread that owns the sockets."""

import os
import queue
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import logbook
import zmq

from thornlatch.core import read_clock
from thornlatch.daemon._peers import PeerMesh, PeerSettings
from thornlatch.fleet import HostDigest, LoadRequested, PeerView

logger = logbook.Logger("thornlatch.fleet")

FULL_MESH_HOSTS = 8  # up to which each digest goes out every period


@dataclass(frozen=True)
class PeerHandlers:
    """What the loop calls, from its own thread.

    Parameters
    ----------
    build_digest : callable
    on_digest : callable
    on_load_requested : callable
    on_tick : callable
    """

    build_digest: Callable[[float], HostDigest]
    on_digest: Callable[[str, HostDigest, float], None]
    on_load_requested: Callable[[LoadRequested, float], None]
    on_tick: Callable[[float], None]


class PeerLoop:
    """Sends this host's digest and takes those of others.

    Parameters
    ----------
    settings : PeerSettings
    host : str
        This host's id, which a restart changes.
    address : str
        ``ip:port`` to listen on.
    view : PeerView
    handlers : PeerHandlers
    """

    def __init__(
        self,
        settings: PeerSettings,
        *,
        host: str,
        address: str,
        view: PeerView,
        handlers: PeerHandlers,
    ) -> None:
        self.view = view
        self.handlers = handlers
        self.mesh = PeerMesh(settings, host=host, address=address)
        self.outgoing: queue.SimpleQueue[tuple[str, Any]] = queue.SimpleQueue()
        self.wake_reader, self.wake_writer = os.pipe()
        os.set_blocking(self.wake_writer, False)
        self.members: dict[str, str] = {}
        self.is_stopping = False
        self.sends_now = False

    def set_members(self, members: dict[str, str]) -> None:
        """Set the other hosts.

        Parameters
        ----------
        members : dict of str to str
            Host id to ``ip:port``.
        """
        self.members = members
        self._wake()

    def send(self, host: str, message: Any) -> None:
        """Send a message soon; it may be lost.

        Parameters
        ----------
        host : str
        message : object
        """
        self.outgoing.put((host, message))
        self._wake()

    def send_digest_now(self) -> None:
        """Send a digest without waiting for the end of the period."""
        self.sends_now = True
        self._wake()

    def stop(self) -> None:
        """End `run`."""
        self.is_stopping = True
        self._wake()

    def run(self) -> None:
        """Run until stopped."""
        poller = zmq.Poller()
        poller.register(self.mesh.router, zmq.POLLIN)
        poller.register(self.wake_reader, zmq.POLLIN)
        due = read_clock()
        while not self.is_stopping:
            wait_s = max(due - read_clock(), 0.0)
            try:
                ready = dict(poller.poll(int(wait_s * 1000) + 1))
                if self.wake_reader in ready:
                    os.read(self.wake_reader, 4096)
                self._take_messages()
                self._send_queued()
                now = read_clock()
                if now >= due or self.sends_now:
                    self.sends_now = False
                    due = now + self.get_period_s()
                    self._send_digest(now)
                    self.handlers.on_tick(now)
            except Exception:
                logger.exception("fleet.turn_failed")
        self._send_digest(read_clock())
        self.mesh.close()

    def get_period_s(self) -> float:
        """Return the seconds between two digests of a host."""
        # Beyond a full mesh of this size each host's traffic stays about the same.
        factor = max(1.0, (len(self.members) + 1) / FULL_MESH_HOSTS / 2)
        return self.view.settings.period_s * factor

    def _take_messages(self) -> None:
        now = read_clock()
        for envelope in self.mesh.iter_received():
            if isinstance(envelope.message, HostDigest):
                self.handlers.on_digest(envelope.sender, envelope.message, now)
            elif isinstance(envelope.message, LoadRequested):
                self.handlers.on_load_requested(envelope.message, now)

    def _send_queued(self) -> None:
        if self.members != self.mesh.addresses:
            self.mesh.set_members(dict(self.members))
        while True:
            try:
                host, message = self.outgoing.get_nowait()
            except queue.Empty:
                return
            self.mesh.send(host, message)

    def _send_digest(self, now: float) -> None:
        digest = self.handlers.build_digest(now)
        for host in self.mesh.addresses:
            self.mesh.send(host, digest)

    def _wake(self) -> None:
        try:
            os.write(self.wake_writer, b"x")
        except BlockingIOError:
            # The loop has many wake-ups to read already.
            return
