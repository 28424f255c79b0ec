"""Merges events of several processes in causal order and checks them."""

from thornlatch.timeline._events import (
    EventFilter,
    LoggedEvent,
    encode_event,
    read_events,
)
from thornlatch.timeline._history import check_history
from thornlatch.timeline._merge import merge_events
from thornlatch.timeline._names import EVENT_NAMES
from thornlatch.timeline._promises import Promise, Violation
from thornlatch.timeline._render import render_html, render_text

__all__ = [
    "EVENT_NAMES",
    "EventFilter",
    "LoggedEvent",
    "Promise",
    "Violation",
    "check_history",
    "encode_event",
    "merge_events",
    "read_events",
    "render_html",
    "render_text",
]
