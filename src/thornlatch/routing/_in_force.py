"""The configuration in force on this host, and how fresh it is."""

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
        Seconds after which a withdrawn key must have stopped everywhere.
    margin_s : float
        Seconds of `revocation_s` that are left for a request to reach its target.
    ready_ratio : float
        Part of the limit after which a host asks the balancer for no more callers;
        the balancer takes some 2 s to send them elsewhere.
    """

    revocation_s: Annotated[float, Meta(gt=0)] = 5.0
    margin_s: Annotated[float, Meta(ge=0)] = 0.6
    ready_ratio: Annotated[float, Meta(gt=0, le=1)] = 0.5

    @property
    def limit_s(self) -> float:
        """Seconds after the start of the last confirming read."""
        return self.revocation_s - self.margin_s


@dataclass(frozen=True)
class _Published:
    configuration: Configuration
    table: RouteTable


class ConfigurationInForce:
    """Holds the newest configuration; versions never go back.

    One reader thread installs; request threads read.

    Parameters
    ----------
    settings : FreshnessSettings
    """

    def __init__(self, settings: FreshnessSettings) -> None:
        self.settings = settings
        self.published: _Published | None = None
        self.confirmed_at = float("-inf")
        self.renewed_at = float("-inf")

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, if one has been read."""
        published = self.published
        return published.configuration if published else None

    @property
    def table(self) -> RouteTable | None:
        """Routes of the configuration in force."""
        published = self.published
        return published.table if published else None

    @property
    def known_at(self) -> float:
        """When both the configuration and this host were last confirmed."""
        return min(self.confirmed_at, self.renewed_at)

    def install(self, configuration: Configuration) -> bool:
        """Bring a version into force unless it is older than the present one.

        Parameters
        ----------
        configuration : Configuration

        Returns
        -------
        bool
            Whether it is in force now.
        """
        present = self.configuration
        if present is not None and configuration.version <= present.version:
            return False
        self.published = _Published(configuration, RouteTable(configuration.routes))
        return True

    def confirm(self, *, asked_at: float) -> None:
        """Note that nothing newer was published when a read began.

        Parameters
        ----------
        asked_at : float
            Seconds of `read_clock`.
        """
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def note_renewal(self, *, asked_at: float) -> None:
        """Note that the store knew of this host when a renewal began.

        Hosts that the store has dropped are no longer counted by the others, so they
        must not accept keys either.

        Parameters
        ----------
        asked_at : float
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
        return now - self.known_at < self.settings.limit_s

    def is_fresh_for_new_requests(self, *, now: float) -> bool:
        """Return whether callers who come now can still be served.

        Parameters
        ----------
        now : float
            Seconds of `read_clock`.

        Returns
        -------
        bool
        """
        limit_s = self.settings.limit_s * self.settings.ready_ratio
        return now - self.known_at < limit_s
