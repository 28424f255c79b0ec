"""Streams of two software versions at a gateway that the store turns away.

Counts the streams that clients take up at another gateway, after the first one is lost,
and that then hold events of servers of two versions.
"""

import http.client
import os
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "support-2"))

from world import (  # noqa: E402
    IS_TROUBLED,
    CannotRun,
    Case,
    PlainServer,
    build_config,
    build_route,
)

OLD, NEW = 2, 6  # servers of the first version, and those that join
EVENTS, PAUSE_S = 49, 0.2  # of a stream
CLIENTS = 30
AWAY_S = 0.5  # from when on the store turns the gateway away until streams begin
BEGIN_S = 1.0  # in which they begin
KILL_S = 1.0  # after which the gateway is lost
BUSY = 429
MOST_JOINED = 2
# To leave out one of the two disruptions.
PARTS = os.environ.get("PARTS", "away kill")
TAKE_UPS = 3  # most tries after the first


class StreamServer(PlainServer):
    """A server that streams events, which name its software version."""

    version = "v1"

    def describe(self):
        """Return the entry."""
        return super().describe() | {"version": self.version}

    def run_request(self, handler, request):
        """Stream the events of a request."""
        handler.send_response(200)
        handler.send_header("Thornlatch-Request-Id", request)
        handler.send_header("Thornlatch-Server-Signature", f"s-{request}")
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        try:
            for number in range(first, EVENTS + 1):
                event = f"id: {number}\ndata: {self.version}\n\n".encode()
                handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
                handler.wfile.flush()
                time.sleep(PAUSE_S)
            handler.wfile.write(b"0\r\n\r\n")
            handler.wfile.flush()
        except OSError:
            handler.close_connection = True
        return False


class NewServer(StreamServer):
    """A server of the newer version."""

    version = "v2"


class Stream:
    """A stream of a client, over its tries."""

    def __init__(self, record, path):
        self.record, self.path = record, path
        self.first_request = ""
        self.last_event = ""
        self.versions = []

    @property
    def is_whole(self):
        """Whether its last event has come."""
        return self.last_event == str(EVENTS)

    def take(self, gateway, most=10**9):
        """Read events from a gateway until the stream ends, or a number of them."""
        request = os.urandom(8).hex()
        headers = {
            "Host": "a.example",
            "Authorization": "Token key-1",
            "Thornlatch-Request-Id": request,
            "Thornlatch-Deadline-Ms": "15000",
        }
        if self.last_event:
            headers["Last-Event-Id"] = self.last_event
            headers["Resumes"] = self.first_request
        link = http.client.HTTPConnection("127.0.0.1", gateway.frontend, timeout=10)
        status, taken = None, 0
        try:
            link.request("POST", self.path, b"prompt", headers)
            response = link.getresponse()
            status = response.status
            while status == 200 and taken < most:
                line = response.readline().decode()
                if not line:
                    break
                line = line.strip()
                if line.startswith("id:"):
                    self.last_event = line[3:].strip()
                    self.first_request = self.first_request or request
                elif line.startswith("data:"):
                    self.versions.append(line[5:].strip())
                    taken += 1
        except (OSError, http.client.HTTPException):
            pass
        finally:
            link.close()
        self.record.add(
            f"{gateway.name} answered {status} to {request} ({self.path}), which"
            f" resumes {self.first_request}: {taken} events, now up to"
            f" {self.last_event} of {'+'.join(sorted(set(self.versions)))}"
        )
        return status


class JoinCase(Case):
    """Streams that are taken up at another gateway."""

    def wait_for_default(self):
        """Wait until the gateways have noted the version that serves at first."""
        until = time.monotonic() + 15
        while not self.store.topics.get(("keyed.streams", 0)):
            if time.monotonic() > until:
                raise CannotRun("no version was noted")
            time.sleep(0.1)
        time.sleep(3)

    def follow(self, stream, first, second):
        """Read a stream, and take it up at the other gateway if it breaks off."""
        stream.take(first)
        for _ in range(TAKE_UPS):
            if stream.is_whole:
                return
            time.sleep(0.2)
            stream.take(second)

    def run(self):
        """Play the case; return the exit status."""
        for number in range(1, OLD + 1):
            StreamServer(self.store, f"llm-{number}", "llm", self.record)
        route = build_route(
            "llm", "/llm/", "llm", "streaming", resumable=True, timeoutMs=15000
        )
        config = build_config(1, [route], {"llm": None})
        self.store.write("keyed.op", [("config", config)])
        self.start_gateways(3)
        first, second, _ = self.gateways
        self.wait_for_default()
        for number in range(OLD + 1, OLD + NEW + 1):
            NewServer(self.store, f"llm-{number}", "llm", self.record)
        time.sleep(3)
        if IS_TROUBLED and "away" in PARTS:
            self.record.add(f"the store answers {first.name} {BUSY}")
            self.ways[0].refuses = BUSY
        time.sleep(AWAY_S)
        streams = [Stream(self.record, f"/llm/{n}") for n in range(CLIENTS)]
        threads = []
        for number, stream in enumerate(streams):
            taker = (second, self.gateways[2])[number % 2]
            thread = threading.Thread(target=self.follow, args=(stream, first, taker))
            thread.daemon = True
            thread.start()
            threads.append(thread)
            time.sleep(BEGIN_S / CLIENTS)
        time.sleep(KILL_S)
        begun = [stream for stream in streams if stream.versions]
        self.say(f"{len(begun)} of {CLIENTS} streams began at {first.name}")
        if len(begun) < CLIENTS / 2:
            return 2
        if IS_TROUBLED and "kill" in PARTS:
            first.signal(signal.SIGKILL)
        for thread in threads:
            thread.join(30)
        joined = [stream for stream in streams if len(set(stream.versions)) > 1]
        whole = sum(stream.is_whole for stream in streams)
        self.say(f"{whole} of {CLIENTS} streams ended, {len(joined)} of two versions")
        if len(joined) > MOST_JOINED:
            return 1
        return 2 if whole < CLIENTS / 2 else 0


if __name__ == "__main__":
    JoinCase(__file__).main()
