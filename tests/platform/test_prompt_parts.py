"""Requests that share one part of their prompts crash each server that runs them."""

import itertools
import time

import pytest

from hosts import start_host, wait_until
from stand_ins import ModelServer, Store, build_config

CONTACT_TIMEOUT_S = 3.0
RESTART_S = 1.5  # a server that answers sooner hasn't crashed
SHARED, BAD = "5c1e07a2", "bad07bad"


class Deployment:
    """Two hosts before four model servers, which restart after each crash."""

    def __init__(self, folder):
        self.store = Store()
        self.servers = [ModelServer(f"llm-{n}", "llm", model="m") for n in range(4)]
        self.store.put("keyed.op", "config", build_config())
        for server in self.servers:
            server.crash_part = BAD
            self.register(server)
        self.hosts = [
            start_host(folder, self.store.address, name=f"edge-{n}") for n in (1, 2)
        ]
        self.crash_count = 0
        self.numbers = itertools.count()

    def register(self, server):
        self.store.put("keyed.servers", server.name, server.describe())

    def call(self, host, *parts):
        """Send a request whose last part is its own; return its answer."""
        own_part = f"{next(self.numbers):08x}"
        prompt = ",".join(f"{part}:100" for part in (*parts, own_part))
        response, body = host.call(
            f"/llm/{own_part}", Thornlatch_Model="m", Thornlatch_Prefix_Hash=prompt
        )
        return response.status, body

    def restart_crashed(self):
        crashed = [server for server in self.servers if server.crashed.is_set()]
        self.crash_count += len(crashed)
        if crashed:
            time.sleep(RESTART_S)
        for server in crashed:
            server.restart()
            self.register(server)

    def count_arrivals(self, part):
        return sum(
            part in headers.get("Thornlatch-Prefix-Hash", "")
            for server in self.servers
            for _, _, headers, _ in server.requests
        )

    def close(self):
        for host in self.hosts:
            if host.process.poll() is None:
                host.process.kill()
        self.restart_crashed()
        for server in (self.store, *self.servers):
            server.close()


@pytest.fixture
def deployment(tmp_path):
    deployment = Deployment(tmp_path)
    yield deployment
    deployment.close()


@pytest.mark.timeout(120)
def test_prompt_part_that_crashes_servers_is_kept_away(deployment):
    """No two requests were alike, so none was recognised and engines kept crashing."""
    for host in deployment.hosts:
        status, _ = deployment.call(host, SHARED)
        assert status == 200
    turns = itertools.cycle(deployment.hosts)
    for number in range(8):
        deployment.call(next(turns), SHARED, f"{number:06x}aa", BAD)
        deployment.restart_crashed()
        if deployment.crash_count >= 5:
            break
    time.sleep(CONTACT_TIMEOUT_S)
    arrivals = deployment.count_arrivals(BAD)
    for number in range(10):
        deployment.call(next(turns), SHARED, BAD, f"{number:06x}bb")
        deployment.restart_crashed()
    assert deployment.count_arrivals(BAD) - arrivals <= 3
    for host in deployment.hosts:
        wait_until(lambda host=host: deployment.call(host, SHARED)[0] == 200)
