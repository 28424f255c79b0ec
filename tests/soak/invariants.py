"""Invariants that are checked on the outcomes at callers and servers."""

from collections import Counter, defaultdict

from tests.soak.callers import DEADLINE_MS, list_events, list_versions

# Drains, configurations and planned stops are not checked during an unplanned fault or
# a stall, and for this long after it.
SETTLING_S = 3.0
REVOCATION_LIMIT_S = 5.0
DRAIN_LIMIT_S = 2.0
PAUSE_SLACK_S = 0.5
MAX_ARRIVALS_IN_PAUSE = 2
APPLY_LIMIT_S = 2.0
QUOTA_WINDOW_S = 8.0
QUOTA_TOKENS = 600 * QUOTA_WINDOW_S + 1200
# A small deployment may exceed the quota by 10 % and 3,400 tokens.
QUOTA_LIMIT_TOKENS = QUOTA_TOKENS * 1.1 + 17000 / 5
MAX_TARGETS = 2
MAX_JOINED_STREAMS = 2  # of two software versions, in a run
LIMIT_WINDOW_S = 4.0
LIMIT_SETTLING_S = 3.0  # after a server has first named its limit
LIMIT_RATIO, LIMIT_SLACK = 1.5, 5
NOT_RUN_STATUSES = {408, 421, 429, 503}
EVENT_NUMBERS = list(range(1, 13))
DEADLINE_SLACK_MS = 500


def check_invariants(world):
    """Return the violations of a run: the invariant and the evidence of each.

    Parameters
    ----------
    world : World

    Returns
    -------
    list of (str, str)
    """
    violations = list(world.observations.violations)
    arrivals = list(world.observations.arrivals)
    runs_by_request = defaultdict(list)
    for arrival in arrivals:
        if arrival.was_run:
            runs_by_request[arrival.request].append(arrival)
    for outcome in world.outcomes:
        runs = runs_by_request.get(outcome.request, [])
        for invariant, detail in _check_outcome(outcome, runs):
            violations.append((invariant, f"{detail}: {outcome}, runs {runs}"))
    violations += _check_arrivals(world, runs_by_request, arrivals)
    violations += _check_quota(arrivals)
    violations += _check_configuration(world)
    violations += _check_reverts(world)
    violations += _check_stops(world)
    violations += _check_announced(world, arrivals)
    violations += _check_pauses(world)
    violations += _check_versions(world)
    violations += _check_limits(world, arrivals)
    return violations


def _check_outcome(outcome, runs):
    is_stream = outcome.kind == "llm"
    if outcome.kind == "once" and len(runs) > 1:
        yield "at most once", f"{len(runs)} runs"
    if outcome.status in NOT_RUN_STATUSES and runs and (outcome.kind == "once"):
        yield "truthful not-run status", f"status {outcome.status} after a run"
    if len({arrival.server for arrival in runs}) > MAX_TARGETS:
        yield "attempts", f"{len(runs)} runs at more than {MAX_TARGETS} targets"
    if outcome.status == 200 and not outcome.signature:
        yield "complete answers", "no signature"
    if outcome.status == 200 and outcome.is_complete and not is_stream:
        expected = f"{outcome.request} {outcome.signature.removeprefix('sig-')}"
        if outcome.body != expected.encode():
            yield "complete answers", "unexpected body"
    if outcome.status == 200 and is_stream:
        numbers = list_events(outcome.body)
        expected = EVENT_NUMBERS[outcome.after_event :]
        if outcome.is_complete and numbers != expected:
            yield "streams in order", "incomplete stream ended as complete"
        if numbers is not None and numbers != expected[: len(numbers)]:
            yield "streams in order", "gap or repeat"


def _check_arrivals(world, runs_by_request, arrivals):
    withdrawals = _list_withdrawals(world)
    by_request = {outcome.request: outcome for outcome in world.outcomes}
    organisations = {"key-1": "shop", "key-2": "shop", "key-3": "small"}
    for arrival in arrivals:
        outcome = by_request.get(arrival.request)
        if arrival.has_key:
            yield "no key reaches a target", str(arrival)
        if outcome is None:
            continue
        if arrival.deadline_ms > DEADLINE_MS + DEADLINE_SLACK_MS:
            yield "deadlines", str(arrival)
        is_keyed = outcome.kind != "open"
        if is_keyed and arrival.organisation != organisations[outcome.key]:
            yield "correct organisation", f"{arrival} for {outcome.key}"
        for since, until in withdrawals:
            is_late = since + REVOCATION_LIMIT_S < outcome.sent_at < until
            if is_keyed and outcome.key == "key-2" and is_late and arrival.was_run:
                yield "withdrawn keys", f"{arrival}, withdrawn at {since}"
    for server, since, until in world.leaving:
        for arrival in arrivals:
            outcome = by_request.get(arrival.request)
            is_late = since + DRAIN_LIMIT_S < arrival.received_at < until
            if (
                arrival.server == server
                and is_late
                and outcome is not None
                and outcome.sent_at > since + DRAIN_LIMIT_S
                and not _is_disturbed(world, since, arrival.received_at)
            ):
                yield "leaving targets", f"{arrival}, leaving since {since}"


def _check_announced(world, arrivals):
    """Yield requests that a host sent to a server long after it announced its leaving.

    A host knows it from the first answer of the server that it passed on.
    """
    by_request = {outcome.request: outcome for outcome in world.outcomes}
    for server, since, until in world.announced:
        known_at = {}
        for outcome in world.outcomes:
            process = (outcome.host, outcome.start_number)
            is_of_server = outcome.signature == f"sig-{server}" and outcome.is_complete
            if is_of_server and since < outcome.sent_at and outcome.ended_at < until:
                first = known_at.get(process, outcome.ended_at)
                known_at[process] = min(first, outcome.ended_at)
        for arrival in arrivals:
            outcome = by_request.get(arrival.request)
            if arrival.server != server or outcome is None:
                continue
            process = (outcome.host, outcome.start_number)
            late_from = known_at.get(process, until) + DRAIN_LIMIT_S
            is_late = late_from < outcome.sent_at and arrival.received_at < until
            if is_late and not _is_disturbed(world, since, arrival.received_at):
                yield "announced leaving", f"{arrival}, late from {late_from} on"


def _check_pauses(world):
    """Yield servers that got more than `MAX_ARRIVALS_IN_PAUSE` of a host in a pause."""
    hosts = {outcome.request: outcome.host for outcome in world.outcomes}
    by_link = defaultdict(list)
    for arrival in world.observations.paused_arrivals:
        host = arrival.sender or hosts.get(arrival.request)
        if host is not None:
            by_link[arrival.server, arrival.started_ms, host].append(arrival)
    for link, arrivals in by_link.items():
        for pause in arrivals:
            since = pause.received_at + PAUSE_SLACK_S
            until = pause.received_at + pause.pause_s
            times = [a.received_at for a in arrivals if since < a.received_at < until]
            if (
                len(times) > MAX_ARRIVALS_IN_PAUSE
                and not _is_disturbed(world, pause.received_at, until)
                and not _is_restarted(world, link[2], pause.received_at, until)
            ):
                yield "pauses", f"{link} got {len(times)} in the pause of {pause}"


def _is_restarted(world, host, began_at, ended_at):
    """Return whether a planned stop of a host, which forgets pauses, is in a period."""
    return any(
        period.kind in ("stop_host", "restart_hosts_in_turn")
        and host in period.scope.split()
        and period.began_at < ended_at
        and period.ended_at > began_at
        for period in world.fault_periods
    )


def _check_versions(world):
    """Yield the streams with events of two software versions if there are many."""
    versions = defaultdict(set)
    for outcome in world.outcomes:
        if outcome.kind == "llm" and outcome.status == 200:
            origin = outcome.resumes or outcome.request
            versions[origin] |= list_versions(outcome.body)
    joined = [origin for origin, found in versions.items() if len(found) > 1]
    if len(joined) > MAX_JOINED_STREAMS:
        yield "one software version a stream", f"{len(joined)} streams: {joined[:5]}"


def _check_limits(world, arrivals):
    """Yield servers that got more requests than the limit that they named."""
    for server, limit, since, until in world.limited:
        tolerated = LIMIT_RATIO * limit * LIMIT_WINDOW_S + LIMIT_SLACK
        times = sorted(a.received_at for a in arrivals if a.server == server)
        for end in times:
            if not since + LIMIT_SETTLING_S <= end <= until:
                continue
            count = sum(end - LIMIT_WINDOW_S < at <= end for at in times)
            if count > tolerated and not _is_disturbed(world, since, end):
                yield "limits", f"{server}: {count} at {end} with a limit of {limit}"
                break


def _check_quota(arrivals):
    spent = sorted(
        (arrival.received_at, arrival.tokens)
        for arrival in arrivals
        if arrival.was_run and arrival.organisation == "small"
    )
    first, total = 0, 0
    for at, tokens in spent:
        total += tokens
        while spent[first][0] <= at - QUOTA_WINDOW_S:
            total -= spent[first][1]
            first += 1
        if total > QUOTA_LIMIT_TOKENS:
            yield "quota", f"{total} tokens in the {QUOTA_WINDOW_S} s before {at}"
            return


def _check_configuration(world):
    """Yield answers for the new route that no configuration of their time explains.

    Each answer is compared with the states that `_list_allowed_states` allows for it,
    unless a fault disturbed it; `_check_reverts` compares answers of one process.
    """
    for (host, _), outcomes in _group_route_answers(world).items():
        for outcome in outcomes:
            allowed = _list_allowed_states(world, outcome.sent_at, outcome.ended_at)
            if (outcome.status == 200) in allowed:
                continue
            if not _is_disturbed(world, outcome.sent_at, outcome.ended_at):
                yield "configuration", f"{host} answered {outcome}"


def _check_reverts(world):
    """Yield answers that only an earlier configuration of their process explains.

    Each answer is attributed to the earliest configuration that explains it. A process
    never reverts to an earlier one, also not during a fault.
    """
    for (host, _), outcomes in _group_route_answers(world).items():
        attributed = []
        for outcome in outcomes:
            earliest = max(
                (i for ended_at, i in attributed if ended_at <= outcome.sent_at),
                default=0,
            )
            explaining = [
                i
                for i, (at, has_new_route, _) in enumerate(world.published)
                if i >= earliest
                and at <= outcome.ended_at
                and has_new_route == (outcome.status == 200)
            ]
            if explaining:
                attributed.append((outcome.ended_at, explaining[0]))
            else:
                yield "configuration", f"{host} reverted before {outcome}"


def _group_route_answers(world):
    """Return the answers for the new route by process, in the order of sending."""
    outcomes_by_process = defaultdict(list)
    for outcome in sorted(world.outcomes, key=lambda outcome: outcome.sent_at):
        if outcome.kind == "new" and outcome.status in (200, 404):
            outcomes_by_process[outcome.host, outcome.start_number].append(outcome)
    return outcomes_by_process


def _list_allowed_states(world, sent_at, ended_at):
    """Return the states of the new route that are allowed for a request.

    These are the state `APPLY_LIMIT_S` before the request was sent, and all states
    published from then until its answer ended. True stands for a published route,
    False for a missing one.
    """
    states, applied = set(), None
    for at, has_new_route, _ in world.published:
        if at <= sent_at - APPLY_LIMIT_S:
            applied = has_new_route
        elif at <= ended_at:
            states.add(has_new_route)
    return states | {applied}


def _check_stops(world):
    """Yield requests that a planned stop aborted without any other disturbance."""
    for outcome in world.outcomes:
        if outcome.has_left or (outcome.status and outcome.is_complete):
            continue
        stops = [
            period
            for period in world.fault_periods
            if period.kind in ("stop_host", "restart_hosts_in_turn")
            and outcome.host in period.scope.split()
            and period.began_at - 1 < outcome.ended_at
            and outcome.sent_at < period.began_at + 3
        ]
        has_arrived = any(
            arrival.request == outcome.request
            for arrival in world.observations.arrivals
        )
        is_disturbed = _is_disturbed(world, outcome.sent_at, outcome.ended_at)
        if stops and has_arrived and not is_disturbed:
            yield "planned stop", f"aborted {outcome}"


def _list_withdrawals(world):
    periods, since = [], None
    for at, _, keys in world.published:
        if "key-2" not in keys and since is None:
            since = at
        elif "key-2" in keys and since is not None:
            periods.append((since, at))
            since = None
    return periods if since is None else [*periods, (since, float("inf"))]


def _is_disturbed(world, began_at, ended_at):
    """Return whether an unplanned fault or a stall of the machine affects a period.

    It does if it overlaps the period or ended less than `SETTLING_S` before it.
    """
    unplanned = [
        (period.began_at, period.ended_at)
        for period in world.fault_periods
        if not period.is_planned
    ]
    return any(
        since < ended_at and until > began_at - SETTLING_S
        for since, until in unplanned + world.stalls
    )


def count_violations(violations):
    """Return the number of violations of each invariant.

    Parameters
    ----------
    violations : list of (str, str)

    Returns
    -------
    Counter
    """
    return Counter(invariant for invariant, _ in violations)
