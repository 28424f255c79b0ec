"""Requests of callers while all threads of a host are busy."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from hosts import TIMEOUT_S, ChangedHost, wait_until
from stand_ins import ModelServer, Store, build_config, build_route

THREADS = 8
DEADLINE_S = 6.0
FEW_THREADS = f"""
build = adapter.build_settings

def build_settings(node):
    settings = build(node)
    forwarding = replace(settings.forwarding, threads={THREADS}, connect_s={DEADLINE_S})
    return replace(settings, forwarding=forwarding)

adapter.build_settings = build_settings
"""


@pytest.fixture
def deployment(tmp_path):
    store = Store()
    servers = [ModelServer("api-1", "api"), ModelServer("aux-1", "aux")]
    config = build_config()
    config["services"].append({**config["services"][0], "name": "aux"})
    config["routes"] = [
        build_route("mute", "/mute/", "non_idempotent", "api", timeoutMs=20000),
        build_route("sound", "/sound/", "idempotent", "aux"),
    ]
    store.put("keyed.op", "config", config)
    for server in servers:
        store.put("keyed.servers", server.name, server.describe())
    host = ChangedHost(tmp_path, store.address, FEW_THREADS)
    host.wait_ready()
    wait_until(lambda: len(host.list_events("target.changed")) >= len(servers))
    yield servers, host
    host.process.kill()
    host.process.wait(TIMEOUT_S)
    for stand_in in (store, *servers):
        stand_in.close()


@pytest.mark.timeout(60)
def test_silent_requests_don_t_hold_up_those_to_other_targets(deployment):
    """A plain request to a sound target got no byte, and no line named it.

    With 320 threads and 420 streams at a mute target it waited for 6.9 s.
    """
    (mute, sound), host = deployment
    mute.plan = [f"mute {2 * DEADLINE_S}"] * 2 * THREADS
    headers = {"Thornlatch-Deadline-Ms": str(int(DEADLINE_S * 1000))}
    with ThreadPoolExecutor(THREADS) as executor:
        silent = [
            executor.submit(host.call, "/mute/x", **headers) for _ in range(THREADS)
        ]
        wait_until(lambda: len(mute.requests) == THREADS, host.read_log)
        response, body = host.call("/sound/x", **headers, Thornlatch_Request_Id="plain")
        assert not any(future.done() for future in silent), host.read_log()
        assert (response.status, sound.requests) == (503, []), host.read_log()
        assert b"not-run" in body
        wait_until(lambda: host.list_events("request.refused"), host.read_log)
        (refused,) = host.list_events("request.refused")
        assert refused["request"] == "plain"
        # A thread is free by then: at the earliest deadline.
        retry_after_s = float(response.headers["Retry-After"])
        assert 0.1 < retry_after_s <= DEADLINE_S
        time.sleep(retry_after_s)
        wait_until(lambda: host.call("/sound/x", **headers)[0].status == 200)
        statuses = [future.result()[0].status for future in silent]
        assert statuses == [504] * THREADS, host.read_log()
