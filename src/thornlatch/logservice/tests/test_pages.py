"""Validation of arbitrary and malformed answers of the log service."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thornlatch.logservice import LogPage, LogRecord, PlatformError
from thornlatch.logservice._clients import parse_page, parse_response

SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ["records", "next_offset", "first_offset", "offset", "value"]
            )
            | st.text(max_size=3),
            inner,
            max_size=5,
        )
    ),
    max_leaves=12,
)


def build_page(*offsets, next_offset, first_offset=0):
    records = [{"offset": offset, "time": 1.0, "value": {}} for offset in offsets]
    return {
        "records": records,
        "next_offset": next_offset,
        "first_offset": first_offset,
    }


@pytest.mark.parametrize(
    ("offsets", "next_offset"), [([], 4), ([4, 5], 6), ([5, 9], 10)]
)
def test_page_with_increasing_offsets(offsets, next_offset):
    page = parse_page(build_page(*offsets, next_offset=next_offset), offset=4)
    records = tuple(LogRecord(offset, 1.0, {}) for offset in offsets)
    assert page == LogPage(records, next_offset, 0)


@pytest.mark.parametrize(
    "value",
    [
        build_page(3, 4, next_offset=5),
        build_page(5, 4, next_offset=6),
        build_page(4, 4, next_offset=5),
        build_page(4, 5, next_offset=5),
        build_page(next_offset=3),
        build_page(next_offset=4, first_offset=-1),
        build_page(float("inf"), next_offset=5),
        build_page(10**400, next_offset=10**401),
        build_page("4", next_offset=5),
        {"next_offset": 4},
    ],
)
def test_page_malformed(value):
    with pytest.raises(PlatformError, match="malformed page") as caught:
        parse_page(value, offset=4)
    assert not caught.value.is_outcome_unknown


@given(VALUES, st.integers(0, 100))
def test_page_arbitrary_value(value, offset):
    try:
        page = parse_page(value, offset=offset)
    except PlatformError:
        return
    assert page.next_offset >= offset


@given(st.sampled_from([200, 404, 500, 504]), st.binary(max_size=100) | VALUES)
def test_response_arbitrary_bytes(status, value):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    try:
        assert isinstance(parse_response(status, data), dict)
    except PlatformError:
        return
