"""Stand-ins for the store and servers that inject faults and record requests."""

import json
import random
import threading
import time
import zlib
from dataclasses import dataclass

from stand_ins import ModelServer, Store
from tests.soak.proxy import Proxy

ADAPTER_SLOTS = 4  # of each engine


@dataclass(frozen=True)
class Arrival:
    """A request that a server received; `was_run` tells whether it began to run."""

    received_at: float
    server: str
    request: str
    path: str
    was_run: bool
    organisation: str
    tokens: int
    deadline_ms: int
    has_key: bool
    after_event: int


@dataclass(frozen=True)
class PausedArrival:
    """Something that a server received; `pause_s` is the pause it asked for, or 0.

    `sender` is the host that an order names, empty for requests and reports.
    """

    received_at: float
    server: str
    started_ms: int
    sender: str
    request: str
    pause_s: float


class Observations:
    """Requests that servers received, and violations that callers cannot see."""

    def __init__(self):
        self.lock = threading.Lock()
        self.arrivals = []
        self.paused_arrivals = []
        self.violations = []

    def add_arrival(self, arrival):
        with self.lock:
            self.arrivals.append(arrival)

    def add_violation(self, invariant, detail):
        with self.lock:
            self.violations.append((invariant, detail))


class SoakStore(Store):
    """A store that expires silent members and may lose or delay its answers."""

    def __init__(self, loop):
        super().__init__()
        self.loop = loop
        self.rng = random.Random(1)
        self.lock = threading.Lock()
        self.renewed_at = {}
        self.peer_proxies = {}
        self.lost_ratio = 0.0
        self.slow_s = 0.0

    def answer(self, handler):
        if self.slow_s:
            time.sleep(self.slow_s)
        if self.rng.random() < self.lost_ratio and handler.command == "POST":
            # The call is carried out, but its answer is lost.
            handler.wfile = open("/dev/null", "wb")  # noqa: SIM115
            super().answer(handler)
            handler.wfile.close()
            handler.connection.close()
            handler.close_connection = True
            return
        super().answer(handler)

    def append(self, topic, record):
        """Append a record, with the address of a proxy in place of a host's.

        Links to hosts can fail through these proxies.
        """
        if topic == "keyed.hosts":
            key_size = record[0]
            key, value = record[1 : 1 + key_size], record[1 + key_size :]
            if value:
                entry = json.loads(value)
                entry["address"] = self._get_proxy(key.decode(), entry["address"])
                record = bytes([key_size]) + key + json.dumps(entry).encode()
        super().append(topic, record)

    def _get_proxy(self, host, address):
        with self.lock:
            if host not in self.peer_proxies:
                self.peer_proxies[host] = Proxy(self.loop, address)
            return self.peer_proxies[host].address

    def log_join(self, query, body):
        request = json.loads(body)
        with self.lock:
            now = time.monotonic()
            self.renewed_at[request["memberId"]] = now
            for name in list(self.members):
                if now - self.renewed_at.get(name, now) > self.members[name] / 1000:
                    del self.members[name]
                    self.generation += 1
            return super().log_join(query, body)

    def log_leave(self, query, body):
        with self.lock:
            return super().log_leave(query, body)

    def rebalance(self):
        """Reassign all partitions under a higher generation."""
        with self.lock:
            self.generation += 1


class SoakServer(ModelServer):
    """A server that checks fencing tokens and adapter slots, and injects faults.

    An order may be delayed and its answer lost; a request may be aborted.
    """

    def __init__(self, name, service, observations, loop, *, model=""):
        self.observations = observations
        self.events = 12
        self.fence = (0, "")
        self.late_ratio = 0.0
        self.fail_ratio = 0.0
        self.is_hung = False
        self.asked_pause_s = 0.0
        self.rng = random.Random(name)
        self.started_ms = 1
        super().__init__(name, service, model=model)
        self.set_version()
        self.pause_s = 0.05
        self.events = 12
        self.proxy = Proxy(loop, self.address, random.Random(name))

    def set_version(self):
        """Set the software version of this start; events name it."""
        self.version = (
            f"v{1 + zlib.crc32(f'{self.name}{self.started_ms}'.encode()) % 2}"
        )
        self.event_suffix = f" {self.version}"

    def describe(self, state="ready"):
        return super().describe(state) | {
            "address": self.proxy.address,
            "born": self.started_ms,
        }

    def restart(self):
        """Clear the state and reset the connections, as a crash does."""
        with self.lock:
            self.started_ms += 1
            self.set_version()
            self.sequence = 0
            self.fence = (0, "")
            self.adapters = {}
        self.proxy.reset()

    def answers_with_pause(self, handler, *, sender="", request=""):
        """Record an arrival; answer it with 503 if the server asks for a pause."""
        pause_s = self.asked_pause_s
        self.observations.paused_arrivals.append(
            PausedArrival(
                time.monotonic(), self.name, self.started_ms, sender, request, pause_s
            )
        )
        if pause_s:
            headers = {"Thornlatch_Request_Id": request} if request else {}
            handler.send(
                503,
                Thornlatch_Not_Executed="1",
                Retry_After=f"{pause_s:.2f}",
                **headers,
            )
        return bool(pause_s)

    def answer_order(self, handler, order):
        if self.answers_with_pause(handler, sender=order["owner"]):
            return
        if self.rng.random() < self.late_ratio:
            delay_s = self.rng.uniform(0.5, 4.0)
            timer = threading.Timer(
                delay_s, self._execute_order, (order, self.started_ms)
            )
            timer.daemon = True
            timer.start()
            time.sleep(1.0)
            handler.close_connection = True
            handler.connection.close()
            return
        status = self._execute_order(order, self.started_ms)
        handler.send(status, json.dumps({"sequence": self.sequence}).encode())

    def _execute_order(self, order, started_ms):
        with self.lock:
            token, owner = order["fencingToken"], order["owner"]
            if started_ms != self.started_ms:
                return 421
            if token < self.fence[0]:
                return 412
            if token == self.fence[0] and owner != self.fence[1]:
                self.observations.add_violation(
                    "one holder",
                    f"{self.name}: {owner} and {self.fence[1]} with token {token}",
                )
            self.fence = (token, owner)
            if order["expected"] != self.sequence:
                return 409
            self.sequence += 1
            name = order["adapterId"]
            if order["operation"] == "unloading":
                self.adapters.pop(name, None)
                return 200
            self.adapters[name] = order.get("version", 1)
            if len(self.adapters) > ADAPTER_SLOTS:
                self.observations.add_violation(
                    "adapter slots",
                    f"{self.name} was ordered {sorted(self.adapters)}",
                )
            return 202

    def take_request(self, handler, body):
        if self.is_hung:
            time.sleep(3.0)
        headers = dict(handler.headers.items())
        request = headers.get("Thornlatch-Request-Id", "")
        if self.answers_with_pause(handler, request=request):
            return
        adapter = headers.get("Thornlatch-Model", "").partition("/")[2]
        is_known = not adapter or adapter in self.adapters
        is_addressed = headers.get("Thornlatch-Expect-Instance") == self.name
        usage = headers.get("Thornlatch-Token-Usage", "10").split(",")
        self.observations.add_arrival(
            Arrival(
                time.monotonic(),
                self.name,
                request,
                handler.path,
                is_known and is_addressed,
                headers.get("Thornlatch-Tenant", ""),
                sum(map(int, usage)),
                int(headers.get("Thornlatch-Deadline-Ms", 1 << 30)),
                "Authorization" in headers,
                int(headers.get("Last-Event-Id", 0)),
            )
        )
        if not (is_known and is_addressed):
            handler.send(
                421,
                Thornlatch_Request_Id=request,
                Thornlatch_Instance_Id=self.name,
                Thornlatch_Not_Executed="1",
            )
            return
        signature_headers = {
            "Thornlatch_Request_Id": request,
            "Thornlatch_Server_Signature": f"sig-{self.name}",
        }
        if self.rng.random() < self.fail_ratio:
            handler.close_connection = True
            handler.connection.close()
        elif self.model:
            is_cut = self.rng.random() < self.fail_ratio
            # Drawn from the id, so that the faults of a seed stay as they are.
            if zlib.crc32(request.encode()) % 3 == 0:
                step = "cut-unframed" if is_cut else "unframed"
            else:
                step = "cut-stream" if is_cut else ""
            self.stream(handler, headers, signature_headers, step)
        else:
            time.sleep(self.rng.uniform(0, 0.03))
            handler.send(200, f"{request} {self.name}".encode(), **signature_headers)
