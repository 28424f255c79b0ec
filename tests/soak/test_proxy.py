"""The proxies of the soak leave nothing open."""

import gc
import socket
import sys

import pytest

from tests.soak.proxy import Proxy, ProxyLoop


@pytest.fixture
def unraisable(monkeypatch):
    """Return the errors of destructors."""
    errors = []
    monkeypatch.setattr(sys, "unraisablehook", errors.append)
    return errors


@pytest.mark.timeout(30)
@pytest.mark.parametrize("ends", [True, False], ids=["ended", "open"])
def test_closed_loop_leaves_no_connection_to_a_destructor(unraisable, ends):
    """A connection that was never closed raised an error when it was collected."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        loop = ProxyLoop()
        proxy = Proxy(loop, f"127.0.0.1:{server.getsockname()[1]}")
        host, _, port = proxy.address.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=10) as client:
            client.sendall(b"x")
            connection, _ = server.accept()
            assert connection.recv(1) == b"x"
            if ends:
                client.shutdown(socket.SHUT_WR)
                assert connection.recv(1) == b""
                connection.close()
                assert client.recv(1) == b""
            loop.close()
        connection.close()
    del proxy, loop
    gc.collect()
    assert not unraisable
