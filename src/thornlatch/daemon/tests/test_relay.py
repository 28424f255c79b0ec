"""The relay thread, with targets whose bytes the test sends."""

import json
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing

import pytest

from thornlatch.daemon import _relay
from thornlatch.daemon._relay import StreamRelay, send_arrived
from thornlatch.exceptions import TargetError
from thornlatch.targets import ChunkReader, Reuse, TargetCall, open_call

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
CLOSING = HEAD + b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
WAIT_S = 5.0


class RawTarget:
    """A target that sends the bytes that the test passes to `send`."""

    def __init__(self, head=CHUNKED, timeout_s=WAIT_S):
        with closing(socket.create_server(("127.0.0.1", 0))) as server:
            host, port = server.getsockname()
            call = TargetCall(f"{host}:{port}", "POST", "/", timeout_s=timeout_s)
            with ThreadPoolExecutor(1) as executor:
                opening = executor.submit(open_call, call, reuse=Reuse.RECENT)
                self.sock, _ = server.accept()
                self.sock.sendall(head)
                self.response = opening.result(WAIT_S)
        self.reader = ChunkReader(self.response)

    def send(self, data):
        self.sock.sendall(data)

    def close(self):
        self.response.abort()
        self.response.close()
        self.sock.close()


@pytest.fixture
def relay():
    relay = StreamRelay()
    with ThreadPoolExecutor(1) as executor:
        executor.submit(relay.run)
        yield relay
        relay.stop()


@pytest.fixture
def executor():
    with ThreadPoolExecutor(4) as executor:
        yield executor


def build_event(index):
    fields = {"model": "a@1", "choices": [{"text": f"{index} "}], "token_index": index}
    return b"data: " + json.dumps(fields).encode() + b"\n\n"


def frame(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def build_body(count, build_part=frame):
    events = [*map(build_event, range(count)), b"data: [DONE]\n\n"]
    end = build_part(b"") if build_part is frame else b""
    return b"".join(map(build_part, events)) + end


def forward_whole(relay, reader, indexes):
    """Read as a worker does: some events first, the rest through the relay."""

    def add_indexes(chunks):
        indexes.extend(chunk.token_index for chunk in chunks)

    while not reader.is_done:
        add_indexes(reader.read())
        relay.forward(reader, add_indexes)
    reader.drain()
    return indexes


def wait_for(is_reached):
    deadline = time.monotonic() + WAIT_S
    while not is_reached():
        assert time.monotonic() < deadline
        time.sleep(0.005)


@pytest.mark.parametrize(
    ("head", "build_part"),
    [(CHUNKED, frame), (HEAD + b"\r\n", bytes)],
    ids=["chunked", "until_close"],
)
@pytest.mark.parametrize("piece_bytes", [1, 7, 61, 1000])
def test_forward_any_pieces(relay, executor, head, build_part, piece_bytes):
    body = build_body(12, build_part)
    target = RawTarget(head)
    indexes = []
    forwarding = executor.submit(forward_whole, relay, target.reader, indexes)
    for begin in range(0, len(body), piece_bytes):
        target.send(body[begin : begin + piece_bytes])
        if piece_bytes < 100:
            time.sleep(0.0002)
    target.sock.shutdown(socket.SHUT_WR)
    assert forwarding.result(WAIT_S) == list(range(12))
    target.close()


@pytest.mark.parametrize("cut", range(1, len(frame(build_event(1))), 9))
def test_forward_cut_chunk_delays_no_other_stream(relay, executor, cut):
    stalled, other = RawTarget(), RawTarget()
    seen, other_seen = [], []
    forwarding = [
        executor.submit(forward_whole, relay, stalled.reader, seen),
        executor.submit(forward_whole, relay, other.reader, other_seen),
    ]
    second = frame(build_event(1))
    stalled.send(frame(build_event(0)))
    wait_for(lambda: seen == [0])
    stalled.send(second + frame(build_event(2))[:cut])
    wait_for(lambda: seen == [0, 1])
    other.send(build_body(3))
    assert forwarding[1].result(WAIT_S) == [0, 1, 2]
    stalled.send(frame(build_event(2))[cut:] + frame(b"data: [DONE]\n\n") + frame(b""))
    assert forwarding[0].result(WAIT_S) == [0, 1, 2]
    stalled.close()
    other.close()


def test_forward_leaves_connection_reusable(relay, executor):
    target = RawTarget()
    target.send(build_body(3))
    executor.submit(forward_whole, relay, target.reader, []).result(WAIT_S)
    assert target.response.response.isclosed()
    assert not target.response.response.will_close
    target.close()


@pytest.mark.parametrize("head", [CHUNKED, CLOSING], ids=["stays_open", "will_close"])
@pytest.mark.parametrize("fault", ["cut_off", "aborted", "silent", "malformed"])
def test_forward_broken_stream(relay, executor, fault, head):
    target = RawTarget(head, timeout_s=0.5 if fault == "silent" else 2 * WAIT_S)
    seen = []
    forwarding = executor.submit(forward_whole, relay, target.reader, seen)
    target.send(frame(build_event(0)))
    wait_for(lambda: seen == [0])
    if fault == "cut_off":
        target.sock.close()
    elif fault == "aborted":
        target.response.abort()
    elif fault == "malformed":
        target.send(frame(b"data: {}\n\n"))
    with pytest.raises(TargetError):
        forwarding.result(WAIT_S)
    target.close()


def test_forward_long_answer_continues_in_its_worker(relay, executor, monkeypatch):
    monkeypatch.setattr(_relay, "RELAY_LIMIT_BYTES", 300)
    target = RawTarget()
    byte_counts = []
    monkeypatch.setattr(_relay, "send_arrived", record_byte_counts(byte_counts))
    forwarding = executor.submit(forward_whole, relay, target.reader, [])
    for part in map(frame, map(build_event, range(9))):
        target.send(part)
        time.sleep(0.01)
    target.send(frame(b"data: [DONE]\n\n") + frame(b""))
    assert forwarding.result(WAIT_S) == list(range(9))
    assert max(byte_counts) <= 300
    target.close()


def record_byte_counts(byte_counts):
    def note(reader, send):
        byte_counts.append(reader.read_bytes)
        send_arrived(reader, send)

    return note


def test_forward_error_of_send(relay, executor):
    target, other = RawTarget(), RawTarget()

    def refuse(chunks):
        raise ValueError(chunks[0].text)

    forwarding = executor.submit(relay.forward, target.reader, refuse)
    target.send(frame(build_event(0)))
    with pytest.raises(ValueError, match="0 "):
        forwarding.result(WAIT_S)
    other.send(build_body(2))
    forwarding = executor.submit(forward_whole, relay, other.reader, [])
    assert forwarding.result(WAIT_S) == [0, 1]
    target.close()
    other.close()


def test_forward_continues_in_worker_after_relay_thread_ended(
    relay, executor, monkeypatch
):
    monkeypatch.setattr(_relay, "THREAD_CHECK_S", 0.1)
    target, later = RawTarget(), RawTarget()
    seen = []
    forwarding = executor.submit(forward_whole, relay, target.reader, seen)
    target.send(frame(build_event(0)))
    wait_for(lambda: seen == [0] and relay.streams)

    def fail(now):
        raise RuntimeError("fault of the relay thread")

    monkeypatch.setattr(relay, "_fail_silent_streams", fail)
    wait_for(lambda: relay.has_ended)
    target.send(frame(build_event(1)) + frame(b"data: [DONE]\n\n") + frame(b""))
    assert forwarding.result(WAIT_S) == [0, 1]
    later.send(build_body(2))
    forwarding = executor.submit(forward_whole, relay, later.reader, [])
    assert forwarding.result(WAIT_S) == [0, 1]
    target.close()
    later.close()
