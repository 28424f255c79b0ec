"""Time until successors may take over the keys of expelled hosts."""

from collections.abc import Iterator
from dataclasses import dataclass

from thornlatch.membership._settings import MembershipSettings
from thornlatch.membership._view import Departure, MembershipView, Wait


@dataclass(frozen=True)
class PendingWait:
    """Wait for an expelled host, which may still act before `until`.

    Parameters
    ----------
    departure : Departure
    until : float
        Seconds of this host's monotonic clock.
    """

    departure: Departure
    until: float


class TakeoverWaits:
    """Waits for expelled hosts, measured by this host's clock.

    Parameters
    ----------
    settings : MembershipSettings
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self.settings = settings
        self.pending: dict[str, PendingWait] = {}
        self.read_offset = -1

    def update(self, view: MembershipView, *, now: float) -> None:
        """Start and end waits according to the view.

        A wait starts when this host reads the departure, as hosts share no clock.

        Parameters
        ----------
        view : MembershipView
        now : float
        """
        for departure in reversed(view.departures):
            if departure.offset <= self.read_offset:
                break
            if departure.wait is not Wait.NONE:
                until = now + self.get_duration(departure.wait)
                self.pending[departure.host] = PendingWait(departure, until)
        self.read_offset = view.offset
        for host in [h for h in self.pending if h in view.removed]:
            del self.pending[host]
        for host in [h for h, w in self.pending.items() if self._has_ended(w, now)]:
            del self.pending[host]

    def get_duration(self, wait: Wait) -> float:
        """Return the seconds that a successor waits before it acts."""
        if wait is Wait.SLOW:
            return self.settings.slow_wait_s
        return self.settings.fast_wait_s if wait is Wait.FAST else 0.0

    def iter_waiting(self, *, now: float) -> Iterator[Departure]:
        """Iterate over the departures of hosts that may still act at `now`."""
        for pending in tuple(self.pending.values()):
            if now < pending.until:
                yield pending.departure

    def iter_overdue_slow(self, *, overdue_s: float, now: float) -> Iterator[str]:
        """Iterate over slowly expelled hosts that are overdue for removal.

        Their wait ended at least `overdue_s` seconds ago.
        """
        for host, pending in self.pending.items():
            is_slow = pending.departure.wait is Wait.SLOW
            if is_slow and now >= pending.until + overdue_s:
                yield host

    def _has_ended(self, pending: PendingWait, now: float) -> bool:
        """Return whether to drop a wait; a slow one stays until a `HostRemoved`."""
        is_slow = pending.departure.wait is Wait.SLOW
        return not is_slow and now >= pending.until
