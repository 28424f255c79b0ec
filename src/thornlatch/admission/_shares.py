"""Shares of an allowance, in integers so that sums are exact."""

from dataclasses import dataclass

UNITS = 1 << 30
MICROTOKENS = 1_000_000


@dataclass(frozen=True)
class Allowance:
    """Rate, burst and concurrency of one key over the whole fleet.

    Parameters
    ----------
    rate : float
        Tokens (or loads) per second.
    burst : float
        Tokens (or loads) that may be used at once when the bucket is full.
    slots : int
        Uses that may be in flight at once; 0 for organisations, whose requests are
        limited by tokens only.
    """

    rate: float = 0.0
    burst: float = 0.0
    slots: int = 0

    @property
    def depth(self) -> int:
        """Burst in microtokens."""
        return int(self.burst * MICROTOKENS)


@dataclass(frozen=True)
class Share:
    """Share of an allowance that one holder has.

    Parameters
    ----------
    rate : int
        Fraction of the rate in units of 1 / `UNITS`.
    depth : int
        Fraction of the burst in units of 1 / `UNITS`.
    slots : int
        Uses that may be in flight.
    """

    rate: int = 0
    depth: int = 0
    slots: int = 0

    def __add__(self, other: "Share") -> "Share":
        return Share(
            self.rate + other.rate,
            self.depth + other.depth,
            self.slots + other.slots,
        )

    def __sub__(self, other: "Share") -> "Share":
        return Share(
            self.rate - other.rate,
            self.depth - other.depth,
            self.slots - other.slots,
        )

    def limit_to(self, other: "Share") -> "Share":
        """Return the component-wise minimum, not below zero."""
        return Share(
            max(0, min(self.rate, other.rate)),
            max(0, min(self.depth, other.depth)),
            max(0, min(self.slots, other.slots)),
        )

    @property
    def is_empty(self) -> bool:
        """Whether nothing is held."""
        return not (self.rate or self.depth or self.slots)


EMPTY_SHARE = Share()


def make_full_share(allowance: Allowance) -> Share:
    """Return the share that is a whole allowance."""
    return Share(UNITS, UNITS, allowance.slots)


def compute_depth(allowance: Allowance, units: int) -> int:
    """Return `units` of depth in microtokens of burst, rounded down."""
    return allowance.depth * units // UNITS


def compute_depth_units(allowance: Allowance, level: int) -> int:
    """Return the units of depth that hold `level` microtokens, rounded up."""
    if not allowance.depth:
        return UNITS
    return min(UNITS, -(-level * UNITS // allowance.depth))


def to_microtokens(tokens: float) -> int:
    """Return tokens as microtokens, rounded up."""
    whole = int(tokens * MICROTOKENS)
    return whole if whole >= tokens * MICROTOKENS else whole + 1
