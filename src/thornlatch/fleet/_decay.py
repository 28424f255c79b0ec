"""Sums whose amounts decay exponentially with their age."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

# Streams may pause for 0.3 s; prompts read before that no longer delay any of them.
DECAY_TIME_CONSTANT_S = 0.3


@dataclass(frozen=True)
class DecayingSum:
    """A decaying sum and its value at one time.

    Parameters
    ----------
    value : float
    updated_at : float
        Time for which `value` holds.
    """

    value: float = 0.0
    updated_at: float = 0.0

    def add(self, amount: float, *, now: float) -> "DecayingSum":
        """Return the sum with an amount added.

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
        """Return the decayed value.

        Parameters
        ----------
        now : float

        Returns
        -------
        float
        """
        return self.value * math.exp(
            -max(now - self.updated_at, 0.0) / DECAY_TIME_CONSTANT_S
        )


class DecayingSums:
    """Decaying sums by name; the caller must serialise modifications.

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
        """Return the decayed value of a sum.

        Parameters
        ----------
        name : str
        now : float

        Returns
        -------
        float
            0 if nothing was added.
        """
        decaying_sum = self.sums.get(name)
        return decaying_sum.get(now=now) if decaying_sum is not None else 0.0

    def list_rounded_down(self, *, now: float) -> dict[str, int]:
        """Return the sums rounded down, and remove those below one.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict of str to int
        """
        rounded = {name: int(item.get(now=now)) for name, item in self.sums.items()}
        self.sums = {name: item for name, item in self.sums.items() if rounded[name]}
        return {name: amount for name, amount in rounded.items() if amount}


def compute_decay_time_s(value: float, limit: float) -> float:
    """Return the seconds until a sum has decayed to a limit.

    Parameters
    ----------
    value, limit : float

    Returns
    -------
    float
        0 if the sum is at the limit or below, or the limit isn't positive.
    """
    return DECAY_TIME_CONSTANT_S * math.log(value / limit) if value > limit > 0 else 0.0
