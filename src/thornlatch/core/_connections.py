"""HTTP connections whose reads end in time and that notice answers that are cut off."""

import contextlib
import http.client
import re
import socket
from collections.abc import Callable
from typing import Any, cast

from thornlatch.core._clock import read_clock
from thornlatch.core._memory import MemoryExceeded, MemoryUse

HEAD_LIMIT_BYTES = 1 << 16  # of an answer, with the interim answers before it
CHUNK_SIZE_LINE_LIMIT_BYTES = 1 << 16
CHUNK_END = b"\r\n"
BLANK_LINES = (b"\r\n", b"\n", b"\r", b"")  # the last two at the end of a connection
# RFC 9112, section 4, and RFC 9110, section 15. `int` accepts signs, underscores, white
# space and digits of other scripts too.
STATUS_LINE = re.compile(
    rb"(HTTP/1\.[0-9]) ([1-5][0-9]{2})(?: ([\t -~\x80-\xff]*))?\r?\n"
)
STATUS_LINE_START = re.compile(rb"HTTP/[ -~]{0,20}")
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]+)[ \t]*(?:;[^\r\n]*)?\r?\n")
LENGTH = re.compile(r"[0-9]+")
LENGTH_LIMIT_DIGITS = 18  # without zeros before them; `int` reads 4,300
# RFC 9110, sections 5.1, 5.5 and 5.6.2. `email` takes any printable characters for a
# name, and a CR alone for a line end.
FIELD_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~\x80-\xff]*\r?\n")
CONTINUATION_LINE = re.compile(rb"[ \t][\t -~\x80-\xff]*\r?\n")
FOLD = re.compile(r"[ \t]*\r?\n[ \t]+")


class BoundedSocket(socket.socket):
    """A connection whose reads end at a time, however many bytes still arrive.

    A timeout alone bounds the pause between two bytes only, so a target could occupy
    its reader for good.
    """

    reads_until = float("inf")
    is_aborted = False
    # Returns for how many more seconds to wait for bytes; 0 to give up.
    extend_reads: Callable[[], float] | None = None
    is_tunnel = False
    # Counts the bytes that are received.
    memory: MemoryUse | None = None

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Receive into a buffer.

        Raises
        ------
        TimeoutError
            After `reads_until` or without a byte for too long, unless `extend_reads`
            returns more time.
        ConnectionAbortedError
            At the end of the connection if `abort` was called.
        MemoryExceeded
            If the bytes would take too much of the process's memory.
        """
        limits = self.gettimeout(), self.reads_until
        while True:
            try:
                count = self._receive_in_time(buffer, nbytes, flags)
            except TimeoutError:
                extension_s = self.extend_reads() if self.extend_reads else 0.0
                if extension_s <= 0:
                    raise
                self.settimeout(extension_s)
                self.bound_reads(extension_s)
                continue
            if self.reads_until < limits[1]:
                # Bytes arrive again, so the pause between them counts anew.
                self.settimeout(limits[0])
                self.reads_until = limits[1]
            # Otherwise an answer that may end with its connection would look complete.
            if count == 0 and self.is_aborted:
                raise ConnectionAbortedError("the connection was aborted by this host")
            if self.memory is not None:
                self.memory.add(count)
            return count

    def _receive_in_time(self, buffer: Any, nbytes: int, flags: int) -> int:
        timeout_s = self.gettimeout()
        if timeout_s != 0.0:
            left_s = self.reads_until - read_clock()
            if left_s <= 0:
                raise TimeoutError("the answer was not complete in time")
            if timeout_s is None or left_s < timeout_s:
                self.settimeout(left_s)
        return super().recv_into(buffer, nbytes, flags)

    def bound_reads(self, limit_s: float) -> None:
        """Set the time from now at which reads end, also those still receiving.

        Parameters
        ----------
        limit_s : float
            Seconds; infinite for no bound.
        """
        self.reads_until = read_clock() + limit_s

    def abort(self) -> None:
        """Break the connection, which wakes its reader with an error."""
        self.is_aborted = True
        with contextlib.suppress(OSError):
            self.shutdown(socket.SHUT_RDWR)


class _LineReader:
    """Rejects lines that are cut off and malformed lines of heads.

    `http.client` takes a line that is cut off for whole. It drops all headers after a
    malformed one, and then reads to the end of the connection, so a body that is cut
    off would be whole.

    Parameters
    ----------
    file : io.BufferedReader
    sock : socket.socket
        Connection that `file` reads.

    Attributes
    ----------
    has_extra_bytes : bool
        Whether bytes had arrived after the answer as its last byte was read.
    """

    def __init__(self, file: Any, sock: socket.socket) -> None:
        self.file = file
        self.sock = sock
        self.has_extra_bytes = False
        self.is_in_head = True
        self.is_status_line_next = True
        # Whether a header may go on in the next line.
        self.may_continue = False
        self.has_begun = False
        self.head_bytes = 0

    def readline(self, limit: int = -1) -> bytes:
        line: bytes = self.file.readline(limit)
        is_cut_off = not line.endswith(b"\n") and len(line) != limit
        is_blank = line in (b"", b"\r")
        # `http.client` itself rejects an answer without any byte. An end after the last
        # chunk is allowed, as all of the body is there.
        if is_cut_off and (not is_blank or (self.is_in_head and self.has_begun)):
            raise http.client.IncompleteRead(line)
        if self.is_in_head:
            self.head_bytes += len(line)
            if self.head_bytes > HEAD_LIMIT_BYTES:
                raise MemoryExceeded(
                    f"the head of the answer is over {HEAD_LIMIT_BYTES} bytes"
                )
            self._check_head_line(line)
        self.has_begun = True
        return line

    def _check_head_line(self, line: bytes) -> None:
        if self.is_status_line_next:
            # Checked by its reader.
            self.is_status_line_next = self.may_continue = False
        elif line in BLANK_LINES:
            self.is_status_line_next = True
        else:
            self._check_field_line(line, "header")

    def _check_field_line(self, line: bytes, kind: str) -> None:
        if FIELD_LINE.fullmatch(line):
            self.may_continue = True
        elif not self.may_continue or not CONTINUATION_LINE.fullmatch(line):
            raise http.client.HTTPException(f"malformed {kind}")

    def skip_trailers(self) -> None:
        """Read the fields after the last chunk, of which nothing is used.

        Raises
        ------
        http.client.HTTPException
            If a line is none, as the size of the last chunk may be malformed then.
        """
        self.may_continue = False
        # The connection may end here, as all of the body has arrived.
        while (line := self.readline(HEAD_LIMIT_BYTES + 1)) not in BLANK_LINES:
            self._check_field_line(line, "trailer")

    def close(self) -> None:
        # What the buffer holds beyond the answer is lost with it.
        self.has_extra_bytes = self._has_more()
        self.file.close()

    def _has_more(self) -> bool:
        try:
            timeout_s = self.sock.gettimeout()
            self.sock.settimeout(0.0)
            try:
                return bool(self.file.peek(1))
            finally:
                self.sock.settimeout(timeout_s)
        except (OSError, ValueError):
            return False

    def __getattr__(self, name: str) -> Any:
        return getattr(self.file, name)


class _Response(http.client.HTTPResponse):
    """A final answer, whose head must be complete.

    Its connection is to be closed if bytes follow the answer, as they belong to no
    request.
    """

    def __init__(self, sock: socket.socket, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        self.sock = sock

    def begin(self) -> None:
        reader = _LineReader(self.fp, self.sock)
        self.fp = cast(Any, reader)
        super().begin()
        reader.is_in_head = False
        _unfold(self.headers)
        self._set_framing()

    def _read_status(self) -> tuple[str, int, str]:
        """Read the status line of the final answer, after the interim answers.

        Raises
        ------
        http.client.HTTPException
            If the head of an interim answer is none, so that nothing after it is part
            of an answer either.
        """
        while True:
            version, status, reason = self._read_status_line()
            if not 100 <= status < 200:
                return version, status, reason
            if status == http.client.SWITCHING_PROTOCOLS:
                raise http.client.HTTPException("switched protocols without a request")
            headers = http.client.parse_headers(cast(Any, self.fp))
            _unfold(headers)
            _read_framing(headers)

    def _read_status_line(self) -> tuple[str, int, str]:
        line = self.fp.readline(HEAD_LIMIT_BYTES + 1)
        if not line:
            raise http.client.RemoteDisconnected("connection closed without an answer")
        match = STATUS_LINE.fullmatch(line)
        if match is None:
            # Anything else may be part of the answer to another caller.
            start = STATUS_LINE_START.match(line)
            quoted = f", {start[0].decode()!r}" if start else ""
            raise http.client.BadStatusLine(f"{len(line)} bytes{quoted}")
        version, status, reason = match.groups(default=b"")
        return version.decode(), int(status), reason.decode("iso-8859-1")

    def _set_framing(self) -> None:
        """Set where the body ends, which the head must say (RFC 9112, section 6.3).

        `http.client` ignores transfer codings that it doesn't know and lengths that
        `int` rejects. It then reads to the end of the connection, so a body that is cut
        off would be whole. It also takes some lengths that are none.
        """
        is_chunked, length = _read_framing(self.headers)
        if self.status in (http.client.NO_CONTENT, http.client.NOT_MODIFIED):
            # They have no body, whatever the head says (RFC 9112, section 6.3).
            self.chunked, self.length = False, 0
        elif is_chunked:
            self.chunked, self.chunk_left, self.length = True, None, None
        elif cast(Any, self)._method != "HEAD":
            self.length = length

    def _get_chunk_left(self) -> int | None:
        if self.chunk_left == 0:
            # `http.client` skips any two bytes.
            end = self.fp.read(len(CHUNK_END))
            if end != CHUNK_END:
                raise http.client.IncompleteRead(b"")
            self.chunk_left = None
        left: int | None = cast(Any, super())._get_chunk_left()
        return left

    def _read_next_chunk_size(self) -> int:
        line = self.fp.readline(CHUNK_SIZE_LINE_LIMIT_BYTES + 1)
        match = CHUNK_SIZE_LINE.fullmatch(line)
        if match is None:
            raise ValueError("malformed size of a chunk")
        return int(match[1], 16)

    def _read_and_discard_trailer(self) -> None:
        cast(_LineReader, self.fp).skip_trailers()

    def _close_conn(self) -> None:
        reader = self.fp
        cast(Any, super())._close_conn()
        if getattr(reader, "has_extra_bytes", False):
            self.will_close = True


def _unfold(headers: http.client.HTTPMessage) -> None:
    """Join the lines of each header, which can't be passed on as they are."""
    values = headers.items()
    if any("\n" in value for _, value in values):
        for name in set(headers.keys()):
            del headers[name]
        for name, value in values:
            headers[name] = FOLD.sub(" ", value).strip(" ")


def _read_framing(headers: http.client.HTTPMessage) -> tuple[bool, int | None]:
    """Return how a head delimits the body.

    Parameters
    ----------
    headers : http.client.HTTPMessage

    Returns
    -------
    (bool, int or None)
        Whether the body comes in chunks, and the length that the head names, in bytes;
        None if it names none.

    Raises
    ------
    http.client.HTTPException
        If the length isn't one number, also where it doesn't count, or if there is any
        other transfer coding.
    """
    codings = [
        coding.strip(" \t").lower()
        for coding in headers.get_all("Transfer-Encoding", [])
    ]
    codings = [coding for coding in codings if coding != "identity"]
    if codings not in ([], ["chunked"]):
        raise http.client.HTTPException(f"unknown transfer coding {codings}")
    values = {value.strip(" \t") for value in headers.get_all("Content-Length", [])}
    # A malformed value may be part of the answer to another caller.
    if not all(LENGTH.fullmatch(value) for value in values):
        raise http.client.HTTPException("malformed length")
    if len(values) > 1:
        raise http.client.HTTPException(f"{len(values)} contradictory lengths")
    if not values:
        return bool(codings), None
    digits = values.pop().lstrip("0")
    if len(digits) > LENGTH_LIMIT_DIGITS:
        raise http.client.HTTPException(f"a length of {len(digits)} digits")
    return bool(codings), int(digits or "0")


def connect(
    address: str, *, timeout_s: float, tunnel_to: str = ""
) -> http.client.HTTPConnection:
    """Open a connection whose `sock` is a `BoundedSocket`.

    Parameters
    ----------
    address : str
        ``ip:port``.
    timeout_s : float
        Seconds to connect, and without a byte after which a read fails.
    tunnel_to : str
        ``ip:port`` to which the peer is asked to pass on all bytes (CONNECT of RFC
        9110); empty for a connection to the peer itself.

    Returns
    -------
    http.client.HTTPConnection

    Raises
    ------
    OSError
        If the peer can't be reached.
    """
    ends_at = read_clock() + timeout_s
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    connection.response_class = _Response
    connection.connect()
    # It would open a plain socket after an answer that closed this one.
    connection.auto_open = 0
    sock = BoundedSocket(fileno=connection.sock.detach())
    sock.settimeout(timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.sock = sock
    if tunnel_to:
        try:
            _open_tunnel(sock, tunnel_to, within_s=ends_at - read_clock())
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise ConnectionError(f"no tunnel: {error!r}") from error
        sock.settimeout(timeout_s)
        sock.is_tunnel = True
    return connection


def _open_tunnel(sock: BoundedSocket, address: str, *, within_s: float) -> None:
    """Ask a peer to pass on all bytes to an address, and read its answer.

    `http.client` itself takes any lines for the head of the answer, however long they
    take to arrive, and drops bytes that follow it.
    """
    request = f"CONNECT {address} HTTP/1.1\r\nHost: {address}\r\n\r\n"
    sock.sendall(request.encode("ascii"))
    sock.bound_reads(within_s)
    with contextlib.closing(_Response(sock, method="CONNECT")) as response:
        response.begin()
        reader = cast(_LineReader, response.fp)
    if not 200 <= response.status < 300:
        raise ConnectionError(f"{response.status} {response.reason}")
    if reader.has_extra_bytes:
        raise ConnectionError("bytes before any call")
    sock.bound_reads(float("inf"))


def read_answer(
    connection: http.client.HTTPConnection, *, head_s: float, body_s: float, limit: int
) -> tuple[http.client.HTTPResponse, bytes]:
    """Read the answer to the request that was sent on a connection.

    Parameters
    ----------
    connection : http.client.HTTPConnection
        As `connect` returns it.
    head_s, body_s : float
        Seconds for the head, and for the body.
    limit : int
        Largest body to accept, in bytes.

    Returns
    -------
    (http.client.HTTPResponse, bytes)
        The answer and its body. The connection is closed, its `sock` None, if it can't
        be used for another request.

    Raises
    ------
    OSError, http.client.HTTPException
        If the answer isn't whole in time, or its body is too long. The connection can't
        be used any more then.
    """
    sock = cast(BoundedSocket, connection.sock)
    pause_s = sock.gettimeout()
    sock.bound_reads(head_s)
    response = connection.getresponse()
    sock.settimeout(pause_s)
    sock.bound_reads(body_s)
    data = response.read(limit + 1)
    if len(data) > limit or response.length:
        raise http.client.HTTPException(f"the answer is over {limit} bytes or cut off")
    if response.will_close:
        connection.close()
    return response, data
