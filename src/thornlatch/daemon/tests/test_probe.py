import json
import socket
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins._http import BackgroundServer
from thornlatch.daemon._probe import probe_target_failure


def serve_report(value):
    body = json.dumps(value).encode()

    def app(environ, start_response):
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    return BackgroundServer(app, threads=2)


@pytest.mark.parametrize(
    ("known", "has_failed"),
    [("a", False), ("b", True), ("", False)],
    ids=["same_incarnation", "new_incarnation", "unknown_incarnation"],
)
def test_probe_target_failure_answering_target(known, has_failed):
    with serve_report({"incarnation": "a"}) as server:
        assert probe_target_failure(server.address, incarnation=known) is has_failed


def test_probe_target_failure_refused_connection():
    assert probe_target_failure("127.0.0.1:1", incarnation="a")


def test_probe_target_failure_connection_accepted_by_ending_process():
    """In CI, a process accepted the connection of the probe and then ended."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        address = f"127.0.0.1:{listener.getsockname()[1]}"

        def accept_then_close():
            connection, _ = listener.accept()
            connection.close()
            listener.close()

        with ThreadPoolExecutor(1) as executor:
            executor.submit(accept_then_close)
            assert probe_target_failure(address, incarnation="a")
