"""State of one target's adapter slots, as known to the target's owner."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from thornlatch.configuration import Target
from thornlatch.placement._orders import AdapterVersion


@dataclass(frozen=True)
class OpenOrder:
    """An order whose result isn't known yet.

    Parameters
    ----------
    version : AdapterVersion
    settled_at : float
        Time after which the order can no longer change the target's slots, in seconds.
    """

    version: AdapterVersion
    settled_at: float


class TargetSlots:
    """Adapter slots of one target.

    A slot is resident, loading, evicting or uncertain. Only resident versions may be
    used. An order without a certain result leaves its slot uncertain until a report
    with a snapshot after the order's `settled_at` shows what happened.

    Parameters
    ----------
    target : Target
    """

    def __init__(self, target: Target) -> None:
        self.target = target
        self.incarnation: str | None = None
        self.snapshot_at: float | None = None
        self.resident: dict[AdapterVersion, float] = {}
        self.loading: dict[AdapterVersion, OpenOrder] = {}
        self.evicting: dict[AdapterVersion, OpenOrder] = {}
        self.uncertain: dict[AdapterVersion, OpenOrder] = {}
        self.evicted_at: dict[AdapterVersion, float] = {}

    @property
    def has_report(self) -> bool:
        """Whether a report of the target has been applied."""
        return self.snapshot_at is not None

    def count_empty(self) -> int:
        """Return the number of slots known to be empty."""
        if not self.has_report:
            return 0
        used_count = len(self.resident) + len(self.loading)
        used_count += len(self.evicting) + len(self.uncertain)
        return self.target.adapter_slots - used_count

    def may_hold(self, version: AdapterVersion) -> bool:
        """Return whether a slot may hold `version` now or soon."""
        return (
            version in self.resident
            or version in self.loading
            or version in self.evicting
            or version in self.uncertain
        )

    def iter_possible_versions(self) -> Iterator[AdapterVersion]:
        """Iterate over the versions that slots may hold now or soon."""
        yield from self.resident
        yield from self.loading
        yield from self.evicting
        yield from self.uncertain

    def begin_load(self, version: AdapterVersion, settled_at: float) -> None:
        """Record a load order."""
        self.loading[version] = OpenOrder(version, settled_at)

    def begin_eviction(self, version: AdapterVersion, settled_at: float) -> None:
        """Record an eviction order; the version is unusable from now on."""
        del self.resident[version]
        self.evicting[version] = OpenOrder(version, settled_at)

    def end_load(self, version: AdapterVersion, *, ok: bool, now: float) -> bool:
        """Record the certain result of a load; return whether its order was open."""
        was_open = self.loading.pop(version, None) is not None
        if was_open and ok:
            self.resident[version] = now
        return was_open

    def end_eviction(self, version: AdapterVersion, *, ok: bool, now: float) -> bool:
        """Record the certain result of an eviction; return whether it was open."""
        was_open = self.evicting.pop(version, None) is not None
        if was_open and ok:
            self.evicted_at[version] = now
        elif was_open:
            self.resident[version] = now
        return was_open

    def lose_result(self, version: AdapterVersion) -> None:
        """Mark an order's version as uncertain, because its result is lost."""
        for orders in (self.loading, self.evicting):
            order = orders.pop(version, None)
            if order is not None:
                self.uncertain[version] = order

    def mark_uncertain(self, version: AdapterVersion, settled_at: float) -> None:
        """Make a version unusable until a report with a snapshot after `settled_at`."""
        self.resident.pop(version, None)
        uncertain_order = self.uncertain.get(version)
        if uncertain_order is None or uncertain_order.settled_at < settled_at:
            self.uncertain[version] = OpenOrder(version, settled_at)

    def expire_orders(self, grace_s: float, now: float) -> list[AdapterVersion]:
        """Mark results overdue by `grace_s` seconds as lost; return their versions."""
        overdue = [
            order.version
            for orders in (self.loading, self.evicting)
            for order in orders.values()
            if now > order.settled_at + grace_s
        ]
        for version in overdue:
            self.lose_result(version)
        return overdue

    def mark_missing(self, version: AdapterVersion, now: float) -> None:
        """Mark `version` as uncertain after the target answered that it lacks it."""
        if version in self.resident:
            self.mark_uncertain(version, now)

    def apply_report(
        self,
        loaded: Iterable[AdapterVersion],
        incarnation: str,
        snapshot_at: float,
    ) -> None:
        """Merge a report of the target's loaded versions.

        Parameters
        ----------
        loaded : iterable of AdapterVersion
        incarnation : str
            Identifies the run of the target's process.
        snapshot_at : float
            Time of the report's content, in seconds; a version that was loaded or
            evicted later isn't reflected in it.
        """
        if self.snapshot_at is not None and snapshot_at < self.snapshot_at:
            return
        versions = set(loaded)
        if incarnation != self.incarnation:
            self._begin_incarnation(incarnation)
        self.snapshot_at = snapshot_at
        self._settle_uncertain(versions, snapshot_at)
        for version, resident_since in list(self.resident.items()):
            if version not in versions and resident_since <= snapshot_at:
                del self.resident[version]
        for version in versions:
            if self._is_unknown(version, snapshot_at):
                self.resident[version] = snapshot_at
        self.evicted_at = {
            version: at for version, at in self.evicted_at.items() if at > snapshot_at
        }

    def _begin_incarnation(self, incarnation: str) -> None:
        if self.incarnation is not None:
            self.resident.clear()
            for version in [*self.loading, *self.evicting]:
                self.lose_result(version)
        self.incarnation = incarnation

    def _settle_uncertain(
        self, versions: set[AdapterVersion], snapshot_at: float
    ) -> None:
        for version, order in list(self.uncertain.items()):
            if snapshot_at <= order.settled_at:
                continue
            del self.uncertain[version]
            if version in versions:
                self.resident[version] = snapshot_at

    def _is_unknown(self, version: AdapterVersion, snapshot_at: float) -> bool:
        if self.may_hold(version):
            return False
        return self.evicted_at.get(version, -1.0) < snapshot_at
