"""Detection of requests that crash targets, and their refusal on all hosts.

Every request in flight on a target that failed is suspect. A suspect runs in isolation,
in the order of the log; if its target fails again, it is refused for `refused_s`.
Not thread-safe; the control thread owns the state.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

from thornlatch.core import (
    Action,
    Append,
    Emit,
    Event,
    LeaseReader,
    Resolve,
    Send,
    has_handler,
)
from thornlatch.exceptions import ErrorKind, Execution, RequestRefused
from thornlatch.requests._departed_hosts import DepartedHosts
from thornlatch.requests._notices import NoticeSender
from thornlatch.requests._outbox import Outbox
from thornlatch.requests._quarantine_fold import QuarantineFold
from thornlatch.requests._quarantine_records import (
    Cleared,
    IsolationAsked,
    IsolationEnded,
    IsolationOutcome,
    IsolationRequired,
    QuarantineItem,
    QuarantineRecord,
    Refuse,
    RunIsolated,
    RunNormally,
    Suspected,
    SuspectNotice,
    SuspectNoticeSeen,
    Verdict,
    build_quarantine_record,
)
from thornlatch.requests._settings import QuarantineSettings
from thornlatch.requests._target_failures import (
    RunningRequest,
    TargetFailure,
    TargetFailures,
)

STREAM = "quarantine"
SEEN_NOTICES_LIMIT = 10_000


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits to run in isolation."""

    ticket: str
    isolation_id: str
    fingerprint: str
    pool: str
    deadline: float


class Quarantine:
    """Decides whether a request may run normally, in isolation or not at all.

    Parameters
    ----------
    settings : QuarantineSettings
    host : str
    leases : LeaseReader
    """

    def __init__(
        self, settings: QuarantineSettings, *, host: str, leases: LeaseReader
    ) -> None:
        self.settings = settings
        self.host = host
        self.leases = leases
        self.fold = QuarantineFold(settings)
        self.outbox: Outbox[QuarantineItem] = Outbox(
            batch_s=settings.append_batch_s,
            retry_s=settings.append_retry_s,
            retry_limit_s=settings.append_retry_limit_s,
        )
        self.notices = NoticeSender(
            retry_s=settings.notice_retry_s, attempts=settings.notice_attempts
        )
        self.provisional = QuarantineFold(settings)
        self.running: dict[str, RunningRequest] = {}
        self.waiting: dict[str, WaitingRequest] = {}
        self.failures = TargetFailures(settings.domain_window_s)
        self.seen_notices: OrderedDict[tuple[str, int], None] = OrderedDict()
        self.granted_isolations: dict[str, tuple[str, float]] = {}
        self.departed_hosts = DepartedHosts(settings.gone_grace_s)
        self.last_number = 0

    def check(self, fingerprint: str, *, now: float) -> Verdict:
        """Return the verdict on a request.

        Parameters
        ----------
        fingerprint : str
            See `make_fingerprint`.
        now : float

        Returns
        -------
        RunNormally, IsolationRequired or Refuse
            After `IsolationRequired` the caller calls `request_isolation`.
        """
        for fold in (self.fold, self.provisional):
            if fold.refused.get(fingerprint, now) > now:
                return Refuse(_make_quarantined_refusal())
        is_clearing = "clear:" + fingerprint in self.outbox.entries
        is_logged = fingerprint in self.fold.suspects and not is_clearing
        is_suspect = is_logged or fingerprint in self.provisional.suspects
        return IsolationRequired() if is_suspect else RunNormally()

    def request_isolation(
        self, ticket: str, fingerprint: str, *, pool: str, now: float
    ) -> list[Action]:
        """Queue a suspect for an isolated run.

        The ticket resolves to `RunIsolated`, `RunNormally` or `RequestRefused`.
        """
        verdict = self.check(fingerprint, now=now)
        if not isinstance(verdict, IsolationRequired):
            return [Resolve(ticket, _get_resolution(verdict))]
        isolation_id = f"{self.host}/{self._next_number()}"
        deadline = now + self.settings.wait_s
        waiting = WaitingRequest(ticket, isolation_id, fingerprint, pool, deadline)
        self.waiting[ticket] = waiting
        self._put_isolation_request(waiting, now=now)
        return []

    def cancel_isolation(self, ticket: str, *, now: float) -> list[Action]:
        """Cancel a queued request; use `release_isolation` once it is granted."""
        waiting = self.waiting.pop(ticket, None)
        if waiting is not None:
            self._end_isolation(
                waiting.isolation_id, waiting.fingerprint, IsolationOutcome.NOT_RUN, now
            )
        return []

    def release_isolation(
        self, isolation_id: str, fingerprint: str, *, now: float
    ) -> list[Action]:
        """End a granted isolated run of which no target received a byte."""
        self._end_isolation(isolation_id, fingerprint, IsolationOutcome.NOT_RUN, now)
        return []

    def note_started(
        self,
        request: str,
        fingerprint: str,
        *,
        target: str,
        now: float,
        isolation_id: str = "",
    ) -> None:
        """Record that a request is about to be sent to a target."""
        self.running[request] = RunningRequest(
            request, fingerprint, target, isolation_id, now
        )

    def note_finished(self, request: str, *, now: float) -> list[Action]:
        """Record that a request ended on a live target."""
        running = self.running.pop(request, None)
        if running is None or not running.isolation_id:
            return []
        self._end_isolation(
            running.isolation_id, running.fingerprint, IsolationOutcome.CLEARED, now
        )
        return self._clear({running.fingerprint}, now=now)

    def note_unsent(self, request: str, *, now: float) -> list[Action]:
        """Record that no byte of an attempt reached its target, live or not."""
        running = self.running.pop(request, None)
        if running is not None and running.isolation_id:
            self._end_isolation(
                running.isolation_id, running.fingerprint, IsolationOutcome.NOT_RUN, now
            )
        return []

    def note_target_failure(
        self, target: str, *, failure_domain: str, domain_targets: int, now: float
    ) -> list[Action]:
        """Record an unplanned failure of a target, even without requests of this host.

        Requests of this host that ran on it are suspect at once. They are judged after
        `domain_window_s`, when a loss of the whole failure domain is known.

        Parameters
        ----------
        target : str
        failure_domain : str
        domain_targets : int
            Targets in the failure domain; it is lost when three quarters of them fail.
        now : float
        """
        interrupted = tuple(
            running for running in self.running.values() if running.target == target
        )
        for running in interrupted:
            del self.running[running.request]
        self.failures.add(
            TargetFailure(target, failure_domain, domain_targets, now, interrupted)
        )
        suspects = tuple(
            Suspected(running.fingerprint, target) for running in interrupted
        )
        for suspected in suspects:
            self.provisional.suspect(suspected, now=now)
        actions: list[Action] = [
            Emit(Event("quarantine.suspected", request=running.request, target=target))
            for running in interrupted
        ]
        return actions + self._notify(suspects=suspects, now=now)

    @singledispatchmethod
    def handle(self, message: Any, *, sender: str, now: float) -> list[Action]:
        """Handle a peer's notice or acknowledgement."""
        return []

    @handle.register
    def _(self, message: SuspectNotice, *, sender: str, now: float) -> list[Action]:
        actions: list[Action] = [Send(sender, SuspectNoticeSeen(message.notice))]
        if not self._is_new(sender, message.notice):
            return actions
        for suspected in message.suspects:
            self.provisional.suspect(suspected, now=now)
        for fingerprint in message.refused:
            self.provisional.refuse(fingerprint, now=now)
        for fingerprint in message.cleared:
            self.provisional.clear(fingerprint)
        return actions + self._settle(now=now)

    @handle.register
    def _(self, message: SuspectNoticeSeen, *, sender: str, now: float) -> list[Action]:
        self.notices.acknowledge(message.notice, sender)
        return []

    def handles(self, kind: type) -> bool:
        """Return whether `handle` acts on messages of a class."""
        return has_handler(Quarantine, "handle", kind)

    def apply_record(self, offset: int, record: Any, *, now: float) -> list[Action]:
        """Apply a record of stream ``quarantine``."""
        if not isinstance(record, QuarantineRecord):
            return []
        self.fold.apply(record, now=now)
        if record.host == self.host:
            self._read_back(record, now=now)
        for ended in record.ended:
            self.provisional.end(ended, now=now)
        for cleared in record.cleared:
            self.provisional.clear(cleared.fingerprint)
        return self._settle(now=now)

    def tick(self, *, now: float) -> list[Action]:
        """Judge failures, end stale isolated runs, send notices and append records."""
        actions = self._judge_due_failures(now=now)
        actions += self._clear_slow(now=now)
        self._end_isolations_of_departed_hosts(now=now)
        self._end_unused_isolations(now=now)
        self.fold.expire(now=now)
        self.provisional.expire(now=now)
        actions += self._settle(now=now)
        actions += self.notices.tick(now=now)
        items = self.outbox.take(now=now)
        if items:
            actions.append(Append(STREAM, build_quarantine_record(self.host, items)))
        return actions

    def next_due(self, *, now: float) -> float:
        """Return `now` while a failure, an isolation, a notice or an append is open."""
        is_open = (
            self.failures.waiting
            or self.waiting
            or self.granted_isolations
            or self.notices.pending
            or self.outbox.entries
        )
        return now if is_open else math.inf

    def _judge_due_failures(self, *, now: float) -> list[Action]:
        actions: list[Action] = []
        for failure in self.failures.take_due(now=now):
            actions += self._judge_failure(failure, now=now)
        return actions

    def _judge_failure(self, failure: TargetFailure, *, now: float) -> list[Action]:
        related_failures = self.failures.find_domain_loss(failure)
        cleared: set[str] = set()
        refused: list[str] = []
        for running in failure.running:
            if related_failures and not self._ran_on_failed_targets(
                running.fingerprint, related_failures
            ):
                self._end_isolated_run(running, IsolationOutcome.LOST, now=now)
                if not running.isolation_id:
                    cleared.add(running.fingerprint)
            elif running.isolation_id:
                self._end_isolated_run(running, IsolationOutcome.CRASHED, now=now)
                self.provisional.suspect(
                    Suspected(running.fingerprint, failure.target), now=now
                )
                self.provisional.refuse(running.fingerprint, now=now)
                refused.append(running.fingerprint)
            else:
                self._put_suspected(running.fingerprint, now=now)
        actions = self._clear(cleared, now=now) if cleared else []
        return actions + self._announce_refused(refused, failure, now=now)

    def _ran_on_failed_targets(
        self, fingerprint: str, failures: list[TargetFailure]
    ) -> bool:
        """Return whether the request ran on a failed target, from any host."""
        targets = set(self._get_targets(fingerprint))
        return any(
            failure.target in targets or fingerprint in failure.fingerprints
            for failure in failures
        )

    def _get_targets(self, fingerprint: str) -> tuple[str, ...]:
        found: dict[str, None] = {}
        for fold in (self.fold, self.provisional):
            suspect = fold.suspects.get(fingerprint)
            found.update(dict.fromkeys(suspect.targets if suspect else ()))
        return tuple(found)

    def _end_isolated_run(
        self, running: RunningRequest, outcome: IsolationOutcome, *, now: float
    ) -> None:
        if running.isolation_id:
            self._end_isolation(running.isolation_id, running.fingerprint, outcome, now)

    def _announce_refused(
        self, refused: list[str], failure: TargetFailure, *, now: float
    ) -> list[Action]:
        if not refused:
            return []
        actions: list[Action] = [
            Emit(
                Event(
                    "quarantine.refused",
                    target=failure.target,
                    detail={"fp": fingerprint},
                )
            )
            for fingerprint in refused
        ]
        return actions + self._notify(refused=tuple(refused), now=now)

    def _clear(self, fingerprints: set[str], *, now: float) -> list[Action]:
        for fingerprint in sorted(fingerprints):
            targets = self._get_targets(fingerprint)
            keys = [_suspect_key(fingerprint, target) for target in targets]
            removed = [self.outbox.remove(key) for key in keys]
            may_be_on_log = any(removed)
            self.provisional.clear(fingerprint)
            if may_be_on_log or fingerprint in self.fold.suspects:
                self._put("clear:" + fingerprint, Cleared(fingerprint), now=now)
        return self._notify(cleared=tuple(sorted(fingerprints)), now=now)

    def _clear_slow(self, *, now: float) -> list[Action]:
        # A request that has run in isolation for so long doesn't crash targets at once.
        cutoff = now - self.settings.isolation_timeout_s
        slow = [
            running
            for running in self.running.values()
            if running.isolation_id in self.granted_isolations
        ]
        slow = [running for running in slow if running.started_at <= cutoff]
        for running in slow:
            self._end_isolated_run(running, IsolationOutcome.CLEARED, now=now)
        return (
            self._clear({running.fingerprint for running in slow}, now=now)
            if slow
            else []
        )

    def _end_unused_isolations(self, *, now: float) -> None:
        started = {running.isolation_id for running in self.running.values()}
        cutoff = now - self.settings.isolation_timeout_s
        for isolation_id, (fingerprint, since) in list(self.granted_isolations.items()):
            if since <= cutoff and isolation_id not in started:
                self._end_isolation(
                    isolation_id, fingerprint, IsolationOutcome.NOT_RUN, now
                )

    def _end_isolations_of_departed_hosts(self, *, now: float) -> None:
        members = {self.host, *(member.host for member in self.leases.iter_members())}
        self.departed_hosts.note_members(members)
        for waiting in self.waiting.values():
            for isolation_id, request in self.fold.iter_ahead(waiting.isolation_id):
                if not self.departed_hosts.has_departed(request.host, now=now):
                    continue
                item = IsolationEnded(
                    isolation_id, request.fingerprint, IsolationOutcome.LOST
                )
                if "end:" + isolation_id not in self.outbox.entries:
                    self._put("end:" + isolation_id, item, now=now)

    def _settle(self, *, now: float) -> list[Action]:
        actions: list[Action] = []
        for waiting in list(self.waiting.values()):
            actions += self._settle_request(waiting, now=now)
        return actions

    def _settle_request(self, waiting: WaitingRequest, *, now: float) -> list[Action]:
        verdict = self.check(waiting.fingerprint, now=now)
        if self.failures.is_judging(waiting.fingerprint):
            return []
        if isinstance(verdict, IsolationRequired) and self.fold.is_granted(
            waiting.isolation_id
        ):
            del self.waiting[waiting.ticket]
            self.granted_isolations[waiting.isolation_id] = (waiting.fingerprint, now)
            targets = self._get_targets(waiting.fingerprint)
            return [Resolve(waiting.ticket, RunIsolated(waiting.isolation_id, targets))]
        if isinstance(verdict, IsolationRequired) and now < waiting.deadline:
            self._put_isolation_request(waiting, now=now)
            return []
        self.cancel_isolation(waiting.ticket, now=now)
        value = _get_resolution(verdict)
        if isinstance(verdict, IsolationRequired):
            value = _make_isolation_timeout_refusal(self.settings.wait_s)
        return [Resolve(waiting.ticket, value)]

    def _put_isolation_request(self, waiting: WaitingRequest, *, now: float) -> None:
        # The log may clear a suspect after the peer's notice and before the request for
        # isolation is applied; the suspicion is then appended again.
        is_requested = waiting.isolation_id in self.fold.isolation_queue
        if (
            not is_requested
            and "ask:" + waiting.isolation_id not in self.outbox.entries
        ):
            self._put_suspected(waiting.fingerprint, now=now)
            item = IsolationAsked(
                waiting.isolation_id, waiting.fingerprint, waiting.pool
            )
            self._put("ask:" + waiting.isolation_id, item, now=now)

    def _end_isolation(
        self, isolation_id: str, fingerprint: str, outcome: IsolationOutcome, now: float
    ) -> None:
        self.granted_isolations.pop(isolation_id, None)
        may_be_on_log = (
            self.outbox.remove("ask:" + isolation_id)
            or isolation_id in self.fold.isolation_queue
        )
        if may_be_on_log:
            item = IsolationEnded(isolation_id, fingerprint, outcome)
            self._put("end:" + isolation_id, item, now=now)

    def _read_back(self, record: QuarantineRecord, *, now: float) -> None:
        for suspected in record.suspected:
            self.outbox.remove(_suspect_key(suspected.fingerprint, suspected.target))
        wanted = {waiting.isolation_id for waiting in self.waiting.values()} | set(
            self.granted_isolations
        )
        for asked in record.asked:
            self.outbox.remove("ask:" + asked.ask)
            if asked.ask in self.fold.isolation_queue and asked.ask not in wanted:
                outcome = IsolationOutcome.NOT_RUN
                self._end_isolation(asked.ask, asked.fingerprint, outcome, now)
        for ended in record.ended:
            self.outbox.remove("end:" + ended.ask)
        for cleared in record.cleared:
            self.outbox.remove("clear:" + cleared.fingerprint)

    def _put_suspected(self, fingerprint: str, *, now: float) -> None:
        logged = self.fold.suspects.get(fingerprint)
        for target in self._get_targets(fingerprint):
            key = _suspect_key(fingerprint, target)
            if logged is not None and target in logged.targets:
                continue
            if key not in self.outbox.entries:
                self._put(key, Suspected(fingerprint, target), now=now)

    def _put(self, key: str, item: QuarantineItem, *, now: float) -> None:
        self.outbox.put(key, item, now=now)

    def _notify(
        self,
        *,
        suspects: tuple[Suspected, ...] = (),
        refused: tuple[str, ...] = (),
        cleared: tuple[str, ...] = (),
        now: float,
    ) -> list[Action]:
        if not (suspects or refused or cleared):
            return []
        notice = SuspectNotice(self._next_number(), suspects, refused, cleared)
        peers = {member.host for member in self.leases.iter_members()} - {self.host}
        return self.notices.send(notice, peers, now=now)

    def _next_number(self) -> int:
        self.last_number += 1
        return self.last_number

    def _is_new(self, sender: str, notice: int) -> bool:
        if (sender, notice) in self.seen_notices:
            return False
        self.seen_notices[sender, notice] = None
        if len(self.seen_notices) > SEEN_NOTICES_LIMIT:
            self.seen_notices.popitem(last=False)
        return True


def _suspect_key(fingerprint: str, target: str) -> str:
    return f"suspect:{fingerprint}:{target}"


def _get_resolution(verdict: Verdict) -> Any:
    return verdict.refusal if isinstance(verdict, Refuse) else verdict


def _make_quarantined_refusal() -> RequestRefused:
    return RequestRefused(
        ErrorKind.QUARANTINED, "two targets failed while they ran this request"
    )


def _make_isolation_timeout_refusal(retry_after_s: float) -> RequestRefused:
    return RequestRefused(
        ErrorKind.TARGET_FAILED,
        "a target failed while it ran this request; no isolated run granted in time",
        retry_after_s=retry_after_s,
        execution=Execution.OUTCOME_UNKNOWN,
    )
