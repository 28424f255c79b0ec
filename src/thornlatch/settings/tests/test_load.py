from dataclasses import dataclass, field
from typing import Annotated

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import Meta

from thornlatch.exceptions import SettingsError
from thornlatch.settings import load_settings, parse_table


@dataclass(frozen=True)
class Inner:
    port: Annotated[int, Meta(ge=1, le=65535)] = 80


@dataclass(frozen=True)
class Outer:
    inner: Inner = field(default_factory=Inner)


@pytest.mark.parametrize(
    ("text", "fragments"),
    [
        ("[inner]\nport = 0", ["inner.port", "0", "1"]),
        ("[inner]\nport = 'x'", ["inner.port", "'x'", "int"]),
        ("[inner]\nprot = 3", ["inner.prot", "unknown key", "3", "port"]),
        ("[inner", ["not valid TOML"]),
    ],
    ids=["range", "type", "unknown", "syntax"],
)
def test_load_settings_invalid(tmp_path, text, fragments):
    path = tmp_path / "s.toml"
    path.write_text(text)
    with pytest.raises(SettingsError) as caught:
        load_settings(path, Outer)
    for fragment in [str(path), *fragments]:
        assert fragment in caught.value.format()


def test_load_settings_empty_file(tmp_path):
    path = tmp_path / "s.toml"
    path.write_text("")
    assert load_settings(path, Outer) == Outer()


SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@given(table=st.dictionaries(st.sampled_from(["inner", "x"]), VALUES))
def test_parse_table_arbitrary_value(table):
    try:
        assert isinstance(parse_table(table, Outer, source="s.toml"), Outer)
    except SettingsError as error:
        assert "s.toml" in error.format()
