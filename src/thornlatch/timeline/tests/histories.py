"""A history that keeps every promise, and the changes that break one each."""

from dataclasses import replace

from thornlatch.timeline import LoggedEvent, Promise


def make(event, host="h1", wall=0.0, **fields):
    return LoggedEvent(event, host, wall=1000.0 + wall, **fields)


def build_history():
    """Return the events of one good history by name of the step."""
    call = {"idempotent": False, "idempotency_key": "k", "claim": "h1/1"}
    return {
        "allowance": make(
            "configuration.allowance_in_force",
            organisation="o",
            detail={"rate": 10.0, "burst": 100.0},
        ),
        "configuration": make("configuration.applied", offset=7),
        "owner": make("dispatch.pool_owned", key="pool:p", epoch=3),
        "accept": make("requests.accepted", wall=1, request="r", organisation="o"),
        "spend": make(
            "admission.tokens_spent",
            wall=1,
            request="r",
            organisation="o",
            detail={"tokens": 90.0},
        ),
        "grant": make(
            "dispatch.granted",
            wall=1,
            request="r",
            target="t",
            detail={"adapter_version": "a@1"},
        ),
        "send": make(
            "requests.sent",
            wall=1,
            request="r",
            attempt=1,
            organisation="o",
            target="t",
            detail={"key_digest": "d1", **call},
        ),
        "run": make(
            "target.request_run",
            "t",
            1,
            request="r",
            attempt=1,
            organisation="o",
            target="t",
        ),
        "tokens-1": make(
            "requests.tokens_passed",
            wall=2,
            request="r",
            detail={"first": 0, "count": 3},
        ),
        "tokens-2": make(
            "requests.tokens_passed",
            wall=2,
            request="r",
            detail={"first": 3, "count": 2},
        ),
        "answer": make(
            "requests.answered",
            wall=2,
            request="r",
            detail={"version": "a@1", "requested": "a@1", "tokens": 5},
        ),
        "release": make(
            "dispatch.released",
            wall=2,
            request="r",
            target="t",
            detail={"adapter_version": "a@1"},
        ),
        "evict": make(
            "placement.evict_ordered",
            wall=3,
            target="t",
            key="pool:p",
            epoch=3,
            detail={"adapter_version": "a@1"},
        ),
        "configuration-2": make("configuration.applied", wall=3, offset=9),
        "new-owner": make("dispatch.pool_owned", "h2", 4, key="pool:p", epoch=8),
        "refuse": make(
            "requests.refused",
            wall=5,
            request="q",
            detail={"kind": "overloaded", "execution": "not-run"},
        ),
        "stop": make("daemon.stopped", wall=6),
    }


def change(step, **fields):
    def apply(steps):
        steps[step] = replace(steps[step], **fields)

    return apply


def add(event, *arguments, before="stop", **fields):
    def apply(steps):
        tail = list(steps)[list(steps).index(before) :]
        kept = {name: steps.pop(name) for name in tail}
        steps[f"added {event} {len(steps)}"] = make(event, *arguments, **fields)
        steps.update(kept)

    return apply


def drop(step):
    return lambda steps: steps.pop(step)


def both(*changes):
    return lambda steps: [one(steps) for one in changes]


CALL = {"idempotent": False, "idempotency_key": "k", "claim": "h2/1"}
SENT = {"organisation": "o", "target": "t"}

CORRUPTIONS = {
    "burst-exceeded": (
        Promise.ALLOWANCE,
        "o",
        add(
            "admission.tokens_spent",
            "h2",
            2,
            before="answer",
            organisation="o",
            detail={"tokens": 30.0},
        ),
    ),
    "two-owners-of-epoch": (
        Promise.ONE_OWNER,
        "pool:p",
        add("dispatch.pool_owned", "h3", 4, key="pool:p", epoch=8),
    ),
    "order-of-replaced-owner": (
        Promise.ONE_OWNER,
        "pool:p",
        add("placement.load_ordered", wall=5, target="t", key="pool:p", epoch=3),
    ),
    "call-run-twice": (
        Promise.AT_MOST_ONCE,
        "r",
        add("target.request_run", "t2", 5, request="r", attempt=2),
    ),
    "call-run-again-under-its-key": (
        Promise.AT_MOST_ONCE,
        "r, s",
        both(
            add("requests.sent", "h2", 5, request="s", detail=CALL, **SENT),
            add("target.request_run", "t", 5, request="s", attempt=1),
        ),
    ),
    "evicted-while-granted": (Promise.PINNED, "r", drop("release")),
    "wrong-version": (
        Promise.RIGHT_VERSION,
        "r",
        change("answer", detail={"version": "a@2", "requested": "a@1", "tokens": 5}),
    ),
    "work-for-leaving-target": (
        Promise.LEAVING_TARGET,
        "r",
        add("dispatch.target_leaving", "h2", -5, before="send", target="t"),
    ),
    "refused-request-ran": (
        Promise.NOT_RUN,
        "q",
        add("target.request_run", "t", 4, request="q", attempt=1),
    ),
    "gap-in-stream": (
        Promise.WHOLE_ANSWER,
        "r",
        change("tokens-2", detail={"first": 4, "count": 1}),
    ),
    "repeat-in-stream": (
        Promise.WHOLE_ANSWER,
        "r",
        change("tokens-2", detail={"first": 2, "count": 3}),
    ),
    "end-of-stream-missing": (Promise.WHOLE_ANSWER, "r", drop("tokens-2")),
    "configuration-reverted": (
        Promise.NEVER_REVERTS,
        "h1",
        change("configuration-2", offset=6),
    ),
    "withdrawn-key-used": (
        Promise.WITHDRAWN_KEY,
        "r",
        add(
            "configuration.key_withdrawn",
            "h2",
            -5,
            before="send",
            detail={"digest": "d1"},
        ),
    ),
    "stop-cut-request": (
        Promise.PLANNED_STOP,
        "s",
        add("requests.accepted", wall=5, request="s", organisation="o"),
    ),
    "other-organisation": (
        Promise.OWN_ORGANISATION,
        "r",
        change("run", organisation="p"),
    ),
    "key-shown-to-target": (
        Promise.NO_KEY,
        "r",
        change("run", detail={"has_key": True}),
    ),
}
