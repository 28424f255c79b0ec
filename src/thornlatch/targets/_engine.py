"""Client of engines: adapter orders, load reports and completion streams."""

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from thornlatch.core import StreamSplitter
from thornlatch.exceptions import TargetError
from thornlatch.targets._calls import Reuse, TargetCall, TargetResponse, open_call

REPORT_LIMIT_BYTES = 4 << 20
EVENT_LIMIT_BYTES = 1 << 20
EVENT_END = re.compile(rb"\n\n")
EVENT_END_BYTES = 2
DONE = b"[DONE]"


@dataclass(frozen=True, slots=True)
class CompletionChunk:
    """One event of a completion stream.

    Parameters
    ----------
    data : bytes
        JSON text of the event, as received.
    model : str
        Adapter version that the engine reports, as ``adapter@version``.
    token_index : int or None
        Index of the token in the answer, from 0; None for events without a token.
    is_finish : bool
        Whether the event has a finish reason, which ends the answer.
    text : str
        Text of the token.
    """

    data: bytes
    model: str
    token_index: int | None
    is_finish: bool
    text: str = ""


@dataclass(frozen=True, slots=True)
class _Delta:
    content: str | None = None


@dataclass(frozen=True, slots=True)
class _Choice:
    finish_reason: str | None = None
    text: str | None = None
    delta: _Delta | None = None


@dataclass(frozen=True, slots=True)
class _ChunkFields:
    model: str
    choices: list[_Choice]
    token_index: int | None = None


_chunk_decoder = msgspec.json.Decoder(_ChunkFields)


class ChunkReader:
    """Reads the events of a completion stream; not thread-safe.

    Parameters
    ----------
    response : TargetResponse

    Attributes
    ----------
    read_bytes : int
        Bytes of the body read so far.
    is_done : bool
        Whether the stream's last event was read.
    """

    def __init__(self, response: TargetResponse) -> None:
        self.response = response
        self.splitter = StreamSplitter(EVENT_END, end_bytes=EVENT_END_BYTES)
        self.read_bytes = 0
        self.is_done = False

    def read(self) -> list[CompletionChunk]:
        """Wait for events and return those that have arrived.

        Returns
        -------
        list of CompletionChunk
            Empty if only part of an event, or only the end, has arrived.

        Raises
        ------
        TargetError
            If the stream breaks off before its end or is malformed.
        """
        data = self.response.read_some()
        if not data:
            raise TargetError("stream ended before its last event", is_sent=True)
        return self._parse(data)

    def read_arrived(self) -> list[CompletionChunk]:
        """Return the events that have arrived, without blocking.

        Returns
        -------
        list of CompletionChunk

        Raises
        ------
        TargetError
            If the stream breaks off or is malformed.
        """
        return self._parse(self.response.read_arrived())

    def drain(self) -> None:
        """Read the body to its end, so that the connection can be reused."""
        self.response.bound_reads(self.response.call.timeout_s)
        while self.response.read_some():
            pass

    def _parse(self, data: bytes) -> list[CompletionChunk]:
        self.read_bytes += len(data)
        events = self.splitter.feed(data)
        self.response.note_held(len(self.splitter.rest))
        if len(self.splitter.rest) > EVENT_LIMIT_BYTES:
            raise TargetError(
                f"stream event is over {EVENT_LIMIT_BYTES} bytes", is_sent=True
            )
        chunks: list[CompletionChunk] = []
        for event in events:
            payload = event[:-EVENT_END_BYTES].removeprefix(b"data: ")
            if payload == DONE:
                self.is_done = True
                break
            chunks.append(_parse_chunk(payload))
        return chunks


def iter_chunks(response: TargetResponse) -> Iterator[list[CompletionChunk]]:
    """Iterate over the events of a stream, in batches as they arrive.

    Parameters
    ----------
    response : TargetResponse

    Yields
    ------
    list of CompletionChunk

    Raises
    ------
    TargetError
        If the stream breaks off before its end or is malformed.
    """
    reader = ChunkReader(response)
    while not reader.is_done:
        chunks = reader.read()
        if chunks:
            yield chunks
    reader.drain()


def _parse_chunk(payload: bytes) -> CompletionChunk:
    try:
        fields = _chunk_decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise TargetError(f"malformed event: {error}", is_sent=True) from error
    if not fields.choices:
        return CompletionChunk(payload, fields.model, fields.token_index, False)
    choice = fields.choices[0]
    text = choice.text or (choice.delta.content if choice.delta else None) or ""
    is_finish = choice.finish_reason is not None
    return CompletionChunk(payload, fields.model, fields.token_index, is_finish, text)


def load_adapter(
    address: str, model: str, *, epoch: int, store: str, timeout_s: float
) -> None:
    """Order an engine to load an adapter version.

    Parameters
    ----------
    address : str
    model : str
        ``adapter@version``.
    epoch : int
        Fencing number of the order.
    store : str
        Name of the weight store.
    timeout_s : float

    Raises
    ------
    TargetError
        If the order failed. With `is_sent` and no status, the adapter may have been
        loaded.
    """
    body = {"lora_name": model, "lora_path": f"{store}/{model.replace('@', '/')}"}
    _send_order(address, "/v1/load_lora_adapter", body, epoch, timeout_s)


def evict_adapter(address: str, model: str, *, epoch: int, timeout_s: float) -> None:
    """Order an engine to evict an adapter version.

    Parameters
    ----------
    address : str
    model : str
        ``adapter@version``.
    epoch : int
        Fencing number of the order.
    timeout_s : float

    Raises
    ------
    TargetError
        If the order failed. An order for an adapter that isn't loaded succeeds.
    """
    try:
        _send_order(
            address, "/v1/unload_lora_adapter", {"lora_name": model}, epoch, timeout_s
        )
    except TargetError as error:
        if error.status != 404:
            raise


def _send_order(
    address: str, path: str, body: dict[str, Any], epoch: int, timeout_s: float
) -> None:
    headers = {"Content-Type": "application/json", "X-Fencing-Token": str(epoch)}
    call = TargetCall(
        address, "POST", path, json.dumps(body).encode(), headers, timeout_s
    )
    # Answers of engines name no order, so an extra one would pass for this order's.
    response = open_call(call, reuse=Reuse.NONE)
    try:
        response.read_all(REPORT_LIMIT_BYTES, within_s=timeout_s)
    finally:
        response.close()
    if response.status != 200:
        raise TargetError(
            f"order refused with status {response.status}",
            is_sent=True,
            status=response.status,
        )


def read_report(address: str, *, timeout_s: float) -> dict[str, Any]:
    """Read a target's load report, which may lag behind the target's state.

    Parameters
    ----------
    address : str
    timeout_s : float

    Returns
    -------
    dict
        JSON object of the report.

    Raises
    ------
    TargetError
        If the target doesn't answer with status 200 and a JSON object.
    """
    response = open_call(TargetCall(address, "GET", "/load", timeout_s=timeout_s))
    try:
        data = response.read_all(REPORT_LIMIT_BYTES, within_s=timeout_s)
    finally:
        response.close()
    if response.status != 200:
        raise TargetError(
            f"request for a report returned status {response.status}",
            is_sent=True,
            status=response.status,
        )
    try:
        report = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise TargetError(f"malformed report: {error}", is_sent=True) from error
    if not isinstance(report, dict):
        raise TargetError("report is not a JSON object", is_sent=True)
    return report
