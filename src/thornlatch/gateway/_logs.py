"""Logging as JSON lines, with a bounded rate and without blocking the caller."""

import json
import logging
import os
import sys
import threading
import time
from collections import Counter, deque
from dataclasses import dataclass
from typing import Annotated, Any

import logbook
from msgspec import Meta

logger = logbook.Logger("thornlatch.gateway")

# These events may use only a part of the rate, so that lines that explain a failure are
# the last to be dropped.
ROUTINE_EVENTS = frozenset({"request.answered", "request.sent", "adapter.requested"})


@dataclass(frozen=True)
class LogSettings:
    """Bounds on the volume of the log.

    Parameters
    ----------
    lines_per_s : float
        Average number of lines a second; further lines are dropped and counted.
    routine_ratio : float
        Part of this rate that lines of successful requests may use.
    queue_lines : int
        Lines that are queued for a slow reader before further ones are dropped.
    """

    lines_per_s: Annotated[float, Meta(gt=0)] = 300.0
    routine_ratio: Annotated[float, Meta(gt=0, le=1)] = 0.6
    queue_lines: Annotated[int, Meta(ge=10)] = 2000


class JsonLineHandler(logbook.Handler):
    """Writes each log record as one JSON object a line, from its own thread.

    Parameters
    ----------
    settings : LogSettings
    host : str
        Host id, which is added to every line.
    descriptor : int or None
        File descriptor to write to; standard output if None.
    """

    def __init__(
        self, settings: LogSettings, *, host: str, descriptor: int | None = None
    ) -> None:
        super().__init__(level="INFO")
        self.settings = settings
        self.host = host
        self.descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self.lines: deque[bytes] = deque()
        self.left_out: Counter[str] = Counter()
        self.tokens = settings.lines_per_s
        self.refilled_at = time.monotonic()
        self.condition = threading.Condition()
        self.is_closing = False
        # Set once `run` has ended.
        self.is_written = threading.Event()

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a record, or drop and count it.

        Parameters
        ----------
        record : logbook.LogRecord
        """
        event = record.message
        with self.condition:
            if not self._admit(event):
                self.left_out[event] += 1
                return
            self.lines.append(self._format(event, record))
            self.condition.notify()

    def run(self) -> None:
        """Write queued lines until closed.

        Only this thread blocks if the reader of the log stops reading.
        """
        try:
            self._write_lines()
        finally:
            self.is_written.set()

    def _write_lines(self) -> None:
        while True:
            with self.condition:
                while not self.lines and not self.is_closing:
                    self.condition.wait()
                if not self.lines:
                    return
                data = b"".join(self.lines)
                self.lines.clear()
                if self.left_out:
                    data += self._format_left_out()
            try:
                while data:
                    data = data[os.write(self.descriptor, data) :]
            except OSError:
                # The reader has closed the pipe, so this can't be logged either.
                return

    def close(self, *, timeout_s: float = 0.0) -> bool:
        """End `run` after it has written the queued lines.

        Parameters
        ----------
        timeout_s : float
            Seconds to wait for it; a reader that stopped reading may take forever.

        Returns
        -------
        bool
            Whether it has written all lines.
        """
        with self.condition:
            self.is_closing = True
            self.condition.notify()
        return self.is_written.wait(timeout_s)

    def _admit(self, event: str) -> bool:
        settings = self.settings
        now = time.monotonic()
        self.tokens = min(
            settings.lines_per_s,
            self.tokens + (now - self.refilled_at) * settings.lines_per_s,
        )
        self.refilled_at = now
        reserve = 1.0
        if event in ROUTINE_EVENTS:
            reserve = settings.lines_per_s * (1 - settings.routine_ratio)
        if self.tokens < reserve or len(self.lines) >= settings.queue_lines:
            return False
        self.tokens -= 1
        return True

    def _format(self, event: str, record: logbook.LogRecord) -> bytes:
        fields: dict[str, Any] = {
            "event": event,
            "host": self.host,
            "level": logbook.get_level_name(record.level).lower(),
            "wall": round(time.time(), 4),
        }
        fields.update(record.extra)
        if record.exc_info:
            fields["traceback"] = record.formatted_exception
        return json.dumps(fields, default=str).encode() + b"\n"

    def _format_left_out(self) -> bytes:
        fields = {
            "event": "log.lines_left_out",
            "host": self.host,
            "wall": round(time.time(), 4),
            "counts": dict(self.left_out),
        }
        self.left_out.clear()
        return json.dumps(fields).encode() + b"\n"


class _LibraryHandler(logging.Handler):
    """Forwards a library's log records under one event name."""

    def emit(self, record: logging.LogRecord) -> None:
        logger.warning(
            "host.library_message",
            extra={"library": record.name, "text": self.format(record)},
        )


def redirect_library_logs(name: str) -> None:
    """Forward the log records of a library to the host's log.

    Parameters
    ----------
    name : str
        Name of its logger.
    """
    logging.getLogger(name).addHandler(_LibraryHandler())
    # waitress warns of requests that wait for a thread, but the dispatcher starts one
    # for each.
    logging.getLogger(f"{name}.queue").setLevel(logging.ERROR)
