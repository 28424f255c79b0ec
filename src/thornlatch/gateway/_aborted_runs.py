"""Runs that targets aborted, each a suspected crash until the target disproves it."""

from collections import OrderedDict
from dataclasses import dataclass

from thornlatch.fleet import Target, TargetRegistry
from thornlatch.gateway._suspect_settings import SuspectSettings


@dataclass
class _AbortedRun:
    target: Target
    aborted_at: float
    crash_number: int
    round_number: int
    first_answer_at: float | None = None

    def build_crash_id(self) -> str:
        """Return an id that is the same on all hosts that observed the crash."""
        return f"{self.target.id}/{self.target.started_ms}/{self.crash_number}"


class AbortedRuns:
    """Aborted runs that this host observed, by a key that they had in common.

    A key is a request's fingerprint or a part of a prompt. Not thread-safe.

    Parameters
    ----------
    settings : SuspectSettings
    registry : TargetRegistry
        Source of the targets' current incarnations.

    Attributes
    ----------
    suspected_incarnations : frozenset of (str, int)
        Incarnations of targets that haven't answered since they aborted a run.
    """

    def __init__(self, settings: SuspectSettings, registry: TargetRegistry) -> None:
        self.settings = settings
        self.registry = registry
        self.by_key: OrderedDict[str, list[_AbortedRun]] = OrderedDict()
        self.suspected_incarnations: frozenset[tuple[str, int]] = frozenset()

    def add(
        self, key: str, target: Target, *, now: float, round_number: int = 1
    ) -> None:
        """Record that a target aborted a run.

        One crash aborts all runs at a target, so further ones count as the same crash.

        Parameters
        ----------
        key : str
        target : Target
        now : float
        round_number : int
            1 if no crash with this key was known as the run was sent; otherwise one
            more than the highest round known then.
        """
        runs = self.by_key.setdefault(key, [])
        self.by_key.move_to_end(key)
        runs_at_target = [run for run in runs if run.target.id == target.id]
        if (
            runs_at_target
            and now - runs_at_target[-1].aborted_at < self.settings.restart_s
        ):
            last = runs_at_target[-1]
            last.round_number = max(last.round_number, round_number)
            return
        runs.append(_AbortedRun(target, now, len(runs_at_target), round_number))
        while len(self.by_key) > self.settings.size:
            self.by_key.popitem(last=False)
        self._update_suspected_incarnations()

    def note_answer(self, target: Target, *, sent_at: float, now: float) -> None:
        """Record that a target answered, which a crashed target can't do.

        Parameters
        ----------
        target : Target
        sent_at : float
            Clock time at which the answered request was sent.
        now : float
        """
        for runs in self.by_key.values():
            for run in runs:
                if (
                    run.target.incarnation == target.incarnation
                    and sent_at >= run.aborted_at
                    and run.first_answer_at is None
                ):
                    run.first_answer_at = now

    def drop_expired(self, *, now: float) -> None:
        """Forget runs that are old, and those whose target didn't crash.

        Parameters
        ----------
        now : float
        """
        for key, runs in list(self.by_key.items()):
            kept = [run for run in runs if not self._is_expired(run, now)]
            if kept:
                self.by_key[key] = kept
            else:
                del self.by_key[key]
        self._update_suspected_incarnations()

    def get_rounds(self, key: str) -> dict[str, int]:
        """Return the suspected crashes of a key.

        Parameters
        ----------
        key : str

        Returns
        -------
        dict of str to int
            Rounds by crash id.
        """
        return {
            run.build_crash_id(): run.round_number for run in self.by_key.get(key, ())
        }

    def _is_expired(self, run: _AbortedRun, now: float) -> bool:
        if now - run.aborted_at >= self.settings.memory_s:
            return True
        if run.first_answer_at is None:
            return False
        if run.first_answer_at - run.aborted_at < self.settings.restart_s:
            return True
        # The target may have restarted although the registry doesn't show it yet.
        registered = self.registry.get(run.target.id)
        return (
            now - run.first_answer_at >= self.settings.register_s
            and registered is not None
            and registered.incarnation == run.target.incarnation
        )

    def _update_suspected_incarnations(self) -> None:
        self.suspected_incarnations = frozenset(
            run.target.incarnation
            for runs in self.by_key.values()
            for run in runs
            if run.first_answer_at is None
        )
