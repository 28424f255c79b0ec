"""Connections between hosts fall silent; each host then trusts a deadly request."""

import sys
import time

from lib.case import build_config, has_trouble, run_case
from lib.deadly import (
    CONTACT_TIMEOUT_S,
    CRASHES,
    DOWN_S,
    FragileServer,
    SoundClients,
    ask,
    judge,
)
from lib.gateways import Gateway
from lib.proxies import ProxiedStore

HOSTS = ("edge-1", "edge-2", "edge-3")
SERVERS = 10
CALM_S = 4.0
SILENCE_S = 8.0  # from the silence to the first deadly request


def play(record, folder, to_close):
    """Silence the links between hosts; return whether BUDGET was kept."""
    store = ProxiedStore()
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
    clients = SoundClients(gateways, 18)
    time.sleep(CALM_S)
    if has_trouble():
        record.add("the open connections between the hosts fall silent for good")
        store.silence()
    time.sleep(SILENCE_S)
    first, *others = gateways
    for _ in range(6):
        if len(crashes) < CRASHES:
            ask(record, first)
    time.sleep(CONTACT_TIMEOUT_S + 1.0)
    for _ in range(3):
        for gateway in others:
            ask(record, gateway)
            time.sleep(DOWN_S / 2)
    clients.stopping.set()
    time.sleep(2.0)
    return judge(record, crashes, clients)


run_case(play, sys.argv[1])
