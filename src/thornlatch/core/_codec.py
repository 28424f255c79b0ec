"""Encoding of messages between daemons and of records in the log."""

import zlib
from dataclasses import MISSING, dataclass, fields, is_dataclass
from typing import Any, TypeVar, get_type_hints

import msgspec

from thornlatch.exceptions import InvalidInput

MESSAGE_LIMIT_BYTES = 1 << 20
# Longer messages repeat names and compress well; shorter ones gain little.
COMPRESSION_THRESHOLD_BYTES = 400
COMPRESSION_LEVEL = 1
# An uncompressed message starts with a MessagePack array header, which differs.
ZLIB_PREFIX = b"\x78"

T = TypeVar("T")
_classes: dict[str, type] = {}
_layouts: dict[type, Any] = {}


@dataclass(frozen=True)
class Envelope:
    """A message with its addresses and its number in the sender's sequence.

    Parameters
    ----------
    sender : str
        Host id.
    sequence : int
        Message number, unique per sender.
    message : object
        Registered frozen data class.
    recipient : str
        Host id; it lets a new session reject messages that were addressed to the
        previous session at the same address.
    """

    sender: str
    sequence: int
    message: Any
    recipient: str = ""

    @property
    def cause(self) -> str:
        """Identifier shared by the send and receive events of the message."""
        return f"{self.sender}:{self.sequence}"


def register(cls: type[T]) -> type[T]:
    """Register a frozen data class as a message or a log record.

    Parameters
    ----------
    cls : type
        The class name is the kind on the wire and must be unique.

    Returns
    -------
    type
        The class itself, so that this serves as a decorator.

    Raises
    ------
    ValueError
        If another class has the same name or `cls` is not a data class.
    """
    registered = _classes.get(cls.__name__)
    if registered is not None and _get_identity(registered) != _get_identity(cls):
        raise ValueError(f"message kind {cls.__name__} is registered twice")
    if not is_dataclass(cls):
        raise ValueError(f"{cls.__name__} is not a data class")
    _classes[cls.__name__] = cls
    return cls


def _get_identity(cls: type) -> tuple[str, str]:
    return cls.__module__, cls.__qualname__


def encode_message(message: Any) -> bytes:
    """Encode a message as an array of its fields, compressed if it is long.

    Parameters
    ----------
    message : object
        Registered frozen data class.

    Returns
    -------
    bytes
    """
    layout = _get_layout(type(message))
    body = layout(*[getattr(message, name) for name in layout.__struct_fields__])
    data = msgspec.msgpack.encode(body)
    if len(data) < COMPRESSION_THRESHOLD_BYTES:
        return data
    return zlib.compress(data, COMPRESSION_LEVEL)


def encode_envelope(envelope: Envelope, body: bytes | None = None) -> bytes:
    """Encode an envelope for a peer.

    Parameters
    ----------
    envelope : Envelope
    body : bytes or None
        Result of `encode_message`, if the message was encoded before.

    Returns
    -------
    bytes
    """
    if body is None:
        body = encode_message(envelope.message)
    head = (envelope.sender, envelope.recipient, envelope.sequence)
    return msgspec.msgpack.encode((*head, type(envelope.message).__name__, body))


def decode_envelope(data: bytes) -> Envelope:
    """Decode an envelope received from a peer.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    Envelope

    Raises
    ------
    InvalidInput
        If the data exceeds the size limit, is malformed or has an unknown kind.
    """
    if len(data) > MESSAGE_LIMIT_BYTES:
        raise InvalidInput(
            f"message of {len(data)} bytes exceeds the limit of"
            f" {MESSAGE_LIMIT_BYTES} bytes"
        )
    try:
        sender, recipient, sequence, kind, body = msgspec.msgpack.decode(
            data, type=tuple[str, str, int, str, bytes]
        )
        if body.startswith(ZLIB_PREFIX):
            body = _decompress(body)
        cls = _get_class(kind)
        values = msgspec.msgpack.decode(body, type=_get_layout(cls))
        message = cls(*msgspec.structs.astuple(values))
    except (
        msgspec.MsgspecError,
        zlib.error,
        UnicodeDecodeError,
        RecursionError,
        ValueError,
        TypeError,
    ) as error:
        raise InvalidInput(f"malformed message: {error}") from error
    return Envelope(sender, sequence, message, recipient)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    body = decompressor.decompress(data, MESSAGE_LIMIT_BYTES)
    if not decompressor.eof:
        raise ValueError(
            "compressed message is truncated or expands to more than"
            f" {MESSAGE_LIMIT_BYTES} bytes"
        )
    return body


def encode_record(record: Any) -> dict[str, Any]:
    """Encode a record as the JSON object stored in the log.

    Parameters
    ----------
    record : object
        Registered frozen data class.

    Returns
    -------
    dict
        ``{"kind": ..., "body": ...}``
    """
    return {"kind": type(record).__name__, "body": msgspec.to_builtins(record)}


def decode_record(value: Any) -> Any:
    """Decode a record read from the log.

    Parameters
    ----------
    value : object
        JSON value of the record.

    Returns
    -------
    object
        Registered frozen data class.

    Raises
    ------
    InvalidInput
        If the value is malformed or has an unknown kind.
    """
    if not isinstance(value, dict) or not isinstance(value.get("kind"), str):
        raise InvalidInput("record has no kind")
    try:
        return msgspec.convert(value.get("body"), type=_get_class(value["kind"]))
    except (msgspec.MsgspecError, RecursionError) as error:
        raise InvalidInput(f"malformed {value['kind']} record: {error}") from error


def _get_layout(cls: type) -> Any:
    layout = _layouts.get(cls)
    if layout is None:
        layout = _layouts[cls] = _build_layout(cls)
    return layout


def _build_layout(cls: type) -> Any:
    """Return the struct whose array encoding holds the fields of a class in order.

    Fields of later versions are appended with defaults, so that hosts of different
    versions can decode each other's messages.
    """
    hints = get_type_hints(cls, include_extras=True)
    layout: list[Any] = []
    for item in fields(cls):
        default = item.default
        if item.default_factory is not MISSING:
            default = msgspec.field(default_factory=item.default_factory)
        entry = (item.name, hints[item.name])
        layout.append(entry if default is MISSING else (*entry, default))
    return msgspec.defstruct(cls.__name__, layout, array_like=True, frozen=True)


def _get_class(kind: str) -> type:
    cls = _classes.get(kind)
    if cls is None:
        raise InvalidInput(f"unknown message kind {kind[:80]!r}")
    return cls
