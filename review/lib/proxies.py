"""Proxies between hosts, whose open connections can fall silent for good."""

import contextlib
import json
import socket
import struct
import threading

from lib.store import Store

HOST_TOPIC = "keyed.hosts"
READ_BYTES = 1 << 16


class Proxy:
    """Forwards the connections to one address.

    Parameters
    ----------
    upstream : str
        ``ip:port``.
    """

    def __init__(self, upstream):
        self.upstream = upstream
        self.silent = set()
        self.open = set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self):
        """Forward nothing more on the open connections; new ones work."""
        self.silent |= self.open

    def close(self):
        """Stop accepting connections."""
        self.listener.close()

    def _accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            host, _, port = self.upstream.rpartition(":")
            try:
                server = socket.create_connection((host, int(port)), timeout=1)
            except OSError:
                client.close()
                continue
            server.settimeout(None)
            pair = (client, server)
            self.open.add(pair)
            for source, sink in ((client, server), (server, client)):
                threading.Thread(
                    target=self._forward, args=(pair, source, sink), daemon=True
                ).start()

    def _forward(self, pair, source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(READ_BYTES):
                if pair in self.silent:
                    # Neither bytes nor the end of the connection arrive any more.
                    threading.Event().wait()
                sink.sendall(data)
        if pair not in self.silent:
            self.open.discard(pair)
            for end in pair:
                with contextlib.suppress(OSError):
                    end.shutdown(socket.SHUT_RDWR)


class ProxiedStore(Store):
    """A store that names a proxy in place of each host's address for other hosts."""

    def __init__(self, partitions=12):
        super().__init__(partitions)
        self.proxies = {}

    def log_append(self, query, body):
        """Append records; replace the addresses in the list of hosts."""
        if query["topic"] == HOST_TOPIC:
            (size,) = struct.unpack_from(">I", body, 0)
            record = body[4 : 4 + size]
            key, value = record[1 : 1 + record[0]], record[1 + record[0] :]
            if value:
                entry = json.loads(value)
                entry["address"] = self._get_proxy(entry["address"]).address
                record = bytes([len(key)]) + key + json.dumps(entry).encode()
                body = struct.pack(">I", len(record)) + record
        return super().log_append(query, body)

    def _get_proxy(self, address):
        if address not in self.proxies:
            self.proxies[address] = Proxy(address)
        return self.proxies[address]

    def silence(self):
        """Let all open connections between the hosts fall silent for good."""
        for proxy in self.proxies.values():
            proxy.silence()

    def close(self):
        """Stop listening."""
        super().close()
        for proxy in self.proxies.values():
            proxy.close()
