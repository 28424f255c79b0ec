"""Sums in which older amounts count less."""

import math
from collections.abc import Iterable
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


class DecayingSums:
    """Sums by name; the owner sees to it that one thread at a time changes them.

    Parameters
    ----------
    sums : iterable of (str, DecayingSum)
    """

    def __init__(self, sums: Iterable[tuple[str, DecayingSum]] = ()) -> None:
        self.sums = dict(sums)

    def add(self, name: str, amount: float, *, now: float) -> None:
        """Add an amount to a sum.

        Parameters
        ----------
        name : str
        amount, now : float
        """
        self.sums[name] = self.sums.get(name, DecayingSum()).add(amount, now=now)

    def get(self, name: str, *, now: float) -> float:
        """Return what a sum is worth now.

        Parameters
        ----------
        name : str
        now : float

        Returns
        -------
        float
            0 if nothing was added.
        """
        one = self.sums.get(name)
        return one.get(now=now) if one is not None else 0.0

    def list_rounded_down(self, *, now: float) -> dict[str, int]:
        """Return the sums in whole numbers; drop those that are worth less than one.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict of str to int
        """
        whole = {name: int(one.get(now=now)) for name, one in self.sums.items()}
        self.sums = {name: one for name, one in self.sums.items() if whole[name]}
        return {name: amount for name, amount in whole.items() if amount}


def compute_decay_time_s(value: float, limit: float) -> float:
    """Return the seconds until a sum has fallen to a limit.

    Parameters
    ----------
    value, limit : float

    Returns
    -------
    float
    """
    return DECAY_S * math.log(value / limit) if value > limit > 0 else 0.0
