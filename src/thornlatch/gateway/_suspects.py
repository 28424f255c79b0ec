"""Recognises repeated requests that crash the targets that run them."""

import hashlib
import threading
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from thornlatch.fleet import Target, TargetRegistry
from thornlatch.gateway._ports import CallerRequest

FLEET = ""  # in place of a host id, for what a relay reports of all hosts


@dataclass(frozen=True)
class SuspectSettings:
    """Settings for recognising requests that crash the targets that run them.

    Parameters
    ----------
    target_limit : int
        Suspected crashes, over all hosts, after which a request isn't sent again.
    memory_s : float
        Seconds for which an aborted run is remembered.
    size : int
        Maximum number of requests that are remembered; the oldest are dropped.
    restart_s : float
        Minimum seconds that a crashed target takes to serve again. A target that
        answers sooner hasn't crashed; one that aborts a run later has crashed again.
    register_s : float
        Seconds within which the store reports a target's new incarnation.
    """

    target_limit: Annotated[int, Meta(ge=1)] = 3
    memory_s: Annotated[float, Meta(gt=0)] = 60.0
    size: Annotated[int, Meta(ge=1)] = 500
    restart_s: Annotated[float, Meta(gt=0)] = 1.0
    register_s: Annotated[float, Meta(gt=0)] = 3.0


@dataclass
class _AbortedRun:
    target: Target
    aborted_at: float
    crash_number: int
    first_answer_at: float | None = None

    def build_crash_id(self) -> str:
        """Return an id that is the same on all hosts that observed the crash."""
        return f"{self.target.id}/{self.target.started_ms}/{self.crash_number}"


class CrashSuspects:
    """Counts the suspected crashes that a request caused, over all hosts.

    Safe for use by several threads.

    Parameters
    ----------
    settings : SuspectSettings
    registry : TargetRegistry
        Source of the targets' current incarnations.
    """

    def __init__(self, settings: SuspectSettings, registry: TargetRegistry) -> None:
        self.settings = settings
        self.registry = registry
        self.lock = threading.Lock()
        self.aborted_runs: OrderedDict[str, list[_AbortedRun]] = OrderedDict()
        self.suspected_incarnations: frozenset[tuple[str, int]] = frozenset()
        self.peer_crashes: dict[str, dict[str, tuple[str, ...]]] = {}

    def note_aborted_run(self, fingerprint: str, target: Target, *, now: float) -> None:
        """Record that a target aborted a run of a request.

        Parameters
        ----------
        fingerprint : str
        target : Target
        now : float
        """
        with self.lock:
            aborted_runs = self.aborted_runs.setdefault(fingerprint, [])
            self.aborted_runs.move_to_end(fingerprint)
            runs_at_target = [run for run in aborted_runs if run.target.id == target.id]
            if (
                runs_at_target
                and now - runs_at_target[-1].aborted_at < self.settings.restart_s
            ):
                # One crash aborts all runs at the target.
                return
            aborted_runs.append(_AbortedRun(target, now, len(runs_at_target)))
            while len(self.aborted_runs) > self.settings.size:
                self.aborted_runs.popitem(last=False)
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
        if target.incarnation not in self.suspected_incarnations:
            return
        with self.lock:
            for aborted_runs in self.aborted_runs.values():
                for run in aborted_runs:
                    is_same_incarnation = run.target.incarnation == target.incarnation
                    if (
                        is_same_incarnation
                        and sent_at >= run.aborted_at
                        and run.first_answer_at is None
                    ):
                        run.first_answer_at = now

    def count_crashes(self, fingerprint: str) -> int:
        """Return the number of suspected crashes of a request, over all hosts.

        Parameters
        ----------
        fingerprint : str

        Returns
        -------
        int
        """
        crash_ids = {
            run.build_crash_id() for run in self.aborted_runs.get(fingerprint, ())
        }
        for ids_by_fingerprint in self.peer_crashes.values():
            crash_ids.update(ids_by_fingerprint.get(fingerprint, ()))
        return len(crash_ids)

    def is_blocked(self, fingerprint: str) -> bool:
        """Return whether a request must not be sent to targets any more.

        Parameters
        ----------
        fingerprint : str

        Returns
        -------
        bool
        """
        return self.count_crashes(fingerprint) >= self.settings.target_limit

    def list_own_crashes(self, *, now: float) -> dict[str, tuple[str, ...]]:
        """Return the ids of the crashes that this host observed, for its digests.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict of str to tuple of str
            Crash ids by fingerprint of the request.
        """
        if not self.aborted_runs:
            return {}
        with self.lock:
            for fingerprint, aborted_runs in list(self.aborted_runs.items()):
                kept = [run for run in aborted_runs if not self._is_expired(run, now)]
                if kept:
                    self.aborted_runs[fingerprint] = kept
                else:
                    del self.aborted_runs[fingerprint]
            self._update_suspected_incarnations()
            return {
                fingerprint: tuple(run.build_crash_id() for run in aborted_runs)
                for fingerprint, aborted_runs in self.aborted_runs.items()
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
            for aborted_runs in self.aborted_runs.values()
            for run in aborted_runs
            if run.first_answer_at is None
        )

    def set_peer_crashes(
        self, host: str, crash_ids: dict[str, tuple[str, ...]]
    ) -> None:
        """Replace the crashes that a peer reported.

        Parameters
        ----------
        host : str
        crash_ids : dict of str to tuple of str
            As returned by the peer's `list_own_crashes`.
        """
        self.peer_crashes = {**self.peer_crashes, host: crash_ids}

    def set_fleet_crashes(self, crash_ids: dict[str, tuple[str, ...]]) -> None:
        """Replace the crashes that all other hosts reported, merged.

        Parameters
        ----------
        crash_ids : dict of str to tuple of str
            Crash ids by fingerprint of the request.
        """
        self.peer_crashes = {FLEET: crash_ids}

    def retain_hosts(self, hosts: Iterable[str]) -> None:
        """Drop the crash reports of all hosts except the given ones.

        What a relay reported for the whole fleet is kept until its next digest.

        Parameters
        ----------
        hosts : iterable of str
        """
        known_hosts = {*hosts, FLEET}
        self.peer_crashes = {
            host: crash_ids
            for host, crash_ids in self.peer_crashes.items()
            if host in known_hosts
        }


def fingerprint_request(request: CallerRequest) -> str:
    """Return a digest that is equal for all repetitions of a request.

    Parameters
    ----------
    request : CallerRequest

    Returns
    -------
    str
    """
    digest = hashlib.blake2b(digest_size=8)
    for part in (request.method, request.host, request.uri, request.key or ""):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()
