"""Streams of a service whose targets run several software versions."""

import contextlib
import os

import pytest

from hosts import run_deployment, start_host, wait_until

SERVERS = {"llm-1": "v1", "llm-2": "v1", "llm-3": "v2", "llm-4": "v2"}


@contextlib.contextmanager
def run_versions(folder, versions=SERVERS):
    """Run a host before servers of the given versions."""
    with run_deployment(folder, *versions, versions=versions) as deployment:
        deployment[2].wait_ready()
        yield deployment


def leave_only(servers, *names):
    """Let all other servers refuse requests without running them."""
    for name, server in servers.items():
        server.plan = [] if name in names else ["shed"] * 50


def begin_stream(host, servers, name):
    """Begin a stream at a server that breaks it off; return the attempt's id."""
    leave_only(servers, name)
    server = servers[name]
    server.plan = ["cut-stream"]
    others = [other for other in servers.values() if other is not server]
    request = os.urandom(8).hex()
    _, body = host.call("/llm/x", Thornlatch_Request_Id=request, Thornlatch_Model="m")
    assert b"e2" in body.partial
    for other in others:
        other.requests.clear()
        other.plan = []
    server.requests.clear()
    return request


def take_up(host, request, **headers):
    return host.call(
        "/llm/x",
        Thornlatch_Model="m",
        Last_Event_Id="2",
        Resumes=request,
        **headers,
    )


def list_servers_of_runs(servers):
    return [name for name, server in servers.items() if server.requests]


@pytest.mark.parametrize("name", SERVERS)
def test_host_resumes_a_stream_only_at_its_version(tmp_path, name):
    """A host resumed broken streams at any target of the service."""
    with run_versions(tmp_path) as (_, servers, host):
        for _ in range(6):
            for server in servers.values():
                server.plan, server.requests = [], []
            leave_only(servers, name)
            servers[name].plan = ["cut-stream", "shed", "shed", "shed"]
            for other in servers.values():
                if other.version == servers[name].version and other.name != name:
                    other.plan = ["shed"]
            _, body = host.call("/llm/x", Thornlatch_Model="m")
            resumed = [
                other.version
                for other in servers.values()
                for _, _, headers, _ in other.requests
                if headers.get("Last-Event-Id")
            ]
            assert set(resumed) <= {servers[name].version}


@pytest.mark.parametrize("name", ["llm-1", "llm-3"])
def test_stream_is_taken_up_at_its_version(tmp_path, name):
    """A take-up went to any target, since no host knew where the stream began."""
    with run_versions(tmp_path) as (store, servers, host):
        other_host = start_host(tmp_path, store.address, "edge-2")
        try:
            other_host.wait_ready()
            for taker in (host, other_host, host, other_host):
                request = begin_stream(host, servers, name)
                response, body = take_up(taker, request)
                assert response.status == 200, taker.read_log()
                assert b"e3" in body
                assert {
                    servers[runner].version for runner in list_servers_of_runs(servers)
                } == {servers[name].version}
        finally:
            other_host.process.kill()


@pytest.mark.parametrize("name", ["llm-1", "llm-3"])
def test_stream_is_taken_up_at_its_version_after_all_hosts_were_killed(tmp_path, name):
    """All hosts lost power at once, and nobody knew the versions of streams."""
    with run_versions(tmp_path) as (_, servers, host):
        requests = [begin_stream(host, servers, name) for _ in range(4)]
        host.process.kill()
        host.process.wait()
        host.start()
        host.wait_ready()
        for request in requests:
            response, body = take_up(host, request)
            assert response.status == 200, host.read_log()
            assert b"e3" in body
        versions = {servers[runner].version for runner in list_servers_of_runs(servers)}
        assert versions == {servers[name].version}


def test_stream_whose_version_has_left_is_refused(tmp_path):
    """A take-up went on at the new version after the old version's servers left."""
    with run_versions(tmp_path) as (store, servers, host):
        request = begin_stream(host, servers, "llm-1")
        for name in ("llm-1", "llm-2"):
            store.put("keyed.servers", name, servers[name].describe("draining"))
        wait_until(
            lambda: (
                sum(
                    event["leaving"] is True
                    for event in host.list_events("target.changed")
                )
                >= 2
            ),
            host.read_log,
        )
        response, _ = take_up(host, request)
        assert response.status == 503
        assert list_servers_of_runs(servers) == []


def test_take_up_of_an_unknown_stream_is_refused_while_versions_differ(tmp_path):
    """Without the id of the first attempt nobody can tell the version."""
    with run_versions(tmp_path) as (_, servers, host):
        response, _ = host.call("/llm/x", Thornlatch_Model="m", Last_Event_Id="2")
        assert response.status == 503
        assert list_servers_of_runs(servers) == []
