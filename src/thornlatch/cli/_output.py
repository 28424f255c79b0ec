"""Output of commands: lines of text, or one JSON value for scripts."""

import sys
from typing import Any

import msgspec


def write_line(text: str) -> None:
    """Write a line to standard output.

    Parameters
    ----------
    text : str
    """
    sys.stdout.write(text + "\n")


def write_json(value: Any) -> None:
    """Write a value as one line of JSON to standard output.

    Parameters
    ----------
    value : object
        Data classes and built-in types.
    """
    sys.stdout.buffer.write(msgspec.json.encode(value) + b"\n")
    sys.stdout.flush()
