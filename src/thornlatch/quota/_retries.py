"""The budget for sending requests to a second target."""

import threading
from collections import deque
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta


@dataclass(frozen=True)
class RetryBudgetSettings:
    """Arrivals at a service's targets beyond the first of each request.

    Parameters
    ----------
    ratio : float
        Further sends allowed for each request, over all hosts.
    window_s : float
        Seconds over which both are counted.
    slack : float
        Further sends that are always allowed, over all hosts.
    share : float
        Part of both that is used; hosts count their own sends only, and requests
        reach them unevenly.
    """

    ratio: Annotated[float, Meta(ge=0)] = 0.2
    window_s: Annotated[float, Meta(gt=0)] = 10.0
    slack: Annotated[float, Meta(ge=0)] = 50.0
    share: Annotated[float, Meta(gt=0, le=1)] = 0.7


class RetryBudget:
    """Counts first and further sends to each service; safe for threads.

    Parameters
    ----------
    settings : RetryBudgetSettings
    """

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self.settings = settings
        self.lock = threading.Lock()
        self.hosts = 1
        self.firsts: dict[str, deque[float]] = {}
        self.others: dict[str, deque[float]] = {}

    def note_request(self, service: str, *, now: float) -> None:
        """Note the first send of a request.

        Parameters
        ----------
        service : str
        now : float
        """
        with self.lock:
            self._get(self.firsts, service, now).append(now)

    def try_acquire(self, service: str, *, now: float) -> bool:
        """Take a further send from the budget, if there is one left.

        Parameters
        ----------
        service : str
        now : float

        Returns
        -------
        bool
        """
        with self.lock:
            settings = self.settings
            firsts = self._get(self.firsts, service, now)
            others = self._get(self.others, service, now)
            allowed = settings.ratio * len(firsts) + settings.slack / self.hosts
            if len(others) + 1 > allowed * settings.share:
                return False
            others.append(now)
            return True

    def _get(
        self, sends: dict[str, deque[float]], service: str, now: float
    ) -> deque[float]:
        times = sends.setdefault(service, deque())
        while times and times[0] <= now - self.settings.window_s:
            times.popleft()
        return times
