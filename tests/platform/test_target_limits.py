"""Gateway processes before targets that limit the rate of their requests."""

import contextlib
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from statistics import median

import pytest

from hosts import run_deployment, start_host, wait_until

WINDOW_S = 4.0  # over which the platform counts the requests at a target
SETTLING_S = 3.0  # after a target has first named its limit
TOLERATED_RATIO, TOLERATED_REQUESTS = 1.5, 5


@contextlib.contextmanager
def run_hosts(folder, *servers, hosts):
    """Run several hosts before a store and servers named SERVICE-NUMBER."""
    with run_deployment(folder, *servers) as (store, servers, first):
        others = [
            start_host(folder, store.address, f"edge-{number}")
            for number in range(2, hosts + 1)
        ]
        try:
            for host in (first, *others):
                host.wait_ready()
                wait_until(
                    lambda host=host: any(
                        len(event["hosts"]) == hosts - 1
                        for event in host.list_events("fleet.hosts_known")
                    ),
                    host.read_log,
                )
            yield store, servers, [first, *others]
        finally:
            for host in others:
                host.process.kill()


def send_steadily(hosts, *, rate, for_s):
    """Send requests to the hosts in turn; return status and seconds of each answer."""
    stopped = threading.Event()
    with ThreadPoolExecutor(64) as executor:
        futures = []
        began_at = time.monotonic()
        while time.monotonic() - began_at < for_s:
            host = hosts[len(futures) % len(hosts)]
            futures.append(executor.submit(time_call, host))
            stopped.wait(1 / rate)
        return [future.result() for future in futures]


def time_call(host):
    began_at = time.monotonic()
    response, _ = host.call("/many/x")
    return response.status, time.monotonic() - began_at


def count_busiest_window(arrivals, *, since):
    """Return the most requests of a window that ends after `since`."""
    return max(
        (
            sum(end - WINDOW_S < arrival <= end for arrival in arrivals)
            for end in arrivals
            if end >= since
        ),
        default=0,
    )


def get_tolerated(limit):
    return TOLERATED_RATIO * limit * WINDOW_S + TOLERATED_REQUESTS


@pytest.mark.timeout(90)
def test_hosts_together_keep_the_limit_that_a_target_names(tmp_path):
    """A target that named a limit got as many requests as the others."""
    limit = 2.0
    with run_hosts(tmp_path, "api-1", "api-2", hosts=3) as (_, servers, hosts):
        send_steadily(hosts, rate=10, for_s=2.0)
        servers["api-1"].limit = str(limit)
        limited_at = time.monotonic()
        answers = send_steadily(hosts, rate=30, for_s=10.0)
    count = count_busiest_window(
        servers["api-1"].arrivals, since=limited_at + SETTLING_S
    )
    assert 0 < count <= get_tolerated(limit)
    assert {status for status, _ in answers} == {200}


@pytest.mark.timeout(90)
def test_requests_above_the_limit_of_all_targets_are_refused_at_once(tmp_path):
    """Requests waited for a turn that others were waiting for too."""
    with run_hosts(tmp_path, "api-1", hosts=2) as (_, servers, hosts):
        servers["api-1"].limit = "2"
        send_steadily(hosts, rate=5, for_s=1.0)
        began_at = time.monotonic()
        answers = send_steadily(hosts, rate=30, for_s=6.0)
        refusals = [
            event
            for host in hosts
            for event in host.list_events("request.refused")
            if "limit their requests" in event["why"]
        ]
    assert {status for status, _ in answers} == {200, 503}
    refused_s = [seconds for status, seconds in answers if status == 503]
    answered = len(answers) - len(refused_s)
    assert answered >= 0.6 * 2.0 * (time.monotonic() - began_at - WINDOW_S)
    assert len(refusals) >= len(refused_s) > 100
    assert median(refused_s) < 0.1
    assert all(0 < event["retry_after_s"] <= 2.0 for event in refusals)
