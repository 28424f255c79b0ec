"""Ten troubles: from a request's id to its cause."""

import json

import pytest

from thornlatch.story import LogLine, read_lines, tell_story

HOST, OTHER = "edge-1.aa", "edge-2.bb"


def at(wall, event, host=HOST, **fields):
    return LogLine(event, host, wall, fields)


def own(wall, event, **fields):
    return at(wall, event, request="r1", **fields)


def refused(code, why="", wall=100.0, **fields):
    return own(wall, "request.refused", code=code, why=why, **fields)


def ended(event, outcome, wall=100.0, **fields):
    fields = {"adapter": "m/a1", "sends": 1, "elapsed_s": 1.0, **fields}
    return own(wall, event, outcome=outcome, **fields)


def send_failed(error, **fields):
    return own(99.0, "request.send_failed", target="t1", error=error, **fields)


TROUBLES = {
    "target-dark": (
        [
            send_failed("no answer: TimeoutError()", may_have_run=True),
            ended("request.failed", "target-failed"),
            at(101.5, "target.changed", target="t1", gone=True),
        ],
        "t1 failed it: no answer: TimeoutError(); its registration lapsed",
    ),
    "target-failing-while-healthy": (
        [ended("request.answered", "answered", status=500, target="t1", sends=2)],
        "t1 itself answered 500, after 2 sends",
    ),
    "quota": (
        [
            refused("rate-exceeded", "shop has used its quota"),
            ended("request.failed", "rate-exceeded"),
        ],
        "shop has used its quota over all hosts",
    ),
    "quota-cut": (
        [
            at(97.5, "quota.limit_changed", organisation="shop", rate=50.0, burst=80.0),
            refused("rate-exceeded", "shop has used its quota"),
            ended("request.failed", "rate-exceeded"),
        ],
        "shop has used its quota over all hosts; its limit was changed 2.5 s before,"
        " to 50 a second and a burst of 80",
    ),
    "store-away": (
        [
            at(95.0, "store.lost", error="log-read: TimeoutError()"),
            refused("host-unconfirmed"),
        ],
        "the host had lost the platform's store 5.0 s before (log-read: TimeoutError()",
    ),
    "owner-killed": (
        [
            at(97.0, "fleet.peers_changed", lost=[OTHER], gained=[]),
            own(99.2, "adapter.requested", target="t2", adapter="m/a1"),
            refused("overloaded", "no target"),
            ended("request.failed", "overloaded"),
        ],
        f"nobody ordered m/a1 at any target that was asked: {OTHER}",
    ),
    "version-bump": (
        [
            at(98.0, "version.announced", adapter="m/a1", version=3),
            own(99.0, "request.rejected_by_target", target="t1", status=421),
            refused("overloaded", "t1 rejected it with 421"),
            ended("request.failed", "overloaded"),
        ],
        "version 3 of m/a1 was announced 2.0 s before, and no target had it yet",
    ),
    "revoked-key": (
        [at(99.5, "configuration.read", version=8), refused("unknown-key")],
        "the key isn't in configuration 8, which the host read 0.5 s before",
    ),
    "overload": (
        [
            own(99.2, "adapter.requested", target="t2", adapter="m/a1"),
            at(99.5, "residency.ordered", OTHER, target="t2", adapter="a1"),
            at(99.6, "residency.ordered", OTHER, target="t3", order="LoadAdapter"),
            refused("overloaded", "t2 would start it in 0.81 s"),
            ended("request.failed", "overloaded"),
        ],
        "t2 would start it in 0.81 s; all hosts ordered 1 adapters in the last second",
    ),
    "evicted-adapter": (
        [
            own(
                99.0,
                "request.rejected_by_target",
                target="t1",
                status=421,
                adapter="m/a1",
            ),
            refused("overloaded", "t1 rejected it with 421"),
            ended("request.failed", "overloaded"),
        ],
        "t1 didn't hold m/a1: it answered 421",
    ),
    "caller-left": (
        [ended("request.failed", "caller-left", elapsed_s=2.4)],
        "the caller closed the connection after 2.40 s",
    ),
    "roll-of-hosts": (
        [at(96.0, "host.stopping"), refused("host-stopping", "this host stops")],
        "the host was in a planned stop since 4.0 s",
    ),
    "host-killed": (
        [
            own(99.0, "adapter.requested", target="t2", adapter="m/a1"),
            at(100.0, "host.started", "edge-1.cc"),
        ],
        "the host was lost and started again as edge-1.cc",
    ),
    "cold-adapter": (
        [
            ended(
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


@pytest.mark.parametrize("trouble", TROUBLES)
def test_cause_is_named(trouble):
    lines, cause = TROUBLES[trouble]
    strangers = [
        at(99.9, "request.failed", request="r2", outcome="target-failed"),
        at(99.9, "request.refused", request="r2", code="overloaded"),
    ]
    story = tell_story("r1", sorted([*lines, *strangers], key=lambda one: one.wall))
    assert story.cause.startswith(cause)
    assert not any(line.get("request") == "r2" for line in story.lines)


def test_missing_evidence_is_named():
    left_out = at(99.0, "log.lines_left_out", counts={"adapter.requested": 7})
    story = tell_story("r1", [left_out])
    assert story.cause == ""
    assert story.missing == (
        "no line has this id",
        "7 lines adapter.requested were left out by hosts in this time",
    )
    asked = own(99.5, "adapter.requested", target="t2", adapter="m/a1")
    story = tell_story("r1", [asked, left_out])
    assert "no line says how it ended" in story.missing


def test_logs_are_read_whatever_stands_around_the_events(tmp_path):
    good = {"event": "request.refused", "host": HOST, "wall": 1.5, "request": "r1"}
    path = tmp_path / "host.log"
    path.write_text(
        f"12.5 edge-1 {json.dumps(good)}\nTraceback:\n{{broken\n[1]\n{{}}\n"
    )
    assert read_lines([path]) == [at(1.5, "request.refused", request="r1")]


def test_story_for_readers(snapshot):
    lines, _ = TROUBLES["store-away"]
    assert "\n".join(tell_story("r1", lines).iter_text()) == snapshot
