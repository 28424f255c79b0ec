"""Limit on the prompts that a target gets at once, learnt from pauses of its streams.

A target that reads a prompt delays the streams that run there. How long depends on its
engine, which doesn't tell. So the limit follows the pauses that callers see, much like
the congestion window of TCP follows losses.
"""

import threading
from dataclasses import dataclass

from thornlatch.gateway._settings import ForwardingSettings

GROWTH_RATIO = 1.03  # about 1 in 20 streams over its allowed pause at the balance
START_GROWTH_RATIO = 1.25  # until the first stream that pauses too long
SHRINK_RATIO = 0.7
COMFORTABLE_RATIO = 0.7  # of the allowed pause, below which more prompts may be sent
BINDING_MEMORY_S = 2.0  # streams of a few seconds show what the limit let through


@dataclass
class _Limit:
    gaps: float
    has_shrunk: bool = False
    binding_at: float = float("-inf")


class PromptPacing:
    """Tracks the limit of each service; safe for use by several threads.

    Parameters
    ----------
    settings : ForwardingSettings
    """

    def __init__(self, settings: ForwardingSettings) -> None:
        self.settings = settings
        self.lock = threading.Lock()
        self.limits: dict[str, _Limit] = {}

    def get_limit_s(self, service: str, allowed_gap_s: float) -> float:
        """Return the seconds of recent prompts at a target above which requests wait.

        Parameters
        ----------
        service : str
        allowed_gap_s : float
            Longest pause of a stream that meets its route's objective.

        Returns
        -------
        float
        """
        limit = self.limits.get(service)
        gaps = self.settings.prefill_limit_gaps if limit is None else limit.gaps
        return gaps * allowed_gap_s

    def note_wait(self, service: str, *, now: float) -> None:
        """Record that a request waits because of the limit.

        Parameters
        ----------
        service : str
        now : float
        """
        with self.lock:
            self._get(service).binding_at = now

    def note_stream(
        self, service: str, longest_gap_s: float, allowed_gap_s: float, *, now: float
    ) -> None:
        """Adapt the limit to the longest pause of a stream that has ended.

        Parameters
        ----------
        service : str
        longest_gap_s : float
        allowed_gap_s : float
            Longest pause of a stream that meets its route's objective.
        now : float
        """
        with self.lock:
            limit = self._get(service)
            if longest_gap_s > allowed_gap_s:
                limit.has_shrunk = True
                lower = limit.gaps * SHRINK_RATIO
                limit.gaps = max(lower, self.settings.prefill_limit_gaps)
                return
            # A limit that held nothing back says nothing about a higher one.
            is_binding = now - limit.binding_at < BINDING_MEMORY_S
            if is_binding and longest_gap_s < allowed_gap_s * COMFORTABLE_RATIO:
                ratio = GROWTH_RATIO if limit.has_shrunk else START_GROWTH_RATIO
                higher = limit.gaps * ratio
                limit.gaps = min(higher, self.settings.prefill_limit_max_gaps)

    def _get(self, service: str) -> _Limit:
        return self.limits.setdefault(service, _Limit(self.settings.prefill_limit_gaps))
