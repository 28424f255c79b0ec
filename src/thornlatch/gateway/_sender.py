"""Sends of requests to targets, and the reading of their answers."""

from dataclasses import replace

from thornlatch.core import read_clock
from thornlatch.exceptions import TargetError
from thornlatch.gateway._call import MIN_SEND_BUDGET_S, Call, Opened, build_failure
from thornlatch.gateway._choice import TargetOption
from thornlatch.gateway._health import TargetHealth
from thornlatch.gateway._metrics import GatewayMetrics
from thornlatch.gateway._ports import AnswerHead, SendContext, TargetProtocol
from thornlatch.gateway._settings import ForwardingSettings
from thornlatch.gateway._work import TargetUse, WorkTable
from thornlatch.routing import CallKind
from thornlatch.targets import TargetCall, TargetResponse, open_call

BODY_LIMIT_BYTES = 1 << 24  # longest answer of a plain service
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Rejected(Exception):
    """Raised when a target says that it hasn't run the request."""

    def __init__(self, head: AnswerHead) -> None:
        super().__init__(str(head.status))
        self.head = head


class TargetSender:
    """Sends requests and checks that what comes back answers them.

    Parameters
    ----------
    settings : ForwardingSettings
    protocol : TargetProtocol
    work : WorkTable
    health : TargetHealth
    metrics : GatewayMetrics
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        *,
        protocol: TargetProtocol,
        work: WorkTable,
        health: TargetHealth,
        metrics: GatewayMetrics,
    ) -> None:
        self.settings = settings
        self.protocol = protocol
        self.work = work
        self.health = health
        self.metrics = metrics

    def send(self, call: Call, option: TargetOption) -> Opened:
        """Send a request and read the head of the answer; of a stream, an event too.

        Parameters
        ----------
        call : Call
        option : TargetOption

        Returns
        -------
        Opened

        Raises
        ------
        Rejected
            If the target says that it hasn't run the request.
        TargetError
            If the send failed; `is_sent` tells whether the request may have run.
        """
        target = option.target
        now = read_clock()
        left_s = call.running.ends_at - now
        if left_s < MIN_SEND_BUDGET_S:
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
        head_s = self._get_head_limit_s(call, left_s)
        target_call = TargetCall(
            target.address,
            request.method,
            request.uri,
            request.body,
            self.protocol.build_headers(request, context),
            timeout_s=head_s,
            connect_s=min(self.settings.connect_s, left_s),
        )
        tokens = request.prompt_tokens or 0
        use = self.work.begin(target.id, request.adapter, tokens, now=now)
        call.tries += 1
        call.target = target.id
        try:
            response = self._open_call(call, target_call)
            opened = self._open(call, option, response, use, now)
        except BaseException:
            self.work.end(use)
            raise
        if call.route.kind is CallKind.STREAM:
            self.health.note_prefill(call.service, tokens, read_clock() - now)
        self.metrics.sends.labels(call.service, str(opened.head.status)).inc()
        self.health.note_success(target.id, opened.head.load, now=read_clock())
        return opened

    def _open_call(self, call: Call, target_call: TargetCall) -> TargetResponse:
        try:
            response = open_call(target_call, may_reuse=call.route.may_repeat)
        except TargetError as error:
            # A connection that was refused brings nothing to a target.
            call.sends += error.is_sent
            raise
        call.sends += 1
        return response

    def _open(
        self,
        call: Call,
        option: TargetOption,
        response: TargetResponse,
        use: TargetUse,
        sent_at: float,
    ) -> Opened:
        call.running.set_abort(response.abort)
        try:
            head = self.protocol.read_head(
                response.status, response.response.getheaders()
            )
            opened = Opened(option, head, response, sent_at, use)
            if head.is_not_run:
                response.read_all(BODY_LIMIT_BYTES)
                raise Rejected(head)
            if head.status in NOT_RUN_STATUSES:
                # Callers would take it as a promise that the target hasn't made.
                raise TargetError(f"unconfirmed {head.status}", is_sent=True)
            if head.request and head.request != call.request.id:
                raise TargetError("answer to another request", is_sent=True)
            if head.status < 300 and not head.is_signed:
                raise TargetError("success without a signature", is_sent=True)
            if call.route.kind is CallKind.STREAM and head.status < 300:
                self.read_events(call, opened)
                silence_s = self.settings.stream_silence_s
                response.call = replace(response.call, timeout_s=silence_s)
                response.set_waiting(waits=True)
            else:
                opened.body = _read_whole(response)
            return opened
        except BaseException as error:
            call.running.set_abort(None)
            if isinstance(error, Rejected):
                response.close()
            else:
                _discard(response)
            raise

    def _get_head_limit_s(self, call: Call, left_s: float) -> float:
        if not call.route.may_repeat or call.runs + 1 >= call.route.max_attempts:
            return left_s + MIN_SEND_BUDGET_S
        if call.route.kind is CallKind.STREAM:
            limit_s = call.route.objective_s * self.settings.stream_head_objectives
            return min(limit_s, left_s)
        return min(self.settings.plain_head_s, left_s)

    def read_events(self, call: Call, opened: Opened) -> None:
        """Read until the next whole event or the end of the stream.

        Parameters
        ----------
        call : Call
        opened : Opened

        Raises
        ------
        TargetError
            If the stream broke.
        """
        while not opened.events and not opened.has_ended:
            data = opened.response.read_some()
            if not data:
                if not _is_complete(opened.response):
                    raise TargetError("stream was cut", is_sent=True)
                opened.has_ended = True
                return
            try:
                opened.events = opened.splitter.feed(data)
            except ValueError as error:
                raise TargetError(str(error), is_sent=True) from error

    def end(self, call: Call, opened: Opened) -> None:
        """Note that an answer has been read whole.

        Parameters
        ----------
        call : Call
        opened : Opened
        """
        call.running.set_abort(None)
        call.runs += 1
        call.may_have_run = True
        opened.response.close()
        target = opened.option.target.id
        self.work.end(opened.use)
        now = read_clock()
        self.health.note_service(call.service, now - opened.sent_at)
        if opened.head.status >= 500:
            self.health.note_failure(target, now=now, is_unreachable=False)

    def abandon(self, call: Call, opened: Opened) -> None:
        """Break off an answer, which ends the work at the target.

        Parameters
        ----------
        call : Call
        opened : Opened
        """
        call.running.set_abort(None)
        _discard(opened.response)
        self.work.end(opened.use)


def _read_whole(response: TargetResponse) -> bytes:
    data = response.read_all(BODY_LIMIT_BYTES)
    if not _is_complete(response, len(data)):
        raise TargetError("answer was cut", is_sent=True)
    return data


def _is_complete(response: TargetResponse, received: int | None = None) -> bool:
    # http.client takes an early end of the connection as the end of the body.
    length = response.response.getheader("Content-Length")
    if length is None or received is None:
        return response.response.length in (None, 0)
    return not length.isdigit() or received == int(length)


def _discard(response: TargetResponse) -> None:
    response.abort()
    response.response.close()
    response.connection.close()
