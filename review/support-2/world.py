"""Gateways as separate processes, and stand-ins for servers, clients and settings."""

import http.client
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from store import Store, Way, listen

ROOT = Path(__file__).resolve().parent.parent.parent
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case couldn't be set up."""


class Record:
    """The case's record of what was sent, answered and run."""

    def __init__(self, path):
        self.file = path.open("w")
        self.began_at = time.monotonic()
        self.lock = threading.Lock()

    def add(self, text, at=None):
        """Add a line, with a time of the steady clock."""
        at = time.monotonic() if at is None else at
        with self.lock:
            self.file.write(f"{at - self.began_at:9.3f}  {text}\n")
            self.file.flush()


reservations = []


def find_ports(count):
    """Return the first of `count` successive free ports, drawn at random.

    A named socket keeps the block from other scripts until this process ends.
    """
    for _ in range(1000):
        first = random.randrange(21000, 32000, 10)
        reservation = socket.socket(socket.AF_UNIX)
        sockets = []
        try:
            reservation.bind(f"\0thornlatch-review-ports-{first}")
            for port in range(first, first + count):
                sockets.append(socket.socket())
                sockets[-1].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sockets[-1].bind(("127.0.0.1", port))
        except OSError:
            reservation.close()
            continue
        else:
            reservations.append(reservation)
            return first
        finally:
            for sock in sockets:
                sock.close()
    raise CannotRun("no free ports")


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, name, store_address, folder, record, *, link_mbps=1000.0):
        self.name, self.record = name, record
        port = find_ports(9)
        self.frontend, self.readiness = port, port + 1
        self.settings = folder / f"{name}.toml"
        self.settings.write_text(
            f"""nodeName = "{name}"
role = "gateway"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "z1"
region = "r1"
internalPortRange = [{port + 2}, {port + 8}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatIntervalMs = 1200
[zones]
z1 = "r1"
[listenersConfig]
frontend = "127.0.0.1:{self.frontend}"
readiness = "127.0.0.1:{self.readiness}"
[limits]
cpuQuota = 0.537
cores = 2
memoryMb = 300
maxFds = 4200
linkMbps = {link_mbps}
[bounds]
seedLagS = 3
addressReuseS = 2
contactTimeoutMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainTimeoutMs = 2000
gracePeriodS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
strictRevocation = true
revokeTimeoutMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
budgetSlack = 56
quotaWindowS = 8
quotaOverage = 0.1
quotaTolerance = 17000
recoveryS = 12
iterationMs = 120
retryAfterS = 0
fencingEnabled = true
leaseMs = 3000
thawSlackMs = 300
rateWindowS = 5
loadRateFactor = 1.1
version_ms = 5000
[platform]
address = "{store_address}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
"""
        )
        self.log = (folder / f"{name}.log").open("w")
        self.process = None

    def start(self):
        """Start the process."""
        settings = {"THORNLATCH_NODE_FILE": str(self.settings)}
        self.process = subprocess.Popen(
            [sys.executable, "target/app/platform/main.py"],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": "target/deps", **settings},
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )
        self.record.add(f"{self.name} started")

    def signal(self, number):
        """Send a signal."""
        self.record.add(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_ready(self):
        """Return whether it reports that it is ready."""
        try:
            link = http.client.HTTPConnection("127.0.0.1", self.readiness, timeout=1)
            link.request("GET", "/api/readyz")
            status = link.getresponse().status
            link.close()
        except OSError:
            return False
        return status == 200

    def wait_ready(self, within_s=20):
        """Wait until it is ready."""
        until = time.monotonic() + within_s
        while not self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise CannotRun(f"{self.name} isn't ready")
            time.sleep(0.05)
        self.record.add(f"{self.name} is ready")

    def end(self):
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class PlainServer:
    """A server that runs each request that names it, and registers itself."""

    def __init__(self, store, name, service, record, *, back_s=3.0):
        self.store, self.place, self.service = store, name, service
        self.record, self.back_s = record, back_s
        self.crashes = []
        self.is_leaving = False
        self.runs = []  # time, request, caller's path and tenant
        self.lock = threading.Lock()
        self.starts = 0
        self.http = None
        self.begin()

    def begin(self):
        """Start, or start again with a new id."""
        self.starts += 1
        self.name = f"{self.place}-{self.starts}"
        self.born, self.sequence = int(time.time() * 1000), 0
        port = self.http.server_address[1] if self.http else 0
        self.http = listen(self.answer, port)
        self.address = f"127.0.0.1:{self.http.server_address[1]}"
        self.register()
        run_thread(self._beat, self.name)

    def crash(self):
        """End all connections; the server is back after some seconds."""
        with self.lock:
            if self.http.is_closed:
                return
            self.http.is_closed = True
            self.crashes.append(time.monotonic())
        self.record.add(f"{self.name} crashes")
        self.http.end()
        run_thread(self._come_back, self.name)

    def _come_back(self, name):
        time.sleep(self.back_s)
        self.begin()
        # The store drops the entry that is silent for three intervals.
        time.sleep(max(3 * HEARTBEAT_S - self.back_s, 0))
        self.store.write("keyed.servers", [(name, None)])

    def describe(self):
        """Return the entry."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 32,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def register(self):
        """Write the entry."""
        self.sequence += 1
        self.store.write("keyed.servers", [(self.name, self.describe())])

    def run_request(self, handler, request):
        """Run a request; return whether it is to be answered."""
        return True

    def _beat(self, name):
        while True:
            time.sleep(HEARTBEAT_S)
            if self.is_leaving or self.name != name or self.http.is_closed:
                return
            if not self.store.is_down:
                self.register()

    def answer(self, handler):
        """Answer a request."""
        headers = handler.headers
        request = headers.get("Thornlatch-Request-Id", "")
        named = {"Thornlatch_Instance_Id": self.name}
        if request:
            named["Thornlatch_Request_Id"] = request
        if handler.path == "/healthz":
            handler.reply(200, **named)
            return
        if headers.get("Thornlatch-Expect-Instance") != self.name:
            handler.reply(421, Thornlatch_Not_Executed="1", **named)
            return
        tenant = headers.get("Thornlatch-Tenant", "")
        now = time.monotonic()
        self.runs.append((now, request, handler.path, tenant))
        self.record.add(f"{self.name} runs {request} for {tenant or 'anybody'}", now)
        if not self.run_request(handler, request):
            return
        body = f"{request} at {self.name}".encode()
        handler.reply(200, body, Thornlatch_Server_Signature=f"s-{request}", **named)


class Caller:
    """A client that keeps its connection to one gateway while that answers."""

    def __init__(self, gateway, record, *, host="a.example", key="key-1"):
        self.gateway, self.record = gateway, record
        self.host, self.key = host, key
        self.link = None

    def call(self, path, *, method="GET", body=None, **headers):
        """Send a request; return its id, when it was sent, and the status or None."""
        request = os.urandom(6).hex()
        sent = {
            "Host": self.host,
            "Thornlatch-Request-Id": request,
            "Thornlatch-Deadline-Ms": "1500",
        }
        if self.key:
            sent["Authorization"] = f"Token {self.key}"
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        if self.link is None:
            port = self.gateway.frontend
            self.link = http.client.HTTPConnection("127.0.0.1", port, timeout=3)
        sent_at = time.monotonic()
        status = None
        try:
            self.link.request(method, path, body, sent)
            response = self.link.getresponse()
            response.read()
            status = response.status
            if response.will_close:
                self.close()
        except (OSError, http.client.HTTPException):
            self.close()
        self.record.add(
            f"{self.gateway.name} answers {status} to {request}"
            f" (path {path}, key {self.key}), sent at"
            f" {sent_at - self.record.began_at:.3f}"
        )
        return request, sent_at, status

    def close(self):
        """Close the connection."""
        if self.link is not None:
            self.link.close()
            self.link = None


def build_route(name, prefix, service, kind="idempotent", **changes):
    """Return a route of a desired state."""
    route = {
        "name": name,
        "host": "a.example",
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": 1000,
        "targetLatencyMs": 200,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "resumable": False,
        "targetGapMs": 300,
    }
    return route | changes


def build_config(version, routes, services):
    """Return a desired state with one tenant; `services` has runtimes by name."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConnections": 200}
            | ({"runtime": runtime} if runtime else {})
            for name, runtime in services.items()
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "shop", "apiKeys": ["key-1"], "ratePerS": 0, "burst": 0}],
    }


class Case:
    """A case: stand-ins, gateways and callers; `run` returns the exit status.

    The status is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't
    run.
    """

    def __init__(self, script):
        self.folder = Path(tempfile.mkdtemp())
        self.record = Record(Path(script).resolve().parent / "record.txt")
        self.store = Store()
        self.ways = []
        self.gateways = []
        self.sent = {}  # by gateway: id, time, status and path of each request
        self.is_over = False

    def run(self):
        """Play the case; return the exit status."""
        raise NotImplementedError

    def main(self):
        """Play the case and exit."""
        status = 2
        try:
            status = self.run()
        except Exception as error:
            self.say(f"couldn't run: {error!r}")
        self.is_over = True
        for gateway in self.gateways:
            gateway.end()
        shutil.rmtree(self.folder, ignore_errors=True)
        sys.stdout.flush()
        os._exit(status)

    def say(self, text):
        """Print a line and record it."""
        self.record.add(text)
        sys.stdout.write(text + "\n")

    def add_gateway(self):
        """Start one more gateway."""
        way = Way(self.store)
        name = f"edge-{len(self.gateways) + 1}"
        gateway = Gateway(name, way.address, self.folder, self.record)
        self.ways.append(way)
        self.gateways.append(gateway)
        gateway.start()
        return gateway

    def start_gateways(self, count):
        """Start gateways and wait until they are ready."""
        for _ in range(count):
            self.add_gateway()
        for gateway in self.gateways:
            gateway.wait_ready()

    def start_callers(self, path, period_s, **request):
        """Let a client of each gateway send a request again and again.

        The path may be a function that returns one for each request.
        """
        for gateway in self.gateways:
            sent = self.sent.setdefault(gateway.name, [])
            run_thread(self._keep_calling, gateway, path, period_s, sent, request)

    def _keep_calling(self, gateway, path, period_s, sent, request):
        caller = Caller(gateway, self.record)
        due_at = time.monotonic()
        while not self.is_over:
            called = path() if callable(path) else path
            sent.append((*caller.call(called, **request), called))
            due_at += period_s
            time.sleep(max(due_at - time.monotonic(), 0))

    def stop_callers(self):
        """End the clients; return how many requests were served, and sent."""
        self.is_over = True
        time.sleep(0.3)
        statuses = [status for calls in self.sent.values() for _, _, status, _ in calls]
        served = statuses.count(200)
        self.say(f"{served} of {len(statuses)} requests were served")
        return served, len(statuses)


def run_thread(function, *args):
    """Run a function in a thread that ends with the process."""
    threading.Thread(target=function, args=args, daemon=True).start()
