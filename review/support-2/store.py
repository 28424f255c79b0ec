"""A stand-in for the platform's store, as the users' pages describe it."""

import base64
import contextlib
import json
import socket
import struct
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ANSWER_S = 0.004
READ_BYTES_PER_S = 80e6
PAGE_RECORDS, PAGE_BYTES = 500, 1 << 20
READ_KB = 1024


class Listener(ThreadingHTTPServer):
    """An HTTP server whose connections can be reset together."""

    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True
    is_closed = False

    def __init__(self, *args):
        self.links = set()
        super().__init__(*args)

    def end(self):
        """Stop listening, and end all connections without an answer."""
        self.is_closed = True
        for link in list(self.links):
            with contextlib.suppress(OSError):
                link.shutdown(socket.SHUT_RDWR)
        self.shutdown()
        self.server_close()

    def handle_error(self, request, client_address):
        """Ignore connections that their clients abort."""


def listen(answer, port=0):
    """Serve calls on a port, or a free one.

    Parameters
    ----------
    answer : callable
        Called with the handler of each call, whose `body` and `reply` it uses.
    port : int
        0 for a free one.

    Returns
    -------
    Listener
    """

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def setup(self):
            """Note the connection."""
            self.opened_at = time.monotonic()
            self.server.links.add(self.request)
            super().setup()

        def finish(self):
            """Forget the connection."""
            self.server.links.discard(self.request)
            with contextlib.suppress(OSError, ValueError):
                super().finish()

        def do_GET(self):
            """Answer a call of any method."""
            self.body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            if self.server.is_closed:
                self.close_connection = True
                return
            answer(self)

        def do_POST(self):
            """Answer a call."""
            self.do_GET()

        def log_message(self, *args):
            """Log nothing."""

        def reply(self, status, body=b"", **headers):
            """Send a whole answer, unless the server has ended meanwhile."""
            if self.server.is_closed:
                self.close_connection = True
                return
            self.send_response(status)
            for name, value in headers.items():
                self.send_header(name.replace("_", "-"), value)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)
            self.wfile.flush()

    server = Listener(("127.0.0.1", port), Handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


def _hang(handler):
    """Answer nothing until the caller closes the connection."""
    handler.close_connection = True
    with contextlib.suppress(OSError):
        while handler.connection.recv(1 << 16):
            pass


class Way:
    """The way of one machine to the store. `refuses` is the status of refusals."""

    def __init__(self, store):
        self.refuses = 0
        self.server = listen(lambda handler: store.answer(handler, self))
        self.address = f"127.0.0.1:{self.server.server_address[1]}"


class _Group:
    def __init__(self, partitions):
        self.partitions = partitions
        self.generation = 0
        self.members = {}  # when each expires
        self.wanted = {}  # member by partition
        self.moved_at = dict.fromkeys(range(partitions), 0)  # generation of the move
        self.owners = {}

    def _expire(self, now):
        gone = [name for name, until in self.members.items() if until <= now]
        for name in gone:
            self._drop(name)

    def _drop(self, name):
        if self.members.pop(name, None) is not None:
            self.owners = {p: m for p, m in self.owners.items() if m != name}
            self._deal()

    def _deal(self):
        """Distribute the partitions evenly, and move as few as that needs."""
        self.generation += 1
        names = sorted(self.members)
        if not names:
            self.wanted = {}
            return
        most = -(-self.partitions // len(names))
        counts = dict.fromkeys(names, 0)
        wanted = {}
        for part in range(self.partitions):
            name = self.wanted.get(part)
            if name in counts and counts[name] < most:
                wanted[part] = name
                counts[name] += 1
        for part in range(self.partitions):
            if part not in wanted:
                name = min(names, key=lambda n: (counts[n], n))
                wanted[part] = name
                counts[name] += 1
        least = self.partitions // len(names)
        for name in names:
            while counts[name] < least:
                giver = max(names, key=lambda n: counts[n])
                part = next(p for p, m in wanted.items() if m == giver)
                wanted[part] = name
                counts[giver] -= 1
                counts[name] += 1
        for part, name in wanted.items():
            if self.wanted.get(part) != name:
                self.moved_at[part] = self.generation
        self.wanted = wanted

    def join(self, name, generation, ttl_s, now):
        """Renew a member; return its partitions."""
        self._expire(now)
        is_new = name not in self.members
        self.members[name] = now + ttl_s
        if is_new:
            self._deal()
        for part, owner in list(self.owners.items()):
            is_moved = self.wanted[part] != name
            if owner == name and is_moved and generation >= self.moved_at[part]:
                del self.owners[part]
        for part, wanted in self.wanted.items():
            if wanted == name and part not in self.owners:
                self.owners[part] = name
        return [p for p, m in self.owners.items() if m == name == self.wanted[p]]

    def leave(self, name, now):
        """Remove a member."""
        self._expire(now)
        self._drop(name)


class Store:
    """A log with keyed topics and groups.

    While `is_down`, no call is carried out or answered, and nothing more comes on the
    connections that were open then.
    """

    def __init__(self, partitions=12):
        self.lock = threading.Condition()
        self.partitions = partitions
        self.topics = {}
        self.producers = {}
        self.groups = {}
        self.is_down = False
        self.down_until = 0.0
        self.waits = {}  # since when each way waits for records of a topic

    def set_down(self, is_down):
        """Fall silent, or come back."""
        self.is_down = is_down
        self.down_until = time.monotonic()

    def _is_lost(self, handler):
        return self.is_down or handler.opened_at < self.down_until

    def write(self, topic, records):
        """Append pairs of key and value, as one call; return when it was confirmed."""
        encoded = []
        for key, value in records:
            data = b"" if value is None else json.dumps(value).encode()
            encoded.append(bytes([len(key)]) + key.encode() + data)
        with self.lock:
            self.topics.setdefault((topic, 0), []).extend(encoded)
            self.lock.notify_all()
        return time.monotonic()

    def answer(self, handler, way):
        """Answer a call that came on a machine's way."""
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        time.sleep(ANSWER_S)
        if self._is_lost(handler):
            _hang(handler)
            return
        if way.refuses:
            handler.reply(way.refuses, b"{}")
            return
        name = url.path.rpartition("/")[2].replace("-", "_")
        if "waitMs" in query:
            self.waits[way, query["topic"]] = time.monotonic()
        status, body = getattr(self, name)(query, handler.body)
        if self._is_lost(handler):
            _hang(handler)
            return
        if way.refuses:  # since the call began
            handler.reply(way.refuses, b"{}")
            return
        if name == "log_read":
            time.sleep(len(body) / READ_BYTES_PER_S)
        handler.reply(status, body)

    def log_append(self, query, body):
        """Append records."""
        place = query["topic"], int(query.get("part", 0))
        if place[0] in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        encoded, position = [], 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            encoded.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        with self.lock:
            log = self.topics.setdefault(place, [])
            if "producerId" in query:
                answer = self._check_producer(place, query)
                if answer is not None:
                    return answer
            if int(query.get("at", len(log))) != len(log):
                return 412, json.dumps({"endOffset": len(log)}).encode()
            first = len(log)
            log.extend(encoded)
            answer = json.dumps({"offset": first, "endOffset": len(log)}).encode()
            if "producerId" in query:
                key = place, query["producerId"]
                self.producers[key][2][int(query["sequence"])] = answer
            self.lock.notify_all()
        return 200, answer

    def _check_producer(self, place, query):
        key = place, query["producerId"]
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        known = self.producers.get(key)
        if known is None or epoch > known[0]:
            self.producers[key] = [epoch, sequence, {}]
            return None
        if epoch < known[0]:
            return 409, b'{"why":"fenced"}'
        if sequence in list(known[2])[-5:]:
            return 200, known[2][sequence]
        if sequence != known[1] + 1:
            return 409, json.dumps({"why": "seq", "sequence": known[1] + 1}).encode()
        known[1] = sequence
        return None

    def log_read(self, query, body):
        """Return records from an offset on."""
        place = query["topic"], int(query.get("part", 0))
        start = int(query["from"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        limit = int(query.get("maxKb", READ_KB)) * 1024
        with self.lock:
            log = self.topics.setdefault(place, [])
            while len(log) <= start and time.monotonic() < until:
                self.lock.wait(until - time.monotonic())
            if start > len(log):
                return 410, b'{"startOffset":0}'
            parts, size = [], 0
            for record in log[start:]:
                size += 4 + len(record)
                if parts and size > limit:
                    break
                parts.append(struct.pack(">I", len(record)) + record)
            return 200, struct.pack(">QQ", len(log), 0) + b"".join(parts)

    def log_newest(self, query, body):
        """Return the newest record of each key."""
        place = query["topic"], int(query.get("part", 0))
        newest = {}
        with self.lock:
            log = self.topics.setdefault(place, [])
            for number, record in enumerate(log):
                key = record[1 : 1 + record[0]].decode()
                newest[key] = (number, record[1 + record[0] :])
            end = len(log)
        items, size, has_more = [], 0, False
        for key in sorted(newest):
            number, value = newest[key]
            if not value or key <= query.get("after", ""):
                continue
            size += len(value)
            if len(items) == PAGE_RECORDS or (items and size > PAGE_BYTES):
                has_more = True
                break
            data = base64.b64encode(value).decode()
            items.append({"key": key, "data": data, "offset": number})
        page = {"items": items, "hasMore": has_more, "endOffset": end}
        return 200, json.dumps(page).encode()

    def log_join(self, query, body):
        """Join a group."""
        call = json.loads(body)
        with self.lock:
            group = self.groups.setdefault(call["group"], _Group(self.partitions))
            parts = group.join(
                call["memberId"],
                call["generationId"],
                call["ttlMs"] / 1000,
                time.monotonic(),
            )
            rows = [[call["topics"][0], part, 0] for part in sorted(parts)]
            answer = {"generationId": group.generation, "parts": rows}
        return 200, json.dumps(answer).encode()

    def log_leave(self, query, body):
        """Leave a group."""
        call = json.loads(body)
        with self.lock:
            group = self.groups.setdefault(call["group"], _Group(self.partitions))
            group.leave(call["memberId"], time.monotonic())
        return 200, b"{}"

    def log_owners(self, query, body):
        """Return the owners of a group's partitions."""
        with self.lock:
            group = self.groups.setdefault(query["group"], _Group(self.partitions))
            rows = [["targets", p, m, 0] for p, m in sorted(group.owners.items())]
        return 200, json.dumps({"parts": rows}).encode()
