"""Evacuations: operators' records in any order, restores of the store, expiry."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thornlatch.fleet import EvacuationTable
from thornlatch.fleet._evacuations import REWRITE_S

DOMAINS = ["z1", "z2", "z3"]
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("put"), st.sampled_from(DOMAINS)),
        st.tuples(st.just("delete"), st.sampled_from(DOMAINS)),
        # The host reads all records, since it missed some or the store was restored
        # from a copy that lacks the latest ones.
        st.tuples(st.just("reread"), st.just("")),
        st.tuples(st.just("restore"), st.integers(0, 4)),
    ),
    max_size=40,
)


def apply(table, key, is_evacuated, now):
    if is_evacuated:
        return table.begin(key, read_at=now, now=now)
    return table.end(key)


def list_evacuated(records):
    return frozenset(key for key, is_evacuated in dict(records).items() if is_evacuated)


@given(steps=STEPS, step_s=st.floats(0.01, REWRITE_S))
def test_set_equals_the_last_state_of_each_key(steps, step_s):
    """An evacuation must also outlast the loss of its record in the store."""
    table, records, now = EvacuationTable(), [], 0.0
    for name, value in steps:
        now += step_s
        table.expire(now=now)
        if name in ("put", "delete"):
            records.append((value, name == "put"))
            apply(table, *records[-1], now)
            continue
        kept = records[: len(records) - value] if value else records
        table.replace_all(list_evacuated(kept), read_at=now, now=now)
        assert table.domains >= list_evacuated(records)
        now += REWRITE_S * 0.99
        table.expire(now=now)
        assert table.domains >= list_evacuated(records)
        last, held = dict(records), dict(kept)
        for key in last:
            if held.get(key) != last[key]:
                apply(table, key, last[key], now)
        assert table.domains >= list_evacuated(records)
    table.expire(now=now + REWRITE_S)
    assert table.domains == list_evacuated(records)


def test_second_record_of_an_evacuation_changes_nothing():
    table = EvacuationTable()
    (first,) = table.begin("z1", read_at=1.0, now=1.1).began
    again = table.begin("z1", read_at=2.0, now=2.1)
    assert not (again.began or again.ended)
    assert table.evacuations == {"z1": first}


@pytest.mark.parametrize("is_rewritten", [True, False])
def test_evacuation_missing_in_a_copy_is_kept_until_it_may_be_written_again(
    is_rewritten,
):
    table = EvacuationTable()
    table.begin("z1", read_at=0.0, now=0.0)
    table.replace_all(frozenset(), read_at=10.0, now=10.0)
    assert not table.expire(now=13.9).ended
    if is_rewritten:
        table.begin("z1", read_at=13.9, now=13.9)
    assert bool(table.expire(now=14.0).ended) is not is_rewritten
    assert ("z1" in table.domains) is is_rewritten


def test_status_has_the_age_of_the_latest_read():
    table = EvacuationTable()
    table.begin("z1", read_at=1.0, now=1.5)
    table.confirm(read_at=7.0)
    (status,) = table.list_status(now=8.0)
    assert (status.domain, status.since_s, status.read_age_s) == ("z1", 6.5, 1.0)
