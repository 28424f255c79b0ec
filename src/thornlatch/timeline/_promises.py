"""Promises that a history is checked against, and their violations."""

from dataclasses import dataclass
from enum import Enum

from thornlatch.timeline._events import LoggedEvent


class Promise(Enum):
    """Invariants of the fleet; the value describes the invariant to operators."""

    ALLOWANCE = "no organisation exceeds its rate and burst"
    ONE_OWNER = "orders on a lease key follow one owner after another"
    AT_MOST_ONCE = "a non-idempotent request runs at most once"
    PINNED = "an adapter in use is never evicted"
    RIGHT_VERSION = "each request runs on exactly its adapter and version"
    LEAVING_TARGET = "a leaving target gets no new work after a few seconds"
    NOT_RUN = 'a refusal saying "not run" is true'
    WHOLE_ANSWER = "a caller receives the whole answer to its own request"
    NEVER_REVERTS = "an accepted configuration never reverts"
    WITHDRAWN_KEY = "a withdrawn key stops working within seconds"
    PLANNED_STOP = "a planned stop cuts no request"
    OWN_ORGANISATION = "a request runs only for the organisation whose key came"
    NO_KEY = "no target sees a key"


@dataclass(frozen=True)
class Violation:
    """A violation of a promise.

    Parameters
    ----------
    promise : Promise
    subject : str
        Id of the request, or the organisation, lease key, target or host concerned.
    message : str
        Description of the violation.
    events : tuple of LoggedEvent
        Events that prove the violation, in order.
    """

    promise: Promise
    subject: str
    message: str
    events: tuple[LoggedEvent, ...]

    def format(self) -> str:
        """Return the violation as several lines for operators."""
        lines = [f"broken: {self.promise.value}", f"  {self.subject}: {self.message}"]
        lines += [
            f"  event: {event.host}:{event.sequence} {event.event}"
            for event in self.events
        ]
        return "\n".join(lines)


class Check:
    """Checks a history against one promise.

    Subclasses list the events that they handle in `event_names` and call `report` for
    each violation.
    """

    promise: Promise
    event_names: tuple[str, ...] = ()

    def __init__(self) -> None:
        self.violations: list[Violation] = []

    def observe(self, event: LoggedEvent) -> None:
        """Process the next event of the merged history."""

    def finish(self) -> None:
        """Check what can only be determined after the last event."""

    def report(self, subject: str, message: str, *events: LoggedEvent) -> None:
        """Record a violation."""
        self.violations.append(Violation(self.promise, subject, message, events))
