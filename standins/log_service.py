"""Stand-in of the platform's append-only log service, with faults."""

import re
import threading
import time
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

from standins._http import Environ, Response, build_app, build_parser, run_main, serve

MAX_RECORDS_PER_READ = 1000
# Each of 64 daemons keeps four reads open.
THREADS = 300


@dataclass(frozen=True)
class LogFaults:
    """Faults that operators of the stand-in switch on.

    Parameters
    ----------
    is_down : bool
        Whether every call gets 503.
    delay_s : float
        Seconds by which every call is delayed.
    lose_replies : int
        Appends whose reply is lost after the record was kept.
    refused_clients : tuple of str
        Values of the header ``X-Client`` that get 503, as if cut off.
    """

    is_down: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0
    refused_clients: tuple[str, ...] = ()


class LogService:
    """Streams of records with offsets, kept in memory.

    Parameters
    ----------
    appends_per_s : float
        Appends accepted per second; further ones wait their turn.
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
        refusal = self._refuse(environ)
        if refusal:
            return refusal
        stream = _parse_stream(environ)
        records = value.get("records") if isinstance(value, dict) else None
        if stream is None or not isinstance(records, list) or not records:
            return Response({"error": "records must be a non-empty list"}, 400)
        self._wait_turn()
        with self.condition:
            kept = self.streams.setdefault(stream, [])
            first = self.first_offsets.get(stream, 0) + len(kept)
            for index, record in enumerate(records):
                entry = {"offset": first + index, "time": time.time(), "value": record}
                kept.append(entry)
            self.append_count += 1
            self.condition.notify_all()
            is_reply_lost = self.faults.lose_replies > 0
            if is_reply_lost:
                lost = self.faults.lose_replies - 1
                self.faults = LogFaults(**{**vars(self.faults), "lose_replies": lost})
        if is_reply_lost:
            return Response({"error": "gateway timeout"}, 504)
        return Response({"first_offset": first})

    def read(self, environ: Environ, _value: Any) -> Response:
        """Read records from an offset on, waiting for the first if asked to."""
        refusal = self._refuse(environ)
        if refusal:
            return refusal
        stream = _parse_stream(environ)
        query = parse_qs(environ.get("QUERY_STRING", ""))
        try:
            offset = int(query.get("offset", ["0"])[0])
            limit = min(int(query.get("limit", ["1000"])[0]), MAX_RECORDS_PER_READ)
            wait_s = min(float(query.get("wait_s", ["0"])[0]), 30.0)
        except ValueError:
            return Response({"error": "offset, limit and wait_s are numbers"}, 400)
        if stream is None or offset < 0:
            return Response({"error": "no such stream"}, 404)
        deadline = time.monotonic() + wait_s
        with self.condition:
            while True:
                first = self.first_offsets.get(stream, 0)
                kept = self.streams.get(stream, [])
                remaining = deadline - time.monotonic()
                is_waiting = offset >= first + len(kept) and remaining > 0
                if not is_waiting or self.faults.is_down:
                    break
                self.condition.wait(remaining)
            if self.faults.is_down:
                return Response({"error": "outage"}, 503)
            if offset < first:
                return Response({"error": "trimmed", "first_offset": first}, 410)
            records = kept[offset - first : offset - first + limit]
        next_offset = offset + len(records)
        page = {"records": records, "next_offset": next_offset, "first_offset": first}
        return Response(page)

    def trim(self, environ: Environ, value: Any) -> Response:
        """Drop records before an offset, as retention does."""
        stream = environ["PATH_INFO"].removeprefix("/trim/")
        with self.condition:
            first = self.first_offsets.get(stream, 0)
            count = max(0, value["before"] - first)
            del self.streams.get(stream, [])[:count]
            self.first_offsets[stream] = first + count
        return Response({"first_offset": first + count})

    def set_faults(self, _environ: Environ, value: Any) -> Response:
        """Replace the faults."""
        refused = tuple(value.pop("refused_clients", ()))
        with self.condition:
            self.faults = LogFaults(refused_clients=refused, **value)
            self.condition.notify_all()
        return Response({"ok": True})

    def _refuse(self, environ: Environ) -> Response | None:
        faults = self.faults
        if faults.delay_s:
            time.sleep(faults.delay_s)
        if faults.is_down or environ.get("HTTP_X_CLIENT") in faults.refused_clients:
            return Response({"error": "outage"}, 503)
        return None

    def _wait_turn(self) -> None:
        with self.condition:
            now = time.monotonic()
            turn = max(now, self.next_append_at)
            self.next_append_at = turn + self.append_interval_s
        if turn > now:
            time.sleep(turn - now)


def _parse_stream(environ: Environ) -> str | None:
    match = re.fullmatch(r"/streams/([\w.-]{1,100})/records", environ["PATH_INFO"])
    return match.group(1) if match else None


def main(arguments: list[str]) -> int:
    """Run the stand-in.

    Parameters
    ----------
    arguments : list of str

    Returns
    -------
    int
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
