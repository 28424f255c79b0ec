"""HTTP client of the log service, and the types shared with the host list."""

import http.client
import json
import threading
from dataclasses import dataclass
from itertools import pairwise
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from thornlatch.core import connect, read_answer
from thornlatch.exceptions import ErrorKind, ThornlatchError

RESPONSE_LIMIT_BYTES = 64 << 20
BODY_TIMEOUT_S = 10.0  # a large page takes seconds on a slow link
# Approximate size of the parts of a request that are not counted one by one: method,
# HTTP version, and the Host and Accept-Encoding headers.
REQUEST_OVERHEAD_BYTES = 90
# JSON integers are exact up to this bound.
OFFSET_LIMIT = 1 << 53


class PlatformError(ThornlatchError):
    """Raised when a platform service fails or can't be reached.

    Parameters
    ----------
    message : str
    is_outcome_unknown : bool
        Whether the call may have taken effect although no answer was received.
    status : int or None
        HTTP status, if there was an answer.
    first_offset : int or None
        Oldest offset kept, if records before it were requested.
    """

    kind = ErrorKind.PLATFORM_FAILED

    def __init__(
        self,
        message: str,
        *,
        is_outcome_unknown: bool,
        status: int | None = None,
        first_offset: int | None = None,
    ) -> None:
        super().__init__(message)
        self.is_outcome_unknown = is_outcome_unknown
        self.status = status
        self.first_offset = first_offset


@dataclass(frozen=True)
class PlatformSettings:
    """Addresses and time-outs of the platform's services.

    Parameters
    ----------
    log : str
        ``ip:port`` of the log service.
    host_list : str
        ``ip:port`` of the host list; empty if there is none.
    host_list_every_s : float
        Seconds between reads of the host list. The service does not send an unchanged
        list again if it supplies an ``ETag``.
    timeout_s : float
        Seconds after which a call without an answer fails.
    """

    log: str
    host_list: str = ""
    host_list_every_s: Annotated[float, Meta(ge=0.1, le=60)] = 1.0
    timeout_s: Annotated[float, Meta(gt=0, le=30)] = 2.0


@dataclass(frozen=True)
class LogRecord:
    """A record of a stream.

    Parameters
    ----------
    offset : int
    time : float
        Seconds since the Unix epoch by the clock of the log service.
    value : object
        JSON value.
    """

    offset: int
    time: float
    value: Any


@dataclass(frozen=True)
class LogPage:
    """Records read from a stream.

    Parameters
    ----------
    records : tuple of LogRecord
    next_offset : int
        Offset from which to continue reading.
    first_offset : int
        Oldest offset that the log keeps.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    first_offset: int


class LogClient:
    """Client of the log service with one connection per thread.

    Parameters
    ----------
    settings : PlatformSettings
    client : str
        Client name, sent to the log service in the ``X-Client`` header.
    """

    def __init__(self, settings: PlatformSettings, *, client: str = "") -> None:
        self.settings = settings
        self.client = client
        self.local = threading.local()
        self.count_lock = threading.Lock()
        self.call_count = 0
        self.byte_count = 0

    def append(self, stream: str, records: list[Any]) -> int:
        """Append records to a stream in a single call.

        Parameters
        ----------
        stream : str
        records : list
            JSON values.

        Returns
        -------
        int
            Offset of the first record.

        Raises
        ------
        PlatformError
            `is_outcome_unknown` is set if the records may have been appended.
        """
        body = json.dumps({"records": records})
        answer = self._call("POST", f"/streams/{stream}/records", body, extra_s=0.0)
        offset = answer.get("first_offset")
        if not isinstance(offset, int):
            raise PlatformError(
                f"log service sent no first_offset for an append to stream {stream!r}",
                is_outcome_unknown=True,
            )
        return offset

    def read(
        self, stream: str, offset: int, *, limit: int = 1000, wait_s: float = 0.0
    ) -> LogPage:
        """Read records, starting at an offset.

        Parameters
        ----------
        stream : str
        offset : int
        limit : int
            Maximum number of records to return.
        wait_s : float
            Seconds that the service waits for a record if there is none.

        Returns
        -------
        LogPage

        Raises
        ------
        PlatformError
            `first_offset` is set if the record at `offset` is no longer kept.
        """
        path = (
            f"/streams/{stream}/records?offset={offset}&limit={limit}&wait_s={wait_s}"
        )
        answer = self._call("GET", path, None, extra_s=wait_s)
        return parse_page(answer, offset=offset)

    def _call(
        self, method: str, path: str, body: str | None, *, extra_s: float
    ) -> dict[str, Any]:
        timeout_s = self.settings.timeout_s + extra_s
        headers = {"X-Client": self.client}
        if body is not None:
            headers["Content-Type"] = "application/json"
        try:
            connection = self._get_connection(timeout_s)
            connection.request(method, path, body, headers)
            response, data = read_answer(
                connection,
                head_s=timeout_s,
                body_s=BODY_TIMEOUT_S,
                limit=RESPONSE_LIMIT_BYTES,
            )
            self._count(path, body, headers, response, data)
        except (OSError, http.client.HTTPException) as error:
            self._drop_connection()
            raise PlatformError(
                f"log service at {self.settings.log} didn't answer: {error!r}",
                is_outcome_unknown=not isinstance(error, ConnectionRefusedError),
            ) from error
        return parse_response(response.status, data)

    def _count(
        self,
        path: str,
        body: str | None,
        headers: dict[str, str],
        response: http.client.HTTPResponse,
        data: bytes,
    ) -> None:
        sent = REQUEST_OVERHEAD_BYTES + len(path) + len(body or "") + len(str(headers))
        received = len(str(response.headers)) + len(data)
        with self.count_lock:
            self.call_count += 1
            self.byte_count += sent + received

    def _get_connection(self, timeout_s: float) -> http.client.HTTPConnection:
        connection = getattr(self.local, "connection", None)
        # An answer may have closed it.
        if connection is None or connection.sock is None:
            connection = connect(self.settings.log, timeout_s=timeout_s)
            self.local.connection = connection
        connection.sock.settimeout(timeout_s)
        return connection

    def _drop_connection(self) -> None:
        connection = getattr(self.local, "connection", None)
        if connection is not None:
            connection.close()
            self.local.connection = None


def parse_page(answer: Any, *, offset: int) -> LogPage:
    """Validate a page of records sent by the log service.

    Parameters
    ----------
    answer : object
        JSON value of the response body.
    offset : int
        Offset from which the records were requested.

    Returns
    -------
    LogPage

    Raises
    ------
    PlatformError
        If a field is missing or malformed, or the offsets do not increase or exceed
        `OFFSET_LIMIT`; a host that applied such records would miss or repeat a
        decision.
    """
    try:
        page = msgspec.convert(answer, LogPage)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise PlatformError(
            f"malformed page: {error}", is_outcome_unknown=False
        ) from error
    offsets = [record.offset for record in page.records]
    bounds = [offset - 1, *offsets, max(page.next_offset, offset), OFFSET_LIMIT]
    is_increasing = all(low < high for low, high in pairwise(bounds))
    if not is_increasing or page.next_offset < offset or page.first_offset < 0:
        raise PlatformError(
            f"malformed page: offsets {offsets[:4]}... between {offset} and next offset"
            f" {page.next_offset} do not increase or exceed {OFFSET_LIMIT}, or first"
            f" offset {page.first_offset} is negative",
            is_outcome_unknown=False,
        )
    return page


def parse_response(status: int, data: bytes) -> dict[str, Any]:
    try:
        answer = json.loads(data)
    except (ValueError, RecursionError):
        answer = None
    if status == 200 and isinstance(answer, dict):
        return answer
    first_offset = answer.get("first_offset") if isinstance(answer, dict) else None
    raise PlatformError(
        f"log service answered with HTTP status {status} and {len(data)} bytes, not"
        " with status 200 and a JSON object",
        is_outcome_unknown=status in (200, 504),
        status=status,
        first_offset=first_offset if isinstance(first_offset, int) else None,
    )
