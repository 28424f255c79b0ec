"""Tests of the fleet's guarantees over real processes, most of them under a fault."""

import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.engine import CRASH_MARK
from tests.deployments import (
    LIBRARY_KEY,
    SHOP_KEY,
    Deployment,
    append,
    complete,
    start_deployment,
    start_host,
)
from tests.fleet import send_http, wait_until
from tests.streams import StreamCaller
from thornlatch.admission import AdmissionSettings
from thornlatch.configuration import KeyWithdrawn, TargetDrained, digest_key
from thornlatch.membership import MembershipSettings

WITHDRAWN_LIMIT_S = 5.0
LEAVING_LIMIT_S = 5.0


def get_addresses(fleet, hosts):
    return [fleet.addresses[host] for host in hosts]


def read_runs(fleet, **fields):
    """Return the runs that targets logged, filtered by event fields."""
    runs = [e for e in fleet.read_events() if e["event"] == "target.request_run"]
    return [run for run in runs if all(run.get(k) == v for k, v in fields.items())]


def find_engine_of(fleet, model):
    """Return the engine that most recently ran a model."""
    runs = [
        run for run in read_runs(fleet) if run.get("detail", {}).get("model") == model
    ]
    return runs[-1]["host"]


def test_stream_resumes_when_its_engine_fails(fleet):
    (host,) = start_deployment(fleet, Deployment(engines=3, token_s=0.02))
    stream = StreamCaller(fleet.addresses[host], "adapter-0", "p", 100).start()
    assert stream.first_token.wait(20)
    fleet.kill(find_engine_of(fleet, "adapter-0@1"))
    stream.join()
    assert stream.is_correct, (stream.error, stream.text[-40:])


def test_refusal_for_a_failed_pool_says_not_run(fleet):
    (host,) = start_deployment(fleet, Deployment(engines=1))
    fleet.kill("engine-0")
    answer = complete(fleet.addresses[host], headers={"X-Deadline-Ms": "3000"})
    assert answer.status in (502, 503)
    assert answer.json["error"]["execution"] == "not-run"
    assert read_runs(fleet) == []


def test_withdrawn_key_stops_requests_and_streams_on_every_host(fleet):
    hosts = start_deployment(fleet, Deployment(hosts=3, engines=3, token_s=0.05))
    addresses = get_addresses(fleet, hosts)
    streams = [StreamCaller(a, "adapter-0", "p", 2000).start() for a in addresses]
    assert all(stream.first_token.wait(20) for stream in streams)
    # The last host can read the log through its peers only.
    fleet.set_faults("log", refused_clients=["host-2"])
    append(fleet, "configuration", KeyWithdrawn(digest_key(SHOP_KEY), "tests"))
    withdrawn_at = time.monotonic()
    for stream in streams:
        stream.join(20)
        assert stream.ended_at - withdrawn_at <= WITHDRAWN_LIMIT_S
        assert stream.error is not None
    for address in addresses:
        answer = complete(address)
        assert answer.status in (401, 503)
        assert answer.json["error"]["execution"] == "not-run"
    assert complete(addresses[0], key=LIBRARY_KEY, model="library-only").status == 200


def test_leaving_target_gets_no_new_work_and_finishes_what_it_has(fleet):
    (host,) = start_deployment(fleet, Deployment(engines=2, token_s=0.02))
    address = fleet.addresses[host]
    stream = StreamCaller(address, "adapter-0", "p", 400).start()
    assert stream.first_token.wait(20)
    engine = find_engine_of(fleet, "adapter-0@1")
    append(fleet, "configuration", TargetDrained(engine, "tests", True))
    drained_at = time.time()
    stop_at = time.monotonic() + LEAVING_LIMIT_S + 1
    number = 0
    while time.monotonic() < stop_at:
        assert complete(address, number % 6).status == 200
        number += 1
    assert stream.join().is_correct
    late = [r for r in read_runs(fleet, host=engine) if r["wall"] > drained_at + 5]
    assert late == []


def test_planned_stop_aborts_no_request(fleet):
    hosts = start_deployment(fleet, Deployment(hosts=2, engines=2, token_s=0.02))
    addresses = get_addresses(fleet, hosts)
    streams = [
        StreamCaller(addresses[0], f"adapter-{i}", "p", 120).start() for i in range(4)
    ]
    assert all(stream.first_token.wait(20) for stream in streams)
    fleet.terminate("host-0")
    wait_until(
        lambda: send_http(addresses[0], "GET", "/readyz").status == 503,
        what="host-0 to leave the rotation",
    )
    assert fleet.wait_exit("host-0") == 0
    assert all(stream.join().is_correct for stream in streams)
    assert complete(addresses[1]).status == 200


def test_requests_are_served_during_a_log_outage(fleet):
    hosts = start_deployment(fleet, Deployment(hosts=3, engines=2))
    addresses = get_addresses(fleet, hosts)
    for number in range(4):
        assert complete(addresses[0], number).status == 200
    fleet.set_faults("log", is_down=True)
    ends_at = time.monotonic() + 8
    while time.monotonic() < ends_at:
        for address in addresses:
            answer = complete(address, 1)
            assert answer.status == 200, answer
    refused = reserve(addresses[0], "key-in-outage")
    assert refused.status == 503
    assert refused.json["error"]["execution"] == "not-run"
    assert "retry-after" in refused.headers
    fleet.set_faults("log")
    wait_until(lambda: reserve(addresses[0], "key-later").status == 200)
    reserved = [r for r in read_runs(fleet) if r["detail"].get("path") == "/reserve"]
    assert len(reserved) == 1


def test_one_of_two_hosts_takes_over_when_the_other_fails(fleet):
    """One voter of two is no majority, but half can expel a host (design note 2)."""
    settings = MembershipSettings()
    limit_s = 3 * settings.suspect_s + settings.expulsion_delay_s + settings.fast_wait_s
    hosts = start_deployment(fleet, Deployment(hosts=2, engines=2))
    addresses = get_addresses(fleet, hosts)
    for number in range(4):
        assert complete(addresses[number % 2], number).status == 200
    fleet.kill("host-0")
    killed_at = time.monotonic()

    def is_served():
        headers = {"X-Deadline-Ms": "500"}
        answers = [complete(addresses[1], n, headers=headers) for n in range(3)]
        answers.append(reserve(addresses[1], f"k-{time.monotonic()}"))
        return all(answer.status == 200 for answer in answers)

    wait_until(is_served, what="the other host to serve all")
    # The wait for an owner and the requests above add to the take-over time.
    assert time.monotonic() - killed_at < limit_s + AdmissionSettings().owner_wait_s


def test_target_that_the_platform_lists_as_leaving_gets_no_new_work(fleet):
    hosts = fleet.start_standin("host_list", "hosts", "--lag-s", "0.5")
    settings = {"platform": {"host_list": hosts, "host_list_every_s": 0.2}}
    deployment = Deployment(hosts=2, engines=2, settings=settings)
    addresses = get_addresses(fleet, start_deployment(fleet, deployment))
    for number in range(12):
        assert complete(addresses[number % 2], number % 6).status == 200
    engines = {"engine-0", "engine-1"}
    assert {run["host"] for run in read_runs(fleet)} == engines

    def serve_without(target, since):
        for number in range(12):
            assert complete(addresses[number % 2], number % 6).status == 200
        late = [run for run in read_runs(fleet) if run["wall"] > since]
        return target not in {run["host"] for run in late}

    listed_at = time.time()
    send_http(hosts, "POST", "/hosts", {"live": [], "leaving": ["engine-0"]})
    wait_until(
        lambda: serve_without("engine-0", time.time()), what="no new work for engine-0"
    )
    assert time.time() - listed_at < LEAVING_LIMIT_S
    # Without a host list to query, the target stays excluded.
    fleet.set_faults("hosts", is_down=True)
    assert serve_without("engine-0", time.time())
    fleet.set_faults("hosts", is_down=False)
    send_http(hosts, "POST", "/hosts", {"live": [], "leaving": []})
    wait_until(
        lambda: not serve_without("engine-0", time.time()),
        what="new work for the target",
    )


def reserve(address, key, value=1):
    headers = {"Authorization": f"Bearer {SHOP_KEY}", "Idempotency-Key": key}
    return send_http(address, "POST", "/reserve", {"n": value}, headers=headers)


def test_reservation_repeated_at_every_host_runs_once(fleet):
    hosts = start_deployment(fleet, Deployment(hosts=3, engines=1))
    addresses = get_addresses(fleet, hosts) * 4
    with ThreadPoolExecutor(len(addresses)) as executor:
        answers = list(executor.map(lambda a: reserve(a, "variant-cover"), addresses))
    assert {answer.status for answer in answers} == {200}
    assert len({answer.body for answer in answers}) == 1
    assert len(read_runs(fleet)) == 1
    assert reserve(addresses[0], "variant-cover", value=2).status == 422


def test_reservation_with_a_lost_append_reply_runs_once(fleet):
    hosts = start_deployment(fleet, Deployment(hosts=2, engines=1))
    fleet.set_faults("log", lose_replies=3)
    answers = [reserve(a, "k") for a in get_addresses(fleet, hosts)]
    assert [answer.status for answer in answers] == [200, 200]
    assert len(read_runs(fleet)) == 1


def test_reservation_whose_host_fails_after_the_send_is_not_repeated(fleet):
    hosts = start_deployment(fleet, Deployment(hosts=3, engines=1))
    addresses = get_addresses(fleet, hosts)
    send_http(fleet.addresses["till-0"], "POST", "/faults", {"delay_s": 30})
    caller = threading.Thread(
        target=_try_reserve, args=(addresses[0], "k"), daemon=True
    )
    caller.start()
    wait_until(lambda: read_runs(fleet), what="the reservation to run")
    fleet.kill("host-0")
    # While no owner of the rate answers, the host refuses with a time to retry.
    answer = wait_until(lambda: get_unless_retryable(reserve(addresses[1], "k")))
    assert answer.status == 409
    assert answer.json["error"]["execution"] == "outcome-unknown"
    assert len(read_runs(fleet)) == 1


def get_unless_retryable(answer):
    """Return an answer, or None for a refusal that truthfully allows a retry."""
    if answer.status == 503:
        assert answer.json["error"]["execution"] == "not-run"
        assert answer.json["error"]["may_retry"]
        return None
    return answer


def _try_reserve(address, key):
    try:
        reserve(address, key)
    except OSError:
        return


def test_reservation_with_a_lost_answer_is_unknown_and_not_repeated(fleet):
    hosts = start_deployment(fleet, Deployment(hosts=2, engines=1))
    addresses = get_addresses(fleet, hosts)
    fleet.set_faults("till-0", lose_answers=1)
    assert reserve(addresses[0], "k").status in (409, 500, 502)
    answer = reserve(addresses[1], "k")
    assert answer.status in (409, 500, 502)
    assert len(read_runs(fleet)) == 1


def test_crashing_request_crashes_at_most_two_engines(fleet):
    hosts = start_deployment(fleet, Deployment(hosts=4, engines=4))
    addresses = get_addresses(fleet, hosts)
    unrelated_streams = [
        StreamCaller(a, f"adapter-{i}", f"p{i}", 60).start()
        for i, a in enumerate(addresses)
    ]
    final = None
    for address in addresses * 2:
        body = {"prompt": CRASH_MARK, "max_tokens": 5}
        answer = complete(address, 0, headers={"X-Deadline-Ms": "8000"}, **body)
        if answer.json["error"]["code"] == "quarantined":
            final = answer
            break
    assert final is not None
    assert final.status == 422
    for address in addresses:
        started = time.monotonic()
        answer = complete(address, 0, prompt=CRASH_MARK, max_tokens=5)
        assert answer.json["error"]["code"] == "quarantined"
        assert time.monotonic() - started < 1
    crashed = [n for n in fleet.processes if fleet.processes[n].poll() is not None]
    assert len(crashed) <= 2, crashed
    assert all(stream.join().is_correct for stream in unrelated_streams)


def test_concurrent_duplicates_of_a_crashing_request_crash_at_most_two_engines(fleet):
    hosts = start_deployment(fleet, Deployment(hosts=4, engines=4))
    addresses = get_addresses(fleet, hosts)
    # Traffic on the adapter gets its version loaded at several engines and makes hosts
    # keep grants for it.
    for _ in range(3):
        warm_up_streams = [
            StreamCaller(a, "adapter-0", f"w{i}", 20).start()
            for i, a in enumerate(addresses * 6)
        ]
        assert all(stream.join().is_correct for stream in warm_up_streams)
    unrelated_streams = [
        StreamCaller(a, f"adapter-{i}", f"p{i}", 60).start()
        for i, a in enumerate(addresses)
    ]

    def send_duplicate(address):
        headers = {"X-Deadline-Ms": "8000"}
        return complete(address, 0, headers=headers, prompt=CRASH_MARK, max_tokens=5)

    with ThreadPoolExecutor(8) as executor:
        answers = list(executor.map(send_duplicate, addresses * 2))
    assert all(answer.status != 200 for answer in answers)
    for address in addresses:
        wait_until(
            lambda a=address: is_quarantined(send_duplicate(a)), what="quarantine"
        )
    crashed = [n for n in fleet.processes if fleet.processes[n].poll() is not None]
    assert len(crashed) <= 2, crashed
    assert all(stream.join().is_correct for stream in unrelated_streams)


def is_quarantined(answer):
    return answer.json["error"]["code"] == "quarantined"


@pytest.mark.parametrize("fault", ["kill", "pause"])
def test_fleet_goes_on_when_a_host_stops_answering(fleet, fault):
    hosts = start_deployment(fleet, Deployment(hosts=3, engines=3))
    addresses = get_addresses(fleet, hosts)
    for number in range(6):
        assert complete(addresses[number % 3], number).status == 200
    getattr(fleet, fault)("host-0")
    failed_at = time.monotonic()
    wait_until(
        lambda: (
            complete(addresses[1], 5, headers={"X-Deadline-Ms": "1000"}).status == 200
            and complete(addresses[2], 4, headers={"X-Deadline-Ms": "1000"}).status
            == 200
        ),
        what="the other hosts to serve",
    )
    assert time.monotonic() - failed_at < 15
    if fault == "pause":
        wait_until(lambda: not is_member(addresses[1], "host-0"), what="expulsion")
        fleet.resume("host-0")
        wait_until(
            lambda: (
                is_member(addresses[1], "host-0")
                and complete(addresses[0], 3).status == 200
            ),
            what="host-0 to serve under a new session",
        )


def is_member(address, name):
    members = send_http(address, "GET", "/status").json["members"]
    return any(member["host"].startswith(name + ".") for member in members)


def test_new_host_joins_and_serves(fleet):
    deployment = Deployment(hosts=2, engines=2)
    hosts = start_deployment(fleet, deployment)
    start_host(fleet, deployment, "host-9", 2, fleet.addresses["log"])
    fleet.wait_ready("host-9")
    assert complete(fleet.addresses["host-9"]).status == 200
    assert complete(fleet.addresses[hosts[0]]).status == 200


def test_rate_is_enforced_across_hosts(fleet):
    rate, burst = 400.0, 600.0
    deployment = Deployment(hosts=3, engines=3, rate=rate, burst=burst, token_s=0.001)
    hosts = start_deployment(fleet, deployment)
    stop_at = time.monotonic() + 8

    def send_until_stopped(address):
        statuses = []
        while time.monotonic() < stop_at:
            statuses.append(complete(address, 0, max_tokens=40).status)
        return statuses

    with ThreadPoolExecutor(12) as executor:
        results = list(
            executor.map(send_until_stopped, get_addresses(fleet, hosts) * 4)
        )
    statuses = [status for result in results for status in result]
    assert set(statuses) == {200, 429}
    spent = [
        (e["monotonic"], e["detail"]["tokens"])
        for e in fleet.read_events()
        if e["event"] == "admission.tokens_spent"
    ]
    assert find_excess(sorted(spent), rate, burst) <= 0
    assert sum(tokens for _, tokens in spent) > burst + 0.5 * rate * 8


def find_excess(spent, rate, burst):
    """Return the largest excess of any window over rate * window + burst.

    Parameters
    ----------
    spent : list of (float, float)
        Times in seconds, ascending, and the tokens spent at each.
    rate : float
        Tokens per second.
    burst : float
        Tokens.
    """
    max_excess = float("-inf")
    level, last = burst, spent[0][0]
    for at, tokens in spent:
        level = min(burst, level + (at - last) * rate) - tokens
        last = at
        max_excess = max(max_excess, -level)
    return max_excess


def test_events_are_json_lines(fleet):
    (host,) = start_deployment(fleet, Deployment())
    assert complete(fleet.addresses[host]).status == 200
    for path in fleet.list_event_files():
        for line in path.read_text().splitlines():
            assert {"event", "host", "wall", "monotonic"} <= json.loads(line).keys()
