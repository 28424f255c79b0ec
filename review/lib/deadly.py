"""A request that crashes each server that runs it, beside sound requests."""

import os
import threading
import time

from lib.case import send
from lib.servers import Server

CONTACT_TIMEOUT_S = 3.0  # contactTimeoutMs
DOWN_S = 2.0  # of a server that crashed
CRASHES = 3
MAX_RETRIES = 3
WORK_S = 0.4  # of a sound request
PATH = "/many/deadly"


class FragileServer(Server):
    """A plain server that each run of the deadly request crashes.

    Parameters
    ----------
    name : str
    store : Store
    crashes : list
        Time, server, request and number of other running requests of each crash.
    """

    def __init__(self, name, store, crashes):
        super().__init__(name, "api", slots=6)
        self.store = store
        self.crashes = crashes

    def run(self, handler, request):
        """Run a request, or crash."""
        if handler.path != PATH:
            time.sleep(WORK_S)
            super().run(handler, request)
            return
        others = sum(self.users.values()) - 1
        self.crashes.append((time.monotonic(), self.name, request, others))
        handler.close_connection = True
        self.crash()
        timer = threading.Timer(DOWN_S, self.come_back)
        timer.daemon = True
        timer.start()

    def come_back(self):
        """Start again and register."""
        self.restart()
        self.store.put("keyed.servers", self.name, self.describe())


class SoundClients:
    """Clients whose requests may not be repeated.

    Parameters
    ----------
    gateways : list of Gateway
    count : int
    """

    def __init__(self, gateways, count):
        self.answers = []
        self.stopping = threading.Event()
        for number in range(count):
            threading.Thread(
                target=self._run, args=(gateways[number % len(gateways)],), daemon=True
            ).start()

    def _run(self, gateway):
        while not self.stopping.is_set():
            body = os.urandom(8).hex().encode()
            self.answers.append(
                send(gateway.callers, "POST", "/once/x", deadline_ms=1500, body=body)
            )
            time.sleep(0.1)


def ask(record, gateway):
    """Send the deadly request to a host, as a client that comes again."""
    answer = send(gateway.callers, "GET", PATH, deadline_ms=1500)
    record.add(f"deadly request to {gateway.name}: status {answer.status}")
    time.sleep(0.3)


def judge(record, crashes, clients):
    """Return whether the request reached few servers after the third crash."""
    for at, name, request, running in crashes:
        record.add(
            f"request {request} crashes {name}, on which {running} others run", at=at
        )
    if len(crashes) < CRASHES:
        record.add("the deadly request crashed too few servers")
        return True
    third_at = sorted(crashes)[CRASHES - 1][0]
    late = [crash for crash in crashes if crash[0] > third_at + CONTACT_TIMEOUT_S]
    cut = sum(
        answer.status == 502 and answer.ended_at > third_at + CONTACT_TIMEOUT_S
        for answer in clients.answers
    )
    record.add(
        f"{len(late)} servers were reached and crashed later than {CONTACT_TIMEOUT_S} s"
        f" after the third crash; {cut} sound requests were lost then"
    )
    return len(late) <= MAX_RETRIES
