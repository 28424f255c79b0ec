"""Serves one request: admission, choice of a target, sending, answering."""

from collections.abc import Callable, Iterator

import logbook

from thornlatch.core import read_clock
from thornlatch.exceptions import RequestRefused, TargetError
from thornlatch.fleet import Target
from thornlatch.gateway._admission import Admission
from thornlatch.gateway._call import Call, GatewayAnswer, Opened, build_failure
from thornlatch.gateway._choice import TargetOption
from thornlatch.gateway._health import TargetHealth
from thornlatch.gateway._metrics import GatewayMetrics
from thornlatch.gateway._ports import AnswerHead, CallerRequest
from thornlatch.gateway._selector import TargetSelector
from thornlatch.gateway._sender import Rejected, TargetSender
from thornlatch.gateway._suspects import CrashSuspects
from thornlatch.gateway._work import WorkTable
from thornlatch.quota import RetryBudget, SharedQuota
from thornlatch.residency import ResidentTable
from thornlatch.routing import CallKind, ConfigurationInForce

logger = logbook.Logger("thornlatch.gateway")

TRY_LIMIT = 6  # of one request, rejected sends and refused connections included


class Forwarder:
    """Serves requests in the threads that call it.

    Parameters
    ----------
    admission : Admission
    selector : TargetSelector
    sender : TargetSender
    in_force : ConfigurationInForce
    quota : SharedQuota
    retries : RetryBudget
    residents : ResidentTable
    work : WorkTable
    health : TargetHealth
    suspects : CrashSuspects
    metrics : GatewayMetrics
    """

    def __init__(
        self,
        *,
        admission: Admission,
        selector: TargetSelector,
        sender: TargetSender,
        in_force: ConfigurationInForce,
        quota: SharedQuota,
        retries: RetryBudget,
        residents: ResidentTable,
        work: WorkTable,
        health: TargetHealth,
        suspects: CrashSuspects,
        metrics: GatewayMetrics,
    ) -> None:
        self.admission = admission
        self.selector = selector
        self.sender = sender
        self.in_force = in_force
        self.quota = quota
        self.retries = retries
        self.residents = residents
        self.work = work
        self.health = health
        self.suspects = suspects
        self.metrics = metrics

    def serve(
        self, request: CallerRequest, *, is_caller_disconnected: Callable[[], bool]
    ) -> GatewayAnswer:
        """Serve a request up to the head of its answer.

        Parameters
        ----------
        request : CallerRequest
        is_caller_disconnected : callable

        Returns
        -------
        GatewayAnswer

        Raises
        ------
        RequestRefused
            With what is known of the request's execution.
        """
        call = self.admission.admit(request, is_caller_disconnected)
        self.work.add(call.running)
        try:
            opened = self._send_until_answered(call)
        except BaseException as error:
            self._finish(call, error)
            raise
        self._note_first(call)
        if call.route.kind is CallKind.STREAM and opened.head.status < 300:
            body = self._pass_on(call, opened)
            return GatewayAnswer(opened.head.status, opened.head.headers, body, None)
        self.sender.end(call, opened)
        self._finish(call, None)
        length = len(opened.body)
        body = iter((opened.body,) if length else ())
        return GatewayAnswer(opened.head.status, opened.head.headers, body, length)

    def _send_until_answered(self, call: Call) -> Opened:
        while True:
            option = self.selector.choose(call)
            self._check_may_send(call)
            try:
                opened = self.sender.send(call, option)
            except Rejected as rejection:
                self._note_rejection(call, option, rejection.head)
                continue
            except TargetError as error:
                self._note_failure(call, option, error)
                continue
            self.suspects.note_answer(
                option.target, sent_at=opened.sent_at, now=read_clock()
            )
            call.status = opened.head.status
            if not self._should_repeat(call, opened):
                return opened
            self.sender.end(call, opened)
            call.excluded.add(option.target.id)

    def _check_may_send(self, call: Call) -> None:
        """Check the budget and the key just before a request leaves."""
        now = read_clock()
        if call.organisation is not None:
            self.admission.confirm_key(call, now=now)
        if not call.is_first_sent:
            call.is_first_sent = True
            self.retries.note_request(call.service, now=now)
            return
        is_exhausted = (
            call.tries >= TRY_LIMIT
            or call.runs >= call.route.max_attempts
            or self.suspects.is_blocked(call.fingerprint)
        )
        if is_exhausted:
            raise build_failure(call)
        if call.sends and not self.retries.try_acquire(call.service, now=now):
            raise build_failure(call)

    def _should_repeat(self, call: Call, opened: Opened) -> bool:
        return (
            opened.head.status >= 500
            and call.route.kind is CallKind.IDEMPOTENT
            and call.runs + 1 < call.route.max_attempts
            and call.tries < TRY_LIMIT
            and self.selector.has_alternative(call, opened.option.target.id)
        )

    def _pass_on(self, call: Call, opened: Opened) -> Iterator[bytes]:
        """Iterate over the events of a stream, at another target if need be."""
        try:
            while True:
                data = self._take_new_events(call, opened)
                if data:
                    yield data
                if opened.has_ended:
                    break
                try:
                    self.sender.read_events(call, opened)
                except TargetError as error:
                    opened = self._resume(call, opened, error)
            self.sender.end(call, opened)
            self._finish(call, None)
        except BaseException as error:
            if not call.has_ended:
                self.sender.abandon(call, opened)
                self._finish(call, error)
            raise

    def _take_new_events(self, call: Call, opened: Opened) -> bytes:
        fresh = []
        for event in opened.events:
            if event.id is not None:
                if call.last_id is not None and event.id <= call.last_id:
                    continue
                call.last_id = event.id
                call.last_event = str(event.id)
            fresh.append(event.data)
        if fresh:
            call.note_passed(read_clock())
        opened.events = []
        if opened.has_ended and opened.splitter.rest:
            fresh.append(opened.splitter.rest)
            opened.splitter.rest = b""
        return b"".join(fresh)

    def _resume(self, call: Call, opened: Opened, error: TargetError) -> Opened:
        self.sender.abandon(call, opened)
        self._note_broken(call, opened.option.target, error)
        if not call.route.may_repeat or call.running.stop_reason is not None:
            raise build_failure(call)
        call.excluded.add(opened.option.target.id)
        call.waits_since = read_clock()
        resumed = self._send_until_answered(call)
        if resumed.head.status >= 300:
            self.sender.abandon(call, resumed)
            raise build_failure(call)
        logger.info(
            "request.stream_resumed",
            extra={
                "request": call.request.id,
                "from": opened.option.target.id,
                "target": resumed.option.target.id,
                "after_event": call.last_event,
            },
        )
        return resumed

    def _note_rejection(
        self, call: Call, option: TargetOption, head: AnswerHead
    ) -> None:
        """Note that a target hasn't run the request, and why."""
        target = option.target
        now = read_clock()
        self.metrics.sends.labels(call.service, str(head.status)).inc()
        call.last_failure = f"{target.id} rejected it with {head.status}"
        logger.info(
            "request.rejected_by_target",
            extra={
                "request": call.request.id,
                "target": target.id,
                "status": head.status,
                "answering_target": head.answering_target,
                "adapter": call.request.adapter,
                "version": option.version,
            },
        )
        is_other = head.answering_target not in ("", target.id)
        if head.is_misdirected and not is_other and call.request.adapter:
            adapter = call.request.adapter
            # Each rejected send is charged, so the next one waits longer.
            pause_s = self.selector.orders.settings.late_step_s * call.sends
            self.residents.delay(target.id, adapter, until=now + pause_s)
            self.selector.request_load(call, target, now, was_missing=True)
            return
        if is_other:
            self.health.note_failure(target.id, now=now, is_unreachable=True)
        call.excluded.add(target.id)
        if head.load is not None:
            self.health.note_success(target.id, head.load, now=now)

    def _note_failure(
        self, call: Call, option: TargetOption, error: TargetError
    ) -> None:
        """Note that a send failed; raise if the request can't be sent again."""
        self._note_broken(call, option.target, error)
        call.excluded.add(option.target.id)
        if error.is_sent and not call.route.may_repeat:
            raise build_failure(call)

    def _note_broken(self, call: Call, target: Target, error: TargetError) -> None:
        call.last_failure = f"{target.id}: {error.message}"
        if error.is_sent:
            call.may_have_run = True
            call.runs += 1
        avoided_s = 0.0
        if call.running.stop_reason is None:
            now = read_clock()
            if error.is_sent:
                self.suspects.note_aborted_run(call.fingerprint, target, now=now)
            avoided_s = self.health.note_failure(
                target.id, now=now, is_unreachable=True
            )
        self.metrics.sends.labels(call.service, "failed").inc()
        logger.info(
            "request.send_failed",
            extra={
                "request": call.request.id,
                "target": target.id,
                "error": error.message,
                "may_have_run": error.is_sent,
                "avoided_s": avoided_s,
            },
        )

    def _note_first(self, call: Call) -> None:
        now = read_clock()
        call.note_passed(now)
        self.metrics.first_answer.labels(call.route.name).observe(now - call.began_at)
        self.metrics.waits.labels(call.route.name).observe(call.waited_s)

    def _finish(self, call: Call, error: BaseException | None) -> None:
        call.has_ended = True
        self.work.remove(call.running)
        now = read_clock()
        outcome = "answered"
        if error is not None:
            outcome = "broken-off"
            if isinstance(error, RequestRefused):
                outcome = error.kind.value
            if call.running.is_gone:
                outcome = "caller-left"
            is_unrun = not call.may_have_run and call.last_id is None
            if call.organisation is not None and is_unrun:
                self.quota.give_back(call.organisation.name, call.tokens, now=now)
        self.metrics.answers.labels(call.route.name, outcome).inc()
        event = "request.answered" if error is None else "request.failed"
        logger.info(
            event,
            extra={
                "request": call.request.id,
                "route": call.route.name,
                "organisation": call.organisation.name if call.organisation else "",
                "adapter": call.request.adapter,
                "prompt_tokens": call.request.prompt_tokens,
                "target": call.target,
                "outcome": outcome,
                "status": call.status,
                "objective_s": call.route.objective_s,
                "why": call.last_failure,
                "detail": str(error) if error is not None else "",
                "sends": call.sends,
                "waited_s": round(call.waited_s, 3),
                "first_s": round(call.first_s, 3),
                "longest_gap_s": round(call.longest_gap_s, 3),
                "gap_ended_s": round(call.gap_ended_s, 3),
                "elapsed_s": round(now - call.began_at, 3),
                "configuration_age_s": round(now - self.in_force.confirmed_at, 2),
            },
        )
