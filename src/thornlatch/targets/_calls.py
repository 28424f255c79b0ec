"""HTTP calls to targets, with what is known of each call's execution."""

import contextlib
import http.client
import select
import socket
import threading
from dataclasses import dataclass, field

from thornlatch.exceptions import TargetError

READ_BYTES = 1 << 16
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
    response : http.client.HTTPResponse
    """

    def __init__(
        self,
        call: TargetCall,
        connection: http.client.HTTPConnection,
        response: http.client.HTTPResponse,
    ) -> None:
        self.call = call
        self.connection = connection
        self.response = response
        self.status = response.status

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
        sock = self.connection.sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

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
    if connection.sock is not None:
        connection.sock.settimeout(call.timeout_s)
    connection.request(call.method, call.path, call.body, call.headers)
    return TargetResponse(call, connection, connection.getresponse())
