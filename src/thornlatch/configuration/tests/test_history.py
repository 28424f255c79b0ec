"""Histories of concurrent operators, and broken variants that the checks detect."""

import random
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from thornlatch.configuration import (
    ConfigurationChanged,
    ConfigurationPublished,
    ConfigurationSnapshot,
    ConfigurationState,
    Inventory,
    Key,
    KeyIssued,
    KeyWithdrawn,
    Organisation,
    TargetDrained,
    _slice,
    _state,
    apply_record,
    build_snapshot,
    decode_entry,
)
from thornlatch.configuration.tests.builders import (
    DIGESTS,
    FakeStream,
    build_host,
    build_inventory,
    describe,
)

KINDS = ("publish", "change", "issue", "withdraw", "drain", "snapshot", "repeat", "bad")
OPERATIONS = st.lists(
    st.tuples(st.sampled_from(KINDS), st.integers(0, 3), st.integers(0, 4)),
    max_size=14,
)


def build_record(kind, number, state):
    """Return a record of an operator or host that has read up to `state`."""
    base = state.inventory_offset
    if kind == "publish":
        keys = tuple({0, number})
        inventory = build_inventory(adapters=number, keys=keys, rate=1 + number)
        return ConfigurationPublished(base, "ana", inventory)
    if kind == "change":
        organisation = Organisation("shop", 50.0 + number, 9.0)
        return ConfigurationChanged(base, "bo", Inventory((organisation,)))
    if kind == "issue":
        return KeyIssued(Key(DIGESTS[number], "shop"), "ana")
    if kind == "withdraw":
        return KeyWithdrawn(DIGESTS[number], "ana")
    if kind == "drain":
        return TargetDrained("llm-1", "ana", number % 2 == 0)
    if kind == "snapshot":
        return build_snapshot(state, "h")
    return {"kind": "KeyIssued", "body": {"key": number}}


def write_history(operations):
    """Return a stream written by operators that are some records behind."""
    stream, states = FakeStream(), [ConfigurationState()]
    for kind, number, lag in operations:
        value = build_record(kind, number, states[max(0, len(states) - 1 - lag)])
        if kind == "repeat" and stream.values:
            value = stream.values[-1 - lag % len(stream.values)]
        offset = stream.append(value)
        states.append(apply_by_oracle(states[-1], offset, stream.values[offset]))
    return stream


def apply_by_oracle(state, offset, value):
    """Apply a record by a second implementation of the rules for conflicts."""
    record = decode_entry(value)
    if not isinstance(record, ConfigurationPublished | ConfigurationChanged):
        return apply_record(state, offset, record)
    if record.base_offset != state.inventory_offset:
        return replace(state, offset=offset)
    return apply_record(state, offset, record)


def check_history(operations, seed):
    stream = write_history(operations)
    states = check_states(stream)
    rng = random.Random(seed)
    check_repeated_reads(stream, states, rng)
    check_late_start(stream, states, rng)


def check_states(stream):
    """Check that one change wins each race and that withdrawn keys stay withdrawn."""
    states, oracle = [ConfigurationState()], ConfigurationState()
    winners, withdrawn = {}, set()
    for offset, value in enumerate(stream.values):
        record = decode_entry(value)
        before, after = states[-1], apply_record(states[-1], offset, record)
        oracle = apply_by_oracle(oracle, offset, value)
        assert after.offset == offset > before.offset
        assert after.inventory_offset >= before.inventory_offset
        assert after.inventory_offset == oracle.inventory_offset
        if after.inventory_offset == offset:
            assert winners.setdefault(record.base_offset, offset) == offset
        withdrawn |= {record.digest} if isinstance(record, KeyWithdrawn) else set()
        assert not any(after.get_key(digest) for digest in withdrawn)
        states.append(after)
    return states


def check_repeated_reads(stream, states, rng):
    """Check a host that receives old records and old snapshots again."""
    host = build_host()
    for offset in range(len(stream.values)):
        host.apply_record(offset, decode_entry(stream.values[offset]), now=0.0)
        again = rng.randrange(offset + 1)
        host.apply_record(again, decode_entry(stream.values[again]), now=0.0)
        host.apply_snapshot(build_snapshot(states[again], "p"), now=0.0)
        assert describe(host.state) == describe(states[offset + 1])


def check_late_start(stream, states, rng):
    """Check a host that starts late, from a snapshot on the log or of a peer."""
    if not stream.values:
        return
    first = rng.randrange(len(stream.values))
    end = rng.randrange(first, len(stream.values)) + 1
    host = build_host()
    for offset in range(first, end):
        record = decode_entry(stream.values[offset])
        host.apply_record(offset, record, now=0.0)
        if isinstance(record, ConfigurationSnapshot) and rng.random() < 0.3:
            host.apply_snapshot(record, now=0.0)
    host.apply_snapshot(build_snapshot(states[first + 1], "p"), now=0.0)
    assert host.is_complete
    assert describe(host.state) == describe(states[end])


@settings(max_examples=300, suppress_health_check=[HealthCheck.too_slow])
@given(operations=OPERATIONS, seed=st.integers(0, 1000))
def test_history_of_concurrent_operators(operations, seed):
    check_history(operations, seed)


def revert_offset(state, snapshot):
    return _state.load_snapshot(ConfigurationState(), snapshot)


def restore_key(state, snapshot):
    return _state.load_snapshot(
        replace(state, withdrawn=ConfigurationState().withdrawn),
        replace(snapshot, withdrawn=()),
    )


@pytest.mark.parametrize(
    ("module", "name", "broken"),
    [
        (_slice, "load_snapshot", revert_offset),
        (_slice, "load_snapshot", restore_key),
        (_state, "check_base", lambda base_offset, state: None),
    ],
    ids=["revert_offset", "restore_key", "ignore_base"],
)
def test_history_check_detects_breakage(monkeypatch, module, name, broken):
    monkeypatch.setattr(module, name, broken)

    @settings(
        max_examples=500,
        database=None,
        derandomize=True,
        phases=[Phase.generate],
        report_multiple_bugs=False,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(operations=OPERATIONS, seed=st.integers(0, 1000))
    def check(operations, seed):
        check_history(operations, seed)

    with pytest.raises(AssertionError):
        check()
