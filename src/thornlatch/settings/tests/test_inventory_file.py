import tomllib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thornlatch.exceptions import SettingsError
from thornlatch.settings import (
    InventoryFile,
    load_adapters,
    load_inventory,
    parse_table,
)

INVENTORY = """
adapters_file = "adapters.csv"
[[stores]]
name = "weights"
loads_per_s = 5
full_speed_loads = 1
in_flight_loads = 8
load_s = 0.25
[[pools]]
name = "llm"
kind = "engine"
model = "base"
store = "weights"
"""
HEADER = "name,version,pool,organisation,is_default\n"
KEYS = [*InventoryFile.__dataclass_fields__, "name", "kind", "pool"]
SCALARS = st.booleans() | st.integers() | st.floats() | st.text(max_size=5)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(KEYS) | st.text(max_size=3), inner, max_size=4
        )
    ),
    max_leaves=12,
)


@pytest.fixture
def inventory(tmp_path):
    path = tmp_path / "inventory.toml"
    path.write_text(INVENTORY)
    return path


def write_adapters(inventory, text, name="adapters.csv"):
    path = inventory.parent / name
    path.write_text(text, newline="")
    return path


def test_load_inventory_csv(inventory):
    write_adapters(inventory, HEADER + "a,v1,llm,,false\n\na,v2,llm,,\n")
    adapters = load_inventory(inventory).adapters
    assert [(adapter.label, adapter.is_default) for adapter in adapters] == [
        ("a/v1", False),
        ("a/v2", True),
    ]


def test_load_adapters_json_lines(inventory):
    text = '{"name": "a", "version": "v1", "pool": "llm"}\n\n'
    path = write_adapters(inventory, text, "a.jsonl")
    assert [adapter.label for adapter in load_adapters(path)] == ["a/v1"]


@pytest.mark.parametrize(
    ("text", "fragments"),
    [
        (HEADER + "a,v1,llm,,\n,v1,llm,,\n", [":3", "missing", "name"]),
        (HEADER + "a b,v1,llm,,\n", [":2: name", "'a b'", "Allowed", "200"]),
        (HEADER + "a,v/1,llm,,\n", [":2: version", "'v/1'"]),
        (HEADER + "a,v1,llm,,maybe\n", [":2: is_default", "'maybe'", "bool"]),
        (HEADER + "a,v1,llm\n", [":2", "3 cells in place of 5"]),
        (HEADER + '"a,v1,llm,,\n', ["not valid text"]),
        (HEADER + "a,v1,llm,,\n" * 2, ["'a/v1' is listed twice"]),
        (HEADER + "a,v1,llm,,\na,v2,llm,,\n", ["two default versions"]),
        (HEADER + "a,v1,mlm,,\n", ["'mlm'", "not an engine pool"]),
        ("name,name\na,a\n", [":1", "named twice"]),
        ("name,colour\na,red\n", [":2: colour", "unknown key", "'red'", "version"]),
    ],
)
def test_load_inventory_csv_invalid(inventory, text, fragments):
    write_adapters(inventory, text)
    with pytest.raises(SettingsError) as caught:
        load_inventory(inventory)
    for fragment in [str(inventory.parent), *fragments]:
        assert fragment in caught.value.format()


@pytest.mark.parametrize(
    ("text", "fragments"),
    [
        ('{"name": "a"', [":1", "not valid JSON"]),
        ("[1]", [":1", "expected an object"]),
        ('\n{"name": 5}', [":2: name", "5", "str"]),
        ('{"nmae": 5}', [":1: nmae", "unknown key"]),
        ("[" * 100_000, [":1"]),
    ],
    ids=["truncated", "list", "type", "unknown", "deep"],
)
def test_load_adapters_json_lines_invalid(inventory, text, fragments):
    path = write_adapters(inventory, text, "a.jsonl")
    with pytest.raises(SettingsError) as caught:
        load_adapters(path)
    for fragment in [str(path), *fragments]:
        assert fragment in caught.value.format()


def test_load_inventory_missing_adapters(inventory):
    with pytest.raises(SettingsError, match="can't read adapters"):
        load_inventory(inventory)


def test_load_adapters_not_text(inventory):
    path = inventory.parent / "a.csv"
    path.write_bytes(b"\xff\xfe")
    with pytest.raises(SettingsError, match="not valid text"):
        load_adapters(path)


@given(table=st.dictionaries(st.sampled_from(KEYS), VALUES, max_size=4))
def test_parse_table_arbitrary_inventory(table):
    try:
        parse_table(table, InventoryFile, source="inventory.toml")
    except SettingsError as error:
        assert "inventory.toml" in error.format()


@given(position=st.integers(0, len(INVENTORY)), text=st.text(max_size=4))
def test_parse_table_corrupted_inventory(position, text):
    corrupted = INVENTORY[:position] + text + INVENTORY[position + len(text) :]
    try:
        table = tomllib.loads(corrupted)
    except tomllib.TOMLDecodeError:
        return
    try:
        parse_table(table, InventoryFile, source="inventory.toml")
    except SettingsError as error:
        assert "inventory.toml" in error.format()


@given(cells=st.lists(st.lists(st.text(max_size=6), max_size=6), max_size=4))
def test_load_adapters_arbitrary_text(tmp_path_factory, cells):
    path = tmp_path_factory.mktemp("fuzz") / "a.csv"
    lines = [",".join(row) for row in cells]
    path.write_text(HEADER + "\n".join(lines), encoding="utf-8", errors="replace")
    try:
        load_adapters(path)
    except SettingsError as error:
        assert str(path) in error.format()
