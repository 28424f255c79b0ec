"""Small deployments of stand-ins and daemons for failure tests."""

from dataclasses import dataclass, field
from typing import Any

from tests.fleet import Fleet, send_http, wait_until
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

SHOP_KEY = "shop-secret-key"
LIBRARY_KEY = "library-secret-key"


@dataclass(frozen=True)
class Deployment:
    """Size, timing and settings of a small deployment."""

    hosts: int = 1
    engines: int = 2
    plain_services: int = 1
    domains: int = 3
    adapters: int = 6
    adapter_slots: int = 4
    batch_slots: int = 8
    token_s: float = 0.005
    rate: float = 100_000.0
    burst: float = 200_000.0
    load_s: float = 0.02
    settings: dict[str, dict[str, Any]] = field(default_factory=dict)
    cut_files: dict[str, str] = field(default_factory=dict)


def start_deployment(fleet: Fleet, deployment: Deployment) -> list[str]:
    """Start all processes, publish the inventory and wait until the hosts are ready."""
    log = fleet.start_standin("log_service", "log")
    store = fleet.start_standin(
        "weight_store", "store", "--load-s", str(deployment.load_s)
    )
    for name in list_engines(deployment):
        start_engine(fleet, deployment, name, store)
    for name in list_services(deployment):
        fleet.start_standin("plain_service", name)
    publish(fleet, build_inventory(fleet, deployment))
    hosts = [f"host-{i}" for i in range(deployment.hosts)]
    for index, name in enumerate(hosts):
        start_host(fleet, deployment, name, index, log)
    for name in hosts:
        fleet.wait_ready(name)
    return hosts


def start_engine(fleet: Fleet, deployment: Deployment, name: str, store: str) -> None:
    options = {
        "--store": store,
        "--token-s": deployment.token_s,
        "--batch-slots": deployment.batch_slots,
        "--adapter-slots": deployment.adapter_slots,
        "--report-lag-s": 0.2,
    }
    arguments = [str(word) for option in options.items() for word in option]
    fleet.start_standin("engine", name, *arguments)


def start_host(
    fleet: Fleet, deployment: Deployment, name: str, index: int, log: str
) -> None:
    tables = {
        "stop": {"rotation_s": 0.2},
        **deployment.settings,
        "platform": {"log": log, **deployment.settings.get("platform", {})},
    }
    if name in deployment.cut_files:
        tables["peers"] = {"cut_file": deployment.cut_files[name]}
    fleet.start_daemon(name, f"domain-{index % deployment.domains}", tables)


def list_engines(deployment: Deployment) -> list[str]:
    return [f"engine-{i}" for i in range(deployment.engines)]


def list_services(deployment: Deployment) -> list[str]:
    return [f"till-{i}" for i in range(deployment.plain_services)]


def build_inventory(fleet: Fleet, deployment: Deployment) -> Inventory:
    def build_target(name: str, index: int, pool: str, adapter_slots: int) -> Target:
        return Target(
            name,
            pool,
            fleet.addresses[name],
            f"domain-{index % deployment.domains}",
            batch_slots=deployment.batch_slots,
            adapter_slots=adapter_slots,
        )

    engines = [
        build_target(name, i, "llm", deployment.adapter_slots)
        for i, name in enumerate(list_engines(deployment))
    ]
    services = [
        build_target(name, i, "till", 0)
        for i, name in enumerate(list_services(deployment))
    ]
    adapters = [
        Adapter(f"adapter-{i}", "1", "llm", "shop") for i in range(deployment.adapters)
    ]
    return Inventory(
        organisations=(
            Organisation("shop", deployment.rate, deployment.burst),
            Organisation("library", deployment.rate, deployment.burst),
        ),
        keys=(
            Key(digest_key(SHOP_KEY), "shop"),
            Key(digest_key(LIBRARY_KEY), "library"),
        ),
        stores=(Store("weights", 50, 4, 8, deployment.load_s),),
        pools=(Pool("llm", "engine", "base", "weights"), Pool("till", "plain")),
        targets=(*engines, *services),
        adapters=(*adapters, Adapter("library-only", "1", "llm", "library")),
        routes=(
            Route("/stock", "till"),
            Route("/open", "till", is_open=True),
            Route("/reserve", "till", is_idempotent=False),
            Route("/library", "till", organisations=("library",)),
        ),
    )


def publish(fleet: Fleet, inventory: Inventory) -> None:
    append(fleet, "configuration", ConfigurationPublished(-1, "tests", inventory))


def append(fleet: Fleet, stream: str, record: Any) -> int:
    """Append a record to the log as an operator does, and return its offset."""

    def send() -> Any:
        return (
            send_http(
                fleet.addresses["log"],
                "POST",
                f"/streams/{stream}/records",
                {"records": [encode_record(record)]},
            ).json["first_offset"]
            # The first offset is 0, which `wait_until` would take for a failure.
            + 1
        )

    return wait_until(send, what="the log to accept a record") - 1


def complete(
    address: str,
    adapter_number: int = 0,
    *,
    key: str = SHOP_KEY,
    max_tokens: int = 5,
    headers: dict[str, str] | None = None,
    **fields: Any,
) -> Any:
    """Send one completion request without streaming."""
    body = {
        "model": f"adapter-{adapter_number}",
        "prompt": f"prompt {adapter_number}",
        "max_tokens": max_tokens,
        **fields,
    }
    request_headers = {"Authorization": f"Bearer {key}", **(headers or {})}
    return send_http(address, "POST", "/v1/completions", body, headers=request_headers)
