"""Which watched peers have been silent for too long."""

from collections.abc import Iterable

BACKOFF_LIMIT_S = 60.0


class PeerWatch:
    """Times of the last answers of watched peers.

    Parameters
    ----------
    suspect_s : float
        Seconds of silence after which a peer is suspect.
    """

    def __init__(self, suspect_s: float) -> None:
        self.suspect_s = suspect_s
        self.heard_at: dict[str, float] = {}
        self.defences: dict[str, int] = {}
        self.quiet_until: dict[str, float] = {}

    def set_watched(self, hosts: Iterable[str], *, now: float) -> None:
        """Watch exactly `hosts`; a new one counts as heard at `now`."""
        wanted = set(hosts)
        for host in self.heard_at.keys() - wanted:
            self.forget(host)
        for host in wanted - self.heard_at.keys():
            self.heard_at[host] = now

    def forget(self, host: str) -> None:
        """Drop all that is known of `host`."""
        for table in (self.heard_at, self.defences, self.quiet_until):
            table.pop(host, None)

    def note_heard(self, host: str, *, now: float) -> None:
        """Note an answer from `host`."""
        if host in self.heard_at:
            self.heard_at[host] = now
            self.defences.pop(host, None)
            self.quiet_until.pop(host, None)

    def note_defended(self, host: str, *, now: float) -> None:
        """Wait before the next accusation, longer each time `host` defends itself."""
        count = self.defences.get(host, 0)
        self.defences[host] = count + 1
        delay = min(self.suspect_s * 2**count, BACKOFF_LIMIT_S)
        self.quiet_until[host] = now + delay

    def note_pause(self, *, now: float) -> None:
        """Start all silences anew after this process itself was paused."""
        for host in self.heard_at:
            self.heard_at[host] = now

    def count_heard(self, hosts: Iterable[str], *, now: float) -> int:
        """Return how many of `hosts` answered recently."""
        return sum(
            now - self.heard_at[host] < self.suspect_s
            for host in hosts
            if host in self.heard_at
        )

    def is_silent(self, host: str, *, limit_s: float, now: float) -> bool:
        """Return whether `host` is watched and left heartbeats unanswered."""
        heard_at = self.heard_at.get(host)
        return heard_at is not None and now - heard_at >= limit_s

    def is_quiet(self, host: str, *, now: float) -> bool:
        """Return whether `host` defended itself too recently to be accused again."""
        return now < self.quiet_until.get(host, now)
