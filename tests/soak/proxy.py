"""A loopback proxy that delays, blocks, silences and resets connections."""

import asyncio
import contextlib
import random
import socket
import struct
import threading
from enum import Enum

READ_BYTES = 1 << 16
LINGER_OPTION = struct.pack("ii", 1, 0)  # close() sends a TCP reset


class Link(Enum):
    """What a proxy does with the bytes of its connections."""

    PASS = "pass"
    DELAYED = "delayed"
    CUT = "cut"
    CUT_TO_SERVER = "cut-to-server"
    CUT_TO_CLIENT = "cut-to-client"
    REFUSED = "refused"


class ProxyLoop:
    """Event loop in a separate thread that runs all proxies of a soak."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def close(self):
        self.run(self._cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)
        self.loop.close()

    async def _cancel_all(self):
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class _ConnectionPair:
    """A client's connection and the proxy's connection to the server for it."""

    def __init__(self, writers):
        self.writers = writers
        self.is_silent = False


class Proxy:
    """Proxy for one address; `set_link`, `reset` and `silence` inject faults."""

    def __init__(self, loop, upstream, rng=None):
        self.loop = loop
        self.upstream = upstream
        self.rng = rng or random.Random(0)
        self.link = Link.PASS
        self.pairs = set()
        self.changed = asyncio.Event()
        self.server = loop.run(self._listen())
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def _listen(self):
        return await asyncio.start_server(self._accept, "127.0.0.1", 0)

    async def _accept(self, reader, writer):
        if self.link is Link.REFUSED:
            self._abort(writer)
            return
        host, _, port = self.upstream.rpartition(":")
        try:
            upstream_streams = await asyncio.open_connection(host, int(port))
        except OSError:
            self._abort(writer)
            return
        pair = _ConnectionPair((writer, upstream_streams[1]))
        self.pairs.add(pair)
        to_server = self._pump(pair, reader, upstream_streams[1], Link.CUT_TO_SERVER)
        to_client = self._pump(pair, upstream_streams[0], writer, Link.CUT_TO_CLIENT)
        # The tasks are cancelled only at the end of the run, when nothing awaits them.
        try:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(to_server, to_client)
        finally:
            self.pairs.discard(pair)
            for pair_writer in pair.writers:
                pair_writer.close()

    async def _pump(self, pair, reader, writer, direction_cut):
        try:
            while data := await reader.read(READ_BYTES):
                while pair.is_silent or self.link in (Link.CUT, direction_cut):
                    self.changed.clear()
                    await self.changed.wait()
                if self.link is Link.DELAYED:
                    await asyncio.sleep(self.rng.uniform(0.02, 0.3))
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (OSError, RuntimeError):
            for pair_writer in pair.writers:
                self._abort(pair_writer)

    def _abort(self, writer):
        sock = writer.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OPTION)
        writer.transport.abort()

    def set_link(self, link):
        """Set the link state of all connections, open and new ones."""
        self.link = link
        self.loop.loop.call_soon_threadsafe(self.changed.set)

    def silence(self):
        """Stop forwarding on the open connections for good; new connections work."""
        for pair in list(self.pairs):
            pair.is_silent = True

    def reset(self):
        """Send a TCP reset on all open connections."""

        def abort_all():
            for pair in list(self.pairs):
                for writer in pair.writers:
                    self._abort(writer)

        self.loop.loop.call_soon_threadsafe(abort_all)
