"""Sends requests to targets and reads their answers."""

from collections.abc import Callable
from dataclasses import replace
from functools import partial

import logbook

from thornlatch.core import read_clock
from thornlatch.exceptions import ForeignAnswer, OversizedAnswer, TargetError
from thornlatch.fleet import Target
from thornlatch.gateway._call import (
    MIN_SEND_BUDGET_S,
    Call,
    TargetAnswer,
    build_failure,
)
from thornlatch.gateway._choice import TargetOption
from thornlatch.gateway._events import EVENT_LIMIT_BYTES, EventSplitter
from thornlatch.gateway._health import TargetHealth
from thornlatch.gateway._metrics import GatewayMetrics
from thornlatch.gateway._notices import (
    log_unreadable,
    note_cold,
    note_limit,
    note_pause,
    record_pace,
)
from thornlatch.gateway._ports import AnswerHead, SendContext, TargetProtocol
from thornlatch.gateway._settings import ForwardingSettings
from thornlatch.gateway._work import TargetUse, WorkTable
from thornlatch.pace import PacedRequest, PaceReason
from thornlatch.routing import CallKind
from thornlatch.targets import (
    Detours,
    Framing,
    Reuse,
    TargetCall,
    TargetResponse,
    open_call,
)

logger = logbook.Logger("thornlatch.gateway")

BODY_LIMIT_BYTES = 1 << 24  # of an answer that isn't a stream
SKIPPED_BODY_LIMIT_BYTES = 1 << 16  # a new connection is cheaper than a longer one
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class RejectedByTarget(Exception):
    """Raised if a target reports that it hasn't run the request."""

    def __init__(self, head: AnswerHead) -> None:
        super().__init__(str(head.status))
        self.head = head


class TargetSender:
    """Sends requests and verifies that the answers belong to them.

    Parameters
    ----------
    settings : ForwardingSettings
    protocol : TargetProtocol
    work : WorkTable
    health : TargetHealth
    metrics : GatewayMetrics
    detours : Detours or None
        Reaches targets from which this host is cut off; None not to.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        *,
        protocol: TargetProtocol,
        work: WorkTable,
        health: TargetHealth,
        metrics: GatewayMetrics,
        detours: Detours | None = None,
    ) -> None:
        self.detours = detours
        self.settings = settings
        self.protocol = protocol
        self.work = work
        self.health = health
        self.metrics = metrics

    def send(
        self,
        call: Call,
        option: TargetOption,
        get_patience_s: Callable[[Call, TargetUse], float],
    ) -> TargetAnswer:
        """Send a request and read the head of its answer.

        Reads the first event of a stream too, and the whole body of other answers.

        Parameters
        ----------
        call : Call
        option : TargetOption
        get_patience_s : callable
            Called when the target has been silent for too long, also later in a stream.
            Returns the seconds for which the request still waits; 0 to give it up.

        Returns
        -------
        TargetAnswer

        Raises
        ------
        RejectedByTarget
            If the target reports that it hasn't run the request.
        RequestRefused
            If too little time is left to send the request.
        TargetError
            If the send failed; its `is_sent` is true if the request may have run.
        """
        target = option.target
        now = read_clock()
        left_s = call.running.ends_at - now
        if left_s < MIN_SEND_BUDGET_S:
            self.health.pacer.release(call.build_paced_request(target))
            raise build_failure(call)
        context = SendContext(
            target.id,
            left_s,
            call.organisation.name if call.organisation else "",
            call.priority,
            option.version,
            call.last_event,
        )
        request = call.request
        head_timeout_s = self._get_head_timeout_s(call, left_s)
        target_call = TargetCall(
            target.address,
            request.method,
            request.uri,
            request.body,
            self.protocol.build_headers(request, context),
            timeout_s=head_timeout_s,
            connect_s=min(self.settings.connect_s, left_s),
            send_s=left_s,
            detours=self.detours,
        )
        tokens = request.prompt_tokens or 0
        use = self.work.begin(
            target.id, request.adapter, tokens, call.shared_parts, now=now
        )
        paced_request = call.build_paced_request(target)
        self.health.pacer.note_sent(paced_request, now=now)
        call.tries += 1
        call.sent_at = now
        call.target, call.software_version = target.id, target.software_version
        call.framing = ""
        try:
            response = self._open_call(
                call, target_call, partial(get_patience_s, call, use)
            )
            answer = self._open_answer(call, option, response, use, now)
            self._check_media_type(call, answer)
        except BaseException:
            self.work.end(use)
            self.health.pacer.release(paced_request)
            raise
        if call.route.kind is CallKind.STREAM:
            self.health.note_prefill(call.service, tokens, read_clock() - now)
        self.metrics.sends.labels(call.service, str(answer.head.status)).inc()
        self.health.note_success(target.id, answer.head.load, now=read_clock())
        self._note_pace(paced_request, answer)
        return answer

    def _note_pace(self, request: PacedRequest, answer: TargetAnswer) -> None:
        """Record an answer for the pace of its target."""
        now = read_clock()
        pacer = self.health.pacer
        load = answer.head.load
        is_uneven = load is not None and load.work_ratio is not None
        if is_uneven and pacer.settings.paces_uneven:
            # Machines whose speed changes are loaded by how they respond.
            pacer.enable_service(request.target.service)
        change = None
        if answer.head.status < 300:
            change = pacer.note_response(request, now - answer.sent_at, now=now)
        elif answer.head.status >= 500:
            change = pacer.note_failure(
                request, PaceReason.FAILED, sent_at=answer.sent_at, now=now
            )
        else:
            # Such answers take no work, so they don't show how fast the target is.
            pacer.release(request)
        record_pace(change, self.metrics)

    def _open_call(
        self, call: Call, target_call: TargetCall, extend_reads: Callable[[], float]
    ) -> TargetResponse:
        try:
            response = open_call(
                target_call,
                reuse=_choose_reuse(call, target_call.address),
                on_connected=call.running.set_abort,
                extend_reads=extend_reads,
            )
        except TargetError as error:
            call.running.set_abort(None)
            # Nothing reaches the target if it refuses the connection.
            call.sends += error.is_sent
            raise
        finally:
            call.addresses.add(target_call.address)
        call.sends += 1
        call.framing = response.framing.value
        return response

    def _open_answer(
        self,
        call: Call,
        option: TargetOption,
        response: TargetResponse,
        use: TargetUse,
        sent_at: float,
    ) -> TargetAnswer:
        call.running.set_abort(response.abort)
        try:
            head = self.protocol.read_head(
                response.status, response.response.getheaders()
            )
            # First of all: an answer to another request says nothing about this one.
            _check_request(call, head, response)
            answer = TargetAnswer(option, head, response, sent_at, use)
            self._apply_notice(option.target, head, sent_at)
            if head.is_not_run:
                _skip_body(response, target=option.target.id)
                raise RejectedByTarget(head)
            if head.status in NOT_RUN_STATUSES:
                # The caller would conclude that the request hasn't run, which the
                # target hasn't confirmed.
                raise TargetError(
                    f"status {head.status} doesn't confirm that the request hasn't run",
                    is_sent=True,
                )
            if head.status < 300 and not head.is_signed:
                raise TargetError(
                    f"status {head.status} without a signature", is_sent=True
                )
            if call.route.kind is CallKind.STREAM and head.status < 300:
                self.read_events(call, answer)
                use.progressed_at = read_clock()
                silence_s = self.settings.stream_silence_s
                response.call = replace(response.call, timeout_s=silence_s)
            else:
                answer.body = response.read_pieces(BODY_LIMIT_BYTES)
            return answer
        except BaseException as error:
            call.running.set_abort(None)
            if isinstance(error, RejectedByTarget):
                response.close()
            else:
                _discard(response)
            raise

    def _check_media_type(self, call: Call, answer: TargetAnswer) -> None:
        """Reject an answer that can't continue the stream that the caller receives."""
        if call.route.kind is not CallKind.STREAM or answer.head.status >= 300:
            return
        media_type = _read_media_type(answer.head)
        if call.media_type is None:
            call.media_type = media_type
        elif media_type != call.media_type:
            self.abort(call, answer)
            raise TargetError(
                f"answer of type {media_type!r} doesn't continue a stream of type"
                f" {call.media_type!r}",
                is_sent=True,
            )

    def _apply_notice(self, target: Target, head: AnswerHead, sent_at: float) -> None:
        if not head.is_from(target.id):
            return
        log_unreadable(target.id, head.notice, health=self.health)
        note_pause(
            target.id,
            head.notice,
            source="request",
            health=self.health,
            metrics=self.metrics,
        )
        note_cold(target, head.notice.cold_s, source="request", health=self.health)
        note_limit(
            target.incarnation,
            head.notice,
            source="request",
            sent_at=sent_at,
            may_end=head.is_signed,
            health=self.health,
            metrics=self.metrics,
        )

    def _get_head_timeout_s(self, call: Call, left_s: float) -> float:
        if not call.route.may_repeat or call.runs + 1 >= call.route.max_attempts:
            return left_s + MIN_SEND_BUDGET_S
        if call.route.kind is CallKind.STREAM:
            timeout_s = call.route.objective_s * self.settings.stream_head_objectives
            return min(timeout_s, left_s)
        return min(self.settings.plain_head_s, left_s)

    def read_events(self, call: Call, answer: TargetAnswer) -> None:
        """Read until an event is complete or the stream ends.

        Parameters
        ----------
        call : Call
        answer : TargetAnswer

        Raises
        ------
        TargetError
            If the connection fails or closes early, if an event is too long or
            incomplete at the end of the stream, or if the target is silent and another
            one can go on.
        """
        if not answer.events:
            # Bytes that complete no event don't count as progress.
            answer.response.bound_reads(answer.response.call.timeout_s)
        while not answer.events and not answer.has_ended:
            data = answer.response.read_some()
            if not data:
                _check_stream_end(call, answer.splitter)
                answer.has_ended = True
                return
            try:
                answer.events = answer.splitter.feed(data)
            except ValueError as error:
                if answer.splitter.rest_bytes > EVENT_LIMIT_BYTES:
                    raise OversizedAnswer(str(error)) from error
                raise TargetError(str(error), is_sent=True) from error
            answer.response.note_held(answer.splitter.rest_bytes)

    def finish(self, call: Call, answer: TargetAnswer) -> None:
        """Record that an answer has been read completely.

        Parameters
        ----------
        call : Call
        answer : TargetAnswer
        """
        call.running.set_abort(None)
        call.runs += 1
        call.may_have_run = True
        answer.response.close()
        target = answer.option.target.id
        self.work.end(answer.use)
        now = read_clock()
        elapsed_s = now - answer.sent_at
        self.health.note_service(call.service, elapsed_s)
        if call.route.kind is CallKind.STREAM and answer.head.status < 300:
            tokens = call.request.output_tokens or 0
            self.health.note_work(target, call.service, tokens, elapsed_s, now=now)
        if answer.head.status >= 500:
            self.health.note_failure(target, now=now, is_unreachable=False)

    def abort(self, call: Call, answer: TargetAnswer) -> None:
        """Close the connection of an answer, which ends the request at the target.

        Parameters
        ----------
        call : Call
        answer : TargetAnswer
        """
        call.running.set_abort(None)
        _discard(answer.response)
        self.work.end(answer.use)


def _choose_reuse(call: Call, address: str) -> Reuse:
    # The id doesn't tell the answer from an extra one to the earlier send.
    if address in call.addresses:
        return Reuse.NONE
    return Reuse.ANY if call.route.may_repeat else Reuse.RECENT


def _check_request(call: Call, head: AnswerHead, response: TargetResponse) -> None:
    """Raise an error unless an answer belongs to the request."""
    if head.request == call.request.id:
        return
    if head.request:
        raise ForeignAnswer(
            f"answer to request {head.request} instead of {call.request.id}"
        )
    # It may be an extra answer to an earlier request on the connection.
    if response.is_reused:
        raise ForeignAnswer("answer on a kept connection names no request")


def _read_media_type(head: AnswerHead) -> str:
    for name, value in head.headers:
        if name.lower() == "content-type":
            return value.partition(";")[0].strip().lower()
    return ""


def _check_stream_end(call: Call, splitter: EventSplitter) -> None:
    # The end of a connection, which may end an answer, says nothing about the stream.
    if splitter.is_inside_event:
        raise TargetError(
            f"stream ended {len(splitter.rest)} bytes into an event",
            is_sent=True,
            is_connection_lost=True,
        )
    # A target may have nothing left to send in a resumed stream, but a connection that
    # closes right after the head doesn't tell that from a crash.
    may_be_empty = call.last_event != "" and call.framing != Framing.CLOSE.value
    if not splitter.has_events and not may_be_empty:
        raise TargetError(
            "stream ended before its first event",
            is_sent=True,
            is_connection_lost=True,
        )


def _skip_body(response: TargetResponse, *, target: str) -> None:
    """Read a body that isn't used, so that the connection can be reused."""
    response.sock.extend_reads = None
    try:
        response.read_all(SKIPPED_BODY_LIMIT_BYTES, within_s=response.call.timeout_s)
    except TargetError as error:
        logger.info(
            "target.body_skipped", extra={"target": target, "error": error.message}
        )


def _discard(response: TargetResponse) -> None:
    response.abort()
    response.response.close()
    response.connection.close()
