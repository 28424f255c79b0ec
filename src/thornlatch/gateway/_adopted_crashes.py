"""Crashes that would be forgotten with their observer, or while they still matter."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from thornlatch.fleet import TargetRegistry
from thornlatch.gateway._suspect_settings import SuspectSettings


@dataclass(frozen=True)
class _AdoptedCrash:
    round_number: int
    adopted_at: float
    # When it was adopted, or a request that it blocks last came again.
    renewed_at: float
    is_disproved: bool = False


class AdoptedCrashes:
    """Crashes that this host reports in place of their observers.

    Those restarted or left, or a request that the crashes block comes again here. An
    observer can't withdraw them any more, but the list of targets shows which ones
    didn't crash: those that are still the same incarnation. Not thread-safe.

    Parameters
    ----------
    settings : SuspectSettings
    registry : TargetRegistry
        Source of the targets' current incarnations.

    Attributes
    ----------
    rounds_by_key : dict of str to dict of str to int
        Rounds by crash id, by fingerprint of the request or by part of the prompt.
    """

    def __init__(self, settings: SuspectSettings, registry: TargetRegistry) -> None:
        self.settings = settings
        self.registry = registry
        # By key and crash id: one crash aborts runs of many keys.
        self.crashes: dict[tuple[str, str], _AdoptedCrash] = {}
        self.rounds_by_key: dict[str, dict[str, int]] = {}

    def adopt(self, reports: Mapping[str, Mapping[str, int]], *, now: float) -> None:
        """Take over what a host reported.

        Hosts adopt from each other when several are lost in turn, so a crash that is
        known already keeps its age. Of more crashes than `size`, those of this report
        with the highest rounds are kept.

        Parameters
        ----------
        reports : mapping of str to mapping of str to int
            Rounds by crash id, by fingerprint of the request or by part of the prompt.
        now : float
        """

        def rank(key: str) -> tuple[int, int]:
            return max(reports[key].values(), default=0), len(reports[key])

        for key in sorted(reports, key=rank):
            for crash_id, round_number in reports[key].items():
                known = self.crashes.setdefault(
                    (key, crash_id), _AdoptedCrash(round_number, now, now)
                )
                if known.round_number < round_number:
                    self.crashes[key, crash_id] = replace(
                        known, round_number=round_number
                    )
        self._drop_oldest()
        self.refresh(now=now)

    def renew(self, key: str, crash_ids: Iterable[str], *, now: float) -> None:
        """Remember crashes for longer, as a request that they block has come again.

        Parameters
        ----------
        key : str
        crash_ids : iterable of str
        now : float
        """
        for crash_id in crash_ids:
            known = self.crashes.pop((key, crash_id), _AdoptedCrash(1, now, now))
            self.crashes[key, crash_id] = replace(known, renewed_at=now)
        self._drop_oldest()
        self.refresh(now=now)

    def _drop_oldest(self) -> None:
        while len(self.crashes) > self.settings.size:
            del self.crashes[next(iter(self.crashes))]

    def refresh(self, *, now: float) -> None:
        """Disregard crashes that are old, and those whose target didn't crash.

        Parameters
        ----------
        now : float
        """
        if not self.crashes:
            return
        rounds_by_key: dict[str, dict[str, int]] = {}
        for (key, crash_id), crash in list(self.crashes.items()):
            age_s = now - crash.renewed_at
            if age_s >= 2 * self.settings.memory_s:
                # No other host reports it any more.
                del self.crashes[key, crash_id]
                continue
            is_listed = now - crash.adopted_at >= self.settings.register_s
            if is_listed and self._is_target_same(crash_id):
                crash = replace(crash, is_disproved=True)
                self.crashes[key, crash_id] = crash
            if not crash.is_disproved and age_s < self.settings.memory_s:
                rounds_by_key.setdefault(key, {})[crash_id] = crash.round_number
        self.rounds_by_key = rounds_by_key

    def _is_target_same(self, crash_id: str) -> bool:
        target_id, started_ms, _ = crash_id.rsplit("/", 2)
        registered = self.registry.get(target_id)
        return registered is not None and str(registered.started_ms) == started_ms
