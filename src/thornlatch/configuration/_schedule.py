"""Whose turn it is to write a snapshot to the log, and which peers to ask."""

import hashlib

from thornlatch.configuration._settings import ConfigurationSettings
from thornlatch.core import LeaseReader


class SnapshotSchedule:
    """Orders the members, so that one of them writes each snapshot.

    Parameters
    ----------
    settings : ConfigurationSettings
    host : str
        This host's id.
    leases : LeaseReader
    """

    def __init__(
        self, settings: ConfigurationSettings, host: str, leases: LeaseReader
    ) -> None:
        self.settings = settings
        self.host = host
        self.leases = leases
        self.covered_offset = -1
        self.seen_at: float | None = None

    def start(self, *, now: float) -> None:
        """Begin to wait, at the first call.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if self.seen_at is None:
            self.seen_at = now

    def note(self, covered_offset: int, *, now: float) -> None:
        """Note a snapshot that was read or written.

        Parameters
        ----------
        covered_offset : int
        now : float
            Seconds.
        """
        self.seen_at = now
        self.covered_offset = max(self.covered_offset, covered_offset)

    def is_due(self, offset: int, *, now: float) -> bool:
        """Return whether this host is to write a snapshot now.

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
        if offset < 0 or self.seen_at is None:
            return False
        settings = self.settings
        waited_s = now - self.seen_at
        due_s = settings.snapshot_every_s
        if offset - self.covered_offset >= settings.snapshot_every_records:
            due_s = min(due_s, settings.snapshot_backoff_s)
        if waited_s < due_s:
            return False
        return waited_s >= due_s + self._get_turn() * settings.snapshot_backoff_s

    def _get_turn(self) -> int:
        """Return this host's place in the order that the last snapshot gives."""
        salt = str(self.covered_offset)
        hosts = (member.host for member in self.leases.iter_members())
        ranks = sorted(rank(salt, host) for host in hosts)
        own = rank(salt, self.host)
        return ranks.index(own) if own in ranks else len(ranks)


class QuerySchedule:
    """Decides when to ask peers how far they have read, and which of them.

    Parameters
    ----------
    settings : ConfigurationSettings
    host : str
        This host's id.
    leases : LeaseReader
    """

    def __init__(
        self, settings: ConfigurationSettings, host: str, leases: LeaseReader
    ) -> None:
        self.settings = settings
        self.host = host
        self.leases = leases
        self.asked_at: float | None = None
        self.round = 0

    def choose_peers(self, age_s: float | None, *, now: float) -> list[str]:
        """Return the peers to ask now.

        Parameters
        ----------
        age_s : float or None
            Seconds since the state was confirmed; None if it never was.
        now : float
            Seconds.

        Returns
        -------
        list of str
            Empty while the log answers, and between two queries.
        """
        if age_s is not None and age_s < self.settings.query_after_s:
            return []
        interval_s = self.settings.query_interval_s
        if self.asked_at is not None and now - self.asked_at < interval_s:
            return []
        self.asked_at = now
        return self._take_next()

    def _take_next(self) -> list[str]:
        """Return the next peers in an order of this host's own."""
        members = (member.host for member in self.leases.iter_members())
        others = (host for host in members if host != self.host)
        peers = sorted(others, key=lambda host: rank(self.host, host))
        count = min(self.settings.query_peers, len(peers))
        start = self.round * count
        self.round += 1
        return [peers[(start + index) % len(peers)] for index in range(count)]


def rank(salt: str, host: str) -> str:
    """Return what orders hosts evenly for each salt.

    Parameters
    ----------
    salt : str
    host : str

    Returns
    -------
    str
    """
    return hashlib.sha256(f"{salt}|{host}".encode()).hexdigest()
