"""Infers which parts of prompts crash the targets that run them."""

import threading
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

import logbook

from thornlatch.fleet import (
    FLEET,
    PartReport,
    Target,
    TargetRegistry,
    merge_parts,
    sum_counts,
)
from thornlatch.gateway._aborted_runs import AbortedRuns
from thornlatch.gateway._adopted_crashes import AdoptedCrashes
from thornlatch.gateway._suspect_settings import SuspectSettings

logger = logbook.Logger("thornlatch.gateway")

# Longer than a digest takes to reach all hosts.
DISPROVED_REPORT_S = 3.0
REPORTED_PARTS = 64  # of one host, the latest ones
# Crashes that a host keeps of a blocked part after its runs are forgotten.
KEPT_CRASHES = 12


@dataclass
class _Suspicion:
    """What is known of a suspected part.

    Parameters
    ----------
    rounds : dict of str to int
        Rounds by crash id, as all hosts report them.
    suspected_at, latest_crash_at : float
        When this host heard of the first and of the latest crash.
    block_s : float
        Seconds after the latest crash until which the part is blocked; 0 if it isn't.
    """

    rounds: dict[str, int]
    suspected_at: float
    latest_crash_at: float
    block_s: float = 0.0


class SuspectParts:
    """Infers from crashes over all hosts which parts of prompts are their cause.

    A crash aborts all requests at its target, so the parts of innocent requests are
    suspected too. A completed answer clears its parts. What remains is counted in
    rounds: a crash belongs to a later round than another if its run was sent after the
    sender knew of the other. Crashes at the same time are one round, so that the loss
    of many targets blocks nothing. A part is blocked once it has enough rounds, and
    enough crashes that no likelier part explains. The likelier of two parts is the one
    that had more crashes, and fewer requests for each of them: a common part was in
    many requests that didn't crash their target. Each further crash doubles the time
    of the block, after which the part is tried again.

    Safe for use by several threads.

    Parameters
    ----------
    settings : SuspectSettings
    registry : TargetRegistry
    count_runs : callable
        Returns the number of this host's requests at targets with a prompt part.
    """

    def __init__(
        self,
        settings: SuspectSettings,
        registry: TargetRegistry,
        count_runs: Callable[[str], int],
    ) -> None:
        self.settings = settings
        self.count_runs = count_runs
        self.lock = threading.Lock()
        self.aborted_runs = AbortedRuns(settings, registry)
        self.adopted = AdoptedCrashes(settings, registry)
        # Aborted runs of lost hosts. They aren't reported, as each of the others counts
        # them, too.
        self.adopted_aborted: dict[str, int] = {}
        self.reports: dict[str, PartReport] = {}
        self.suspicions: dict[str, _Suspicion] = {}
        # Own runs that were aborted since the last completed answer, by part.
        self.aborted: dict[str, int] = {}
        # Crash ids by part of a completed answer, while any host reports the part.
        self.disproved: dict[str, set[str]] = {}
        # When this host itself disproved crashes of a part.
        self.disproved_at: dict[str, float] = {}
        # Parts of completed answers, the latest last.
        self.sound: OrderedDict[str, None] = OrderedDict()
        # Replaced as a whole, so reads need no lock.
        self.blocked: frozenset[str] = frozenset()
        self.explained: frozenset[str] = frozenset()

    def find_blocked(self, parts: Iterable[str]) -> str | None:
        """Return the first blocked part of a prompt.

        Parameters
        ----------
        parts : iterable of str

        Returns
        -------
        str or None
        """
        blocked = self.blocked
        if not blocked:
            return None
        return next((part for part in parts if part in blocked), None)

    def get_known_rounds(self, parts: Iterable[str]) -> dict[str, int]:
        """Return the highest round known of each part, for a run that begins.

        Parameters
        ----------
        parts : iterable of str

        Returns
        -------
        dict of str to int
            Without the parts that aren't suspected.
        """
        suspicions = self.suspicions
        if not suspicions:
            return {}
        known = ((part, suspicions.get(part)) for part in parts)
        return {
            part: max(suspicion.rounds.values(), default=0)
            for part, suspicion in known
            if suspicion is not None
        }

    def note_aborted_run(
        self,
        parts: Iterable[str],
        target: Target,
        *,
        known_rounds: dict[str, int],
        now: float,
    ) -> None:
        """Record that a target aborted a run.

        Parameters
        ----------
        parts : iterable of str
        target : Target
        known_rounds : dict of str to int
            As `get_known_rounds` returned it before the run was sent.
        now : float
        """
        with self.lock:
            for part in parts:
                self.aborted[part] = self.aborted.get(part, 0) + 1
                self.aborted_runs.add(
                    part,
                    target,
                    now=now,
                    round_number=known_rounds.get(part, 0) + 1,
                )
            self._infer(now)

    def note_answer(self, target: Target, *, sent_at: float, now: float) -> None:
        """Record that a target answered, which a crashed target can't do.

        Parameters
        ----------
        target : Target
        sent_at : float
            Clock time at which the answered request was sent.
        now : float
        """
        if target.incarnation not in self.aborted_runs.suspected_incarnations:
            return
        with self.lock:
            self.aborted_runs.note_answer(target, sent_at=sent_at, now=now)

    def note_completed(self, parts: Collection[str], *, now: float) -> None:
        """Record that an answer was complete, which clears the parts of its prompt.

        Parameters
        ----------
        parts : collection of str
        now : float
        """
        with self.lock:
            for part in parts:
                self.aborted.pop(part, None)
                self.sound[part] = None
                self.sound.move_to_end(part)
            while len(self.sound) > self.settings.sound_parts:
                self.sound.popitem(last=False)
            cleared = [part for part in parts if part in self.suspicions]
            for part in cleared:
                self.disproved_at[part] = now
                self._disprove(part, self.suspicions[part].rounds)
            if cleared:
                self._infer(now)

    def build_report(self, *, now: float) -> PartReport:
        """Return what this host reports in its digests.

        Parameters
        ----------
        now : float

        Returns
        -------
        PartReport
        """
        if not (self.suspicions or self.disproved_at or self.adopted.crashes):
            return PartReport()
        with self.lock:
            self.aborted_runs.drop_expired(now=now)
            self.adopted.refresh(now=now)
            self._infer(now)
            self.disproved_at = {
                part: disproved_at
                for part, disproved_at in self.disproved_at.items()
                if now - disproved_at < DISPROVED_REPORT_S
            }
            own = PartReport(
                {
                    part: self.aborted_runs.get_rounds(part)
                    for part in self._list_reported(self.aborted_runs.by_key)
                }
            )
            report = merge_parts(
                [own, self._build_adopted_report(), self._build_kept_report(now)]
            )
            disproved = {
                part: tuple(sorted(self.disproved[part]))
                for part in self.disproved_at
                if part in self.disproved
            }
            running = {part: self.count_runs(part) for part in self.suspicions}
            return PartReport(
                report.rounds,
                disproved,
                running,
                dict(self.aborted),
                tuple(sorted(self.blocked)),
            )

    def _list_reported(self, parts: Iterable[str]) -> list[str]:
        """Return the suspected parts whose crashes this host reports.

        Most aborted runs had common parts, which a completed answer clears soon. They
        are reported only if they are in a second round.
        """
        suspected = [
            part
            for part in parts
            if part in self.suspicions
            and (
                part not in self.sound or max(self.suspicions[part].rounds.values()) > 1
            )
        ]
        return suspected[-REPORTED_PARTS:]

    def set_report(self, host: str, report: PartReport, *, now: float) -> None:
        """Replace what a peer reported.

        Parameters
        ----------
        host : str
        report : PartReport
        now : float
        """
        if report == self.reports.get(host, PartReport()):
            return
        with self.lock:
            self.reports[host] = report
            for part, crash_ids in report.disproved.items():
                self._disprove(part, crash_ids)
            self._infer(now)

    def set_fleet_report(self, report: PartReport, *, now: float) -> None:
        """Replace what all other hosts reported, merged by a relay.

        Parameters
        ----------
        report : PartReport
        now : float
        """
        self.retain_hosts((), lost=(), now=now)
        self.set_report(FLEET, report, now=now)

    def retain_hosts(
        self, hosts: Iterable[str], *, lost: Collection[str], now: float
    ) -> None:
        """Drop all reports except those of the given hosts; adopt those of lost hosts.

        What a relay reported for the whole fleet is kept until its next digest.

        Parameters
        ----------
        hosts : iterable of str
            All other hosts.
        lost : collection of str
            Those that restarted or left.
        now : float
        """
        gone = self.reports.keys() - {*hosts, FLEET}
        if not gone and not lost:
            return
        with self.lock:
            if lost:
                # A relay's report doesn't tell which host saw a crash, nor which of
                # the aborted runs were at the lost host.
                for host in (FLEET, *gone):
                    report = self.reports.get(host, PartReport())
                    self.adopted.adopt(report.rounds, now=now)
                counts = [self.reports[host].aborted for host in gone]
                self.adopted_aborted = sum_counts([self.adopted_aborted, *counts])
            for host in gone:
                del self.reports[host]
            self._infer(now)

    def _disprove(self, part: str, crash_ids: Iterable[str]) -> None:
        self.disproved.setdefault(part, set()).update(crash_ids)
        self.adopted_aborted.pop(part, None)

    def _infer(self, now: float) -> None:
        """Derive the suspicions and the blocked parts from all reports."""
        report = self._merge_reports(now)
        rounds = report.rounds
        self.aborted = {
            part: count for part, count in self.aborted.items() if part in rounds
        }
        self.adopted_aborted = {
            part: count
            for part, count in self.adopted_aborted.items()
            if part in self.adopted.rounds_by_key
        }
        self.disproved = {
            part: crash_ids
            for part, crash_ids in self.disproved.items()
            if part in rounds
        }
        suspicions: dict[str, _Suspicion] = {}
        for part, part_rounds in rounds.items():
            disproved = self.disproved.get(part, set())
            kept = {
                crash_id: round_number
                for crash_id, round_number in part_rounds.items()
                if crash_id not in disproved
            }
            if not kept:
                continue
            known = self.suspicions.get(part)
            suspected_at = now if known is None else known.suspected_at
            latest_crash_at = now
            if known is not None and kept.keys() <= known.rounds.keys():
                latest_crash_at = known.latest_crash_at
            suspicions[part] = _Suspicion(kept, suspected_at, latest_crash_at)
        self.explained = self._select_blocked(suspicions, report, now)
        self.suspicions = suspicions
        blocked = frozenset(
            part
            for part, suspicion in suspicions.items()
            if now - suspicion.latest_crash_at < suspicion.block_s
        )
        if blocked != self.blocked:
            self._log_changes(blocked)
            self.blocked = blocked

    def _merge_reports(self, now: float) -> PartReport:
        own = {
            part: self.aborted_runs.get_rounds(part)
            for part in self.aborted_runs.by_key
        }
        adopted = self.adopted.rounds_by_key
        running = {part: self.count_runs(part) for part in {*own, *adopted}}
        return merge_parts(
            [
                PartReport(own, running=running, aborted=self.aborted),
                # With the disproved ones, which are remembered as long as the others.
                PartReport(adopted, aborted=self.adopted_aborted),
                self._build_kept_report(now),
                *self.reports.values(),
            ]
        )

    def _build_adopted_report(self) -> PartReport:
        """Return the crashes that lost hosts reported and that aren't disproved."""
        adopted = self.adopted.rounds_by_key
        reported = {}
        for part in self._list_reported(adopted):
            known = self.suspicions[part].rounds
            reported[part] = {
                crash_id: round_number
                for crash_id, round_number in adopted[part].items()
                if crash_id in known
            }
        return PartReport(reported)

    def _build_kept_report(self, now: float) -> PartReport:
        """Return the crashes of blocked parts, which outlast their aborted runs.

        They are kept for as long again after the block, so that the next crash counts
        on.
        """
        return PartReport(
            {
                part: _select_latest_rounds(suspicion.rounds)
                for part, suspicion in self.suspicions.items()
                if now - suspicion.latest_crash_at < 2 * suspicion.block_s
            }
        )

    def _select_blocked(
        self, suspicions: dict[str, _Suspicion], report: PartReport, now: float
    ) -> frozenset[str]:
        """Set the times of blocks; return the crashes that blocked parts explain."""
        explained: set[str] = set()
        explained_by_blocked: set[str] = set()

        def rank(part: str) -> tuple[bool, float, str]:
            crashes = len(suspicions[part].rounds)
            requests = report.aborted.get(part, 0) + report.running.get(part, 0)
            likelihood = crashes**2 / max(requests, crashes)
            return part in self.sound, -likelihood, part

        for part in sorted(suspicions, key=rank):
            suspicion = suspicions[part]
            crash_ids = suspicion.rounds.keys()
            limit = self.settings.round_limit
            if part in self.sound:
                limit = self.settings.sound_round_limit
            unexplained = len(crash_ids - explained)
            explained |= crash_ids
            is_settled = (
                part in report.blocked
                or now - suspicion.suspected_at >= self.settings.settle_s
            )
            if (
                is_settled
                and unexplained >= limit
                and max(suspicion.rounds.values()) >= limit
            ):
                doublings = unexplained - self.settings.round_limit
                suspicion.block_s = self.settings.block_s * 2.0**doublings
                explained_by_blocked |= crash_ids
        return frozenset(explained_by_blocked)

    def _log_changes(self, blocked: frozenset[str]) -> None:
        for part in blocked - self.blocked:
            suspicion = self.suspicions[part]
            rounds = suspicion.rounds
            logger.warning(
                "suspects.part_blocked",
                extra={
                    "part": part,
                    "crashes": len(rounds),
                    "rounds": max(rounds.values()),
                    "was_sound": part in self.sound,
                    "block_s": suspicion.block_s,
                },
            )
        for part in self.blocked - blocked:
            logger.info("suspects.part_unblocked", extra={"part": part})


def _select_latest_rounds(rounds: dict[str, int]) -> dict[str, int]:
    latest = sorted(rounds, key=lambda crash_id: (-rounds[crash_id], crash_id))
    return {crash_id: rounds[crash_id] for crash_id in latest[:KEPT_CRASHES]}
