"""Answers whose head is malformed: no caller gets them as answers.

Callers got such answers as whole ones, with what had arrived at the connection's end.
"""

import time

import pytest

from hosts import run_deployment
from stand_ins import build_config, build_route
from thornlatch.core.tests.malformed_heads import FAULTS, SOUND_HEAD

FIELDS = b"Thornlatch-Request-Id: REQUEST\r\nThornlatch-Server-Signature: sig\r\n"
STREAM_FIELDS = FIELDS + b"Content-Type: text/event-stream\r\n"
OTHER_EVENTS = b"id: 3\ndata: other\n\nid: 4\ndata: other\n\n"
EVENTS = b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, 5))
FIRST_EVENTS = EVENTS[: len(EVENTS) // 2]
ROUTE_TIMEOUT_S = 3.0
ATTEMPTS = 20
# How the bytes end: bytes of the body that are sent, and whether the connection stays.
WIRES = {
    "whole, closed": (None, False),
    "cut, closed": (len(OTHER_EVENTS) // 2, False),
    "whole, kept open": (None, True),
    "cut, kept open": (len(OTHER_EVENTS) // 2, True),
}
# By the status of an answer, the events by which a host believes what it says of its
# server.
NOTICES = {
    b"503 Full": ["target.pause_requested", "target.limit_changed"],
    b"500 Failed": ["target.leaving_announced"],
}
CONFIG = build_config()
CONFIG["routes"].append(
    build_route("twice", "/twice/", "non_idempotent", "api", maxAttempts=2)
)


@pytest.fixture
def deployment(tmp_path):
    names = "api-1", "api-2", "llm-1", "llm-2"
    with run_deployment(tmp_path, *names, config=CONFIG) as (_, servers, host):
        host.wait_ready()
        yield servers, host


def build_answer(head, path, **how):
    is_stream = path == "/llm/x"
    return head.build(
        OTHER_EVENTS if is_stream else b"other text, as long as the events are!",
        fields=STREAM_FIELDS if is_stream else FIELDS,
        **how,
    )


def call_each(deployment, path, build_plan, heads, *, keeps_open=False):
    """Return status, body, number of requests sent and seconds, by the head's name."""
    servers, host = deployment
    plan = []
    for server in servers.values():
        # The server that gets the request takes the next step.
        server.plan = plan
        server.keeps_open = keeps_open
    outcomes = {}
    for number, (name, head) in enumerate(heads.items()):
        plan[:] = build_plan(head)
        sent = sum(len(server.requests) for server in servers.values())
        began_at = time.monotonic()
        # Equal requests whose runs are aborted again and again are suspected of it.
        response, body = host.call(
            f"{path}{number}", Thornlatch_Model="m" if "llm" in path else ""
        )
        took_s = time.monotonic() - began_at
        sent = sum(len(server.requests) for server in servers.values()) - sent
        outcomes[name] = response.status, body, sent, took_s
    return outcomes


def check(outcomes, is_right):
    wrong = {name: what for name, what in outcomes.items() if not is_right(*what)}
    assert wrong == {}, f"{len(wrong)} of {len(outcomes)}"


def is_failure(status, body):
    return status == 502 and b"outcome-unknown" in body and b"other" not in body


# Guards against: such answers reached callers as whole ones (issue 55).
@pytest.mark.parametrize("wire", WIRES)
@pytest.mark.parametrize("fault", FAULTS)
def test_answer_that_may_not_be_repeated_fails_at_once(deployment, fault, wire):
    sent_bytes, keeps_open = WIRES[wire]
    outcomes = call_each(
        deployment,
        "/once/x",
        lambda head: [build_answer(head, "/once/x", sent_bytes=sent_bytes)],
        FAULTS[fault],
        keeps_open=keeps_open,
    )
    check(
        outcomes,
        lambda status, body, sent, took_s: (
            is_failure(status, body) and sent == 1 and took_s < ROUTE_TIMEOUT_S
        ),
    )


# Guards against: such answers reached callers as whole ones (issue 55).
@pytest.mark.parametrize("wire", WIRES)
@pytest.mark.parametrize("path", ["/many/x", "/llm/x"])
@pytest.mark.parametrize("fault", FAULTS)
def test_request_that_may_be_repeated_goes_on_elsewhere(deployment, fault, path, wire):
    sent_bytes, keeps_open = WIRES[wire]
    outcomes = call_each(
        deployment,
        path,
        lambda head: [build_answer(head, path, sent_bytes=sent_bytes), ""],
        FAULTS[fault],
        keeps_open=keeps_open,
    )
    check(
        outcomes,
        lambda status, body, sent, took_s: (
            status == 200
            and (body == EVENTS if path == "/llm/x" else body.startswith(b"answer of"))
            and sent == 2
            and took_s < ROUTE_TIMEOUT_S
        ),
    )


@pytest.mark.parametrize("path", ["/many/x", "/llm/x"])
@pytest.mark.parametrize("fault", FAULTS)
def test_every_attempt_with_such_a_head_fails(deployment, fault, path):
    outcomes = call_each(
        deployment, path, lambda head: [build_answer(head, path)] * 2, FAULTS[fault]
    )
    check(
        outcomes,
        lambda status, body, sent, took_s: is_failure(status, body) and sent == 2,
    )


@pytest.mark.parametrize("path", ["/once/x", "/llm/x"])
@pytest.mark.parametrize("fault", FAULTS)
def test_such_a_head_on_a_reused_connection_is_a_failure(tmp_path, fault, path):
    name = "llm-1" if path == "/llm/x" else "api-1"
    with run_deployment(tmp_path, name, config=CONFIG) as (_, servers, host):
        host.wait_ready()
        server, deployment = servers[name], (servers, host)
        for case, head in FAULTS[fault].items():
            for _ in range(ATTEMPTS):
                call_each(deployment, path, lambda head: [""], {case: head})
                opened = server.connection_count
                outcomes = call_each(
                    deployment,
                    path,
                    lambda head: [build_answer(head, path)],
                    {case: head},
                )
                check(outcomes, lambda status, body, *_: is_failure(status, body))
                # The caller may have had the stream's end before the host kept the
                # connection.
                if server.connection_count == opened:
                    break
            assert server.connection_count == opened


# Guards against: the events of such an answer were appended to a stream that had broken
# off, which then ended as complete (issue 55).
@pytest.mark.parametrize("wire", WIRES)
@pytest.mark.parametrize("fault", FAULTS)
def test_stream_isn_t_continued_with_such_an_answer(deployment, fault, wire):
    sent_bytes, keeps_open = WIRES[wire]
    outcomes = call_each(
        deployment,
        "/llm/x",
        lambda head: [
            "cut-stream",
            build_answer(head, "/llm/x", sent_bytes=sent_bytes),
        ],
        FAULTS[fault],
        keeps_open=keeps_open,
    )
    # The body is an `IncompleteRead`: the stream was begun and has no end.
    check(
        outcomes,
        lambda status, body, sent, took_s: (
            (status, sent) == (200, 2)
            and getattr(body, "partial", None) == FIRST_EVENTS
        ),
    )


# Guards against: a stream whose server failed in it and wrote such a head was passed on
# with the head as a part of an event, and ended as complete (issue 55).
@pytest.mark.parametrize("break_", [b"", b"id: 3\nda", b"id: 3\ndata: e3"])
@pytest.mark.parametrize("fault", FAULTS)
def test_stream_with_such_a_head_in_it_is_resumed_there(deployment, fault, break_):
    begun = b"HTTP/1.1 200 OK\r\n" + STREAM_FIELDS + b"\r\n" + FIRST_EVENTS + break_
    outcomes = call_each(
        deployment,
        "/llm/x",
        lambda head: [
            begun + head.build(b"other text\n\n", status=b"500 Failed", fields=FIELDS),
            "",
        ],
        FAULTS[fault],
    )
    check(
        outcomes,
        lambda status, body, sent, took_s: (status, body, sent) == (200, EVENTS, 2),
    )


# Guards against: a call that may not be repeated ran at a second server after such a
# refusal of the first one, which may have run it (issue 55).
@pytest.mark.parametrize("status", [b"503 Full", b"421 Misdirected", b"429 Many"])
@pytest.mark.parametrize("fault", FAULTS)
def test_refusal_with_such_a_head_doesn_t_say_that_nothing_ran(
    deployment, fault, status
):
    fields = FIELDS + b"Thornlatch-Not-Executed: 1\r\n"

    def build_plan(head):
        return [head.build(b"other text", status=status, fields=fields), ""]

    outcomes = call_each(deployment, "/twice/x", build_plan, FAULTS[fault])
    check(
        outcomes,
        lambda status, body, sent, took_s: is_failure(status, body) and sent == 1,
    )
    sound = {"sound": SOUND_HEAD}
    [(status, body, sent, _)] = call_each(
        deployment, "/twice/x", build_plan, sound
    ).values()
    assert (status, sent) == (200, 2), body


# Guards against: what such a head said of its server was believed (issue 55).
@pytest.mark.parametrize("status", NOTICES)
@pytest.mark.parametrize("fault", FAULTS)
def test_such_a_head_says_nothing_of_its_server(tmp_path, fault, status):
    notice = (
        b"Thornlatch-Instance-Id: api-1\r\nThornlatch-Server-Load: 8,90,8\r\n"
        b"Server-Leaving: 1\r\nServer-Limit: 0.5\r\nRetry-After: 30\r\n"
    )

    def build_plan(head):
        return [head.build(b"other", status=status, fields=FIELDS + notice)]

    with run_deployment(tmp_path, "api-1", config=CONFIG) as (_, servers, host):
        host.wait_ready()
        deployment = servers, host
        outcomes = call_each(deployment, "/once/x", build_plan, FAULTS[fault])
        check(outcomes, lambda status, body, *_: is_failure(status, body))
        assert [host.list_events(event) for event in NOTICES[status]] == [
            [] for _ in NOTICES[status]
        ]
        call_each(deployment, "/once/x", build_plan, {"sound": SOUND_HEAD})
        for event in NOTICES[status]:
            host.wait_events(event)
