"""Registry of the targets that registered themselves in the platform's store."""

import threading
from dataclasses import dataclass, field, replace
from typing import Annotated

from msgspec import Meta

from thornlatch.fleet._digests import LEAVING_LIMIT
from thornlatch.fleet._store_contact import StoreContact

ANNOUNCED_LIMIT = 4096  # incarnations that announced their leaving; the oldest go
UNKNOWN_START_MS = 0
REMOVED_MEMORY_S = 60.0  # longer than the age of a copy that the store is restored from

Incarnation = tuple[str, int]  # id and start of a target, in Unix milliseconds


@dataclass(frozen=True)
class LoadedModel:
    """A model that a target has loaded.

    Parameters
    ----------
    model : str
    version : int
    adapters : dict of str to int
        Versions of the loaded adapters by name.
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
        Maximum number of concurrent requests.
    is_leaving : bool
        Whether it accepts no new requests.
    started_ms : int
        Start time in Unix milliseconds; it differs between incarnations.
    loaded_models : tuple of LoadedModel
    leaves_in_s : float or None
        Seconds until a target that is being reclaimed stops; None if it isn't.
    entry_number : int
        Number of the entry among those that this incarnation has written.
    software_version : str
        Version of its software. Streams of different versions can't be joined.
    cold_s : float
        Seconds for which it stays cold, as of its entry.
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
    entry_number: int = 0
    software_version: str = ""
    cold_s: float = 0.0

    @property
    def incarnation(self) -> Incarnation:
        """Identity that changes with a restart."""
        return (self.id, self.started_ms)

    def holds_model(self, model: str) -> bool:
        """Return whether the target registered that it holds a model.

        Parameters
        ----------
        model : str

        Returns
        -------
        bool
        """
        return any(loaded.model == model for loaded in self.loaded_models)


@dataclass(frozen=True)
class RegistrySettings:
    """When registrations expire.

    Parameters
    ----------
    return_s : float
        Seconds after the end of an outage of the store for which a target without an
        entry is kept, since the entry may come back; the platform promises 2 s.
    outage_s : float
        Shortest outage of the store in which the entry of a live target may expire.
    restored_s : float
        Seconds after a restore of the store from a copy in which targets write their
        entries again.
    """

    return_s: Annotated[float, Meta(ge=0)] = 1.6
    outage_s: Annotated[float, Meta(ge=0)] = 1.0
    restored_s: Annotated[float, Meta(ge=0)] = 2.0


class TargetRegistry:
    """Targets by id and by service.

    One thread applies entries; request threads read immutable snapshots.

    Parameters
    ----------
    settings : RegistrySettings

    Attributes
    ----------
    store_contact : StoreContact
        Outages of the store from which the entries are read.
    """

    def __init__(self, settings: RegistrySettings) -> None:
        self.settings = settings
        self.store_contact = StoreContact(settings.outage_s)
        self.lock = threading.Lock()
        self.targets: dict[str, Target] = {}
        self.by_service: dict[str, tuple[Target, ...]] = {}
        self.evacuated: frozenset[str] = frozenset()  # failure domains
        self.removal_due_at: dict[str, float] = {}
        # Incarnations that announced to any host that they leave, as ordered sets; the
        # second one has those that announced it to this host.
        self.announced_leaving: dict[Incarnation, None] = {}
        self.seen_leaving: dict[Incarnation, None] = {}
        self.restored_at = float("-inf")
        # Last entry and time of removal of incarnations that were removed lately.
        self.removed: dict[Incarnation, tuple[int, float]] = {}
        # When targets were registered, restarted or began to leave, by id.
        self.changed_at: dict[str, float] = {}

    def apply(self, name: str, target: Target | None, *, now: float) -> bool:
        """Apply an entry.

        Parameters
        ----------
        name : str
            Id of the target.
        target : Target or None
            None if the entry has been removed.
        now : float

        Returns
        -------
        bool
            Whether the target was added, removed or restarted, or its address or
            `is_leaving` changed.
        """
        with self.lock:
            previous = self.targets.get(name)
            if target is None:
                if previous is None:
                    return False
                due_at = self._get_removal_due_at(now)
                if due_at > now:
                    self.removal_due_at.setdefault(name, due_at)
                    return False
                self._remove(name, now)
                self.removal_due_at.pop(name, None)
                self._rebuild_snapshot()
                return True
            if previous is not None and self._is_lost_restart(previous, target, now):
                return False
            self.removal_due_at.pop(name, None)
            is_leaving = target.incarnation in self.announced_leaving
            if is_leaving or self._is_lost_removal(target, now):
                target = replace(target, is_leaving=True)
            self.targets[name] = target
            self._rebuild_snapshot()
            has_changed = previous is None or _has_changed(previous, target)
            if has_changed:
                self.changed_at[name] = now
            return has_changed

    def _get_removal_due_at(self, now: float) -> float:
        """Return when a target whose entry is missing counts as gone."""
        settings = self.settings
        # The entry may have expired only because the target couldn't renew it during
        # an outage. Those that are removed later have been missing for other reasons.
        due_at = max(now, self.store_contact.returned_at + settings.return_s)
        if now - self.restored_at < settings.restored_s + settings.return_s:
            # The entry may be one that the store has lost.
            due_at = max(
                now + settings.return_s,
                self.restored_at + settings.restored_s + settings.return_s,
            )
        return due_at

    def _note_removed(self, target: Target, now: float) -> None:
        self.removed = {
            incarnation: (number, removed_at)
            for incarnation, (number, removed_at) in self.removed.items()
            if now - removed_at < REMOVED_MEMORY_S
        }
        self.removed[target.incarnation] = (target.entry_number, now)

    def _is_lost_removal(self, target: Target, now: float) -> bool:
        """Return whether an entry is back only because the store lost its removal."""
        number, _ = self.removed.get(target.incarnation, (-1, now))
        if target.entry_number > number or now - self.restored_at >= REMOVED_MEMORY_S:
            self.removed.pop(target.incarnation, None)
            return False
        return True

    def _is_lost_restart(self, previous: Target, target: Target, now: float) -> bool:
        """Return whether the store has the entry of an earlier incarnation again."""
        was_restored = now - self.restored_at < REMOVED_MEMORY_S
        return was_restored and target.started_ms < previous.started_ms

    def note_restored(self, *, now: float) -> None:
        """Record that the store was restored from a copy.

        Parameters
        ----------
        now : float
        """
        with self.lock:
            self.restored_at = now
            # The copy may have the entries from before they announced it.
            for target in self.targets.values():
                if target.is_leaving:
                    _add_bounded(self.announced_leaving, target.incarnation)

    def note_leaving(
        self, incarnation: Incarnation, *, was_seen: bool, now: float | None = None
    ) -> bool:
        """Record that a target announced in an answer that it leaves.

        It holds for this incarnation, whatever its entry says, also if its entry is
        removed and comes back.

        Parameters
        ----------
        incarnation : (str, int)
            Id and start.
        was_seen : bool
            Whether this host got the answer, and not a peer.
        now : float or None
            None if it isn't known.

        Returns
        -------
        bool
            Whether this is news.
        """
        is_known = incarnation in self.announced_leaving
        if is_known and (not was_seen or incarnation in self.seen_leaving):
            return False
        with self.lock:
            if was_seen:
                _add_bounded(self.seen_leaving, incarnation)
            _add_bounded(self.announced_leaving, incarnation)
            registered = self.targets.get(incarnation[0])
            if registered is not None and registered.incarnation == incarnation:
                self.targets[registered.id] = replace(registered, is_leaving=True)
                if now is not None and not registered.is_leaving:
                    self.changed_at[registered.id] = now
                self._rebuild_snapshot()
        return not is_known

    def list_seen_leaving(self) -> tuple[Incarnation, ...]:
        """Return registered targets that announced to this host that they leave.

        Those of unknown start are left out, since peers might take their successors
        for them.

        Returns
        -------
        tuple of (str, int)
            The latest `LEAVING_LIMIT`.
        """
        if not self.seen_leaving:
            return ()
        with self.lock:
            registered = [
                incarnation
                for incarnation in self.seen_leaving
                if incarnation[1] != UNKNOWN_START_MS
                and incarnation[0] in self.targets
                and self.targets[incarnation[0]].incarnation == incarnation
            ]
        return tuple(registered[-LEAVING_LIMIT:])

    def expire(self, *, now: float) -> list[str]:
        """Remove targets whose entry wasn't restored in time, and return their ids.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of str
        """
        with self.lock:
            expired = [
                name for name, due_at in self.removal_due_at.items() if now >= due_at
            ]
            for name in expired:
                del self.removal_due_at[name]
                self._remove(name, now)
            if expired:
                self._rebuild_snapshot()
        return expired

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
        """Return the targets of a service that accept new requests.

        Parameters
        ----------
        service : str

        Returns
        -------
        tuple of Target
            Without those in evacuated failure domains.
        """
        return self.by_service.get(service, ())

    def set_evacuated(self, domains: frozenset[str]) -> None:
        """Leave out the targets of failure domains from `get_ready`.

        They stay registered.

        Parameters
        ----------
        domains : frozenset of str
            Replaces the domains set before.
        """
        with self.lock:
            self.evacuated = domains
            self._rebuild_snapshot()

    def is_evacuated(self, target: Target) -> bool:
        """Return whether a target is in an evacuated failure domain.

        Parameters
        ----------
        target : Target

        Returns
        -------
        bool
        """
        return target.failure_domain in self.evacuated

    def list_domain_targets(self, domain: str) -> list[Target]:
        """Return all registered targets of a failure domain.

        Parameters
        ----------
        domain : str

        Returns
        -------
        list of Target
        """
        return [
            target
            for target in list(self.targets.values())
            if target.failure_domain == domain
        ]

    def list_service_targets(self, service: str) -> list[Target]:
        """Return all registered targets of a service.

        Parameters
        ----------
        service : str

        Returns
        -------
        list of Target
            Also those that leave or are evacuated.
        """
        return [
            target
            for target in list(self.targets.values())
            if target.service == service
        ]

    def list_software_versions(self, service: str) -> list[str]:
        """Return the software version of each target of a service.

        Parameters
        ----------
        service : str

        Returns
        -------
        list of str
            Also of targets that leave or are evacuated.
        """
        return [
            target.software_version for target in self.list_service_targets(service)
        ]

    def _remove(self, name: str, now: float) -> None:
        self.changed_at.pop(name, None)
        target = self.targets.pop(name, None)
        if target is None:
            return
        self._note_removed(target, now)
        if target.started_ms == UNKNOWN_START_MS:
            # The next incarnation couldn't be told from this one.
            self.announced_leaving.pop(target.incarnation, None)
            self.seen_leaving.pop(target.incarnation, None)

    def _rebuild_snapshot(self) -> None:
        by_service: dict[str, list[Target]] = {}
        for target in self.targets.values():
            if not (target.is_leaving or self.is_evacuated(target)):
                by_service.setdefault(target.service, []).append(target)
        self.by_service = {
            service: tuple(targets) for service, targets in by_service.items()
        }


def _add_bounded(incarnations: dict[Incarnation, None], added: Incarnation) -> None:
    incarnations[added] = None
    while len(incarnations) > ANNOUNCED_LIMIT:
        del incarnations[next(iter(incarnations))]


def _has_changed(previous: Target, target: Target) -> bool:
    return (
        previous.incarnation != target.incarnation
        or previous.is_leaving != target.is_leaving
        or previous.address != target.address
    )
