"""Detection of hosts that have been missing from the members for a grace time."""

from collections.abc import Collection


class DepartedHosts:
    """Distinguishes departed hosts from hosts that are missing only briefly.

    Parameters
    ----------
    grace_s : float
        Seconds for which a host must be missing.
    """

    def __init__(self, grace_s: float) -> None:
        self.grace_s = grace_s
        self.members: Collection[str] = ()
        self.missing: dict[str, float] = {}

    def note_members(self, members: Collection[str]) -> None:
        """Set the members; a host that is back loses its time of absence."""
        self.members = members
        for host in [host for host in self.missing if host in members]:
            del self.missing[host]

    def has_departed(self, host: str, *, now: float) -> bool:
        """Return whether `host` has been missing for the grace time.

        Parameters
        ----------
        host : str
        now : float
            Seconds; the first call for a missing host starts its grace time.
        """
        if host in self.members:
            return False
        since = self.missing.setdefault(host, now)
        return now - since >= self.grace_s
