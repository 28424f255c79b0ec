"""Server of tunnels, by which hosts reach targets that they are cut off from."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated

import logbook
from msgspec import Meta

from thornlatch.core import read_clock

logger = logbook.Logger("thornlatch.gateway")

HEAD_LIMIT_BYTES = 4096
READ_BYTES = 1 << 16
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER without a time
END_S = 10.0  # for the other host to close a tunnel that its target has ended
RECENT_S = 0.5  # a tunnel that passed bytes so lately carries an answer


@dataclass(frozen=True)
class TunnelSettings:
    """Bounds on the tunnels that a host makes for others.

    Parameters
    ----------
    connect_s : float
        Timeout for connecting to a target.
    head_s : float
        Timeout for a request for a tunnel.
    limit : int
        Tunnels at a time; further ones are refused.
    buffer_bytes : int
        Bytes of each direction that are kept for a slow reader.
    """

    connect_s: Annotated[float, Meta(gt=0)] = 0.1
    head_s: Annotated[float, Meta(gt=0)] = 1.0
    limit: Annotated[int, Meta(ge=1)] = 512
    buffer_bytes: Annotated[int, Meta(ge=1024)] = 1 << 16


@dataclass(eq=False)
class _Tunnel:
    """Whether a tunnel carries a call, as far as its bytes tell."""

    is_awaiting: bool = False
    passed_at: float = float("-inf")


class TunnelServer:
    """Passes on the bytes of other hosts to targets, and back.

    Parameters
    ----------
    settings : TunnelSettings
    address : str
        ``ip:port`` to listen on; empty for no server.
    is_target : callable
        Returns whether an address is that of a registered target.
    is_stopping : callable
        Returns whether a planned stop has begun; no more tunnels are made then.
    """

    def __init__(
        self,
        settings: TunnelSettings,
        address: str,
        *,
        is_target: Callable[[str], bool],
        is_stopping: Callable[[], bool],
    ) -> None:
        self.settings = settings
        self.address = address
        self.is_target = is_target
        self.is_stopping = is_stopping
        self.tunnels: set[_Tunnel] = set()
        self.loop: asyncio.AbstractEventLoop | None = None
        self.stopped: asyncio.Event | None = None

    def count_busy(self, *, now: float) -> int:
        """Return the number of tunnels that carry a call.

        Parameters
        ----------
        now : float

        Returns
        -------
        int
        """
        return sum(
            tunnel.is_awaiting or now - tunnel.passed_at < RECENT_S
            for tunnel in list(self.tunnels)
        )

    def run(self) -> None:
        """Serve until stopped."""
        if self.address:
            asyncio.run(self._serve())

    def stop(self) -> None:
        """End `run` and break all tunnels."""
        loop, stopped = self.loop, self.stopped
        if loop is not None and stopped is not None:
            with contextlib.suppress(RuntimeError):  # It has ended by itself.
                loop.call_soon_threadsafe(stopped.set)

    async def _serve(self) -> None:
        self.loop, self.stopped = asyncio.get_running_loop(), asyncio.Event()
        ip, _, port = self.address.rpartition(":")
        try:
            server = await asyncio.start_server(
                self._accept, ip, int(port), limit=self.settings.buffer_bytes
            )
        except OSError as error:
            # Only hosts that are cut off from targets need it.
            logger.error(
                "tunnel.listen_failed",
                extra={"address": self.address, "error": repr(error)},
            )
            return
        await self.stopped.wait()
        server.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target = await asyncio.wait_for(
                self._open(reader, writer), self.settings.head_s
            )
            if target is not None:
                await self._pass_on(reader, writer, *target)
        except (OSError, ValueError, EOFError, TimeoutError) as error:
            logger.info("tunnel.ended", extra={"error": repr(error)})
        finally:
            writer.close()

    async def _open(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Connect to the target that a request names; answer it otherwise."""
        head = await reader.readuntil(b"\r\n\r\n")
        method, address, *_ = head.split(b"\r\n", 1)[0].decode("latin-1").split(" ")
        status, streams = "502 Bad Gateway", None
        if method != "CONNECT" or len(head) > HEAD_LIMIT_BYTES:
            status = "400 Bad Request"
        elif not self.is_target(address):
            status = "403 Forbidden"
        elif self.is_stopping() or len(self.tunnels) >= self.settings.limit:
            status = "503 Service Unavailable"
        else:
            ip, _, port = address.rpartition(":")
            with contextlib.suppress(OSError, TimeoutError):
                streams = await asyncio.wait_for(
                    asyncio.open_connection(
                        ip, int(port), limit=self.settings.buffer_bytes
                    ),
                    self.settings.connect_s,
                )
                status = "200 Connection Established"
        length = "Content-Length: 0\r\n"
        if streams is not None:
            length = ""
            # An answer may end with its connection. If this process is killed, the end
            # of its sockets mustn't look like that.
            _set_reset_on_close(writer)
        writer.write(f"HTTP/1.1 {status}\r\n{length}\r\n".encode())
        await writer.drain()
        return streams

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target_reader: asyncio.StreamReader,
        target_writer: asyncio.StreamWriter,
    ) -> None:
        tunnel = _Tunnel()
        self.tunnels.add(tunnel)
        writers = (writer, target_writer)
        try:
            answer = asyncio.create_task(
                self._pump(tunnel, target_reader, writer, writers, is_call=False)
            )
            call = asyncio.create_task(
                self._pump(tunnel, reader, target_writer, writers, is_call=True)
            )
            await answer
            await asyncio.wait((call,), timeout=END_S)
            call.cancel()
        finally:
            self.tunnels.discard(tunnel)
            target_writer.close()

    async def _pump(
        self,
        tunnel: _Tunnel,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter],
        *,
        is_call: bool,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                tunnel.is_awaiting = is_call
                tunnel.passed_at = read_clock()
                writer.write(data)
                await writer.drain()
            if is_call:
                writer.close()
            else:
                writer.write_eof()
        except OSError:
            # A reset on one side is one on the other.
            for each in writers:
                _set_reset_on_close(each)
                each.transport.abort()


def _set_reset_on_close(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
