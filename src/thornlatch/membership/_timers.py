"""Retry timers of appends that are repeated until their record is read back."""


class RetryTimers:
    """Allows one append per interval for each purpose.

    Parameters
    ----------
    interval_s : float
        Seconds between two appends for one purpose.
    """

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self.next_at: dict[str, float] = {}

    def is_due(self, purpose: str, *, now: float) -> bool:
        """Return whether `start` would allow an append for `purpose`."""
        return now >= self.next_at.get(purpose, now)

    def start(self, purpose: str, *, now: float) -> bool:
        """Start the interval of `purpose` if an append for it is due.

        Parameters
        ----------
        purpose : str
        now : float

        Returns
        -------
        bool
            Whether the append may be sent.
        """
        if not self.is_due(purpose, now=now):
            return False
        self.next_at = {p: at for p, at in self.next_at.items() if at > now}
        self.next_at[purpose] = now + self.interval_s
        return True
