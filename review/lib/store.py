"""Stand-in for the platform's store: a log with keyed topics and groups."""

import base64
import json
import struct
import threading
import time
from collections import defaultdict
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

PAGE_RECORDS = 500


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_GET(self):  # noqa: N802
        """Answer a read."""
        self._answer()

    def do_POST(self):  # noqa: N802
        """Answer a write."""
        self._answer()

    def log_message(self, *args):
        """Write no access log."""

    def _answer(self):
        url = urlsplit(self.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        name = url.path.rpartition("/")[2].replace("-", "_")
        status, data = getattr(self.server.store, name)(query, body)
        self.send_response(status)
        self.send_header("Store-Era", "1")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Ignore connections that callers close."""


class _Group:
    """Members and partitions; a partition moves once its owner has been told twice.

    A join that no longer lists a partition tells its owner. The owner's next join,
    which names that generation, releases it.
    """

    def __init__(self, partitions):
        self.partitions = partitions
        self.generation = 0
        self.members = {}
        self.targets = {}
        self.moved_in = {}
        self.owners = {}

    def divide(self):
        """Divide the partitions evenly among the members, in order of their names."""
        self.generation += 1
        names = sorted(self.members)
        for part in range(self.partitions):
            target = names[part % len(names)] if names else None
            if self.targets.get(part) != target:
                self.targets[part] = target
                self.moved_in[part] = self.generation

    def remove(self, member):
        """Remove a member, which frees its partitions."""
        del self.members[member]
        self.owners = {p: m for p, m in self.owners.items() if m != member}
        self.divide()

    def expire(self, now):
        """Remove the members that have been silent for their time to live."""
        for member, (joined_at, ttl_s) in list(self.members.items()):
            if now - joined_at > ttl_s:
                self.remove(member)

    def join(self, member, ttl_s, generation, now):
        """Add or renew a member; return its partitions."""
        self.expire(now)
        is_new = member not in self.members
        self.members[member] = (now, ttl_s)
        if is_new:
            self.divide()
        for part, owner in list(self.owners.items()):
            is_moved = self.targets[part] != owner
            if owner == member and is_moved and generation >= self.moved_in[part]:
                del self.owners[part]
        for part, target in self.targets.items():
            if target == member and part not in self.owners:
                self.owners[part] = member
        return [
            part
            for part, owner in sorted(self.owners.items())
            if owner == member == self.targets[part]
        ]


class Store:
    """The store; `put` writes what operators and servers write.

    Parameters
    ----------
    partitions : int
        Partitions of each topic of a group.
    """

    def __init__(self, partitions=12):
        self.records = defaultdict(list)
        self.changed = threading.Condition()
        self.group = _Group(partitions)
        self.http = _Server(("127.0.0.1", 0), _Handler)
        self.http.store = self
        self.address = f"127.0.0.1:{self.http.server_address[1]}"
        threading.Thread(target=self.http.serve_forever, daemon=True).start()

    def put(self, topic, key, value):
        """Append a JSON value under a key; None deletes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        with self.changed:
            self.records[topic, 0].append(bytes([len(key)]) + key.encode() + data)
            self.changed.notify_all()

    def log_append(self, query, body):
        """Append records, all or nothing."""
        part = query["topic"], int(query["part"])
        with self.changed:
            log = self.records[part]
            first = len(log)
            if int(query.get("at", first)) != first:
                return 412, json.dumps({"endOffset": first}).encode()
            position = 0
            while position < len(body):
                (size,) = struct.unpack_from(">I", body, position)
                log.append(body[position + 4 : position + 4 + size])
                position += 4 + size
            self.changed.notify_all()
            return 200, json.dumps({"offset": first, "endOffset": len(log)}).encode()

    def log_read(self, query, body):
        """Return records from an offset on, and wait for the first one."""
        log = self.records[query["topic"], int(query["part"])]
        offset = int(query["from"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self.changed:
            if offset > len(log):
                return 410, b'{"startOffset": 0}'
            while len(log) == offset and time.monotonic() < until:
                self.changed.wait(until - time.monotonic())
            records, end = log[offset:], len(log)
        data = b"".join(struct.pack(">I", len(record)) + record for record in records)
        return 200, struct.pack(">QQ", end, 0) + data

    def log_newest(self, query, body):
        """Return a page of the newest record of each key."""
        newest = {}
        with self.changed:
            log = list(self.records[query["topic"], int(query["part"])])
        for offset, record in enumerate(log):
            key, value = record[1 : 1 + record[0]].decode(), record[1 + record[0] :]
            newest.pop(key, None)
            if value:
                data = base64.b64encode(value).decode()
                newest[key] = {"key": key, "data": data, "offset": offset}
        items = [newest[key] for key in sorted(newest) if key > query.get("after", "")]
        page = {
            "items": items[:PAGE_RECORDS],
            "hasMore": len(items) > PAGE_RECORDS,
            "endOffset": len(log),
        }
        return 200, json.dumps(page).encode()

    def log_join(self, query, body):
        """Join the group, or renew the membership."""
        call = json.loads(body)
        with self.changed:
            parts = self.group.join(
                call["memberId"],
                call["ttlMs"] / 1000,
                call["generationId"],
                time.monotonic(),
            )
            answer = {
                "generationId": self.group.generation,
                "parts": [[call["topics"][0], part, 0] for part in parts],
            }
        return 200, json.dumps(answer).encode()

    def log_leave(self, query, body):
        """Leave the group."""
        member = json.loads(body)["memberId"]
        with self.changed:
            if member in self.group.members:
                self.group.remove(member)
        return 200, b"{}"

    def log_owners(self, query, body):
        """Return the owners of the partitions."""
        with self.changed:
            self.group.expire(time.monotonic())
            rows = [
                [query["group"], part, owner, 0]
                for part, owner in sorted(self.group.owners.items())
            ]
        return 200, json.dumps({"parts": rows}).encode()

    def close(self):
        """Stop listening."""
        self.http.shutdown()
        self.http.server_close()
