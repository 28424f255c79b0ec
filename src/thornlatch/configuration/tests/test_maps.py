from hypothesis import given
from hypothesis import strategies as st

from thornlatch.configuration import _maps
from thornlatch.configuration._maps import PersistentMap

NAMES = st.sampled_from("abcdef")
CHANGES = st.lists(st.tuples(st.dictionaries(NAMES, st.integers()), st.sets(NAMES)))


@given(changes=CHANGES, limit=st.integers(0, 4))
def test_map_behaves_like_dict(changes, limit):
    table, expected = PersistentMap(), {}
    before = _maps.MAX_OVERLAY_ENTRIES
    _maps.MAX_OVERLAY_ENTRIES = limit
    try:
        for upserts, removals in changes:
            earlier, copy = table, dict(table)
            table = table.with_changes(upserts, removals)
            expected = {k: v for k, v in expected.items() if k not in removals}
            expected |= upserts
            assert dict(table) == expected and len(table) == len(expected)
            assert all((name in table) == (name in expected) for name in "abcdefg")
            assert dict(earlier) == copy
    finally:
        _maps.MAX_OVERLAY_ENTRIES = before
