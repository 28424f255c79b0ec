import json

import pytest

from standins._http import BackgroundServer
from thornlatch.cli import run
from thornlatch.cli._exits import EXIT_FAILED, EXIT_INVALID, EXIT_OK

REFUSAL = {
    "offset": 4,
    "kind": "KeyIssued",
    "code": "invalid-record",
    "reason": "malformed",
}
READY = {
    "host": "a.1",
    "ready": True,
    "confirmed": True,
    "configuration": {
        "offset": 5,
        "inventory_offset": 3,
        "is_fresh": True,
        "refusals": [REFUSAL],
    },
}


def serve(body, status="200 OK"):
    def app(environ, start_response):
        start_response(status, [("Content-Length", str(len(body)))])
        return [body]

    return BackgroundServer(app, threads=1)


def test_status(capsys):
    with serve(json.dumps(READY).encode()) as server:
        assert run(["status", server.address, f"http://{server.address}/"]) == EXIT_OK
    lines = capsys.readouterr().out.splitlines()
    assert lines[:4] == [
        f"{server.address}: a.1: ready",
        "  session: confirmed",
        "  configuration: offset 5, inventory of offset 3, confirmed",
        "  refused: offset 4, KeyIssued: invalid-record: malformed",
    ]
    assert len(lines) == 8


@pytest.mark.parametrize(
    ("body", "status", "message"),
    [
        (b'{"host": "a.1", "ready": false}', "200 OK", "not ready"),
        (b"{", "200 OK", "unreachable"),
        (b"[]", "200 OK", "unreachable"),
        (b"{}", "503 Down", "answered 503"),
        (b'{"host": "a.1", "ready": true}', "0200 OK", "unreachable: BadStatusLine"),
    ],
)
def test_status_not_ready(capsys, body, status, message):
    with serve(body, status) as server:
        assert run(["status", server.address]) == EXIT_FAILED
    assert message in capsys.readouterr().out


def test_status_unreachable(capsys):
    with serve(b"{}") as server:
        address = server.address
    assert run(["status", address, "--json"]) == EXIT_FAILED
    assert json.loads(capsys.readouterr().out)[0]["url"] == address


def test_status_not_a_url(capsys):
    assert run(["status", "ftp://x"]) == EXIT_INVALID
    assert "ip:port" in capsys.readouterr().err
