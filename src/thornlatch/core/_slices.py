"""The interface that every coordinated slice offers to the daemon."""

from functools import singledispatchmethod
from typing import Any, Protocol

from thornlatch.core._actions import Action


class Slice(Protocol):
    """A pure state machine, driven by one control thread.

    Unknown messages and records are ignored, so that each slice may be offered all.
    """

    def handle(self, message: Any, *, sender: str, now: float) -> list[Action]:
        """Handle a message from a peer or from this host itself."""

    def handles(self, kind: type) -> bool:
        """Return whether `handle` acts on messages of a class."""

    def apply_record(self, offset: int, record: Any, *, now: float) -> list[Action]:
        """Apply a record of a log stream, in offset order, each once."""

    def tick(self, *, now: float) -> list[Action]:
        """Act on the passage of time; called when due, and at least every 200 ms."""

    def next_due(self, *, now: float) -> float:
        """Return the time, in seconds, at which `tick` has something to do.

        Asked again after every input. A time that has passed asks for a tick at once,
        which comes 50 ms after the last; infinity leaves it to the longest interval.
        """


def has_handler(cls: type, method: str, kind: type) -> bool:
    """Return whether a `singledispatchmethod` has a function for a class.

    Parameters
    ----------
    cls : type
    method : str
    kind : type

    Returns
    -------
    bool
    """
    single: singledispatchmethod[Any] = vars(cls)[method]
    dispatch = single.dispatcher.dispatch
    return dispatch(kind) is not dispatch(object)
