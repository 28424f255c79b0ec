"""How long expelled hosts may still act, by this host's clock."""

from collections.abc import Iterator
from dataclasses import dataclass

from thornlatch.membership._settings import MembershipSettings
from thornlatch.membership._view import Departure, ViewFold, Wait


@dataclass(frozen=True)
class Waiting:
    """An expelled host that may still act until `until`.

    Parameters
    ----------
    departure : Departure
    until : float
        Seconds of this host's monotonic clock.
    """

    departure: Departure
    until: float


class Waits:
    """Expelled hosts, each with the end of its wait.

    Parameters
    ----------
    settings : MembershipSettings
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self.settings = settings
        self.waiting: dict[str, Waiting] = {}
        self.read_offset = -1

    def update(self, view: ViewFold, *, now: float) -> None:
        """Start and end waits as the view says; a wait starts at the reading.

        Parameters
        ----------
        view : ViewFold
        now : float
        """
        for departure in reversed(view.departures):
            if departure.offset <= self.read_offset:
                break
            if departure.wait is not Wait.NONE:
                until = now + self.get_duration(departure.wait)
                self.waiting[departure.host] = Waiting(departure, until)
        self.read_offset = view.offset
        for host in [h for h in self.waiting if h in view.removed]:
            del self.waiting[host]
        for host in [h for h, w in self.waiting.items() if self._is_over(w, now)]:
            del self.waiting[host]

    def get_duration(self, wait: Wait) -> float:
        """Return the seconds that a successor waits."""
        if wait is Wait.SLOW:
            return self.settings.slow_wait_s
        return self.settings.fast_wait_s if wait is Wait.FAST else 0.0

    def iter_waiting(self, *, now: float) -> Iterator[Departure]:
        """Iterate over the departures of hosts that may still act at `now`."""
        for waiting in tuple(self.waiting.values()):
            if now < waiting.until:
                yield waiting.departure

    def iter_elapsed(self, *, overdue_s: float, now: float) -> Iterator[str]:
        """Iterate over slowly expelled hosts whose wait ended `overdue_s` ago."""
        for host, waiting in self.waiting.items():
            is_slow = waiting.departure.wait is Wait.SLOW
            if is_slow and now >= waiting.until + overdue_s:
                yield host

    def _is_over(self, waiting: Waiting, now: float) -> bool:
        is_slow = waiting.departure.wait is Wait.SLOW
        return not is_slow and now >= waiting.until
