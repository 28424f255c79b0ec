"""Streams that break off, and how their callers learn it."""

import http.client
import itertools
import threading
from types import SimpleNamespace

import pytest

from thornlatch.core import read_clock, received_memory
from thornlatch.core.tests.endless import CHUNKED_HEAD, HEAD
from thornlatch.core.tests.scripted import ScriptedTarget
from thornlatch.exceptions import ErrorKind, RequestRefused, TargetError
from thornlatch.gateway import GatewayMetrics
from thornlatch.gateway._app import GatewayApplication
from thornlatch.gateway._call import GatewayAnswer, TargetAnswer
from thornlatch.gateway._events import EventSplitter
from thornlatch.gateway._sender import TargetSender
from thornlatch.gateway._servers import build_server
from thornlatch.targets import TargetCall, open_call

EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


def frame(framing, body):
    if framing == "close":
        return HEAD + b"\r\n" + body
    if framing == "length":
        return HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
    return CHUNKED_HEAD + chunk + b"0\r\n\r\n"


@pytest.fixture
def target():
    target = ScriptedTarget()
    yield target
    target.close()


def read_stream(target, answer, *, last_event=""):
    """Read a stream to its end and return its events."""
    target.build_answer = lambda path: answer
    response = open_call(TargetCall(target.address, "GET", "/"))
    answer = TargetAnswer(None, None, response, read_clock(), None)
    sender = TargetSender(None, protocol=None, work=None, health=None, metrics=None)
    call = SimpleNamespace(last_event=last_event, framing=response.framing.value)
    events = []
    while not answer.has_ended:
        sender.read_events(call, answer)
        events += [event.data for event in answer.events]
        if answer.events:
            call.last_event = "seen"
        answer.events = []
    return events


@pytest.mark.timeout(30)
@pytest.mark.parametrize("framing", ["close", "length", "chunked"])
def test_stream_that_ends_inside_an_event_is_broken_off(target, framing):
    """Callers got streams that had broken off as complete ones."""
    next_event = b"id: 3\ndata: c\n\n"
    for count in range(1, len(next_event)):
        with pytest.raises(TargetError, match="event"):
            read_stream(target, frame(framing, EVENTS + next_event[:count]))


@pytest.mark.timeout(30)
@pytest.mark.parametrize("framing", ["close", "length", "chunked"])
def test_stream_without_any_event_is_broken_off(target, framing):
    """A target that crashes before its first event may still close correctly."""
    with pytest.raises(TargetError, match="event"):
        read_stream(target, frame(framing, b""))


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_resumed_stream_may_have_no_event_left(target, framing):
    assert read_stream(target, frame(framing, b""), last_event="2") == []


def test_resumed_stream_that_closes_after_its_head_is_broken_off(target):
    """A target that crashed before its first event ended the stream as complete."""
    with pytest.raises(TargetError, match="event"):
        read_stream(target, frame("close", b""), last_event="2")


@pytest.mark.parametrize("framing", ["close", "length", "chunked"])
@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"], ids=["lf", "crlf", "cr"])
@pytest.mark.parametrize("blank_lines", [0, 1])
def test_events_with_any_line_ends_are_split(target, framing, line_end, blank_lines):
    """Events with other line ends than LF were held back until the stream ended."""
    body = EVENTS.replace(b"\n", line_end)
    events = read_stream(target, frame(framing, body + line_end * blank_lines))
    assert b"".join(events) == body
    assert len(events) == 2


ERROR_HEADS = [
    b"HTTP/1.1 500 Failed\r\n\r\n",
    b"HTTP/1.0 503\nServer: x\n\n",
    b"daHTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n",
    b"data: cHTTP/1.1 500 Failed\r\nretry-after: 1\r\n\r\n",
    b"data: c\rHTTP/1.1 500 Failed\r\r",
]


@pytest.mark.parametrize("head", ERROR_HEADS)
def test_head_of_an_answer_is_no_event(target, head):
    """Callers got the head of a target's error in the middle of their stream."""
    with pytest.raises(TargetError, match="event"):
        read_stream(target, frame("close", head))
    splitter = EventSplitter()
    assert b"".join(e.data for e in splitter.feed(EVENTS + head)) == EVENTS
    with pytest.raises(ValueError, match="head"):
        splitter.feed(b"x")


@pytest.mark.parametrize(
    "event",
    [
        b"data: HTTP/1.1 200 OK\ndata: Server: x\n\n",
        b"data: HTTP/1.1 200 OK\nid: 3\n\n",
        b"data: curl: HTTP/1.1 500\n\n",
        b"version: 1\ndata: see HTTP/1.1\n\n",
    ],
)
def test_text_about_http_is_no_head_of_an_answer(target, event):
    assert read_stream(target, frame("close", event)) == [event]


class BrokenForwarder:
    """Answers with a stream that breaks off after its first event."""

    def serve(self, request, *, is_caller_disconnected):
        return GatewayAnswer(200, (), self.iterate(), None)

    def iterate(self):
        yield b"id: 1\ndata: a\n\n"
        raise RequestRefused(ErrorKind.TARGET_FAILED, "target closed the connection")


class EndlessForwarder:
    """Answers with a stream that never ends."""

    def serve(self, request, *, is_caller_disconnected):
        return GatewayAnswer(200, (), itertools.repeat(b"data: a\n\n" * 8192), None)


class AnyCallers:
    """Accepts all requests."""

    def read_request(self, environ):
        return SimpleNamespace(id="1")

    def build_refusal_headers(self, request):
        return []


@pytest.fixture
def forwarder():
    return BrokenForwarder()


@pytest.fixture
def gateway_address(forwarder):
    app = GatewayApplication(AnyCallers(), forwarder, GatewayMetrics())
    server = build_server(app, "127.0.0.1:0", threads=2)
    thread = threading.Thread(target=server.run, daemon=True)
    thread.start()
    yield f"127.0.0.1:{server.effective_port}"
    server.task_dispatcher.shutdown()
    server.close()


@pytest.mark.timeout(30)
@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_caller_of_any_version_learns_that_a_stream_broke_off(gateway_address, version):
    """An answer to HTTP/1.0 ends with its connection, so a break looked complete."""
    connection = http.client.HTTPConnection(gateway_address, timeout=10)
    connection._http_vsn_str = f"HTTP/{version}"
    connection._http_vsn = int(version.replace(".", ""))
    connection.request("GET", "/")
    response = connection.getresponse()
    if response.status == 200:
        with pytest.raises(http.client.IncompleteRead):
            response.read()
    else:
        assert response.status == 502
    connection.close()


@pytest.mark.timeout(30)
@pytest.mark.parametrize("forwarder", [EndlessForwarder()], ids=["endless"])
def test_stream_without_end_to_a_caller_of_http_1_0_is_bounded(gateway_address):
    """It is kept until its end, so one could take all of the process's memory."""
    connection = http.client.HTTPConnection(gateway_address, timeout=10)
    connection._http_vsn_str, connection._http_vsn = "HTTP/1.0", 10
    connection.request("GET", "/")
    assert connection.getresponse().status == 502
    connection.close()
    assert received_memory.used_bytes == 0
