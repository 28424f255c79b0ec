"""Measures what a daemon adds to the latency of a direct call of an engine."""

import http.client
import json
import os
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from statistics import quantiles
from typing import Any

from bench import output
from standins.engine import build_token
from tests.deployments import SHOP_KEY, Deployment, start_deployment
from tests.fleet import Fleet, send_http

REQUESTS_PER_S = 50
RUN_S = 6.0
TOKENS = 20
# Tokens per request of a load of 430,000 tokens/s in 1,600 requests/s.
TYPICAL_TOKENS = 270
MODELS = 6
SEED = 0

build_row = partial(output.build_row, seed=SEED, digits=3)


@dataclass(frozen=True)
class Timing:
    """Times of one streamed answer, in seconds."""

    first_token: float
    gaps: list[float]
    is_right: bool


def measure() -> list[dict[str, Any]]:
    """Measure added latency, relay throughput and answers under failures."""
    with tempfile.TemporaryDirectory() as directory, Fleet(Path(directory)) as fleet:
        deployment = Deployment(
            hosts=3,
            engines=4,
            adapter_slots=8,
            token_s=0.01,
            batch_slots=32,
            rate=1e7,
            burst=1e7,
        )
        hosts = [fleet.addresses[h] for h in start_deployment(fleet, deployment)]
        engines = [fleet.addresses[f"engine-{i}"] for i in range(4)]
        for engine in engines:
            for model in range(MODELS):
                body = {"lora_name": f"adapter-{model}@1", "lora_path": "x"}
                headers = {"X-Fencing-Token": "1000000"}
                send_http(
                    engine, "POST", "/v1/load_lora_adapter", body, headers=headers
                )
        run_load(hosts, RUN_S / 3)
        direct = run_load(engines, RUN_S)
        via_daemon = run_load(hosts, RUN_S)
        rows = compare_timings(direct, via_daemon)
        rows.append(measure_relay(fleet, hosts[0], "path.short_answers", TOKENS, 240))
        rows.append(measure_relay(fleet, hosts[0], "path", TYPICAL_TOKENS, 48))
        rows.append(measure_failures(fleet, hosts))
        return rows


def run_load(addresses: list[str], run_s: float) -> list[Timing]:
    """Send requests at a steady rate and time their tokens."""
    count = int(run_s * REQUESTS_PER_S)
    started = time.monotonic()

    def run(number: int) -> Timing:
        delay = started + number / REQUESTS_PER_S - time.monotonic()
        time.sleep(max(0.0, delay))
        return time_stream(addresses[number % len(addresses)], number)

    with ThreadPoolExecutor(64) as executor:
        return list(executor.map(run, range(count)))


def time_stream(address: str, number: int, tokens: int = TOKENS) -> Timing:
    """Time one streamed completion and check its text."""
    model, prompt = f"adapter-{number % MODELS}@1", f"p{number}"
    body = {"model": model, "prompt": prompt, "max_tokens": tokens, "stream": True}
    headers = {
        "Authorization": f"Bearer {SHOP_KEY}",
        "Content-Type": "application/json",
    }
    connection = http.client.HTTPConnection(address, timeout=20)
    times = []
    text = b""
    try:
        started = time.monotonic()
        connection.request("POST", "/v1/completions", json.dumps(body), headers)
        response = connection.getresponse()
        while chunk := response.read1(65536):
            times += [time.monotonic()] * chunk.count(b'"token_index"')
            text += chunk
    except (OSError, http.client.HTTPException):
        return Timing(0.0, [], False)
    finally:
        connection.close()
    gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
    first = times[0] - started if times else 0.0
    return Timing(first, gaps, is_right_answer(text, model, prompt, tokens))


def is_right_answer(text: bytes, model: str, prompt: str, tokens: int) -> bool:
    """Return whether a stream contains the complete expected answer."""
    events = [e.removeprefix(b"data: ") for e in text.split(b"\n\n") if e]
    if not events or events[-1] != b"[DONE]":
        return False
    answer = "".join(json.loads(e)["choices"][0]["text"] for e in events[:-1])
    return answer == "".join(build_token(model, prompt, i) for i in range(tokens))


def compare_timings(
    direct: list[Timing], via_daemon: list[Timing]
) -> list[dict[str, Any]]:
    """Build the rows that compare direct calls with calls through a daemon."""
    first_direct = quantiles([t.first_token for t in direct], n=100)
    first_via_daemon = quantiles([t.first_token for t in via_daemon], n=100)
    gaps_direct = quantiles([g for t in direct for g in t.gaps], n=100)
    gaps_via_daemon = quantiles([g for t in via_daemon for g in t.gaps], n=100)
    wrong = sum(not t.is_right for t in [*direct, *via_daemon])
    return [
        build_row(
            "path.added_first_token_p50_ms",
            (first_via_daemon[49] - first_direct[49]) * 1000,
            "ms",
            5,
            first_direct[49] * 1000,
        ),
        build_row(
            "path.added_first_token_p99_ms",
            (first_via_daemon[98] - first_direct[98]) * 1000,
            "ms",
            25,
            first_direct[98] * 1000,
        ),
        build_row(
            "path.added_between_tokens_p95_ms",
            (gaps_via_daemon[94] - gaps_direct[94]) * 1000,
            "ms",
            4,
            gaps_direct[94] * 1000,
        ),
        build_row("path.wrong_answers_steady", wrong, "answers", 0, 0),
    ]


def measure_relay(
    fleet: Fleet, address: str, name: str, tokens: int, requests: int
) -> dict[str, Any]:
    """Measure the tokens relayed per second of a daemon's processor time."""
    pid = fleet.processes["host-0"].pid
    before = read_processor_s(pid)
    with ThreadPoolExecutor(24) as executor:
        timings = list(
            executor.map(lambda n: time_stream(address, n, tokens), range(requests))
        )
    spent_s = read_processor_s(pid) - before
    relayed = sum(len(t.gaps) + 1 for t in timings)
    assert all(t.is_right for t in timings)
    return build_row(
        f"{name}.tokens_relayed_per_core_second",
        relayed / spent_s,
        "tokens/s",
        10_000,
        0,
    )


def read_processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_failures(fleet: Fleet, hosts: list[str]) -> dict[str, Any]:
    """Count lost or wrong answers while a daemon and an engine are killed.

    If a host fails, the caller repeats its request at the next host.
    """
    with ThreadPoolExecutor(32) as executor:
        futures = [executor.submit(run_with_retries, hosts, n) for n in range(200)]
        time.sleep(0.8)
        fleet.kill("host-1")
        fleet.kill("engine-1")
        wrong = sum(not future.result() for future in futures)
    return build_row("path.lost_or_wrong_answers", wrong, "answers", 0, 0)


def run_with_retries(hosts: list[str], number: int) -> bool:
    """Send a request to one host after the other until an answer is complete."""
    for attempt in range(10):
        address = hosts[(number + attempt) % len(hosts)]
        if time_stream(address, number).is_right:
            return True
        time.sleep(0.2)
    return False
