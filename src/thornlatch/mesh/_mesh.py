"""Messages between hosts over pyzmq; not thread-safe.

One ROUTER socket receives from all peers and one DEALER socket sends to each.
High-water marks bound the queues; further messages are dropped, so senders must
tolerate the loss of messages.

A connection may fall silent for good without being reset, while new ones work. Each
sender therefore expects answers to its heartbeats, and opens a new connection without
them. The receiver sends its own more rarely, to close connections of lost senders.
"""

import itertools
import json
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import zmq
from msgspec import Meta

from thornlatch.core import (
    Envelope,
    decode_envelope,
    encode_envelope,
    encode_message,
    get_host_name,
)
from thornlatch.core._codec import MESSAGE_LIMIT_BYTES
from thornlatch.exceptions import InvalidInput

RECEIVE_BATCH_MESSAGES = 200
RECONNECT_FIRST_MS = 100
RECONNECT_LIMIT_MS = 800
RECEIVER_HEARTBEAT_RATIO = 5  # pause between heartbeats of receivers to that of senders


@dataclass(frozen=True)
class PeerSettings:
    """Settings of the transport between hosts.

    Parameters
    ----------
    queue_messages : int
        Messages that are queued to or from a peer before further ones are dropped.
    curve_public_key : str
        CURVE public key of this fleet in Z85 encoding; empty for an unencrypted
        transport.
    curve_secret_key : str
        Matching secret key in Z85 encoding. All hosts of a fleet share one key pair;
        connections from peers without it are rejected.
    heartbeat_s : float
        Seconds between two heartbeats to a peer.
    answer_timeout_s : float
        Seconds without any bytes after a heartbeat, without an acknowledgement of what
        was sent, or without a new connection, after which the next one is opened.
    cut_file : str
        For tests: JSON file ``{"to": [...], "from": [...]}`` with names of peers to
        and from which messages are dropped; empty in production.
    """

    queue_messages: Annotated[int, Meta(ge=10, le=1_000_000)] = 10_000
    curve_public_key: str = ""
    curve_secret_key: str = ""
    heartbeat_s: Annotated[float, Meta(gt=0)] = 0.8
    answer_timeout_s: Annotated[float, Meta(gt=0)] = 1.2
    cut_file: str = ""


@dataclass(frozen=True)
class PeerCounts:
    """Counts of sent and received messages since the start.

    Parameters
    ----------
    sent, received : int
        Number of messages.
    sent_bytes, received_bytes : int
    refused : int
        Number of received messages that couldn't be decoded.
    """

    sent: int = 0
    received: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    refused: int = 0


class PeerMesh:
    """Sockets to and from the other hosts.

    Parameters
    ----------
    settings : PeerSettings
    host : str
        This host's id.
    address : str
        ``ip:port`` to bind.
    """

    def __init__(self, settings: PeerSettings, *, host: str, address: str) -> None:
        self.settings = settings
        self.host = host
        self.context: zmq.Context[Any] = zmq.Context()
        self.router = self.context.socket(zmq.ROUTER)
        self._configure(self.router, is_server=True)
        self.router.bind(f"tcp://{address}")
        self.dealers: dict[str, zmq.Socket[Any]] = {}
        self.addresses: dict[str, str] = {}
        self.sequence = itertools.count(1)
        self.last_encoded: tuple[Any, bytes] = (None, b"")
        self.sent = self.received = self.sent_bytes = self.received_bytes = 0
        self.refused = 0
        self.cut_peers: dict[str, list[str]] = {}
        self.cut_file_mtime_ns = 0.0

    def set_members(self, addresses: dict[str, str]) -> None:
        """Set the other hosts, and close the sockets to those that were removed.

        Connections are opened with the first message to a host.

        Parameters
        ----------
        addresses : dict
            ``ip:port`` by host id.
        """
        self.addresses = addresses
        for host in [host for host in self.dealers if host not in addresses]:
            self.dealers.pop(host).close(linger=0)

    def send(self, recipient: str, message: Any) -> str:
        """Send a message without blocking; it may be lost.

        Parameters
        ----------
        recipient : str
            Host id; messages to unknown hosts are dropped.
        message : object

        Returns
        -------
        str
            Identifier of the message as a cause of later events.
        """
        envelope = Envelope(self.host, next(self.sequence), message, recipient)
        address = self.addresses.get(recipient)
        if address is None or get_host_name(recipient) in self.cut_peers.get("to", ()):
            return envelope.cause
        if self.last_encoded[0] is not message:
            # A digest is sent to many peers in succession, but encoded only once.
            self.last_encoded = (message, encode_message(message))
        data = encode_envelope(envelope, self.last_encoded[1])
        try:
            self._get_dealer(recipient, address).send(data, zmq.NOBLOCK)
        except zmq.ZMQError:
            return envelope.cause
        self.sent += 1
        self.sent_bytes += len(data)
        return envelope.cause

    def iter_received(self) -> Iterator[Envelope]:
        """Yield the messages that have arrived, at most one batch of them."""
        for _ in range(RECEIVE_BATCH_MESSAGES):
            try:
                frames = self.router.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self.received += 1
            self.received_bytes += len(frames[-1])
            try:
                envelope = decode_envelope(frames[-1])
            except InvalidInput:
                self.refused += 1
                continue
            is_cut = get_host_name(envelope.sender) in self.cut_peers.get("from", ())
            if envelope.recipient == self.host and not is_cut:
                yield envelope

    def reload_cut_file(self) -> None:
        """Read `cut_file` again if it has changed."""
        if not self.settings.cut_file:
            return
        path = Path(self.settings.cut_file)
        try:
            mtime_ns = path.stat().st_mtime_ns
            if mtime_ns != self.cut_file_mtime_ns:
                self.cut_peers = json.loads(path.read_text())
                self.cut_file_mtime_ns = mtime_ns
        except (OSError, ValueError):
            self.cut_peers, self.cut_file_mtime_ns = {}, 0.0

    def get_counts(self) -> PeerCounts:
        """Return the counts since the start."""
        return PeerCounts(
            self.sent,
            self.received,
            self.sent_bytes,
            self.received_bytes,
            self.refused,
        )

    def close(self) -> None:
        """Close all sockets; queued messages have 200 ms to be sent."""
        for dealer in self.dealers.values():
            dealer.close(linger=200)
        self.router.close(linger=0)
        self.context.term()

    def _get_dealer(self, recipient: str, address: str) -> "zmq.Socket[Any]":
        dealer = self.dealers.get(recipient)
        if dealer is None:
            dealer = self.context.socket(zmq.DEALER)
            self._configure(dealer, is_server=False)
            dealer.connect(f"tcp://{address}")
            self.dealers[recipient] = dealer
        return dealer

    def _configure(self, socket: "zmq.Socket[Any]", *, is_server: bool) -> None:
        socket.setsockopt(zmq.SNDHWM, self.settings.queue_messages)
        socket.setsockopt(zmq.RCVHWM, self.settings.queue_messages)
        socket.setsockopt(zmq.MAXMSGSIZE, MESSAGE_LIMIT_BYTES)
        socket.setsockopt(zmq.LINGER, 200)
        timeout_ms = int(self.settings.answer_timeout_s * 1000)
        # Heartbeats can't be sent once bytes that nobody acknowledges fill the buffer.
        socket.setsockopt(zmq.TCP_MAXRT, timeout_ms)
        socket.setsockopt(zmq.HANDSHAKE_IVL, timeout_ms)
        heartbeat_ms = int(self.settings.heartbeat_s * 1000)
        if is_server:
            # Connections that senders have left only use up descriptors.
            heartbeat_ms *= RECEIVER_HEARTBEAT_RATIO
        socket.setsockopt(zmq.HEARTBEAT_IVL, heartbeat_ms)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, timeout_ms)
        if not is_server:
            # Else the system's own retries, which double their pause, delay it.
            socket.setsockopt(zmq.CONNECT_TIMEOUT, timeout_ms)
            socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_FIRST_MS)
            socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_LIMIT_MS)
        if not self.settings.curve_secret_key:
            return
        public_key = self.settings.curve_public_key.encode()
        socket.curve_publickey = public_key
        socket.curve_secretkey = self.settings.curve_secret_key.encode()
        if is_server:
            socket.curve_server = True
        else:
            socket.curve_serverkey = public_key
