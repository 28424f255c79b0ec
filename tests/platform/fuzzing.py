"""Strategies and bounds of the fuzzer of all readers of bytes."""

import contextlib
import copy
import json
import time
import tracemalloc

from hypothesis import strategies as st

TIME_LIMIT_S = 2.0  # of an example; sound ones take some ms
MEMORY_LIMIT_BYTES = 24 << 20  # of an example, beside what it was given
NESTED = "[" * 20_000
TOKENS = [
    b"\r\n", b"\n", b"\r", b"\0", b" ", b"\t", b":", b";", b",", b"-", b"+", b"_", b"0",
    b"9" * 40, b"\xff", "٣".encode(), b"{", b"]", b'"', b"nan", b"1e999", b"null",
    b"HTTP/1.1 200 OK\r\n", b"id: 3\n\n", b"data: x\n\n", b"\xdd\xff\xff\xff\xff",
]  # fmt: skip


@contextlib.contextmanager
def bounds():
    """Check the time and the memory of one example."""
    tracemalloc.start()
    began_at = time.thread_time()
    try:
        yield
    finally:
        took_s = time.thread_time() - began_at
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    assert took_s < TIME_LIMIT_S
    assert peak_bytes < MEMORY_LIMIT_BYTES


@st.composite
def edited(draw, data):
    """Draw bytes and change some of them."""
    result = bytearray(draw(data) if isinstance(data, st.SearchStrategy) else data)
    for _ in range(draw(st.integers(0, 3))):
        start = draw(st.integers(0, len(result)))
        removed = draw(st.integers(0, 3))
        inserted = st.one_of(st.sampled_from(TOKENS), st.binary(max_size=3))
        result[start : start + removed] = draw(inserted)
    return bytes(result)


ODD_VALUES = st.one_of(
    st.sampled_from(
        [None, True, 0, -1, 2**53, 2**63, -(10**400), 10**400, 1e308, "", "\ud800"]
    ),
    st.integers(),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=4),
    st.builds(list),
    st.builds(dict),
    st.recursive(
        st.integers(-3, 3),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(max_size=2), inner),
        max_leaves=5,
    ),
)


@st.composite
def altered(draw, value):
    """Draw a copy of a JSON value with some of its parts replaced or removed."""
    result = [copy.deepcopy(value)]
    for _ in range(draw(st.integers(0, 3))):
        inner, key = result, 0
        while (
            isinstance(inner[key], dict | list)
            and inner[key]
            and draw(st.integers(0, 3))
        ):
            inner = inner[key]
            keys = sorted(inner) if isinstance(inner, dict) else range(len(inner))
            key = draw(st.sampled_from(list(keys)))
        if inner is not result and draw(st.integers(0, 4)) == 0:
            del inner[key]
        else:
            inner[key] = draw(ODD_VALUES)
    return result[0]


@st.composite
def altered_json(draw, value):
    """Draw the bytes of an altered JSON value, which may not be JSON any more."""
    text = json.dumps(draw(altered(value)), ensure_ascii=draw(st.booleans()))
    if draw(st.integers(0, 9)) == 0:
        text = text.replace("0", NESTED, 1)
    data = text.encode("utf-8", "surrogatepass")
    return draw(edited(data)) if draw(st.booleans()) else data
