"""Encoding of messages between daemons and of records on the log."""

import zlib
from dataclasses import MISSING, dataclass, fields, is_dataclass
from typing import Any, TypeVar, get_type_hints

import msgspec

from thornlatch.exceptions import InvalidInput

MESSAGE_LIMIT_BYTES = 1 << 20
# Names come again and again in longer messages; shorter ones gain little.
COMPRESSED_BYTES = 400
COMPRESSION_LEVEL = 1
ZLIB_MARK = b"\x78"  # a message that isn't compressed begins as an array

T = TypeVar("T")
_classes: dict[str, type] = {}
_layouts: dict[type, Any] = {}


@dataclass(frozen=True)
class Envelope:
    """A message with its sender and its place in the sender's sequence.

    Parameters
    ----------
    sender : str
        Host id.
    sequence : int
        Number of the message, unique for the sender.
    message : object
        Registered frozen data class.
    recipient : str
        Host id; a new session at the same address must not take what was meant for
        the former one.
    """

    sender: str
    sequence: int
    message: Any
    recipient: str = ""

    @property
    def cause(self) -> str:
        """Identifier shared by the sending and the receipt."""
        return f"{self.sender}:{self.sequence}"


def register(cls: type[T]) -> type[T]:
    """Register a frozen data class as a message or a log record.

    Parameters
    ----------
    cls : type
        Its name is the kind on the wire and must be unique.

    Returns
    -------
    type
        The class itself, so that this serves as a decorator.

    Raises
    ------
    ValueError
        If another class has the same name or `cls` is not a data class.
    """
    known = _classes.get(cls.__name__)
    if known is not None and known.__qualname__ != cls.__qualname__:
        raise ValueError(f"message kind {cls.__name__} is registered twice")
    if not is_dataclass(cls):
        raise ValueError(f"{cls.__name__} is not a data class")
    _classes[cls.__name__] = cls
    return cls


def encode_message(message: Any) -> bytes:
    """Encode a message as the array of its fields, compressed if it is long.

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
    if len(data) < COMPRESSED_BYTES:
        return data
    return zlib.compress(data, COMPRESSION_LEVEL)


def encode_envelope(envelope: Envelope, body: bytes | None = None) -> bytes:
    """Encode an envelope for a peer.

    Parameters
    ----------
    envelope : Envelope
    body : bytes or None
        The message as `encode_message` returns it, if it was encoded already.

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
        If the data is too long, malformed or of an unknown kind.
    """
    if len(data) > MESSAGE_LIMIT_BYTES:
        raise InvalidInput(f"message of {len(data)} bytes is over the limit")
    try:
        sender, recipient, sequence, kind, body = msgspec.msgpack.decode(
            data, type=tuple[str, str, int, str, bytes]
        )
        if body.startswith(ZLIB_MARK):
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
    whole = decompressor.decompress(data, MESSAGE_LIMIT_BYTES)
    if not decompressor.eof:
        raise ValueError("compressed message is cut or over the limit")
    return whole


def encode_record(record: Any) -> dict[str, Any]:
    """Encode a record as the JSON object that the log keeps.

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
        If the value is malformed or of an unknown kind.
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
    """Return the array of a class's fields; new ones are appended with defaults."""
    hints = get_type_hints(cls, include_extras=True)
    layout: list[Any] = []
    for one in fields(cls):
        default = one.default
        if one.default_factory is not MISSING:
            default = msgspec.field(default_factory=one.default_factory)
        entry = (one.name, hints[one.name])
        layout.append(entry if default is MISSING else (*entry, default))
    return msgspec.defstruct(cls.__name__, layout, array_like=True, frozen=True)


def _get_class(kind: str) -> type:
    cls = _classes.get(kind)
    if cls is None:
        raise InvalidInput(f"unknown message kind {kind[:80]!r}")
    return cls
