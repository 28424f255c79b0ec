"""Hosts are stopped and started in turn; a deadly request is no longer known then."""

import sys
import time

from lib.case import build_config, has_trouble, run_case
from lib.deadly import (
    CONTACT_TIMEOUT_S,
    DOWN_S,
    FragileServer,
    SoundClients,
    ask,
    judge,
)
from lib.gateways import Gateway
from lib.store import Store

HOSTS = ("edge-1", "edge-2", "edge-3")
SERVERS = 10
CALM_S = 4.0
ROUNDS = 4  # in which the deadly request comes at each host that is ready


def play(record, folder, to_close):
    """Restart the hosts in turn; return whether BUDGET was kept."""
    store = Store()
    to_close.append(store)
    store.put("keyed.op", "config", build_config())
    crashes = []
    servers = [FragileServer(f"i-api-{n}", store, crashes) for n in range(SERVERS)]
    to_close.extend(servers)
    for server in servers:
        store.put("keyed.servers", server.name, server.describe())
    gateways = [Gateway(name, store.address, folder) for name in HOSTS]
    to_close.extend(gateways)
    for gateway in gateways:
        gateway.wait_ready()
    record.add("all hosts are ready")
    clients = SoundClients(gateways[-1:], 8)
    time.sleep(CALM_S)
    for number, gateway in enumerate(gateways):
        for _ in range(ROUNDS):
            ask(record, gateway)
            time.sleep(DOWN_S / 2)
        time.sleep(CONTACT_TIMEOUT_S)
        if has_trouble() and number < len(gateways) - 1:
            restart(gateway, record)
    clients.stopping.set()
    time.sleep(2.0)
    return judge(record, crashes, clients)


def restart(gateway, record):
    """Stop a host with SIGTERM and start it again."""
    record.add(f"SIGTERM to {gateway.name}")
    gateway.stop()
    gateway.process.wait(timeout=20)
    gateway.start()
    gateway.wait_ready()
    record.add(f"{gateway.name} is ready again")
    time.sleep(1.0)


run_case(play, sys.argv[1])
