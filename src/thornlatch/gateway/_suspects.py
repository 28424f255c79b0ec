"""Recognises repeated requests that crash the targets that run them."""

import threading
from collections.abc import Callable, Iterable

from thornlatch.fleet import FLEET, Target, TargetRegistry
from thornlatch.gateway._aborted_runs import AbortedRuns
from thornlatch.gateway._adopted_crashes import AdoptedCrashes
from thornlatch.gateway._suspect_parts import SuspectParts
from thornlatch.gateway._suspect_settings import SuspectSettings


class CrashSuspects:
    """Counts the suspected crashes that a request caused, over all hosts.

    Safe for use by several threads.

    Parameters
    ----------
    settings : SuspectSettings
    registry : TargetRegistry
        Source of the targets' current incarnations.
    count_runs : callable
        Returns the number of this host's requests at targets with a prompt part.

    Attributes
    ----------
    parts : SuspectParts
        What the same crashes tell of the parts of prompts.
    """

    def __init__(
        self,
        settings: SuspectSettings,
        registry: TargetRegistry,
        count_runs: Callable[[str], int] = lambda part: 0,
    ) -> None:
        self.settings = settings
        self.registry = registry
        self.lock = threading.Lock()
        self.aborted_runs = AbortedRuns(settings, registry)
        self.adopted = AdoptedCrashes(settings, registry)
        self.peer_crashes: dict[str, dict[str, tuple[str, ...]]] = {}
        self.parts = SuspectParts(settings, registry, count_runs)

    def note_aborted_run(self, fingerprint: str, target: Target, *, now: float) -> None:
        """Record that a target aborted a run of a request.

        Parameters
        ----------
        fingerprint : str
        target : Target
        now : float
        """
        with self.lock:
            self.aborted_runs.add(fingerprint, target, now=now)

    def note_answer(self, target: Target, *, sent_at: float, now: float) -> None:
        """Record that a target answered, which a crashed target can't do.

        Parameters
        ----------
        target : Target
        sent_at : float
            Clock time at which the answered request was sent.
        now : float
        """
        self.parts.note_answer(target, sent_at=sent_at, now=now)
        if target.incarnation not in self.aborted_runs.suspected_incarnations:
            return
        with self.lock:
            self.aborted_runs.note_answer(target, sent_at=sent_at, now=now)

    def count_crashes(self, fingerprint: str) -> int:
        """Return the number of suspected crashes of a request, over all hosts.

        Crashes that a blocked part of other prompts explains don't count.

        Parameters
        ----------
        fingerprint : str

        Returns
        -------
        int
        """
        with self.lock:
            crash_ids = set(self.aborted_runs.get_rounds(fingerprint))
        crash_ids.update(self.adopted.rounds_by_key.get(fingerprint, ()))
        for ids_by_fingerprint in self.peer_crashes.values():
            crash_ids.update(ids_by_fingerprint.get(fingerprint, ()))
        return len(crash_ids - self.parts.explained)

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
        """Return the ids of the crashes that this host reports in its digests.

        It observed them, or a host that was lost did.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict of str to tuple of str
            Crash ids by fingerprint of the request.
        """
        if not self.aborted_runs.by_key and not self.adopted.crashes:
            return {}
        with self.lock:
            self.aborted_runs.drop_expired(now=now)
            self.adopted.refresh(now=now)
            crashes = dict(self.adopted.rounds_by_key)
            for fingerprint in self.aborted_runs.by_key:
                rounds = self.aborted_runs.get_rounds(fingerprint)
                crashes[fingerprint] = {**rounds, **crashes.get(fingerprint, {})}
            return {fingerprint: tuple(ids) for fingerprint, ids in crashes.items()}

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

    def retain_hosts(
        self, hosts: Iterable[str], *, lost: Iterable[str], now: float
    ) -> None:
        """Adopt the crash reports of hosts that restarted or left.

        Parameters
        ----------
        hosts : iterable of str
            All other hosts.
        lost : iterable of str
            Those that were among them until now.
        now : float
        """
        known_hosts = {*hosts, FLEET}
        # A relay's report for the whole fleet doesn't tell which host saw a crash.
        gone = {FLEET, *(self.peer_crashes.keys() - known_hosts)} if any(lost) else ()
        with self.lock:
            for host in gone:
                crashes = self.peer_crashes.get(host, {})
                # Whether a request was sent after its earlier crash doesn't matter.
                rounds = {key: dict.fromkeys(ids, 1) for key, ids in crashes.items()}
                self.adopted.adopt(rounds, now=now)
        self.peer_crashes = {
            host: crash_ids
            for host, crash_ids in self.peer_crashes.items()
            if host in known_hosts
        }
