"""Finds requests that crash targets and stops them on all hosts.

Whatever was in flight on a target that died is suspect. A suspect runs alone, at a turn
that the log gives; if its target dies again, it is refused for good. The state is
touched by the control thread alone.
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
from thornlatch.requests._deaths import Death, Deaths, Running
from thornlatch.requests._gone_hosts import GoneHosts
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

STREAM = "quarantine"
NOTICES_LIMIT = 10_000


@dataclass(frozen=True, slots=True)
class Waiting:
    """A request that waits for its turn to run alone."""

    ticket: str
    isolation_id: str
    fingerprint: str
    pool: str
    deadline: float


class Quarantine:
    """Decides whether a request may run beside others, alone or not at all.

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
        self.early = QuarantineFold(settings)
        self.running: dict[str, Running] = {}
        self.waiting: dict[str, Waiting] = {}
        self.deaths = Deaths(settings.domain_window_s)
        self.seen: OrderedDict[tuple[str, int], None] = OrderedDict()
        self.turns: dict[str, tuple[str, float]] = {}
        self.gone_hosts = GoneHosts(settings.gone_grace_s)
        self.numbers = 0

    def check(self, fingerprint: str, *, now: float) -> Verdict:
        """Return what to do with a request that arrives.

        Parameters
        ----------
        fingerprint : str
            See `make_fingerprint`.
        now : float

        Returns
        -------
        RunNormally, IsolationRequired or Refuse
            After `IsolationRequired` the request calls `enter`.
        """
        for fold in (self.fold, self.early):
            if fold.refused.get(fingerprint, now) > now:
                return Refuse(_refuse_for_good())
        is_clearing = "clear:" + fingerprint in self.outbox.entries
        is_logged = fingerprint in self.fold.suspects and not is_clearing
        is_suspect = is_logged or fingerprint in self.early.suspects
        return IsolationRequired() if is_suspect else RunNormally()

    def request_isolation(
        self, ticket: str, fingerprint: str, *, pool: str, now: float
    ) -> list[Action]:
        """Queue a suspect for its turn to run alone.

        The ticket resolves to `RunIsolated`, `RunNormally` or `RequestRefused`.
        """
        verdict = self.check(fingerprint, now=now)
        if not isinstance(verdict, IsolationRequired):
            return [Resolve(ticket, _get_value(verdict))]
        isolation_id = f"{self.host}/{self._number()}"
        deadline = now + self.settings.wait_s
        waiting = Waiting(ticket, isolation_id, fingerprint, pool, deadline)
        self.waiting[ticket] = waiting
        self._ask(waiting, now=now)
        return []

    def cancel_isolation(self, ticket: str, *, now: float) -> list[Action]:
        """Leave the queue before the turn came; afterwards call `release_isolation`."""
        waiting = self.waiting.pop(ticket, None)
        if waiting is not None:
            self._end(
                waiting.isolation_id, waiting.fingerprint, IsolationOutcome.NOT_RUN, now
            )
        return []

    def release_isolation(
        self, isolation_id: str, fingerprint: str, *, now: float
    ) -> list[Action]:
        """Give back a turn under which no target received a byte."""
        self._end(isolation_id, fingerprint, IsolationOutcome.NOT_RUN, now)
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
        """Note that a request is about to be sent to a target."""
        self.running[request] = Running(request, fingerprint, target, isolation_id, now)

    def note_finished(self, request: str, *, now: float) -> list[Action]:
        """Note that a request ended while its target lived."""
        running = self.running.pop(request, None)
        if running is None or not running.isolation_id:
            return []
        self._end(
            running.isolation_id, running.fingerprint, IsolationOutcome.CLEARED, now
        )
        return self._clear({running.fingerprint}, now=now)

    def note_unsent(self, request: str, *, now: float) -> list[Action]:
        """Note that no byte of an attempt reached its target, dead or not."""
        running = self.running.pop(request, None)
        if running is not None and running.isolation_id:
            self._end(
                running.isolation_id, running.fingerprint, IsolationOutcome.NOT_RUN, now
            )
        return []

    def note_target_failure(
        self, target: str, *, failure_domain: str, domain_targets: int, now: float
    ) -> list[Action]:
        """Note an unplanned death of a target, whether requests ran on it here or not.

        Whatever ran on it here is suspect at once; it is judged after
        `domain_window_s`, when the loss of a failure domain would have shown.

        Parameters
        ----------
        target : str
        failure_domain : str
        domain_targets : int
            Targets in the failure domain; it is lost when three quarters of them die.
        now : float
        """
        ran = tuple(one for one in self.running.values() if one.target == target)
        for one in ran:
            del self.running[one.request]
        self.deaths.add(Death(target, failure_domain, domain_targets, now, ran))
        suspects = tuple(Suspected(one.fingerprint, target) for one in ran)
        for suspected in suspects:
            self.early.suspect(suspected, now=now)
        actions: list[Action] = [
            Emit(Event("quarantine.suspected", request=one.request, target=target))
            for one in ran
        ]
        return actions + self._notify(suspects=suspects, now=now)

    @singledispatchmethod
    def handle(self, message: Any, *, sender: str, now: float) -> list[Action]:
        """Handle a notice of a peer or its acknowledgement."""
        return []

    @handle.register
    def _(self, message: SuspectNotice, *, sender: str, now: float) -> list[Action]:
        seen: list[Action] = [Send(sender, SuspectNoticeSeen(message.notice))]
        if not self._is_new(sender, message.notice):
            return seen
        for suspected in message.suspects:
            self.early.suspect(suspected, now=now)
        for fingerprint in message.refused:
            self.early.refuse(fingerprint, now=now)
        for fingerprint in message.cleared:
            self.early.clear(fingerprint)
        return seen + self._settle(now=now)

    @handle.register
    def _(self, message: SuspectNoticeSeen, *, sender: str, now: float) -> list[Action]:
        self.notices.note_seen(message.notice, sender)
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
            self.early.end(ended, now=now)
        for cleared in record.cleared:
            self.early.clear(cleared.fingerprint)
        return self._settle(now=now)

    def tick(self, *, now: float) -> list[Action]:
        """Judge deaths, pass turns on, send notices and append records."""
        actions = self._judge(now=now)
        actions += self._clear_slow(now=now)
        self._pass_lost_turns(now=now)
        self._return_unused_turns(now=now)
        self.fold.expire(now=now)
        self.early.expire(now=now)
        actions += self._settle(now=now)
        actions += self.notices.tick(now=now)
        items = self.outbox.take(now=now)
        if items:
            actions.append(Append(STREAM, build_quarantine_record(self.host, items)))
        return actions

    def next_due(self, *, now: float) -> float:
        """Return `now` while a death, a turn, a notice or an append is open."""
        is_open = (
            self.deaths.waiting
            or self.waiting
            or self.turns
            or self.notices.unseen
            or self.outbox.entries
        )
        return now if is_open else math.inf

    def _judge(self, *, now: float) -> list[Action]:
        actions: list[Action] = []
        for death in self.deaths.take_due(now=now):
            actions += self._judge_death(death, now=now)
        return actions

    def _judge_death(self, death: Death, *, now: float) -> list[Action]:
        beside = self.deaths.find_domain_loss(death)
        innocent: set[str] = set()
        refused: list[str] = []
        for one in death.running:
            if beside and not self._is_common(one.fingerprint, beside):
                self._end_turn(one, IsolationOutcome.LOST, now=now)
                if not one.isolation_id:
                    innocent.add(one.fingerprint)
            elif one.isolation_id:
                self._end_turn(one, IsolationOutcome.CRASHED, now=now)
                self.early.suspect(Suspected(one.fingerprint, death.target), now=now)
                self.early.refuse(one.fingerprint, now=now)
                refused.append(one.fingerprint)
            else:
                self._put_suspected(one.fingerprint, now=now)
        actions = self._clear(innocent, now=now) if innocent else []
        return actions + self._tell_refused(refused, death, now=now)

    def _is_common(self, fingerprint: str, deaths: list[Death]) -> bool:
        """Return whether the request was on another target that died, at any host."""
        targets = set(self._get_targets(fingerprint))
        return any(
            death.target in targets or fingerprint in death.fingerprints
            for death in deaths
        )

    def _get_targets(self, fingerprint: str) -> tuple[str, ...]:
        found: dict[str, None] = {}
        for fold in (self.fold, self.early):
            suspect = fold.suspects.get(fingerprint)
            found.update(dict.fromkeys(suspect.targets if suspect else ()))
        return tuple(found)

    def _end_turn(
        self, running: Running, outcome: IsolationOutcome, *, now: float
    ) -> None:
        if running.isolation_id:
            self._end(running.isolation_id, running.fingerprint, outcome, now)

    def _tell_refused(
        self, refused: list[str], death: Death, *, now: float
    ) -> list[Action]:
        if not refused:
            return []
        actions: list[Action] = [
            Emit(Event("quarantine.refused", target=death.target, detail={"fp": one}))
            for one in refused
        ]
        return actions + self._notify(refused=tuple(refused), now=now)

    def _clear(self, fingerprints: set[str], *, now: float) -> list[Action]:
        for fingerprint in sorted(fingerprints):
            targets = self._get_targets(fingerprint)
            keys = [_suspect_key(fingerprint, target) for target in targets]
            removed = [self.outbox.remove(key) for key in keys]
            may_be_on_log = any(removed)
            self.early.clear(fingerprint)
            if may_be_on_log or fingerprint in self.fold.suspects:
                self._put("clear:" + fingerprint, Cleared(fingerprint), now=now)
        return self._notify(cleared=tuple(sorted(fingerprints)), now=now)

    def _clear_slow(self, *, now: float) -> list[Action]:
        # A request that has run alone for so long doesn't crash its target at sight.
        late = now - self.settings.isolation_timeout_s
        slow = [one for one in self.running.values() if one.isolation_id in self.turns]
        slow = [one for one in slow if one.started_at <= late]
        for one in slow:
            self._end_turn(one, IsolationOutcome.CLEARED, now=now)
        return self._clear({one.fingerprint for one in slow}, now=now) if slow else []

    def _return_unused_turns(self, *, now: float) -> None:
        started = {one.isolation_id for one in self.running.values()}
        late = now - self.settings.isolation_timeout_s
        for isolation_id, (fingerprint, since) in list(self.turns.items()):
            if since <= late and isolation_id not in started:
                self._end(isolation_id, fingerprint, IsolationOutcome.NOT_RUN, now)

    def _pass_lost_turns(self, *, now: float) -> None:
        members = {self.host, *(member.host for member in self.leases.iter_members())}
        self.gone_hosts.note_members(members)
        for waiting in self.waiting.values():
            for name, ask in self.fold.iter_ahead(waiting.isolation_id):
                if not self.gone_hosts.is_gone(ask.host, now=now):
                    continue
                item = IsolationEnded(name, ask.fingerprint, IsolationOutcome.LOST)
                if "end:" + name not in self.outbox.entries:
                    self._put("end:" + name, item, now=now)

    def _settle(self, *, now: float) -> list[Action]:
        actions: list[Action] = []
        for waiting in list(self.waiting.values()):
            actions += self._settle_one(waiting, now=now)
        return actions

    def _settle_one(self, waiting: Waiting, *, now: float) -> list[Action]:
        verdict = self.check(waiting.fingerprint, now=now)
        if self.deaths.is_judging(waiting.fingerprint):
            return []
        if isinstance(verdict, IsolationRequired) and self.fold.has_turn(
            waiting.isolation_id
        ):
            del self.waiting[waiting.ticket]
            self.turns[waiting.isolation_id] = (waiting.fingerprint, now)
            targets = self._get_targets(waiting.fingerprint)
            return [Resolve(waiting.ticket, RunIsolated(waiting.isolation_id, targets))]
        if isinstance(verdict, IsolationRequired) and now < waiting.deadline:
            self._ask(waiting, now=now)
            return []
        self.cancel_isolation(waiting.ticket, now=now)
        value = _get_value(verdict)
        if isinstance(verdict, IsolationRequired):
            value = _refuse_for_now(self.settings.wait_s)
        return [Resolve(waiting.ticket, value)]

    def _ask(self, waiting: Waiting, *, now: float) -> None:
        # The log may clear a suspect between its notice and the landing of the ask.
        is_asked = waiting.isolation_id in self.fold.asks
        if not is_asked and "ask:" + waiting.isolation_id not in self.outbox.entries:
            self._put_suspected(waiting.fingerprint, now=now)
            item = IsolationAsked(
                waiting.isolation_id, waiting.fingerprint, waiting.pool
            )
            self._put("ask:" + waiting.isolation_id, item, now=now)

    def _end(
        self, isolation_id: str, fingerprint: str, outcome: IsolationOutcome, now: float
    ) -> None:
        self.turns.pop(isolation_id, None)
        may_be_on_log = (
            self.outbox.remove("ask:" + isolation_id) or isolation_id in self.fold.asks
        )
        if may_be_on_log:
            item = IsolationEnded(isolation_id, fingerprint, outcome)
            self._put("end:" + isolation_id, item, now=now)

    def _read_back(self, record: QuarantineRecord, *, now: float) -> None:
        for suspected in record.suspected:
            self.outbox.remove(_suspect_key(suspected.fingerprint, suspected.target))
        wanted = {waiting.isolation_id for waiting in self.waiting.values()} | set(
            self.turns
        )
        for asked in record.asked:
            self.outbox.remove("ask:" + asked.ask)
            if asked.ask in self.fold.asks and asked.ask not in wanted:
                outcome = IsolationOutcome.NOT_RUN
                self._end(asked.ask, asked.fingerprint, outcome, now)
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
        notice = SuspectNotice(self._number(), suspects, refused, cleared)
        peers = {member.host for member in self.leases.iter_members()} - {self.host}
        return self.notices.send(notice, peers, now=now)

    def _number(self) -> int:
        self.numbers += 1
        return self.numbers

    def _is_new(self, sender: str, notice: int) -> bool:
        if (sender, notice) in self.seen:
            return False
        self.seen[sender, notice] = None
        if len(self.seen) > NOTICES_LIMIT:
            self.seen.popitem(last=False)
        return True


def _suspect_key(fingerprint: str, target: str) -> str:
    return f"suspect:{fingerprint}:{target}"


def _get_value(verdict: Verdict) -> Any:
    return verdict.refusal if isinstance(verdict, Refuse) else verdict


def _refuse_for_good() -> RequestRefused:
    return RequestRefused(
        ErrorKind.QUARANTINED, "two targets died while they ran this request"
    )


def _refuse_for_now(retry_after_s: float) -> RequestRefused:
    return RequestRefused(
        ErrorKind.TARGET_FAILED,
        "a target died while it ran this request; no turn to run it alone came in time",
        retry_after_s=retry_after_s,
        execution=Execution.OUTCOME_UNKNOWN,
    )
