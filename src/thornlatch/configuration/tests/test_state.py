from dataclasses import replace

import pytest

from thornlatch.configuration import (
    Adapter,
    ConfigurationChanged,
    ConfigurationPublished,
    ConfigurationSnapshot,
    ConfigurationState,
    Inventory,
    Key,
    KeyIssued,
    KeyWithdrawn,
    Pool,
    Removals,
    Route,
    Target,
    TargetDrained,
    UnreadableRecord,
    apply_record,
    build_snapshot,
    load_snapshot,
)
from thornlatch.configuration.tests.builders import DIGESTS, build_inventory, describe

GOOD = build_inventory()
ENGINE = Target("llm-2", "llm", "10.0.0.9:1", "a", adapter_slots=1)


@pytest.fixture
def state():
    published = ConfigurationPublished(-1, "ana", GOOD)
    return apply_record(ConfigurationState(), 0, published)


def change(**upserts):
    return ConfigurationChanged(0, "bo", Inventory(**upserts))


def remove(**removals):
    return ConfigurationChanged(0, "bo", Inventory(), Removals(**removals))


@pytest.mark.parametrize(
    ("record", "part"),
    [
        (ConfigurationPublished(-1, "bo", GOOD), "based on the inventory at offset -1"),
        (ConfigurationPublished(7, "bo", GOOD), "in force is at offset 0"),
        (replace(change(), base_offset=-1), "based on"),
        (change(adapters=(Adapter("x", "v1", "nope"),)), "'nope', not an engine pool"),
        (change(adapters=(Adapter("x", "v1", "api"),)), "not an engine pool"),
        (change(adapters=(Adapter("x", "v", "llm", "who"),)), "organisation 'who'"),
        (change(adapters=(Adapter("x", "v", "llm"),) * 2), "listed twice"),
        (change(adapters=(Adapter("adapter-0", "v2", "llm"),)), "two default versions"),
        (change(adapters=(Adapter("adapter-0/v1", "v", "llm"),)), "ambiguous"),
        (change(keys=(Key(DIGESTS[2], "who"),)), "unknown organisation 'who'"),
        (change(pools=(Pool("p", "engine", "m", "nope"),)), "unknown store 'nope'"),
        (change(pools=(Pool("p", "engine", "", "weights"),)), "'p' has no model"),
        (
            change(pools=(Pool("llm", "plain"),)),
            "plain service with adapter_slots = 4; must be 0",
        ),
        (change(targets=(replace(ENGINE, pool="nope"),)), "unknown pool 'nope'"),
        (
            change(targets=(replace(ENGINE, adapter_slots=0),)),
            "adapter_slots = 0; must be at least 1",
        ),
        (
            change(targets=(replace(ENGINE, address="10.0.0.1:8000"),)),
            "same address 10.0.0.1:8000 as 'llm-1'",
        ),
        (change(targets=(replace(ENGINE, address="1.2.3:80"),)), "not ip:port"),
        (change(targets=(replace(ENGINE, address="1.2.3.4:99999"),)), "not ip:port"),
        (change(routes=(Route("/x", "nope"),)), "'nope', not a plain pool"),
        (change(routes=(Route("/x", "llm"),)), "'llm', not a plain pool"),
        (change(routes=(Route("/x/../y", "api"),)), "dotted segment"),
        (change(routes=(Route("/x/", "api"),)), "ends with a slash"),
        (
            change(routes=(Route("/x", "api", is_open=True, organisations=("shop",)),)),
            "open to all but limited",
        ),
        (change(routes=(Route("/x", "api", organisations=("who",)),)), "'who'"),
        (remove(stores=("weights",)), "unknown store 'weights'"),
        (remove(pools=("llm",)), "unknown pool 'llm'"),
        (remove(organisations=("shop",)), "unknown organisation 'shop'"),
        (remove(targets=("nope",)), "can't remove unknown 'nope'"),
        (KeyIssued(Key(DIGESTS[3], "who"), "bo"), "unknown organisation 'who'"),
        (KeyIssued(Key(DIGESTS[0], "club"), "bo"), "belongs to 'shop'"),
        (TargetDrained("nope", "bo"), "unknown target 'nope'"),
        (UnreadableRecord("What", "unknown message kind 'What'"), "unknown message"),
        (
            ConfigurationSnapshot(5, 0, "h", GOOD),
            "covers offset 5, but must cover a lower one",
        ),
        (ConfigurationSnapshot(0, 0, "h", Inventory()), "differs from the configur"),
    ],
)
def test_invalid_record_is_refused(state, record, part):
    after = apply_record(state, 1, record)
    assert [(r.offset, part in r.reason) for r in after.refusals] == [(1, True)]
    assert after.offset == 1
    before = replace(describe(state), covered_offset=1)
    assert describe(after) == before


def test_second_publication_on_same_base_is_refused(state):
    first = apply_record(state, 1, ConfigurationPublished(0, "ana", GOOD))
    second = apply_record(first, 2, ConfigurationPublished(0, "bo", Inventory()))
    assert second.inventory_offset == 1
    assert [(r.author, r.code) for r in second.refusals] == [
        ("bo", "configuration-conflict")
    ]


def test_record_at_applied_offset_is_ignored(state):
    assert apply_record(state, 0, KeyWithdrawn(DIGESTS[0], "ana")) is state


def test_issued_key_survives_publication(state):
    state = apply_record(state, 1, KeyIssued(Key(DIGESTS[2], "club"), "ana"))
    state = apply_record(state, 2, ConfigurationPublished(0, "ana", GOOD))
    assert state.get_key(DIGESTS[2]) == Key(DIGESTS[2], "club")


@pytest.mark.parametrize(
    "record",
    [
        ConfigurationPublished(0, "bo", GOOD),
        change(keys=(Key(DIGESTS[0], "shop"),)),
        KeyIssued(Key(DIGESTS[0], "shop"), "bo"),
    ],
    ids=["publish", "change", "issue"],
)
def test_withdrawn_key_stays_withdrawn(state, record):
    state = apply_record(state, 1, KeyWithdrawn(DIGESTS[0], "ana"))
    assert apply_record(state, 2, record).get_key(DIGESTS[0]) is None


def test_key_withdrawn_before_issue_stays_withdrawn(state):
    state = apply_record(state, 1, KeyWithdrawn(DIGESTS[3], "ana"))
    state = apply_record(state, 2, KeyIssued(Key(DIGESTS[3], "shop"), "ana"))
    assert state.get_key(DIGESTS[3]) is None
    assert "is withdrawn" in state.refusals[-1].reason


def test_change_that_contradicts_issued_key_is_refused(state):
    state = apply_record(state, 1, KeyIssued(Key(DIGESTS[2], "club"), "ana"))
    keys = (Key(DIGESTS[2], "shop"),)
    state = apply_record(state, 2, change(keys=keys))
    assert "was issued to 'club'" in state.refusals[-1].reason


def test_drain_survives_publication(state):
    state = apply_record(state, 1, TargetDrained("llm-1", "ana"))
    state = apply_record(state, 2, ConfigurationPublished(0, "bo", GOOD))
    assert list(state.draining) == ["llm-1"]
    state = apply_record(state, 3, TargetDrained("llm-1", "ana", False))
    assert not state.draining


def test_drain_ends_with_removal_of_target(state):
    state = apply_record(state, 1, TargetDrained("api-1", "ana"))
    state = apply_record(state, 2, remove(targets=("api-1",)))
    assert not state.draining and not state.refusals


def test_default_version_moves(state):
    old, new = (
        Adapter("adapter-0", "v1", "llm", "shop", False),
        Adapter("adapter-0", "v2", "llm", "shop"),
    )
    state = apply_record(state, 1, change(adapters=(old, new)))
    assert state.tables.defaults["adapter-0"] == new
    assert not state.refusals


def test_snapshot_round_trip(state):
    state = apply_record(state, 1, KeyWithdrawn(DIGESTS[0], "ana"))
    state = apply_record(state, 2, TargetDrained("llm-1", "ana"))
    loaded = load_snapshot(ConfigurationState(), build_snapshot(state, "h"))
    assert describe(loaded) == describe(state)
    assert loaded.get_key(DIGESTS[0]) is None


def test_snapshot_without_withdrawal_keeps_key_withdrawn(state):
    incomplete = replace(build_snapshot(state, "h"), covered_offset=9)
    state = apply_record(state, 1, KeyWithdrawn(DIGESTS[0], "ana"))
    loaded = load_snapshot(state, incomplete)
    assert loaded.offset == 9
    assert loaded.get_key(DIGESTS[0]) is None
