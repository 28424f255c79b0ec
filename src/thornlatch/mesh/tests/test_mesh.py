"""Message transport between hosts."""

import socket
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
