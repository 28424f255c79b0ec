"""Stand-ins for the platform's store and servers, on the loopback interface."""

import base64
import contextlib
import io
import json
import struct
import threading
import time
from collections import defaultdict
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

READ_LIMIT_BYTES = 1 << 20  # of the records that one read returns


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def setup(self):
        super().setup()
        self.server.owner.connection_count += 1

    def do_GET(self):
        self.server.owner.answer(self)

    def do_POST(self):
        self.server.owner.answer(self)

    def log_message(self, *args):
        pass

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def send_response(self, code, message=None):
        super().send_response(code, message)
        if getattr(self.server.owner, "announces_leaving", False):
            self.send_header("Server-Leaving", "1")
        limit = getattr(self.server.owner, "limit", "")
        if limit:
            self.send_header("Server-Limit", limit)
        era = getattr(self.server.owner, "era", None)
        if era is not None:
            self.send_header("Store-Era", str(era))

    def send(self, status, body=b"", **headers):
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _HttpServer(ThreadingHTTPServer):
    def handle_error(self, request, client_address):
        """Ignore errors, since hosts abort connections on purpose."""


class _Server:
    def __init__(self):
        self.connection_count = 0
        self.listen(0)
        self.address = f"127.0.0.1:{self.http.server_address[1]}"

    def listen(self, port):
        self.http = _HttpServer(("127.0.0.1", port), _Handler)
        self.http.daemon_threads = True
        self.http.owner = self
        threading.Thread(target=self.http.serve_forever, daemon=True).start()

    def close(self):
        self.http.shutdown()
        self.http.server_close()


class Store(_Server):
    """Topics with keyed records, and one group.

    `era` is the value of the header of all answers; None for no header. `calls` has
    the method, query and body of each call. `join_s` is how long the answer to a join
    takes, in seconds.
    """

    def __init__(self):
        super().__init__()
        self.era = 1
        self.calls = []
        self.records = defaultdict(list)
        self.start_offsets = defaultdict(int)
        self.changed = threading.Condition()
        self.members = {}
        self.generation = 0
        self.partitions = 12
        self.status = 200
        self.join_s = 0.0

    def put(self, topic, key, value):
        data = b"" if value is None else json.dumps(value).encode()
        self.append(topic, bytes([len(key)]) + key.encode() + data)

    def append(self, topic, record):
        with self.changed:
            self.records[topic].append(record)
            self.changed.notify_all()

    def copy(self):
        """Return a copy to restore the store from."""
        with self.changed:
            return {
                "records": {topic: list(log) for topic, log in self.records.items()},
                "start_offsets": dict(self.start_offsets),
                "members": dict(self.members),
                "generation": self.generation,
            }

    def restore(self, copy, *, rewritten_after_s=None):
        """Go back to a copy, in a new era.

        The latest records of operators and servers are written again after
        `rewritten_after_s`, or never if it is None.
        """
        with self.changed:
            lost = self.list_latest()
            self.records = defaultdict(list)
            for topic, log in copy["records"].items():
                self.records[topic] = list(log)
            self.start_offsets = defaultdict(int, copy["start_offsets"])
            self.members = dict(copy["members"])
            self.generation = copy["generation"]
            if self.era is not None:
                self.era += 1
            self.changed.notify_all()
        if rewritten_after_s is not None:
            timer = threading.Timer(rewritten_after_s, self.rewrite, [lost])
            timer.daemon = True
            timer.start()

    def list_latest(self):
        """Return the latest record of each key of the operators and servers."""
        return {
            (topic, record[1 : 1 + record[0]]): record
            for topic in ("keyed.op", "keyed.servers")
            for record in self.records[topic]
        }

    def rewrite(self, lost):
        known = self.list_latest()
        for (topic, key), record in lost.items():
            if known.get((topic, key)) != record:
                self.append(topic, record)

    def forget_history(self, topic):
        with self.changed:
            self.start_offsets[topic] = len(self.records[topic])

    def answer(self, handler):
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        body = handler.read_body()
        if self.status != 200:
            handler.send(self.status, b"{}")
            return
        method = url.path.rpartition("/")[2].replace("-", "_")
        self.calls.append((method, query, body))
        status, data = getattr(self, method)(query, body)
        handler.send(status, data)

    def log_append(self, query, body):
        log = _name_log(query)
        with self.changed:
            if int(query.get("at", len(self.records[log]))) != len(self.records[log]):
                return 412, json.dumps({"endOffset": len(self.records[log])}).encode()
            position = 0
            while position < len(body):
                (size,) = struct.unpack_from(">I", body, position)
                self.append(log, body[position + 4 : position + 4 + size])
                position += 4 + size
        return 200, json.dumps({"offset": 0, "endOffset": 1}).encode()

    def log_read(self, query, body):
        topic, offset = _name_log(query), int(query["from"])
        with self.changed:
            deadline = time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while len(self.records[topic]) == offset:
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0:
                    break
                self.changed.wait(remaining_s)
            is_known = self.start_offsets[topic] <= offset <= len(self.records[topic])
            if not is_known:
                return 410, json.dumps(
                    {"startOffset": self.start_offsets[topic]}
                ).encode()
            records, size = [], 0
            for record in self.records[topic][offset:]:
                size += 4 + len(record)
                if records and size > READ_LIMIT_BYTES:
                    break
                records.append(record)
            header = struct.pack(
                ">QQ", len(self.records[topic]), self.start_offsets[topic]
            )
        return 200, header + b"".join(
            struct.pack(">I", len(record)) + record for record in records
        )

    def log_newest(self, query, body):
        latest = {}
        log = _name_log(query)
        with self.changed:
            for number, record in enumerate(self.records[log]):
                key = record[1 : 1 + record[0]].decode()
                value = record[1 + record[0] :]
                latest.pop(key, None)
                if value:
                    latest[key] = {
                        "key": key,
                        "data": base64.b64encode(value).decode(),
                        "offset": number,
                    }
            end = len(self.records[log])
        items = [latest[key] for key in sorted(latest) if key > query.get("after", "")]
        page = {"items": items[:2], "hasMore": len(items) > 2, "endOffset": end}
        return 200, json.dumps(page).encode()

    def log_join(self, query, body):
        request = json.loads(body)
        if request["memberId"] not in self.members:
            self.generation += 1
        self.members[request["memberId"]] = request["ttlMs"]
        names = sorted(self.members)
        parts = [
            [request["topics"][0], part, 0]
            for part in range(self.partitions)
            if names[part % len(names)] == request["memberId"]
        ]
        answer = {"generationId": self.generation, "ttlMs": 1, "parts": parts}
        time.sleep(self.join_s)
        return 200, json.dumps(answer).encode()

    def log_leave(self, query, body):
        self.members.pop(json.loads(body)["memberId"], None)
        self.generation += 1
        return 200, b"{}"

    def log_owners(self, query, body):
        rows = [[query["group"], 0, name, 0] for name in self.members]
        return 200, json.dumps({"parts": rows}).encode()


class StoreEntrance(_Server):
    """Another address of a store, which can turn its callers away.

    `refusal` is the status of all answers, "reset" or "silent"; None serves. Nothing
    follows on a connection on which an answer was due during a silence.
    """

    def __init__(self, store):
        super().__init__()
        self.store = store
        self.refusal = None
        self.silences = 0
        self.announces_leaving = False
        self.limit = ""

    @property
    def era(self):
        return self.store.era

    def fall_silent(self):
        self.refusal = "silent"
        self.silences += 1

    def answer(self, handler):
        refusal, silences = self.refusal, self.silences
        if refusal == "reset":
            handler.close_connection = True
            handler.connection.close()
        elif refusal not in (None, "silent"):
            handler.read_body()
            handler.send(refusal, b"{}")
        else:
            answer = self.build_answer(handler)
            if refusal == "silent" or self.silences != silences:
                handler.rfile.read(1)
                handler.close_connection = True
            else:
                handler.wfile.write(answer)

    def build_answer(self, handler):
        if self.refusal == "silent":
            handler.read_body()
            return b""
        output, handler.wfile = handler.wfile, io.BytesIO()
        self.store.answer(handler)
        answer, handler.wfile = handler.wfile.getvalue(), output
        return answer


def _name_log(query):
    """Return the name of a partition's log: the topic for the first partition."""
    part = query.get("part", "0")
    return query["topic"] + (f"/{part}" if part != "0" else "")


class ModelServer(_Server):
    """An engine or plain server that signs its answers.

    Each request consumes a step of `plan`, which names the failure of its answer; an
    empty step is an answer without a failure. "shed" refuses the request without
    running it, "shed STATUS" with a status other than 503, and "pause S" asks for a
    pause of S seconds too; with `names_no_request`, refusals lack the request's id.
    "twice S" writes a refusal once more after S seconds, and "stale" writes the
    connection's latest refusal once more and then runs the request. "foreign STATUS"
    answers as a refusal of another request that asks for a pause and announces the
    server's leaving. "crossed" names another request in the answer, "cut",
    "cut-stream" and "cut-unframed" end the answer too early, the last one a stream
    without chunks, and "reset" closes the connection without an answer. "unframed" is
    a whole stream without chunks. "mute S" waits for S seconds before the answer,
    "silent S" within it, and "trickle S" within an answer that then comes byte by byte
    for longer. A step of bytes is the whole answer, with the request's id for
    the word REQUEST, and closes the connection unless `keeps_open`.

    A request with the prompt part `crash_part` crashes the server as it begins to
    answer. The server refuses connections until `restart` is called. With
    `announces_leaving`, all answers say that the server leaves, and with `limit` they
    name it. With `endless`, all are its first bytes and then its second ones without
    end, until the caller closes. `arrivals` has the time of each request. With
    `repeats_answers`, a report or order gets the connection's latest refusal, report or
    answer to an order once more and isn't carried out.
    """

    def __init__(self, name, service, *, model=""):
        super().__init__()
        self.name = name
        self.service = service
        self.model = model
        self.adapters = {}
        self.sequence = 0
        self.orders = []
        self.requests = []
        self.plan = []
        self.events = 4
        self.pause_s = 0.0
        self.crash_part = ""
        self.announces_leaving = False
        self.limit = ""
        self.version = "v1"  # of its software
        self.event_suffix = ""
        self.arrivals = []
        self.reads_after_s = 0.0  # bodies, from the time that their head has arrived
        self.names_no_request = False
        self.repeats_answers = False
        self.keeps_open = False
        self.endless = None
        self.crashed = threading.Event()
        self.starts = 1
        self.lock = threading.Lock()

    def crash(self):
        with self.lock:
            if self.crashed.is_set():
                return
            self.crashed.set()
        self.close()

    def restart(self):
        self.starts += 1
        self.adapters = {}
        self.sequence = 0
        self.crashed.clear()
        self.listen(int(self.address.rpartition(":")[2]))

    def describe(self, state="ready"):
        return {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": self.version,
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.starts,
            "loadedModels": self.list_models(),
        }

    def list_models(self):
        if not self.model:
            return []
        adapters = [f"{name}@{version}" for name, version in self.adapters.items()]
        return [{"name": self.model, "version": 1, "loadedAdapters": adapters}]

    def answer(self, handler):
        time.sleep(self.reads_after_s)
        body = handler.read_body()
        if not handler.path.startswith("/api/"):
            self.take_request(handler, body)
            return
        if self.repeats_answers and getattr(handler, "kept_answer", b""):
            handler.wfile.write(handler.kept_answer)
        elif handler.path == "/api/order":
            self.answer_order(handler, json.loads(body))
        else:
            report = {
                "loadedModels": self.list_models(),
                "busy": False,
                "sequence": self.sequence,
                "born": self.starts,
            }
            self.send_and_keep(handler, 200, json.dumps(report).encode())

    def answer_order(self, handler, order):
        self.send_and_keep(handler, self.take_order(order))

    def take_order(self, order):
        with self.lock:
            self.orders.append(order)
            if order.get("expected", self.sequence) != self.sequence:
                return 409
            self.sequence += 1
            if order["operation"] == "loading":
                self.adapters[order["adapterId"]] = order.get("version", 1)
                return 202
            self.adapters.pop(order["adapterId"], None)
            return 200

    def take_request(self, handler, body):
        headers = dict(handler.headers.items())
        with self.lock:
            self.requests.append((handler.command, handler.path, headers, body))
            self.arrivals.append(time.monotonic())
            step = self.plan.pop(0) if self.plan else ""
        request_id = headers.get("Thornlatch-Request-Id", "")
        expected = headers.get("Thornlatch-Expect-Instance")
        adapter = headers.get("Thornlatch-Model", "").partition("/")[2]
        if step == "stale":
            handler.wfile.write(getattr(handler, "kept_answer", b""))
            step = ""
        if self.endless is not None:
            self.send_without_end(handler, request_id)
            return
        if isinstance(step, bytes):
            handler.close_connection = not self.keeps_open
            handler.wfile.write(step.replace(b"REQUEST", request_id.encode()))
            return
        if step.startswith("foreign"):
            handler.send(
                int(step.partition(" ")[2]),
                Thornlatch_Request_Id="other",
                Thornlatch_Not_Executed="1",
                Thornlatch_Instance_Id=self.name,
                Thornlatch_Server_Load="8,90,8",
                Server_Leaving="1",
                Retry_After="30",
            )
            return
        if expected != self.name or (adapter and adapter not in self.adapters):
            self.refuse(handler, 421, Thornlatch_Instance_Id=self.name)
            return
        signature = {
            "Thornlatch_Request_Id": "other" if step == "crossed" else request_id,
            "Thornlatch_Server_Signature": f"sig-{self.name}",
        }
        if step.startswith("shed"):
            self.refuse(handler, int(step.partition(" ")[2] or 503))
        elif step.startswith("twice"):
            self.refuse(handler, 503)
            time.sleep(float(step.partition(" ")[2]))
            handler.wfile.write(handler.kept_answer)
        elif step.startswith("pause"):
            self.refuse(handler, 503, Retry_After=step.partition(" ")[2])
        elif step == "unconfirmed-503":
            handler.send(503)
        elif step == "error":
            handler.send(500, b"failed", **signature)
        elif step == "unsigned":
            handler.send(200, b"whole", Thornlatch_Request_Id=request_id)
        elif step == "reset":
            handler.close_connection = True
            handler.connection.close()
        elif step.startswith("mute") and not self.model:
            time.sleep(float(step.partition(" ")[2]))
            handler.send(200, b"answer of " + self.name.encode(), **signature)
        elif step.startswith("silent") and not self.model:
            answer = b"answer of " + self.name.encode()
            handler.send_response(200)
            for name, value in signature.items():
                handler.send_header(name.replace("_", "-"), value)
            handler.send_header("Content-Length", str(len(answer)))
            handler.end_headers()
            handler.wfile.write(answer[:4])
            handler.wfile.flush()
            time.sleep(float(step.partition(" ")[2]))
            handler.wfile.write(answer[4:])
        elif step.startswith("trickle"):
            handler.send_response(200)
            for name, value in signature.items():
                handler.send_header(name.replace("_", "-"), value)
            handler.send_header("Content-Length", "101")
            handler.end_headers()
            handler.wfile.write(b"x")
            time.sleep(float(step.partition(" ")[2]))
            for _ in range(100):
                handler.wfile.write(b"y")
                time.sleep(0.015)
        elif step == "cut":
            handler.send_response(200)
            for name, value in signature.items():
                handler.send_header(name.replace("_", "-"), value)
            handler.send_header("Content-Length", "100")
            handler.end_headers()
            handler.wfile.write(b"part")
            handler.close_connection = True
        elif self.model:
            self.stream(handler, headers, signature, step)
        else:
            handler.send(200, b"answer of " + self.name.encode(), **signature)

    def send_without_end(self, handler, request_id):
        start, part = self.endless
        handler.close_connection = True
        with contextlib.suppress(OSError):
            handler.wfile.write(start.replace(b"REQUEST", request_id.encode()))
            while True:
                handler.wfile.write(part)

    def refuse(self, handler, status, **headers):
        if not self.names_no_request:
            headers["Thornlatch_Request_Id"] = handler.headers["Thornlatch-Request-Id"]
        self.send_and_keep(handler, status, Thornlatch_Not_Executed="1", **headers)

    def send_and_keep(self, handler, status, body=b"", **headers):
        """Send an answer and keep it, so that it can be sent once more."""
        output, handler.wfile = handler.wfile, io.BytesIO()
        handler.send(status, body, **headers)
        handler.kept_answer = handler.wfile.getvalue()
        handler.wfile = output
        output.write(handler.kept_answer)

    def stream(self, handler, headers, signature, step):
        kind, _, pause = step.partition(" ")
        if kind == "mute":
            time.sleep(float(pause))
        handler.send_response(200)
        for name, value in signature.items():
            handler.send_header(name.replace("_", "-"), value)
        parts = headers.get("Thornlatch-Prefix-Hash", "").split(",")
        identities = [part.partition(":")[0] for part in parts]
        if self.crash_part and self.crash_part in identities:
            handler.close_connection = True
            handler.wfile.flush()
            self.crash()
            return
        handler.send_header("Content-Type", "text/event-stream")
        is_chunked = not step.endswith("unframed")
        if is_chunked:
            handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        handler.close_connection = not is_chunked
        first = int(headers.get("Last-Event-Id") or 0) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: e{number}{self.event_suffix}\n\n".encode()
            is_cut = step.startswith("cut-") and number == first + 2
            if is_cut:
                event = event[:5]
            if is_chunked:
                event = f"{len(event):x}\r\n".encode() + event + b"\r\n"
            handler.wfile.write(event)
            handler.wfile.flush()
            if kind == "silent" and number == first + 1:
                time.sleep(float(pause))
            if is_cut:
                handler.close_connection = True
                handler.connection.close()
                return
            time.sleep(self.pause_s)
        if is_chunked:
            handler.wfile.write(b"0\r\n\r\n")


def build_config(version=1, **changes):
    """Return a configuration as operators write it."""
    config = {
        "version": version,
        "routes": [
            build_route("llm", "/llm/", "streaming", "llm", resumable=True),
            build_route("once", "/once/", "non_idempotent", "api", maxAttempts=1),
            build_route("many", "/many/", "idempotent", "api"),
            build_route("open", "/open/", "idempotent", "api", public=True),
        ],
        "services": [
            {"name": "api", "healthPath": "/healthz", "maxConnections": 50},
            {
                "name": "llm",
                "healthPath": "/healthz",
                "maxConnections": 50,
                "runtime": {
                    "slots": 8,
                    "kvCapacity": 100000,
                    "loadedModels": [
                        {
                            "name": "m",
                            "weightsMb": 1000,
                            "loadTimeS": 0.1,
                            "loadedAdapters": 50,
                            "adapterSizeMb": 10,
                        }
                    ],
                    "weightsMb": 1100,
                    "maxAdapters": 3,
                    "loadsPerS": 4.0,
                },
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": "shop",
                "apiKeys": ["key-1"],
                "unit": "tokens",
                "uncachedTokens": 10,
                "ratePerS": 100000,
                "burst": 100000,
            }
        ],
    }
    config.update(changes)
    return config


def build_route(name, prefix, kind, service, **changes):
    """Return a route as operators write it."""
    route = {
        "name": name,
        "host": "a.example",
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 800,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "resumable": False,
        "targetGapMs": 300,
    }
    route.update(changes)
    return route
