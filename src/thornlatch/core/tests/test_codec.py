import contextlib
import zlib
from dataclasses import dataclass

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from thornlatch.core import (
    Envelope,
    decode_envelope,
    decode_record,
    encode_envelope,
    encode_message,
    encode_record,
    register,
)
from thornlatch.core._codec import MESSAGE_LIMIT_BYTES
from thornlatch.exceptions import InvalidInput, ThornlatchError


@register
@dataclass(frozen=True)
class CodecProbe:
    name: str
    amount: float
    added: int = 0


def test_register_equal_name_of_another_module():
    other = dataclass(frozen=True)(type("CodecProbe", (), {"__module__": "elsewhere"}))
    with pytest.raises(ValueError, match="registered twice"):
        register(other)


def test_envelope_round_trip():
    envelope = Envelope("host-1", 7, CodecProbe("a", 1.5))
    assert decode_envelope(encode_envelope(envelope)) == envelope


def test_long_message_is_compressed():
    envelope = Envelope("host-1", 7, CodecProbe("target-1 " * 500, 1.5))
    data = encode_envelope(envelope)
    assert len(data) < 500
    assert decode_envelope(data) == envelope


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(zlib.compress(b"\0" * (MESSAGE_LIMIT_BYTES + 1)), id="too-long"),
        pytest.param(zlib.compress(b"x" * 9000)[:-3], id="truncated"),
        pytest.param(b"\x78nothing", id="not-compressed"),
    ],
)
def test_compressed_message_malformed(data):
    with pytest.raises(InvalidInput):
        decode_envelope(encode_raw_envelope(data))


def encode_raw_envelope(body):
    return msgspec.msgpack.encode(("host-1", "host-2", 3, "CodecProbe", body))


def test_message_encoded_once_is_sent_to_each_peer():
    message = CodecProbe("a" * 9000, 1.5)
    body = encode_message(message)
    for recipient in ("host-2", "host-3"):
        envelope = Envelope("host-1", 3, message, recipient)
        assert decode_envelope(encode_envelope(envelope, body)) == envelope


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        pytest.param(["a", 1.5, 7], CodecProbe("a", 1.5, 7), id="all"),
        pytest.param(["a", 1.5], CodecProbe("a", 1.5), id="from-an-older-host"),
        pytest.param(["a", 1.5, 7, 8], CodecProbe("a", 1.5, 7), id="from-a-newer-host"),
    ],
)
def test_envelope_from_another_version(body, expected):
    data = encode_raw_envelope(msgspec.msgpack.encode(body))
    assert decode_envelope(data).message == expected


@pytest.mark.parametrize("body", [None, [], ["a"], [1, 1.5], {"name": "a"}])
def test_envelope_malformed(body):
    for data in (
        encode_raw_envelope(body),
        encode_raw_envelope(msgspec.msgpack.encode(body)),
    ):
        with pytest.raises(InvalidInput):
            decode_envelope(data)


def test_record_round_trip():
    record = CodecProbe("a", 1.5)
    assert decode_record(encode_record(record)) == record


@pytest.mark.parametrize(
    "value",
    [None, [], {}, {"kind": 3}, {"kind": "NoSuch"}, {"kind": "CodecProbe", "body": 1}],
)
def test_record_malformed(value):
    with pytest.raises(InvalidInput):
        decode_record(value)


@given(st.binary(max_size=400))
def test_envelope_arbitrary_bytes(data):
    with contextlib.suppress(ThornlatchError):
        decode_envelope(data)
