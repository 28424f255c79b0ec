"""Adapters of all targets, as reported by their holders or registered by themselves."""

import threading
from collections.abc import Iterable
from dataclasses import dataclass

from thornlatch.fleet import ResidentAdapter

# By then the holder's digests include the announced load.
EXPECTED_LOAD_VALIDITY_S = 0.7
HOLDER_REPORT_VALIDITY_S = 3.0  # a holder repeats its report at least once a second


@dataclass(frozen=True)
class Resident:
    """An adapter that a target holds, loads or is going to load.

    Parameters
    ----------
    version : int
        0 if it isn't known.
    ready_at : float
        Time from which it can be used, in seconds of `read_clock`.
    is_queued : bool
        Whether its load hasn't started.
    """

    version: int
    ready_at: float
    is_queued: bool = False


def build_residents(
    reported: Iterable[ResidentAdapter], *, now: float
) -> dict[str, Resident]:
    """Convert a holder's report to residents, with times of this host's clock.

    Parameters
    ----------
    reported : iterable of ResidentAdapter
    now : float
        Time of the report.

    Returns
    -------
    dict of str to Resident
    """
    return {
        adapter.name: Resident(
            adapter.version, now + adapter.ready_in_s, adapter.is_queued
        )
        for adapter in reported
    }


class ResidentTable:
    """Tracks adapters by target and wakes threads waiting for a change; thread-safe."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.by_target: dict[str, dict[str, Resident]] = {}
        self.holder_reported_at: dict[str, float] = {}
        # When the next load at a target can begin, as its holder estimates.
        self.place_at: dict[str, float] = {}
        self.former_adapters: dict[str, set[str]] = {}
        self.expected_loads: dict[str, dict[str, tuple[Resident, float]]] = {}
        # Latest report of each target's holder, unless something changed since.
        self.latest_reports: dict[str, object] = {}
        self.revisions: dict[str, int] = {}
        # Targets that hold, load or held an adapter, by adapter.
        self.possible_targets: dict[str, set[str]] = {}

    def confirm_holder_report(self, target: str, report: object, *, now: float) -> bool:
        """Return whether a report repeats the latest one, and if so keep that valid.

        Parameters
        ----------
        target : str
        report : object
            As passed to `apply_holder_report`; None never matches.
        now : float

        Returns
        -------
        bool
        """
        with self.changed:
            if report is None or self.latest_reports.get(target) != report:
                return False
            self.holder_reported_at[target] = now
            return True

    def apply_holder_report(
        self,
        target: str,
        residents: dict[str, Resident],
        *,
        now: float,
        report: object = None,
    ) -> None:
        """Replace a target's adapters by a report of its holder.

        Parameters
        ----------
        target : str
        residents : dict of str to Resident
        now : float
        report : object
            The report as the holder sent it, if it stays valid until the holder sends
            a different one.
        """
        with self.changed:
            self.holder_reported_at[target] = now
            known = self.by_target.get(target, {})
            residents = {
                name: _merge_resident(known.get(name), resident, now)
                for name, resident in residents.items()
            }
            started = {
                name for name, resident in residents.items() if not resident.is_queued
            }
            self.former_adapters.setdefault(target, set()).update(started)
            # A digest sent before a load was ordered may arrive after its announcement.
            self.expected_loads[target] = {
                name: (resident, until)
                for name, (resident, until) in self.expected_loads.get(
                    target, {}
                ).items()
                if now < until and name not in residents
            }
            expected_loads = {
                name: resident
                for name, (resident, _) in self.expected_loads[target].items()
            }
            self._replace(target, {**residents, **expected_loads})
            if report is not None and not expected_loads:
                self.latest_reports[target] = report

    def note_expected_load(
        self, target: str, adapter: str, resident: Resident, *, now: float
    ) -> None:
        """Add a load that a target's holder announces to this host alone.

        Parameters
        ----------
        target, adapter : str
        resident : Resident
        now : float
        """
        with self.changed:
            until = now + EXPECTED_LOAD_VALIDITY_S
            self.expected_loads.setdefault(target, {})[adapter] = (resident, until)
            known = self.by_target.get(target, {})
            self._replace(target, {**known, adapter: resident})

    def apply_registration(
        self, target: str, residents: dict[str, Resident], *, now: float
    ) -> None:
        """Replace a target's adapters by its registration.

        A report of the target's holder takes precedence for `HOLDER_REPORT_VALIDITY_S`.

        Parameters
        ----------
        target : str
        residents : dict of str to Resident
        now : float
        """
        with self.changed:
            reported_at = self.holder_reported_at.get(target, float("-inf"))
            if now - reported_at >= HOLDER_REPORT_VALIDITY_S:
                self._replace(target, residents)

    def _replace(self, target: str, residents: dict[str, Resident]) -> None:
        self.latest_reports.pop(target, None)
        known = self.by_target.get(target, {})
        changed_names = [
            name
            for name in known.keys() | residents.keys()
            if known.get(name) != residents.get(name)
        ]
        self.by_target[target] = residents
        for name in residents.keys() - known.keys():
            self.possible_targets.setdefault(name, set()).add(target)
        for name in changed_names:
            self.revisions[name] = self.revisions.get(name, 0) + 1
        if changed_names:
            self.changed.notify_all()

    def remove(self, target: str) -> None:
        """Remove a target that has departed or restarted.

        Parameters
        ----------
        target : str
        """
        with self.changed:
            # Requests that wait for a load there have to choose another target.
            self._replace(target, {})
            self.by_target.pop(target, None)
            self.holder_reported_at.pop(target, None)
            self.place_at.pop(target, None)
            self.former_adapters.pop(target, None)
            self.expected_loads.pop(target, None)
            self.latest_reports.pop(target, None)
            for targets in self.possible_targets.values():
                targets.discard(target)

    def list_possible_targets(self, adapter: str) -> frozenset[str]:
        """Return the targets that hold, load or held an adapter.

        Parameters
        ----------
        adapter : str

        Returns
        -------
        frozenset of str
        """
        with self.changed:
            return frozenset(self.possible_targets.get(adapter, ()))

    def is_former_target(self, target: str, adapter: str) -> bool:
        """Return whether a target held an adapter before and so loads it faster.

        Parameters
        ----------
        target, adapter : str

        Returns
        -------
        bool
        """
        return adapter in self.former_adapters.get(target, ())

    def delay(self, target: str, adapter: str, *, until: float) -> None:
        """Postpone the time from which an adapter can be used at a target.

        Parameters
        ----------
        target, adapter : str
        until : float
            The new time, in seconds of `read_clock`.
        """
        with self.changed:
            known = self.by_target.get(target, {})
            if adapter in known:
                self.latest_reports.pop(target, None)
                resident = Resident(known[adapter].version, until)
                self.by_target[target] = {**known, adapter: resident}

    def get(self, target: str, adapter: str) -> Resident | None:
        """Return an adapter's state at a target, or None if the target lacks it.

        Parameters
        ----------
        target, adapter : str

        Returns
        -------
        Resident or None
        """
        return self.by_target.get(target, {}).get(adapter)

    def count_in_transit(self, *, now: float) -> int:
        """Return the number of adapters that all targets together are loading.

        Parameters
        ----------
        now : float

        Returns
        -------
        int
        """
        return sum(
            1
            for residents in list(self.by_target.values())
            for resident in residents.values()
            if resident.ready_at > now and not resident.is_queued
        )

    def wait(self, adapter: str, timeout_s: float) -> None:
        """Wait until an adapter's state changes at any target, or for `timeout_s`.

        Parameters
        ----------
        adapter : str
        timeout_s : float
        """
        with self.changed:
            known_revision = self.revisions.get(adapter, 0)
            self.changed.wait_for(
                lambda: self.revisions.get(adapter, 0) != known_revision, timeout_s
            )


def _merge_resident(known: Resident | None, reported: Resident, now: float) -> Resident:
    """Return the known state unless the reported one differs.

    A report that an available adapter is still available must not wake threads that
    wait for a change.
    """
    if known is None or known.is_queued or reported.is_queued:
        return reported
    is_same = (
        known.version == reported.version
        and max(known.ready_at, reported.ready_at) <= now
    )
    return known if is_same else reported
