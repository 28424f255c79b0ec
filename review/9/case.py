"""A quarter of a service's servers crash once, while they run a common request.

Compares how often the common kind of request and all requests are served over a day.
"""

import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "support-2"))

from world import (  # noqa: E402
    IS_TROUBLED,
    Case,
    PlainServer,
    build_config,
    build_route,
)

HOSTS = 3
SERVERS = 12
CRASHED = 3
CRASH_AT_S = 4.0
DAY_S = 34.0
BACK_S = 2.0  # from a crash of a server until it is back
WORK_S = 0.09
CHECKERS = 12  # clients of each gateway that look up the same stock
OTHERS = 20  # clients of each gateway with requests of their own
COMMON = "/check/variant-cover"
PERIOD_S = 0.15  # from one request of a client to the next


class BusyServer(PlainServer):
    """A server that takes some time for each request."""

    common = 0  # runs of the common request at the moment

    def run_request(self, handler, request):
        """Run a request; return whether it is to be answered."""
        is_common = handler.path == COMMON
        with self.lock:
            self.common += is_common
        time.sleep(WORK_S)
        with self.lock:
            self.common -= is_common
        return True


class CommonCase(Case):
    """A common request on servers that crash for reasons of their own."""

    def run(self):
        """Play the case; return the exit status."""
        servers = [
            BusyServer(self.store, f"api-{number}", "api", self.record, back_s=BACK_S)
            for number in range(1, SERVERS + 1)
        ]
        routes = [
            build_route("check", "/check/", "api", timeoutMs=1500),
            build_route("tag", "/tag/", "api", timeoutMs=1500),
        ]
        self.store.write(
            "keyed.op", [("config", build_config(1, routes, {"api": None}))]
        )
        self.start_gateways(HOSTS)
        time.sleep(4)
        began_at = time.monotonic()
        for _ in range(CHECKERS):
            self.start_callers(COMMON, PERIOD_S)
        for _ in range(OTHERS):
            self.start_callers(lambda: f"/tag/{os.urandom(4).hex()}", PERIOD_S)
        time.sleep(CRASH_AT_S)
        if IS_TROUBLED:
            crashing = servers[:CRASHED]
            while not all(server.common for server in crashing):
                time.sleep(0.002)
            for server in crashing:
                server.crash()
        time.sleep(began_at + DAY_S - time.monotonic())
        self.stop_callers()
        shares = {}
        for kind in ("/check/", "/tag/", "/"):
            statuses = [
                status
                for calls in self.sent.values()
                for _, _, status, path in calls
                if path.startswith(kind)
            ]
            shares[kind] = statuses.count(200) / len(statuses)
            self.say(
                f"{kind}: {statuses.count(200)} of {len(statuses)} served, "
                f"{statuses.count(502)} answered 502, {statuses.count(503)} 503"
            )
        if shares["/tag/"] < 0.5:
            return 2
        return 1 if shares["/check/"] < shares["/"] / 4 else 0


if __name__ == "__main__":
    CommonCase(__file__).main()
