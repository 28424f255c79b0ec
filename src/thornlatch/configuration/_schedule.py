"""Schedules for writing snapshots to the log and for querying peers."""

import hashlib

from thornlatch.configuration._settings import ConfigurationSettings
from thornlatch.core import LeaseReader


class SnapshotSchedule:
    """Ranks the members, so that only one of them writes each snapshot.

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
        self.last_snapshot_at: float | None = None

    def start(self, *, now: float) -> None:
        """Start waiting for the next snapshot, at the first call.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if self.last_snapshot_at is None:
            self.last_snapshot_at = now

    def note_snapshot(self, covered_offset: int, *, now: float) -> None:
        """Record a snapshot that was read or written.

        Parameters
        ----------
        covered_offset : int
        now : float
            Seconds.
        """
        self.last_snapshot_at = now
        self.covered_offset = max(self.covered_offset, covered_offset)

    def is_due(self, offset: int, *, now: float) -> bool:
        """Return whether this host has to write a snapshot now.

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
        if offset < 0 or self.last_snapshot_at is None:
            return False
        settings = self.settings
        elapsed_s = now - self.last_snapshot_at
        due_s = settings.snapshot_every_s
        if offset - self.covered_offset >= settings.snapshot_every_records:
            due_s = min(due_s, settings.snapshot_backoff_s)
        if elapsed_s < due_s:
            return False
        return elapsed_s >= due_s + self._get_rank() * settings.snapshot_backoff_s

    def _get_rank(self) -> int:
        """Return this host's rank among the members for the next snapshot.

        The ranks change with each snapshot, as its covered offset is their salt.
        """
        salt = str(self.covered_offset)
        hosts = (member.host for member in self.leases.iter_members())
        rank_keys = sorted(compute_rank_key(salt, host) for host in hosts)
        own_key = compute_rank_key(salt, self.host)
        return rank_keys.index(own_key) if own_key in rank_keys else len(rank_keys)


class QuerySchedule:
    """Decides when to query peers for their offsets, and which peers.

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
        self.queried_at: float | None = None
        self.round = 0

    def choose_peers(self, age_s: float | None, *, now: float) -> list[str]:
        """Return the peers to query now.

        Parameters
        ----------
        age_s : float or None
            Seconds since the state was confirmed; None if it never was.
        now : float
            Seconds.

        Returns
        -------
        list of str
            Empty while the log answers, and between two rounds of queries.
        """
        if age_s is not None and age_s < self.settings.query_after_s:
            return []
        interval_s = self.settings.query_interval_s
        if self.queried_at is not None and now - self.queried_at < interval_s:
            return []
        self.queried_at = now
        return self._choose_next_peers()

    def _choose_next_peers(self) -> list[str]:
        """Return the next peers in an order that differs between hosts."""
        members = (member.host for member in self.leases.iter_members())
        other_hosts = (host for host in members if host != self.host)
        peers = sorted(other_hosts, key=lambda host: compute_rank_key(self.host, host))
        count = min(self.settings.query_peers, len(peers))
        start = self.round * count
        self.round += 1
        return [peers[(start + index) % len(peers)] for index in range(count)]


def compute_rank_key(salt: str, host: str) -> str:
    """Return a sort key that ranks hosts differently for each salt.

    Parameters
    ----------
    salt : str
    host : str

    Returns
    -------
    str
    """
    return hashlib.sha256(f"{salt}|{host}".encode()).hexdigest()
