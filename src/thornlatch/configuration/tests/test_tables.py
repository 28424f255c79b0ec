from hypothesis import assume, given
from hypothesis import strategies as st

from thornlatch.configuration import (
    Adapter,
    ConfigurationChanged,
    ConfigurationPublished,
    ConfigurationState,
    Inventory,
    Organisation,
    Pool,
    Route,
    Store,
    Target,
    apply_record,
    build_tables,
    find_changes,
    to_inventory,
)
from thornlatch.exceptions import InvalidInput

NAMES = st.sampled_from(["a", "b", "c"])


def unique(items, **options):
    return st.lists(items, max_size=3, **options).map(tuple)


def by_name(items):
    return unique(items, unique_by=lambda item: item.name)


INVENTORIES = st.builds(
    Inventory,
    organisations=by_name(st.builds(Organisation, NAMES, st.just(1.0), st.just(2.0))),
    stores=st.just((Store("s", 1.0, 1, 1, 1.0),)),
    pools=by_name(
        st.builds(Pool, NAMES, st.just("engine"), st.sampled_from("mn"), st.just("s"))
        | st.builds(Pool, NAMES, st.just("plain"))
    ),
    targets=unique(
        st.builds(
            Target,
            NAMES,
            NAMES,
            st.sampled_from(["1.2.3.4:1", "1.2.3.4:2"]),
            st.just("d"),
            adapter_slots=st.sampled_from([0, 1]),
        ),
        unique_by=(lambda t: t.name, lambda t: t.address),
    ),
    adapters=unique(
        st.builds(Adapter, NAMES, NAMES, NAMES, st.sampled_from(["", "a"])),
        unique_by=lambda item: item.name,
    ),
    routes=unique(
        st.builds(Route, st.sampled_from(["/x", "/x/y", "/"]), NAMES),
        unique_by=lambda item: item.path,
    ),
)


def try_build(inventory):
    try:
        return build_tables(inventory)
    except InvalidInput:
        return None


@given(old=INVENTORIES, new=INVENTORIES)
def test_changes_lead_from_old_to_new(old, new):
    """A delta puts in force exactly what a whole publication would."""
    target = try_build(new)
    assume(try_build(old) and target)
    state = apply_record(ConfigurationState(), 0, ConfigurationPublished(-1, "", old))
    upserts, removals = find_changes(state.tables, target)
    change = ConfigurationChanged(0, "", upserts, removals)
    changed = apply_record(state, 1, change)
    assert not changed.refusals
    assert to_inventory(changed.tables) == to_inventory(target)
    assert dict(changed.tables.defaults) == dict(target.defaults)


@given(old=INVENTORIES, change=INVENTORIES)
def test_change_is_as_strict_as_publication(old, change):
    """What a delta accepts, a whole publication of the result accepts too."""
    assume(try_build(old))
    state = apply_record(ConfigurationState(), 0, ConfigurationPublished(-1, "", old))
    changed = apply_record(state, 1, ConfigurationChanged(0, "", change))
    result = try_build(to_inventory(changed.tables))
    assert result and to_inventory(result) == to_inventory(changed.tables)
