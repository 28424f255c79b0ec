"""The whole path in a real process, before stand-ins of the store and of servers."""

import http.client
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from stand_ins import ModelServer, Store, build_config, build_route

ROOT = Path(__file__).resolve().parent.parent.parent
WAIT_S = 20.0


PORTS_PER_HOST = 4  # callers, readiness, peers, metrics
# Below the ephemeral ports, and another block for each worker of pytest.
WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:])
PORTS = itertools.count(21000 + 600 * (WORKER % 12), PORTS_PER_HOST)


def find_ports():
    """Return the first of some ports that are free."""
    return next(first for first in PORTS if all(map(is_free, range(first, first + 4))))


def is_free(port):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class Host:
    """A gateway process."""

    def __init__(self, folder, store, name="edge-1"):
        self.name = name
        self.callers = find_ports()
        self.ready, self.internal = self.callers + 1, self.callers + 2
        path = folder / f"{name}.toml"
        path.write_text(self.describe(store))
        self.log = (folder / f"{name}.log").open("w+")
        self.process = subprocess.Popen(
            [sys.executable, "platform/main.py"],
            cwd=ROOT,
            env={**os.environ, "THORNLATCH_NODE_FILE": str(path)},
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )

    def describe(self, store):
        return f"""
nodeName = "{self.name}"
ip = "127.0.0.1"
zone = "z1"
internalPortRange = [{self.internal}, {self.internal + 5}]
somethingNew = 1
[listenersConfig]
frontend = "127.0.0.1:{self.callers}"
readiness = "127.0.0.1:{self.ready}"
[bounds]
addressReuseS = 2
contactTimeoutMs = 3000
drainTimeoutMs = 2000
gracePeriodS = 8
revokeTimeoutMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
budgetSlack = 56
fencingEnabled = true
leaseMs = 3000
[platform]
address = "{store.address}"
parts = 12
"""

    def wait_ready(self, *, expected=200):
        wait_until(lambda: self.ask_ready() == expected, self.read_log)

    def is_decided(self):
        return self.ask_ready() == 200 or self.process.poll() is not None

    def ask_ready(self):
        try:
            connection = http.client.HTTPConnection("127.0.0.1", self.ready, timeout=2)
            connection.request("GET", "/api/readyz")
            return connection.getresponse().status
        except OSError:
            return None

    def call(self, path, *, method="POST", key="key-1", host="a.example", **headers):
        connection = http.client.HTTPConnection("127.0.0.1", self.callers, timeout=10)
        sent = {"Host": host, "Thornlatch-Request-Id": os.urandom(8).hex()}
        if key:
            sent["Authorization"] = f"Token {key}"
        sent.update({k.replace("_", "-"): v for k, v in headers.items()})
        connection.request(method, path, b"body" if method == "POST" else None, sent)
        response = connection.getresponse()
        try:
            body = response.read()
        except http.client.IncompleteRead as error:
            return response, error
        finally:
            connection.close()
        return response, body

    def read_log(self):
        self.log.flush()
        return Path(self.log.name).read_text()

    def list_events(self, name):
        lines = [json.loads(x) for x in self.read_log().splitlines() if x[:1] == "{"]
        return [line for line in lines if line["event"] == name]

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(timeout=WAIT_S)


def start_host(folder, store, name="edge-1"):
    """Start a host; on other ports if a connection has taken one in the meantime."""
    while True:
        host = Host(folder, store, name)
        wait_until(host.is_decided, host.read_log)
        if host.process.poll() is None:
            return host
        assert "in use" in host.read_log(), host.read_log()


def wait_until(condition, explain=lambda: ""):
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, explain()
        time.sleep(0.02)


@pytest.fixture
def world(tmp_path):
    store = Store()
    servers = {
        "api-1": ModelServer("api-1", "api"),
        "api-2": ModelServer("api-2", "api"),
        "llm-1": ModelServer("llm-1", "llm", model="m"),
        "llm-2": ModelServer("llm-2", "llm", model="m"),
    }
    store.put("keyed.op", "config", build_config())
    for name, server in servers.items():
        store.put("keyed.servers", name, server.describe())
    host = start_host(tmp_path, store)
    wait_until(lambda: len(host.list_events("target.changed")) >= len(servers))
    yield store, servers, host
    if host.process.poll() is None:
        host.process.kill()
    for server in (store, *servers.values()):
        server.close()


def plan_all(servers, service, step):
    for server in servers.values():
        if server.service == service:
            server.plan = [step]


def count_requests(servers, service):
    return sum(len(s.requests) for s in servers.values() if s.service == service)


def test_plain_answer_is_the_server_s_own(world):
    _, servers, host = world
    response, body = host.call("/many/x?y=%20z", method="GET")
    assert response.status == 200
    name = response.headers["Thornlatch-Server-Signature"].removeprefix("sig-")
    assert body == b"answer of " + name.encode()
    method, path, headers, _ = servers[name].requests[0]
    assert (method, path) == ("GET", "/many/x?y=%20z")
    assert "Authorization" not in headers
    assert headers["Thornlatch-Tenant"] == "shop"
    assert headers["Thornlatch-Expect-Instance"] == name
    assert 0 < int(headers["Thornlatch-Deadline-Ms"]) <= 3000


def test_headers_of_the_system_s_own_aren_t_taken_from_callers(world):
    _, servers, host = world
    host.call(
        "/many/x",
        Thornlatch_Tenant="other",
        Thornlatch_Reservation="1",
        Thornlatch_Pin_Ms="1",
        Thornlatch_Kv_Backup="1.2.3.4:5",
        Kv_From="1.2.3.4:5/x",
        Kv_Fetch="1.2.3.4:5",
        X_Other="kept",
    )
    _, _, headers, body = next(s.requests[0] for s in servers.values() if s.requests)
    assert headers["Thornlatch-Tenant"] == "shop"
    assert headers["X-Other"] == "kept"
    assert body == b"body"
    names = {name.lower() for name in headers}
    assert not names & {
        "thornlatch-reservation",
        "thornlatch-pin-ms",
        "thornlatch-kv-backup",
        "kv-from",
        "kv-fetch",
    }


@pytest.mark.parametrize(
    ("path", "more", "status", "code"),
    [
        ("/nowhere/", {}, 404, "unknown-route"),
        ("/many/x", {"host": "other.example"}, 404, "unknown-route"),
        ("/many/x", {"key": "wrong"}, 401, "unknown-key"),
        ("/many/x", {"key": ""}, 401, "unknown-key"),
        ("/llm/x", {"Thornlatch_Token_Usage": "many"}, 400, "bad-request"),
        ("/llm/x", {"Thornlatch_Prefix_Hash": "a"}, 400, "bad-request"),
        ("/many/x", {"Thornlatch_Deadline_Ms": "-1"}, 400, "bad-request"),
    ],
)
def test_refusals_have_a_code_and_reach_no_server(world, path, more, status, code):
    _, servers, host = world
    response, body = host.call(path, **more)
    assert response.status == status
    assert json.loads(body)["error"]["code"] == code
    assert not any(server.requests for server in servers.values())


def test_public_route_needs_no_key(world):
    _, _, host = world
    assert host.call("/open/x", key="")[0].status == 200


@pytest.mark.parametrize(
    ("step", "status", "sends"),
    [
        ("shed", 503, 2),
        ("error", 500, 1),
        ("reset", 502, 1),
        ("cut", 502, 1),
        ("unsigned", 502, 1),
        ("crossed", 502, 1),
        ("unconfirmed-503", 502, 1),
    ],
)
def test_request_that_may_not_repeat_runs_once(world, step, status, sends):
    _, servers, host = world
    plan_all(servers, "api", step)
    response, _ = host.call("/once/x")
    assert response.status == status
    assert count_requests(servers, "api") == sends


@pytest.mark.parametrize(
    "step", ["shed", "error", "reset", "cut", "unsigned", "crossed", "unconfirmed-503"]
)
def test_request_that_may_repeat_goes_to_the_other_server(world, step):
    _, servers, host = world
    plan_all(servers, "api", step)
    servers["api-2"].plan = [""] if step == "shed" else [step]
    servers["api-1"].plan = [step]
    for server in servers.values():
        server.plan = server.plan[:1]
    response, _ = host.call("/many/x")
    assert count_requests(servers, "api") <= 2
    if step == "shed":
        assert response.status == 200


def test_adapter_is_loaded_for_its_first_request(world):
    _, servers, host = world
    response, body = host.call(
        "/llm/x", Thornlatch_Model="m/a7", Thornlatch_Token_Usage="10,20"
    )
    assert response.status == 200
    assert body == b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, 5))
    orders = servers["llm-1"].orders + servers["llm-2"].orders
    assert [order["adapterId"] for order in orders] == ["a7"]
    assert orders[0]["owner"] == "edge-1"
    assert orders[0]["fencingToken"] >= 1
    assert orders[0]["expected"] == 0


def test_broken_stream_goes_on_at_the_other_server(world):
    _, servers, host = world
    for server in ("llm-1", "llm-2"):
        servers[server].adapters["a1"] = 1
    plan_all(servers, "llm", "cut-stream")
    servers["llm-2"].plan = ["cut-stream"]
    host.call("/llm/x", Thornlatch_Model="m")
    for server in servers.values():
        server.plan = []
    servers["llm-1"].plan = ["cut-stream"]
    for _ in range(6):
        _, body = host.call("/llm/x", Thornlatch_Model="m")
        assert body == b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, 5))


def test_announced_version_replaces_the_adapter(world):
    store, servers, host = world
    host.call("/llm/x", Thornlatch_Model="m/a7")
    entry = {"modelId": "m", "adapterId": "a7", "version": 2}
    store.put("keyed.op", "version/m.a7", entry)

    def has_replaced():
        orders = servers["llm-1"].orders + servers["llm-2"].orders
        return any(order.get("version") == 2 for order in orders)

    wait_until(has_replaced, host.read_log)


def test_leaving_and_removed_servers_get_nothing(world):
    store, servers, host = world
    store.put("keyed.servers", "api-1", servers["api-1"].describe("draining"))
    wait_until(lambda: any(e["leaving"] for e in host.list_events("target.changed")))
    for _ in range(6):
        assert host.call("/many/x")[0].status == 200
    assert not servers["api-1"].requests
    store.put("keyed.servers", "api-2", None)
    wait_until(lambda: any(e["gone"] for e in host.list_events("target.changed")))
    assert host.call("/many/x")[0].status == 503


def test_unreadable_entries_are_logged_once_and_the_others_hold(world):
    store, _, host = world
    bad = {"service": "api", "address": "nowhere", "zone": "z1"}
    store.put("keyed.servers", "api-9", bad)
    store.put("keyed.servers", "api-9", bad)
    store.put("keyed.op", "config", {"version": "x"})
    wait_until(lambda: len(host.list_events("store.entry_unreadable")) == 2)
    assert host.call("/many/x")[0].status == 200
    assert len(host.list_events("store.entry_unreadable")) == 2


def test_withdrawn_key_stops(world):
    store, _, host = world
    tenants = build_config()["tenants"]
    tenants[0]["apiKeys"] = ["key-2"]
    store.put("keyed.op", "config", build_config(2, tenants=tenants))
    wait_until(lambda: host.call("/many/x")[0].status == 401)
    assert host.call("/many/x", key="key-2")[0].status == 200


def test_keys_aren_t_accepted_when_the_store_is_away_for_long(world):
    store, _, host = world
    store.status = 503
    began_at = time.monotonic()
    wait_until(lambda: host.call("/many/x")[0].status == 503, host.read_log)
    assert 3.0 < time.monotonic() - began_at < 5.0
    assert host.call("/open/x", key="")[0].status == 200
    host.wait_ready(expected=503)
    store.status = 200
    wait_until(lambda: host.call("/many/x")[0].status == 200)
    assert host.list_events("store.lost")
    assert host.list_events("store.regained")


def test_lost_history_is_read_anew(world):
    store, _, host = world
    store.put("keyed.op", "config", build_config(2))
    store.forget_history("keyed.op")
    store.forget_history("keyed.servers")
    routes = [build_route("new", "/new/", "idempotent", "api")]
    store.put("keyed.op", "config", build_config(3, routes=routes))
    wait_until(lambda: host.call("/new/x")[0].status == 200)


def test_sighup_changes_nothing_that_runs(world):
    _, _, host = world
    host.process.send_signal(signal.SIGHUP)
    wait_until(lambda: host.list_events("host.reloaded"))
    assert host.call("/many/x")[0].status == 200


def test_planned_stop_finishes_a_running_stream(world):
    _, servers, host = world
    for server in ("llm-1", "llm-2"):
        servers[server].events, servers[server].pause_s = 20, 0.1
    connection = http.client.HTTPConnection("127.0.0.1", host.callers, timeout=10)
    connection.request(
        "POST",
        "/llm/x",
        b"",
        {
            "Host": "a.example",
            "Thornlatch-Request-Id": "r1",
            "Thornlatch-Model": "m",
            "Authorization": "Token key-1",
        },
    )
    response = connection.getresponse()
    first = response.read1(20)
    host.process.send_signal(signal.SIGTERM)
    host.wait_ready(expected=503)
    assert (first + response.read()).count(b"data:") == 20
    assert host.process.wait(timeout=WAIT_S) == 0


def test_reader_that_stops_reading_the_log_stops_nothing(world, tmp_path):
    store, _, _ = world
    other = start_host(tmp_path, store, name="edge-2")
    os.kill(other.process.pid, 0)
    assert other.call("/many/x")[0].status == 200
    assert other.stop() == 0
