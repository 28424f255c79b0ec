"""How long work takes at each target at the moment, as the targets report it.

A target may share its machine with others and tell in its answers how long work takes
there now, relative to the usual. A host gets an answer of each target once in several
seconds in a large fleet, so the hosts tell each other what they were told.
"""

import math
import threading
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

RATIO_MIN, RATIO_MAX = 0.05, 20.0  # figures beyond are taken for these
PERCENT = 100
FORGET_S = 30.0  # without a figure, after which a target has the usual speed


@dataclass(frozen=True)
class SpeedSettings:
    """How the figures of targets are smoothed.

    Parameters
    ----------
    smoothing_s : float
        Time constant in seconds of the mean. The figures change many times a second,
        and a request runs for a second or two.
    memory_s : float
        Time constant in seconds with which a mean that isn't renewed falls back to the
        usual speed.
    """

    smoothing_s: Annotated[float, Meta(gt=0)] = 1.5
    memory_s: Annotated[float, Meta(gt=0)] = 10.0


@dataclass
class _Mean:
    ratio: float
    noted_at: float


class TargetSpeeds:
    """Smoothed figures of the targets; thread-safe.

    Without any figure it costs nothing: all targets have the usual speed.

    Parameters
    ----------
    settings : SpeedSettings
    """

    def __init__(self, settings: SpeedSettings) -> None:
        self.settings = settings
        self.lock = threading.Lock()
        self.means: dict[str, _Mean] = {}
        # Sums and numbers of figures since the latest digest, by target.
        self.pending: dict[str, tuple[float, int]] = {}

    def note(self, target: str, ratio: float, *, now: float) -> None:
        """Record what a target answered to this host.

        Parameters
        ----------
        target : str
        ratio : float
            Time that work takes relative to the usual.
        now : float
        """
        if not math.isfinite(ratio):
            return
        ratio = min(max(ratio, RATIO_MIN), RATIO_MAX)
        with self.lock:
            self._add(target, ratio, 1, now)
            total, count = self.pending.get(target, (0.0, 0))
            self.pending[target] = (total + ratio, count + 1)

    def pop_reports(self) -> dict[str, tuple[int, int]]:
        """Return the figures since the previous call, for this host's digest.

        Returns
        -------
        dict of str to (int, int)
            Mean in percent and number of the figures, by target.
        """
        if not self.pending:
            return {}
        with self.lock:
            pending, self.pending = self.pending, {}
        return {
            target: (round(PERCENT * total / count), count)
            for target, (total, count) in pending.items()
        }

    def apply_reports(
        self, reports: Mapping[str, tuple[int, int]], *, now: float
    ) -> None:
        """Record what targets answered to other hosts.

        Parameters
        ----------
        reports : mapping of str to (int, int)
            As `pop_reports` returns them.
        now : float
        """
        if not reports:
            return
        with self.lock:
            for target, (percent, count) in reports.items():
                ratio = min(max(percent / PERCENT, RATIO_MIN), RATIO_MAX)
                self._add(target, ratio, count, now)

    def _add(self, target: str, ratio: float, count: int, now: float) -> None:
        mean = self.means.get(target)
        if mean is None:
            self._drop_old(now)
            self.means[target] = _Mean(ratio, now)
            return
        elapsed_s = max(now - mean.noted_at, 0.0)
        # Several figures at the same time weigh more than one, but not all of it.
        settings = self.settings
        weight = 1 - math.exp(-(elapsed_s / settings.smoothing_s) - 0.05 * count)
        mean.ratio += weight * (ratio - mean.ratio)
        mean.noted_at = max(now, mean.noted_at)

    def _drop_old(self, now: float) -> None:
        """Drop targets without figures, such as those that peers report too late."""
        for target, mean in list(self.means.items()):
            if now - mean.noted_at >= FORGET_S:
                del self.means[target]

    def get_ratio(self, target: str, *, now: float) -> float:
        """Return how long work takes at a target relative to the usual.

        Parameters
        ----------
        target : str
        now : float

        Returns
        -------
        float
            1 without a figure; older figures are nearer to it.
        """
        mean = self.means.get(target)
        if mean is None:
            return 1.0
        age_s = max(now - mean.noted_at, 0.0)
        if age_s >= FORGET_S:
            return 1.0
        return 1 + (mean.ratio - 1) * math.exp(-age_s / self.settings.memory_s)

    def forget(self, target: str) -> None:
        """Drop what is known of a target that left or restarted.

        Parameters
        ----------
        target : str
        """
        with self.lock:
            self.means.pop(target, None)
            self.pending.pop(target, None)
