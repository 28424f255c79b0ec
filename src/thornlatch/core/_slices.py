"""The interface that every coordinated slice offers to the daemon."""

from typing import Any, Protocol

from thornlatch.core._actions import Action


class Slice(Protocol):
    """A pure state machine, driven by one control thread.

    Unknown messages and records are ignored, so that each slice may be offered all.
    """

    def handle(self, message: Any, *, sender: str, now: float) -> list[Action]:
        """Handle a message from a peer or from this host itself."""

    def apply_record(self, offset: int, record: Any, *, now: float) -> list[Action]:
        """Apply a record of a log stream, in offset order, each once."""

    def tick(self, *, now: float) -> list[Action]:
        """Act on the passage of time; called every 50 ms or more often."""
