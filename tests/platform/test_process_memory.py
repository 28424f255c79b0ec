"""Answers without end, many at once, against the memory of the whole process."""

import re
import threading
import time
from pathlib import Path

import pytest

from hosts import start_host, wait_until
from stand_ins import ModelServer, Store, build_config

# The smallest machines of the deployments have as much; a process beyond is killed.
MEMORY_LIMIT_MB = 200
CALLERS = 24
PLAYED_S = 4.0
HEAD = (
    b"HTTP/1.1 %s\r\n"
    b"Thornlatch-Request-Id: REQUEST\r\n"
    b"Thornlatch-Server-Signature: sig\r\n"
)
ERROR = HEAD % b"500 Failed"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
STREAM = HEAD % b"200 OK" + b"Content-Type: text/event-stream\r\n" + CHUNKED
PART = b"x" * (1 << 16)
CHUNK = b"10000\r\n" + PART + b"\r\n"
ENDLESS = {
    "status line": (b"HTTP/1.1 200 ", PART),
    "header": (ERROR + b"Name: ", PART),
    "headers": (ERROR, b"Name: " + b"x" * 60000 + b"\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "chunks": (ERROR + CHUNKED, CHUNK),
    "short chunks": (ERROR + CHUNKED, b"1\r\nx\r\n" * 10000),
    "chunk of a negative size": (ERROR + CHUNKED + b"-1\r\n", PART),
    "no length": (ERROR + b"Connection: close\r\n\r\n", PART),
    "length": (ERROR + b"Content-Length: 1000000000\r\n\r\n", PART),
    "event": (STREAM + b"5\r\nid: 1\r\n", CHUNK),
    "chunk size of a stream": (STREAM, b"0" * 10000),
}


@pytest.fixture
def deployment(tmp_path):
    store = Store()
    engines = [ModelServer(f"llm-{n}", "llm", model="m") for n in range(3)]
    sound = ModelServer("api-1", "api")
    store.put("keyed.op", "config", build_config())
    for server in (*engines, sound):
        store.put("keyed.servers", server.name, server.describe())
    host = start_host(tmp_path, store.address)
    wait_until(lambda: len(host.list_events("target.changed")) >= len(engines) + 1)
    yield engines, host
    host.process.kill()
    for server in (store, *engines, sound):
        server.close()


def read_peak_memory_mb(host):
    status = Path(f"/proc/{host.process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1024


def call_until(until, host, statuses, path, **headers):
    while time.monotonic() < until:
        response, _ = host.call(path, **headers)
        statuses.append(response.status)


@pytest.mark.timeout(60)
@pytest.mark.parametrize("shape", ENDLESS)
def test_answers_without_end_leave_memory_for_the_other_requests(deployment, shape):
    """Each answer was bounded, but not their sum: the process was killed for it."""
    engines, host = deployment
    for engine in engines:
        engine.endless = ENDLESS[shape]
    until = time.monotonic() + PLAYED_S
    sound_statuses = []
    runs = [(host, [], f"/llm/{number}") for number in range(CALLERS)]
    runs += [(host, sound_statuses, "/once/x")] * 2
    threads = [threading.Thread(target=call_until, args=(until, *run)) for run in runs]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30)
    assert host.process.poll() is None
    assert read_peak_memory_mb(host) < MEMORY_LIMIT_MB
    assert sound_statuses
    assert set(sound_statuses) == {200}
    for engine in engines:
        engine.endless = None
    # What the broken answers took is free again.
    wait_until(lambda: host.call("/llm/x", Thornlatch_Model="m")[0].status == 200)
