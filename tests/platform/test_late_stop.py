"""Planned stops with requests that targets don't finish within the grace."""

import http.client
import os
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from hosts import TIMEOUT_S, run_deployment, wait_until
from stand_ins import build_config, build_route

GRACE_S = 8.0  # of the settings of `Host`
SILENT_S = 30.0  # longer than the grace


def call(host, path):
    """Return the status of an answer; None if the connection closes without one."""
    connection = http.client.HTTPConnection("127.0.0.1", host.callers, timeout=20)
    headers = {
        "Host": "a.example",
        "Thornlatch-Request-Id": os.urandom(8).hex(),
        "Thornlatch-Deadline-Ms": "20000",
        "Authorization": "Token key-1",
    }
    connection.request("POST", path, b"", headers)
    try:
        return connection.getresponse().status
    except (http.client.RemoteDisconnected, ConnectionError):
        return None
    finally:
        connection.close()


@pytest.mark.timeout(60)
def test_requests_that_outlast_a_planned_stop_are_answered(tmp_path):
    """Requests taken during the grace were cut at its end, without an answer."""
    route = build_route(
        "once", "/once/", "non_idempotent", "api", maxAttempts=1, timeoutMs=20000
    )
    with run_deployment(tmp_path, "api-1", "api-2") as (store, servers, host):
        host.wait_ready()
        store.put("keyed.op", "config", build_config(2, routes=[route]))
        wait_until(
            lambda: any(
                event["version"] == 2
                for event in host.list_events("configuration.read")
            ),
            host.read_log,
        )
        for server in servers.values():
            server.plan = [f"mute {SILENT_S}"] * 20
        with ThreadPoolExecutor(8) as executor:
            futures = [executor.submit(call, host, "/once/x") for _ in range(2)]
            time.sleep(0.3)
            host.process.send_signal(signal.SIGTERM)
            stopped_at = time.monotonic()
            for _ in range(4):
                time.sleep(0.5)
                futures.append(executor.submit(call, host, "/once/x"))
            statuses = [future.result() for future in futures]
            assert host.process.wait(timeout=TIMEOUT_S) == 0
        assert time.monotonic() - stopped_at < GRACE_S
        # They may have run, so they mustn't be answered as not run.
        assert statuses == [504] * len(statuses), host.read_log()
        ran = sum(len(server.requests) for server in servers.values())
        assert ran == len(statuses)
