"""Loop that exchanges messages with other hosts; its thread owns the sockets."""

import os
import queue
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import logbook
import zmq

from thornlatch.core import read_clock
from thornlatch.fleet import (
    DomainExchange,
    FleetDigest,
    HostDigest,
    LoadRequested,
    Member,
    PeerView,
    TargetUses,
)
from thornlatch.mesh import PeerMesh, PeerSettings

logger = logbook.Logger("thornlatch.fleet")

# After its start a host sends digests this often, as it knows nothing of its peers'
# spending before the first ones have passed two relays and come back.
FREQUENT_S, FREQUENT_PERIOD_S = 1.5, 0.05
ORDER_TICK_PERIOD_S = 0.1  # loads in transit for 0.25 s are followed up by then


@dataclass(frozen=True)
class PeerHandlers:
    """Callbacks of the loop, called from its thread.

    Parameters
    ----------
    build_digest : callable
        Returns the digest of this host.
    on_digest : callable
        Called with the digest of another host, in a full mesh.
    on_own_digest : callable
        Called with each digest of this host that is sent to relays.
    on_fleet_digest, on_target_uses : callable
        Called with messages of relays, in a large fleet.
    on_load_requested : callable
        Called with requests to load an adapter.
    on_other : callable
        Called with messages of all other kinds.
    on_tick : callable
        Called after each digest of this host, and more often while it orders adapters.
    is_ordering : callable
        Returns whether this host orders adapters.
    """

    build_digest: Callable[[float], HostDigest]
    on_digest: Callable[[str, HostDigest, float], None]
    on_own_digest: Callable[[HostDigest], None]
    on_fleet_digest: Callable[[FleetDigest, float], None]
    on_target_uses: Callable[[TargetUses, float], None]
    on_load_requested: Callable[[str, LoadRequested, float], None]
    on_other: Callable[[str, Any, float], None]
    on_tick: Callable[[float], None]
    is_ordering: Callable[[], bool]


class PeerLoop:
    """Sends this host's digests and messages, and receives those of other hosts.

    Parameters
    ----------
    settings : PeerSettings
    host : str
        This host's id, which changes with a restart.
    address : str
        ``ip:port`` to listen on.
    view : PeerView
    exchange : DomainExchange
        Determines the recipients of digests in a large fleet.
    handlers : PeerHandlers
    """

    def __init__(
        self,
        settings: PeerSettings,
        *,
        host: str,
        address: str,
        view: PeerView,
        exchange: DomainExchange,
        handlers: PeerHandlers,
    ) -> None:
        self.view = view
        self.exchange = exchange
        self.handlers = handlers
        self.mesh = PeerMesh(settings, host=host, address=address)
        self.send_queue: queue.SimpleQueue[tuple[str, Any]] = queue.SimpleQueue()
        self.wake_reader, self.wake_writer = os.pipe()
        os.set_blocking(self.wake_writer, False)
        self.members: dict[str, Member] = {}
        self.connected_members = self.members
        self.is_stopping = False
        self.is_digest_requested = False

    def set_members(self, members: dict[str, Member]) -> None:
        """Set the other hosts.

        Parameters
        ----------
        members : dict of str to Member
        """
        self.members = members
        self.exchange.set_members(members)
        self._wake()

    def send(self, host: str, message: Any) -> None:
        """Queue a message to be sent at once; it may be lost.

        Parameters
        ----------
        host : str
        message : object
        """
        self.send_queue.put((host, message))
        self._wake()

    def send_digest_now(self) -> None:
        """Send a digest without waiting for the end of the period.

        In a large fleet the next digest is sent at the end of the period all the same.
        """
        self.is_digest_requested = True
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
        due_at = tick_due_at = read_clock()
        frequent_until = due_at + FREQUENT_S
        while not self.is_stopping:
            wait_s = max(min(due_at, tick_due_at) - read_clock(), 0.0)
            try:
                ready = dict(poller.poll(int(wait_s * 1000) + 1))
                if self.wake_reader in ready:
                    os.read(self.wake_reader, 4096)
                self._receive_messages()
                self._send_queued()
                now = read_clock()
                sends_early = self.is_digest_requested and not self.exchange.is_large
                if now >= due_at or sends_early:
                    self.is_digest_requested = False
                    due_at = now + self.get_period_s()
                    if now < frequent_until:
                        due_at = min(due_at, now + FREQUENT_PERIOD_S)
                    self._send_digest(now)
                    tick_due_at = now
                if now >= tick_due_at:
                    tick_due_at = now + self._get_tick_period_s()
                    self.handlers.on_tick(now)
            except Exception:
                logger.exception("fleet.turn_failed")
        self._send_digest(read_clock())
        self.mesh.close()

    def get_period_s(self) -> float:
        """Return the seconds between two digests of a host."""
        if self.exchange.is_large:
            return self.exchange.timing.period_s
        return self.view.settings.period_s

    def _get_tick_period_s(self) -> float:
        if not self.handlers.is_ordering():
            return self.get_period_s()
        return min(self.get_period_s(), ORDER_TICK_PERIOD_S)

    def _receive_messages(self) -> None:
        now = read_clock()
        for envelope in self.mesh.iter_received():
            self._dispatch(envelope.sender, envelope.message, now)

    def _dispatch(self, sender: str, message: Any, now: float) -> None:
        if isinstance(message, LoadRequested):
            self.handlers.on_load_requested(sender, message, now)
        elif self.exchange.is_large and self.exchange.handle_message(
            sender, message, now=now
        ):
            return
        elif isinstance(message, HostDigest):
            self.handlers.on_digest(sender, message, now)
        elif isinstance(message, FleetDigest | TargetUses):
            self._apply_aggregate(message, now)
        else:
            self.handlers.on_other(sender, message, now)

    def _apply_aggregate(self, message: FleetDigest | TargetUses, now: float) -> None:
        # In a full mesh the hosts' own digests already contain these sums.
        if not self.exchange.is_large:
            return
        if isinstance(message, FleetDigest):
            self.handlers.on_fleet_digest(message, now)
        else:
            self.handlers.on_target_uses(message, now)

    def _send_queued(self) -> None:
        members = self.members
        if members is not self.connected_members:
            self.mesh.set_members(
                {host: member.address for host, member in members.items()}
            )
            self.connected_members = members
        while True:
            try:
                host, message = self.send_queue.get_nowait()
            except queue.Empty:
                return
            self.mesh.send(host, message)

    def _send_digest(self, now: float) -> None:
        digest = self.handlers.build_digest(now)
        if self.exchange.is_large:
            self.handlers.on_own_digest(digest)
            outgoing, for_self = self.exchange.run_turn(digest, now=now)
            for host, message in outgoing:
                self.mesh.send(host, message)
            for message in for_self:
                self._apply_aggregate(message, now)
            return
        for host in self.mesh.addresses:
            self.mesh.send(host, digest)

    def _wake(self) -> None:
        try:
            os.write(self.wake_writer, b"x")
        except BlockingIOError:
            # The pipe is full, so the loop will wake up anyway.
            return
