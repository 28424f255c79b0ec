from operator import attrgetter

from hypothesis import given
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

NAMES = st.sampled_from(["a", "b", "c"])
ADDRESSES = st.sampled_from(["1.2.3.4:1", "1.2.3.4:2", "1.2.3.4:3"])
ORGANISATIONS = st.builds(Organisation, NAMES, st.sampled_from([1.0, 2.0]), st.just(2))
ENGINES = st.builds(
    Pool, NAMES, st.just("engine"), st.sampled_from("mn"), st.just("weights")
)
POOLS = ENGINES | st.builds(Pool, NAMES, st.just("plain"))


def unique(items, *, by=("name",)):
    keys = tuple(attrgetter(name) for name in by)
    return st.lists(items, max_size=3, unique_by=keys).map(tuple)


@st.composite
def build_inventories(draw):
    """Draw a valid inventory."""
    organisations = draw(unique(ORGANISATIONS))
    pools = draw(unique(POOLS))
    engines = [p.name for p in pools if p.kind == "engine"]
    plain = [p.name for p in pools if p.kind == "plain"]
    organisation_names = ["", *(o.name for o in organisations)]
    targets, adapters, routes = (), (), ()
    if pools:
        target = st.builds(
            lambda name, pool, address: Target(
                name, pool, address, "d", adapter_slots=int(pool in engines)
            ),
            NAMES,
            st.sampled_from(engines + plain),
            ADDRESSES,
        )
        targets = draw(unique(target, by=("name", "address")))
    if engines:
        pool, organisation = (
            st.sampled_from(engines),
            st.sampled_from(organisation_names),
        )
        adapters = draw(unique(st.builds(Adapter, NAMES, NAMES, pool, organisation)))
    if plain:
        path, pool = st.sampled_from(["/x", "/x/y", "/"]), st.sampled_from(plain)
        routes = draw(unique(st.builds(Route, path, pool), by=("path",)))
    return Inventory(
        organisations=organisations,
        stores=(Store("weights", 1.0, 1, 1, 1.0),),
        pools=pools,
        targets=targets,
        adapters=adapters,
        routes=routes,
    )


INVENTORIES = build_inventories()


@given(old=INVENTORIES, new=INVENTORIES)
def test_changes_turn_old_inventory_into_new(old, new):
    """A change has the same result as publishing the whole inventory."""
    target = build_tables(new)
    state = apply_record(ConfigurationState(), 0, ConfigurationPublished(-1, "", old))
    upserts, removals = find_changes(state.tables, target)
    change = ConfigurationChanged(0, "", upserts, removals)
    changed = apply_record(state, 1, change)
    assert not changed.refusals
    assert to_inventory(changed.tables) == to_inventory(target)
    assert dict(changed.tables.defaults) == dict(target.defaults)


@given(old=INVENTORIES, change=INVENTORIES)
def test_change_is_as_strict_as_publication(old, change):
    """An inventory that results from an accepted change can be published."""
    state = apply_record(ConfigurationState(), 0, ConfigurationPublished(-1, "", old))
    changed = apply_record(state, 1, ConfigurationChanged(0, "", change))
    assert changed.inventory_offset == (0 if changed.refusals else 1)
    result = build_tables(to_inventory(changed.tables))
    assert to_inventory(result) == to_inventory(changed.tables)
