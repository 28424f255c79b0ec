"""Recognition of the cause of a request's outcome, with a case per kind of cause."""

import json

import pytest

from thornlatch.story import LogLine, explain_request, read_lines

HOST, OTHER = "edge-1.aa", "edge-2.bb"


def make_line(wall, event, host=HOST, **fields):
    return LogLine(event, host, wall, fields)


def make_request_line(wall, event, **fields):
    return make_line(wall, event, request="r1", **fields)


def make_refusal(code, why="", wall=100.0, **fields):
    return make_request_line(wall, "request.refused", code=code, why=why, **fields)


def make_end(event, outcome, wall=100.0, **fields):
    fields = {"adapter": "m/a1", "sends": 1, "elapsed_s": 1.0, **fields}
    return make_request_line(wall, event, outcome=outcome, **fields)


def make_send_failure(error, **fields):
    return make_request_line(
        99.0, "request.send_failed", target="t1", error=error, **fields
    )


CASES = {
    "target-unreachable": (
        [
            make_send_failure("no answer: TimeoutError()", may_have_run=True),
            make_end("request.failed", "target-failed"),
            make_line(101.5, "target.changed", target="t1", gone=True),
        ],
        "the request failed at t1: no answer: TimeoutError(); the target's registration"
        " expired",
    ),
    "crash-suspect": (
        [
            make_line(97.0, "suspects.part_blocked", part="p1", crashes=4),
            make_refusal("target-failed", "part p1 of the prompt crashed its targets"),
        ],
        "refused without being sent: part p1 of the prompt crashed its targets; p1 was"
        " blocked 3.0 s before after 4 crashes",
    ),
    "all-targets-pause": (
        [
            make_line(98.0, "target.pause_requested", target="t1", pause_s=5.0),
            make_refusal("overloaded", "all targets of service s asked for a pause"),
        ],
        "all targets of service s asked for a pause; the last one, t1, of 5.0 s, 2.0 s"
        " before",
    ),
    "target-failing-while-healthy": (
        [make_end("request.answered", "answered", status=500, target="t1", sends=2)],
        "t1 itself answered 500, after 2 sends",
    ),
    "quota": (
        [
            make_refusal("rate-exceeded", "shop has used its quota"),
            make_end("request.failed", "rate-exceeded"),
        ],
        "shop has used its quota over all hosts",
    ),
    "quota-lowered": (
        [
            make_line(
                97.5, "quota.limit_changed", organisation="shop", rate=50.0, burst=80.0
            ),
            make_refusal("rate-exceeded", "shop has used its quota"),
            make_end("request.failed", "rate-exceeded"),
        ],
        "shop has used its quota over all hosts; its limit was changed 2.5 s before,"
        " to 50 a second and a burst of 80",
    ),
    "all-targets-evacuated": (
        [
            make_line(90.0, "evacuation.began", domain="z1"),
            make_refusal("no-target", "the targets are in evacuated failure domains"),
            make_end("request.failed", "no-target"),
        ],
        "refused without being sent: the targets are in evacuated failure domains; z1"
        " since 10.0 s before",
    ),
    "no-target-in-the-region": (
        [
            make_refusal("region-unavailable", "no target of service s in eu"),
            make_end("request.failed", "region-unavailable"),
        ],
        "refused without being sent: no target of service s in eu",
    ),
    "store-unavailable": (
        [
            make_line(95.0, "store.lost", error="log-read: TimeoutError()"),
            make_refusal("host-unconfirmed"),
        ],
        "the host had lost the platform's store 5.0 s before (log-read: TimeoutError()",
    ),
    "owner-killed": (
        [
            make_line(97.0, "fleet.peers_changed", lost=[OTHER], gained=[]),
            make_request_line(99.2, "adapter.requested", target="t2", adapter="m/a1"),
            make_refusal("overloaded", "no target"),
            make_end("request.failed", "overloaded"),
        ],
        f"no host ordered m/a1 at any requested target: {OTHER}",
    ),
    "version-announced": (
        [
            make_line(98.0, "version.announced", adapter="m/a1", version=3),
            make_request_line(
                99.0, "request.rejected_by_target", target="t1", status=421
            ),
            make_refusal("overloaded", "t1 rejected it with 421"),
            make_end("request.failed", "overloaded"),
        ],
        "version 3 of m/a1 was announced 2.0 s before, and no target had it yet",
    ),
    "withdrawn-key": (
        [make_line(99.5, "configuration.read", version=8), make_refusal("unknown-key")],
        "the key isn't in configuration 8, which the host read 0.5 s before",
    ),
    "overload": (
        [
            make_request_line(99.2, "adapter.requested", target="t2", adapter="m/a1"),
            make_line(99.5, "residency.ordered", OTHER, target="t2", adapter="a1"),
            make_line(
                99.6, "residency.ordered", OTHER, target="t3", order="LoadAdapter"
            ),
            make_refusal("overloaded", "t2 would start it in 0.81 s"),
            make_end("request.failed", "overloaded"),
        ],
        "t2 would start it in 0.81 s; all hosts ordered 1 adapters in the last second",
    ),
    "evicted-adapter": (
        [
            make_request_line(
                99.0,
                "request.rejected_by_target",
                target="t1",
                status=421,
                adapter="m/a1",
            ),
            make_refusal("overloaded", "t1 rejected it with 421"),
            make_end("request.failed", "overloaded"),
        ],
        "t1 had not loaded m/a1: it answered 421",
    ),
    "caller-left": (
        [make_end("request.failed", "caller-left", elapsed_s=2.4)],
        "the caller closed the connection after 2.40 s",
    ),
    "planned-stop": (
        [
            make_line(96.0, "host.stopping"),
            make_refusal("host-stopping", "this host stops"),
        ],
        "the host had been in a planned stop for 4.0 s",
    ),
    "host-killed": (
        [
            make_request_line(99.0, "adapter.requested", target="t2", adapter="m/a1"),
            make_line(100.0, "host.started", "edge-1.cc"),
        ],
        "the host terminated and was restarted as edge-1.cc",
    ),
    "cold-adapter": (
        [
            make_end(
                "request.answered",
                "answered",
                status=200,
                first_s=0.9,
                waited_s=0.7,
                objective_s=0.6,
            )
        ],
        "late: it waited 0.70 s of 0.90 s for m/a1 to be ready",
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_cause_is_recognised(name):
    lines, cause = CASES[name]
    unrelated = [
        make_line(99.9, "request.failed", request="r2", outcome="target-failed"),
        make_line(99.9, "request.refused", request="r2", code="overloaded"),
    ]
    explanation = explain_request(
        "r1", sorted([*lines, *unrelated], key=lambda line: line.wall)
    )
    assert explanation.cause.startswith(cause)
    assert not any(line.get("request") == "r2" for line in explanation.lines)


def test_missing_lines_are_reported():
    dropped = make_line(99.0, "log.lines_left_out", counts={"adapter.requested": 7})
    explanation = explain_request("r1", [dropped])
    assert explanation.cause == ""
    assert explanation.missing == (
        "no line has this id",
        "7 lines of adapter.requested were dropped by hosts in this period",
    )
    load_request = make_request_line(
        99.5, "adapter.requested", target="t2", adapter="m/a1"
    )
    explanation = explain_request("r1", [load_request, dropped])
    assert "no line reports its outcome" in explanation.missing


def test_read_lines_skips_text_around_events(tmp_path):
    event = {"event": "request.refused", "host": HOST, "wall": 1.5, "request": "r1"}
    path = tmp_path / "host.log"
    path.write_text(
        f"12.5 edge-1 {json.dumps(event)}\nTraceback:\n{{broken\n[1]\n{{}}\n"
    )
    assert read_lines([path]) == [make_line(1.5, "request.refused", request="r1")]


@pytest.mark.parametrize("wall", ["soon", None, [1], True, float("nan"), 10**400])
def test_read_lines_skips_events_without_a_time(tmp_path, wall):
    event = {"event": "request.refused", "host": HOST, "wall": wall}
    path = tmp_path / "host.log"
    path.write_text(json.dumps(event) + "\n")
    assert read_lines([path]) == []


def test_report_text(snapshot):
    lines, _ = CASES["store-unavailable"]
    assert "\n".join(explain_request("r1", lines).iter_text()) == snapshot
