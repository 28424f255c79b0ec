"""Tunnels over sockets: what they pass on, refuse, and keep in memory."""

import socket
import struct
import subprocess
import sys
import threading
import time

import pytest

from tests.ports import ports
from thornlatch.core import connect, read_clock
from thornlatch.core.tests.endless import HEADS, SPEEDS, EndlessTarget
from thornlatch.core.tests.malformed_heads import (
    MALFORMED_LENGTHS,
    MALFORMED_LINES_ANYWHERE,
)
from thornlatch.core.tests.scripted import ScriptedTarget
from thornlatch.gateway._tunnels import TunnelServer, TunnelSettings

TIMEOUT_S = 5.0


class Bed:
    """A tunnel server, and a target that is a listening socket."""

    def __init__(self, **settings):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(TIMEOUT_S)
        self.target = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.is_stopping = False
        self.server = TunnelServer(
            TunnelSettings(**settings),
            f"127.0.0.1:{ports.allocate()}",
            is_target=lambda address: address == self.target,
            is_stopping=lambda: self.is_stopping,
        )
        self.thread = threading.Thread(target=self.server.run)
        self.thread.start()
        deadline = time.monotonic() + TIMEOUT_S
        while True:
            try:
                connect(self.server.address, timeout_s=1.0).close()
                return
            except OSError:
                assert time.monotonic() < deadline
                time.sleep(0.01)

    def open(self, target=None):
        """Return both ends of a tunnel."""
        connection = connect(
            self.server.address, timeout_s=2.0, tunnel_to=target or self.target
        )
        end, _ = self.listener.accept()
        end.settimeout(TIMEOUT_S)
        return connection.sock, end

    def close(self):
        self.server.stop()
        self.thread.join(TIMEOUT_S)
        assert not self.thread.is_alive()
        self.listener.close()


@pytest.fixture
def bed():
    test_bed = Bed()
    yield test_bed
    test_bed.close()


def receive(sock, size):
    data = b""
    while len(data) < size:
        part = sock.recv(size - len(data))
        assert part, data
        data += part
    return data


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def test_bytes_pass_both_ways_and_the_end_of_a_side_ends_the_other(bed):
    near, far = bed.open()
    near.sendall(b"call")
    assert receive(far, 4) == b"call"
    assert bed.server.count_busy(now=read_clock() + 60.0) == 1
    far.sendall(b"answer")
    assert receive(near, 6) == b"answer"
    assert bed.server.count_busy(now=read_clock() + 60.0) == 0
    far.close()
    assert near.recv(1) == b""


# An answer without a length ends with its connection, so a reset must stay one.
@pytest.mark.parametrize("first", ["near", "far"])
def test_reset_of_a_side_resets_the_other(bed, first):
    near, far = bed.open()
    near.sendall(b"call")
    receive(far, 4)
    far.sendall(b"answer")
    receive(near, 6)
    ends = {"near": near, "far": far}
    reset(ends.pop(first))
    with pytest.raises(ConnectionResetError):
        (other,) = ends.values()
        other.recv(1)


SERVER = """
import sys
from thornlatch.gateway._tunnels import TunnelServer, TunnelSettings
TunnelServer(
    TunnelSettings(), sys.argv[1], is_target=lambda a: True, is_stopping=lambda: False
).run()
"""


# Guards against: the end of a killed host's connection was taken for that of an answer
# without a length, and its stream ended as complete after one event (soak seed 5201).
def test_kill_of_the_host_between_is_no_end_of_an_answer():
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{ports.allocate()}"
    process = subprocess.Popen([sys.executable, "-c", SERVER, address])
    try:
        deadline = time.monotonic() + TIMEOUT_S
        target = f"127.0.0.1:{listener.getsockname()[1]}"
        while True:
            try:
                near = connect(address, timeout_s=2.0, tunnel_to=target).sock
                break
            except OSError:
                assert time.monotonic() < deadline
                time.sleep(0.02)
        far, _ = listener.accept()
        near.sendall(b"call")
        receive(far, 4)
        far.sendall(b"a part")
        receive(near, 6)
    finally:
        process.kill()
        process.wait()
    with pytest.raises(ConnectionResetError):
        near.recv(1)
    listener.close()


def test_tunnels_lead_to_targets_only(bed):
    with pytest.raises(OSError, match="403"):
        connect(bed.server.address, timeout_s=2.0, tunnel_to="127.0.0.1:1")


def test_unreachable_target_is_reported(bed):
    bed.listener.close()
    with pytest.raises(OSError, match="502"):
        connect(bed.server.address, timeout_s=2.0, tunnel_to=bed.target)


def test_stopping_host_makes_no_tunnels_and_keeps_those_it_made(bed):
    near, far = bed.open()
    bed.is_stopping = True
    with pytest.raises(OSError, match="503"):
        connect(bed.server.address, timeout_s=2.0, tunnel_to=bed.target)
    near.sendall(b"call")
    assert receive(far, 4) == b"call"


def test_number_of_tunnels_is_limited():
    bed = Bed(limit=1)
    ends = bed.open()
    with pytest.raises(OSError, match="503"):
        connect(bed.server.address, timeout_s=2.0, tunnel_to=bed.target)
    for end in ends:
        end.close()
    bed.close()


def test_slow_reader_stops_the_sender(bed):
    near, far = bed.open()
    near.setblocking(False)
    sent = 0
    deadline = time.monotonic() + 1.0
    while time.monotonic() < deadline:
        try:
            sent += near.send(b"x" * 65536)
        except BlockingIOError:
            time.sleep(0.02)
    # Both sides' buffers in the system hold some MB.
    assert sent < 32 << 20
    receive(far, sent)


@pytest.mark.parametrize(
    "head", [b"GET / HTTP/1.1\r\n\r\n", b"\r\n\r\n", b"CONNECT\r\n"]
)
def test_malformed_requests_get_no_tunnel(bed, head):
    sock = connect(bed.server.address, timeout_s=3.0).sock
    sock.sendall(head)
    assert not sock.recv(100).startswith(b"HTTP/1.1 200")


ESTABLISHED = b"200 Connection Established"
# Answers to a request for a tunnel, by which there is none.
NO_TUNNEL = {
    "no answer": b"",
    "cut in the status line": b"HTTP/1.1 200 Conn",
    "cut behind the status line": b"HTTP/1.1 200 Connection Established\r\n",
    "cut in the head": b"HTTP/1.1 200 Connection Established\r\nName: x\r\n",
    "malformed status": b"HTTP/1.1 0200 Connection Established\r\n\r\n",
    "refusal": b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
    "bytes of a target that got no call": (
        b"HTTP/1.1 200 Connection Established\r\n\r\nHTTP/1.1 200 OK\r\n"
    ),
}
HEADS_WITHOUT_TUNNEL = {
    f"{name}, {kind}": head.build(b"", status=ESTABLISHED).partition(b"\r\n\r\n")[0]
    + b"\r\n\r\n"
    for kind, heads in {
        "length": MALFORMED_LENGTHS,
        "line": MALFORMED_LINES_ANYWHERE,
    }.items()
    for name, head in heads.items()
}


@pytest.fixture
def peer():
    peer = ScriptedTarget(end="keep")
    yield peer
    peer.close()


# Guards against: the head of the answer to CONNECT was read by `http.client` alone,
# which takes any lines, and the end of the connection for that of a head (issue 55).
def test_malformed_answer_makes_no_tunnel(peer):
    made = []
    for name, answer in HEADS_WITHOUT_TUNNEL.items():
        peer.build_answer = lambda _, answer=answer: answer
        try:
            connect(peer.address, timeout_s=2.0, tunnel_to="127.0.0.1:1").close()
        except OSError:
            continue
        made.append(name)
    assert made == [], f"{len(made)} of {len(HEADS_WITHOUT_TUNNEL)}"


@pytest.mark.parametrize("case", NO_TUNNEL)
def test_answer_that_is_none_makes_no_tunnel(case):
    peer = ScriptedTarget()
    peer.build_answer = lambda _: NO_TUNNEL[case]
    with pytest.raises(OSError):
        connect(peer.address, timeout_s=2.0, tunnel_to="127.0.0.1:1")
    peer.close()


# Guards against: each line of the answer to CONNECT renewed the wait for its head.
@pytest.mark.timeout(30)
@pytest.mark.parametrize("speed", SPEEDS)
@pytest.mark.parametrize("case", HEADS)
def test_answer_without_end_makes_no_tunnel(case, speed):
    start, part = HEADS[case]
    count, pause_s = SPEEDS[speed]
    peer = EndlessTarget(start, part * count, pause_s)
    with pytest.raises(OSError):
        connect(peer.address, timeout_s=0.3, tunnel_to="127.0.0.1:1")
    assert peer.was_closed.wait(10)
    peer.close()


@pytest.mark.parametrize(
    "head",
    [
        b"",
        b"Name: x\r\n y\r\n",
        b"Content-Length: 5\r\n",  # means nothing here
        b"Transfer-Encoding: chunked\r\n",
    ],
)
def test_sound_answer_makes_a_tunnel(peer, head):
    peer.build_answer = lambda _: b"HTTP/1.1 200 Made\r\n" + head + b"\r\n"
    sock = connect(peer.address, timeout_s=2.0, tunnel_to="127.0.0.1:1").sock
    assert sock.gettimeout() == 2.0
    peer.connections[0].sendall(b"later")
    assert sock.recv(5) == b"later"
    sock.close()
