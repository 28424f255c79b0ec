"""Loading and checking of TOML settings."""

import dataclasses
import tomllib
from pathlib import Path
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import msgspec

from thornlatch.exceptions import SettingsError

T = TypeVar("T")


def load_settings(path: Path, cls: type[T]) -> T:
    """Read a TOML file into a frozen settings class.

    Parameters
    ----------
    path : Path
    cls : type
        Data class whose fields are the tables of the file.

    Returns
    -------
    object
        Instance of `cls`.

    Raises
    ------
    SettingsError
        If the file can't be read or a key, type or value is wrong.
    """
    try:
        with path.open("rb") as file:
            table = tomllib.load(file)
    except OSError as error:
        raise SettingsError(
            f"can't read settings: {error}", context=str(path)
        ) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"not valid TOML: {error}", context=str(path)) from error
    return parse_table(table, cls, source=str(path))


def parse_table(table: dict[str, Any], cls: type[T], *, source: str) -> T:
    """Check a table against a frozen data class and build it.

    Parameters
    ----------
    table : dict
    cls : type
        Data class; `msgspec.Meta` annotations give the allowed ranges.
    source : str
        File name for messages.

    Returns
    -------
    object
        Instance of `cls`.

    Raises
    ------
    SettingsError
        Names file, key, value and what is allowed.
    """
    _refuse_unknown_keys(table, cls, path="", source=source)
    try:
        return msgspec.convert(table, type=cls)
    except msgspec.ValidationError as error:
        message, _, where = str(error).partition(" - at ")
        key = where.strip("`").removeprefix("$.") or "(top level)"
        raise SettingsError(
            f"{message}; got {_find_value(table, key)!r}",
            context=f"{source}: {key}",
            hint="See docs/reference/settings.md for the allowed range.",
        ) from error


def _refuse_unknown_keys(table: Any, cls: Any, *, path: str, source: str) -> None:
    if get_origin(cls) is tuple and isinstance(table, list):
        for index, item in enumerate(table):
            _refuse_unknown_keys(
                item, get_args(cls)[0], path=f"{path}[{index}]", source=source
            )
        return
    if not dataclasses.is_dataclass(cls) or not isinstance(table, dict):
        return
    hints = get_type_hints(cls)
    for key, value in table.items():
        here = f"{path}.{key}" if path else key
        if key not in hints:
            raise SettingsError(
                f"unknown key {key!r} with value {value!r:.80}",
                context=f"{source}: {here}",
                note="Known keys here: " + ", ".join(sorted(hints)),
                hint="Correct or remove the key.",
            )
        _refuse_unknown_keys(value, hints[key], path=here, source=source)


def _find_value(table: Any, path: str) -> Any:
    value = table
    for part in path.replace("[", ".[").split("."):
        try:
            value = value[int(part[1:-1])] if part.startswith("[") else value[part]
        except (KeyError, IndexError, TypeError, ValueError):
            return None
    return value
