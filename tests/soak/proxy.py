"""A loopback proxy that delays, cuts, silences and resets connections."""

import asyncio
import contextlib
import random
import socket
import struct
import threading
from enum import Enum

READ_BYTES = 1 << 16
LINGER_RESET = struct.pack("ii", 1, 0)  # closing sends a reset


class Link(Enum):
    """What happens to the bytes of a proxy's connections."""

    PASS = "pass"
    DELAYED = "delayed"
    CUT = "cut"
    CUT_THERE = "cut-there"
    CUT_BACK = "cut-back"
    REFUSED = "refused"


class ProxyLoop:
    """Runs all proxies of a soak in one thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def close(self):
        self.call(self._cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)

    async def _cancel_all(self):
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class _Pair:
    """A client's connection and the one to the server behind the proxy."""

    def __init__(self, writers):
        self.writers = writers
        self.is_silent = False


class Proxy:
    """Stands before one address; `set_link`, `reset` and `silence` make faults."""

    def __init__(self, loop, upstream, rng=None):
        self.loop = loop
        self.upstream = upstream
        self.rng = rng or random.Random(0)
        self.link = Link.PASS
        self.pairs = set()
        self.changed = asyncio.Event()
        self.server = loop.call(self._listen())
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
            there = await asyncio.open_connection(host, int(port))
        except OSError:
            self._abort(writer)
            return
        pair = _Pair((writer, there[1]))
        self.pairs.add(pair)
        forth = self._pump(pair, reader, there[1], Link.CUT_THERE)
        back = self._pump(pair, there[0], writer, Link.CUT_BACK)
        # Cancelled at the end of the run only, and then there is nobody to tell.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(forth, back)
        self.pairs.discard(pair)

    async def _pump(self, pair, reader, writer, own_cut):
        try:
            while data := await reader.read(READ_BYTES):
                while pair.is_silent or self.link in (Link.CUT, own_cut):
                    self.changed.clear()
                    await self.changed.wait()
                if self.link is Link.DELAYED:
                    await asyncio.sleep(self.rng.uniform(0.02, 0.3))
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (OSError, RuntimeError):
            for one in pair.writers:
                self._abort(one)

    def _abort(self, writer):
        sock = writer.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        writer.transport.abort()

    def set_link(self, link):
        """Change what happens to all connections from now on."""
        self.link = link
        self.loop.loop.call_soon_threadsafe(self.changed.set)

    def silence(self):
        """Let the open connections go silent for good; new ones work."""
        for pair in list(self.pairs):
            pair.is_silent = True

    def reset(self):
        """Reset the open connections."""

        def abort_all():
            for pair in list(self.pairs):
                for writer in pair.writers:
                    self._abort(writer)

        self.loop.loop.call_soon_threadsafe(abort_all)
