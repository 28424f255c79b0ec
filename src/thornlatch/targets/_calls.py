"""HTTP calls to targets, with what is known of each call's execution."""

import contextlib
import http.client
import select
import socket
import threading
from dataclasses import dataclass, field

from thornlatch.exceptions import TargetError

READ_BYTES = 1 << 16
CHUNK_END = b"\r\n"
IDLE_CONNECTIONS_PER_TARGET = 8


@dataclass(frozen=True)
class TargetCall:
    """A call to a target.

    Parameters
    ----------
    address : str
        ``ip:port``.
    method : str
    path : str
    body : bytes
    headers : dict
        Never holds the caller's key: headers are built, not copied.
    timeout_s : float
        Seconds without a byte after which the call has failed.
    """

    address: str
    method: str
    path: str
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    timeout_s: float = 30.0


class TargetResponse:
    """An open answer of a target; another thread may abort it.

    Parameters
    ----------
    call : TargetCall
    connection : http.client.HTTPConnection
    sock : socket.socket
        Socket of the connection, which lets go of it if the target will close it.
    response : http.client.HTTPResponse
    """

    def __init__(
        self,
        call: TargetCall,
        connection: http.client.HTTPConnection,
        sock: socket.socket,
        response: http.client.HTTPResponse,
    ) -> None:
        self.call = call
        self.connection = connection
        self.sock = sock
        self.response = response
        self.status = response.status
        self.must_wait = False

    def read_some(self) -> bytes:
        """Return the bytes that have arrived; empty at the end.

        Raises
        ------
        TargetError
            If the connection broke.
        """
        try:
            return self.response.read1(READ_BYTES)
        except (OSError, ValueError, http.client.HTTPException) as error:
            raise TargetError(f"answer broke off: {error!r}", is_sent=True) from error

    def set_waiting(self, *, waits: bool) -> None:
        """Set whether reads wait for bytes, as they do at first.

        Parameters
        ----------
        waits : bool
        """
        self.sock.settimeout(self.call.timeout_s if waits else 0.0)

    def read_arrived(self) -> bytes:
        """Return the bytes of the body that have arrived, without waiting.

        `must_wait` tells afterwards whether only `read_some` can go on, which waits: if
        the head of a chunk of the transfer coding isn't whole, or is the last.

        Returns
        -------
        bytes
            Empty also at the end.

        Raises
        ------
        TargetError
            If the connection broke.
        """
        parts: list[bytes] = []
        response = self.response
        place = 0
        try:
            arrived = self._peek()
            size = len(arrived)
            while place < size:
                if response.chunked and not response.chunk_left:
                    head_end = arrived.find(b"\n", place) + 1
                    if not self._is_head_whole(arrived, place, head_end):
                        break
                    place = head_end
                data = response.read1(READ_BYTES)
                parts.append(data)
                place += len(data)
                place += self._read_chunk_end(arrived, place)
        except (OSError, ValueError, http.client.HTTPException) as error:
            raise TargetError(f"answer broke off: {error!r}", is_sent=True) from error
        self.must_wait = place < size
        return b"".join(parts)

    def _peek(self) -> bytes:
        if self.response.isclosed():
            return b""
        arrived: bytes = self.response.fp.peek()
        if self._read_chunk_end(arrived, 0):
            arrived = self.response.fp.peek()
        return arrived

    def _is_head_whole(self, arrived: bytes, place: int, head_end: int) -> bool:
        # After the size of the next chunk there must be data, or http.client waits.
        # That of the last chunk is 0.
        return (
            self.response.chunk_left is None
            and 0 < head_end < len(arrived)
            and not arrived.startswith(b"0", place)
        )

    def _read_chunk_end(self, arrived: bytes, place: int) -> int:
        # Left in the buffer, which isn't filled up unless empty, the end of the last
        # chunk would hide the next one.
        if self.response.chunk_left != 0 or not arrived.startswith(CHUNK_END, place):
            return 0
        self.response.fp.read(len(CHUNK_END))
        self.response.chunk_left = None
        return len(CHUNK_END)

    def read_all(self, limit: int) -> bytes:
        """Return the whole body.

        Parameters
        ----------
        limit : int
            Most bytes to accept.

        Raises
        ------
        TargetError
            If the connection broke or the body is too long.
        """
        try:
            data = self.response.read(limit + 1)
        except (OSError, ValueError, http.client.HTTPException) as error:
            raise TargetError(f"answer broke off: {error!r}", is_sent=True) from error
        if len(data) > limit:
            raise TargetError(f"answer is over {limit} bytes", is_sent=True)
        return data

    def abort(self) -> None:
        """Break the connection, which cancels the call at the target."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Give the connection back if the answer was read whole, else close it."""
        if self.response.isclosed() and not self.response.will_close:
            _connections.put(self.call.address, self.connection)
        else:
            self.response.close()
            self.connection.close()


class _ConnectionCache:
    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.idle: dict[str, list[http.client.HTTPConnection]] = {}

    def take(self, address: str) -> http.client.HTTPConnection | None:
        while True:
            with self.lock:
                idle = self.idle.get(address)
                connection = idle.pop() if idle else None
            if connection is None or _is_open(connection):
                return connection
            connection.close()

    def put(self, address: str, connection: http.client.HTTPConnection) -> None:
        with self.lock:
            idle = self.idle.setdefault(address, [])
            if len(idle) < IDLE_CONNECTIONS_PER_TARGET:
                idle.append(connection)
                return
        connection.close()


_connections = _ConnectionCache()


def open_call(call: TargetCall, *, may_reuse: bool = True) -> TargetResponse:
    """Send a call and wait for the head of its answer.

    Parameters
    ----------
    call : TargetCall
    may_reuse : bool
        Whether an idle connection may serve. The target may close it as the call is
        sent, which leaves the outcome unknown, so calls that may not be repeated use a
        new connection.

    Returns
    -------
    TargetResponse

    Raises
    ------
    TargetError
        `is_sent` tells whether the target may have received the call.
    """
    connection = _connections.take(call.address) if may_reuse else None
    if connection is None:
        connection = _connect(call)
    try:
        return _send(call, connection)
    except (OSError, http.client.HTTPException) as error:
        connection.close()
        raise TargetError(f"no answer: {error!r}", is_sent=True) from error


def _connect(call: TargetCall) -> http.client.HTTPConnection:
    connection = http.client.HTTPConnection(call.address, timeout=call.timeout_s)
    try:
        connection.connect()
        if connection.sock is not None:
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as error:
        raise TargetError(f"can't connect: {error!r}", is_sent=False) from error
    return connection


def _is_open(connection: http.client.HTTPConnection) -> bool:
    # An idle connection that can be read was closed by the target.
    sock = connection.sock
    return sock is not None and not select.select([sock], [], [], 0)[0]


def _send(call: TargetCall, connection: http.client.HTTPConnection) -> TargetResponse:
    sock = connection.sock
    sock.settimeout(call.timeout_s)
    connection.request(call.method, call.path, call.body, call.headers)
    return TargetResponse(call, connection, sock, connection.getresponse())
