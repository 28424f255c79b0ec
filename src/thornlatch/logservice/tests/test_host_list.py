"""Client of the platform's host list, tested against the stand-in service."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from standins._http import BackgroundServer
from standins.host_list import HostList as Service
from thornlatch.logservice import (
    HostList,
    HostListClient,
    PlatformError,
    PlatformSettings,
)
from thornlatch.logservice._host_list import parse_host_list

LEAVING = {"live": ["a"], "leaving": ["b"]}


@pytest.fixture
def service():
    return Service(lag_s=0.0)


@pytest.fixture
def client(service):
    with BackgroundServer(service.app, threads=2) as server:
        settings = PlatformSettings(log="", host_list=server.address, timeout_s=2.0)
        yield HostListClient(settings)


def test_read_list(client, service):
    assert client.read() == HostList()
    service.set_hosts({}, LEAVING)
    assert client.read() == HostList(frozenset("a"), frozenset("b"))


def test_read_list_unchanged(client, service):
    service.set_hosts({}, LEAVING)
    assert client.read() is client.read()
    service.set_hosts({}, {})
    assert client.read() == HostList()


def test_read_list_after_outage(client, service):
    service.set_faults({}, {"is_down": True})
    with pytest.raises(PlatformError, match="503"):
        client.read()
    service.set_faults({}, {})
    assert client.read() == HostList()


def test_read_list_connection_refused():
    client = HostListClient(PlatformSettings(log="", host_list="127.0.0.1:1"))
    with pytest.raises(PlatformError, match="didn't answer"):
        client.read()


@pytest.mark.parametrize("name", ["engine-0", "10.0.0.1:80", "10.0.0.1"])
def test_is_leaving_by_name_or_address(name):
    hosts = HostList(leaving=frozenset([name]))
    assert hosts.is_leaving("engine-0", "10.0.0.1:80")
    assert not hosts.is_leaving("engine-1", "10.0.0.11:80")


@given(
    st.binary(max_size=100)
    | st.dictionaries(
        st.sampled_from(["live", "leaving"]),
        st.none() | st.lists(st.none() | st.text(max_size=3)) | st.integers(),
    ).map(lambda value: json.dumps(value).encode())
)
def test_parse_host_list_arbitrary_bytes(data):
    try:
        assert isinstance(parse_host_list(data), HostList)
    except PlatformError:
        return
