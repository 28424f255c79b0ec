"""The promises that are checked on what callers and servers saw."""

from collections import Counter, defaultdict

from tests.soak.callers import DEADLINE_MS, list_events

CALM_S = 3.0  # after an unplanned fault until bounds in time hold again
REVOCATION_S = 5.0
DRAIN_S = 2.0
APPLY_S = 2.0
QUOTA_WINDOW_S = 8.0
QUOTA = 600 * QUOTA_WINDOW_S + 1200
QUOTA_LIMIT = QUOTA * 1.1 + 17000 / 5  # the tolerance of a smaller deployment
TARGETS = 2
NOT_RUN = {408, 421, 429, 503}
STREAM_EVENTS = list(range(1, 13))
DEADLINE_SLACK_MS = 500


def check_promises(world):
    """Return the broken promises of a run, each with what shows it.

    Parameters
    ----------
    world : World

    Returns
    -------
    list of (str, str)
    """
    broken = list(world.journal.broken)
    arrivals = list(world.journal.arrivals)
    runs = defaultdict(list)
    for arrival in arrivals:
        if arrival.ran:
            runs[arrival.request].append(arrival)
    for outcome in world.outcomes:
        ran = runs.get(outcome.request, [])
        for promise, detail in _check_outcome(outcome, ran):
            broken.append((promise, f"{detail}: {outcome}, ran {ran}"))
    broken += _check_runs(world, runs, arrivals)
    broken += _check_quota(arrivals)
    broken += _check_configuration(world)
    broken += _check_stops(world)
    return broken


def _check_outcome(outcome, ran):
    is_stream = outcome.kind == "llm"
    if outcome.kind == "once" and len(ran) > 1:
        yield "at most once", f"{len(ran)} runs"
    if outcome.status in NOT_RUN and ran and (outcome.kind == "once"):
        yield "not run is true", f"{outcome.status} after a run"
    if len({arrival.server for arrival in ran}) > TARGETS:
        yield "attempts", f"{len(ran)} targets"
    if outcome.status == 200 and not outcome.signature:
        yield "whole answers", "no signature"
    if outcome.status == 200 and outcome.is_whole and not is_stream:
        expected = f"{outcome.request} {outcome.signature.removeprefix('sig-')}"
        if outcome.body != expected.encode():
            yield "whole answers", "another body"
    if outcome.status == 200 and is_stream:
        numbers = list_events(outcome.body)
        if outcome.is_whole and numbers != STREAM_EVENTS:
            yield "streams in order", "ended as complete"
        if numbers is not None and numbers != STREAM_EVENTS[: len(numbers)]:
            yield "streams in order", "gap or repeat"


def _check_runs(world, runs, arrivals):
    withdrawn = _list_withdrawn(world)
    by_request = {outcome.request: outcome for outcome in world.outcomes}
    organisations = {"key-1": "shop", "key-2": "shop", "key-3": "small"}
    for arrival in arrivals:
        outcome = by_request.get(arrival.request)
        if arrival.has_key:
            yield "no target sees a key", str(arrival)
        if outcome is None:
            continue
        if arrival.deadline_ms > DEADLINE_MS + DEADLINE_SLACK_MS:
            yield "deadlines", str(arrival)
        is_keyed = outcome.kind != "open"
        if is_keyed and arrival.organisation != organisations[outcome.key]:
            yield "own organisation", f"{arrival} for {outcome.key}"
        for since, until in withdrawn:
            is_late = since + REVOCATION_S < outcome.sent_at < until
            if is_keyed and outcome.key == "key-2" and is_late and arrival.ran:
                yield "withdrawn keys", f"{arrival}, withdrawn at {since}"
    for server, since, until in world.leaving:
        for arrival in arrivals:
            outcome = by_request.get(arrival.request)
            is_late = since + DRAIN_S < arrival.at < until
            if (
                arrival.server == server
                and is_late
                and outcome is not None
                and outcome.sent_at > since + DRAIN_S
                and not _is_disturbed(world, since, arrival.at)
            ):
                yield "leaving targets", f"{arrival}, leaving since {since}"


def _check_quota(arrivals):
    ran = sorted(
        (one.at, one.tokens)
        for one in arrivals
        if one.ran and one.organisation == "small"
    )
    first, total = 0, 0
    for at, tokens in ran:
        total += tokens
        while ran[first][0] <= at - QUOTA_WINDOW_S:
            total -= ran[first][1]
            first += 1
        if total > QUOTA_LIMIT:
            yield "quota", f"{total} tokens in the 8 s before {at}"
            return


def _check_configuration(world):
    """No host goes back within one life, and new routes are there in time."""
    seen = defaultdict(list)
    for outcome in sorted(world.outcomes, key=lambda one: one.sent_at):
        if outcome.kind == "new" and outcome.status in (200, 404):
            seen[outcome.host, outcome.life].append(outcome)
    for (host, _), outcomes in seen.items():
        for outcome in outcomes:
            allowed = _list_states(world, outcome.sent_at, outcome.ended_at)
            if (outcome.status == 200) in allowed:
                continue
            if not _is_disturbed(world, outcome.sent_at, outcome.ended_at):
                yield "configuration", f"{host} answered {outcome}"


def _list_states(world, sent_at, ended_at):
    """Return whether the route may or may not be there for a request."""
    states, before = set(), None
    for at, has_new, _ in world.published:
        if at <= sent_at - APPLY_S:
            before = has_new
        elif at <= ended_at:
            states.add(has_new)
    return states | {before}


def _check_stops(world):
    """Return requests that a planned stop cut, where nothing else was wrong."""
    for outcome in world.outcomes:
        if outcome.status and outcome.is_whole:
            continue
        stops = [
            span
            for span in world.spans
            if span.kind in ("stop_host", "roll_hosts")
            and outcome.host in span.scope.split()
            and span.began_at - 1 < outcome.ended_at
            and outcome.sent_at < span.began_at + 3
        ]
        was_read = any(one.request == outcome.request for one in world.journal.arrivals)
        is_disturbed = _is_disturbed(world, outcome.sent_at, outcome.ended_at)
        if stops and was_read and not is_disturbed:
            yield "planned stop", f"cut {outcome}"


def _list_withdrawn(world):
    spans, since = [], None
    for at, _, keys in world.published:
        if "key-2" not in keys and since is None:
            since = at
        elif "key-2" in keys and since is not None:
            spans.append((since, at))
            since = None
    return spans if since is None else [*spans, (since, float("inf"))]


def _is_disturbed(world, began_at, ended_at):
    """Return whether an unplanned fault or a stall of the machine was near."""
    unplanned = [
        (span.began_at, span.ended_at) for span in world.spans if not span.is_planned
    ]
    return any(
        since < ended_at and until > began_at - CALM_S
        for since, until in unplanned + world.stalls
    )


def count_broken(broken):
    """Return how often each promise was broken.

    Parameters
    ----------
    broken : list of (str, str)

    Returns
    -------
    Counter
    """
    return Counter(promise for promise, _ in broken)
