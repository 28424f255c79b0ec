"""Readable types and ranges of settings, for error messages and the reference."""

import dataclasses
import re
from collections.abc import Mapping
from types import NoneType, UnionType
from typing import Annotated, Any, Literal, get_args, get_origin, get_type_hints

from msgspec import Meta

_BOUNDS = (("gt", ">"), ("ge", ">="), ("lt", "<"), ("le", "<="))


def describe_hint(hint: Any) -> str:
    """Describe the type and range that an annotation allows.

    Parameters
    ----------
    hint : object
        Type annotation, with `msgspec.Meta` for ranges.

    Returns
    -------
    str
        For example ``float, > 0, <= 30``.
    """
    origin = get_origin(hint)
    if origin is Annotated:
        inner, *metadata = get_args(hint)
        metas = [item for item in metadata if isinstance(item, Meta)]
        return ", ".join([describe_hint(inner), *map(_describe_meta, metas)])
    if origin is Literal:
        return "one of " + ", ".join(f'"{value}"' for value in get_args(hint))
    if origin is tuple:
        inner = get_args(hint)[0]
        if dataclasses.is_dataclass(inner):
            return f"array of tables ({getattr(inner, '__name__', '')})"
        return f"array of {describe_hint(inner)}"
    if origin is Mapping:
        return f"table of {describe_hint(get_args(hint)[1])}"
    if origin is UnionType:
        return " or ".join(map(describe_hint, get_args(hint)))
    if hint is NoneType:
        return "nothing"
    if dataclasses.is_dataclass(hint):
        return "table"
    return getattr(hint, "__name__", str(hint))


def find_hint(cls: Any, path: str) -> Any:
    """Return the annotation of a key, or None if the key doesn't exist.

    Parameters
    ----------
    cls : type
        Settings class.
    path : str
        Key path, for example ``organisations[0].rate``.

    Returns
    -------
    object
    """
    hint = cls
    for part in re.findall(r"[^.\[\]]+|\[[^\]]*\]", path):
        while get_origin(hint) is Annotated:
            hint = get_args(hint)[0]
        if part.startswith("["):
            hint = (get_args(hint) or (None,))[0]
        elif dataclasses.is_dataclass(hint):
            hints = get_type_hints(hint, include_extras=True)
            hint = hints.get(part)
        else:
            return None
    return hint


def _describe_meta(meta: Meta) -> str:
    parts = []
    for name, operator in _BOUNDS:
        bound = getattr(meta, name)
        if bound is not None:
            parts.append(
                f"{operator} {bound:,}" if bound < 1e9 else f"{operator} {bound:g}"
            )
    if meta.min_length is not None or meta.max_length is not None:
        low, high = meta.min_length or 0, meta.max_length
        parts.append(f"{low} to {high} characters" if high else f"{low}+ characters")
    if meta.pattern is not None:
        parts.append(f"matching {meta.pattern}")
    return ", ".join(parts)
