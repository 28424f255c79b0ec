"""Stand-ins for the platform's servers: engines and plain services."""

import contextlib
import json
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ADAPTER_LOAD_S = 0.25
REQUEST_ID = "Thornlatch-Request-Id"


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def setup(self):
        """Note the connection, which a crash closes."""
        super().setup()
        self.server.owner.connections.add(self.connection)

    def finish(self):
        """Forget the connection."""
        self.server.owner.connections.discard(self.connection)
        with contextlib.suppress(OSError, ValueError):
            super().finish()

    def do_GET(self):  # noqa: N802
        """Answer a call without a body."""
        self.server.owner.answer(self, b"")

    def do_POST(self):  # noqa: N802
        """Answer a call with a body."""
        size = int(self.headers.get("Content-Length", 0))
        self.server.owner.answer(self, self.rfile.read(size))

    def log_message(self, *args):
        """Write no access log."""

    def send(self, status, body=b"", **headers):
        """Send a whole answer."""
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Ignore connections that callers close."""


class Server:
    """A sound server; subclasses override `run` for faults.

    Parameters
    ----------
    name, service : str
    slots : int
    model : str
        The model that an engine holds; empty for a plain service.
    places : int
        Largest number of adapters.

    Attributes
    ----------
    orders : list of dict
        Orders with the time of their arrival and the answer's status.
    runs : list of (float, str)
        Time and id of each request that ran.
    """

    def __init__(self, name, service, *, slots=8, model="", places=4):
        self.name = name
        self.service = service
        self.slots = slots
        self.model = model
        self.places = places
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.fence = 0
        self.adapters = {}
        self.users = {}
        self.orders = []
        self.runs = []
        self.lock = threading.Lock()
        self.places_free = threading.Semaphore(slots)
        self.connections = set()
        self.is_down = False
        self.listen(0)
        self.address = f"127.0.0.1:{self.http.server_address[1]}"

    def listen(self, port):
        """Listen on a port; 0 for a free one."""
        self.http = _Server(("127.0.0.1", port), _Handler)
        self.http.owner = self
        threading.Thread(target=self.http.serve_forever, daemon=True).start()

    def crash(self):
        """Close all connections and refuse new ones, as a process that is killed."""
        self.is_down = True
        for connection in list(self.connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self.close()

    def restart(self):
        """Start again under the same id and address, without what it held."""
        with self.lock:
            self.born = int(time.time() * 1000)
            self.sequence = self.fence = 0
            self.adapters, self.users = {}, {}
            self.places_free = threading.Semaphore(self.slots)
        self.is_down = False
        self.listen(int(self.address.rpartition(":")[2]))

    def describe(self):
        """Return the server's entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
            "loadedModels": self.list_models(time.monotonic()),
        }

    def list_models(self, now):
        """Return the models and their adapters."""
        if not self.model:
            return []
        loaded = [f"{name}@1" for name, at in self.adapters.items() if at <= now]
        return [{"name": self.model, "version": 1, "loadedAdapters": loaded}]

    def answer(self, handler, body):
        """Answer a call."""
        if self.is_down:
            handler.close_connection = True
            return
        expected = handler.headers.get("Thornlatch-Expect-Instance")
        if handler.path == "/healthz":
            handler.send(200, Thornlatch_Instance_Id=self.name)
        elif expected not in (None, self.name):
            handler.send(421, Thornlatch_Instance_Id=self.name)
        elif handler.path == "/api/report":
            self._report(handler)
        elif handler.path == "/api/order":
            self._take_order(handler, json.loads(body))
        else:
            self._take_request(handler)

    def _report(self, handler):
        now = time.monotonic()
        with self.lock:
            pending = [
                f"{self.model}/{n}@1" for n, at in self.adapters.items() if at > now
            ]
            report = {
                "phase": "unified",
                "loadedModels": self.list_models(now),
                "pending": pending,
                "busy": False,
                "sequence": self.sequence,
                "born": self.born,
                "running": sum(self.users.values()),
                "queued": 0,
            }
        handler.send(200, json.dumps(report).encode())

    def _take_order(self, handler, order):
        with self.lock:
            status = self._decide(order, time.monotonic())
            self.orders.append({"at": time.monotonic(), "status": status, **order})
        handler.send(status, json.dumps({"born": self.born}).encode())

    def _decide(self, order, now):
        if "owner" not in order or "fencingToken" not in order:
            return 400
        if order["fencingToken"] < self.fence:
            return 412
        self.fence = order["fencingToken"]
        if order.get("expected", self.sequence) != self.sequence:
            return 409
        name = order.get("adapterId", "")
        if not name or order["modelId"] != self.model:
            return 400
        if order["operation"] == "unloading":
            if self.users.get(name):
                return 409
            self.adapters.pop(name, None)
            self.sequence += 1
            return 200
        if name in self.adapters:
            return 200
        if len(self.adapters) >= self.places:
            return 409
        self.adapters[name] = now + ADAPTER_LOAD_S
        self.sequence += 1
        return 202

    def _take_request(self, handler):
        request = handler.headers.get(REQUEST_ID, "")
        adapter = handler.headers.get("Thornlatch-Model", "").partition("/")[2]
        with self.lock:
            ready_at = self.adapters.get(adapter, 0.0) if adapter else 0.0
            is_missing = adapter and adapter not in self.adapters
            if not is_missing:
                self.users[adapter] = self.users.get(adapter, 0) + 1
        if is_missing:
            refusal = {"Thornlatch_Request_Id": request, "Thornlatch_Not_Executed": "1"}
            handler.send(421, Thornlatch_Instance_Id=self.name, **refusal)
            return
        try:
            time.sleep(max(ready_at - time.monotonic(), 0.0))
            with self.places_free:
                self.runs.append((time.monotonic(), request))
                self.run(handler, request)
        finally:
            with self.lock:
                self.users[adapter] = self.users.get(adapter, 1) - 1

    def run(self, handler, request):
        """Run a request and answer it."""
        signature = f"{self.name}.{request}"
        if self.model:
            self.begin_stream(handler, request)
            for number in range(1, 5):
                self.send_event(handler, f"id: {number}\ndata: e{number}\n\n".encode())
                time.sleep(0.02)
            handler.wfile.write(b"0\r\n\r\n")
            return
        time.sleep(0.02)
        handler.send(
            200,
            b"x" * 800,
            Thornlatch_Request_Id=request,
            Thornlatch_Server_Signature=signature,
        )

    def begin_stream(self, handler, request):
        """Send the head of a stream."""
        handler.send_response(200)
        handler.send_header(REQUEST_ID, request)
        handler.send_header("Thornlatch-Server-Signature", f"{self.name}.{request}")
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()

    def send_event(self, handler, event):
        """Send one chunk of a stream."""
        handler.wfile.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")

    def close(self):
        """Stop listening."""
        self.http.shutdown()
        self.http.server_close()
