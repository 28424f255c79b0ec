"""A history without violations, and changes that each violate one promise."""

from dataclasses import replace

from thornlatch.timeline import LoggedEvent, Promise


def make_event(event, host="h1", wall=0.0, **fields):
    return LoggedEvent(event, host, wall=1000.0 + wall, **fields)


def build_history():
    """Return the events of a history without violations by name of the step."""
    call = {"idempotent": False, "idempotency_key": "k", "claim": "h1/1"}
    return {
        "allowance": make_event(
            "configuration.allowance_in_force",
            organisation="o",
            detail={"rate": 10.0, "burst": 100.0},
        ),
        "configuration": make_event("configuration.applied", offset=7),
        "owner": make_event("dispatch.pool_owned", key="pool:p", epoch=3),
        "accept": make_event(
            "requests.accepted", wall=1, request="r", organisation="o"
        ),
        "spend": make_event(
            "admission.tokens_spent",
            wall=1,
            request="r",
            organisation="o",
            detail={"tokens": 90.0},
        ),
        "grant": make_event(
            "dispatch.granted",
            wall=1,
            request="r",
            target="t",
            detail={"adapter_version": "a@1"},
        ),
        "send": make_event(
            "requests.sent",
            wall=1,
            request="r",
            attempt=1,
            organisation="o",
            target="t",
            detail={"key_digest": "d1", **call},
        ),
        "run": make_event(
            "target.request_run",
            "t",
            1,
            request="r",
            attempt=1,
            organisation="o",
            target="t",
        ),
        "tokens-1": make_event(
            "requests.tokens_passed",
            wall=2,
            request="r",
            detail={"first": 0, "count": 3},
        ),
        "tokens-2": make_event(
            "requests.tokens_passed",
            wall=2,
            request="r",
            detail={"first": 3, "count": 2},
        ),
        "answer": make_event(
            "requests.answered",
            wall=2,
            request="r",
            detail={"version": "a@1", "requested": "a@1", "tokens": 5},
        ),
        "release": make_event(
            "dispatch.released",
            wall=2,
            request="r",
            target="t",
            detail={"adapter_version": "a@1"},
        ),
        "evict": make_event(
            "placement.evict_ordered",
            wall=3,
            target="t",
            key="pool:p",
            epoch=3,
            detail={"adapter_version": "a@1"},
        ),
        "configuration-2": make_event("configuration.applied", wall=3, offset=9),
        "new-owner": make_event("dispatch.pool_owned", "h2", 4, key="pool:p", epoch=8),
        "refuse": make_event(
            "requests.refused",
            wall=5,
            request="q",
            detail={"kind": "overloaded", "execution": "not-run"},
        ),
        "stop": make_event("daemon.stopped", wall=6),
    }


def replace_fields(step, **fields):
    def apply(steps):
        steps[step] = replace(steps[step], **fields)

    return apply


def insert_event(event, *arguments, before="stop", **fields):
    def apply(steps):
        later_names = list(steps)[list(steps).index(before) :]
        later_steps = {name: steps.pop(name) for name in later_names}
        steps[f"added {event} {len(steps)}"] = make_event(event, *arguments, **fields)
        steps.update(later_steps)

    return apply


def remove_step(step):
    return lambda steps: steps.pop(step)


def apply_all(*changes):
    return lambda steps: [change(steps) for change in changes]


CALL = {"idempotent": False, "idempotency_key": "k", "claim": "h2/1"}
SENT = {"organisation": "o", "target": "t"}

CORRUPTIONS = {
    "burst-exceeded": (
        Promise.ALLOWANCE,
        "o",
        insert_event(
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
        insert_event("dispatch.pool_owned", "h3", 4, key="pool:p", epoch=8),
    ),
    "order-of-replaced-owner": (
        Promise.ONE_OWNER,
        "pool:p",
        insert_event(
            "placement.load_ordered", wall=5, target="t", key="pool:p", epoch=3
        ),
    ),
    "call-run-twice": (
        Promise.AT_MOST_ONCE,
        "r",
        insert_event("target.request_run", "t2", 5, request="r", attempt=2),
    ),
    "call-repeated-with-idempotency-key": (
        Promise.AT_MOST_ONCE,
        "r, s",
        apply_all(
            insert_event("requests.sent", "h2", 5, request="s", detail=CALL, **SENT),
            insert_event("target.request_run", "t", 5, request="s", attempt=1),
        ),
    ),
    "evicted-while-granted": (Promise.PINNED, "r", remove_step("release")),
    "wrong-version": (
        Promise.RIGHT_VERSION,
        "r",
        replace_fields(
            "answer", detail={"version": "a@2", "requested": "a@1", "tokens": 5}
        ),
    ),
    "request-sent-to-leaving-target": (
        Promise.LEAVING_TARGET,
        "r",
        insert_event("dispatch.target_leaving", "h2", -5, before="send", target="t"),
    ),
    "refused-request-ran": (
        Promise.NOT_RUN,
        "q",
        insert_event("target.request_run", "t", 4, request="q", attempt=1),
    ),
    "gap-in-stream": (
        Promise.WHOLE_ANSWER,
        "r",
        replace_fields("tokens-2", detail={"first": 4, "count": 1}),
    ),
    "repetition-in-stream": (
        Promise.WHOLE_ANSWER,
        "r",
        replace_fields("tokens-2", detail={"first": 2, "count": 3}),
    ),
    "end-of-stream-missing": (Promise.WHOLE_ANSWER, "r", remove_step("tokens-2")),
    "configuration-reverted": (
        Promise.NEVER_REVERTS,
        "h1",
        replace_fields("configuration-2", offset=6),
    ),
    "withdrawn-key-used": (
        Promise.WITHDRAWN_KEY,
        "r",
        insert_event(
            "configuration.key_withdrawn",
            "h2",
            -5,
            before="send",
            detail={"digest": "d1"},
        ),
    ),
    "request-unanswered-at-stop": (
        Promise.PLANNED_STOP,
        "s",
        insert_event("requests.accepted", wall=5, request="s", organisation="o"),
    ),
    "wrong-organisation": (
        Promise.OWN_ORGANISATION,
        "r",
        replace_fields("run", organisation="p"),
    ),
    "key-shown-to-target": (
        Promise.NO_KEY,
        "r",
        replace_fields("run", detail={"has_key": True}),
    ),
}
