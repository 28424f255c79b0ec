"""Budget for sending a request to further targets after the first."""

import threading
from collections import deque
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta


@dataclass(frozen=True)
class RetryBudgetSettings:
    """Bounds on the further sends of requests, for each service.

    Parameters
    ----------
    ratio : float
        Further sends allowed per request, over all hosts.
    window_s : float
        Length of the sliding window in which both are counted, in seconds.
    slack : float
        Further sends that are always allowed in a window, over all hosts.
    share : float
        Fraction of the allowed sends that is used. Each host counts only its own sends,
        and requests are spread unevenly over the hosts.
    answered_share : float
        Fraction of the used sends up to which requests that a target answered with a
        failure are sent again. The rest is for requests that no target answered.
    """

    ratio: Annotated[float, Meta(ge=0)] = 0.2
    window_s: Annotated[float, Meta(gt=0)] = 10.0
    slack: Annotated[float, Meta(ge=0)] = 50.0
    share: Annotated[float, Meta(gt=0, le=1)] = 0.7
    answered_share: Annotated[float, Meta(ge=0, le=1)] = 0.7


class RetryBudget:
    """Counts requests and their further sends by service; thread-safe.

    Parameters
    ----------
    settings : RetryBudgetSettings
    """

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self.settings = settings
        self.lock = threading.Lock()
        self.hosts = 1
        self.request_times: dict[str, deque[float]] = {}
        self.further_send_times: dict[str, deque[float]] = {}

    def note_request(self, service: str, *, now: float) -> None:
        """Count a request, at its first send.

        Parameters
        ----------
        service : str
        now : float
        """
        with self.lock:
            self._get_unexpired(self.request_times, service, now).append(now)

    def try_acquire(self, service: str, *, now: float) -> bool:
        """Take a further send from the budget if one is left.

        Parameters
        ----------
        service : str
        now : float

        Returns
        -------
        bool
        """
        with self.lock:
            if not self._is_allowed(service, now, 1.0):
                return False
            self._get_unexpired(self.further_send_times, service, now).append(now)
            return True

    def may_repeat_answered(self, service: str, *, now: float) -> bool:
        """Return whether a request that a target answered may be sent again.

        Nothing is taken from the budget.

        Parameters
        ----------
        service : str
        now : float

        Returns
        -------
        bool
        """
        with self.lock:
            return self._is_allowed(service, now, self.settings.answered_share)

    def _is_allowed(self, service: str, now: float, part: float) -> bool:
        settings = self.settings
        request_times = self._get_unexpired(self.request_times, service, now)
        further_send_times = self._get_unexpired(self.further_send_times, service, now)
        allowed = settings.ratio * len(request_times) + settings.slack / self.hosts
        return len(further_send_times) + 1 <= allowed * settings.share * part

    def _get_unexpired(
        self, times_by_service: dict[str, deque[float]], service: str, now: float
    ) -> deque[float]:
        times = times_by_service.setdefault(service, deque())
        while times and times[0] <= now - self.settings.window_s:
            times.popleft()
        return times
