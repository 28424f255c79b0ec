"""The daemon's log: JSON lines on standard error, time line events included."""

import itertools
import json
import sys
import threading
import time
from typing import Any, TextIO

import logbook

from thornlatch.core import Event

_EMPTY = {"request": "", "attempt": 0, "organisation": "", "target": "", "key": ""}


class JsonHandler(logbook.StreamHandler):
    """Writes each log record as one JSON object a line.

    Parameters
    ----------
    stream : TextIO
    host : str
        Host id, a field of every line.
    level : str
    """

    def __init__(self, stream: TextIO, *, host: str, level: str = "INFO") -> None:
        super().__init__(stream, level=level)
        self.host = host
        self.numbers = itertools.count(1)
        self.number_lock = threading.Lock()

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
        with self.number_lock:
            fields["sequence"] = next(self.numbers)
            self.stream.write(json.dumps(fields, default=str) + "\n")
            self.stream.flush()


class Journal:
    """Writes the events of the time line.

    Parameters
    ----------
    name : str
        Channel of the log.
    """

    def __init__(self, name: str = "thornlatch.timeline") -> None:
        self.logger = logbook.Logger(name)

    def write(self, event: Event) -> None:
        """Write one event; empty fields are left out.

        Parameters
        ----------
        event : Event
        """
        fields: dict[str, Any] = {
            name: value
            for name in _EMPTY
            if (value := getattr(event, name)) != _EMPTY[name]
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


def build_handler(host: str, *, level: str) -> JsonHandler:
    """Build the handler of a daemon's standard error.

    Parameters
    ----------
    host : str
    level : str

    Returns
    -------
    JsonHandler
    """
    return JsonHandler(sys.stderr, host=host, level=level)
