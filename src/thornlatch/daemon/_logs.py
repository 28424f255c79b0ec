"""The daemon's log: JSON lines on standard error, including the timeline's events."""

import itertools
import json
import sys
import threading
import time
from typing import Any, TextIO

import logbook

from thornlatch.core import Event

_EVENT_DEFAULTS = {
    "request": "",
    "attempt": 0,
    "organisation": "",
    "target": "",
    "key": "",
}


class JsonLineHandler(logbook.StreamHandler):
    """Writes each log record as a JSON object on a line of its own.

    Parameters
    ----------
    stream : TextIO
    host : str
        Host id, written with every record.
    level : str
        Lowest level that is written.
    """

    def __init__(self, stream: TextIO, *, host: str, level: str = "INFO") -> None:
        super().__init__(stream, level=level)
        self.host = host
        self.sequence = itertools.count(1)
        self.sequence_lock = threading.Lock()

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record.

        Parameters
        ----------
        record : logbook.LogRecord
        """
        fields: dict[str, Any] = {
            "event": record.message,
            "host": self.host,
            "level": logbook.get_level_name(record.level).lower(),
            "logger": record.channel,
            "wall": time.time(),
            "monotonic": time.monotonic(),
        }
        fields.update(record.extra)
        if record.exc_info:
            fields["traceback"] = record.formatted_exception
        with self.sequence_lock:
            fields["sequence"] = next(self.sequence)
            self.stream.write(json.dumps(fields, default=str) + "\n")
            self.stream.flush()


class TimelineWriter:
    """Writes events to the timeline.

    Parameters
    ----------
    name : str
        Channel of the log.
    """

    def __init__(self, name: str = "thornlatch.timeline") -> None:
        self.logger = logbook.Logger(name)

    def write(self, event: Event) -> None:
        """Write one event; fields that have their default are left out.

        Parameters
        ----------
        event : Event
        """
        fields: dict[str, Any] = {
            name: value
            for name in _EVENT_DEFAULTS
            if (value := getattr(event, name)) != _EVENT_DEFAULTS[name]
        }
        if event.epoch >= 0:
            fields["epoch"] = event.epoch
        if event.offset >= 0:
            fields["offset"] = event.offset
        if event.cause:
            fields["cause"] = event.cause
        if event.detail:
            fields["detail"] = event.detail
        self.logger.info(event.name, extra=fields)


def build_handler(host: str, *, level: str) -> JsonLineHandler:
    """Build the handler that writes a daemon's log to standard error.

    Parameters
    ----------
    host : str
    level : str

    Returns
    -------
    JsonLineHandler
    """
    return JsonLineHandler(sys.stderr, host=host, level=level)
