"""Headers and calls of the platform's protocol, also malformed and foreign ones."""

import io
from unittest.mock import Mock

import pytest

from adapter._entries import LoadedModelEntry, build_loaded_model
from adapter._protocols import (
    PAUSE_LIMIT_S,
    PlatformCallerProtocol,
    PlatformTargetProtocol,
)
from stand_ins import ModelServer
from thornlatch.exceptions import (
    ErrorKind,
    ForeignAnswer,
    RequestRefused,
    TargetError,
)
from thornlatch.fleet import TargetNotice
from thornlatch.gateway import ReportedLoad
from thornlatch.residency import LoadAdapter, NumberedOrder, OrderOutcome
from thornlatch.targets import TargetCall, TargetResponse, open_call

BAD_NUMBERS = ["²", "٣", "9" * 5000, "-1", "1.5", ""]


def read_request(**headers):
    environ = {
        "HTTP_THORNLATCH_REQUEST_ID": "r",
        "REQUEST_METHOD": "GET",
        "REQUEST_URI": "/x",
        "wsgi.input": io.BytesIO(),
        **headers,
    }
    return PlatformCallerProtocol().read_request(environ)


@pytest.mark.parametrize("number", BAD_NUMBERS)
@pytest.mark.parametrize(
    ("header", "form"),
    [
        ("HTTP_THORNLATCH_DEADLINE_MS", "{}"),
        ("HTTP_THORNLATCH_TOKEN_USAGE", "5,{}"),
        ("HTTP_THORNLATCH_PREFIX_HASH", "ab:{}"),
    ],
)
def test_malformed_number_of_a_client_is_a_bad_request(header, form, number):
    with pytest.raises(RequestRefused) as caught:
        read_request(**{header: form.format(number)})
    assert caught.value.kind is ErrorKind.BAD_REQUEST


@pytest.mark.parametrize("number", BAD_NUMBERS)
def test_malformed_figure_of_a_server_s_load_is_left_out(number):
    """The other figures were lost with it, and nobody was told."""
    headers = [("Thornlatch-Server-Load", f"1,{number},8")]
    head = PlatformTargetProtocol("h").read_head(200, headers)
    assert head.load == ReportedLoad(1, None, 8)
    assert [header.name for header in head.notice.unreadable] == [
        "Thornlatch-Server-Load"
    ]


@pytest.mark.parametrize(
    ("text", "load", "is_unreadable"),
    [
        ("3,0,8", ReportedLoad(3, 0, 8), False),
        ("3,0,8,140", ReportedLoad(3, 0, 8, 1.4), False),
        (" 3 , 0 , 8 , 70 ", ReportedLoad(3, 0, 8, 0.7), False),
        ("3,0,8,0", ReportedLoad(3, 0, 8), False),
        ("3,0", ReportedLoad(3, 0), True),
        ("3", ReportedLoad(3), True),
        ("3,0,8,140,5", ReportedLoad(3, 0, 8, 1.4), True),
        ("3,0,8,-1", ReportedLoad(3, 0, 8), True),
        ("3,0,8,x", ReportedLoad(3, 0, 8), True),
        (",,,", None, True),
        ("", None, True),
    ],
)
def test_load_of_a_server_of_any_length_loses_nothing_that_can_be_read(
    text, load, is_unreadable
):
    """A fourth figure hid the other three."""
    headers = [("Thornlatch-Server-Load", text)]
    head = PlatformTargetProtocol("h").read_head(200, headers)
    assert head.load == load
    assert bool(head.notice.unreadable) == is_unreadable


@pytest.mark.parametrize("number", BAD_NUMBERS)
def test_adapter_with_a_malformed_version_is_left_out(number):
    entry = LoadedModelEntry("m", 1, [f"a1@{number}", "a2@2"])
    assert build_loaded_model(entry).adapters == {"a2": 2}


@pytest.fixture
def server():
    server = ModelServer("llm-1", "llm", model="m")
    yield server
    server.close()


def load(server, adapter, number):
    order = NumberedOrder(LoadAdapter("m", adapter, 1), number)
    return PlatformTargetProtocol("h").send_order(server.address, "llm-1", order, 1)


def report(server):
    return PlatformTargetProtocol("h").read_report(server.address, "llm-1")


def test_answer_to_an_earlier_order_or_report_isn_t_believed(server):
    """Adapters were taken for loaded, and a report of the past for the newest one."""
    server.repeats_answers = True
    assert report(server).sequence == 0
    for number, adapter in enumerate(("a1", "a2")):
        assert load(server, adapter, number).outcome is OrderOutcome.ACCEPTED
        assert report(server).sequence == number + 1
    assert set(server.adapters) == {"a1", "a2"}


def refuse_a_request(server):
    """Let a request leave a kept connection to the server."""
    server.plan = ["shed"]
    headers = {"Thornlatch-Request-Id": "r", "Thornlatch-Expect-Instance": "llm-1"}
    call = TargetCall(server.address, "GET", "/", b"", headers)
    response = open_call(call)
    response.read_all(100)
    response.close()


def test_answer_to_a_request_isn_t_taken_for_that_to_an_order(server):
    """An order was taken for refused that the server might have carried out."""
    server.repeats_answers = True
    refuse_a_request(server)
    assert load(server, "a1", 0).outcome is OrderOutcome.UNKNOWN
    refuse_a_request(server)
    with pytest.raises(ForeignAnswer):
        report(server)


def test_report_with_another_status_names_it(monkeypatch):
    class Response:
        status = 503
        is_reused = False
        response = Mock(getheaders=list)

        def read_all(self, limit, *, within_s):
            return b"{}"

        def close(self):
            pass

    def open_call(call) -> TargetResponse:
        return Response()

    monkeypatch.setattr("adapter._protocols.open_call", open_call)
    with pytest.raises(TargetError) as caught:
        PlatformTargetProtocol("h").read_report("127.0.0.1:1", "i")
    assert caught.value.status == 503


def send_order(server, target="llm-1"):
    order = NumberedOrder(LoadAdapter("m", "a1", 0), server.sequence)
    return PlatformTargetProtocol("h").send_order(server.address, target, order, 1)


def read_report(server, target="llm-1"):
    return PlatformTargetProtocol("h").read_report(server.address, target)


@pytest.mark.parametrize("call", [send_order, read_report])
def test_answers_to_orders_and_reports_announce_a_leaving(server, call):
    assert not call(server).notice.is_leaving
    server.announces_leaving = True
    assert call(server).notice.is_leaving


def test_report_tells_the_incarnation_that_announces_its_leaving(server):
    server.announces_leaving = True
    server.starts = 7
    assert read_report(server).notice == TargetNotice(is_leaving=True, started_ms=7)


@pytest.mark.parametrize("instance", ["", "other"])
def test_leaving_of_a_server_that_isn_t_the_intended_one_is_ignored(server, instance):
    headers = {"Thornlatch_Instance_Id": instance} if instance else {}
    server.take_order = lambda handler, order: handler.send(421, **headers)
    server.announces_leaving = True
    assert send_order(server).notice == TargetNotice()


def read_head(status, **headers):
    pairs = [(name.replace("_", "-"), value) for name, value in headers.items()]
    return PlatformTargetProtocol("h").read_head(status, pairs)


@pytest.mark.parametrize(
    ("text", "pause_s"),
    [
        ("2", 2.0),
        ("0.25", 0.25),
        ("007.", 7.0),
        ("0", 0.0),
        ("0.0", 0.0),
        ("86400", PAUSE_LIMIT_S),
        ("9" * 5000, PAUSE_LIMIT_S),
    ],
)
def test_pause_is_read_in_seconds_up_to_a_limit(text, pause_s):
    head = read_head(503, Retry_After=text)
    assert (head.notice.pause_s, head.notice.unreadable) == (pause_s, ())
    assert read_head(200, Retry_After=text).notice.pause_s == 0.0


@pytest.mark.parametrize(
    "text",
    [
        "",
        "soon",
        "-1",
        "+1",
        "inf",
        "nan",
        "1e3",
        "1_0",
        "٣",
        "1 2",
        "Fri, 04 Dec 2026 21:20:00 GMT",
    ],
)
def test_pause_that_is_no_number_of_seconds_is_unreadable(text):
    head = read_head(503, Retry_After=text)
    assert head.notice.pause_s == 0.0
    (header,) = head.notice.unreadable
    assert (header.name, header.value) == ("Retry-After", text)
    assert "seconds" in header.expected
    assert not read_head(200, Retry_After=text).notice.unreadable


@pytest.mark.parametrize(
    ("text", "rate"),
    [("1.6", 1.6), ("0", 0.0), ("0.05", 0.05), ("12", 12.0), ("9" * 400, 1e6)],
)
def test_limit_is_read_in_requests_a_second(text, rate):
    for status in (200, 421, 500, 503):
        assert read_head(status, Server_Limit=text).notice.limit_rate == rate
    assert read_head(200).notice.limit_rate is None


@pytest.mark.parametrize("text", ["", "-1", "nan", "inf", "1e3", "few", "1,5", "٣"])
def test_limit_that_is_no_number_of_requests_is_unreadable(text):
    notice = read_head(200, Server_Limit=text).notice
    assert notice.limit_rate is None
    (header,) = notice.unreadable
    assert (header.name, header.value) == ("Server-Limit", text)


@pytest.mark.parametrize("text", ["", "0", "yes", "1, 1"])
def test_leaving_that_isn_t_announced_as_described_is_unreadable(text):
    head = read_head(200, Server_Leaving=text)
    assert not head.notice.is_leaving
    assert [header.value for header in head.notice.unreadable] == [text]


@pytest.mark.parametrize("call", [send_order, read_report])
def test_orders_and_reports_are_answered_with_a_pause(server, call):
    server.answer = lambda handler: handler.send(503, b"{}", Retry_After="1.5")
    if call is read_report:
        with pytest.raises(TargetError) as caught:
            call(server)
        notice = caught.value.notice
    else:
        notice = call(server).notice
    assert notice == TargetNotice(pause_s=1.5)
