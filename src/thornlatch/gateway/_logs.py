"""JSON lines on standard output, bounded in number and never waited for."""

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

# What explains a failure is left out last.
ROUTINE = frozenset({"request.answered", "request.sent", "adapter.requested"})


@dataclass(frozen=True)
class LogSettings:
    """Volume of the log.

    Parameters
    ----------
    lines_per_s : float
        Lines a second on average; lines beyond are counted and left out.
    routine_ratio : float
        Part of the allowance that lines of requests that went well may use.
    queue_lines : int
        Lines that wait for a slow reader before further ones are left out.
    """

    lines_per_s: Annotated[float, Meta(gt=0)] = 300.0
    routine_ratio: Annotated[float, Meta(gt=0, le=1)] = 0.6
    queue_lines: Annotated[int, Meta(ge=10)] = 2000


class JsonLineHandler(logbook.Handler):
    """Writes each log record as one JSON object a line, from a thread of its own.

    Parameters
    ----------
    settings : LogSettings
    host : str
        Host id, a field of every line.
    descriptor : int
        File descriptor to write to.
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
        self.filled_at = time.monotonic()
        self.wakes = threading.Condition()
        self.is_closing = False

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a record, or count it as left out.

        Parameters
        ----------
        record : logbook.LogRecord
        """
        event = record.message
        with self.wakes:
            if not self._admit(event):
                self.left_out[event] += 1
                return
            self.lines.append(self._format(event, record))
            self.wakes.notify()

    def run(self) -> None:
        """Write queued lines until closed; a reader that stops delays nobody else."""
        while True:
            with self.wakes:
                while not self.lines and not self.is_closing:
                    self.wakes.wait()
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
                # Nobody reads the log any more; there is nowhere to say so.
                return

    def close(self) -> None:
        """Write what is queued and end `run`."""
        with self.wakes:
            self.is_closing = True
            self.wakes.notify()

    def _admit(self, event: str) -> bool:
        settings = self.settings
        now = time.monotonic()
        self.tokens = min(
            settings.lines_per_s,
            self.tokens + (now - self.filled_at) * settings.lines_per_s,
        )
        self.filled_at = now
        reserve = 1.0
        if event in ROUTINE:
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
    """Passes a library's records on under one event name."""

    def emit(self, record: logging.LogRecord) -> None:
        logger.warning(
            "host.library_message",
            extra={"library": record.name, "text": self.format(record)},
        )


def redirect_library_logs(name: str) -> None:
    """Send what a library logs to the host's log.

    Parameters
    ----------
    name : str
        Of its logger.
    """
    logging.getLogger(name).addHandler(_LibraryHandler())
    # It counts requests that wait for a thread; the dispatcher starts one for each.
    logging.getLogger(f"{name}.queue").setLevel(logging.ERROR)
