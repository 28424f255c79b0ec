"""An exact token bucket in microtokens."""

from bisect import bisect_left

MINIMA_LIMIT = 1024


class TokenBucket:
    """Token bucket that refills at a constant rate up to its depth.

    Parameters
    ----------
    rate : float
        Microtokens per second.
    depth : int
        Capacity in microtokens.
    level : int
        Initial microtokens, limited to `depth`.
    now : float
        Seconds.
    """

    def __init__(self, rate: float, depth: int, level: int, *, now: float) -> None:
        self.rate = rate
        self.depth = depth
        self.level = min(level, depth)
        self.updated_at = now
        self.headroom = HeadroomHistory()

    def refresh(self, *, now: float) -> None:
        """Add the refill up to `now`, rounded down to microtokens."""
        if now > self.updated_at:
            refill = int(self.rate * (now - self.updated_at))
            self.level = min(self.depth, self.level + refill)
            self.updated_at = now
        self.headroom.observe(self.depth - self.level)

    def spend(self, amount: int, *, now: float) -> bool:
        """Take `amount` microtokens if the bucket holds them; return whether it did."""
        self.refresh(now=now)
        if amount > self.level:
            return False
        self.level -= amount
        self.headroom.begin()
        return True

    def refund(self, amount: int, serial: int, *, now: float) -> int:
        """Return microtokens that were taken but not used.

        The bucket ends in the state in which it would be had they not been taken: what
        would have overflowed since then is lost.

        Parameters
        ----------
        amount : int
            Microtokens.
        serial : int
            `headroom.serial` directly after they were taken.
        now : float
            Seconds.

        Returns
        -------
        int
            Microtokens added.
        """
        self.refresh(now=now)
        added = min(amount, self.headroom.get_minimum(serial))
        self.level += added
        self.headroom.reduce(serial, added)
        return added

    def resize(self, rate: float, depth: int, *, now: float) -> None:
        """Change rate and depth; the level is limited to the depth, never raised."""
        self.refresh(now=now)
        self.rate = rate
        self.depth = depth
        self.level = min(self.level, depth)
        self.headroom.observe(self.depth - self.level)


class HeadroomHistory:
    """Tracks the minimum headroom of a bucket since each spend.

    Stored are the suffix minima: `serials` and `minima` both ascend.
    """

    def __init__(self) -> None:
        self.serial = 0
        self.serials: list[int] = []
        self.minima: list[int] = []

    def begin(self) -> None:
        """Start a new serial, for a spend."""
        self.serial += 1

    def observe(self, headroom: int) -> None:
        """Record the headroom at the current serial."""
        while self.minima and self.minima[-1] >= headroom:
            self.minima.pop()
            self.serials.pop()
        self.minima.append(headroom)
        self.serials.append(self.serial)
        if len(self.minima) > MINIMA_LIMIT:
            # Merging two entries under the older minimum can only reduce a refund.
            del self.minima[1], self.serials[0]

    def get_minimum(self, serial: int) -> int:
        """Return the minimum headroom recorded at or after `serial`."""
        return self.minima[bisect_left(self.serials, serial)]

    def reduce(self, serial: int, amount: int) -> None:
        """Lower the headroom recorded at or after `serial` by a refund.

        Otherwise a second refund could use the same past headroom again.
        """
        first = bisect_left(self.serials, serial)
        self.minima[first:] = [minimum - amount for minimum in self.minima[first:]]
        keep = bisect_left(self.minima, self.minima[first], hi=first)
        del self.minima[keep:first], self.serials[keep:first]
