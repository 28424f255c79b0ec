"""Deaths of a target that hosts report to the pool's owner."""


class DeathReports:
    """What hosts say of one target's life, until the target itself answers.

    A report only makes the owner hold new work back and ask the target, so a false one
    can't take a live target out, and a host that was wrong once isn't believed again
    in this life of the target.

    Parameters
    ----------
    hold_s : float
        Seconds for which new work is held back at most.
    """

    def __init__(self, hold_s: float) -> None:
        self.hold_s = hold_s
        self.reporters: set[str] = set()
        self.refuted: set[str] = set()
        self.reported_at = float("-inf")

    def add(self, host: str, now: float) -> bool:
        """Take a host's report.

        Parameters
        ----------
        host : str
        now : float

        Returns
        -------
        bool
            Whether the target must be asked; repeats change nothing.
        """
        if host in self.reporters or host in self.refuted:
            return False
        self.reporters.add(host)
        self.reported_at = now
        return True

    def is_holding(self, now: float) -> bool:
        """Return whether new work is held back."""
        return bool(self.reporters) and now < self.reported_at + self.hold_s

    def note_answer(self, asked_at: float) -> None:
        """Note that the target lived at a time after it was asked, seconds."""
        if asked_at >= self.reported_at:
            self.refuted |= self.reporters
            self.reporters.clear()

    def clear(self) -> None:
        """Forget all reports; the target has begun another life."""
        self.reporters.clear()
        self.refuted.clear()
