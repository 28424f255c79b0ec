"""Recognises repeated requests that crash the targets that run them."""

import threading
import zlib
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

import logbook

from thornlatch.fleet import FLEET, PartReport, Target, TargetRegistry
from thornlatch.gateway._aborted_runs import AbortedRuns
from thornlatch.gateway._adopted_crashes import AdoptedCrashes
from thornlatch.gateway._suspect_parts import DISPROVED_REPORT_S, SuspectParts
from thornlatch.gateway._suspect_settings import SuspectSettings

logger = logbook.Logger("thornlatch.gateway")

RENEWAL_S = 1.0  # between two renewals of the crashes of a blocked request


@dataclass
class _BlockedRequest:
    """A blocked request that comes again.

    Parameters
    ----------
    retry_at : float
        When it is sent to a target once more, by the host that is chosen for it.
    retry_s : float
        Time between the latest two such sends.
    renewed_at : float
    """

    retry_at: float
    retry_s: float
    renewed_at: float


@dataclass
class _Disproof:
    crash_ids: set[str]
    known_at: float
    # When this host itself disproved them.
    completed_at: float = float("-inf")


class CrashSuspects:
    """Counts the suspected crashes that a request caused, over all hosts.

    A request is blocked for as long as it comes again. Load patterns: a client repeats
    a deadly request for minutes; or targets crash for reasons of their own while they
    run a common request, whose other runs are answered. A complete answer disproves
    the crashes known by then, on all hosts. As a blocked request gets none, one copy of
    it is sent after `memory_s`, and after twice the time whenever that fails.

    Safe for use by several threads.

    Parameters
    ----------
    settings : SuspectSettings
    registry : TargetRegistry
        Source of the targets' current incarnations.
    count_runs : callable
        Returns the number of this host's requests at targets with a prompt part.
    host : str
        Id of this host.

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
        host: str = "",
    ) -> None:
        self.settings = settings
        self.registry = registry
        self.lock = threading.Lock()
        self.aborted_runs = AbortedRuns(settings, registry)
        self.adopted = AdoptedCrashes(settings, registry)
        self.peer_crashes: dict[str, dict[str, tuple[str, ...]]] = {}
        self.host = host
        self.hosts: frozenset[str] = frozenset()
        self.blocked: OrderedDict[str, _BlockedRequest] = OrderedDict()
        self.disproofs: OrderedDict[str, _Disproof] = OrderedDict()
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
        return len(self._list_crashes(fingerprint) - self.parts.explained)

    def _list_crashes(self, fingerprint: str) -> set[str]:
        """Return the ids of a request's crashes that aren't disproved."""
        with self.lock:
            crash_ids = set(self.aborted_runs.get_rounds(fingerprint))
            disproof = self.disproofs.get(fingerprint)
            disproved = set(disproof.crash_ids) if disproof is not None else set()
        crash_ids.update(self.adopted.rounds_by_key.get(fingerprint, ()))
        for ids_by_fingerprint in self.peer_crashes.values():
            crash_ids.update(ids_by_fingerprint.get(fingerprint, ()))
        return crash_ids - disproved

    def note_completed(self, fingerprint: str, *, now: float) -> None:
        """Record that a target answered a request completely.

        Parameters
        ----------
        fingerprint : str
        now : float
        """
        crash_ids = self._list_crashes(fingerprint)
        if not crash_ids:
            return
        with self.lock:
            self._disprove(fingerprint, crash_ids, now)
            self.disproofs[fingerprint].completed_at = now
        logger.info(
            "suspects.request_cleared",
            extra={"fingerprint": fingerprint, "crashes": len(crash_ids)},
        )

    def _disprove(self, fingerprint: str, crash_ids: Iterable[str], now: float) -> None:
        disproof = self.disproofs.setdefault(fingerprint, _Disproof(set(), now))
        disproof.crash_ids.update(crash_ids)
        disproof.known_at = now
        self.disproofs.move_to_end(fingerprint)
        while len(self.disproofs) > self.settings.size:
            self.disproofs.popitem(last=False)

    def may_run(self, fingerprint: str, *, now: float) -> bool:
        """Return whether a request that has arrived may be sent to targets.

        Parameters
        ----------
        fingerprint : str
        now : float

        Returns
        -------
        bool
            Also true for the one copy of a blocked request that is tried again.
        """
        if not self.is_blocked(fingerprint):
            return True
        crash_ids = self._list_crashes(fingerprint)
        with self.lock:
            blocked = self.blocked.get(fingerprint)
            if blocked is None or now - blocked.renewed_at >= self.settings.memory_s:
                retry_s = self.settings.memory_s
                blocked = _BlockedRequest(now + retry_s, retry_s, float("-inf"))
                self.blocked[fingerprint] = blocked
                while len(self.blocked) > self.settings.size:
                    self.blocked.popitem(last=False)
            if now - blocked.renewed_at >= RENEWAL_S:
                blocked.renewed_at = now
                self.adopted.renew(fingerprint, crash_ids, now=now)
            if now < blocked.retry_at or not self._is_chosen(fingerprint):
                return False
            blocked.retry_s *= 2
            blocked.retry_at = now + blocked.retry_s
        logger.info("suspects.request_tried", extra={"fingerprint": fingerprint})
        return True

    def _is_chosen(self, fingerprint: str) -> bool:
        """Return whether this host tries a blocked request, by rendezvous hashing."""
        return self.host == min(
            {self.host, *self.hosts},
            key=lambda host: (zlib.crc32(f"{fingerprint}/{host}".encode()), host),
        )

    def build_part_report(self, *, now: float) -> PartReport:
        """Return what this host reports of parts, and of requests that it cleared.

        Parameters
        ----------
        now : float

        Returns
        -------
        PartReport
        """
        report = self.parts.build_report(now=now)
        if not self.disproofs:
            return report
        with self.lock:
            cleared = {
                fingerprint: tuple(sorted(disproof.crash_ids))
                for fingerprint, disproof in self.disproofs.items()
                if now - disproof.completed_at < DISPROVED_REPORT_S
                or self._is_reported(fingerprint, disproof)
            }
        return replace(report, disproved={**report.disproved, **cleared})

    def _is_reported(self, fingerprint: str, disproof: _Disproof) -> bool:
        """Return whether a host hasn't heard of what this host disproved."""
        return disproof.completed_at > float("-inf") and any(
            not disproof.crash_ids.isdisjoint(crashes.get(fingerprint, ()))
            for crashes in self.peer_crashes.values()
        )

    def set_part_report(self, host: str, report: PartReport, *, now: float) -> None:
        """Replace what a peer reported of parts and of requests that it cleared.

        Parameters
        ----------
        host : str
        report : PartReport
        now : float
        """
        self._note_disproved(report, now)
        self.parts.set_report(host, report, now=now)

    def set_fleet_part_report(self, report: PartReport, *, now: float) -> None:
        """Replace what all other hosts reported, merged by a relay.

        Parameters
        ----------
        report : PartReport
        now : float
        """
        self._note_disproved(report, now)
        self.parts.set_fleet_report(report, now=now)

    def _note_disproved(self, report: PartReport, now: float) -> None:
        if not report.disproved:
            return
        with self.lock:
            for key, crash_ids in report.disproved.items():
                self._disprove(key, crash_ids, now)

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
            self._forget_disproofs(now)
            crashes = {key: set(ids) for key, ids in self.adopted.rounds_by_key.items()}
            for fingerprint in self.aborted_runs.by_key:
                rounds = self.aborted_runs.get_rounds(fingerprint)
                crashes.setdefault(fingerprint, set()).update(rounds)
            for fingerprint in self.disproofs.keys() & crashes.keys():
                crashes[fingerprint] -= self.disproofs[fingerprint].crash_ids
            return {key: tuple(sorted(ids)) for key, ids in crashes.items() if ids}

    def _forget_disproofs(self, now: float) -> None:
        """Forget the disproofs of crashes that no host remembers any more."""
        limit = now - 2 * self.settings.memory_s
        while self.disproofs:
            fingerprint, disproof = next(iter(self.disproofs.items()))
            if disproof.known_at > limit:
                break
            del self.disproofs[fingerprint]

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
        self.hosts = frozenset(hosts)
        known_hosts = {*self.hosts, FLEET}
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
