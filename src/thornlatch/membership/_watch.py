"""Detection of watched peers that have stopped answering heartbeats."""

from collections.abc import Iterable

MAX_BACKOFF_S = 60.0


class PeerWatch:
    """Tracks when watched peers last answered, and backs off from false accusations.

    Parameters
    ----------
    suspect_s : float
        Seconds of silence after which a peer is suspect.
    """

    def __init__(self, suspect_s: float) -> None:
        self.suspect_s = suspect_s
        self.heard_at: dict[str, float] = {}
        self.defence_counts: dict[str, int] = {}
        self.backoff_until: dict[str, float] = {}

    def set_watched(self, hosts: Iterable[str], *, now: float) -> None:
        """Watch exactly `hosts`; a new one counts as heard at `now`."""
        watched = set(hosts)
        for host in self.heard_at.keys() - watched:
            self.remove(host)
        for host in watched - self.heard_at.keys():
            self.heard_at[host] = now

    def remove(self, host: str) -> None:
        """Remove all data about `host`."""
        for table in (self.heard_at, self.defence_counts, self.backoff_until):
            table.pop(host, None)

    def note_heard(self, host: str, *, now: float) -> None:
        """Record an answer from `host`."""
        if host in self.heard_at:
            self.heard_at[host] = now
            self.defence_counts.pop(host, None)
            self.backoff_until.pop(host, None)

    def note_defended(self, host: str, *, now: float) -> None:
        """Delay the next accusation, twice as long with each defence of `host`."""
        count = self.defence_counts.get(host, 0)
        self.defence_counts[host] = count + 1
        delay = min(self.suspect_s * 2**count, MAX_BACKOFF_S)
        self.backoff_until[host] = now + delay

    def note_pause(self, *, now: float) -> None:
        """Restart all timeouts after a pause of this process."""
        for host in self.heard_at:
            self.heard_at[host] = now

    def count_heard(self, hosts: Iterable[str], *, now: float) -> int:
        """Return how many of `hosts` answered recently."""
        return sum(
            now - self.heard_at[host] < self.suspect_s
            for host in hosts
            if host in self.heard_at
        )

    def has_timed_out(self, host: str, *, timeout_s: float, now: float) -> bool:
        """Return whether `host` is watched and has not answered for `timeout_s`."""
        heard_at = self.heard_at.get(host)
        return heard_at is not None and now - heard_at >= timeout_s

    def is_backing_off(self, host: str, *, now: float) -> bool:
        """Return whether `host` defended itself too recently to be accused again."""
        return now < self.backoff_until.get(host, now)
