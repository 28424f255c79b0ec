"""HTTP calls to targets, with what is known of each call's execution."""

import contextlib
import http.client
import select
import socket
import threading
from dataclasses import dataclass, field

from thornlatch.core import read_clock
from thornlatch.exceptions import TargetError

READ_BYTES = 1 << 16
CHUNK_END = b"\r\n"
IDLE_CONNECTIONS_PER_TARGET = 32
DEFAULT_IDLE_S = 4.0  # targets without a Keep-Alive header close after 5 s or more
IDLE_RATIO = 0.75  # of the target's own limit, so that it doesn't close as we send
FRESH_IDLE_S = 2.0  # a call that may not be repeated uses nothing idle for longer


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
    connect_s : float or None
        Seconds to connect; `timeout_s` if None.
    """

    address: str
    method: str
    path: str
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    timeout_s: float = 30.0
    connect_s: float | None = None


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
            limit_s = _read_idle_limit_s(self.response)
            _connections.put(self.call.address, self.connection, limit_s)
        else:
            self.response.close()
            self.connection.close()


@dataclass(frozen=True)
class _Idle:
    connection: http.client.HTTPConnection
    since: float
    limit_s: float


class _ConnectionCache:
    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.idle: dict[str, list[_Idle]] = {}

    def take(
        self, address: str, *, idle_limit_s: float = float("inf")
    ) -> http.client.HTTPConnection | None:
        while True:
            with self.lock:
                idle = self.idle.get(address)
                newest = idle.pop() if idle else None
            if newest is None:
                return None
            limit_s = min(newest.limit_s, idle_limit_s)
            is_recent = read_clock() - newest.since < limit_s
            if is_recent and _is_open(newest.connection):
                return newest.connection
            newest.connection.close()

    def put(
        self, address: str, connection: http.client.HTTPConnection, limit_s: float
    ) -> None:
        with self.lock:
            idle = self.idle.setdefault(address, [])
            if len(idle) < IDLE_CONNECTIONS_PER_TARGET:
                idle.append(_Idle(connection, read_clock(), limit_s))
                return
        connection.close()


_connections = _ConnectionCache()


def open_call(call: TargetCall, *, may_reuse: bool = True) -> TargetResponse:
    """Send a call and wait for the head of its answer.

    Parameters
    ----------
    call : TargetCall
    may_reuse : bool
        Whether a connection that was idle for long may serve. The target may close it
        as the call is sent, which leaves the outcome unknown, so calls that may not be
        repeated use a new one.

    Returns
    -------
    TargetResponse

    Raises
    ------
    TargetError
        `is_sent` tells whether the target may have received the call.
    """
    idle_limit_s = float("inf") if may_reuse else FRESH_IDLE_S
    connection = _connections.take(call.address, idle_limit_s=idle_limit_s)
    if connection is None:
        connection = _connect(call)
    try:
        return _send(call, connection)
    except (OSError, http.client.HTTPException) as error:
        connection.close()
        raise TargetError(f"no answer: {error!r}", is_sent=True) from error


def _connect(call: TargetCall) -> http.client.HTTPConnection:
    connect_s = call.timeout_s if call.connect_s is None else call.connect_s
    connection = http.client.HTTPConnection(call.address, timeout=connect_s)
    try:
        connection.connect()
        if connection.sock is not None:
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as error:
        raise TargetError(f"can't connect: {error!r}", is_sent=False) from error
    return connection


def _read_idle_limit_s(response: http.client.HTTPResponse) -> float:
    # Keep-Alive: timeout=5, max=100
    for part in response.getheader("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return int(value) * IDLE_RATIO
    return DEFAULT_IDLE_S


def _is_open(connection: http.client.HTTPConnection) -> bool:
    # An idle connection that can be read was closed by the target.
    sock = connection.sock
    return sock is not None and not select.select([sock], [], [], 0)[0]


def _send(call: TargetCall, connection: http.client.HTTPConnection) -> TargetResponse:
    sock = connection.sock
    sock.settimeout(call.timeout_s)
    body = call.body or None
    connection.request(call.method, call.path, body, call.headers)
    return TargetResponse(call, connection, sock, connection.getresponse())
