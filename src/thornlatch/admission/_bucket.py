"""An exact token bucket in microtokens."""

from bisect import bisect_left

MINIMA_LIMIT = 1024


class TokenBucket:
    """Refills at a rate up to a depth.

    Parameters
    ----------
    rate : float
        Microtokens per second.
    depth : int
        Microtokens that the bucket holds at most.
    level : int
        Microtokens in the bucket; cut to `depth`.
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
        """Add what has refilled until `now`, rounded down."""
        if now > self.updated_at:
            refill = int(self.rate * (now - self.updated_at))
            self.level = min(self.depth, self.level + refill)
            self.updated_at = now
        self.headroom.observe(self.depth - self.level)

    def spend(self, amount: int, *, now: float) -> bool:
        """Take `amount` microtokens if there are as many; return whether it did."""
        self.refresh(now=now)
        if amount > self.level:
            return False
        self.level -= amount
        self.headroom.begin()
        return True

    def refund(self, amount: int, serial: int, *, now: float) -> int:
        """Give back microtokens that were taken but not used.

        The bucket ends up as if less had been taken in the first place: what would
        have overflowed since then is lost.

        Parameters
        ----------
        amount : int
            Microtokens.
        serial : int
            `headroom.serial` just after they were taken.
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
        """Change rate and depth; the level is cut to the depth, never raised."""
        self.refresh(now=now)
        self.rate = rate
        self.depth = depth
        self.level = min(self.level, depth)
        self.headroom.observe(self.depth - self.level)


class HeadroomHistory:
    """Remembers the least headroom of a bucket since each spending.

    The list holds the suffix minima: serials and headrooms both rise along it.
    """

    def __init__(self) -> None:
        self.serial = 0
        self.serials: list[int] = []
        self.minima: list[int] = []

    def begin(self) -> None:
        """Start a new serial, for a spending."""
        self.serial += 1

    def observe(self, headroom: int) -> None:
        """Record the headroom at the present serial."""
        while self.minima and self.minima[-1] >= headroom:
            self.minima.pop()
            self.serials.pop()
        self.minima.append(headroom)
        self.serials.append(self.serial)
        if len(self.minima) > MINIMA_LIMIT:
            # The older minimum stands for both, which can only shrink a refund.
            del self.minima[1], self.serials[0]

    def get_minimum(self, serial: int) -> int:
        """Return the least headroom recorded at or after `serial`."""
        return self.minima[bisect_left(self.serials, serial)]

    def reduce(self, serial: int, amount: int) -> None:
        """Lower what was recorded at or after `serial`, as a refund takes effect there.

        Two refunds must not both use the same headroom of the past.
        """
        first = bisect_left(self.serials, serial)
        self.minima[first:] = [minimum - amount for minimum in self.minima[first:]]
        keep = bisect_left(self.minima, self.minima[first], hi=first)
        del self.minima[keep:first], self.serials[keep:first]
