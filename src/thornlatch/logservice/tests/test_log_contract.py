"""Contract of the log service, tested against the stand-in through the client."""

import pytest

from standins._http import BackgroundServer
from standins.log_service import LogService
from thornlatch.logservice import LogClient, PlatformError, PlatformSettings


@pytest.fixture
def service():
    return LogService(appends_per_s=10_000)


@pytest.fixture
def client(service):
    with BackgroundServer(service.app, threads=8) as server:
        yield LogClient(PlatformSettings(log=server.address, timeout_s=2.0), client="c")


def set_faults(service, **faults):
    service.set_faults({}, faults)


def test_append_offsets_are_contiguous(client):
    assert client.append("s", [1, 2]) == 0
    assert client.append("s", [3]) == 2
    assert [r.value for r in client.read("s", 1).records] == [2, 3]


def test_streams_are_independent(client):
    client.append("a", [1])
    assert client.append("b", [9]) == 0


def test_read_at_end_is_empty(client):
    client.append("s", [1])
    page = client.read("s", 1)
    assert (page.records, page.next_offset) == ((), 1)


def test_read_without_new_record_returns_empty_page(client, service):
    client.append("s", [1])
    assert client.read("s", 1, wait_s=0.05).records == ()


def test_read_limit_bounds_the_page(client):
    client.append("s", list(range(20)))
    page = client.read("s", 0, limit=5)
    assert len(page.records) == 5
    assert page.next_offset == 5


@pytest.mark.parametrize(
    ("faults", "is_outcome_unknown"),
    [
        ({"is_down": True}, False),
        ({"refused_clients": ["c"]}, False),
        ({"lose_replies": 1}, True),
    ],
    ids=["outage", "refused_client", "lost_reply"],
)
def test_append_fault_reports_outcome(client, service, faults, is_outcome_unknown):
    set_faults(service, **faults)
    with pytest.raises(PlatformError) as caught:
        client.append("s", [1])
    assert caught.value.is_outcome_unknown is is_outcome_unknown
    set_faults(service)
    assert len(client.read("s", 0).records) == int(is_outcome_unknown)


def test_append_slow_service_leaves_outcome_unknown(service):
    with BackgroundServer(service.app, threads=8) as server:
        settings = PlatformSettings(log=server.address, timeout_s=0.1)
        set_faults(service, delay_s=0.5)
        with pytest.raises(PlatformError) as caught:
            LogClient(settings).append("s", [1])
        assert caught.value.is_outcome_unknown


def test_append_refused_connection_has_known_outcome():
    client = LogClient(PlatformSettings(log="127.0.0.1:1", timeout_s=0.2))
    with pytest.raises(PlatformError) as caught:
        client.append("s", [1])
    assert not caught.value.is_outcome_unknown


def test_read_of_trimmed_records_reports_first_offset(client, service):
    client.append("s", [1, 2, 3])
    service.trim({"PATH_INFO": "/trim/s"}, {"before": 2})
    with pytest.raises(PlatformError) as caught:
        client.read("s", 0)
    assert caught.value.first_offset == 2
    assert client.append("s", [4]) == 3


@pytest.mark.parametrize(
    "answer",
    [b"", b"[]", b"{", b'{"records": 3}', b'{"records": [{}], "next_offset": 1}'],
)
def test_read_malformed_answer(answer):
    def app(environ, start_response):
        start_response("200 OK", [("Content-Length", str(len(answer)))])
        return [answer]

    with BackgroundServer(app, threads=2) as server:
        client = LogClient(PlatformSettings(log=server.address))
        with pytest.raises(PlatformError):
            client.read("s", 0)
