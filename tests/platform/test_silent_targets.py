"""Targets that fall silent for a while and go on are left only for a better one."""

import http.client
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from hosts import run_deployment, wait_until
from stand_ins import ModelServer, build_config, build_route

MODEL = {"Thornlatch_Model": "m"}
SILENCE_S = 2.2  # longer than the host waits for an event before it looks elsewhere


# A silent but sound target was left although no other one could go on with its stream.
def test_stream_waits_for_a_silent_target_if_no_other_can_take_over(tmp_path):
    with run_deployment(tmp_path, "llm-1") as (store, servers, host):
        servers["llm-1"].plan = [f"silent {SILENCE_S}"]
        store.put("keyed.op", "config", build_config(2))
        response, body = host.call("/llm/x", **MODEL)
        assert response.status == 200
        assert isinstance(body, bytes), host.read_log()
        assert body.count(b"data:") == 4
        assert len(servers["llm-1"].requests) == 1


# The head of an answer was given up although no other target could answer.
@pytest.mark.parametrize(
    "target, path, step",
    [
        ("llm-1", "/llm/x", f"mute {SILENCE_S}"),
        ("api-1", "/many/x", "mute 0.8"),
        ("api-1", "/many/x", "silent 0.8"),
    ],
    ids=["stream", "plain-head", "plain-body"],
)
def test_answer_of_a_silent_target_is_awaited_if_there_is_no_other(
    tmp_path, target, path, step
):
    with run_deployment(tmp_path, target) as (_, servers, host):
        servers[target].plan = [step]
        response, body = host.call(path, **(MODEL if path == "/llm/x" else {}))
        assert response.status == 200, host.read_log()
        assert isinstance(body, bytes)
        assert len(servers[target].requests) == 1


@pytest.mark.parametrize(
    "service, path, step",
    [
        ("llm", "/llm/x", "silent 6"),
        ("llm", "/llm/x", "mute 6"),
        ("api", "/many/x", "mute 6"),
    ],
    ids=["stream", "stream-head", "plain"],
)
def test_silent_target_is_left_for_a_free_one(tmp_path, service, path, step):
    names = (f"{service}-1", f"{service}-2")
    with run_deployment(tmp_path, *names) as (_, servers, host):
        plan = [step]  # of both: whichever is asked first is silent
        for server in servers.values():
            server.plan = plan
        started_at = time.monotonic()
        response, body = host.call(path, **(MODEL if path == "/llm/x" else {}))
        assert response.status == 200, host.read_log()
        assert isinstance(body, bytes)
        assert time.monotonic() - started_at < 3.0
        assert [len(server.requests) for server in servers.values()] == [1, 1]


def announce(store, host, server):
    """Add a server while a host runs."""
    count = len(host.list_events("target.changed"))
    store.put("keyed.servers", server.name, server.describe())
    wait_until(lambda: len(host.list_events("target.changed")) > count)


# The stream had left its silent target when the other one refused it.
def test_stream_returns_to_its_silent_target_if_the_other_one_refuses_it(tmp_path):
    with run_deployment(tmp_path, "llm-1") as (store, servers, host):
        servers["llm-1"].plan = ["silent 2.6"]
        other = ModelServer("llm-2", "llm", model="m")
        other.plan = ["shed"] * 3
        with ThreadPoolExecutor(1) as executor:
            answer = executor.submit(host.call, "/llm/x", **MODEL)
            wait_until(lambda: servers["llm-1"].requests)
            announce(store, host, other)
            response, body = answer.result()
        other.close()
        assert response.status == 200
        assert isinstance(body, bytes), host.read_log()
        assert body.count(b"data:") == 4
        assert [len(servers["llm-1"].requests), len(other.requests)] == [2, 1]


# An adapter that only a dark target held was not loaded elsewhere.
@pytest.mark.parametrize("step", ["silent 6", "mute 6"])
def test_adapter_of_a_dark_target_is_loaded_at_another_one(tmp_path, step):
    with run_deployment(tmp_path, "llm-1", "llm-2") as (store, servers, host):
        adapter = {"Thornlatch_Model": "m/a1"}
        response, _ = host.call("/llm/x", **adapter)
        name = response.headers["Thornlatch-Server-Signature"].removeprefix("sig-")
        servers[name].plan = [step]
        routes = [
            build_route(
                "llm", "/llm/", "streaming", "llm", resumable=True, timeoutMs=6000
            )
        ]
        store.put("keyed.op", "config", build_config(2, routes=routes))
        wait_until(lambda: len(host.list_events("configuration.read")) >= 2)
        started_at = time.monotonic()
        response, body = host.call("/llm/x", **adapter)
        assert response.status == 200
        assert isinstance(body, bytes), host.read_log()
        assert body.count(b"data:") == 4
        assert time.monotonic() - started_at < 4.0


# Bytes that arrive again after a pause were taken for the same silence.
def test_plain_answer_that_goes_on_after_a_pause_is_awaited(tmp_path):
    with run_deployment(tmp_path, "api-1") as (store, servers, host):
        servers["api-1"].plan = ["trickle 0.5"]
        other = ModelServer("api-2", "api")
        with ThreadPoolExecutor(1) as executor:
            answer = executor.submit(host.call, "/many/x")
            wait_until(lambda: host.list_events("request.target_silent"))
            announce(store, host, other)
            response, body = answer.result()
        other.close()
        assert (response.status, len(body)) == (200, 101)
        assert not other.requests


# A body that a target reads only after a pause was given up.
def test_long_body_is_sent_to_a_target_that_reads_it_late(tmp_path):
    with run_deployment(tmp_path, "api-1") as (_, servers, host):
        servers["api-1"].reads_after_s = 0.9
        connection = http.client.HTTPConnection("127.0.0.1", host.callers, timeout=10)
        headers = {
            "Host": "a.example",
            "Thornlatch-Request-Id": "ab" * 8,
            "Authorization": "Token key-1",
        }
        connection.request("POST", "/many/x", b"z" * 4_100_000, headers)
        response = connection.getresponse()
        assert response.status == 200, response.read()
        response.read()
        connection.close()
