"""Client of the quick start: publishes an inventory and checks answers to requests."""

import argparse
import http.client
import json
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from standins.engine import build_token
from thornlatch.configuration import (
    Adapter,
    ConfigurationPublished,
    Inventory,
    Key,
    Organisation,
    Pool,
    Route,
    Store,
    Target,
    digest_key,
)
from thornlatch.core import encode_record
from thornlatch.logservice import LogClient, PlatformSettings

KEY = "quickstart-key"
MAX_ATTEMPTS = 8
TIMEOUT_S = 20.0


def build_inventory(base: int) -> Inventory:
    """Build the inventory of the quick start.

    `base` is the first of the ports that the quick start uses.
    """
    engines = tuple(
        Target(
            f"engine-{i}",
            "panel-llm",
            f"127.0.0.1:{base + 30 + i}",
            f"domain-{i}",
            adapter_slots=8,
        )
        for i in (1, 2, 3)
    )
    plain_targets = tuple(
        Target(f"till-{i}", "pull-api", f"127.0.0.1:{base + 40 + i}", f"domain-{i}")
        for i in (1, 2)
    )
    return Inventory(
        organisations=(Organisation("shop", rate=20_000, burst=40_000),),
        keys=(Key(digest_key(KEY), "shop"),),
        stores=(Store("weights", 5, 1, 8, 0.25),),
        pools=(
            Pool("panel-llm", "engine", "base", "weights"),
            Pool("pull-api", "plain"),
        ),
        targets=engines + plain_targets,
        adapters=tuple(
            Adapter(f"summary-{i}", "1", "panel-llm", "shop") for i in range(4)
        ),
        routes=(Route("/pull/stock", "pull-api"),),
    )


def publish(base: int) -> None:
    """Append the inventory to the log, waiting until the log service answers."""
    client = LogClient(PlatformSettings(log=f"127.0.0.1:{base}"), client="operator")
    record = encode_record(
        ConfigurationPublished(-1, "quickstart", build_inventory(base))
    )
    retry(lambda: client.append("configuration", [record]))


def retry(action: Any) -> Any:
    """Repeat an action until it succeeds; raise its error after `TIMEOUT_S`."""
    deadline = time.monotonic() + TIMEOUT_S
    while True:
        try:
            return action()
        except Exception:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.1)


def wait_ready(base: int) -> None:
    """Wait until all three hosts are ready."""
    for i in (1, 2, 3):
        retry(lambda i=i: check_ready(f"127.0.0.1:{base + 10 + i}"))


def check_ready(address: str) -> None:
    """Raise RuntimeError unless a host is ready."""
    connection = http.client.HTTPConnection(address, timeout=2)
    connection.request("GET", "/readyz")
    if connection.getresponse().status != 200:
        raise RuntimeError(f"the host at {address} is not ready")


def call(address: str, path: str, body: dict[str, Any] | None) -> tuple[int, bytes]:
    """Send one request; return the status and the body of the response."""
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    headers = {"Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}
    method = "POST" if body is not None else "GET"
    data = json.dumps(body) if body is not None else None
    connection.request(method, path, data, headers)
    response = connection.getresponse()
    return response.status, response.read()


def check_completion(addresses: list[str], number: int) -> str:
    """Send one streamed completion and compare its text with the expected tokens.

    If a host fails, the request is sent again to the next host. Returns "right",
    "WRONG" with the text, or "LOST" if no attempt was answered completely.
    """
    model = f"summary-{number % 4}"
    prompt = f"pull list {number}"
    body = {"model": model, "prompt": prompt, "max_tokens": 20, "stream": True}
    expected = "".join(build_token(f"{model}@1", prompt, i) for i in range(20))
    for attempt in range(MAX_ATTEMPTS):
        address = addresses[(number + attempt) % len(addresses)]
        try:
            status, data = call(address, "/v1/completions", body)
        except (OSError, http.client.HTTPException):
            continue
        events = [e.removeprefix(b"data: ") for e in data.split(b"\n\n") if e]
        if status == 200 and events[-1] == b"[DONE]":
            chunks = [json.loads(event) for event in events[:-1]]
            text = "".join(c["choices"][0]["text"] for c in chunks)
            return "right" if text == expected else f"WRONG: {text!r}"
        time.sleep(0.2)
    return "LOST"


def show(addresses: list[str]) -> bool:
    """Send a completion and a plain call to each host; return whether all succeeded."""
    all_succeeded = True
    for address in addresses:
        outcome = check_completion([address], 1)
        status, data = call(address, "/pull/stock/42", None)
        all_succeeded &= outcome == "right" and status == 200
        print(f"{address}: completion {outcome}; stock check {status} {data.decode()}")
    return all_succeeded


def load(addresses: list[str], requests: int) -> bool:
    """Send completions concurrently; return whether all answers were right."""
    with ThreadPoolExecutor(20) as executor:
        outcomes = list(
            executor.map(lambda n: check_completion(addresses, n), range(requests))
        )
    for outcome in sorted(set(outcomes)):
        print(f"{outcomes.count(outcome)} answers {outcome}")
    return set(outcomes) == {"right"}


def show_timeline(files: list[str]) -> None:
    """Print the last 12 events of all processes in the order of the wall clock."""
    events = []
    for name in files:
        with open(name) as file:
            events += [json.loads(line) for line in file if line.startswith("{")]
    events.sort(key=lambda event: event["wall"])
    for event in events[-12:]:
        print(f"{event['wall']:.3f} {event['host']:<18} {event['event']}")


def main() -> int:
    """Run one step of the quick start."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--base", type=int, required=True)
    parser.add_argument("step")
    parser.add_argument("files", nargs="*")
    parser.add_argument("--requests", type=int, default=60)
    parser.add_argument("--skip", type=int, default=0)
    options = parser.parse_args()
    addresses = [
        f"127.0.0.1:{options.base + 10 + i}" for i in (1, 2, 3) if i != options.skip
    ]
    match options.step:
        case "publish":
            publish(options.base)
        case "wait":
            wait_ready(options.base)
        case "show":
            return int(not show(addresses))
        case "load":
            return int(not load(addresses, options.requests))
        case "timeline":
            show_timeline(options.files)
    return 0


if __name__ == "__main__":
    sys.exit(main())
