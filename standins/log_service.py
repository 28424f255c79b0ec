"""Stand-in for the platform's append-only log service, with fault injection."""

import re
import threading
import time
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

from standins._http import Environ, Response, build_app, build_parser, run_main, serve

MAX_RECORDS_PER_READ = 1000
# Enough for 64 daemons, each of which keeps four reads open.
THREADS = 300


@dataclass(frozen=True)
class LogFaults:
    """Faults that the stand-in injects.

    Parameters
    ----------
    is_down : bool
        Whether every append and read gets 503.
    delay_s : float
        Seconds by which every append and read is delayed.
    lose_replies : int
        Number of appends that get 504 although their records were stored.
    refused_clients : tuple of str
        Values of the header ``X-Client`` that get 503, as in a network partition.
    """

    is_down: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0
    refused_clients: tuple[str, ...] = ()


class LogService:
    """Streams of records with offsets, stored in memory.

    Parameters
    ----------
    appends_per_s : float
        Appends accepted per second; further ones are delayed.
    """

    def __init__(self, appends_per_s: float = 400.0) -> None:
        self.condition = threading.Condition()
        self.streams: dict[str, list[dict[str, Any]]] = {}
        self.first_offsets: dict[str, int] = {}
        self.faults = LogFaults()
        self.append_interval_s = 1.0 / appends_per_s
        self.next_append_at = 0.0
        self.append_count = 0
        self.app = build_app(
            {
                ("POST", "/streams/"): self.append,
                ("GET", "/streams/"): self.read,
                ("POST", "/trim/"): self.trim,
                ("POST", "/faults"): self.set_faults,
                ("GET", "/healthz"): lambda *_: Response(
                    {"appends": self.append_count}
                ),
            }
        )

    def append(self, environ: Environ, value: Any) -> Response:
        """Append records to a stream."""
        refusal = self._inject_fault(environ)
        if refusal:
            return refusal
        stream = _parse_stream(environ)
        records = value.get("records") if isinstance(value, dict) else None
        if stream is None or not isinstance(records, list) or not records:
            return Response({"error": "records must be a non-empty list"}, 400)
        self._throttle_append()
        with self.condition:
            entries = self.streams.setdefault(stream, [])
            first = self.first_offsets.get(stream, 0) + len(entries)
            for index, record in enumerate(records):
                entry = {"offset": first + index, "time": time.time(), "value": record}
                entries.append(entry)
            self.append_count += 1
            self.condition.notify_all()
            is_reply_lost = self.faults.lose_replies > 0
            if is_reply_lost:
                remaining = self.faults.lose_replies - 1
                self.faults = LogFaults(
                    **{**vars(self.faults), "lose_replies": remaining}
                )
        if is_reply_lost:
            return Response({"error": "gateway timeout"}, 504)
        return Response({"first_offset": first})

    def read(self, environ: Environ, _value: Any) -> Response:
        """Read records from an offset on; wait up to `wait_s` if there are none."""
        refusal = self._inject_fault(environ)
        if refusal:
            return refusal
        stream = _parse_stream(environ)
        query = parse_qs(environ.get("QUERY_STRING", ""))
        try:
            offset = int(query.get("offset", ["0"])[0])
            limit = min(int(query.get("limit", ["1000"])[0]), MAX_RECORDS_PER_READ)
            wait_s = min(float(query.get("wait_s", ["0"])[0]), 30.0)
        except ValueError:
            return Response({"error": "offset, limit and wait_s must be numbers"}, 400)
        if stream is None or offset < 0:
            return Response({"error": "no such stream"}, 404)
        deadline = time.monotonic() + wait_s
        with self.condition:
            while True:
                first = self.first_offsets.get(stream, 0)
                entries = self.streams.get(stream, [])
                remaining_s = deadline - time.monotonic()
                is_waiting = offset >= first + len(entries) and remaining_s > 0
                if not is_waiting or self.faults.is_down:
                    break
                self.condition.wait(remaining_s)
            if self.faults.is_down:
                return Response({"error": "outage"}, 503)
            if offset < first:
                return Response({"error": "trimmed", "first_offset": first}, 410)
            records = entries[offset - first : offset - first + limit]
        next_offset = offset + len(records)
        page = {"records": records, "next_offset": next_offset, "first_offset": first}
        return Response(page)

    def trim(self, environ: Environ, value: Any) -> Response:
        """Drop the records before an offset, as the log's retention does."""
        stream = environ["PATH_INFO"].removeprefix("/trim/")
        with self.condition:
            first = self.first_offsets.get(stream, 0)
            dropped = max(0, value["before"] - first)
            del self.streams.get(stream, [])[:dropped]
            self.first_offsets[stream] = first + dropped
        return Response({"first_offset": first + dropped})

    def set_faults(self, _environ: Environ, value: Any) -> Response:
        """Replace the injected faults."""
        refused = tuple(value.pop("refused_clients", ()))
        with self.condition:
            self.faults = LogFaults(refused_clients=refused, **value)
            self.condition.notify_all()
        return Response({"ok": True})

    def _inject_fault(self, environ: Environ) -> Response | None:
        faults = self.faults
        if faults.delay_s:
            time.sleep(faults.delay_s)
        if faults.is_down or environ.get("HTTP_X_CLIENT") in faults.refused_clients:
            return Response({"error": "outage"}, 503)
        return None

    def _throttle_append(self) -> None:
        with self.condition:
            now = time.monotonic()
            append_at = max(now, self.next_append_at)
            self.next_append_at = append_at + self.append_interval_s
        if append_at > now:
            time.sleep(append_at - now)


def _parse_stream(environ: Environ) -> str | None:
    match = re.fullmatch(r"/streams/([\w.-]{1,100})/records", environ["PATH_INFO"])
    return match.group(1) if match else None


def main(arguments: list[str]) -> int:
    """Run the stand-in until SIGTERM.

    Parameters
    ----------
    arguments : list of str
        Command-line arguments.

    Returns
    -------
    int
        Exit status.
    """
    parser = build_parser(__doc__)
    parser.add_argument("--appends-per-s", type=float, default=400.0)
    options = parser.parse_args(arguments)
    service = LogService(options.appends_per_s)
    return serve(
        service.app, options.address, name=options.name or "log", threads=THREADS
    )


if __name__ == "__main__":
    run_main(main)
