"""Which adapters sit where, from holders' digests and targets' registrations."""

import threading
from collections.abc import Iterable
from dataclasses import dataclass

from thornlatch.fleet import ResidentAdapter

NOTED_S = 0.7  # until a holder's word to this host alone stands in its digests, too
OWNED_S = 3.0  # a holder repeats what it knows at least once a second


@dataclass(frozen=True)
class Resident:
    """An adapter at a target.

    Parameters
    ----------
    version : int
        0 if it isn't known.
    ready_at : float
        When it can be used, in seconds of `read_clock`.
    is_queued : bool
        Whether its fetching hasn't begun.
    """

    version: int
    ready_at: float
    is_queued: bool = False


def build_residents(
    told: Iterable[ResidentAdapter], *, now: float
) -> dict[str, Resident]:
    """Return what a holder says of adapters, by this host's clock.

    Parameters
    ----------
    told : iterable of ResidentAdapter
    now : float
        When the holder said it.

    Returns
    -------
    dict of str to Resident
    """
    return {
        one.name: Resident(one.version, now + one.ready_in_s, one.is_queued)
        for one in told
    }


class ResidentTable:
    """Adapters by target, with a condition to wait for changes; safe for threads."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.by_target: dict[str, dict[str, Resident]] = {}
        self.holder_reported_at: dict[str, float] = {}
        self.former_adapters: dict[str, set[str]] = {}
        self.noted: dict[str, dict[str, tuple[Resident, float]]] = {}
        # What a holder said last, where nothing else was said of the target since.
        self.words: dict[str, object] = {}
        self.revisions: dict[str, int] = {}
        # Adapter to the targets where it is, is coming or was.
        self.places: dict[str, set[str]] = {}

    def confirm_holder_report(self, target: str, report: object, *, now: float) -> bool:
        """Return whether a target's holder says what it said before.

        Parameters
        ----------
        target : str
        word : object
        now : float

        Returns
        -------
        bool
        """
        with self.changed:
            if report is None or self.words.get(target) != report:
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
        """Take what a target's holder says of it.

        Parameters
        ----------
        target : str
        residents : dict of str to Resident
        now : float
        word : object
            The same as the holder said it, if it holds until it says something else.
        """
        with self.changed:
            self.holder_reported_at[target] = now
            former = self.by_target.get(target, {})
            residents = {
                name: _keep_ready(former.get(name), one, now)
                for name, one in residents.items()
            }
            arrived = {name for name, one in residents.items() if not one.is_queued}
            self.former_adapters.setdefault(target, set()).update(arrived)
            # What was said before a load was ordered may arrive after word of it.
            self.noted[target] = {
                name: (one, until)
                for name, (one, until) in self.noted.get(target, {}).items()
                if now < until and name not in residents
            }
            noted = {name: one for name, (one, _) in self.noted[target].items()}
            self._replace(target, {**residents, **noted})
            if report is not None and not noted:
                self.words[target] = report

    def note_expected_load(
        self, target: str, adapter: str, resident: Resident, *, now: float
    ) -> None:
        """Take what a target's holder says to this host alone.

        Parameters
        ----------
        target, adapter : str
        resident : Resident
        now : float
        """
        with self.changed:
            until = now + NOTED_S
            self.noted.setdefault(target, {})[adapter] = (resident, until)
            former = self.by_target.get(target, {})
            self._replace(target, {**former, adapter: resident})

    def apply_registration(
        self, target: str, residents: dict[str, Resident], *, now: float
    ) -> None:
        """Take what a target said of itself, unless its holder has spoken lately.

        Parameters
        ----------
        target : str
        residents : dict of str to Resident
        now : float
        """
        if now - self.holder_reported_at.get(target, float("-inf")) >= OWNED_S:
            with self.changed:
                self._replace(target, residents)

    def _replace(self, target: str, residents: dict[str, Resident]) -> None:
        self.words.pop(target, None)
        former = self.by_target.get(target, {})
        changed = [
            name
            for name in former.keys() | residents.keys()
            if former.get(name) != residents.get(name)
        ]
        self.by_target[target] = residents
        for name in residents.keys() - former.keys():
            self.places.setdefault(name, set()).add(target)
        for name in changed:
            self.revisions[name] = self.revisions.get(name, 0) + 1
        if changed:
            self.changed.notify_all()

    def remove(self, target: str) -> None:
        """Forget a target that has gone or restarted.

        Parameters
        ----------
        target : str
        """
        with self.changed:
            self.by_target.pop(target, None)
            self.holder_reported_at.pop(target, None)
            self.former_adapters.pop(target, None)
            self.noted.pop(target, None)
            self.words.pop(target, None)
            for targets in self.places.values():
                targets.discard(target)

    def list_possible_targets(self, adapter: str) -> frozenset[str]:
        """Return the targets where an adapter is, is coming or was.

        Parameters
        ----------
        adapter : str

        Returns
        -------
        frozenset of str
        """
        with self.changed:
            return frozenset(self.places.get(adapter, ()))

    def is_former_target(self, target: str, adapter: str) -> bool:
        """Return whether a target held an adapter before, and so loads it faster.

        Parameters
        ----------
        target, adapter : str

        Returns
        -------
        bool
        """
        return adapter in self.former_adapters.get(target, ())

    def delay(self, target: str, adapter: str, *, until: float) -> None:
        """Note that a target doesn't have an adapter yet.

        Parameters
        ----------
        target, adapter : str
        until : float
            When it may have it.
        """
        with self.changed:
            former = self.by_target.get(target, {})
            if adapter in former:
                self.words.pop(target, None)
                resident = Resident(former[adapter].version, until)
                self.by_target[target] = {**former, adapter: resident}

    def get(self, target: str, adapter: str) -> Resident | None:
        """Return an adapter's state at a target.

        Parameters
        ----------
        target, adapter : str

        Returns
        -------
        Resident or None
        """
        return self.by_target.get(target, {}).get(adapter)

    def count_in_transit(self, *, now: float) -> int:
        """Return the adapters that all targets together fetch.

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
            for one in residents.values()
            if one.ready_at > now and not one.is_queued
        )

    def wait(self, adapter: str, timeout_s: float) -> None:
        """Wait until something changes for an adapter.

        Parameters
        ----------
        adapter : str
        timeout_s : float
        """
        with self.changed:
            seen = self.revisions.get(adapter, 0)
            self.changed.wait_for(
                lambda: self.revisions.get(adapter, 0) != seen, timeout_s
            )


def _keep_ready(known: Resident | None, told: Resident, now: float) -> Resident:
    """Return what is known of a resident unless something else was told.

    That an adapter which is there is still there is no change to wake anybody for.
    """
    if known is None or known.is_queued or told.is_queued:
        return told
    is_same = (
        known.version == told.version and max(known.ready_at, told.ready_at) <= now
    )
    return known if is_same else told
