"""The configuration in force on this host, and its freshness."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from thornlatch.routing._configuration import Configuration
from thornlatch.routing._table import RouteTable


@dataclass(frozen=True)
class FreshnessSettings:
    """How long the configuration may be used without a confirmation.

    Parameters
    ----------
    revocation_s : float
        Seconds after which no host may accept a revoked key.
    margin_s : float
        Seconds of `revocation_s` reserved for a request to reach its target.
    ready_ratio : float
        Fraction of the limit after which a host reports that it isn't ready. The load
        balancer then takes about 2 s to send callers to other hosts.
    restored_s : float
        Seconds after a restore of the store for which reads confirm nothing, since the
        operators' latest records may not have been written again.
    """

    revocation_s: Annotated[float, Meta(gt=0)] = 5.0
    margin_s: Annotated[float, Meta(ge=0)] = 0.6
    ready_ratio: Annotated[float, Meta(gt=0, le=1)] = 0.5
    restored_s: Annotated[float, Meta(ge=0)] = 1.2

    @property
    def limit_s(self) -> float:
        """Seconds after the start of a confirming read for which keys are accepted."""
        return self.revocation_s - self.margin_s


@dataclass(frozen=True)
class _InstalledConfiguration:
    configuration: Configuration
    table: RouteTable


class ConfigurationInForce:
    """Holds the newest configuration; an older version never replaces it.

    One reader thread calls `install`; request threads read.

    Parameters
    ----------
    settings : FreshnessSettings
    """

    def __init__(self, settings: FreshnessSettings) -> None:
        self.settings = settings
        self.installed: _InstalledConfiguration | None = None
        self.confirmed_at = float("-inf")
        self.renewed_at = float("-inf")
        # Newest version that this host has read or another host has in force.
        self.newest_version = 0
        self.confirmable_from = float("-inf")

    @property
    def version(self) -> int:
        """Version in force, or 0 if none has been read."""
        configuration = self.configuration
        return configuration.version if configuration else 0

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, or None if none has been read."""
        installed = self.installed
        return installed.configuration if installed else None

    @property
    def table(self) -> RouteTable | None:
        """Routes of the configuration in force, or None if none has been read."""
        installed = self.installed
        return installed.table if installed else None

    @property
    def last_confirmed_at(self) -> float:
        """Earlier of the last confirmations of the configuration and of this host."""
        return min(self.confirmed_at, self.renewed_at)

    def install(self, configuration: Configuration) -> bool:
        """Bring a version into force if it is newer than the current one.

        Parameters
        ----------
        configuration : Configuration

        Returns
        -------
        bool
            Whether the version has replaced the current one.
        """
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.installed = _InstalledConfiguration(
            configuration, RouteTable(configuration.routes)
        )
        self.note_published(configuration.version)
        return True

    def note_published(self, version: int) -> bool:
        """Record that a version has been published, which this host may not have read.

        A restored store may have an older one until the operator writes it again.

        Parameters
        ----------
        version : int

        Returns
        -------
        bool
            Whether it is newer than all known versions.
        """
        is_newer = version > self.newest_version
        if is_newer:
            self.newest_version = version
        return is_newer

    def note_restored(self, *, now: float) -> None:
        """Record that the store was restored from a copy.

        Parameters
        ----------
        now : float
        """
        self.confirmable_from = now + self.settings.restored_s

    def withdraw_confirmation(self) -> None:
        """Accept no keys until a later read confirms the configuration."""
        self.confirmed_at = float("-inf")

    def confirm(self, *, asked_at: float) -> None:
        """Record that no newer version was published when a read started.

        Parameters
        ----------
        asked_at : float
            Start of the read, in seconds of `read_clock`.
        """
        if asked_at < self.confirmable_from or self.version < self.newest_version:
            return
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def note_renewal(self, *, asked_at: float) -> None:
        """Record that the store listed this host when a renewal started.

        Other hosts no longer count a host that the store has removed, so such a host
        must not accept keys.

        Parameters
        ----------
        asked_at : float
            Start of the renewal, in seconds of `read_clock`.
        """
        self.renewed_at = max(self.renewed_at, asked_at)

    def is_fresh(self, *, now: float) -> bool:
        """Return whether keys may still be accepted.

        Parameters
        ----------
        now : float
            Seconds of `read_clock`.

        Returns
        -------
        bool
        """
        return now - self.last_confirmed_at < self.settings.limit_s

    def is_fresh_for_new_requests(self, *, now: float) -> bool:
        """Return whether the load balancer may send new callers to this host.

        Parameters
        ----------
        now : float
            Seconds of `read_clock`.

        Returns
        -------
        bool
        """
        limit_s = self.settings.limit_s * self.settings.ready_ratio
        return now - self.last_confirmed_at < limit_s
