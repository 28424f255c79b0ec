"""Reads events from the logs of gateway hosts."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from thornlatch.exceptions import InvalidInput

MAX_TIME_S = 1e12  # of the wall clock; nan is not below it


@dataclass(frozen=True)
class LogLine:
    """An event in the log of a host.

    Parameters
    ----------
    event : str
    host : str
        Host id; it changes with a restart.
    wall : float
        Seconds since the Unix epoch by the clock of the host.
    fields : dict
        Further fields of the line.
    """

    event: str
    host: str
    wall: float
    fields: dict[str, Any] = field(default_factory=dict)

    def get(self, name: str, default: Any = "") -> Any:
        """Return a field.

        Parameters
        ----------
        name : str
        default : object

        Returns
        -------
        object
        """
        return self.fields.get(name, default)


def read_lines(paths: Iterable[Path]) -> list[LogLine]:
    """Read events from logs; lines that aren't events are skipped.

    Parameters
    ----------
    paths : iterable of Path

    Returns
    -------
    list of LogLine
        Sorted by the time of the hosts' clocks.

    Raises
    ------
    InvalidInput
        If a file can't be read.
    """
    lines: list[LogLine] = []
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                lines.extend(_iter_events(file))
        except OSError as error:
            raise InvalidInput(
                f"can't read the log: {error.strerror}", context=str(path)
            ) from error
    return sorted(lines, key=lambda line: line.wall)


def _iter_events(file: Iterable[str]) -> Iterator[LogLine]:
    for text in file:
        # Log collectors may prefix the line with a time or a host name.
        start = text.find("{")
        if start < 0:
            continue
        try:
            value = json.loads(text[start:])
        except ValueError:
            continue
        if not isinstance(value, dict):
            continue
        event, host = value.pop("event", None), value.pop("host", None)
        wall = value.pop("wall", None)
        is_event = isinstance(event, str) and isinstance(host, str)
        if is_event and _is_time(wall):
            value.pop("level", None)
            yield LogLine(event, host, float(wall), value)


def _is_time(value: Any) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    # Integers may be too large for a float.
    return is_number and abs(value) < MAX_TIME_S
