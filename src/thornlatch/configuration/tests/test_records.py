import pytest
from hypothesis import given
from hypothesis import strategies as st

from thornlatch.configuration import (
    ConfigurationPublished,
    ConfigurationState,
    KeyWithdrawn,
    OffsetDigest,
    UnreadableRecord,
    apply_record,
    decode_entry,
)
from thornlatch.configuration.tests.builders import DIGESTS, build_inventory
from thornlatch.core import encode_record

SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)
PUBLISHED = encode_record(ConfigurationPublished(-1, "ana", build_inventory()))


def find_paths(value, path=()):
    items = value.items() if isinstance(value, dict) else ()
    if isinstance(value, list | tuple):
        items = enumerate(value)
    for key, inner in items:
        yield (*path, key)
        yield from find_paths(inner, (*path, key))


def replace_at(value, path, new):
    if not path:
        return new
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = replace_at(copy[path[0]], path[1:], new)
    return copy


@given(value=VALUES)
def test_decode_entry_any_value(value):
    assert isinstance(decode_entry(value), UnreadableRecord)


@given(path=st.sampled_from(list(find_paths(PUBLISHED))), new=VALUES)
def test_decode_entry_damaged_record(path, new):
    record = decode_entry(replace_at(PUBLISHED, path, new))
    state = apply_record(ConfigurationState(), 0, record)
    is_in_force = state.inventory_offset == 0
    assert is_in_force != bool(state.refusals)
    assert is_in_force or not state.tables.pools


@pytest.mark.parametrize(
    ("value", "part"),
    [
        (None, "no kind"),
        ({"kind": "Nothing", "body": {}}, "unknown message kind"),
        ({"kind": "KeyWithdrawn"}, "malformed"),
        ({"kind": "KeyWithdrawn", "body": {"digest": "x", "author": ""}}, "regex"),
        (
            {"kind": "KeyWithdrawn", "body": {"digest": DIGESTS[0] + "\n"}},
            "malformed",
        ),
        (encode_record(OffsetDigest(1, 0.0, 0.0)), "doesn't belong"),
        (
            replace_at(PUBLISHED, ("body", "inventory", "pools", 0), {"name": "p"}),
            "missing required field",
        ),
        (
            replace_at(PUBLISHED, ("body", "inventory"), {"rules": []}),
            "unknown field 'rules'",
        ),
        (
            replace_at(
                PUBLISHED,
                ("body", "inventory", "organisations", 0),
                {"name": "s", "rate": 1, "burst": 1, "quota": 5},
            ),
            "unknown field 'quota'",
        ),
        (
            replace_at(
                PUBLISHED,
                ("body", "inventory", "organisations", 0, "rate"),
                float("nan"),
            ),
            "Expected",
        ),
    ],
)
def test_decode_entry_refused(value, part):
    record = decode_entry(value)
    assert isinstance(record, UnreadableRecord)
    assert part in record.reason


def test_decode_entry_round_trip():
    record = KeyWithdrawn(DIGESTS[0], "ana")
    assert decode_entry(encode_record(record)) == record
