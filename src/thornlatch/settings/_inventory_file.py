"""Loading and validation of inventory files."""

import csv
import re
import sys
from collections.abc import Iterator
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

import msgspec

from thornlatch.configuration import Adapter, Inventory, build_tables
from thornlatch.exceptions import InvalidInput, SettingsError
from thornlatch.settings._describe import describe_hint, find_hint
from thornlatch.settings._load import REFERENCE_HINT, load_settings

COLUMNS = tuple(item.name for item in fields(Adapter))


@dataclass(frozen=True)
class InventoryFile(Inventory):
    """Layout of an inventory file, with an array of tables per kind of entry.

    Parameters
    ----------
    organisations : tuple of Organisation
    keys : tuple of Key
    stores : tuple of Store
    pools : tuple of Pool
    targets : tuple of Target
    adapters : tuple of Adapter
    routes : tuple of Route
    adapters_file : str
        File with further adapters, as CSV with a header line or as JSON lines
        (``.jsonl``). The path is relative to the inventory file.
    """

    adapters_file: str = ""


def load_inventory(path: Path) -> Inventory:
    """Load and validate an inventory file and the adapters file that it names.

    Parameters
    ----------
    path : Path

    Returns
    -------
    Inventory

    Raises
    ------
    SettingsError
        If a file can't be read or is invalid; the error gives the file, the key, the
        value and the allowed values.
    """
    file = load_settings(path, InventoryFile)
    adapters = file.adapters
    if file.adapters_file:
        adapters += load_adapters(path.parent / file.adapters_file)
    values = {item.name: getattr(file, item.name) for item in fields(Inventory)}
    inventory = Inventory(**{**values, "adapters": adapters})
    try:
        build_tables(inventory)
    except InvalidInput as error:
        raise SettingsError(
            error.message, context=str(path), hint="Correct the inventory."
        ) from error
    return inventory


def load_adapters(path: Path) -> tuple[Adapter, ...]:
    """Load adapters from a CSV or JSON-lines file.

    Parameters
    ----------
    path : Path

    Returns
    -------
    tuple of Adapter

    Raises
    ------
    SettingsError
        If the file can't be read or is invalid; the error gives the file, the line,
        the column, the value and the allowed values.
    """
    iter_rows = _iter_json_lines if path.suffix == ".jsonl" else _iter_csv
    lines: list[int] = []
    rows: list[dict[str, Any]] = []
    try:
        with path.open(encoding="utf-8", newline="") as file:
            for line, row in iter_rows(path, file):
                _check_columns(path, line, row)
                lines.append(line)
                rows.append(row)
    except OSError as error:
        raise SettingsError(
            f"can't read adapters: {error}", context=str(path)
        ) from error
    except (UnicodeDecodeError, csv.Error) as error:
        raise SettingsError(f"not valid text: {error}", context=str(path)) from error
    try:
        return msgspec.convert(
            rows, type=tuple[Adapter, ...], strict=path.suffix == ".jsonl"
        )
    except msgspec.ValidationError as error:
        raise _build_row_error(path, lines, rows, str(error)) from error


def _iter_csv(path: Path, file: Any) -> Iterator[tuple[int, dict[str, Any]]]:
    reader = csv.reader(file, strict=True)
    header = next(reader, [])
    if len(set(header)) != len(header):
        raise SettingsError(
            f"a column is named twice: {', '.join(header)!r:.200}", context=f"{path}:1"
        )
    for cells in reader:
        if not cells:
            continue
        if len(cells) != len(header):
            raise SettingsError(
                f"{len(cells)} cells in place of {len(header)}",
                context=f"{path}:{reader.line_num}",
                hint="Write one cell per column of the header.",
            )
        row = {
            name: sys.intern(cell)
            for name, cell in zip(header, cells, strict=True)
            if cell
        }
        yield reader.line_num, row


def _iter_json_lines(path: Path, file: Any) -> Iterator[tuple[int, dict[str, Any]]]:
    for line, text in enumerate(file, start=1):
        if not text.strip():
            continue
        try:
            row = msgspec.json.decode(text)
        except (msgspec.DecodeError, RecursionError) as error:
            raise SettingsError(
                f"not valid JSON: {error}",
                context=f"{path}:{line}",
                hint="Write one JSON object per line.",
            ) from error
        if not isinstance(row, dict):
            raise SettingsError(
                f"expected an object, got {text.strip():.40}",
                context=f"{path}:{line}",
                hint="Write one JSON object per line.",
            )
        yield line, row


def _check_columns(path: Path, line: int, row: dict[str, Any]) -> None:
    for name in row.keys() - set(COLUMNS):
        raise SettingsError(
            f"unknown key {name!r} with value {row[name]!r:.80}",
            context=f"{path}:{line}: {name}",
            note="Known keys here: " + ", ".join(COLUMNS),
            hint="Correct or remove the key.",
        )


def _build_row_error(
    path: Path, lines: list[int], rows: list[dict[str, Any]], text: str
) -> SettingsError:
    message, _, location = text.partition(" - at ")
    match = re.match(r"`\$\[(\d+)\](?:\.(\w+))?", location)
    index = int(match.group(1)) if match else 0
    column = match.group(2) if match else None
    value = rows[index].get(column) if column else rows[index]
    return SettingsError(
        f"{message}; got {value!r:.200}",
        context=f"{path}:{lines[index]}" + (f": {column}" if column else ""),
        note=f"Allowed: {describe_hint(find_hint(Adapter, column))}" if column else "",
        hint=REFERENCE_HINT,
    )
