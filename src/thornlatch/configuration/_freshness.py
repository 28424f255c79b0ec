"""Decision whether the state is recent enough to accept requests."""

from collections.abc import Iterable, Iterator

from thornlatch.configuration._records import OffsetDigest
from thornlatch.configuration._settings import ConfigurationSettings
from thornlatch.core import LeaseReader


class Freshness:
    """Tracks up to which time this host's state is known to be the latest.

    The state is *confirmed* as of time t if it includes every record that was on the
    log at t. It is confirmed by a read of the log that was sent at t and reached the
    end, or by a peer that has read no further and was itself confirmed as of t.

    Parameters
    ----------
    settings : ConfigurationSettings
    leases : LeaseReader
    host : str
        This host's id.
    """

    def __init__(
        self, settings: ConfigurationSettings, leases: LeaseReader, host: str
    ) -> None:
        self.settings = settings
        self.leases = leases
        self.host = host
        self.confirmed_at: float | None = None
        self.highest_known = -1
        self.queried: dict[str, float] = {}
        self.answered: dict[str, float] = {}

    def note_offset(self, offset: int) -> None:
        """Record that the log has a record at `offset`."""
        self.highest_known = max(self.highest_known, offset)

    def note_log_read(self, sent_at: float) -> None:
        """Record a read that was sent at `sent_at` and found nothing newer."""
        self._confirm(sent_at)

    def note_queries(self, peers: Iterable[str], *, now: float) -> None:
        """Record that peers are queried at `now`.

        Parameters
        ----------
        peers : iterable of str
            Host ids.
        now : float
            Seconds.
        """
        for times in (self.queried, self.answered):
            for peer in set(times).difference(self._iter_recent(times, now=now)):
                del times[peer]
        self.queried.update((peer, now) for peer in peers)

    def note_digest(
        self, digest: OffsetDigest, peer: str, offset: int, *, now: float
    ) -> None:
        """Apply a peer's answer.

        Parameters
        ----------
        digest : OffsetDigest
        peer : str
            Host id.
        offset : int
            Highest offset that this host has applied.
        now : float
            Seconds.
        """
        if peer not in self.queried or digest.sent_at > now:
            return
        self.note_offset(digest.offset)
        self.answered[peer] = max(self.answered.get(peer, 0.0), digest.sent_at)
        if digest.age_s is not None and digest.offset <= offset:
            self._confirm(digest.sent_at - digest.age_s)

    def get_age(self, *, now: float) -> float | None:
        """Return the seconds since the state was confirmed.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        float or None
            None if it never was confirmed.
        """
        if self.confirmed_at is None:
            return None
        return max(0.0, now - self.confirmed_at)

    def is_fresh(self, offset: int, *, now: float) -> bool:
        """Return whether the host may accept requests based on its state.

        Parameters
        ----------
        offset : int
            Highest offset that this host has applied.
        now : float
            Seconds.

        Returns
        -------
        bool
        """
        age = self.get_age(now=now)
        if age is not None and age <= self.settings.stale_limit_s:
            return True
        return self._is_outage(offset, now=now)

    def _is_outage(self, offset: int, *, now: float) -> bool:
        """Return whether the log seems unavailable to all hosts, not just to this one.

        If the log were available, at least one host in any majority of those queried
        would have read it, and its answer would confirm this host's state or show a
        higher offset.
        """
        if offset < 0 or self.highest_known > offset:
            return False
        if not self.leases.is_confirmed(now=now):
            return False
        members = self.leases.iter_members()
        if all(member.host == self.host for member in members):
            return True
        queried_count = len(list(self._iter_recent(self.queried, now=now)))
        answered_count = len(list(self._iter_recent(self.answered, now=now)))
        return answered_count > 0 and 2 * (answered_count + 1) > queried_count + 1

    def _iter_recent(self, times: dict[str, float], *, now: float) -> Iterator[str]:
        for peer, time in times.items():
            if now - time <= self.settings.stale_limit_s:
                yield peer

    def _confirm(self, time: float) -> None:
        if self.confirmed_at is None or time > self.confirmed_at:
            self.confirmed_at = time
