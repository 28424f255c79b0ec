import contextlib
from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thornlatch.core import (
    Envelope,
    decode_envelope,
    decode_record,
    encode_envelope,
    encode_record,
    register,
)
from thornlatch.exceptions import InvalidInput, ThornlatchError


@register
@dataclass(frozen=True)
class CodecProbe:
    name: str
    amount: float


def test_envelope_round_trip():
    envelope = Envelope("host-1", 7, CodecProbe("a", 1.5))
    assert decode_envelope(encode_envelope(envelope)) == envelope


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
