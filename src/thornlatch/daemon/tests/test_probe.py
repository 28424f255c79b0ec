import json
import socket
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins._http import BackgroundServer
from thornlatch.daemon._probe import probe_death


def serve_report(value):
    body = json.dumps(value).encode()

    def app(environ, start_response):
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    return BackgroundServer(app, threads=2)


@pytest.mark.parametrize(
    ("known", "is_dead"),
    [("a", False), ("b", True), ("", False)],
    ids=["same_life", "new_life", "unknown_life"],
)
def test_probe_death_answering_target(known, is_dead):
    with serve_report({"incarnation": "a"}) as server:
        assert probe_death(server.address, incarnation=known) is is_dead


def test_probe_death_refused_connection():
    assert probe_death("127.0.0.1:1", incarnation="a")


def test_probe_death_connection_taken_by_dying_process():
    """Found by CI: the probe's connection was taken, then the process ended."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        address = f"127.0.0.1:{listener.getsockname()[1]}"

        def accept_then_die():
            connection, _ = listener.accept()
            connection.close()
            listener.close()

        with ThreadPoolExecutor(1) as executor:
            executor.submit(accept_then_die)
            assert probe_death(address, incarnation="a")
