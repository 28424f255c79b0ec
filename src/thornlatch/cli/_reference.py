"""Texts of the reference pages, made from the classes."""

import dataclasses
import inspect
import re
from collections.abc import Iterator
from typing import Any, get_args, get_origin, get_type_hints

from thornlatch.daemon import DaemonSettings
from thornlatch.exceptions import ANSWERS
from thornlatch.gateway import GatewaySettings
from thornlatch.settings import InventoryFile, describe_hint

SETTINGS_INTRODUCTION = """\
# Settings reference

Written by `thornlatch docs` from the settings classes; edit those.

`thornlatch serve SETTINGS.toml` reads one TOML file with a table per part. An unknown
key, a wrong type or a value out of range is an error that names file, key, value and
what is allowed, and nothing starts.
"""
GATEWAY_INTRODUCTION = """\
# Settings of gateway hosts

Written by `thornlatch docs` from the settings classes; edit those.

The adapter (`platform/adapter/_node_file.py`) builds them from the platform's settings
file, of which it takes addresses, bounds and the width of the link. What isn't in that
file has the default below; a change of a default is a change of the program.
"""
INVENTORY_INTRODUCTION = """\
# Inventory

`thornlatch config publish FILE.toml` reads one TOML file with an array of tables per
kind.
"""
ERRORS_INTRODUCTION = """\
# Errors reference

Written by `thornlatch docs` from the table of error kinds; edit that.

The code stands in the body of the answer. "Execution" says what the caller may assume:
`not-run` means that the request surely wasn't run; `outcome-unknown` means that it may
have been run. An error may carry a more precise execution than the table.
"""


def build_settings_page() -> str:
    """Return the settings reference.

    Returns
    -------
    str
        Markdown.
    """
    lines = [SETTINGS_INTRODUCTION]
    for name, hint in _iter_tables(DaemonSettings):
        lines += _describe_table(f"`[{name}]`", hint)
    lines.append(INVENTORY_INTRODUCTION)
    lines += _describe_table("Top level", InventoryFile)
    for name, hint in get_type_hints(InventoryFile).items():
        if get_origin(hint) is tuple:
            lines += _describe_table(f"`[[{name}]]`", get_args(hint)[0])
    return "\n".join(lines).rstrip() + "\n"


def build_gateway_page() -> str:
    """Return the reference of a gateway host's settings.

    Returns
    -------
    str
        Markdown.
    """
    lines = [GATEWAY_INTRODUCTION]
    for name, hint in _iter_tables(GatewaySettings):
        lines += _describe_table(f"`{name}`", hint)
    return "\n".join(lines).rstrip() + "\n"


def build_errors_page() -> str:
    """Return the errors reference.

    Returns
    -------
    str
        Markdown.
    """
    lines = [
        ERRORS_INTRODUCTION,
        "| code | HTTP status | execution | retry | advice |",
        "|---|---|---|---|---|",
    ]
    for kind, answer in ANSWERS.items():
        retry = "yes" if answer.retry else "no"
        lines.append(
            f"| `{kind.value}` | {answer.status} | `{answer.execution.value}` | "
            f"{retry} | {answer.hint} |"
        )
    return "\n".join(lines) + "\n"


def _iter_tables(cls: Any, prefix: str = "") -> Iterator[tuple[str, Any]]:
    for name, hint in get_type_hints(cls).items():
        if dataclasses.is_dataclass(hint):
            yield prefix + name, hint
            yield from _iter_tables(hint, f"{prefix}{name}.")


def _describe_table(title: str, cls: Any) -> list[str]:
    summary, notes = parse_docstring(cls)
    hints = get_type_hints(cls, include_extras=True)
    lines = [
        f"## {title}\n",
        summary + "\n",
        "| key | allowed | default | meaning |",
        "|---|---|---|---|",
    ]
    for field in dataclasses.fields(cls):
        allowed = describe_hint(hints[field.name]).replace("|", "\\|")
        note = notes.get(field.name, "")
        cells = f"`{field.name}`", allowed, _describe_default(field), note
        lines.append("| " + " | ".join(cells) + " |")
    return [*lines, ""]


def _describe_default(field: dataclasses.Field[Any]) -> str:
    if field.default is dataclasses.MISSING:
        is_required = field.default_factory is dataclasses.MISSING
        return "required" if is_required else "see its keys"
    if field.default == ():
        return "none"
    if isinstance(field.default, bool):
        return f"`{str(field.default).lower()}`"
    if isinstance(field.default, str):
        return f'`"{field.default}"`'
    return f"`{field.default}`"


def parse_docstring(cls: Any) -> tuple[str, dict[str, str]]:
    """Return the summary and the parameters' descriptions of a numpydoc docstring.

    Parameters
    ----------
    cls : type

    Returns
    -------
    summary : str
    notes : dict
        Description by parameter.
    """
    text = inspect.getdoc(cls) or ""
    summary, _, rest = text.partition("\n\n")
    _, _, parameters = rest.partition("Parameters\n----------\n")
    notes: dict[str, str] = {}
    for names, note in _iter_parameters(parameters):
        notes.update(dict.fromkeys(names, note))
    return " ".join(summary.split()), notes


def _iter_parameters(text: str) -> Iterator[tuple[list[str], str]]:
    pattern = re.compile(r"^(\w[\w, ]*) : .*\n((?:[ ]+.*\n?|\n)*)", re.MULTILINE)
    for match in pattern.finditer(text + "\n"):
        note = " ".join(match.group(2).split()).replace("``", "`")
        yield match.group(1).split(", "), note
