"""Gateway processes for tests, on free ports of the loopback interface."""

import contextlib
import http.client
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from stand_ins import ModelServer, Store, build_config
from tests.ports import ports

ROOT = Path(__file__).resolve().parent.parent.parent
TIMEOUT_S = 20.0
START = """
import os, sys, threading, time
from dataclasses import replace
sys.path[:0] = ["src", "platform"]
from adapter import _host as adapter
from thornlatch.gateway import _gateway as gateway

{change}
sys.exit(adapter.run_host())
"""
# Connections to some ports fail in a host while the file exists, which says how.
CUT = """
import os, socket
connect, send_all = socket.socket.connect, socket.socket.sendall
def is_cut(port):
    return port in {ports!r} and os.path.exists({path!r})
def connect_unless_cut(sock, address):
    if isinstance(address, tuple) and is_cut(address[1]):
        with open({path!r}) as file:
            if file.read() == "hanging":
                time.sleep(min(sock.gettimeout() or 9.0, 9.0))
                raise TimeoutError("timed out")
        raise ConnectionRefusedError(111, "Connection refused")
    return connect(sock, address)
def send_all_unless_cut(sock, *args):
    if is_cut(sock.getpeername()[1]):
        raise ConnectionResetError(104, "Connection reset by peer")
    return send_all(sock, *args)
socket.socket.connect = connect_unless_cut
socket.socket.sendall = send_all_unless_cut
"""
PORTS_PER_HOST = 5  # callers, readiness, peers, metrics, tunnels


class Host:
    """A gateway process."""

    def __init__(self, folder, store_address, name="edge-1"):
        self.name = name
        self.store_address = store_address
        self.callers = ports.allocate(PORTS_PER_HOST)
        self.readiness_port, self.internal_port = (
            self.callers + 1,
            self.callers + 2,
        )
        path = folder / f"{name}.toml"
        path.write_text(self.build_settings())
        self.settings_path = path
        self.log = (folder / f"{name}.log").open("a+")
        self.start()

    def start(self):
        """Start the process, or start it again on the same addresses."""
        self.process = subprocess.Popen(
            [sys.executable, "platform/main.py"],
            cwd=ROOT,
            env={**os.environ, "THORNLATCH_NODE_FILE": str(self.settings_path)},
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )

    def build_settings(self):
        return f"""
nodeName = "{self.name}"
ip = "127.0.0.1"
zone = "z1"
internalPortRange = [{self.internal_port}, {self.internal_port + 5}]
somethingNew = 1
[listenersConfig]
frontend = "127.0.0.1:{self.callers}"
readiness = "127.0.0.1:{self.readiness_port}"
[bounds]
addressReuseS = 2
contactTimeoutMs = 3000
drainTimeoutMs = 2000
gracePeriodS = 8
quotaWindowS = 8
revokeTimeoutMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
budgetSlack = 56
fencingEnabled = true
leaseMs = 3000
[platform]
address = "{self.store_address}"
parts = 12
"""

    def wait_ready(self, *, expected=200):
        wait_until(lambda: self.ask_ready() == expected, self.read_log)

    def has_started_or_exited(self):
        return self.ask_ready() == 200 or self.process.poll() is not None

    def ask_ready(self):
        try:
            connection = http.client.HTTPConnection(
                "127.0.0.1", self.readiness_port, timeout=2
            )
            connection.request("GET", "/api/readyz")
            return connection.getresponse().status
        except OSError:
            return None

    def call(self, path, *, method="POST", key="key-1", host="a.example", **headers):
        connection = http.client.HTTPConnection("127.0.0.1", self.callers, timeout=10)
        sent_headers = {"Host": host, "Thornlatch-Request-Id": os.urandom(8).hex()}
        if key:
            sent_headers["Authorization"] = f"Token {key}"
        sent_headers.update(
            {name.replace("_", "-"): value for name, value in headers.items()}
        )
        connection.request(
            method, path, b"body" if method == "POST" else None, sent_headers
        )
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

    def read_metric(self, name):
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.internal_port + 1, timeout=5
        )
        connection.request("GET", "/")
        page = connection.getresponse().read().decode()
        return [line for line in page.splitlines() if line.startswith(name)]

    def list_events(self, name):
        # The host may be writing the rest of the last line.
        whole, _, _ = self.read_log().rpartition("\n")
        records = [json.loads(line) for line in whole.splitlines() if line[:1] == "{"]
        return [record for record in records if record["event"] == name]

    def wait_events(self, name, count=1):
        """Return the records of an event once there are so many.

        The host's log is written by a thread of its own, so a caller may have its
        answer first.
        """
        wait_until(lambda: len(self.list_events(name)) >= count, self.read_log)
        return self.list_events(name)

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(timeout=TIMEOUT_S)


class ChangedHost(Host):
    """A host of which Python statements change a part before it starts."""

    def __init__(self, folder, store_address, change, name="edge-1"):
        self.change = change
        super().__init__(folder, store_address, name)

    def start(self):
        self.process = subprocess.Popen(
            [sys.executable, "-c", START.format(change=self.change)],
            cwd=ROOT,
            env={**os.environ, "THORNLATCH_NODE_FILE": str(self.settings_path)},
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )


class Cut:
    """Cuts the links between a `ChangedHost` and servers, which others still reach."""

    def __init__(self, path, servers):
        self.path = path
        ports = {int(server.address.rpartition(":")[2]) for server in servers}
        self.change = CUT.format(path=str(path), ports=ports)

    def begin(self, kind):
        """Cut the links: new connections are `refused` or `hanging`."""
        self.path.write_text(kind)

    def end(self):
        self.path.unlink(missing_ok=True)


def start_host(folder, store_address, name="edge-1"):
    """Start a host, on other ports if one was taken by a connection in the meantime."""
    while True:
        host = Host(folder, store_address, name)
        wait_until(host.has_started_or_exited, host.read_log)
        if host.process.poll() is None:
            return host
        assert "in use" in host.read_log(), host.read_log()


@contextlib.contextmanager
def run_deployment(folder, *names, versions=None, config=None):
    """Run a host before a store and servers named SERVICE-NUMBER.

    `versions` has the software versions of servers by name, and `config` is the
    configuration; None for that of `build_config`.
    """
    store = Store()
    servers = {
        name: ModelServer(name, name[:3], model="m" if name[:3] == "llm" else "")
        for name in names
    }
    store.put("keyed.op", "config", config or build_config())
    for name, server in servers.items():
        server.version = (versions or {}).get(name, server.version)
        store.put("keyed.servers", name, server.describe())
    host = start_host(folder, store.address)
    wait_until(lambda: len(host.list_events("target.changed")) >= len(servers))
    try:
        yield store, servers, host
    finally:
        host.process.kill()
        for server in (store, *servers.values()):
            server.close()


def wait_until(condition, describe_failure=lambda: ""):
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, describe_failure()
        time.sleep(0.02)
