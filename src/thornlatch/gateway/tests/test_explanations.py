"""Explanations of requests by a host in this process, without sockets."""

import tracemalloc
from collections import deque
from dataclasses import replace
from random import Random
from types import SimpleNamespace

import msgspec
import pytest

from thornlatch.core import read_clock
from thornlatch.exceptions import RequestRefused
from thornlatch.fleet import HostDigest, LoadedModel, Target
from thornlatch.gateway import (
    CallerRequest,
    Explanation,
    Gateway,
    GatewaySettings,
    GatewayStatus,
    HostAddresses,
    WhereQuery,
)
from thornlatch.gateway._choice import Step
from thornlatch.gateway._explanation_settings import ExplanationSettings
from thornlatch.gateway._notices import note_cold
from thornlatch.gateway._recent_requests import RecentRequests
from thornlatch.gateway._target_limits import ColdTargetSettings
from thornlatch.gateway._where_query import parse_query
from thornlatch.quota import QuotaSettings
from thornlatch.residency import Resident
from thornlatch.routing import (
    CallKind,
    Configuration,
    EngineLimits,
    ModelSize,
    Organisation,
    Route,
    Service,
)

KEY = "key-of-the-shop"
MODELS = (LoadedModel("m", 1),)
ENGINE = EngineLimits(8, 1000, 1300.0, 3, (ModelSize("m", 1000.0, 0.6, 10.0),), 4.0)
ROUTES = (
    Route("many", "h", "/many/", CallKind.IDEMPOTENT, (("api", 1.0),), 3.0, 0.8),
    Route(
        "llm",
        "h",
        "/llm/",
        CallKind.STREAM,
        (("llm", 1.0),),
        3.0,
        0.8,
        is_resumable=True,
    ),
    Route(
        "two", "h", "/two/", CallKind.IDEMPOTENT, (("api", 1.0), ("llm", 1.0)), 3.0, 0.8
    ),
)
CONFIGURATION = Configuration(
    7,
    ROUTES,
    {"api": Service("api", "/", 50), "llm": Service("llm", "/", 50, ENGINE)},
    {"shop": Organisation("shop", frozenset({KEY}), None, 10.0, 20.0, 4)},
)
OUTSIDE = ["outside-regions"]
PLAIN = WhereQuery("h", "/many/x", "shop")
ADAPTER = WhereQuery("h", "/llm/x", "shop", "m/a1", 3, 2)


HOSTS = []


@pytest.fixture(autouse=True)
def _close_hosts():
    yield
    while HOSTS:
        HOSTS.pop().fleet.peer_loop.mesh.close()


def build_host(targets=(), **explanations):
    settings = GatewaySettings(
        HostAddresses("edge-1", "z", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"),
        quota=QuotaSettings(resumed_reserve_s=0.0),
        explanations=ExplanationSettings(**explanations),
    )
    host = Gateway(settings, callers=None, targets=None, partitions=12)
    HOSTS.append(host)
    host.apply_configuration(CONFIGURATION)
    host.quota.set_peers([], now=read_clock())
    host.in_force.confirm(asked_at=read_clock())
    host.in_force.note_renewal(asked_at=read_clock())
    host.replace_targets({target.id: target for target in targets})
    return host


def build_target(name, service="api", **fields):
    models = MODELS if service == "llm" else ()
    return replace(
        Target(name, service, "1.2.3.4:5", "z", 8, started_ms=1, loaded_models=models),
        **fields,
    )


def explain(host, query):
    return host.pages.explainer.explain(query, now=read_clock())


def ask(host, query):
    """Return status and body of the answer to a query string."""
    environ = {
        "REQUEST_METHOD": "GET",
        "PATH_INFO": "/where",
        "QUERY_STRING": query if isinstance(query, str) else query.encode(),
    }
    answer = host.pages.answer(environ)
    return answer.status, answer.body


def list_codes(page):
    return {
        target.target: [reason.code for reason in target.reasons]
        for target in page.targets
    }


def snapshot(value, seen=None):
    """Return all state that can be reached from an object of the product."""
    seen = {} if seen is None else seen
    if isinstance(value, Random):
        return value.getstate()
    if isinstance(value, (str, bytes, int, float, type(None))):
        return value
    if id(value) in seen:
        return seen[id(value)]
    seen[id(value)] = f"object {len(seen)}"
    if isinstance(value, dict):
        return [(snapshot(k, seen), snapshot(v, seen)) for k, v in value.items()]
    if isinstance(value, (list, tuple, deque)):
        return [snapshot(item, seen) for item in value]
    if isinstance(value, (set, frozenset)):
        return sorted(repr(snapshot(item, seen)) for item in value)
    if type(value).__module__.startswith("thornlatch") and hasattr(value, "__dict__"):
        return [type(value).__name__, snapshot(vars(value), seen)]
    return type(value).__name__


def build_busy_host():
    """Return a host whose targets are in all states."""
    now = read_clock()
    host = build_host(
        [
            build_target("idle"),
            build_target("failing"),
            build_target("failing-others"),
            build_target("pausing"),
            build_target("limiting"),
            build_target("going", is_leaving=True, leaves_in_s=4.0),
            build_target("busy", slots=1),
            build_target("has", "llm", software_version="1"),
            build_target("loads", "llm", software_version="2"),
            build_target("lacks", "llm"),
            build_target("old", "llm"),
            build_target("empty", "llm", loaded_models=()),
        ]
    )
    host.health.note_failure("failing", now=now, is_unreachable=True)
    host.health.note_pause("pausing", 30.0, now=now)
    host.health.limits.note_answer(
        ("limiting", 1), 2.0, sent_at=now, may_end=True, now=now - 1.0
    )
    host.work.begin("busy", "")
    for peer in ("edge-2", "edge-3"):
        digest = HostDigest(
            now, (), {}, {}, None, (), False, {}, avoided=("failing-others",)
        )
        host.peers.apply_digest(peer, digest, now=now)
        host.peers.aggregation_due_at = 0.0
    host.versions.announce("m/a1", 2, now=now - 60.0)
    for target, resident in {
        "has": Resident(2, now - 5.0),
        "loads": Resident(2, now + 0.4),
        "old": Resident(1, now - 5.0),
    }.items():
        host.residents.apply_holder_report(target, {"m/a1": resident}, now=now)
    return host


@pytest.mark.parametrize(
    ("query", "codes"),
    [
        (
            PLAIN,
            {
                "idle": [],
                "failing": ["avoided"],
                "failing-others": ["avoided-by-peers"],
                "pausing": ["paused"],
                "limiting": ["limited"],
                "going": ["leaving"],
                "busy": ["full"],
            },
        ),
        (
            ADAPTER,
            {
                "has": [],
                "loads": ["adapter-loading"],
                "lacks": ["adapter-absent", "no-holder"],
                "old": ["adapter-outdated", "no-holder"],
                "empty": ["adapter-absent", "no-holder"],
            },
        ),
        (
            replace(ADAPTER, model="m"),
            {"has": [], "loads": [], "lacks": [], "old": [], "empty": ["no-model"]},
        ),
        (
            replace(ADAPTER, model="m", software_version="2", is_resumed=True),
            {
                "has": ["excluded-version"],
                "loads": [],
                "lacks": ["excluded-version"],
                "old": ["excluded-version"],
                "empty": ["excluded-version", "no-model"],
            },
        ),
    ],
    ids=["plain", "adapter", "model", "resumed"],
)
def test_each_target_has_the_reasons_that_count(query, codes):
    page = explain(build_busy_host(), query)
    assert list_codes(page) == codes
    options = [target for target in page.targets if target.step]
    assert [t.cost_s for t in options] == sorted(t.cost_s for t in options)
    times = {r.code: (r.until_s, r.age_s) for t in page.targets for r in t.reasons}
    if "paused" in times:
        assert 29.0 < times["paused"][0] < 33.0
        assert 0.0 <= times["paused"][1] < 1.0
        assert times["leaving"][0] == 4.0
        assert 0.0 < times["avoided"][0] <= 0.5


def pace(host, name, *, requests=0):
    host.health.pacer.enable_service("api")
    target = host.registry.get(name)
    host.health.pacer.begin(target, is_first_read=False, now=read_clock())
    for _ in range(requests):
        host.work.begin(name, "")


def test_paced_target_tells_its_window_and_when_this_host_may_send():
    """Operators couldn't tell why a target that had just started got no request."""
    host = build_host([build_target("new"), build_target("old")])
    pace(host, "new", requests=2)
    page = explain(host, PLAIN)
    assert list_codes(page) == {"new": ["paced"], "old": []}
    reason = {t.target: t.reasons for t in page.targets}["new"][0]
    assert reason.detail.startswith("may have 2 requests of all hosts, round 0; this")
    assert 0.0 <= reason.age_s < 5.0
    states = host.pages.status.build(now=read_clock()).targets
    assert {t.target: t.states[0].code for t in states} == {
        "new": "paced",
        "old": "ready",
    }


@pytest.mark.parametrize(
    ("allowed", "codes"),
    [
        (("north",), {"near": [], "far": ["outside-regions"], "no": OUTSIDE}),
        (("west",), {"near": OUTSIDE, "far": OUTSIDE, "no": OUTSIDE}),
        ((), {"near": [], "far": [], "no": []}),
    ],
)
def test_target_outside_the_allowed_regions_tells_so(allowed, codes):
    """Such targets had no reason, as if they could serve the request."""
    host = build_host(
        [
            build_target("near"),
            build_target("far", failure_domain="y"),
            build_target("no", failure_domain="x"),
        ]
    )
    host.forwarder.selector.regions.regions = {"z": "north", "y": "south"}
    organisation = replace(
        CONFIGURATION.organisations["shop"], regions=frozenset(allowed)
    )
    host.apply_configuration(
        replace(CONFIGURATION, version=8, organisations={"shop": organisation})
    )
    host.in_force.confirm(asked_at=read_clock())
    page = explain(host, PLAIN)
    assert list_codes(page) == codes
    is_refused = not any(reasons == [] for reasons in codes.values())
    assert (page.outcome.action == "refuse") == is_refused


@pytest.mark.parametrize("query", [PLAIN, ADAPTER, replace(ADAPTER, model="m/new")])
def test_host_does_what_it_explained(query):
    """The explanation has no choice of its own that could differ."""
    host = build_busy_host()
    page = explain(host, query)
    request = CallerRequest(
        "1", "GET", query.path, "h", KEY, None, query.model_name, query.adapter,
        3, 2, (), "", (), b"",
    )  # fmt: skip
    call = host.forwarder.admission.admit(request, lambda: False)
    try:
        option = host.forwarder.selector.choose(call)
    except RequestRefused as error:
        assert page.outcome.action == "refuse"
        assert page.refusals[0].code == error.reference
    else:
        assert (page.outcome.action, page.outcome.target) == (
            Step.SEND.value,
            option.target.id,
        )


def test_request_with_too_little_time_to_be_sent_is_explained_as_refused():
    """The sender refuses it, but explanations told that it is sent."""
    host = build_host([build_target("api-1")])
    page = explain(host, replace(PLAIN, deadline_s=0.03))
    fields = {"uri": "/many/x", "model": "", "adapter": "", "deadline_s": 0.03}
    call = host.forwarder.admission.admit(build_request("1", **fields), lambda: False)
    with pytest.raises(RequestRefused) as refused:
        host.forwarder._send_until_answered(call)
    assert page.outcome.action == "refuse"
    assert [refusal.code for refusal in page.refusals] == [refused.value.reference]


@pytest.mark.parametrize(
    ("is_avoided", "service_s"), [(False, 0.1), (True, 30.0)], ids=["busy", "avoided"]
)
def test_explained_way_past_a_paced_target_is_the_one_that_is_taken(
    is_avoided, service_s
):
    """Explanations told a wait for a place, or a refusal, where hosts sent at once."""
    host = build_host([build_target("new"), build_target("old")])
    host.health.service_s["api"] = service_s
    pace(host, "new", requests=2)
    if is_avoided:
        host.health.note_failure("old", now=read_clock(), is_unreachable=True)
        host.forwarder.selector.settings = replace(
            host.forwarder.selector.settings, avoid_limit_s=60.0
        )
    for _ in range(7):
        host.work.begin("old", "")
    page = explain(host, PLAIN)
    request = replace(build_request("1"), uri="/many/x", model="", adapter="")
    call = host.forwarder.admission.admit(request, lambda: False)
    assert page.targets[0].step == Step.AWAIT_PLACE.value
    assert host.forwarder.selector.choose(call).target.id == "old"
    assert (page.outcome.action, page.outcome.target) == ("send", "old")


def test_explaining_changes_no_state_of_the_host():
    """Refilled limits, advanced quotas, promised tokens or drawn numbers would show.

    So would places taken at a paced target.
    """
    host = build_busy_host()
    host.orders.is_view_late = True
    host.forwarder.recent.add(build_request("r1"), CONFIGURATION)
    host.quota.set_peers(["edge-2", "edge-3"], now=read_clock())
    queries = [PLAIN, ADAPTER, WhereQuery(request="r1"), replace(ADAPTER, model="m/n")]
    # Alone, a busy organisation would be refused, and be promised tokens.
    queries.append(replace(ADAPTER, prompt_tokens=1000))
    host.health.note_pause("idle", 5.0, now=read_clock())
    pace(host, "busy")
    before = snapshot(host)
    assert len(repr(before)) > 10_000
    for query in queries * 3:
        assert ask(host, query)[0] == 200
        assert ask(host, replace(PLAIN, host="other"))[0] == 404
        host.pages.status.build(now=read_clock() + 1.0)
        host.pages.explainer.explain(query, now=read_clock() + 1.0)
    assert snapshot(host) == before
    # The comparison notices what a request itself changes.
    host.quota.try_spend("shop", 1, now=read_clock())
    assert snapshot(host) != before


def test_quota_is_told_and_not_spent():
    host = build_host([build_target("api-1")])
    first, second = (explain(host, replace(PLAIN)) for _ in range(2))
    assert first.quota.request_tokens == 4
    assert second.quota.tokens_left >= first.quota.tokens_left > 0
    assert not first.refusals
    while host.quota.try_spend("shop", 4, now=read_clock()) is None:
        pass
    refused = explain(host, PLAIN)
    assert refused.outcome.action == "refuse"
    (refusal,) = refused.refusals
    assert (refusal.code, refusal.status) == ("rate-exceeded", 429)
    assert refusal.retry_after_s > 0


def test_refusal_tells_until_when_all_targets_pause():
    host = build_host([build_target("api-1")])
    host.health.note_pause("api-1", 30.0, now=read_clock())
    page = explain(host, PLAIN)
    assert page.outcome.action == "refuse"
    assert page.refusals[0].code == "overloaded"
    assert 29.0 < page.refusals[0].retry_after_s < 33.0


def test_load_that_would_be_requested_is_told_and_not_requested():
    host = build_busy_host()
    host.peers.holders = {"lacks": "edge-2", "old": "edge-2"}
    sent = []
    host.fleet.send = lambda *message: sent.append(message)
    page = explain(host, replace(ADAPTER, model="m/new"))
    outcome = page.outcome
    assert (outcome.action, outcome.requests_load) == (Step.REQUEST_LOAD.value, True)
    assert (outcome.target in {"lacks", "old"}, page.adapter.is_known) == (True, False)
    # One that has the adapter and a free slot makes others no option.
    codes = list_codes(explain(host, ADAPTER))
    assert codes["lacks"] == ["adapter-absent", "passed-over"]
    assert not sent


def test_explanation_without_an_organisation_tells_what_isn_t_considered():
    """It named a target that the organisation's allowed regions may exclude."""
    (note,) = explain(build_busy_host(), replace(PLAIN, organisation="")).notes
    assert "allowed regions" in note


def test_number_of_listed_targets_is_bounded():
    host = build_host([build_target(f"t{n}") for n in range(30)], target_limit=20)
    assert len(explain(host, PLAIN).targets) == 20
    page = explain(host, replace(PLAIN, targets=3))
    assert (len(page.targets), page.target_count) == (3, 30)
    status = host.pages.status.build(now=read_clock())
    assert (len(status.targets), status.target_count) == (20, 30)


@pytest.mark.parametrize(
    ("query", "status", "code"),
    [
        ("", 400, "bad-request"),
        ("host=h", 400, "bad-request"),
        ("host=h&path=many", 400, "bad-request"),
        ("host=h&path=%ff", 400, "bad-request"),
        ("host=h&path=/many/&path=/llm/", 400, "bad-request"),
        ("host=h&path=/many/%0d%0aX", 400, "bad-request"),
        ("host=h&path=/many/&nope=1", 400, "bad-request"),
        ("host=h&path=/many/&query=1", 400, "bad-request"),
        ("host=h&path=/many/&prompt_parts=1", 400, "bad-request"),
        ("host=h&path=/many/&prompt_tokens=-1&output_tokens=1", 400, "bad-request"),
        ("host=h&path=/many/&prompt_tokens=1", 400, "bad-request"),
        ("host=h&path=/many/&targets=" + "9" * 5000, 400, "bad-request"),
        ("host=h&path=/many/&targets=\u0663", 400, "bad-request"),
        ("host=h&path=/many/&deadline_s=nan", 400, "bad-request"),
        ("host=h&path=/many/&is_resumed=x", 400, "bad-request"),
        ("host=h&path=/many/&part=x", 400, "bad-request"),
        ("host=h&path=/many/" + "&part=x:1" * 300, 400, "bad-request"),
        ("host=h&path=/llm/&model=m/", 400, "bad-request"),
        ("host=h&path=/many/&organisation=nobody", 400, "bad-request"),
        ("host=h&path=/many/&service=llm", 400, "bad-request"),
        ("request=r1&host=h", 400, "bad-request"),
        ("&&&", 400, "bad-request"),
        ("a" * 40_000, 400, "bad-request"),
        ("host=x&path=/many/", 404, "unknown-route"),
        ("host=h&path=/llm/&model=other", 404, "unknown-model"),
        ("host=h&path=/many/&model=m/a", 404, "unknown-model"),
        ("request=r1", 404, "unknown-request"),
    ],
)
def test_query_that_can_t_be_answered_gets_a_code(query, status, code):
    answered, body = ask(build_host([build_target("api-1")]), query)
    assert (answered, msgspec.json.decode(body)["error"]["code"]) == (status, code)


def test_fault_of_a_page_shows_no_traceback():
    host = build_host()
    host.pages.explainer = None
    status, body = ask(host, PLAIN)
    assert (status, b"Traceback" in body) == (500, False)


def test_key_in_place_of_a_name_isn_t_repeated_on_a_public_route():
    """Routes without keys look up no organisation, so any name passed."""
    host = build_host([build_target("api-1")])
    route = replace(ROUTES[0], is_public=True)
    host.apply_configuration(replace(CONFIGURATION, version=8, routes=(route,)))
    pages = [explain(host, replace(PLAIN, organisation=name)) for name in ("shop", KEY)]
    assert [page.query.organisation for page in pages] == ["shop", ""]
    assert [page.notes for page in pages] == [
        ("the route needs no key: no quota is charged",)
    ] * 2


def test_every_query_survives_its_encoding():
    query = WhereQuery(
        "h", "/a b&c=%", "o", "m/a", 1, 2, (("p:q", 3), ("ü", 0)), 1.5, "i", "s", "v",
        True,
    )  # fmt: skip
    assert parse_query(query.encode()) == query


def build_request(name, key=KEY, **fields):
    request = CallerRequest(
        name, "POST", "/llm/x?secret=1", "h:80", key, 2.0, "m", "m/a1", 3, 2,
        (("p1", 2), ("p2", 1)), "", (("Cookie", "c"),), b"the body",
    )  # fmt: skip
    return replace(request, **fields)


def test_request_that_was_served_is_explained_by_its_id():
    host = build_busy_host()
    host.forwarder.recent.add(build_request("r1"), CONFIGURATION)
    page = explain(host, WhereQuery(request="r1"))
    assert page.query == replace(
        ADAPTER,
        host="h:80",
        prompt_parts=(("p1", 2), ("p2", 1)),
        deadline_s=2.0,
        id="r1",
    )
    assert (page.outcome.target, page.quota.request_tokens) == ("has", 5)


def test_served_request_with_a_very_long_deadline_can_be_asked_of_other_hosts():
    """They rejected deadlines of 1e6 s or more, such as the largest 32-bit number."""
    recent = RecentRequests(ExplanationSettings())
    recent.add(build_request("r1", deadline_s=(2**31 - 1) / 1000), CONFIGURATION)
    kept = recent.get("r1").query
    assert parse_query(kept.encode()) == kept


def test_repetition_of_a_request_that_crashes_targets_is_told():
    host = build_busy_host()
    request = build_request("r1")
    host.forwarder.recent.add(request, CONFIGURATION)
    entry = host.forwarder.recent.get("r1")
    for name in ("has", "loads", "lacks"):
        target = host.registry.get(name)
        host.suspects.note_aborted_run(entry.fingerprint, target, now=read_clock())
    page = explain(host, WhereQuery(request="r1"))
    assert [refusal.code for refusal in page.refusals] == ["target-failed"]


def test_pages_and_kept_requests_hold_no_key_and_no_body():
    host = build_busy_host()
    host.forwarder.recent.add(build_request("r1"), CONFIGURATION)
    assert KEY in repr(snapshot(host))
    pages = [ask(host, query)[1] for query in (PLAIN, WhereQuery(request="r1"))]
    pages.append(msgspec.json.encode(host.pages.status.build(now=read_clock())))
    # A key in place of a name isn't repeated either.
    pages.append(ask(host, f"host=h&path=/many/&organisation={KEY}")[1])
    pages.append(repr(snapshot(vars(host.forwarder.recent))).encode())
    pages.append(repr(host.forwarder.recent.get("r1")).encode())
    for page in pages:
        for secret in (KEY, "the body", "secret", "Cookie"):
            assert secret.encode() not in page


def test_memory_of_kept_requests_is_bounded():
    recent = RecentRequests(ExplanationSettings(recent_limit_bytes=1_000_000))
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        for number in range(2000):
            parts = tuple((f"part-{number}-{n}", n + 1000) for n in range(number % 9))
            name = f"request-{number}"
            request = build_request(name, uri=f"/{number}", prompt_parts=parts)
            recent.add(request, CONFIGURATION)
            recent.note_version(name, f"version-{number}")
        used = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert recent.used_bytes <= 1_000_000
    assert used < 1_000_000
    assert len(recent.by_id) > 50
    assert recent.get("request-1999")
    recent.add(build_request("huge", uri="/" + "x" * 1_000_000), CONFIGURATION)
    assert recent.get("huge") is None
    disabled = RecentRequests(ExplanationSettings(recent_limit_bytes=0))
    disabled.add(build_request("r1"), CONFIGURATION)
    assert disabled.get("r1") is None


def test_status_tells_why_a_host_isn_t_ready_and_the_states_of_targets():
    host = build_busy_host()
    page = msgspec.json.encode(host.pages.status.build(now=read_clock()))
    status = msgspec.json.decode(page, type=GatewayStatus)
    assert (status.ready, status.not_ready) == (True, ())
    assert (status.configuration.version, status.configuration.is_fresh) == (7, True)
    assert status.configuration.in_force_s < 5.0
    assert [peer.host for peer in status.peers] == ["edge-2", "edge-3"]
    states = {target.target: target.states for target in status.targets}
    assert [state.code for state in states["idle"]] == ["ready"]
    for name, code in {
        "going": "leaving",
        "pausing": "paused",
        "limiting": "limited",
        "failing": "avoided",
        "idle": "ready",
    }.items():
        assert [state.code for state in states[name]] == [code]
        assert 0.0 <= states[name][0].age_s < 5.0
    assert {(c.service, c.state): c.count for c in status.states}["llm", "ready"] == 5
    host.stopping.set()
    late = host.pages.status.build(now=read_clock() + 10.0)
    assert [reason.code for reason in late.not_ready] == [
        "stopping",
        "configuration-unconfirmed",
    ]
    assert not host.is_ready()


def test_work_of_the_status_page_grows_only_with_the_number_of_cold_targets(
    monkeypatch,
):
    """Each target listed all cold ones: 4 s for 1,000 of them, as after evacuations."""
    calls = []
    divide = ColdTargetSettings.divide
    monkeypatch.setattr(
        ColdTargetSettings,
        "divide",
        lambda settings, *rate: calls.append(rate) or divide(settings, *rate),
    )
    counts = []
    for number in (20, 40):
        host = build_host([build_target(f"t{n}") for n in range(number)])
        host.health.limits.set_cold_rates({"api": 7.0})
        for target in list(host.registry.targets.values()):
            note_cold(target, 30.0, source="registration", health=host.health)
        calls.clear()
        (state,) = host.pages.status.build(now=read_clock()).states
        assert (state.state, state.count) == ("cold", number)
        counts.append(len(calls))
    assert counts[1] == 2 * counts[0]


def test_other_paths_of_the_metrics_address_return_the_metrics():
    host, answers = build_host(), []
    for path in ("/", "/metrics", "/where/x", "/Status"):
        environ = {"REQUEST_METHOD": "GET", "PATH_INFO": path, "QUERY_STRING": ""}
        body = host._answer_metrics(environ, lambda *head: answers.append(head))
        assert b"thornlatch_gateway" in body[0]
    assert {status for status, _ in answers} == {"200 OK"}


def test_page_is_decoded_into_the_classes_that_were_encoded():
    status, body = ask(build_busy_host(), ADAPTER)
    page = msgspec.json.decode(body, type=Explanation)
    assert (status, page.route, page.service) == (200, "llm", "llm")
    assert msgspec.json.encode(page) == body
    assert SimpleNamespace(**msgspec.json.decode(body)).query["model"] == "m/a1"
