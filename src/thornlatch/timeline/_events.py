"""Events as written by processes, and the files that contain them."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from thornlatch.exceptions import InvalidInput


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """An event as logged by a process; see `thornlatch.core.Event`.

    Parameters
    ----------
    event : str
        Name of the event.
    host : str
        Process that wrote the event.
    sequence : int
        Number of the event within the process.
    wall : float
        Seconds since the Unix epoch by the clock of the process.
    monotonic : float
        Seconds by the monotonic clock of the process.
    request, attempt, organisation, target, key, epoch, offset, cause, detail
        As in `thornlatch.core.Event`.
    """

    event: str
    host: str
    sequence: int = 0
    wall: float = 0.0
    monotonic: float = 0.0
    request: str = ""
    attempt: int = 0
    organisation: str = ""
    target: str = ""
    key: str = ""
    epoch: int = -1
    offset: int = -1
    cause: str = ""
    detail: dict[str, Any] = field(default_factory=dict)

    def get_number(self, name: str) -> float:
        """Return a number from `detail`; 0 if it is missing or not a number."""
        value = self.detail.get(name)
        return value if isinstance(value, int | float) else 0


@dataclass(frozen=True)
class EventFilter:
    """Selects events by their fields; an empty value matches all events.

    Parameters
    ----------
    request, organisation, target, key : str
    """

    request: str = ""
    organisation: str = ""
    target: str = ""
    key: str = ""

    def accepts(self, event: LoggedEvent) -> bool:
        """Return whether `event` matches all values of the filter."""
        return (
            (not self.request or event.request == self.request)
            and (not self.organisation or event.organisation == self.organisation)
            and (not self.target or event.target == self.target)
            and (not self.key or event.key == self.key)
        )


def read_events(files: Iterable[Path]) -> list[Iterator[LoggedEvent]]:
    """Open the logs of several processes.

    Lines that are not events are skipped, such as other log lines or the truncated last
    line of a process that crashed.

    Parameters
    ----------
    files : iterable of Path

    Returns
    -------
    list of iterator of LoggedEvent
        One iterator per file, which reads the file lazily.

    Raises
    ------
    InvalidInput
        If a file can't be read.
    """
    return [_read_file(path) for path in _check_readable(files)]


def encode_event(event: LoggedEvent) -> bytes:
    """Return the JSON line of an event without a newline."""
    return msgspec.json.encode(event)


def _check_readable(files: Iterable[Path]) -> list[Path]:
    paths = list(files)
    for path in paths:
        try:
            path.open("rb").close()
        except OSError as error:
            raise InvalidInput(
                f"can't read events: {error.strerror}",
                context=str(path),
                hint="Pass the JSON-lines logs of the daemons.",
            ) from error
    return paths


def _read_file(path: Path) -> Iterator[LoggedEvent]:
    decode = msgspec.json.Decoder(LoggedEvent).decode
    with path.open("rb") as lines:
        for line in lines:
            try:
                yield decode(line)
            except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
                continue
