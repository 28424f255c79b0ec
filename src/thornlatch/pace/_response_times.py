"""Times that responses usually take, by service and size of the request."""

import math
from dataclasses import dataclass

SMOOTHING_WEIGHT = 0.1  # of the latest response in a moving average
# While all targets are paced, their responses are the only measure. A slower one counts
# less, or the measure would follow the slowdown that it is to show.
SLOWER_PACED_WEIGHT = 0.05
OUTLIER_RATIO = 4.0  # of the mean; slower responses count as this
# Without responses of targets that aren't paced, the known times may be outdated.
SETTLED_MEMORY_S = 5.0
DEVIATIONS = 2.0  # above the mean that responses usually take at most
LARGER_CLASSES = 3  # that stand in for a class of which nothing is known
ENTRY_LIMIT = 4096


@dataclass(frozen=True)
class RequestKind:
    """What the time to a response depends on.

    Parameters
    ----------
    service : str
    is_stream : bool
        Whether the time ends with the first event and not with the whole response.
    size : int
        Size of the request, in a unit that is the same for all of a service.
    """

    service: str
    is_stream: bool
    size: int


@dataclass
class _Entry:
    mean_s: float
    deviation_s: float
    count: int
    settled_at: float


class ResponseTimes:
    """Smoothed times of responses; not thread-safe."""

    def __init__(self) -> None:
        # By service, whether it is a stream, and the logarithm of the size.
        self.entries: dict[tuple[str, bool, int], _Entry] = {}

    def note(
        self, kind: RequestKind, elapsed_s: float, *, is_paced: bool, now: float
    ) -> None:
        """Record a response.

        Parameters
        ----------
        kind : RequestKind
        elapsed_s : float
        is_paced : bool
            Whether its target is paced. It then counts only if no other target has
            responded lately.
        now : float
        """
        key = _get_key(kind)
        entry = self.entries.get(key)
        if entry is None:
            if len(self.entries) < ENTRY_LIMIT:
                settled_at = -math.inf if is_paced else now
                self.entries[key] = _Entry(elapsed_s, elapsed_s / 2, 1, settled_at)
            return
        if is_paced and now - entry.settled_at < SETTLED_MEMORY_S:
            return
        elapsed_s = min(elapsed_s, OUTLIER_RATIO * entry.mean_s)
        error_s = elapsed_s - entry.mean_s
        entry.count += 1
        weight = max(SMOOTHING_WEIGHT, 1 / entry.count)
        if is_paced and error_s > 0:
            weight = SLOWER_PACED_WEIGHT
        entry.mean_s += weight * error_s
        entry.deviation_s += weight * (abs(error_s) - entry.deviation_s)
        if not is_paced:
            entry.settled_at = now

    def get_usual_s(self, kind: RequestKind) -> float | None:
        """Return the seconds that responses to such requests usually take at most.

        Parameters
        ----------
        kind : RequestKind

        Returns
        -------
        float or None
            None if there have been none, not even to somewhat larger requests.
        """
        service, is_stream, size_class = _get_key(kind)
        for larger in range(LARGER_CLASSES + 1):
            entry = self.entries.get((service, is_stream, size_class + larger))
            if entry is not None:
                return entry.mean_s + DEVIATIONS * entry.deviation_s
        return None


def _get_key(kind: RequestKind) -> tuple[str, bool, int]:
    return kind.service, kind.is_stream, max(kind.size, 0).bit_length()
