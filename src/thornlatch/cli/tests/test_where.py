"""`thornlatch where` and `status` before hosts that answer as they like."""

import contextlib
import json
import socket
import threading
import time

import msgspec
import pytest

from standins._http import BackgroundServer
from thornlatch.cli import run
from thornlatch.cli._exits import EXIT_FAILED, EXIT_INVALID, EXIT_OK, EXIT_USAGE
from thornlatch.gateway import Explanation, GatewayStatus, Reason
from thornlatch.gateway._explanations import (
    AdapterState,
    ConfigurationStatus,
    DataAge,
    Outcome,
    PeerStatus,
    QuotaState,
    Refusal,
    ServiceWeight,
    StateCount,
    TargetExplanation,
    TargetStatus,
)
from thornlatch.gateway._where_query import WhereQuery, parse_query

QUERY = ["--host", "h", "--path", "/x"]


def build_explanation(host, target="t1", *, refusals=(), reasons=(), **fields):
    values = {
        "host": host,
        "query": WhereQuery("h", "/x"),
        "configuration_version": 7,
        "route": "many",
        "service": "api",
        "services": (ServiceWeight("api", 1.0),),
        "outcome": Outcome("refuse" if refusals else "send", target, 0.0, 1.0),
        "refusals": refusals,
        "quota": QuotaState("shop", 10.0, 20.0, 17, 4),
        "adapter": None,
        "targets": (
            TargetExplanation(
                target, "z", "1", "send", 0.0, 0.01, 2, 8, 0, None, reasons
            ),
        ),
        "target_count": 1,
        "ages": (DataAge("configuration confirmed", 0.25), DataAge("digest", None)),
    }
    return Explanation(**(values | fields))


@contextlib.contextmanager
def serve(answer):
    """Serve what `answer` returns for a query string: a page, or status and error."""
    queries = []

    def app(environ, start_response):
        queries.append(parse_query(environ["QUERY_STRING"]))
        page, status = answer(queries[-1]), "200 OK"
        if isinstance(page, str):
            status, page = "404 Not Found", {"error": {"code": page, "message": "m"}}
        body = msgspec.json.encode(page)
        start_response(status, [("Content-Length", str(len(body)))])
        return [body]

    with BackgroundServer(app, threads=2) as server:
        yield server.address, queries


def test_where_shows_the_choice_and_why(capsys):
    page = build_explanation(
        "a.1",
        refusals=(Refusal("rate-exceeded", "shop has used its quota", 429, 1.25),),
        reasons=(Reason("paused", "asked for a pause", 3.0, 1.0),),
        adapter=AdapterState("m/a", 2, 3, 4.0, True),
    )
    with serve(lambda query: page) as (address, queries):
        options = [*QUERY, "--organisation", "shop", "--model", "m/a"]
        options += ["--prompt-tokens", "3", "--output-tokens", "2", "--part", "p:3"]
        assert run(["where", address, *options]) == EXIT_OK
    assert capsys.readouterr().out.splitlines() == [
        f"{address}: a.1: refuse with rate-exceeded",
        "  route many, service api, configuration 7",
        "  organisation shop: 17 tokens left, 10/s, burst 20; this request takes 4",
        "  adapter m/a: version 2 or later, 3 announced 4.0 s ago",
        "  refused (429 rate-exceeded): shop has used its quota; until 1.25 s from now",
        "  targets, by cost: 1 of 1",
        "    t1: send; wait 0.00 s, cost 0.010 s; requests 2/8; paused (asked for a"
        " pause, for 1.0 s, 3.0 s more)",
        "  configuration confirmed: 0.25 s ago",
        "  digest: never",
    ]
    assert queries == [
        WhereQuery("h", "/x", "shop", "m/a", 3, 2, prompt_parts=(("p", 3),))
    ]


@pytest.mark.parametrize("as_json", [False, True])
def test_where_shows_in_what_two_hosts_differ(capsys, as_json):
    pages = [build_explanation("a.1", "t1"), build_explanation("b.1", "t2")]
    with (
        serve(lambda query: pages[0]) as (first, _),
        serve(lambda query: pages[1]) as (second, _),
    ):
        options = [*QUERY, *(["--json"] if as_json else [])]
        assert run(["where", first, second, *options]) == EXIT_OK
    text = capsys.readouterr().out
    if as_json:
        value = json.loads(text)
        assert [host["explanation"]["host"] for host in value["hosts"]] == [
            "a.1",
            "b.1",
        ]
        differences = {item["what"]: item["values"] for item in value["differences"]}
        assert [v["value"] for v in differences["outcome"]] == ["send t1", "send t2"]
        assert set(differences) == {"outcome", "target t1", "target t2"}
    else:
        assert f"  outcome: {first}: send t1; {second}: send t2" in text.splitlines()


def test_hosts_that_agree_show_no_difference(capsys):
    with (
        serve(lambda query: build_explanation("a.1")) as (first, _),
        serve(lambda query: build_explanation("b.1")) as (second, _),
    ):
        assert run(["where", first, second, *QUERY]) == EXIT_OK
    assert "difference" not in capsys.readouterr().out


def test_request_of_one_host_is_explained_by_the_others_too():
    """Only the host that served a request knows its id."""
    served = WhereQuery("h", "/y", "shop", id="r1")
    page = build_explanation("a.1", query=served)
    with (
        serve(lambda query: "unknown-request" if query.request else page) as first,
        serve(lambda query: page) as second,
    ):
        addresses = [first[0], second[0]]
        assert run(["where", *addresses, "--request", "r1"]) == EXIT_OK
    assert first[1] == [WhereQuery(request="r1"), served]
    assert second[1] == [WhereQuery(request="r1")]


@pytest.mark.parametrize(
    ("code", "status"),
    [
        ("unknown-route", EXIT_INVALID),
        ("unknown-model", EXIT_INVALID),
        ("unknown-request", EXIT_INVALID),
        ("bad-request", EXIT_INVALID),
        ("host-unconfirmed", EXIT_FAILED),
        ("internal", EXIT_FAILED),
    ],
)
def test_error_of_all_hosts_is_the_command_s(capsys, code, status):
    with serve(lambda query: code) as (address, _):
        assert run(["where", address, *QUERY]) == status
    captured = capsys.readouterr()
    assert captured.err.startswith(f"error: {code}\n")
    assert not captured.out


def test_adapter_that_no_host_knows_is_an_error(capsys):
    page = build_explanation("a.1", adapter=AdapterState("m/x", 0, 0, None, False))
    with serve(lambda query: page) as (address, _):
        assert run(["where", address, *QUERY, "--model", "m/x"]) == EXIT_INVALID
    captured = capsys.readouterr()
    assert captured.err.startswith("error: unknown-adapter\n")
    assert "this host has never seen it" in captured.out


@pytest.mark.parametrize(
    ("arguments", "status"),
    [
        ([], EXIT_USAGE),
        (["1.2.3.4:5", "--prompt-tokens", "x"], EXIT_USAGE),
        (["1.2.3.4:5"], EXIT_INVALID),
        (["1.2.3.4:5", "--host", "h", "--path", "x"], EXIT_INVALID),
        (["1.2.3.4:5", *QUERY, "--model", "m/"], EXIT_INVALID),
        (["1.2.3.4:5", *QUERY, "--part", "x"], EXIT_INVALID),
        (["1.2.3.4:5", *QUERY, "--part", "x:-1"], EXIT_INVALID),
        (["1.2.3.4:5", *QUERY, "--prompt-tokens", "1"], EXIT_INVALID),
        (["1.2.3.4:5", *QUERY, "--request", "r1"], EXIT_INVALID),
        # A byte of the command line that isn't UTF-8.
        (["1.2.3.4:5", *QUERY, "--id", "\udcff"], EXIT_INVALID),
        (["1.2.3.4:5", "--request", "\udcff"], EXIT_INVALID),
        (["1.2.3.4:5", *QUERY, "--timeout", "nan"], EXIT_INVALID),
        (["a.example:5", *QUERY], EXIT_INVALID),
        (["1.2.3.4:x", *QUERY], EXIT_INVALID),
        (["1.2.3.4:99999", *QUERY], EXIT_INVALID),
        (["ftp://1.2.3.4:5", *QUERY], EXIT_INVALID),
        (["[::1", *QUERY], EXIT_INVALID),
    ],
)
def test_bad_argument_has_a_code_and_asks_no_host(capsys, arguments, status):
    assert run(["where", *arguments]) == status
    captured = capsys.readouterr()
    assert "Traceback" not in captured.err
    assert captured.err.lower().startswith(("error:", "usage:"))


@contextlib.contextmanager
def drip(data):
    """Serve connections that get a byte of `data` every 50 ms, without an end."""
    listener, stopped = socket.create_server(("127.0.0.1", 0)), threading.Event()

    def send(connection):
        with connection, contextlib.suppress(OSError):
            for byte in data * 1000:
                if stopped.wait(0.05):
                    return
                connection.send(bytes([byte]))

    def accept():
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                threading.Thread(target=send, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield f"127.0.0.1:{listener.getsockname()[1]}"
    finally:
        stopped.set()
        listener.close()


@pytest.mark.parametrize(
    "data", [b"HTTP/1.1 200 OK\r\nX: " + b"x" * 40, b"HTTP/1.1 200 OK\r\n\r\n{"]
)
def test_command_ends_in_time_before_hosts_that_answer_without_end(capsys, data):
    with drip(data) as address:
        began_at = time.monotonic()
        status = run(["where", address, *QUERY, "--timeout", "1.5"])
        elapsed_s = time.monotonic() - began_at
    assert (status, elapsed_s < 3.0) == (EXIT_FAILED, True)
    error = capsys.readouterr().err
    assert error.startswith("error: no-host-answers\n")
    assert address in error


@pytest.mark.parametrize("body", [b"{", b"[]", b"{}", b'{"host": 1}', b"\xff"])
def test_page_that_isn_t_an_explanation_is_no_answer(capsys, body):
    def app(environ, start_response):
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    with BackgroundServer(app, threads=1) as server:
        assert run(["where", server.address, *QUERY]) == EXIT_FAILED
    assert capsys.readouterr().err.startswith("error: no-host-answers\n")


def test_host_that_doesn_t_answer_is_named_beside_those_that_do(capsys):
    with serve(lambda query: build_explanation("a.1")) as (address, _):
        with BackgroundServer(lambda *_: [], threads=1) as server:
            closed = server.address
        assert run(["where", address, closed, *QUERY]) == EXIT_FAILED
    lines = capsys.readouterr().out.splitlines()
    assert any(f"{closed}: error: no-host-answers: " in line for line in lines)
    assert any(line.startswith(f"{address}: a.1: send") for line in lines)


def test_status_understands_gateway_hosts(capsys):
    status = GatewayStatus(
        "a.1",
        False,
        (Reason("no-targets", "not read"),),
        ConfigurationStatus(7, 8, 12.0, 0.25, None, True),
        3,
        2,
        (PeerStatus("b.1", 0.1, True), PeerStatus("c.1", 9.0, False)),
        (StateCount("api", "leaving", 1),),
        (TargetStatus("t1", "api", 0, 8, (Reason("leaving", "", 2.0, 1.0),)),),
        1,
    )
    body = msgspec.json.encode(status)

    def app(environ, start_response):
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    with BackgroundServer(app, threads=1) as server:
        assert run(["status", server.address]) == EXIT_FAILED
        assert run(["status", "--json", server.address]) == EXIT_FAILED
        address = server.address
    lines = capsys.readouterr().out.splitlines()
    assert json.loads(lines.pop())[0]["page"] == json.loads(body)
    assert lines == [
        f"{address}: a.1: not ready",
        "  not ready: no-targets (not read)",
        "  configuration: version 7 in force for 12.0 s, confirmed 0.2 s ago, host"
        " listed an unknown time ago, keys are accepted",
        "  configuration: version 8 isn't read yet",
        "  store epoch: 3; running requests: 2",
        "  live peers: 1: b.1",
        "  silent peer: c.1 for 9.0 s",
        "  targets of api: 1 leaving",
        "  t1 (api): leaving (for 1.0 s, 2.0 s more)",
    ]


def test_broken_page_of_a_gateway_host_is_an_error(capsys):
    body = b'{"page": "gateway-host", "ready": true, "host": 1}'

    def app(environ, start_response):
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    with BackgroundServer(app, threads=1) as server:
        assert run(["status", server.address]) == EXIT_FAILED
    assert "not the page of a host" in capsys.readouterr().out
