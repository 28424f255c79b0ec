"""Answers whose status line is none: no caller gets them as answers.

On other systems the answer of a server in trouble, with status 000, was passed on.
"""

import re
import socket

import pytest

from adapter._protocols import PlatformTargetProtocol
from adapter._store import StoreClient, StoreError
from hosts import run_deployment
from status_lines import BAD_LINES, GOOD_LINES
from thornlatch.core.tests.scripted import ExtraTarget
from thornlatch.exceptions import TargetError
from thornlatch.fleet import StoreContact
from thornlatch.gateway import GatewayMetrics, StoreEpochs
from thornlatch.residency import LoadAdapter, NumberedOrder, OrderOutcome

MODEL = {"Thornlatch_Model": "m"}
HEAD = b"\r\nThornlatch-Request-Id: REQUEST\r\nThornlatch-Server-Signature: sig\r\n"
STREAM_HEAD = HEAD + b"Content-Type: text/event-stream\r\n"
OTHER_EVENTS = b"id: 3\ndata: other\n\nid: 4\ndata: other\n\n"
EVENTS = b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, 5))
AT_LINE_START = re.compile(rb"(?s)HTTP/\d.*")
INSIDE_LINE = re.compile(rb"HTTP/[\w.]* *[+-]?\d[^\r]*")
OWN_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2} [ -~]*\r\n")


def build_answer(line, body=b"other text", head=HEAD):
    return line + head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def build_stream(line):
    return build_answer(line, OTHER_EVENTS, STREAM_HEAD)


@pytest.fixture
def deployment(tmp_path):
    names = "api-1", "api-2", "llm-1", "llm-2"
    with run_deployment(tmp_path, *names) as (_, servers, host):
        host.wait_ready()
        yield servers, host


def call_each(deployment, build_plan, path, lines=BAD_LINES):
    """Return status, body and number of requests sent, by the case's name."""
    servers, host = deployment
    plan = []
    for server in servers.values():
        # The server that gets the request takes the next step.
        server.plan = plan
    outcomes = {}
    for number, (name, line) in enumerate(lines.items()):
        plan[:] = build_plan(line)
        sent = sum(len(server.requests) for server in servers.values())
        # Equal requests whose runs are aborted again and again are suspected of it.
        response, body = host.call(
            f"{path}{number}", **(MODEL if path == "/llm/x" else {})
        )
        sent = sum(len(server.requests) for server in servers.values()) - sent
        outcomes[name] = response.status, body, sent
    return outcomes


def check(outcomes, is_right):
    wrong = {name: what for name, what in outcomes.items() if not is_right(*what)}
    assert wrong == {}


def is_failure(status, body):
    return status == 502 and b"outcome-unknown" in body and b"other" not in body


def test_answer_that_may_not_be_repeated_is_a_failure_that_may_have_run(deployment):
    outcomes = call_each(deployment, lambda line: [build_answer(line)], "/once/x")
    check(outcomes, lambda status, body, sent: is_failure(status, body) and sent == 1)


@pytest.mark.parametrize("path", ["/many/x", "/llm/x"])
def test_every_attempt_with_such_a_line_fails(deployment, path):
    build = build_answer if path == "/many/x" else build_stream
    outcomes = call_each(deployment, lambda line: [build(line)] * 2, path)
    check(outcomes, lambda status, body, sent: is_failure(status, body) and sent == 2)


@pytest.mark.parametrize("path", ["/many/x", "/llm/x"])
def test_request_that_may_be_repeated_goes_on_elsewhere(deployment, path):
    build = build_answer if path == "/many/x" else build_stream
    outcomes = call_each(deployment, lambda line: [build(line), ""], path)
    check(
        outcomes,
        lambda status, body, sent: status == 200 and b"other" not in body and sent == 2,
    )


def test_stream_isn_t_continued_with_such_an_answer(deployment):
    outcomes = call_each(
        deployment, lambda line: ["cut-stream", build_stream(line)], "/llm/x"
    )
    # The body is an `IncompleteRead`: the stream was begun and has no end.
    check(
        outcomes,
        lambda status, body, sent: (
            (status, sent) == (200, 2) and getattr(body, "partial", None) == EVENTS[:32]
        ),
    )


@pytest.mark.parametrize("break_", [b"", b"id: 3\nda", b"id: 3\ndata: e3"])
def test_stream_with_such_a_line_in_it_is_resumed_there(deployment, break_):
    """A target that fails in a stream that closing ends writes a new head into it."""
    begun = b"HTTP/1.1 200 OK" + STREAM_HEAD + b"\r\n" + EVENTS[:32] + break_
    # Others can't be told from the text of an event.
    pattern = INSIDE_LINE if break_ else AT_LINE_START
    lines = {name: line for name, line in BAD_LINES.items() if pattern.fullmatch(line)}
    assert len(lines) > 15
    outcomes = call_each(
        deployment, lambda line: [begun + build_stream(line), ""], "/llm/x", lines
    )
    check(outcomes, lambda *what: what == (200, EVENTS, 2))


def test_such_a_line_on_a_kept_connection_is_a_failure(tmp_path):
    with run_deployment(tmp_path, "api-1") as (_, servers, host):
        host.wait_ready()
        opened = []

        def build_plan(line):
            opened.append(servers["api-1"].connection_count)
            return [build_answer(line)]

        for name, line in BAD_LINES.items():
            deployment = servers, host
            call_each(deployment, lambda line: [""], "/once/x", {name: line})
            outcomes = call_each(deployment, build_plan, "/once/x", {name: line})
            check(outcomes, lambda status, body, sent: is_failure(status, body))
            assert servers["api-1"].connection_count == opened[-1]


def test_sound_status_lines_are_passed_on(deployment):
    outcomes = call_each(
        deployment,
        # Else a call might be sent on a connection that the stand-in is closing.
        lambda line: [build_answer(line[0], head=HEAD + b"Connection: close\r\n")],
        "/once/x",
        GOOD_LINES,
    )
    expected = {
        name: (status, b"other text", 1) for name, (_, status) in GOOD_LINES.items()
    }
    assert outcomes == expected


@pytest.fixture
def scripted():
    target = ExtraTarget(b"")
    yield target
    target.close()


def test_orders_and_reports_with_such_a_line_have_no_known_outcome(scripted):
    """An order would count as refused, or as carried out, that may have run."""
    protocol = PlatformTargetProtocol("h")
    order = NumberedOrder(LoadAdapter("m", "a1", 1), 0)
    report = b'{"loadedModels": [], "sequence": 7}'
    wrong = {}
    for name, line in BAD_LINES.items():
        scripted.answer = build_answer(line, report, b"\r\n")
        reply = protocol.send_order(scripted.address, "llm-1", order, 1)
        if reply.outcome is not OrderOutcome.UNKNOWN:
            wrong[name] = reply
        try:
            wrong[name] = protocol.read_report(scripted.address, "llm-1")
        except TargetError as error:
            if not error.is_sent or error.status is not None:
                wrong[name] = error
    assert wrong == {}


def test_store_answer_with_such_a_line_is_a_failed_call(scripted):
    metrics = GatewayMetrics()
    client = StoreClient(scripted.address, metrics, StoreEpochs(), StoreContact())
    sound = build_answer(b"HTTP/1.1 200 OK", b'{"items": [], "endOffset": 7}', b"\r\n")
    wrong = {}
    for name, line in BAD_LINES.items():
        scripted.answer = sound
        client.read_latest("t")  # leaves a kept connection
        scripted.answer = sound.replace(b"HTTP/1.1 200 OK", line)
        try:
            wrong[name] = client.read_latest("t")
        except StoreError as error:
            if error.status is not None or client.connection is not None:
                wrong[name] = error
    assert wrong == {}


def exchange(port, data):
    received = b""
    with socket.create_connection(("127.0.0.1", port), timeout=10) as caller:
        caller.sendall(data)
        caller.shutdown(socket.SHUT_WR)
        while data := caller.recv(1 << 16):
            received += data
    return received


REQUEST_LINES = [
    b"GET /open/x HTTP/1.1",
    b"GET /open/x HTTP/1.0",
    b"GET /open/x HTTP/1.7",
    b"GET /open/x HTTP/2.0",
    b"GET /open/x",
    b"GET /nowhere HTTP/1.1",
    b"GET http://[ HTTP/1.1",
    b"\xff\xfe",
    b"G\0T / HTTP/1.1",
    b"GET /" + b"x" * 20_000 + b" HTTP/1.1",
]


def test_status_lines_of_this_host_are_sound(deployment):
    _, host = deployment
    fields = b"\r\nHost: a.example\r\nThornlatch-Request-Id: r1\r\n"
    bodies = [
        b"\r\n",
        b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\nx",
        b"a\r\n\r\n",
    ]
    ports = [host.callers, host.readiness_port, host.internal_port + 1]
    for port in ports:
        for line in REQUEST_LINES:
            for body in bodies:
                received = exchange(port, line + fields + body)
                assert not received or OWN_STATUS_LINE.match(received), received
