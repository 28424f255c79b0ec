"""Part of an organisation's requests to admit while its hosts hear of each other late.

Load pattern: an organisation asks for several times its rate, at all hosts of a large
fleet, and refused callers return. Hosts whose buckets refill at the same time would
all admit whatever comes until they hear of each other, and callers who were told to
wait for the refill come just then.
"""

import math
from dataclasses import dataclass

DEMAND_TIME_CONSTANT_S = 1.0
DRAIN_DELAYS = 2.0  # a bucket that drains faster than it is heard of oscillates


@dataclass
class RecentDemand:
    """Tokens a second that were asked for lately; an exponentially weighted mean.

    Parameters
    ----------
    rate : float
    updated_at : float
    """

    rate: float = 0.0
    updated_at: float = 0.0

    def add(self, tokens: float, *, now: float) -> None:
        """Add tokens that a request asks for.

        Parameters
        ----------
        tokens : float
        now : float
        """
        self.rate = self.get(now=now) + tokens / DEMAND_TIME_CONSTANT_S
        self.updated_at = now

    def get(self, *, now: float) -> float:
        """Return the present rate in tokens a second.

        Parameters
        ----------
        now : float

        Returns
        -------
        float
        """
        elapsed = max(now - self.updated_at, 0.0)
        return self.rate * math.exp(-elapsed / DEMAND_TIME_CONSTANT_S)


def compute_admitted_ratio(
    rate: float, level: float, demand: float, *, delay_s: float
) -> float:
    """Return the part of the demand that may be admitted now.

    All hosts together then use up the tokens left in a few times the delay after which
    they hear of each other's spending, and those that the rate adds besides.

    Parameters
    ----------
    rate : float
        Tokens per second.
    level : float
        Tokens left; negative if hosts spent the same ones.
    demand : float
        Tokens per second that all hosts are asked for.
    delay_s : float
        Seconds after which hosts hear of each other's spending.

    Returns
    -------
    float
        From 0 to 1.
    """
    if demand <= 0:
        return 1.0
    admitted = rate + level / (DRAIN_DELAYS * delay_s)
    return min(max(admitted / demand, 0.0), 1.0)
