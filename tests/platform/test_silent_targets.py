"""Targets that fall silent for a while and go on are left only for a better one."""

import time

import pytest

from hosts import run_deployment
from stand_ins import build_config

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
