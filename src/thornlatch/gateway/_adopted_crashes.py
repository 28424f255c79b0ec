"""Crashes that lost hosts reported, which would be forgotten with them."""

from collections.abc import Iterable
from dataclasses import dataclass

from thornlatch.fleet import TargetRegistry
from thornlatch.gateway._suspect_settings import SuspectSettings


@dataclass(frozen=True)
class _AdoptedCrash:
    fingerprint: str
    adopted_at: float
    is_disproved: bool = False


class AdoptedCrashes:
    """Crashes that this host reports in place of hosts that restarted or left.

    Their observer can't withdraw them any more, but the list of targets shows which
    ones didn't crash: those that are still the same incarnation. Not thread-safe.

    Parameters
    ----------
    settings : SuspectSettings
    registry : TargetRegistry
        Source of the targets' current incarnations.
    """

    def __init__(self, settings: SuspectSettings, registry: TargetRegistry) -> None:
        self.settings = settings
        self.registry = registry
        self.by_id: dict[str, _AdoptedCrash] = {}
        self.ids_by_fingerprint: dict[str, tuple[str, ...]] = {}

    def adopt(self, reports: dict[str, Iterable[str]], *, now: float) -> None:
        """Take over what a host reported.

        Hosts adopt from each other when several are lost in turn, so a crash that is
        known already keeps its age.

        Parameters
        ----------
        reports : dict of str to iterable of str
            Crash ids by fingerprint of the request.
        now : float
        """
        for fingerprint, crash_ids in reports.items():
            for crash_id in crash_ids:
                self.by_id.setdefault(crash_id, _AdoptedCrash(fingerprint, now))
        while len(self.by_id) > self.settings.size:
            del self.by_id[next(iter(self.by_id))]
        self.refresh(now=now)

    def refresh(self, *, now: float) -> None:
        """Disregard crashes that are old, and those whose target didn't crash.

        Parameters
        ----------
        now : float
        """
        if not self.by_id:
            return
        ids_by_fingerprint: dict[str, list[str]] = {}
        for crash_id, crash in list(self.by_id.items()):
            age_s = now - crash.adopted_at
            if age_s >= 2 * self.settings.memory_s:
                # No other host reports it any more.
                del self.by_id[crash_id]
                continue
            if age_s >= self.settings.register_s and self._is_target_same(crash_id):
                crash = _AdoptedCrash(
                    crash.fingerprint, crash.adopted_at, is_disproved=True
                )
                self.by_id[crash_id] = crash
            if not crash.is_disproved and age_s < self.settings.memory_s:
                ids_by_fingerprint.setdefault(crash.fingerprint, []).append(crash_id)
        self.ids_by_fingerprint = {
            fingerprint: tuple(crash_ids)
            for fingerprint, crash_ids in ids_by_fingerprint.items()
        }

    def _is_target_same(self, crash_id: str) -> bool:
        target_id, started_ms, _ = crash_id.rsplit("/", 2)
        registered = self.registry.get(target_id)
        return registered is not None and str(registered.started_ms) == started_ms
