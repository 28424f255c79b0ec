"""A share of an allowance and the token bucket that it refills."""

from thornlatch.admission._bucket import TokenBucket
from thornlatch.admission._shares import (
    EMPTY_SHARE,
    MICROTOKENS,
    UNITS,
    Allowance,
    Share,
    compute_depth,
)


class Holding:
    """A share of an allowance with its token bucket.

    Parameters
    ----------
    allowance : Allowance
        Allowance of the whole fleet, by this host's configuration.
    drift_margin : float
        Factor by which the local clock may run ahead of real time.
    now : float
        Seconds.
    """

    def __init__(
        self, allowance: Allowance, drift_margin: float, *, now: float
    ) -> None:
        self.allowance = allowance
        self.drift_margin = drift_margin
        self.share = EMPTY_SHARE
        self.bucket = TokenBucket(0.0, 0, 0, now=now)

    def set_allowance(self, allowance: Allowance, *, now: float) -> None:
        """Apply a changed allowance; the share stays the same."""
        self.allowance = allowance
        self.set_share(self.share, now=now)

    def set_share(self, share: Share, *, now: float) -> None:
        """Replace the share; the level is limited to the new depth, never raised."""
        self.share = share
        micro_rate = self.allowance.rate * MICROTOKENS / self.drift_margin
        self.bucket.resize(
            micro_rate * max(0, share.rate) / UNITS,
            compute_depth(self.allowance, max(0, share.depth)),
            now=now,
        )

    def add(self, share: Share, level: int, *, now: float) -> None:
        """Add a share that another holder gave up, with its level."""
        self.set_share(self.share + share, now=now)
        # The sender may still use an older configuration with a larger burst.
        level = min(level, compute_depth(self.allowance, share.depth))
        bucket = self.bucket
        bucket.level = min(bucket.depth, bucket.level + level)
        bucket.refresh(now=now)

    def take(self, share: Share, level: int, *, now: float) -> tuple[Share, int]:
        """Remove a share and a level from the holding.

        Parameters
        ----------
        share : Share
            Limited to what is held.
        level : int
            Microtokens; limited to the current level and to the capacity of the depth
            that is removed.
        now : float
            Seconds.

        Returns
        -------
        tuple of (Share, int)
            Share and level that were removed.
        """
        self.bucket.refresh(now=now)
        given = share.limit_to(self.share)
        carried = compute_depth(self.allowance, given.depth)
        kept = compute_depth(self.allowance, max(0, self.share.depth - given.depth))
        # Level beyond the remaining depth would be lost, so it moves too.
        wanted = max(level, self.bucket.level - kept)
        given_level = max(0, min(wanted, self.bucket.level, carried))
        self.bucket.level -= given_level
        self.set_share(self.share - given, now=now)
        return given, given_level
