"""Reports of target failures that hosts send to the pool's owner."""


class TargetFailureReports:
    """Reports that one target has failed, until the target itself responds.

    A report only makes the owner grant no new work on the target and poll it, so a
    false report can't take a live target out of service. A host whose report was
    refuted is ignored until the target's process restarts.

    Parameters
    ----------
    block_s : float
        Longest time without new work after a report, seconds.
    """

    def __init__(self, block_s: float) -> None:
        self.block_s = block_s
        self.reporting_hosts: set[str] = set()
        self.refuted_hosts: set[str] = set()
        self.reported_at = float("-inf")

    def add(self, host: str, now: float) -> bool:
        """Add a host's report.

        Parameters
        ----------
        host : str
        now : float
            Seconds.

        Returns
        -------
        bool
            Whether the target must be polled; False for repeated and ignored reports.
        """
        if host in self.reporting_hosts or host in self.refuted_hosts:
            return False
        self.reporting_hosts.add(host)
        self.reported_at = now
        return True

    def blocks_new_work(self, now: float) -> bool:
        """Return whether the target gets no new work for now."""
        return bool(self.reporting_hosts) and now < self.reported_at + self.block_s

    def note_response(self, snapshot_at: float) -> None:
        """Refute the reports if a status report of the target is newer.

        Parameters
        ----------
        snapshot_at : float
            Time of the status report's content, seconds.
        """
        if snapshot_at >= self.reported_at:
            self.refuted_hosts |= self.reporting_hosts
            self.reporting_hosts.clear()

    def clear(self) -> None:
        """Discard all reports after a restart of the target's process."""
        self.reporting_hosts.clear()
        self.refuted_hosts.clear()
