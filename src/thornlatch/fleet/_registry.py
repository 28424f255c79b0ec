"""Targets by service, as they registered themselves in the platform's store."""

import threading
from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta


@dataclass(frozen=True)
class LoadedModel:
    """A model that a target holds.

    Parameters
    ----------
    model : str
    version : int
    adapters : dict of str to int
        Adapter name to version.
    """

    model: str
    version: int
    adapters: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class Target:
    """One incarnation of a target.

    Parameters
    ----------
    id : str
    service : str
    address : str
        ``ip:port``.
    failure_domain : str
    slots : int
        Requests that run at once.
    is_leaving : bool
        Whether it takes no new work.
    started_ms : int
        Unix milliseconds of its start; another value is another incarnation.
    loaded_models : tuple of LoadedModel
    leaves_in_s : float or None
        Seconds until a target that was reclaimed is gone.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_leaving: bool = False
    started_ms: int = 0
    loaded_models: tuple[LoadedModel, ...] = ()
    leaves_in_s: float | None = None

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identity that a restart changes."""
        return (self.id, self.started_ms)


@dataclass(frozen=True)
class RegistrySettings:
    """When registrations end.

    Parameters
    ----------
    return_s : float
        Seconds after an outage of the store in which an entry that lapsed may come
        back; the platform promises 2 s.
    outage_s : float
        Seconds after a failed read during which a removal may be due to an outage.
    """

    return_s: Annotated[float, Meta(ge=0)] = 1.6
    outage_s: Annotated[float, Meta(ge=0)] = 3.0


class TargetRegistry:
    """Knows the targets of each service.

    One reader thread applies entries; request threads read immutable snapshots.

    Parameters
    ----------
    settings : RegistrySettings
    """

    def __init__(self, settings: RegistrySettings) -> None:
        self.settings = settings
        self.lock = threading.Lock()
        self.targets: dict[str, Target] = {}
        self.by_service: dict[str, tuple[Target, ...]] = {}
        self.lapsing: dict[str, float] = {}
        self.failed_at = float("-inf")

    def apply(self, name: str, target: Target | None, *, now: float) -> bool:
        """Apply an entry.

        Parameters
        ----------
        name : str
            Id of the target.
        target : Target or None
            None if the entry was removed.
        now : float

        Returns
        -------
        bool
            Whether targets came, went, began to leave or restarted.
        """
        with self.lock:
            former = self.targets.get(name)
            if target is None:
                if former is None:
                    return False
                if now - self.failed_at < self.settings.outage_s:
                    # It lapsed while the store was away and may be back soon.
                    self.lapsing.setdefault(name, now + self.settings.return_s)
                    return False
                del self.targets[name]
                self.lapsing.pop(name, None)
                self._publish()
                return True
            self.lapsing.pop(name, None)
            self.targets[name] = target
            self._publish()
            return former is None or _has_changed(former, target)

    def note_failure(self, *, now: float) -> None:
        """Note that the store couldn't be read.

        Parameters
        ----------
        now : float
        """
        self.failed_at = now

    def expire(self, *, now: float) -> list[str]:
        """Remove entries that lapsed and didn't come back; return their names.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of str
        """
        with self.lock:
            gone = [name for name, due in self.lapsing.items() if now >= due]
            for name in gone:
                del self.lapsing[name]
                self.targets.pop(name, None)
            if gone:
                self._publish()
        return gone

    def get(self, name: str) -> Target | None:
        """Return a target by its id.

        Parameters
        ----------
        name : str

        Returns
        -------
        Target or None
        """
        return self.targets.get(name)

    def get_ready(self, service: str) -> tuple[Target, ...]:
        """Return the targets of a service that take new work.

        Parameters
        ----------
        service : str

        Returns
        -------
        tuple of Target
        """
        return self.by_service.get(service, ())

    def _publish(self) -> None:
        by_service: dict[str, list[Target]] = {}
        for target in self.targets.values():
            if not target.is_leaving:
                by_service.setdefault(target.service, []).append(target)
        self.by_service = {name: tuple(some) for name, some in by_service.items()}


def _has_changed(former: Target, target: Target) -> bool:
    return (
        former.incarnation != target.incarnation
        or former.is_leaving != target.is_leaving
        or former.address != target.address
    )
