"""Which hosts have been missing from the members for a while."""

from collections.abc import Collection


class GoneHosts:
    """Tells hosts that left the members from those that are missing for a moment.

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
        """Note the members; those that are back start afresh."""
        self.members = members
        for host in [host for host in self.missing if host in members]:
            del self.missing[host]

    def is_gone(self, host: str, *, now: float) -> bool:
        """Return whether `host` has been missing since the grace before `now`.

        Parameters
        ----------
        host : str
        now : float
            Seconds; the first question about a missing host starts its grace.
        """
        if host in self.members:
            return False
        since = self.missing.setdefault(host, now)
        return now - since >= self.grace_s
