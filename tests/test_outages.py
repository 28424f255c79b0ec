"""Tests of owners that stop, log outages and conflicting changes in real fleets."""

import json
import os
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

import msgspec

from tests.deployments import (
    SHOP_KEY,
    Deployment,
    append,
    build_inventory,
    complete,
    start_deployment,
)
from tests.fleet import ROOT, send_http, wait_until
from tests.streams import StreamCaller
from tests.test_failures import WITHDRAWN_LIMIT_S, find_excess, reserve
from thornlatch.configuration import (
    Adapter,
    ConfigurationPublished,
    Key,
    Organisation,
    digest_key,
)

EXTRA_ORGANISATIONS = 20
REQUEST_LIMIT_S = 1.0
OUTAGE_DURATION_S = 12.0
OUTAGE_LIMIT_S = 8.0
TAKEOVER_LIMIT_S = 8.0


def get_organisation_key(name):
    return f"{name}-secret-key"


def add_organisations(inventory, rate):
    """Add enough organisations for each host to own one, with one adapter each."""
    names = [f"org-{i}" for i in range(EXTRA_ORGANISATIONS)]
    organisations = [Organisation(name, rate, 2 * rate) for name in names]
    keys = [Key(digest_key(get_organisation_key(name)), name) for name in names]
    adapters = [Adapter(f"of-{name}", "1", "llm", name) for name in names]
    return replace(
        inventory,
        organisations=(*inventory.organisations, *organisations),
        keys=(*inventory.keys, *keys),
        adapters=(*inventory.adapters, *adapters),
    )


def start_with_organisations(fleet, deployment):
    hosts = start_deployment(fleet, deployment)
    status = send_http(fleet.addresses[hosts[0]], "GET", "/status").json
    inventory = add_organisations(build_inventory(fleet, deployment), deployment.rate)
    base = status["configuration"]["inventory_offset"]
    append(fleet, "configuration", ConfigurationPublished(base, "tests", inventory))
    wait_until(lambda: len(find_owners(fleet)) >= EXTRA_ORGANISATIONS)
    return hosts


def find_owners(fleet, prefix="org-"):
    """Return the owning host of each organisation whose name starts with a prefix."""
    return {
        event["key"].removeprefix("organisation:"): event["host"].partition(".")[0]
        for event in sorted(fleet.read_events(), key=lambda e: e["wall"])
        if event["event"] == "admission.inventory_completed"
        and event["key"].startswith(f"organisation:{prefix}")
    }


def find_pool_owner(fleet, hosts, pool):
    return next((host for host in hosts if pool in list_owned_pools(fleet, host)), None)


def list_owned_pools(fleet, host):
    return send_http(fleet.addresses[host], "GET", "/status").json["owned_pools"]


class LoadGenerator:
    """Callers that send requests in sequence and record the latency of each."""

    def __init__(self, addresses, organisation, max_tokens=2):
        self.addresses = addresses
        self.organisation = organisation
        self.max_tokens = max_tokens
        self.latencies_s = []
        self.answers = []
        self.is_stopped = threading.Event()
        self.executor = ThreadPoolExecutor(len(addresses))

    def __enter__(self):
        for address in self.addresses:
            self.executor.submit(self.run, address)
        return self

    def __exit__(self, *_):
        self.is_stopped.set()
        self.executor.shutdown()

    def run(self, address):
        while not self.is_stopped.is_set():
            began_at = time.monotonic()
            answer = complete_as(address, self.organisation, self.max_tokens)
            self.latencies_s.append(time.monotonic() - began_at)
            self.answers.append(answer)
            self.is_stopped.wait(0.0 if answer.status == 200 else 0.02)


def test_stopping_owner_hands_its_keys_over_while_its_stream_runs(fleet):
    deployment = Deployment(hosts=3, engines=2, token_s=0.02, rate=5000.0)
    hosts = start_with_organisations(fleet, deployment)
    stopping_host = wait_until(lambda: find_pool_owner(fleet, hosts, "llm"))
    owners = find_owners(fleet)
    organisation = next(name for name, host in owners.items() if host == stopping_host)
    remaining_hosts = [host for host in hosts if host != stopping_host]
    stream = StreamCaller(
        fleet.addresses[stopping_host],
        f"of-{organisation}",
        "p",
        500,
        key=get_organisation_key(organisation),
    ).start()
    assert stream.first_token.wait(20)
    addresses = [fleet.addresses[host] for host in remaining_hosts] * 2
    with LoadGenerator(addresses, organisation) as load:
        time.sleep(0.5)
        fleet.terminate(stopping_host)
        wait_until(
            lambda: (
                find_pool_owner(fleet, remaining_hosts, "llm")
                and find_owners(fleet)[organisation] != stopping_host
            ),
            timeout_s=8,
            what="another host to own the pool and the organisation",
        )
        assert stream.thread.is_alive()
        # More adapters than the engines hold, so that the new owner must evict some.
        for number, name in enumerate(owners):
            address = fleet.addresses[remaining_hosts[number % 2]]
            assert complete_as(address, name).status == 200
    assert stream.thread.is_alive()
    assert {answer.status for answer in load.answers} == {200}
    assert max(load.latencies_s) < REQUEST_LIMIT_S
    assert stream.join().is_correct, (stream.error, stream.text[-40:])
    assert fleet.wait_exit(stopping_host) == 0
    names = [event["event"] for event in fleet.read_events()]
    assert "target.adapter_unloaded" in names


def test_rate_is_enforced_while_its_owner_stops(fleet):
    rate = 400.0
    deployment = Deployment(hosts=3, engines=2, token_s=0.01, rate=rate)
    hosts = start_with_organisations(fleet, deployment)
    organisation, stopping_host = next(iter(find_owners(fleet).items()))
    addresses = [fleet.addresses[host] for host in hosts if host != stopping_host] * 12
    time.sleep(2.5)  # Shares start empty; the stream uses 1.5 s of the rate.
    stream = StreamCaller(
        fleet.addresses[stopping_host],
        f"of-{organisation}",
        "p",
        550,
        key=get_organisation_key(organisation),
    ).start()
    assert stream.first_token.wait(20)
    began_at = time.monotonic()
    with LoadGenerator(addresses, organisation, max_tokens=40) as load:
        time.sleep(1)
        fleet.terminate(stopping_host)
        time.sleep(5)
    duration_s = time.monotonic() - began_at
    assert {answer.status for answer in load.answers} == {200, 429}
    assert stream.join().is_correct, (stream.error, stream.text[-40:])
    assert fleet.wait_exit(stopping_host) == 0
    spent = sorted(
        (event["monotonic"], event["detail"]["tokens"])
        for event in fleet.read_events()
        if event["event"] == "admission.tokens_spent"
        and event["organisation"] == organisation
    )
    assert find_excess(spent, rate, 2 * rate) <= 0
    assert sum(tokens for _, tokens in spent) > 0.5 * rate * duration_s


def test_fleet_stopping_at_once_serves_its_queue(fleet):
    deployment = Deployment(hosts=3, engines=1, batch_slots=2, token_s=0.02)
    hosts = start_deployment(fleet, deployment)
    addresses = [fleet.addresses[host] for host in hosts] * 4
    headers = {"X-Deadline-Ms": "20000"}

    def call(address, number):
        return complete(address, number, max_tokens=50, headers=headers)

    with ThreadPoolExecutor(len(addresses)) as executor:
        answers = [
            executor.submit(call, address, number % 6)
            for number, address in enumerate(addresses)
        ]
        time.sleep(0.5)
        for host in hosts:
            fleet.terminate(host)
        assert [answer.result().status for answer in answers] == [200] * 12
    assert [fleet.wait_exit(host) for host in hosts] == [0, 0, 0]


def test_last_owner_waits_for_the_queues_of_hosts_that_released_theirs(fleet):
    deployment = Deployment(hosts=2, engines=1, batch_slots=1, token_s=0.02)
    hosts = start_deployment(fleet, deployment)
    addresses = [fleet.addresses[host] for host in hosts]
    headers = {"X-Deadline-Ms": "20000"}

    def call(number):
        # With a single adapter, a grant would serve the whole queue without an owner.
        return complete(addresses[0], number, max_tokens=50, headers=headers)

    with ThreadPoolExecutor(5) as executor:
        answers = executor.map(call, range(5))
        time.sleep(0.5)
        fleet.terminate(hosts[0])
        wait_until(lambda: not list_owned_pools(fleet, hosts[0]), what="hand-over")
        fleet.terminate(hosts[1])
        assert [answer.status for answer in answers] == [200] * 5
    assert [fleet.wait_exit(host) for host in hosts] == [0, 0]


def test_outage_with_a_failed_owner_keeps_grants_and_ends_within_the_takeover(fleet):
    deployment = Deployment(hosts=4, engines=2, rate=5000.0)
    hosts = start_with_organisations(fleet, deployment)
    failed_host = wait_until(lambda: find_pool_owner(fleet, hosts, "llm"))
    owners = find_owners(fleet)
    organisation = next(name for name, host in owners.items() if host == failed_host)
    addresses = [fleet.addresses[host] for host in hosts if host != failed_host]
    with LoadGenerator(addresses, organisation) as load:
        time.sleep(2)
        fleet.set_faults("log", is_down=True)
        time.sleep(2)
        fleet.kill(failed_host)
        time.sleep(OUTAGE_DURATION_S)
        # Only the failed owners could decide on a load or on a claim on the log.
        unloaded_organisation = next(name for name in owners if name != organisation)
        assert_not_run(
            complete_as(addresses[0], unloaded_organisation),
            {"no-target", "host-unconfirmed"},
        )
        codes = {"log-unavailable"}
        if find_owners(fleet, "shop")["shop"] == failed_host:
            # A host without a share of the rate can't lease one either.
            codes.add("host-unconfirmed")
        assert_not_run(reserve(addresses[0], "in-outage"), codes)
        fleet.set_faults("log")
        returned_at = time.monotonic()
        wait_until(
            lambda: complete_as(addresses[0], unloaded_organisation).status == 200
        )
        wait_until(lambda: find_owners(fleet)[organisation] != failed_host)
        assert time.monotonic() - returned_at < TAKEOVER_LIMIT_S
        wait_until(lambda: reserve(addresses[0], "afterwards").status == 200)
    assert {answer.status for answer in load.answers} == {200}
    assert max(load.latencies_s) < REQUEST_LIMIT_S


def test_outage_beyond_its_limit_stops_hosts_until_the_log_returns(fleet, tmp_path):
    cut_files = {f"host-{i}": tmp_path / f"host-{i}.cuts.json" for i in range(3)}
    deployment = Deployment(
        hosts=3,
        engines=1,
        token_s=0.02,
        settings={"slices.membership": {"outage_limit_s": OUTAGE_LIMIT_S}},
        cut_files={name: str(path) for name, path in cut_files.items()},
    )
    hosts = start_deployment(fleet, deployment)
    # The host to partition comes last, since requests at the other hosts need the
    # owners. The pause is needed because keys change owners while hosts join.
    time.sleep(2)
    owners = {
        wait_until(lambda: find_pool_owner(fleet, hosts, "llm")),
        wait_until(lambda: find_owners(fleet, "shop").get("shop")),
    }
    hosts.sort(key=lambda host: host not in owners)
    cut_file = cut_files[hosts[2]]
    addresses = [fleet.addresses[host] for host in hosts]
    streams = [StreamCaller(a, "adapter-0", "p", 2000).start() for a in addresses]
    assert all(stream.first_token.wait(20) for stream in streams)
    fleet.set_faults("log", is_down=True)
    cut_file.write_text(json.dumps({"to": hosts[:2], "from": hosts[:2]}))
    down_at = time.monotonic()
    assert withdraw_key(fleet).returncode == 1
    # The partitioned host can confirm neither its session nor its configuration.
    sleep_until(down_at + WITHDRAWN_LIMIT_S)
    assert_not_run(complete(addresses[2]), {"host-unconfirmed"})
    assert streams[2].join(1).error["code"] == "host-unconfirmed"
    for address in addresses[:2]:
        answer = complete(address)
        assert answer.status == 200, answer
    # By now the peers may no longer stand in for the log either.
    sleep_until(down_at + OUTAGE_LIMIT_S + WITHDRAWN_LIMIT_S)
    for address, stream in zip(addresses, streams, strict=True):
        assert_not_run(complete(address), {"host-unconfirmed"})
        assert send_http(address, "GET", "/readyz").status == 503
        error = stream.join(1).error
        assert error["code"] == "host-unconfirmed"
        assert error["execution"] == "outcome-unknown"
        assert stream.is_correct_so_far
    cut_file.unlink()
    fleet.set_faults("log")
    returned_at = time.monotonic()
    wait_until(lambda: {complete(address).status for address in addresses} == {200})
    assert time.monotonic() - returned_at < TAKEOVER_LIMIT_S
    assert withdraw_key(fleet).returncode == 0
    withdrawn_at = time.monotonic()
    wait_until(lambda: {complete(address).status for address in addresses} == {401})
    assert time.monotonic() - withdrawn_at < WITHDRAWN_LIMIT_S


def complete_as(address, organisation, max_tokens=2):
    return complete(
        address,
        key=get_organisation_key(organisation),
        model=f"of-{organisation}",
        max_tokens=max_tokens,
    )


def assert_not_run(answer, codes):
    """Check that a refusal says that nothing ran and when the caller may retry."""
    assert answer.status == 503, answer
    error = answer.json["error"]
    assert error["execution"] == "not-run"
    assert error["code"] in codes
    assert error["may_retry"]
    assert float(answer.headers["retry-after"]) > 0


def sleep_until(time_s):
    time.sleep(max(0.0, time_s - time.monotonic()))


def withdraw_key(fleet):
    digest = digest_key(SHOP_KEY)
    options = ["--log", fleet.addresses["log"]]
    return subprocess.run(
        [sys.executable, "-m", "thornlatch", "key", "withdraw", digest, *options],
        cwd=ROOT,
        env=build_environment(),
        capture_output=True,
        timeout=30,
    )


def test_one_of_two_conflicting_publications_wins_on_every_host(fleet, tmp_path):
    deployment = Deployment(hosts=3, engines=1)
    hosts = start_deployment(fleet, deployment)
    inventory = build_inventory(fleet, deployment)
    base = get_inventory_offset(fleet, hosts[0])
    for round_number in range(4):
        rates = {"anna": 1000.0 + round_number, "bert": 2000.0 + round_number}
        changed = {}
        for author, rate in rates.items():
            organisations = (
                replace(inventory.organisations[0], rate=rate),
                *inventory.organisations[1:],
            )
            changed[author] = replace(inventory, organisations=organisations)
            write_inventory(tmp_path / f"{author}.toml", changed[author])
        # The delay lets both commands read the log before either appends.
        fleet.set_faults("log", delay_s=0.4)
        processes = {
            author: start_publish(fleet, tmp_path / f"{author}.toml", author, base)
            for author in rates
        }
        results = {name: p.communicate(timeout=20) for name, p in processes.items()}
        statuses = {name: p.returncode for name, p in processes.items()}
        fleet.set_faults("log")
        assert sorted(statuses.values()) == [0, 4], (statuses, results)
        winner = next(name for name in statuses if statuses[name] == 0)
        loser = next(name for name in statuses if statuses[name] == 4)
        assert "configuration-conflict" in results[loser][1]
        base = int(results[winner][0].split("offset ")[1].split(":")[0])
        wait_until(lambda base=base: set(read_rates(fleet, base)) == set(hosts))
        assert set(read_rates(fleet, base).values()) == {rates[winner]}
        inventory = changed[winner]


def get_inventory_offset(fleet, host):
    status = send_http(fleet.addresses[host], "GET", "/status").json
    return status["configuration"]["inventory_offset"]


def read_rates(fleet, offset):
    """Return the rate that each host put in force with the record at an offset.

    A host that read the rejected record in the same batch logs the offset of that
    record, so later offsets count too.
    """
    return {
        event["host"].partition(".")[0]: event["detail"]["rate"]
        for event in fleet.read_events()
        if event["event"] == "configuration.allowance_in_force"
        and event["organisation"] == "shop"
        and event["offset"] >= offset
    }


def write_inventory(path, inventory):
    """Write an inventory file in the format that operators use."""
    lines = []
    for kind, items in msgspec.to_builtins(inventory).items():
        for item in items:
            lines.append(f"[[{kind}]]")
            lines += [f"{name} = {json.dumps(value)}" for name, value in item.items()]
    path.write_text("\n".join(lines) + "\n")


def start_publish(fleet, path, author, base):
    command = [sys.executable, "-m", "thornlatch", "config", "publish", str(path)]
    options = ["--log", fleet.addresses["log"], "--author", author]
    return subprocess.Popen(
        [*command, *options, "--base", str(base)],
        cwd=ROOT,
        env=build_environment(),
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def build_environment():
    return {**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"}
