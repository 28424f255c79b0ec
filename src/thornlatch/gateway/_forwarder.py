"""Serves a request: admits it, selects a target, sends it and passes on the answer."""

from collections.abc import Callable, Iterator

import logbook

from thornlatch.core import read_clock
from thornlatch.exceptions import (
    ErrorKind,
    ForeignAnswer,
    OversizedAnswer,
    RequestRefused,
    TargetError,
)
from thornlatch.fleet import Target
from thornlatch.gateway._admission import Admission
from thornlatch.gateway._call import (
    TRY_LIMIT,
    Call,
    GatewayAnswer,
    TargetAnswer,
    build_failure,
    find_retry_obstacle,
)
from thornlatch.gateway._choice import TargetOption
from thornlatch.gateway._health import TargetHealth
from thornlatch.gateway._metrics import GatewayMetrics
from thornlatch.gateway._notices import note_leaving, record_pace
from thornlatch.gateway._pacing import PromptPacing
from thornlatch.gateway._ports import AnswerHead, CallerRequest
from thornlatch.gateway._recent_requests import RecentRequests
from thornlatch.gateway._selector import TargetSelector
from thornlatch.gateway._sender import RejectedByTarget, TargetSender
from thornlatch.gateway._silences import SilencePolicy
from thornlatch.gateway._stream_versions import StreamVersions
from thornlatch.gateway._suspects import CrashSuspects
from thornlatch.gateway._work import WorkTable
from thornlatch.pace import PaceReason
from thornlatch.quota import RetryBudget, SharedQuota
from thornlatch.residency import ResidentTable
from thornlatch.routing import CallKind, ConfigurationInForce

logger = logbook.Logger("thornlatch.gateway")

UNKNOWN_VERSION_RETRY_S = 0.3  # until the store may tell a stream's version
RECORD_POLL_S = 0.05  # between two checks of a stream that waits for its record


class Forwarder:
    """Serves each request in the calling thread.

    Parameters
    ----------
    admission : Admission
    selector : TargetSelector
    sender : TargetSender
    silences : SilencePolicy
    in_force : ConfigurationInForce
    quota : SharedQuota
    retries : RetryBudget
    residents : ResidentTable
    work : WorkTable
    health : TargetHealth
    pacing : PromptPacing
    suspects : CrashSuspects
    metrics : GatewayMetrics
    stream_versions : StreamVersions
    recent : RecentRequests or None
        Keeps the requests for explanations; None to keep none.
    """

    def __init__(
        self,
        *,
        admission: Admission,
        selector: TargetSelector,
        sender: TargetSender,
        silences: SilencePolicy,
        in_force: ConfigurationInForce,
        quota: SharedQuota,
        retries: RetryBudget,
        residents: ResidentTable,
        work: WorkTable,
        health: TargetHealth,
        pacing: PromptPacing,
        suspects: CrashSuspects,
        metrics: GatewayMetrics,
        stream_versions: StreamVersions,
        recent: RecentRequests | None = None,
    ) -> None:
        self.admission = admission
        self.selector = selector
        self.sender = sender
        self.silences = silences
        self.in_force = in_force
        self.quota = quota
        self.retries = retries
        self.residents = residents
        self.work = work
        self.health = health
        self.pacing = pacing
        self.suspects = suspects
        self.metrics = metrics
        self.stream_versions = stream_versions
        self.recent = recent

    def serve(
        self, request: CallerRequest, *, is_caller_disconnected: Callable[[], bool]
    ) -> GatewayAnswer:
        """Serve a request until the head of its answer is known.

        The body of a stream is read from the target while the caller iterates over it.

        Parameters
        ----------
        request : CallerRequest
        is_caller_disconnected : callable
            Returns whether the caller has closed its connection.

        Returns
        -------
        GatewayAnswer

        Raises
        ------
        RequestRefused
            If the request can't be served; its kind tells whether the request may have
            run.
        """
        if self.recent is not None:
            self.recent.add(request, self.in_force.configuration)
        call = self.admission.admit(request, is_caller_disconnected)
        self.work.add(call.running)
        try:
            if call.route.is_resumable_stream and call.last_event:
                self._find_stream_version(call)
            answer = self._send_until_answered(call)
            if call.route.is_resumable_stream:
                answer = self._keep_stream_version(call, answer)
        except BaseException as error:
            self._finish(call, error)
            raise
        self._record_first_part(call)
        if call.route.kind is CallKind.STREAM and answer.head.status < 300:
            body = self._stream_events(call, answer)
            return GatewayAnswer(answer.head.status, answer.head.headers, body, None)
        self._finish_answer(call, answer)
        body = _iterate_whole(answer)
        length = sum(len(piece) for piece in answer.body)
        return GatewayAnswer(answer.head.status, answer.head.headers, body, length)

    def _find_stream_version(self, call: Call) -> None:
        """Find the version at which the stream began that a caller resumes.

        Raises
        ------
        RequestRefused
            If it can't be told. Another version's events wouldn't fit the caller's.
        """
        request = call.request
        began_at = read_clock()
        version = self.stream_versions.find(request.resumes, call.service)
        logger.info(
            "request.stream_version",
            extra={
                "request": request.id,
                "resumes": request.resumes,
                "version": version,
                "lookup_s": round(read_clock() - began_at, 3),
            },
        )
        if version is None:
            raise RequestRefused(
                ErrorKind.HOST_UNCONFIRMED,
                "the software version that began the stream isn't known",
                retry_after_s=UNKNOWN_VERSION_RETRY_S,
            )
        call.stream_version = version
        if self.recent is not None:
            self.recent.note_version(request.id, version)

    def _keep_stream_version(self, call: Call, answer: TargetAnswer) -> TargetAnswer:
        """Bind a stream to the version that begins it, before its first event.

        If the store doesn't take its record, the stream begins anew at a version that
        needs none, or waits for the record as long as requests wait for a target.

        Returns
        -------
        TargetAnswer
            Of the target that begins the stream.

        Raises
        ------
        RequestRefused
            If another host might take the stream up at another version.
        """
        if call.stream_version is not None:
            return answer
        versions = self.stream_versions
        wait_until = self.selector.get_wait_until(call)
        while answer.head.status < 300:
            request, target = call.request, answer.option.target
            if versions.wait_recorded(request.id, timeout_s=0.0):
                call.stream_version = target.software_version
                break
            if not versions.takes_records():
                if versions.may_begin_unrecorded(request.id, call.service):
                    self._note_unrecorded(call, target, "passed-on")
                    call.stream_version = target.software_version
                    break
                if self._may_begin_elsewhere(call, target):
                    self._note_unrecorded(call, target, "begun-elsewhere")
                    answer = self._begin_elsewhere(call, answer)
                    continue
            if call.running.stop_reason is not None or read_clock() >= wait_until:
                self._note_unrecorded(call, target, "refused")
                self._leave_unrecorded(call, answer)
                raise build_failure(call, "its software version isn't recorded")
            versions.wait_recorded(request.id, timeout_s=RECORD_POLL_S)
        return answer

    def _may_begin_elsewhere(self, call: Call, target: Target) -> bool:
        """Return whether a stream without a record may begin at another target.

        If so, its record is withdrawn, and its quota charged again.
        """
        versions, request = self.stream_versions, call.request.id
        return (
            versions.may_withdraw(request)
            and self._may_run_again(call, target)
            and versions.withdraw(request)
        )

    def _begin_elsewhere(self, call: Call, answer: TargetAnswer) -> TargetAnswer:
        self._leave_unrecorded(call, answer)
        call.excluded.add(answer.option.target.id)
        call.runs += 1
        call.waiting_since = read_clock()
        return self._send_until_answered(call)

    def _leave_unrecorded(self, call: Call, answer: TargetAnswer) -> None:
        """Leave a target whose events can't be passed on."""
        target = answer.option.target
        self.sender.abort(call, answer)
        call.may_have_run = True
        call.last_failure = (
            f"the store hasn't recorded that {target.id} begins the stream at version"
            f" {target.software_version}"
        )

    def _note_unrecorded(self, call: Call, target: Target, outcome: str) -> None:
        self.metrics.unrecorded_streams.labels(call.service, outcome).inc()
        logger.warning(
            "request.version_unrecorded",
            extra={
                "request": call.request.id,
                "target": target.id,
                "version": target.software_version,
                "outcome": outcome,
            },
        )

    def _send_until_answered(self, call: Call) -> TargetAnswer:
        while True:
            option = self._choose(call)
            try:
                answer = self.sender.send(call, option, self.silences.get_patience_s)
            except RejectedByTarget as rejection:
                self._note_rejection(call, option, rejection.head)
                continue
            except TargetError as error:
                self._note_failure(call, option, error)
                continue
            call.is_run_charged = False
            self.suspects.note_answer(
                option.target, sent_at=answer.sent_at, now=read_clock()
            )
            self._note_leaving(option.target, answer.head)
            call.status = answer.head.status
            if not self._should_repeat(call, answer):
                return answer
            self.sender.finish(call, answer)
            call.excluded.add(option.target.id)

    def _choose(self, call: Call) -> TargetOption:
        option, call.next_option = call.next_option, None
        is_reserved = option is not None
        while True:
            # Another request may have used the target's limit since it was selected.
            while (
                option is None
                or not self.selector.may_send(call, option.target)
                or not self._try_send(call, option.target)
            ):
                option = self.selector.choose(call)
            try:
                self._check_may_send(call, is_reserved=is_reserved)
            except BaseException:
                self.health.pacer.release(call.build_paced_request(option.target))
                raise
            if self.selector.may_send(call, option.target):
                break
            # The retry budget has been spent.
            self.health.pacer.release(call.build_paced_request(option.target))
            option, is_reserved = None, True
        if call.route.is_resumable_stream:
            # Recorded while the target reads the prompt.
            self.stream_versions.note_sent(
                call.request.id,
                call.service,
                option.target.software_version,
                resumes=call.request.resumes if call.last_event else "",
                now=read_clock(),
            )
        return option

    def _try_send(self, call: Call, target: Target) -> bool:
        """Take a place at a target and count a send, if its pace and limit allow it."""
        now = read_clock()
        pacer = self.health.pacer
        paced_request = call.build_paced_request(target)
        if not pacer.try_send(paced_request, now=now):
            return False
        if self.health.limits.try_send(target.incarnation, now=now):
            return True
        pacer.release(paced_request)
        return False

    def _check_may_send(self, call: Call, *, is_reserved: bool = False) -> None:
        """Check key, attempt limits and retry budget just before a request is sent."""
        now = read_clock()
        if call.organisation is not None:
            self.admission.confirm_key(call, now=now)
        # It may have been blocked while the request waited.
        self.admission.check_parts(call)
        call.known_rounds = self.suspects.parts.get_known_rounds(call.shared_parts)
        if not call.is_run_charged and not self._charge_again(call, now):
            raise build_failure(call, "the quota is used up")
        if not call.is_in_retry_budget:
            call.is_in_retry_budget = True
            self.retries.note_request(call.service, now=now)
            return
        is_blocked = self.suspects.is_blocked(call.fingerprint)
        obstacle = find_retry_obstacle(call, runs=call.runs, is_blocked=is_blocked)
        if obstacle:
            raise build_failure(call, obstacle)
        is_repeat = call.sends > 0 and not is_reserved
        if is_repeat and not self.retries.try_acquire(call.service, now=now):
            raise build_failure(call, "the retry budget is used up")

    def _should_repeat(self, call: Call, answer: TargetAnswer) -> bool:
        """Return whether a target's failure is answered by a run at another target.

        Load pattern: many targets fail a part of their requests, and their health
        checks pass. A stream that may be resumed may be run again as well.
        """
        return answer.head.status >= 500 and self._may_run_again(
            call, answer.option.target
        )

    def _may_run_again(self, call: Call, target: Target) -> bool:
        """Return whether a request that a target ran may run at another one.

        If so, its quota is charged again.
        """
        if not (
            call.route.may_repeat
            and call.runs + 1 < call.route.max_attempts
            and call.tries < TRY_LIMIT
            and self.selector.has_alternative(call, target.id)
        ):
            return False
        now = read_clock()
        if call.route.kind is CallKind.IDEMPOTENT:
            return self._charge_again(call, now)
        left_s = call.running.ends_at - now
        # The caller gets the failure, and may return itself, if another run can't be
        # on time or there is no room for it in retry budget and quota.
        if call.running.stop_reason is not None or left_s < call.route.objective_s:
            return False
        if not self.retries.may_repeat_answered(call.service, now=now):
            return False
        return self._charge_again(call, now)

    def _charge_again(self, call: Call, now: float) -> bool:
        call.is_run_charged = self.admission.try_charge_run(call, now=now)
        return call.is_run_charged

    def _stream_events(self, call: Call, answer: TargetAnswer) -> Iterator[bytes]:
        """Yield the events of a stream; resume it at another target if it fails."""
        try:
            while True:
                data = self._take_new_events(call, answer)
                if data:
                    yield data
                if answer.has_ended:
                    break
                try:
                    self.sender.read_events(call, answer)
                except TargetError as error:
                    answer = self._resume(call, answer, error)
            self.pacing.note_stream(
                call.service, call.longest_gap_s, call.route.gap_s, now=read_clock()
            )
            self._finish_answer(call, answer)
        except BaseException as error:
            if not call.has_ended:
                self.sender.abort(call, answer)
                self._finish(call, error)
            raise

    def _finish_answer(self, call: Call, answer: TargetAnswer) -> None:
        self.sender.finish(call, answer)
        if answer.head.status < 300:
            now = read_clock()
            self.suspects.note_completed(call.fingerprint, now=now)
            self.suspects.parts.note_completed(call.shared_parts, now=now)
        self._finish(call, None)

    def _take_new_events(self, call: Call, answer: TargetAnswer) -> bytes:
        chunks = []
        for event in answer.events:
            if event.id is not None:
                if call.last_event_id is not None and event.id <= call.last_event_id:
                    continue
                call.last_event_id = event.id
                call.last_event = str(event.id)
            chunks.append(event.data)
        if chunks:
            now = read_clock()
            answer.use.progressed_at = now
            call.note_part_sent(now)
        answer.events = []
        if answer.has_ended:
            chunks.append(answer.splitter.take_rest())
        return b"".join(chunks)

    def _resume(
        self, call: Call, answer: TargetAnswer, error: TargetError
    ) -> TargetAnswer:
        self.sender.abort(call, answer)
        self._note_failed_send(call, answer.option.target, error)
        if not call.route.may_repeat or call.running.stop_reason is not None:
            raise build_failure(call, "it was stopped or may not be repeated")
        call.excluded.add(answer.option.target.id)
        call.waiting_since = read_clock()
        resumed = self._send_until_answered(call)
        if resumed.head.status >= 300:
            self.sender.abort(call, resumed)
            raise build_failure(call, f"it returned status {resumed.head.status}")
        logger.info(
            "request.stream_resumed",
            extra={
                "request": call.request.id,
                "from": answer.option.target.id,
                "target": resumed.option.target.id,
                "from_version": answer.option.target.software_version,
                "version": resumed.option.target.software_version,
                "after_event": call.last_event,
            },
        )
        return resumed

    def _note_rejection(
        self, call: Call, option: TargetOption, head: AnswerHead
    ) -> None:
        """Record why a target hasn't run a request."""
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
        is_wrong_target = not head.is_from(target.id)
        if not is_wrong_target:
            self._note_leaving(target, head)
        if not is_wrong_target and not head.is_misdirected:
            self._note_pace_failure(call, target, PaceReason.REFUSED)
        if head.is_misdirected and not is_wrong_target and call.request.adapter:
            adapter = call.request.adapter
            # Each rejected send uses up retry budget, so the next one waits longer.
            pause_s = self.selector.orders.settings.late_step_s * call.sends
            self.residents.delay(target.id, adapter, until=now + pause_s)
            self.selector.request_load(call, target, now, was_missing=True)
            return
        if is_wrong_target:
            self.health.note_failure(target.id, now=now, is_unreachable=True)
        if head.notice.pause_s and not is_wrong_target:
            # The request may return to it after the pause.
            return
        call.excluded.add(target.id)
        if head.load is not None:
            self.health.note_success(target.id, head.load, now=now)

    def _note_leaving(self, target: Target, head: AnswerHead) -> None:
        if head.notice.is_leaving:
            note_leaving(
                target.incarnation,
                source="request",
                registry=self.selector.registry,
                metrics=self.metrics,
            )

    def _note_failure(
        self, call: Call, option: TargetOption, error: TargetError
    ) -> None:
        """Record a failed send; raise if the request can't be sent again."""
        self._note_failed_send(call, option.target, error)
        call.excluded.add(option.target.id)
        if error.is_sent and not call.route.may_repeat:
            raise build_failure(call, "it may not be repeated")

    def _note_failed_send(self, call: Call, target: Target, error: TargetError) -> None:
        call.last_failure = f"{target.id}: {error.message}"
        if error.is_sent:
            call.may_have_run = True
            call.is_run_charged = call.is_next_run_charged
            call.is_next_run_charged = False
            call.runs += 1
            call.was_timeout = error.is_timeout
        avoided_s = 0.0
        if call.running.stop_reason is None:
            now = read_clock()
            # A crashed target writes nothing, neither a foreign answer nor a long one.
            is_alive = isinstance(error, ForeignAnswer | OversizedAnswer)
            if error.is_sent and not is_alive:
                self.suspects.note_aborted_run(call.fingerprint, target, now=now)
            if error.is_connection_lost:
                self.suspects.parts.note_aborted_run(
                    call.shared_parts, target, known_rounds=call.known_rounds, now=now
                )
            avoided_s = self.health.note_failure(
                target.id, now=now, is_unreachable=True
            )
            # Without a connection the fault may be this host's; then other hosts have
            # to avoid the target too.
            if error.is_sent:
                self._note_pace_failure(call, target, PaceReason.FAILED)
        self.metrics.sends.labels(call.service, "failed").inc()
        logger.info(
            "request.send_failed",
            extra={
                "request": call.request.id,
                "target": target.id,
                "error": error.message,
                "framing": call.framing,
                "may_have_run": error.is_sent,
                "avoided_s": avoided_s,
                "fingerprint": call.fingerprint,
                "prompt_parts": [part for part, _ in call.request.prompt_parts],
                "crashes": self.suspects.count_crashes(call.fingerprint),
            },
        )

    def _note_pace_failure(
        self, call: Call, target: Target, reason: PaceReason
    ) -> None:
        change = self.health.pacer.note_failure(
            call.build_paced_request(target),
            reason,
            sent_at=call.sent_at,
            now=read_clock(),
        )
        record_pace(change, self.metrics)

    def _record_first_part(self, call: Call) -> None:
        now = read_clock()
        call.note_part_sent(now)
        self.metrics.first_answer.labels(call.route.name).observe(
            now - call.admitted_at
        )
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
            if call.running.has_caller_left:
                outcome = "caller-left"
            for _ in range(call.is_run_charged + call.is_next_run_charged):
                self.admission.give_back_run(call, now=now)
        self.metrics.answers.labels(call.route.name, outcome).inc()
        broken_off_by = _find_who_broke_off(call, error)
        if broken_off_by:
            self.metrics.broken_streams.labels(call.route.name, broken_off_by).inc()
        event = "request.answered" if error is None else "request.failed"
        logger.info(
            event,
            extra={
                "request": call.request.id,
                "route": call.route.name,
                "organisation": call.organisation.name if call.organisation else "",
                "adapter": call.request.adapter,
                "prompt_tokens": call.request.prompt_tokens,
                "tokens": call.tokens,
                "charged_runs": call.charged_runs,
                "runs": call.runs,
                "target": call.target,
                "software_version": call.software_version,
                "resumes": call.request.resumes,
                "outcome": outcome,
                "broken_off_by": broken_off_by,
                "status": call.status,
                "framing": call.framing,
                "objective_s": call.route.objective_s,
                "why": call.last_failure,
                "no_retry": call.no_retry_reason,
                "detail": str(error) if error is not None else "",
                "sends": call.sends,
                "waited_s": round(call.waited_s, 3),
                "first_s": round(call.first_s, 3),
                "longest_gap_s": round(call.longest_gap_s, 3),
                "gap_ended_s": round(call.gap_ended_s, 3),
                "elapsed_s": round(now - call.admitted_at, 3),
                "configuration_age_s": round(now - self.in_force.confirmed_at, 2),
            },
        )


def _iterate_whole(answer: TargetAnswer) -> Iterator[bytes]:
    # Refers to the answer, so that its memory counts until the caller has read it.
    yield from answer.body


def _find_who_broke_off(call: Call, error: BaseException | None) -> str:
    """Return who ended an answer of which the caller has a part; empty for none."""
    if error is None or call.last_part_at is None:
        return ""
    # The server closes the iterator of a stream whose caller has disconnected.
    if call.running.has_caller_left or isinstance(error, GeneratorExit):
        return "caller"
    is_own_limit = call.running.stop_reason is not None or call.was_timeout
    is_own_fault = not isinstance(error, RequestRefused)
    return "host" if is_own_limit or is_own_fault else "target"
