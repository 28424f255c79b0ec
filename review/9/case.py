"""The store is silent for 4.5 s; some seconds later the entries of servers are removed.

Counts the requests that reach a server later than `drainTimeoutMs` after the
confirmation of its removal.
"""

import sys
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

HOSTS = 3
SERVERS = 6
LEAVING = 3
GAP_S = 0.2  # between two that leave
DOWN_S = 4.5
LEAVES_AFTER_S = 10.9  # since the store fell silent, so 6.4 s after its return
DRAIN_S = 2.0
PERIOD_S = 0.01  # between two requests of a client


class SilentStoreCase(Case):
    """Servers leave after the store was away."""

    def wait_for_waits(self):
        """Wait until each gateway has just begun to wait for a change of the hosts."""
        until = time.monotonic() + 30
        while time.monotonic() < until:
            since = [self.store.waits.get((way, "keyed.hosts"), 0) for way in self.ways]
            if time.monotonic() - min(since) < 1.0:
                return
            time.sleep(0.05)
        raise CannotRun("the gateways don't wait for the list of hosts")

    def run(self):
        """Play the case; return the exit status."""
        servers = [
            PlainServer(self.store, f"api-{number}", "api", self.record)
            for number in range(1, SERVERS + 1)
        ]
        config = build_config(
            1, [build_route("stock", "/stock/", "api")], {"api": None}
        )
        self.store.write("keyed.op", [("config", config)])
        self.start_gateways(HOSTS)
        self.start_callers("/stock/2f", PERIOD_S)
        time.sleep(1)
        self.wait_for_waits()
        began_at = time.monotonic()
        if IS_TROUBLED:
            self.store.set_down(True)
            self.record.add("the store falls silent")
        time.sleep(DOWN_S)
        if IS_TROUBLED:
            self.store.set_down(False)
            self.record.add("the store is back")
        time.sleep(began_at + LEAVES_AFTER_S - time.monotonic())
        confirmed_at = {}
        for leaving in servers[:LEAVING]:
            leaving.is_leaving = True
            at = self.store.write("keyed.servers", [(leaving.name, None)])
            confirmed_at[leaving] = at
            self.record.add(f"removal of the entry of {leaving.name} confirmed", at)
            time.sleep(GAP_S)
        time.sleep(6)
        self.stop_callers()
        is_broken = False
        runs_before = 0
        for leaving, at in confirmed_at.items():
            after = [run_at - at for run_at, *_ in leaving.runs]
            runs_before += sum(seconds < 0 for seconds in after)
            late = [seconds for seconds in after if seconds > DRAIN_S]
            last = f", the last one {max(late):.2f} s after it" if late else ""
            self.say(
                f"{len(late)} requests reached {leaving.name} over 2 s after the"
                f" confirmation{last}"
            )
            is_broken = is_broken or bool(late)
        if runs_before < 100:
            return 2
        return 1 if is_broken else 0


if __name__ == "__main__":
    SilentStoreCase(__file__).main()
