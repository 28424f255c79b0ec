"""Callers that go on using their connections, and note what they were answered."""

import http.client
import random
import re
import threading
import time
from dataclasses import dataclass

CALL_LIMIT_S = 6.0
DEADLINE_MS = 4000
EVENT = re.compile(rb"id: (\d+)\ndata: e(\d+)\n\n")


@dataclass(frozen=True)
class Outcome:
    """What a caller saw of one request; status 0 if there was no answer."""

    request: str
    kind: str
    host: str
    life: int
    key: str
    sent_at: float
    ended_at: float
    status: int
    signature: str
    body: bytes
    is_whole: bool


class Caller:
    """Sends one request after the other until stopped."""

    def __init__(self, number, seed, hosts, keys, outcomes, stopping):
        self.number = number
        self.rng = random.Random(seed * 1000 + number)
        self.hosts = hosts
        self.keys = keys
        self.outcomes = outcomes
        self.stopping = stopping
        self.sent = 0
        self.connection = None
        self.host = None
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stopping.is_set():
            self.outcomes.append(self.send_one())
            self.stopping.wait(self.rng.uniform(0.0, 0.15))

    def send_one(self):
        kind = self.rng.choice(("once", "many", "llm", "llm", "open", "new"))
        request = f"{self.number:02x}{self.sent:06x}{self.rng.getrandbits(32):08x}"
        self.sent += 1
        if self.connection is None or self.rng.random() < 0.1:
            self.connect()
        key = self.rng.choice(self.keys)
        headers = {
            "Host": "a.example",
            "Thornlatch-Request-Id": request,
            "Thornlatch-Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Token {key}",
        }
        if kind == "llm":
            adapter = int(self.rng.paretovariate(1.0)) % 12
            headers["Thornlatch-Model"] = f"m/a{adapter}"
            headers["Thornlatch-Token-Usage"] = f"{self.rng.randrange(20, 400)},50"
        sent_at = time.monotonic()
        host, life = self.host, self.host.life
        status, signature, body, is_whole = 0, "", b"", False
        try:
            self.connection.request("POST", f"/{kind}/x", b"body", headers)
            response = self.connection.getresponse()
            status = response.status
            signature = response.getheader("Thornlatch-Server-Signature", "")
            body, is_whole = read_body(response)
            if response.will_close or not is_whole:
                self.drop()
        except (OSError, http.client.HTTPException):
            self.drop()
        ended_at = time.monotonic()
        return Outcome(
            request,
            kind,
            host.name,
            life,
            key,
            sent_at,
            ended_at,
            status,
            signature,
            body,
            is_whole,
        )

    def connect(self):
        self.drop()
        ready = [host for host in self.hosts if host.is_in_rotation] or self.hosts
        self.host = self.rng.choice(ready)
        self.connection = http.client.HTTPConnection(
            "127.0.0.1", self.host.callers, timeout=CALL_LIMIT_S
        )

    def drop(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None


def read_body(response):
    """Return the bytes of an answer and whether its framing ended properly."""
    parts = []
    try:
        while part := response.read1(1 << 16):
            parts.append(part)
    except (TimeoutError, OSError, http.client.HTTPException):
        return b"".join(parts), False
    is_whole = response.length in (None, 0)
    # http.client takes no further request while it counts this one as unread.
    response.close()
    return b"".join(parts), is_whole


def list_events(body):
    """Return the numbers of a stream's events, or None if other bytes are there."""
    numbers, place = [], 0
    for match in EVENT.finditer(body):
        if match.start() != place or match[1] != match[2]:
            return None
        numbers.append(int(match[1]))
        place = match.end()
    return numbers if place == len(body) else None
