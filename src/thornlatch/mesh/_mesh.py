"""Messages between hosts over pyzmq; used by one thread.

One ROUTER receives from all peers and one DEALER sends to each. High-water marks
bound the queues; a message over them is dropped, which the slices expect.
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

RECEIVE_BATCH = 200


@dataclass(frozen=True)
class PeerSettings:
    """Transport between daemons.

    Parameters
    ----------
    queue_messages : int
        Messages queued to or from one peer before further ones are dropped.
    curve_public_key : str
        Z85 text of this fleet's CURVE public key; empty for plain transport.
    curve_secret_key : str
        Z85 text of the secret key that goes with it; every daemon of the fleet has
        the same pair, and a peer without it is refused.
    cut_file : str
        For tests: JSON file ``{"to": [...], "from": [...]}`` of peer names with
        which no message is exchanged; empty in production.
    """

    queue_messages: Annotated[int, Meta(ge=10, le=1_000_000)] = 10_000
    curve_public_key: str = ""
    curve_secret_key: str = ""
    cut_file: str = ""


@dataclass(frozen=True)
class PeerCounts:
    """Traffic of control messages.

    Parameters
    ----------
    sent, received : int
        Messages.
    sent_bytes, received_bytes : int
    refused : int
        Messages that couldn't be decoded.
    """

    sent: int = 0
    received: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    refused: int = 0


class PeerMesh:
    """Sockets to and from the other daemons.

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
        self.encoded: tuple[Any, bytes] = (None, b"")
        self.sent = self.received = self.sent_bytes = self.received_bytes = 0
        self.refused = 0
        self.cuts: dict[str, list[str]] = {}
        self.cuts_stamp = 0.0

    def set_members(self, addresses: dict[str, str]) -> None:
        """Connect to new members and drop the sockets of gone ones.

        Parameters
        ----------
        addresses : dict
            Host id to ``ip:port``.
        """
        self.addresses = addresses
        for host in [host for host in self.dealers if host not in addresses]:
            self.dealers.pop(host).close(linger=0)

    def send(self, recipient: str, message: Any) -> str:
        """Send a message without waiting; it may be lost.

        Parameters
        ----------
        recipient : str
            Host id; unknown ones are ignored.
        message : object

        Returns
        -------
        str
            The message's cause identifier.
        """
        envelope = Envelope(self.host, next(self.sequence), message, recipient)
        address = self.addresses.get(recipient)
        if address is None or get_host_name(recipient) in self.cuts.get("to", ()):
            return envelope.cause
        if self.encoded[0] is not message:
            # The same digest goes to many peers, one after the other.
            self.encoded = (message, encode_message(message))
        data = encode_envelope(envelope, self.encoded[1])
        try:
            self._get_dealer(recipient, address).send(data, zmq.NOBLOCK)
        except zmq.ZMQError:
            return envelope.cause
        self.sent += 1
        self.sent_bytes += len(data)
        return envelope.cause

    def iter_received(self) -> Iterator[Envelope]:
        """Iterate over the messages that have arrived, a bounded number."""
        for _ in range(RECEIVE_BATCH):
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
            is_cut = get_host_name(envelope.sender) in self.cuts.get("from", ())
            if envelope.recipient == self.host and not is_cut:
                yield envelope

    def reload_cut_file(self) -> None:
        """Read the test setting that cuts links, if there is one."""
        if not self.settings.cut_file:
            return
        path = Path(self.settings.cut_file)
        try:
            stamp = path.stat().st_mtime_ns
            if stamp != self.cuts_stamp:
                self.cuts = json.loads(path.read_text())
                self.cuts_stamp = stamp
        except (OSError, ValueError):
            self.cuts, self.cuts_stamp = {}, 0.0

    def get_counts(self) -> PeerCounts:
        """Return the traffic so far."""
        return PeerCounts(
            self.sent,
            self.received,
            self.sent_bytes,
            self.received_bytes,
            self.refused,
        )

    def close(self) -> None:
        """Close all sockets; what is queued is given a moment to leave."""
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
        if not self.settings.curve_secret_key:
            return
        public = self.settings.curve_public_key.encode()
        socket.curve_publickey = public
        socket.curve_secretkey = self.settings.curve_secret_key.encode()
        if is_server:
            socket.curve_server = True
        else:
            socket.curve_serverkey = public
