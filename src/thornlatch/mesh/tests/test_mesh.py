"""Message transport between hosts."""

import contextlib
import socket
import threading
import time
from dataclasses import dataclass

import pytest
import zmq

from thornlatch.core import register
from thornlatch.mesh import PeerMesh, PeerSettings

RECEIVE_TIMEOUT_MS = 5000


@register
@dataclass(frozen=True)
class MeshProbe:
    text: str


def find_free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


@pytest.fixture
def make_mesh():
    meshes = []

    def make(host, settings=None, address=None):
        address = address or find_free_address()
        mesh = PeerMesh(settings or PeerSettings(), host=host, address=address)
        meshes.append(mesh)
        return mesh, address

    yield make
    for mesh in meshes:
        mesh.close()


def receive(mesh):
    """Wait for a message and return the texts of the accepted ones."""
    assert mesh.router.poll(RECEIVE_TIMEOUT_MS, zmq.POLLIN)
    return [envelope.message.text for envelope in mesh.iter_received()]


def test_message_reaches_its_recipient(make_mesh):
    sender, _ = make_mesh("a.1")
    receiver, address = make_mesh("b.1")
    sender.set_members({"b.1": address})
    sender.send("b.1", MeshProbe("hello"))
    assert receive(receiver) == ["hello"]


def test_message_for_a_previous_session_is_dropped(make_mesh):
    """Messages queued for a host reach its next session if that binds the address."""
    sender, _ = make_mesh("a.1")
    receiver, address = make_mesh("b.2")
    sender.set_members({"b.1": address})
    sender.send("b.1", MeshProbe("for the previous session"))
    assert receive(receiver) == []
    sender.set_members({"b.2": address})
    sender.send("b.2", MeshProbe("for this session"))
    assert receive(receiver) == ["for this session"]


def test_send_to_unknown_host_is_ignored(make_mesh):
    sender, _ = make_mesh("a.1")
    sender.send("nobody.1", MeshProbe("lost"))
    assert sender.get_counts().sent == 0


def test_malformed_message_is_counted(make_mesh):
    receiver, address = make_mesh("b.1")
    with zmq.Context() as context, context.socket(zmq.DEALER) as outsider:
        outsider.connect(f"tcp://{address}")
        outsider.send(b"\xc1 not msgpack")
        assert receive(receiver) == []
        outsider.linger = 0
    assert receiver.get_counts().refused == 1


def test_curve_rejects_a_peer_without_the_key(make_mesh):
    public, secret = (text.decode() for text in zmq.curve_keypair())
    settings = PeerSettings(curve_public_key=public, curve_secret_key=secret)
    receiver, address = make_mesh("b.1", settings)
    outsider, _ = make_mesh("x.1")
    member, _ = make_mesh("a.1", settings)
    for mesh in (outsider, member):
        mesh.set_members({"b.1": address})
        mesh.send("b.1", MeshProbe(mesh.host))
    assert receive(receiver) == ["a.1"]


# Hosts must act on each other's news again this long after connections fell silent.
CONTACT_TIMEOUT_S = 3.0


class SilentLink:
    """Forwards connections to an address; `silence` mutes those that are open.

    Their ends learn nothing of it: what they send is received and dropped.
    """

    def __init__(self, upstream):
        self.upstream = upstream
        self.pairs = []
        self.is_muted = {}
        self.has_closed = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def silence(self):
        for pair in self.pairs:
            self.is_muted[pair] = True

    def accept(self):
        host, _, port = self.upstream.rpartition(":")
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            pair = (client, socket.create_connection((host, int(port))))
            self.pairs.append(pair)
            for source, sink in (pair, pair[::-1]):
                threading.Thread(
                    target=self.forward, args=(pair, source, sink), daemon=True
                ).start()

    def forward(self, pair, source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(1 << 16):
                if not self.is_muted.get(pair):
                    sink.sendall(data)
        if self.is_muted.get(pair) and source is pair[1]:
            self.has_closed.set()

    def close(self):
        self.listener.close()
        for pair in self.pairs:
            for end in pair:
                with contextlib.suppress(OSError):
                    end.shutdown(socket.SHUT_RDWR)
                end.close()


@pytest.fixture
def silent_link(make_mesh):
    receiver, address = make_mesh("b.1")
    link = SilentLink(address)
    yield receiver, link
    link.close()


def send_until_received(sender, receiver, text, *, within_s):
    """Send a message again and again until it arrives."""
    until = time.monotonic() + within_s
    while time.monotonic() < until:
        sender.send("b.1", MeshProbe(text))
        if receiver.router.poll(50, zmq.POLLIN):
            received = [envelope.message.text for envelope in receiver.iter_received()]
            if text in received:
                return True
    return False


@pytest.mark.timeout(30)
def test_hosts_hear_of_each_other_after_their_connections_fell_silent(
    make_mesh, silent_link
):
    """Hosts never heard of each other again, so each trusted a deadly request anew."""
    receiver, link = silent_link
    sender, _ = make_mesh("a.1")
    sender.set_members({"b.1": link.address})
    assert send_until_received(sender, receiver, "before", within_s=5.0)
    link.silence()
    assert send_until_received(sender, receiver, "after", within_s=CONTACT_TIMEOUT_S)
    # The receiver doesn't keep the connection that fell silent either.
    assert link.has_closed.wait(10)


@pytest.mark.timeout(30)
def test_connection_that_is_silent_from_the_beginning_is_opened_again(
    make_mesh, silent_link
):
    receiver, link = silent_link
    blocked, link.is_muted = link.is_muted, _AlwaysMuted()
    sender, _ = make_mesh("a.1")
    sender.set_members({"b.1": link.address})
    assert not send_until_received(sender, receiver, "lost", within_s=0.5)
    link.is_muted = blocked
    link.silence()
    assert send_until_received(sender, receiver, "after", within_s=CONTACT_TIMEOUT_S)


class _AlwaysMuted(dict):
    def get(self, pair, default=None):
        return True
