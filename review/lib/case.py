"""What all cases share: the desired state, requests of clients, and the record."""

import http.client
import os
import sys
import tempfile
import threading
import time
from pathlib import Path

from lib.gateways import CannotRun

HOST = "a.example"
KEY = "key-1"
HELD, BROKEN, NOT_RUN = 0, 1, 2


def has_trouble():
    """Return whether the case disturbs the fleet."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.path = path
        self.began_at = time.monotonic()
        self.lines = []
        self.lock = threading.Lock()

    def add(self, text, at=None):
        """Add a line."""
        at = time.monotonic() if at is None else at
        with self.lock:
            self.lines.append((at, text))

    def write(self):
        """Write the lines in order of their times."""
        lines = [f"{at - self.began_at:9.3f} {text}" for at, text in sorted(self.lines)]
        self.path.write_text("\n".join(lines) + "\n")


class Answer:
    """What a client saw: status 0 without a head, `is_whole` for the whole body."""

    def __init__(self, status, body, *, is_whole, sent_at, error=""):
        self.status = status
        self.body = body
        self.is_whole = is_whole
        self.sent_at = sent_at
        self.ended_at = time.monotonic()
        self.error = error


def send(port, method, path, *, deadline_ms, body=b"", **headers):
    """Send one request on a new connection, as a client does, and read its answer."""
    sent_at = time.monotonic()
    connection = http.client.HTTPConnection(
        "127.0.0.1", port, timeout=deadline_ms / 1000
    )
    data, status = b"", 0
    try:
        connection.request(
            method,
            path,
            body or None,
            {
                "Host": HOST,
                "Thornlatch-Request-Id": os.urandom(8).hex(),
                "Thornlatch-Deadline-Ms": str(deadline_ms),
                "Authorization": f"Token {KEY}",
                **{name.replace("_", "-"): value for name, value in headers.items()},
            },
        )
        response = connection.getresponse()
        status = response.status
        data = response.read()
        return Answer(status, data, is_whole=True, sent_at=sent_at)
    except (OSError, http.client.HTTPException) as error:
        text = type(error).__name__
        return Answer(status, data, is_whole=False, sent_at=sent_at, error=text)
    finally:
        connection.close()


def build_config(*, adapter_places=4):
    """Return a desired state like that of a small deployment."""
    return {
        "version": 1,
        "routes": [
            _build_route("summary", "/llm/", "streaming", "llm", 12000, resumable=True),
            _build_route("reserve", "/once/", "non_idempotent", "api", 800),
            _build_route("check", "/many/", "idempotent", "api", 800),
        ],
        "services": [
            {"name": "api", "healthPath": "/healthz", "maxConnections": 110},
            {
                "name": "llm",
                "healthPath": "/healthz",
                "maxConnections": 240,
                "runtime": {
                    "slots": 32,
                    "kvCapacity": 105300,
                    "loadedModels": [
                        {
                            "name": "m",
                            "weightsMb": 72700,
                            "loadTimeS": 0.6,
                            "loadedAdapters": 3000,
                            "adapterSizeMb": 66,
                        }
                    ],
                    "weightsMb": 75400,
                    "maxAdapters": adapter_places,
                    "loadsPerS": 4.7,
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
                "apiKeys": [KEY],
                "unit": "tokens",
                "uncachedTokens": 10,
                "ratePerS": 1000000,
                "burst": 1000000,
            }
        ],
    }


def _build_route(name, prefix, kind, service, timeout_ms, *, resumable=False):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 600 if kind == "streaming" else 100,
        "priority": 1,
        "service": service,
        "maxAttempts": 1 if kind == "non_idempotent" else 2,
        "public": False,
        "resumable": resumable,
        "targetGapMs": 300,
    }


def run_case(play, folder):
    """Run a case and exit with its status.

    Parameters
    ----------
    play : callable
        Called with the record, a temporary folder and a list to which it adds
        everything that has to be closed. Returns whether the rule was kept.
    folder : Path
        Folder of the case, for `record.txt`.
    """
    record = Record(Path(folder) / "record.txt")
    record.add(f"trouble: {has_trouble()}")
    to_close = []
    status = NOT_RUN
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            try:
                is_kept = play(record, Path(temporary), to_close)
                status = HELD if is_kept else BROKEN
            finally:
                for thing in reversed(to_close):
                    getattr(thing, "kill", None) and thing.kill()
                    getattr(thing, "close", None) and thing.close()
    except CannotRun as error:
        record.add(f"could not run: {error}")
    word = {HELD: "the rule held", BROKEN: "the rule was broken"}.get(
        status, "no result"
    )
    record.add(word)
    record.write()
    sys.stdout.write(word + "\n")
    sys.stdout.flush()
    os._exit(status)
