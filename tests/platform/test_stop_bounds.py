"""Planned stops in which a part of the host doesn't do what it should."""

import time

import pytest

from hosts import TIMEOUT_S, ChangedHost, wait_until
from stand_ins import ModelServer, Store, build_config

GRACE_S = 4.0
BROKEN_PARTS = """
def never_end(self):
    threading.Event().wait()

def fail(self):
    raise RuntimeError("part failed")

"""


class BrieflyStoppingHost(ChangedHost):
    """A host with a short grace."""

    def build_settings(self):
        settings = super().build_settings()
        return settings.replace("gracePeriodS = 8", f"gracePeriodS = {GRACE_S:.0f}")


@pytest.fixture
def start_changed(tmp_path):
    store, server = Store(), ModelServer("api-1", "api")
    store.put("keyed.op", "config", build_config())
    store.put("keyed.servers", "api-1", server.describe())
    hosts = []

    def start(change):
        change = BROKEN_PARTS + change
        hosts.append(BrieflyStoppingHost(tmp_path, store.address, change))
        hosts[0].wait_ready()
        return hosts[0]

    yield start
    for host in hosts:
        if host.process.poll() is None:
            host.process.kill()
            host.process.wait(TIMEOUT_S)
    for stand_in in (store, server):
        stand_in.close()


def stop(host):
    began_at = time.monotonic()
    assert host.stop() == 0, host.read_log()
    return time.monotonic() - began_at


@pytest.mark.parametrize(
    "part",
    [
        "gateway.OrderManager.stop",
        "gateway.StreamVersions.stop",
        "gateway.FleetLink.send_digest_now",
        "gateway.Gateway._stop_expired_requests",
    ],
)
def test_stop_ends_within_the_grace_although_a_part_doesn_t(start_changed, part):
    host = start_changed(f"{part} = never_end")
    assert stop(host) < GRACE_S
    (stopped,) = host.list_events("host.stopped")
    assert stopped["running"] == 0
    unfinished = [event["stack"] for event in host.list_events("host.stop_unfinished")]
    # The end of requests is checked in a thread that a stop doesn't wait for.
    assert unfinished == [] or "never_end" in unfinished[0]
    assert bool(unfinished) == (not part.startswith("gateway.Gateway"))


@pytest.mark.parametrize(
    "part", ["gateway.OrderManager.stop", "gateway.StreamVersions.stop"]
)
def test_stop_goes_on_although_a_part_fails(start_changed, part):
    """The process didn't exit, as it waited for threads that never end."""
    host = start_changed(f"{part} = fail")
    assert stop(host) < GRACE_S
    assert host.list_events("host.stop_part_failed"), host.read_log()
    assert host.list_events("host.stopped"), host.read_log()


def test_stop_ends_within_the_grace_although_nobody_reads_the_log(start_changed):
    """The wait for the log's last lines must not delay the exit."""
    host = start_changed(
        "reader, writer = os.pipe()\n"
        "os.set_blocking(writer, False)\n"
        "while True:\n"
        "    try: os.write(writer, bytes(4096))\n"
        "    except BlockingIOError: break\n"
        "os.set_blocking(writer, True)\n"
        "os.dup2(writer, 1)\n"
    )
    assert stop(host) < GRACE_S


def test_last_lines_of_a_slowly_read_log_are_written(start_changed):
    """The process exited before its log was written."""
    host = start_changed(
        "write = os.write\n"
        "def write_slowly(descriptor, data):\n"
        "    if data.startswith(b'{'): time.sleep(0.3)\n"
        "    return write(descriptor, data)\n"
        "os.write = write_slowly\n"
    )
    wait_until(lambda: host.list_events("host.readiness"), host.read_log)
    assert stop(host) < GRACE_S
    assert host.list_events("host.stopped"), host.read_log()
