"""Sums in which older amounts count less."""

import math
from dataclasses import dataclass

DECAY_S = 0.3  # the pause that streams may make: what was read before delays none now


@dataclass(frozen=True)
class DecayingSum:
    """A sum as of a moment.

    Parameters
    ----------
    value : float
    at : float
    """

    value: float = 0.0
    at: float = 0.0

    def add(self, amount: float, *, now: float) -> "DecayingSum":
        """Return the sum with another amount.

        Parameters
        ----------
        amount : float
        now : float

        Returns
        -------
        DecayingSum
        """
        return DecayingSum(self.get(now=now) + amount, now)

    def get(self, *, now: float) -> float:
        """Return what the sum is worth now.

        Parameters
        ----------
        now : float

        Returns
        -------
        float
        """
        return self.value * math.exp(-max(now - self.at, 0.0) / DECAY_S)


def count_until_decayed(value: float, limit: float) -> float:
    """Return the seconds until a sum has fallen to a limit.

    Parameters
    ----------
    value, limit : float

    Returns
    -------
    float
    """
    return DECAY_S * math.log(value / limit) if value > limit > 0 else 0.0
