"""Loading and validation of TOML settings."""

import dataclasses
import tomllib
from pathlib import Path
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import msgspec

from thornlatch.exceptions import SettingsError
from thornlatch.settings._describe import describe_hint, find_hint

REFERENCE_HINT = "See docs/reference/settings.md."

T = TypeVar("T")


def load_settings(path: Path, cls: type[T]) -> T:
    """Load a TOML file as an instance of a frozen settings class.

    Parameters
    ----------
    path : Path
    cls : type
        Data class whose fields correspond to the tables of the file.

    Returns
    -------
    object
        Instance of `cls`.

    Raises
    ------
    SettingsError
        If the file can't be read or a key, type or value is invalid.
    """
    return parse_table(read_toml(path), cls, source=str(path))


def read_toml(path: Path) -> dict[str, Any]:
    """Read a TOML file without validating its keys.

    Parameters
    ----------
    path : Path

    Returns
    -------
    dict

    Raises
    ------
    SettingsError
        If the file can't be read or isn't valid TOML.
    """
    try:
        with path.open("rb") as file:
            return tomllib.load(file)
    except OSError as error:
        raise SettingsError(
            f"can't read settings: {error}", context=str(path)
        ) from error
    except (ValueError, RecursionError) as error:
        # Besides syntax and encoding, numbers of more than 4,300 digits.
        raise SettingsError(f"not valid TOML: {error}", context=str(path)) from error


def parse_table(table: dict[str, Any], cls: type[T], *, source: str) -> T:
    """Convert a table to an instance of a frozen data class.

    Parameters
    ----------
    table : dict
    cls : type
        Data class with `msgspec.Meta` annotations for the allowed ranges.
    source : str
        File name for error messages.

    Returns
    -------
    object
        Instance of `cls`.

    Raises
    ------
    SettingsError
        If a key, type or value is invalid; the error gives the file, the key, the
        value and the allowed values.
    """
    _reject_unknown_keys(table, cls, path="", source=source)
    try:
        return msgspec.convert(table, type=cls)
    except msgspec.ValidationError as error:
        message, _, location = str(error).partition(" - at ")
        key = location.strip("`").removeprefix("$.") or "(top level)"
        raise SettingsError(
            f"{message}; got {_find_value(table, key)!r}",
            context=f"{source}: {key}",
            note=_describe_allowed(cls, key),
            hint=REFERENCE_HINT,
        ) from error


def _describe_allowed(cls: Any, key: str) -> str:
    hint = find_hint(cls, key)
    return f"Allowed: {describe_hint(hint)}" if hint is not None else ""


def _reject_unknown_keys(table: Any, cls: Any, *, path: str, source: str) -> None:
    if get_origin(cls) is tuple and isinstance(table, list):
        for index, item in enumerate(table):
            _reject_unknown_keys(
                item, get_args(cls)[0], path=f"{path}[{index}]", source=source
            )
        return
    if not dataclasses.is_dataclass(cls) or not isinstance(table, dict):
        return
    hints = get_type_hints(cls)
    for key, value in table.items():
        key_path = f"{path}.{key}" if path else key
        if key not in hints:
            raise SettingsError(
                f"unknown key {key!r} with value {value!r:.80}",
                context=f"{source}: {key_path}",
                note="Known keys here: " + ", ".join(sorted(hints)),
                hint="Correct or remove the key.",
            )
        _reject_unknown_keys(value, hints[key], path=key_path, source=source)


def _find_value(table: Any, path: str) -> Any:
    value = table
    for part in path.replace("[", ".[").split("."):
        try:
            value = value[int(part[1:-1])] if part.startswith("[") else value[part]
        except (KeyError, IndexError, TypeError, ValueError):
            return None
    return value
