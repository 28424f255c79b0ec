"""`thornlatch where` and `thornlatch status` before gateway processes."""

import http.client
import json
import socket

import pytest

from hosts import run_deployment, start_host, wait_until
from thornlatch.cli import run

KEY = "key-1"
SERVERS = ("api-1", "api-2", "llm-1", "llm-2")


def get_metrics_address(host):
    return f"127.0.0.1:{host.internal_port + 1}"


@pytest.fixture
def hosts(tmp_path):
    with run_deployment(tmp_path, *SERVERS) as (_, servers, first):
        second = start_host(tmp_path, first.store_address, "edge-2")
        try:
            for host in (first, second):
                host.wait_ready()
                wait_until(lambda host=host: host.list_events("fleet.hosts_known"))
            yield first, second, servers
        finally:
            second.process.kill()


def ask(capsys, *arguments):
    """Run a command; return its status, its JSON value and its errors."""
    status = run([*map(str, arguments), "--json"])
    captured = capsys.readouterr()
    assert KEY not in captured.out + captured.err
    return status, json.loads(captured.out) if captured.out else None, captured.err


def count_contacts(servers):
    return {name: len(server.requests) for name, server in servers.items()}


def test_where_asks_hosts_and_sends_nothing_to_targets(hosts, capsys):
    first, second, servers = hosts
    addresses = [get_metrics_address(first), get_metrics_address(second)]
    # Only the first host is asked for a pause.
    servers["api-1"].plan = ["pause 30"]
    wait_until(
        lambda: (
            first.call("/many/x")[0].status
            and first.list_events("target.pause_requested")
        )
    )
    servers["api-1"].plan = []
    before = count_contacts(servers)
    loads = [dict(server.adapters) for server in servers.values()]
    request = ["--host", "a.example", "--path", "/many/x", "--organisation", "shop"]
    for _ in range(10):
        status, value, _ = ask(capsys, "where", *addresses, *request)
        ask(
            capsys, "where", *addresses, "--host", "a.example", "--path", "/llm/x",
            "--organisation", "shop", "--model", "m/new",
            "--prompt-tokens", "1000", "--output-tokens", "20000",
        )  # fmt: skip
    assert status == 0
    views = [
        {
            target["target"]: [reason["code"] for reason in target["reasons"]]
            for target in host["explanation"]["targets"]
        }
        for host in value["hosts"]
    ]
    assert views == [
        {"api-1": ["paused"], "api-2": []},
        {"api-1": [], "api-2": []},
    ]
    assert value["hosts"][0]["explanation"]["outcome"]["target"] == "api-2"
    assert "target api-1" in {item["what"] for item in value["differences"]}
    # 20 requests of 21,000 tokens would have used up the quota of 100,000.
    quota = value["hosts"][0]["explanation"]["quota"]
    assert quota["tokens_left"] > 50_000
    assert count_contacts(servers) == before
    assert [dict(server.adapters) for server in servers.values()] == loads
    for host in (first, second):
        assert not host.list_events("adapter.requested")
        assert "Traceback" not in host.read_log()


def test_request_that_was_served_is_explained_by_all_hosts(hosts, capsys):
    first, second, _ = hosts
    addresses = [get_metrics_address(first), get_metrics_address(second)]
    headers = {"Thornlatch_Request_Id": "r-77", "Thornlatch_Model": "m"}
    assert first.call("/llm/x?token=secret", **headers)[0].status == 200
    status, value, _ = ask(capsys, "where", *addresses, "--request", "r-77")
    assert (status, "secret" in json.dumps(value)) == (0, False)
    queries = [host["explanation"]["query"] for host in value["hosts"]]
    assert queries[0] == queries[1]
    assert (queries[0]["path"], queries[0]["organisation"]) == ("/llm/x", "shop")
    status, value, error = ask(capsys, "where", *addresses, "--request", "r-78")
    assert (status, value) == (3, None)
    assert error.startswith("error: unknown-request\n")


@pytest.mark.parametrize(
    ("arguments", "status", "code"),
    [
        (["--host", "b.example", "--path", "/many/x"], 3, "unknown-route"),
        (["--host", "a.example", "--path", "/llm/x", "--model", "n"], 3,
         "unknown-model"),
        (["--host", "a.example", "--path", "/llm/x", "--model", "m/no"], 3,
         "unknown-adapter"),
        (["--host", "a.example", "--path", "/many/x", "--organisation", "x"], 3,
         "bad-request"),
        (["--host", "a.example", "--path", "/many/x", "--targets", "-1"], 3,
         "bad-request"),
    ],
)  # fmt: skip
def test_errors_have_a_code_and_an_exit_status(
    one_host, capsys, arguments, status, code
):
    answered = ask(capsys, "where", get_metrics_address(one_host), *arguments)
    assert answered[0] == status
    assert answered[2].startswith(f"error: {code}\n")


@pytest.fixture(scope="module")
def one_host(tmp_path_factory):
    with run_deployment(tmp_path_factory.mktemp("host"), *SERVERS) as (_, _, host):
        host.wait_ready()
        yield host


def get(host, path, method="GET"):
    connection = http.client.HTTPConnection(get_metrics_address(host), timeout=5)
    connection.putrequest(method, path, skip_accept_encoding=True)
    connection.endheaders()
    response = connection.getresponse()
    return response, response.read()


@pytest.mark.parametrize(
    "query", ["", "?", "?host=%ff&path=/", "?&&&=", "?host=h&path=/&x", "?%00=%00",
              "?host=h&path=/&targets=1e9", "?request=" + "x" * 9000, "?a=" + "%" * 99]
)  # fmt: skip
def test_malformed_query_gets_400_with_a_code(one_host, query):
    response, body = get(one_host, f"/where{query}")
    assert response.status == 400
    assert json.loads(body)["error"]["code"] == "bad-request"
    assert get(one_host, "/where?host=a.example&path=/many/x", "POST")[0].status == 400
    assert "Traceback" not in one_host.read_log()


def test_bytes_that_are_no_text_get_400(one_host):
    port = one_host.internal_port + 1
    with socket.create_connection(("127.0.0.1", port), timeout=5) as connection:
        connection.sendall(
            b"GET /where?host=\xff\xfe&path=/ HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        assert connection.recv(100).startswith(b"HTTP/1.1 400 ")
    assert "Traceback" not in one_host.read_log()


def test_other_paths_still_return_the_metrics(one_host):
    for path in ("/", "/metrics", "/where/"):
        response, body = get(one_host, path)
        assert response.getheader("Content-Type").startswith("text/plain")
        assert b"thornlatch_gateway" in body


def test_status_of_a_gateway_host(one_host, capsys):
    address = get_metrics_address(one_host)
    assert run(["status", address]) == 0
    text = capsys.readouterr().out
    assert f"{address}: edge-1." in text
    assert "targets of api: 2 ready" in text
    status, value, _ = ask(capsys, "status", address)
    page = value[0]["page"]
    assert (status, page["ready"], page["configuration"]["version"]) == (0, True, 1)
    assert page["store_epoch"] == 1
    assert 0 <= page["configuration"]["confirmed_age_s"] < 5
    assert {target["target"] for target in page["targets"]} == set(SERVERS)
    assert all(target["states"][0]["age_s"] >= 0 for target in page["targets"])
