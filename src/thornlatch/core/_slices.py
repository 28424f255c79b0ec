"""The interface between the daemon and its coordinated slices."""

from functools import singledispatchmethod
from typing import Any, Protocol

from thornlatch.core._actions import Action


class Slice(Protocol):
    """A state machine without I/O, driven by a single control thread.

    Unknown messages and records are ignored, so the daemon may pass all of them to
    every slice.
    """

    def handle(self, message: Any, *, sender: str, now: float) -> list[Action]:
        """Handle a message from a peer or from this host itself."""

    def handles(self, kind: type) -> bool:
        """Return whether `handle` acts on messages of a class."""

    def apply_record(self, offset: int, record: Any, *, now: float) -> list[Action]:
        """Apply a log record; each comes once, in order of the offsets."""

    def tick(self, *, now: float) -> list[Action]:
        """Perform due work; called at `next_due` and at least every 200 ms."""

    def next_due(self, *, now: float) -> float:
        """Return the time, in seconds, at which `tick` next has work to do.

        It is queried after every input. For a time in the past, the tick follows
        50 ms after the previous one; for infinity, after the longest interval.
        """


def has_handler(cls: type, method: str, kind: type) -> bool:
    """Return whether a `singledispatchmethod` has an implementation for a class.

    Parameters
    ----------
    cls : type
        Class that defines the method.
    method : str
        Name of the `singledispatchmethod`.
    kind : type
        Class of the argument.

    Returns
    -------
    bool
    """
    descriptor: singledispatchmethod[Any] = vars(cls)[method]
    dispatch = descriptor.dispatcher.dispatch
    return dispatch(kind) is not dispatch(object)
