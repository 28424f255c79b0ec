"""HTTP calls to targets; errors tell whether the target may have received the call."""

import http.client
import select
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import cast

from thornlatch.core import (
    BoundedSocket,
    MemoryExceeded,
    MemoryUse,
    connect,
    parse_number,
    read_clock,
    received_memory,
)
from thornlatch.exceptions import OversizedAnswer, TargetError
from thornlatch.targets._detours import Detours

READ_BYTES = 1 << 16
CHUNK_END = b"\r\n"
IDLE_CONNECTIONS_PER_TARGET = 32
# Targets without a Keep-Alive header close idle connections after 5 s or more.
DEFAULT_IDLE_LIMIT_S = 4.0
# Share of the idle limit that a target announces. The rest is a margin, so that the
# target doesn't close the connection as a call is sent.
IDLE_LIMIT_RATIO = 0.75
EXPIRY_PERIOD_S = 1.0
# A call that may not be repeated reuses no connection that was idle for longer.
UNREPEATABLE_IDLE_LIMIT_S = 2.0
ERROR_LIMIT_CHARS = 200  # an error may quote a head of 64 KB


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
        Never contains the caller's key: headers are built, not copied.
    timeout_s : float
        Seconds without a byte after which the call has failed. Also the limit for the
        whole head of its answer, which bytes that arrive now and then don't extend.
    connect_s, send_s : float or None
        Seconds to connect, and to send the call; `timeout_s` if None.
    detours : Detours or None
        Reaches the target through other hosts if this one can't; None not to.
    """

    address: str
    method: str
    path: str
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    timeout_s: float = 30.0
    connect_s: float | None = None
    send_s: float | None = None
    detours: Detours | None = None


class Framing(Enum):
    """How a target delimits the body of an answer (RFC 9112, section 6)."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class Reuse(Enum):
    """Which kept connections a call may be sent on, besides a new one.

    The target may close an idle connection as the call is sent, which leaves its
    outcome unknown, and an extra answer to an earlier call may be taken for its own.
    """

    ANY = "any"
    RECENT = "recent"  # those idle for less than `UNREPEATABLE_IDLE_LIMIT_S`
    NONE = "none"


class TargetResponse:
    """An answer of a target that is being read; other threads may abort it.

    Parameters
    ----------
    call : TargetCall
    connection : http.client.HTTPConnection
    sock : BoundedSocket
        Socket of the connection, kept here because `connection` drops it if the target
        will close the connection.
    response : http.client.HTTPResponse
    is_reused : bool
        Whether the connection carried other calls before, whose extra answers may be
        taken for this one.

    Attributes
    ----------
    memory : MemoryUse
        What the answer takes of the memory for received bytes, until it is dropped.
    """

    def __init__(
        self,
        call: TargetCall,
        connection: http.client.HTTPConnection,
        sock: BoundedSocket,
        response: http.client.HTTPResponse,
        *,
        is_reused: bool,
        is_detour: bool = False,
    ) -> None:
        self.call = call
        self.is_detour = is_detour
        self.connection = connection
        self.sock = sock
        self.memory = sock.memory or MemoryUse(received_memory)
        self.response = response
        self.is_reused = is_reused
        self.status = response.status
        self.framing = _read_framing(response)
        self.needs_blocking_read = False

    def bound_reads(self, limit_s: float) -> None:
        """Set the time from now at which reads end, also those still receiving.

        Parameters
        ----------
        limit_s : float
            Seconds; infinite for no bound.
        """
        self.sock.bound_reads(limit_s)
        self.set_blocking(is_blocking=True)

    def read_some(self) -> bytes:
        """Wait for bytes of the body and return those that have arrived.

        Returns
        -------
        bytes
            Empty at the end.

        Raises
        ------
        TargetError
            If the connection broke or closed before the end.
        """
        try:
            data = self.response.read1(READ_BYTES)
        except (OSError, ValueError, http.client.HTTPException) as error:
            raise _build_error("answer broke off", error) from error
        if not data:
            self._check_complete()
        self.memory.release()
        return data

    def note_held(self, held_bytes: int) -> None:
        """Count bytes that `read_some` or `read_arrived` returned and that are kept.

        Parameters
        ----------
        held_bytes : int
            All of them; what was noted before no longer counts.

        Raises
        ------
        TargetError
            If they take too much of the process's memory.
        """
        try:
            self.memory.set_held(held_bytes)
        except MemoryExceeded as error:
            raise _build_error("answer is too long", error) from error

    def _check_complete(self) -> None:
        # http.client takes an early close for the end of a body with a length.
        missing = self.response.length
        if missing:
            raise TargetError(
                f"connection closed {missing} bytes before the end of the answer",
                is_sent=True,
                is_connection_lost=True,
            )

    def set_blocking(self, *, is_blocking: bool) -> None:
        """Set whether reads block until bytes arrive, as they do by default.

        Parameters
        ----------
        is_blocking : bool
        """
        self.sock.settimeout(self.call.timeout_s if is_blocking else 0.0)

    def read_arrived(self) -> bytes:
        """Return the bytes of the body that have arrived, without blocking.

        Sets `needs_blocking_read` if only `read_some`, which blocks, can continue. That
        is so if a chunk's size line is incomplete, has no data after it yet or belongs
        to the last chunk, and if more bytes follow the end of the answer.

        Returns
        -------
        bytes
            Empty if none have arrived, and at the end.

        Raises
        ------
        TargetError
            If the connection broke.
        """
        parts: list[bytes] = []
        response = self.response
        position = 0
        try:
            arrived = self._peek()
            size = len(arrived)
            while position < size:
                if response.chunked and not response.chunk_left:
                    size_line_end = arrived.find(b"\n", position) + 1
                    if not self._is_size_line_complete(
                        arrived, position, size_line_end
                    ):
                        break
                    position = size_line_end
                data = response.read1(READ_BYTES)
                if not data:
                    # The rest comes after the end of the answer.
                    break
                parts.append(data)
                position += len(data)
                position += self._read_chunk_end(arrived, position)
        except (OSError, ValueError, http.client.HTTPException) as error:
            raise _build_error("answer broke off", error) from error
        self.needs_blocking_read = position < size
        self.memory.release()
        return b"".join(parts)

    def _peek(self) -> bytes:
        if self.response.isclosed():
            return b""
        arrived: bytes = self.response.fp.peek()
        if self._read_chunk_end(arrived, 0):
            arrived = self.response.fp.peek()
        return arrived

    def _is_size_line_complete(
        self, arrived: bytes, position: int, size_line_end: int
    ) -> bool:
        # http.client would block unless data follows the size line of the next chunk.
        # The size of the last chunk is 0.
        return (
            self.response.chunk_left is None
            and 0 < size_line_end < len(arrived)
            and not arrived.startswith(b"0", position)
        )

    def _read_chunk_end(self, arrived: bytes, position: int) -> int:
        # The buffer is refilled only when it is empty, so the end of the previous chunk
        # left in it would hide the next chunk.
        if self.response.chunk_left != 0 or not arrived.startswith(CHUNK_END, position):
            return 0
        self.response.fp.read(len(CHUNK_END))
        self.response.chunk_left = None
        return len(CHUNK_END)

    def read_all(self, limit: int, *, within_s: float = float("inf")) -> bytes:
        """Return the whole body; the parameters are those of `read_pieces`."""
        return b"".join(self.read_pieces(limit, within_s=within_s))

    def read_pieces(
        self, limit: int, *, within_s: float = float("inf")
    ) -> tuple[bytes, ...]:
        """Return the whole body in pieces, without a copy of a long one.

        Parameters
        ----------
        limit : int
            Largest body to accept, in bytes.
        within_s : float
            Seconds for the whole body.

        Returns
        -------
        tuple of bytes
            None of them is empty, or longer than `READ_BYTES`.

        Raises
        ------
        TargetError
            If the connection broke or closed before the end, or the body is too long,
            also for what other answers take of the process's memory.
        """
        self.bound_reads(within_s)
        pieces: list[bytes] = []
        body_bytes = 0
        try:
            while data := self.response.read(READ_BYTES):
                pieces.append(data)
                body_bytes += len(data)
                if body_bytes > limit:
                    raise OversizedAnswer(f"answer is over {limit} bytes")
        except (OSError, ValueError, http.client.HTTPException) as error:
            what = f"answer broke off after {body_bytes} bytes"
            raise _build_error(what, error) from error
        self._check_complete()
        return tuple(pieces)

    def abort(self) -> None:
        """Break the connection, which cancels the call at the target."""
        self.sock.abort()

    def close(self) -> None:
        """Keep the connection for reuse if the whole answer was read, else close it."""
        self.sock.extend_reads = self.sock.memory = None
        if self.response.isclosed() and not self.response.will_close:
            idle = _IdleConnection(
                self.connection,
                read_clock(),
                _read_idle_limit_s(self.response),
                self.is_detour,
            )
            _connections.put(self.call.address, idle)
        else:
            self.response.close()
            self.connection.close()


@dataclass(frozen=True)
class _IdleConnection:
    connection: http.client.HTTPConnection
    idle_since: float
    limit_s: float
    is_detour: bool = False


class _ConnectionCache:
    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.idle: dict[str, list[_IdleConnection]] = {}
        self.expiry_due_at = float("-inf")

    def pop(self, address: str, reuse: Reuse) -> _IdleConnection | None:
        if reuse is Reuse.NONE:
            return None
        is_recent_only = reuse is Reuse.RECENT
        idle_limit_s = UNREPEATABLE_IDLE_LIMIT_S if is_recent_only else float("inf")
        while True:
            with self.lock:
                idle = self.idle.get(address)
                newest = idle.pop() if idle else None
            if newest is None:
                return None
            limit_s = min(newest.limit_s, idle_limit_s)
            is_recent = read_clock() - newest.idle_since < limit_s
            if is_recent and _is_open(newest.connection):
                return newest
            newest.connection.close()

    def put(self, address: str, connection: _IdleConnection) -> None:
        with self.lock:
            idle = self.idle.setdefault(address, [])
            if len(idle) < IDLE_CONNECTIONS_PER_TARGET:
                idle.append(connection)
                return
        connection.connection.close()

    def expire(self) -> None:
        """Close the connections that are idle for too long, to any address.

        No further call may be made to the address of a target that has left.
        """
        now = read_clock()
        expired: list[_IdleConnection] = []
        with self.lock:
            if now < self.expiry_due_at:
                return
            self.expiry_due_at = now + EXPIRY_PERIOD_S
            for address, idle in list(self.idle.items()):
                kept = [c for c in idle if now - c.idle_since < c.limit_s]
                if len(kept) == len(idle):
                    continue
                expired += [c for c in idle if now - c.idle_since >= c.limit_s]
                self.idle[address] = kept
                if not kept:
                    del self.idle[address]
        for connection in expired:
            connection.connection.close()

    def drop(self, address: str, *, idle_since: float) -> None:
        """Close the connections to an address that have been idle since a time."""
        with self.lock:
            idle = self.idle.pop(address, [])
            kept = [c for c in idle if c.idle_since > idle_since]
            if kept:
                self.idle[address] = kept
        for dropped in idle:
            if dropped.idle_since <= idle_since:
                dropped.connection.close()


_connections = _ConnectionCache()


def open_call(
    call: TargetCall,
    *,
    reuse: Reuse = Reuse.ANY,
    on_connected: Callable[[Callable[[], None]], None] | None = None,
    extend_reads: Callable[[], float] | None = None,
) -> TargetResponse:
    """Send a call and wait for the headers of its answer.

    Parameters
    ----------
    call : TargetCall
    reuse : Reuse
    on_connected : callable or None
        Called before the call is sent, with a callable by which another thread can
        abort it while its answer is awaited.
    extend_reads : callable or None
        Called, also while the body is read, when the time to wait for bytes has passed.
        Returns the seconds to wait on; 0 if the call has failed.

    Returns
    -------
    TargetResponse

    Raises
    ------
    TargetError
        If the target can't be reached or doesn't answer; `is_sent` tells whether it may
        have received the call.
    """
    _connections.expire()
    idle = _connections.pop(call.address, reuse)
    is_cut = call.detours is not None and call.detours.is_cut(call.address)
    while idle is not None and idle.is_detour and not is_cut:
        # Its way is longer, and the host on it may be stopping.
        idle.connection.close()
        idle = _connections.pop(call.address, reuse)
    connection = _connect(call) if idle is None else idle.connection
    sock = cast(BoundedSocket, connection.sock)
    sock.extend_reads = extend_reads
    sock.memory = MemoryUse(received_memory)
    if on_connected is not None:
        on_connected(sock.abort)
    sent_at = read_clock()
    try:
        answer = _send(call, connection, sock)
    except (OSError, http.client.HTTPException) as error:
        connection.close()
        if idle is not None and isinstance(error, TimeoutError):
            # Connections fall silent together, and each would fail another call.
            _connections.drop(call.address, idle_since=sent_at)
        raise _build_error("no answer", error) from error
    response = TargetResponse(
        call,
        connection,
        sock,
        answer,
        is_reused=idle is not None,
        is_detour=sock.is_tunnel,
    )
    response.bound_reads(float("inf"))
    return response


def _build_error(what: str, error: Exception) -> TargetError:
    if isinstance(error, MemoryExceeded):
        return OversizedAnswer(f"{what}: {error}")
    is_lost = isinstance(error, (ConnectionError, http.client.IncompleteRead))
    return TargetError(
        f"{what}: {repr(error)[:ERROR_LIMIT_CHARS]}",
        is_sent=True,
        is_connection_lost=is_lost,
        is_timeout=isinstance(error, TimeoutError),
    )


def drop_idle_connections(address: str, now: float) -> None:
    """Close the connections to a target that are idle.

    Parameters
    ----------
    address : str
    now : float
    """
    _connections.drop(address, idle_since=now)


def _connect(call: TargetCall) -> http.client.HTTPConnection:
    connect_s = call.timeout_s if call.connect_s is None else call.connect_s
    try:
        if call.detours is not None:
            return call.detours.connect(call.address, timeout_s=connect_s)
        return connect(call.address, timeout_s=connect_s)
    except OSError as error:
        raise TargetError(f"can't connect: {error!r}", is_sent=False) from error


def _read_framing(response: http.client.HTTPResponse) -> Framing:
    if response.chunked:
        return Framing.CHUNKED
    return Framing.CLOSE if response.length is None else Framing.LENGTH


def _read_idle_limit_s(response: http.client.HTTPResponse) -> float:
    # Keep-Alive: timeout=5, max=100
    for part in response.getheader("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        timeout_s = parse_number(value)
        if name.lower() == "timeout" and timeout_s is not None:
            return timeout_s * IDLE_LIMIT_RATIO
    return DEFAULT_IDLE_LIMIT_S


def _is_open(connection: http.client.HTTPConnection) -> bool:
    # An idle connection becomes readable when the target closes it.
    sock = connection.sock
    if sock is None:
        return False
    # `select.select` accepts no descriptors of 1,024 or higher.
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return not poll.poll(0)


def _send(
    call: TargetCall, connection: http.client.HTTPConnection, sock: BoundedSocket
) -> http.client.HTTPResponse:
    sock.settimeout(call.timeout_s if call.send_s is None else call.send_s)
    body = call.body or None
    connection.request(call.method, call.path, body, call.headers)
    sock.settimeout(call.timeout_s)
    sock.bound_reads(call.timeout_s)
    return connection.getresponse()
