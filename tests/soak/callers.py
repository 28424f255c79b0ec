"""Callers that reuse their connections and record the outcome of each request."""

import http.client
import random
import re
import threading
import time
import zlib
from dataclasses import dataclass

REQUEST_TIMEOUT_S = 6.0
DEADLINE_MS = 4000
EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: e(\d+) (v\d+)\n\n")


@dataclass(frozen=True)
class Outcome:
    """Outcome of one request at its caller; status 0 if there was no answer.

    `start_number` counts the starts of the host's process, and times are monotonic.
    """

    request: str
    kind: str
    host: str
    start_number: int
    key: str
    sent_at: float
    ended_at: float
    status: int
    signature: str
    body: bytes
    is_complete: bool
    # Request that the resumed stream's first event answered, and last event received.
    resumes: str = ""
    after_event: int = 0
    # Whether the caller closed the connection within the stream.
    has_left: bool = False


class Caller:
    """Sends requests in sequence in a separate thread until stopped."""

    def __init__(self, number, seed, hosts, keys, outcomes, stopping):
        self.number = number
        self.rng = random.Random(seed * 1000 + number)
        self.hosts = hosts
        self.keys = keys
        self.outcomes = outcomes
        self.stopping = stopping
        self.sent_count = 0
        self.connection = None
        self.host = None
        # Headers of a request that resumes the last stream; empty if it was complete.
        self.resumption = {}
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stopping.is_set():
            outcome = self.send_request()
            self.outcomes.append(outcome)
            self.resumption = self.resume(outcome)
            self.stopping.wait(self.rng.uniform(0.0, 0.15))

    def resume(self, outcome):
        """Return the headers that resume a stream after its last event, if it broke."""
        numbers = list_events(outcome.body) if outcome.kind == "llm" else None
        after_event = numbers[-1] if numbers else outcome.after_event
        if outcome.kind != "llm" or outcome.is_complete or not after_event:
            return {}
        return {
            "Last-Event-Id": str(after_event),
            "Resumes": outcome.resumes or outcome.request,
        }

    def send_request(self):
        kind = self.rng.choice(("once", "many", "llm", "llm", "open", "new"))
        if self.resumption:
            kind = "llm"
        request = (
            f"{self.number:02x}{self.sent_count:06x}{self.rng.getrandbits(32):08x}"
        )
        self.sent_count += 1
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
            headers.update(self.resumption)
        sent_at = time.monotonic()
        host, start_number = self.host, self.host.start_number
        status, signature, body, is_complete = 0, "", b"", False
        # Some streams are left after an event, so that callers resume more of them.
        leaves = kind == "llm" and zlib.crc32(request.encode()) % 5 == 0
        try:
            self.connection.request("POST", f"/{kind}/x", b"body", headers)
            response = self.connection.getresponse()
            status = response.status
            signature = response.getheader("Thornlatch-Server-Signature", "")
            body, is_complete = read_body(response, leaves=leaves)
            if response.will_close or not is_complete:
                self.disconnect()
        except (OSError, http.client.HTTPException):
            self.disconnect()
        ended_at = time.monotonic()
        return Outcome(
            request,
            kind,
            host.name,
            start_number,
            key,
            sent_at,
            ended_at,
            status,
            signature,
            body,
            is_complete,
            headers.get("Resumes", ""),
            int(headers.get("Last-Event-Id", 0)),
            leaves and status == 200 and not is_complete,
        )

    def connect(self):
        self.disconnect()
        ready = [host for host in self.hosts if host.is_in_rotation] or self.hosts
        self.host = self.rng.choice(ready)
        self.connection = http.client.HTTPConnection(
            "127.0.0.1", self.host.callers, timeout=REQUEST_TIMEOUT_S
        )

    def disconnect(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None


def read_body(response, *, leaves=False):
    """Return the body of an answer and whether its framing is complete.

    Parameters
    ----------
    response : http.client.HTTPResponse
    leaves : bool
        Whether to stop reading after the first events.
    """
    chunks = []
    try:
        while chunk := response.read1(1 << 16):
            chunks.append(chunk)
            if leaves and EVENT_PATTERN.search(b"".join(chunks)):
                return b"".join(chunks), False
    except (TimeoutError, OSError, http.client.HTTPException):
        return b"".join(chunks), False
    is_complete = response.length in (None, 0)
    # http.client refuses further requests while it considers this response unread.
    response.close()
    return b"".join(chunks), is_complete


def list_events(body):
    """Return the numbers of a stream's events, or None if it has any other bytes."""
    numbers, position = [], 0
    for match in EVENT_PATTERN.finditer(body):
        if match.start() != position or match[1] != match[2]:
            return None
        numbers.append(int(match[1]))
        position = match.end()
    return numbers if position == len(body) else None


def list_versions(body):
    """Return the software versions that the events of a stream name."""
    return {match[3].decode() for match in EVENT_PATTERN.finditer(body)}
