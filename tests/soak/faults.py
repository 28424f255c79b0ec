"""Faults of a soak, as generators that begin a fault, yield, and end it.

A fault yields its scope and the seconds to wait until it continues, once or repeatedly.
"""

import signal
import time
from dataclasses import dataclass

from stand_ins import build_config, build_route
from tests.soak.proxy import Link


@dataclass(frozen=True)
class FaultPeriod:
    """Period of a fault; `scope` lists the affected components, space-separated."""

    kind: str
    scope: str
    is_planned: bool
    began_at: float
    ended_at: float


def kill_host(world, rng):
    with world.reserve_host(rng) as host:
        host.process.send_signal(signal.SIGKILL)
        host.process.wait()
        yield host.name, rng.uniform(0.2, 3.0)
        world.restart(host)


def pause_host(world, rng):
    with world.reserve_host(rng) as host:
        host.process.send_signal(signal.SIGSTOP)
        yield host.name, rng.uniform(0.3, 5.0)
        host.process.send_signal(signal.SIGCONT)


def stop_host(world, rng):
    with world.reserve_host(rng) as host:
        yield from _stop_and_restart(world, host)


def restart_hosts_in_turn(world, rng):
    for _ in world.hosts:
        with world.reserve_host(rng) as host:
            yield from _stop_and_restart(world, host)
            world.wait_ready(host)


def _stop_and_restart(world, host):
    began_at = time.monotonic()
    host.process.send_signal(signal.SIGTERM)
    yield host.name, 0.0
    status = host.process.wait(timeout=30)
    world.check_exit(host, status, began_at, time.monotonic())
    world.restart(host)


def reload_hosts(world, rng):
    for host in rng.sample(world.hosts, 2):
        if host.process.poll() is None and host.is_in_rotation:
            host.process.send_signal(signal.SIGHUP)
        yield host.name, rng.uniform(0.0, 0.3)


def break_store_link(world, rng):
    host = rng.choice(world.hosts)
    proxy = world.store_proxies[host.name]
    yield from _break_link(proxy, host.name, rng)


def break_server_link(world, rng):
    server = rng.choice(list(world.servers.values()))
    yield from _break_link(server.proxy, server.name, rng)


def break_peer_link(world, rng):
    proxies = world.store.peer_proxies
    if proxies:
        name = rng.choice(sorted(proxies))
        yield from _break_link(proxies[name], name, rng)


def _break_link(proxy, scope, rng):
    fault = rng.choice(("reset", "silence", *list(Link)[1:]))
    if fault == "reset":
        proxy.reset()
    elif fault == "silence":
        proxy.silence()
    else:
        proxy.set_link(fault)
    yield scope, rng.uniform(0.3, 4.0)
    # Connections that fell silent stay so for good.
    proxy.set_link(Link.PASS)


def cut_off_hosts(world, rng):
    """Cut the links of some hosts to all servers, which the others still reach."""
    hosts = rng.sample(world.hosts, rng.randrange(1, len(world.hosts)))
    for host in hosts:
        world.cuts[host.name].begin(rng.choice(("refused", "hanging")))
    try:
        yield " ".join(host.name for host in hosts), rng.uniform(0.5, 6.0)
    finally:
        for host in hosts:
            world.cuts[host.name].end()


def refuse_store(world, rng):
    world.store.status = rng.choice((429, 503))
    yield "store", rng.uniform(0.5, 6.0)
    world.store.status = 200


def slow_store(world, rng):
    world.store.slow_s = rng.uniform(0.05, 0.5)
    yield "store", rng.uniform(0.5, 4.0)
    world.store.slow_s = 0.0


def lose_store_answers(world, rng):
    world.store.lost_ratio = 0.3
    yield "store", rng.uniform(0.5, 4.0)
    world.store.lost_ratio = 0.0


def compact_store(world, rng):
    for topic in ("keyed.op", "keyed.servers", "keyed.hosts"):
        world.store.forget_history(topic)
    world.store.rebalance()
    yield "store", 0.0


def crash_server(world, rng):
    server = rng.choice(list(world.servers.values()))
    server.proxy.set_link(Link.REFUSED)
    server.restart()
    yield server.name, rng.uniform(0.2, 3.0)
    server.proxy.set_link(Link.PASS)
    world.store.put("keyed.servers", server.name, server.describe())


def degrade_server(world, rng):
    server = rng.choice(list(world.servers.values()))
    name = rng.choice(("fail_ratio", "late_ratio"))
    setattr(server, name, 0.4)
    yield server.name, rng.uniform(0.5, 4.0)
    setattr(server, name, 0.0)


def hang_server(world, rng):
    server = rng.choice(list(world.servers.values()))
    server.is_hung = True
    yield server.name, rng.uniform(0.3, 2.0)
    server.is_hung = False


def drain_server(world, rng):
    server = rng.choice(list(world.servers.values()))
    world.store.put("keyed.servers", server.name, server.describe("draining"))
    world.add_leaving(server.name)
    yield server.name, rng.uniform(2.5, 5.0)
    world.end_leaving(server.name)
    world.store.put("keyed.servers", server.name, server.describe())


def announce_leaving(world, rng):
    """Let a server announce in its answers that it leaves, and restart it later."""
    server = rng.choice(list(world.servers.values()))
    with world.lock:
        if server.announces_leaving:
            return
        server.announces_leaving = True
    began_at = time.monotonic()
    yield server.name, rng.uniform(2.5, 4.0)
    if rng.random() < 0.5:
        world.store.put("keyed.servers", server.name, server.describe("draining"))
        yield server.name, rng.uniform(0.0, 1.0)
    world.announced.append((server.name, began_at, time.monotonic()))
    server.restart()
    server.announces_leaving = False
    # The new incarnation takes work, also if the former one was drained.
    world.end_leaving(server.name)
    world.store.put("keyed.servers", server.name, server.describe())


def ask_for_pause(world, rng):
    """Let a server answer everything with 503 and ask for a pause for a while."""
    server = rng.choice(list(world.servers.values()))
    server.asked_pause_s = rng.choice((0.3, 1.0, rng.uniform(1.0, 3.0)))
    yield server.name, rng.uniform(0.3, 2.0)
    server.asked_pause_s = 0.0


def limit_requests(world, rng):
    """Let a server name a limit of its requests in its answers for a while."""
    server = rng.choice(list(world.servers.values()))
    limit = rng.choice((0.5, 2.0, 4.0))
    server.limit = str(limit)
    began_at = time.monotonic()
    yield server.name, rng.uniform(4.0, 8.0)
    world.limited.append((server.name, limit, began_at, time.monotonic()))
    server.limit = ""


def change_routes(world, rng):
    for _ in range(rng.randrange(1, 5)):
        world.publish(has_new_route=not world.has_new_route)
        yield "configuration", rng.uniform(0.05, 1.5)


def withdraw_key(world, rng):
    world.publish(keys=["key-1"])
    yield "configuration", rng.uniform(1.0, 7.0)
    world.publish(keys=["key-1", "key-2"])


def change_adapter_version(world, rng):
    for _ in range(rng.randrange(1, 4)):
        world.publish_adapter_version(f"a{rng.randrange(6)}")
        yield "configuration", rng.uniform(0.1, 1.0)


FAULTS = (
    kill_host,
    pause_host,
    stop_host,
    restart_hosts_in_turn,
    reload_hosts,
    break_store_link,
    break_server_link,
    break_peer_link,
    refuse_store,
    slow_store,
    lose_store_answers,
    compact_store,
    crash_server,
    degrade_server,
    hang_server,
    drain_server,
    change_routes,
    withdraw_key,
    change_adapter_version,
)
# Apart from the others, so that the faults of a seed stay as they are.
ANSWER_FAULTS = (announce_leaving, ask_for_pause)
LIMIT_FAULTS = (limit_requests,)
CUT_FAULTS = (cut_off_hosts,)
PLANNED_FAULT_NAMES = {
    "stop_host",
    "restart_hosts_in_turn",
    "reload_hosts",
    "change_routes",
    "withdraw_key",
    "change_adapter_version",
    "drain_server",
    "announce_leaving",
    "ask_for_pause",
    "limit_requests",
}


def build_soak_config(version, *, has_new_route, keys):
    """Return a configuration for the soak, with or without the route `new`."""
    config = build_config(version)
    config["routes"] = [
        build_route("llm", "/llm/", "streaming", "llm", resumable=True),
        build_route("once", "/once/", "non_idempotent", "api"),
        build_route("many", "/many/", "idempotent", "api"),
        build_route("open", "/open/", "idempotent", "api", public=True),
    ]
    if has_new_route:
        config["routes"].append(build_route("new", "/new/", "idempotent", "api"))
    config["services"][1]["runtime"]["maxAdapters"] = 4
    config["tenants"] = [
        {**config["tenants"][0], "apiKeys": keys},
        {
            **config["tenants"][0],
            "name": "small",
            "apiKeys": ["key-3"],
            "ratePerS": 600,
            "burst": 1200,
        },
    ]
    return config
