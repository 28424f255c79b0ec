"""Text and HTML output of a timeline."""

import html
from collections.abc import Iterable, Iterator
from datetime import UTC, datetime

from thornlatch.timeline._events import LoggedEvent

_PAGE_BEGIN = """<!doctype html>
<meta charset="utf-8">
<title>thornlatch timeline</title>
<style>
body { font-family: monospace; }
table { border-collapse: collapse; }
th, td { border-bottom: 1px solid #ccc; padding: 2px 8px; text-align: left; }
</style>
<table>
<tr><th>time</th><th>host</th><th>event</th><th>fields</th></tr>
"""
_PAGE_END = "</table>\n"


def render_text(events: Iterable[LoggedEvent]) -> Iterator[str]:
    """Yield one line per event without a newline."""
    for event in events:
        fields = _format_fields(event)
        line = f"{_format_time(event.wall)}  {event.host:<12}  {event.event:<28}"
        yield f"{line}  {fields}".rstrip()


def render_html(events: Iterable[LoggedEvent]) -> Iterator[str]:
    """Yield an HTML page in parts, with a table row per event."""
    yield _PAGE_BEGIN
    for event in events:
        cells = (
            _format_time(event.wall),
            event.host,
            event.event,
            _format_fields(event),
        )
        row = "".join(f"<td>{html.escape(cell)}</td>" for cell in cells)
        yield f"<tr>{row}</tr>\n"
    yield _PAGE_END


def _format_time(wall: float) -> str:
    try:
        time = datetime.fromtimestamp(wall, UTC)
    except (OverflowError, ValueError, OSError):
        return repr(wall)
    return time.strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]


def _format_fields(event: LoggedEvent) -> str:
    fields: list[tuple[str, object]] = [
        ("request", event.request),
        ("attempt", event.attempt or ""),
        ("organisation", event.organisation),
        ("target", event.target),
        ("key", event.key),
        ("epoch", event.epoch if event.epoch >= 0 else ""),
        ("offset", event.offset if event.offset >= 0 else ""),
        ("cause", event.cause),
        *sorted(event.detail.items()),
    ]
    return " ".join(f"{name}={_quote(value)}" for name, value in fields if value != "")


def _quote(value: object) -> str:
    text = str(value)
    return text if text.isprintable() and " " not in text else repr(text)
