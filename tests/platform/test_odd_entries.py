"""Hosts go on after entries of other writers that can't be used."""

import json

import pytest

from hosts import run_deployment, start_host, wait_until

HUGE = 10**400
MODEL = {"Thornlatch_Model": "m"}


def describe(server, **changes):
    return server.describe() | changes


ODD_ENTRIES = {
    "nested": lambda server: b"[" * 100_000,
    "nested-field": lambda server: (
        json.dumps(server.describe())[:-1].encode()
        + b', "other": '
        + b'{"a":' * 20_000
        + b"1"
        + b"}" * 20_000
        + b"}"
    ),
    "many-slots": lambda server: describe(server, slots=HUGE),
    "born-late": lambda server: describe(server, born=HUGE),
    "born-at-2-to-the-64": lambda server: describe(server, born=2**64),
    "negative-born": lambda server: describe(server, born=-1),
    "long-sequence": lambda server: describe(server, sequence=HUGE),
    "large-float": lambda server: describe(server, coldRemainingMs=HUGE),
    "remaining": lambda server: describe(server, remainingMs=-HUGE),
    "model-version": lambda server: describe(
        server, loadedModels=[{"name": "m", "version": HUGE, "loadedAdapters": []}]
    ),
    "port-0": lambda server: describe(server, address="127.0.0.1:0"),
    "port-70000": lambda server: describe(server, address="127.0.0.1:70000"),
    "octet": lambda server: describe(server, address="127.0.0.999:80"),
    "lone-surrogate": lambda server: (
        json.dumps(server.describe()).encode().replace(b'"z1"', b'"\\ud800"')
    ),
    "no-utf-8": lambda server: b'{"service": "\xff"}',
    "null": lambda server: b"null",
}


def put(store, topic, key, value):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    store.append(topic, bytes([len(key)]) + key.encode() + data)


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_odd_entry_of_a_server_leaves_the_others_in_use(tmp_path, name):
    """One entry ended the hosts that read it, or the loop that reads the entries."""
    with run_deployment(tmp_path, "api-1", "llm-1") as (store, servers, host):
        host.wait_ready()
        odd = ODD_ENTRIES[name](servers["llm-1"])
        put(store, "keyed.servers", "odd", odd)
        # Entries that follow are read, and requests are served.
        store.put("keyed.servers", "api-2", servers["api-1"].describe("draining"))
        wait_until(
            lambda: any(
                event["target"] == "api-2"
                for event in host.list_events("target.changed")
            ),
            host.read_log,
        )
        for _ in range(4):
            for headers in ({"path": "/many/x"}, {"path": "/llm/x", **MODEL}):
                response, _ = host.call(**headers)
                assert response.status == 200, host.read_log()
        # A host that starts reads it among the latest entries.
        other = start_host(tmp_path, store.address, "edge-2")
        try:
            other.wait_ready()
            response, _ = other.call("/many/x")
            assert response.status == 200
            (event,) = host.list_events("store.entry_unreadable")
            assert event["key"] == "odd"
            for running in (host, other):
                assert running.process.poll() is None
                assert not running.list_events("host.loop_ended")
        finally:
            other.process.kill()


@pytest.mark.parametrize(
    "value",
    [
        b"[" * 100_000,
        {"id": "x.1", "address": "nowhere", "written_s": 1.0},
        {"id": "x.1", "address": "127.0.0.1:70000", "written_s": 1.0},
        {"id": "x.1", "address": "127.0.0.1:1", "written_s": 1.0, "capacity": HUGE},
        {"id": 3, "address": "127.0.0.1:1", "written_s": 1.0},
        {},
    ],
    ids=lambda value: repr(value)[:40],
)
def test_odd_entry_of_a_host_ends_no_host(tmp_path, value):
    with run_deployment(tmp_path, "api-1") as (store, _, host):
        host.wait_ready()
        put(store, "keyed.hosts", "x", value)
        put(store, "keyed.op", "version/m.a1", b"[" * 100_000)
        odd_version = {"modelId": "m", "adapterId": "a1", "version": HUGE}
        put(store, "keyed.op", "version/m.a2", odd_version)
        wait_until(
            lambda: len(host.list_events("store.entry_unreadable")) == 3, host.read_log
        )
        response, _ = host.call("/many/x")
        assert response.status == 200
        assert host.process.poll() is None
        assert not host.list_events("host.loop_ended")
