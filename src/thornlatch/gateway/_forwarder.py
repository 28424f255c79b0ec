"""Serves one request: admission, choice of a target, sending, answering."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

import logbook

from thornlatch.core import read_clock
from thornlatch.exceptions import ErrorKind, RequestRefused, TargetError
from thornlatch.fleet import LoadRequested, Target, TargetRegistry
from thornlatch.gateway._choice import (
    Demand,
    Option,
    Step,
    TargetState,
    list_options,
)
from thornlatch.gateway._events import EventSplitter, StreamEvent
from thornlatch.gateway._health import TargetHealth
from thornlatch.gateway._metrics import GatewayMetrics
from thornlatch.gateway._ordering import OrderManager
from thornlatch.gateway._ports import (
    AnswerHead,
    CallerRequest,
    SendContext,
    TargetWire,
)
from thornlatch.gateway._settings import ForwardingSettings
from thornlatch.gateway._suspects import CrashSuspects, fingerprint_request
from thornlatch.gateway._work import Running, WorkTable
from thornlatch.quota import RetryBudget, SharedQuota
from thornlatch.residency import AdapterVersions, ResidentTable
from thornlatch.routing import (
    CallKind,
    ConfigurationInForce,
    Organisation,
    Route,
    choose_service,
)
from thornlatch.targets import TargetCall, TargetResponse, open_call

logger = logbook.Logger("thornlatch.gateway")

BODY_LIMIT_BYTES = 1 << 24  # longest answer of a plain service
SEND_LIMIT = 6  # sends of one request, those that targets rejected included
ASK_AGAIN_S = 0.1  # a holder that hasn't loaded by then is taken as not answering
OTHER_HOST_S = 0.05  # until a caller may try again and reach another host
WAIT_TURN_S = 0.05  # longest sleep of a waiting request between two looks
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
SHORTEST_RETRY_S = 0.1  # shortest time that callers are told to wait
NOT_OFFERED_MARGIN_S = 0.05  # time left below which sending is pointless


@dataclass(frozen=True)
class GatewayAnswer:
    """An answer on its way to the caller.

    Parameters
    ----------
    status : int
    headers : tuple of (str, str)
    body : iterator of bytes
        Raises if the answer breaks off.
    length : int or None
        Bytes of the body, if known.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterator[bytes]
    length: int | None


@dataclass
class _Call:
    request: CallerRequest
    route: Route
    organisation: Organisation | None
    service: str
    running: Running
    began_at: float
    tokens: int
    fingerprint: str
    sends: int = 0
    runs: int = 0
    may_have_run: bool = False
    is_first_sent: bool = False
    excluded: set[str] = field(default_factory=set)
    waited_s: float = 0.0
    last_event: str = ""
    last_id: int | None = None
    last_failure: str = ""
    has_ended: bool = False

    @property
    def priority(self) -> int:
        """Rank of the request, 0 first."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority


@dataclass
class _Opened:
    option: Option
    head: AnswerHead
    response: TargetResponse
    sent_at: float
    splitter: EventSplitter = field(default_factory=EventSplitter)
    events: list[StreamEvent] = field(default_factory=list)
    body: bytes = b""
    has_ended: bool = False
    is_counted: bool = True


class _Rejected(Exception):
    """Raised when a target says that it hasn't run the request."""

    def __init__(self, head: AnswerHead) -> None:
        super().__init__(str(head.status))
        self.head = head


class Forwarder:
    """Serves requests in the threads that call it.

    Parameters
    ----------
    settings : ForwardingSettings
    failure_domain : str
    wire : TargetWire
    in_force : ConfigurationInForce
    registry : TargetRegistry
    quota : SharedQuota
    retries : RetryBudget
    versions : AdapterVersions
    residents : ResidentTable
    orders : OrderManager
    work : WorkTable
    health : TargetHealth
    suspects : CrashSuspects
    metrics : GatewayMetrics
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        *,
        failure_domain: str,
        wire: TargetWire,
        in_force: ConfigurationInForce,
        registry: TargetRegistry,
        quota: SharedQuota,
        retries: RetryBudget,
        versions: AdapterVersions,
        residents: ResidentTable,
        orders: OrderManager,
        work: WorkTable,
        health: TargetHealth,
        suspects: CrashSuspects,
        metrics: GatewayMetrics,
    ) -> None:
        self.settings = settings
        self.failure_domain = failure_domain
        self.wire = wire
        self.in_force = in_force
        self.registry = registry
        self.quota = quota
        self.retries = retries
        self.versions = versions
        self.residents = residents
        self.orders = orders
        self.work = work
        self.health = health
        self.suspects = suspects
        self.metrics = metrics

    def serve(
        self, request: CallerRequest, *, is_caller_gone: Callable[[], bool]
    ) -> GatewayAnswer:
        """Serve a request up to the head of its answer.

        Parameters
        ----------
        request : CallerRequest
        is_caller_gone : callable

        Returns
        -------
        GatewayAnswer

        Raises
        ------
        RequestRefused
            With what is known of the request's execution.
        """
        call = self._admit(request, is_caller_gone)
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
        self._end_send(call, opened)
        self._finish(call, None)
        length = len(opened.body)
        body = iter((opened.body,) if length else ())
        return GatewayAnswer(opened.head.status, opened.head.headers, body, length)

    def _admit(
        self, request: CallerRequest, is_caller_gone: Callable[[], bool]
    ) -> _Call:
        now = read_clock()
        table = self.in_force.table
        configuration = self.in_force.configuration
        if table is None or configuration is None:
            raise RequestRefused(
                ErrorKind.HOST_UNCONFIRMED, "no configuration yet", retry_after_s=0.5
            )
        if not self.quota.knows_peers:
            raise RequestRefused(
                ErrorKind.HOST_UNCONFIRMED, "no list of hosts yet", retry_after_s=0.2
            )
        route = table.match(request.host, request.path)
        if route is None:
            if not self.in_force.is_fresh(now=now):
                raise RequestRefused(
                    ErrorKind.HOST_UNCONFIRMED,
                    "no fresh configuration",
                    retry_after_s=OTHER_HOST_S,
                )
            raise RequestRefused(ErrorKind.UNKNOWN_ROUTE, "no route for this path")
        organisation = None
        if configuration.organisations and not route.is_public:
            organisation = self._authenticate(request, now)
        deadline_s = request.deadline_s
        if deadline_s is None:
            deadline_s = self.settings.default_deadline_s
        running = Running(
            request.id,
            now + min(route.timeout_s, deadline_s),
            is_caller_gone,
            key=request.key or "",
        )
        fingerprint = fingerprint_request(request)
        if self.suspects.must_keep_away(fingerprint):
            raise RequestRefused(
                ErrorKind.TARGET_FAILED, "targets broke off its runs before"
            )
        tokens = _count_tokens(request, organisation)
        if organisation is not None:
            wait_s = self.quota.take(organisation.name, tokens, now=now)
            if wait_s is not None:
                raise RequestRefused(
                    ErrorKind.RATE_EXCEEDED,
                    f"{organisation.name} has used its quota",
                    retry_after_s=wait_s,
                )
        return _Call(
            request,
            route,
            organisation,
            choose_service(route, request.id),
            running,
            now,
            tokens,
            fingerprint,
            last_event=request.last_event,
        )

    def _authenticate(self, request: CallerRequest, now: float) -> Organisation:
        if not self.in_force.is_fresh(now=now):
            raise RequestRefused(
                ErrorKind.HOST_UNCONFIRMED,
                "keys can't be confirmed now",
                retry_after_s=OTHER_HOST_S,
            )
        configuration = self.in_force.configuration
        organisation = (
            configuration.organisations_by_key.get(request.key or "")
            if configuration is not None
            else None
        )
        if organisation is None:
            raise RequestRefused(ErrorKind.UNKNOWN_KEY, "no organisation has this key")
        return organisation

    def _send_until_answered(self, call: _Call) -> _Opened:
        while True:
            option = self._choose(call)
            self._check_may_send(call)
            try:
                opened = self._send(call, option)
            except _Rejected as rejection:
                self._note_rejection(call, option, rejection.head)
                continue
            except TargetError as error:
                self._note_failure(call, option, error)
                continue
            if not self._should_repeat(call, opened):
                return opened
            self._end_send(call, opened)
            call.excluded.add(option.target.id)

    def _check_may_send(self, call: _Call) -> None:
        """Check the budget and the key just before a request leaves."""
        now = read_clock()
        if call.organisation is not None:
            self._confirm_key(call, now)
        if not call.is_first_sent:
            call.is_first_sent = True
            self.retries.note_first(call.service, now=now)
            return
        is_exhausted = (
            call.sends >= SEND_LIMIT
            or call.runs >= call.route.max_attempts
            or self.suspects.must_keep_away(call.fingerprint)
        )
        if is_exhausted or not self.retries.take(call.service, now=now):
            raise self._build_failure(call)

    def _confirm_key(self, call: _Call, now: float) -> None:
        # The host may have been suspended since the request was admitted.
        try:
            self._authenticate(call.request, now)
        except RequestRefused as error:
            if not call.may_have_run:
                raise
            # Only a request that hasn't run may be refused as such.
            raise self._build_failure(call) from error

    def _should_repeat(self, call: _Call, opened: _Opened) -> bool:
        return (
            opened.head.status >= 500
            and call.route.kind is CallKind.IDEMPOTENT
            and call.runs + 1 < call.route.max_attempts
            and call.sends < SEND_LIMIT
            and self._has_other_target(call, opened.option.target.id)
        )

    def _has_other_target(self, call: _Call, target: str) -> bool:
        tried = call.excluded | {target}
        return any(t.id not in tried for t in self.registry.get_ready(call.service))

    def _choose(self, call: _Call) -> Option:
        """Return a target that can take the request now; wait for a load if need be."""
        asked: dict[str, float] = {}
        wait_until = self._get_wait_until(call)
        while True:
            self._check_running(call)
            now = read_clock()
            options = self._list_options(call, asked, now)
            if not options:
                if call.excluded and not call.may_have_run:
                    call.excluded.clear()
                    if call.sends:
                        raise self._build_failure(call)
                    continue
                if call.may_have_run:
                    raise self._build_failure(call)
                if now + WAIT_TURN_S >= wait_until:
                    raise self._refuse(call, ErrorKind.NO_TARGET, 0.5, "no target")
                self.residents.wait(call.request.adapter, WAIT_TURN_S)
                continue
            best = options[0]
            if best.step is Step.ASK_LOAD and best.target.id not in asked:
                # Also if the caller is told to come back: it is there by then.
                asked[best.target.id] = now
                self._ask_load(call, best.target, now, was_missing=False)
            if now + best.wait_s >= max(wait_until, now + NOT_OFFERED_MARGIN_S):
                raise self._refuse(
                    call,
                    ErrorKind.OVERLOADED,
                    best.wait_s,
                    f"{best.target.id} would start it in {best.wait_s:.2f} s",
                )
            if best.step is Step.SEND:
                call.waited_s = now - call.began_at
                return best
            left_s = max(min(best.wait_s, wait_until - now), 0.001)
            self.residents.wait(call.request.adapter, min(left_s, WAIT_TURN_S))

    def _get_wait_until(self, call: _Call) -> float:
        """Return until when a request may wait before it is sent."""
        settings = self.settings
        budget_s = call.running.ends_at - call.began_at
        wait_s = max(
            call.route.objective_s * settings.wait_objectives,
            budget_s * settings.wait_budget_ratio,
        )
        return min(call.began_at + wait_s, call.running.ends_at - NOT_OFFERED_MARGIN_S)

    def _list_options(
        self, call: _Call, asked: dict[str, float], now: float
    ) -> list[Option]:
        adapter = call.request.adapter
        required = self.versions.get_required(adapter, now=now) if adapter else 0
        holder = self.orders.settings
        demand = Demand(
            adapter,
            required,
            self.failure_domain,
            frozenset(call.excluded),
            holder.adapter_load_s,
            holder.adapter_load_s * holder.former_load_ratio,
            self.health.get_service_s(call.service),
        )

        def get_state(target: Target) -> TargetState:
            requests = self.orders.count_requests(target.id)
            requests = max(requests, self.health.get_load(target.id, now=now))
            is_avoided = self.health.is_avoided(target.id, now=now)
            if not adapter:
                return TargetState(requests, is_avoided)
            asked_at = asked.get(target.id)
            has_answered = asked_at is None or now - asked_at < ASK_AGAIN_S
            return TargetState(
                requests,
                is_avoided,
                self.residents.get(target.id, adapter),
                has_answered and self.orders.is_held(target.id, now=now),
                self.orders.count_in_transit(target.id, now=now),
                self.residents.was_at(target.id, adapter),
            )

        targets = self.registry.get_ready(call.service)
        return list_options(targets, demand, get_state, self.settings, now=now)

    def _ask_load(
        self, call: _Call, target: Target, now: float, *, was_missing: bool
    ) -> None:
        adapter = call.request.adapter
        version = self.versions.get_required(adapter, now=now)
        wish = LoadRequested(target.id, adapter, version, call.priority, was_missing)
        self.orders.ask(wish, now=now)
        logger.info(
            "adapter.requested",
            extra={
                "request": call.request.id,
                "target": target.id,
                "adapter": adapter,
                "version": version,
                "was_missing": was_missing,
            },
        )

    def _send(self, call: _Call, option: Option) -> _Opened:
        target = option.target
        now = read_clock()
        left_s = call.running.ends_at - now
        if left_s < NOT_OFFERED_MARGIN_S:
            raise self._build_failure(call)
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
            self.wire.build_headers(request, context),
            timeout_s=head_s,
            connect_s=min(self.settings.connect_s, left_s),
        )
        self.work.begin(target.id, request.adapter)
        call.sends += 1
        try:
            response = open_call(target_call, may_reuse=call.route.may_repeat)
            opened = self._open(call, option, response, now)
        except BaseException:
            self.work.end(target.id, request.adapter)
            raise
        self.metrics.sends.labels(call.service, str(opened.head.status)).inc()
        self.health.note_success(target.id, opened.head.load, now=read_clock())
        return opened

    def _open(
        self, call: _Call, option: Option, response: TargetResponse, sent_at: float
    ) -> _Opened:
        call.running.set_abort(response.abort)
        try:
            head = self.wire.read_head(response.status, response.response.getheaders())
            opened = _Opened(option, head, response, sent_at)
            if head.is_not_run:
                response.read_all(BODY_LIMIT_BYTES)
                raise _Rejected(head)
            if head.status in NOT_RUN_STATUSES:
                # Callers would take it as a promise that the target hasn't made.
                raise TargetError(f"unconfirmed {head.status}", is_sent=True)
            if head.request and head.request != call.request.id:
                raise TargetError("answer to another request", is_sent=True)
            if head.status < 300 and not head.is_signed:
                raise TargetError("success without a signature", is_sent=True)
            if call.route.kind is CallKind.STREAM and head.status < 300:
                self._read_events(call, opened)
                silence_s = self.settings.stream_silence_s
                response.call = replace(response.call, timeout_s=silence_s)
                response.set_waiting(waits=True)
            else:
                opened.body = _read_whole(response)
            return opened
        except BaseException as error:
            call.running.set_abort(None)
            if isinstance(error, _Rejected):
                response.close()
            else:
                _discard(response)
            raise

    def _get_head_limit_s(self, call: _Call, left_s: float) -> float:
        if not call.route.may_repeat or call.runs + 1 >= call.route.max_attempts:
            return left_s + NOT_OFFERED_MARGIN_S
        if call.route.kind is CallKind.STREAM:
            limit_s = call.route.objective_s * self.settings.stream_head_objectives
            return min(limit_s, left_s)
        return min(self.settings.plain_head_s, left_s)

    def _read_events(self, call: _Call, opened: _Opened) -> None:
        """Read until the next whole event or the end of the stream."""
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

    def _pass_on(self, call: _Call, opened: _Opened) -> Iterator[bytes]:
        """Iterate over the events of a stream, at another target if need be."""
        try:
            while True:
                data = self._take_new_events(call, opened)
                if data:
                    yield data
                if opened.has_ended:
                    break
                try:
                    self._read_events(call, opened)
                except TargetError as error:
                    opened = self._resume(call, opened, error)
            self._end_send(call, opened)
            self._finish(call, None)
        except BaseException as error:
            if not call.has_ended:
                self._abandon(call, opened)
                self._finish(call, error)
            raise

    def _take_new_events(self, call: _Call, opened: _Opened) -> bytes:
        fresh = []
        for event in opened.events:
            if event.id is not None:
                if call.last_id is not None and event.id <= call.last_id:
                    continue
                call.last_id = event.id
                call.last_event = str(event.id)
            fresh.append(event.data)
        opened.events = []
        if opened.has_ended and opened.splitter.rest:
            fresh.append(opened.splitter.rest)
            opened.splitter.rest = b""
        return b"".join(fresh)

    def _resume(self, call: _Call, opened: _Opened, error: TargetError) -> _Opened:
        self._abandon(call, opened)
        self._note_broken(call, opened.option.target, error)
        if not call.route.may_repeat or call.running.stop_reason is not None:
            raise self._build_failure(call)
        call.excluded.add(opened.option.target.id)
        call.began_at = read_clock()
        resumed = self._send_until_answered(call)
        if resumed.head.status >= 300:
            self._abandon(call, resumed)
            raise self._build_failure(call)
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

    def _abandon(self, call: _Call, opened: _Opened) -> None:
        call.running.set_abort(None)
        _discard(opened.response)
        self._count_off(call, opened)

    def _end_send(self, call: _Call, opened: _Opened) -> None:
        call.running.set_abort(None)
        call.runs += 1
        call.may_have_run = True
        opened.response.close()
        target = opened.option.target.id
        self._count_off(call, opened)
        now = read_clock()
        self.health.note_service(call.service, now - opened.sent_at)
        if opened.head.status >= 500:
            self.health.note_failure(target, now=now, is_unreachable=False)

    def _count_off(self, call: _Call, opened: _Opened) -> None:
        # A stream that broke was counted off before its resumption failed.
        if opened.is_counted:
            opened.is_counted = False
            self.work.end(opened.option.target.id, call.request.adapter)

    def _note_rejection(self, call: _Call, option: Option, head: AnswerHead) -> None:
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
            pause_s = self.orders.settings.late_step_s
            self.residents.delay(target.id, adapter, until=now + pause_s)
            self._ask_load(call, target, now, was_missing=True)
            return
        if is_other:
            self.health.note_failure(target.id, now=now, is_unreachable=True)
        call.excluded.add(target.id)
        if head.load is not None:
            self.health.note_success(target.id, head.load, now=now)

    def _note_failure(self, call: _Call, option: Option, error: TargetError) -> None:
        """Note that a send failed; raise if the request can't be sent again."""
        self._note_broken(call, option.target, error)
        call.excluded.add(option.target.id)
        if error.is_sent and not call.route.may_repeat:
            raise self._build_failure(call)

    def _note_broken(self, call: _Call, target: Target, error: TargetError) -> None:
        call.last_failure = f"{target.id}: {error.message}"
        if error.is_sent:
            call.may_have_run = True
            call.runs += 1
        avoided_s = 0.0
        if call.running.stop_reason is None:
            now = read_clock()
            if error.is_sent:
                self.suspects.note_broken(call.fingerprint, now=now)
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

    def _check_running(self, call: _Call) -> None:
        if call.running.stop_reason is not None:
            raise self._build_failure(call)

    def _build_failure(self, call: _Call) -> RequestRefused:
        """Return the final answer of a request that no target answered."""
        reason = call.running.stop_reason
        if call.may_have_run:
            is_late = reason is ErrorKind.DEADLINE_UNREACHABLE
            kind = ErrorKind.TIMED_OUT if is_late else ErrorKind.TARGET_FAILED
            return RequestRefused(kind, call.last_failure or "the time is over")
        if reason is not None:
            return RequestRefused(
                reason, "the time is over before a target could be found"
            )
        return self._refuse(
            call, ErrorKind.OVERLOADED, 0.0, call.last_failure or "no target"
        )

    def _refuse(
        self, call: _Call, kind: ErrorKind, retry_after_s: float, why: str
    ) -> RequestRefused:
        if call.may_have_run:
            return self._build_failure(call)
        return RequestRefused(
            kind, why, retry_after_s=max(retry_after_s, SHORTEST_RETRY_S)
        )

    def _note_first(self, call: _Call) -> None:
        elapsed_s = read_clock() - call.began_at
        self.metrics.first_answer.labels(call.route.name).observe(elapsed_s)
        self.metrics.waits.labels(call.route.name).observe(call.waited_s)

    def _finish(self, call: _Call, error: BaseException | None) -> None:
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
                "outcome": outcome,
                "why": call.last_failure,
                "detail": str(error) if error is not None else "",
                "sends": call.sends,
                "waited_s": round(call.waited_s, 3),
                "elapsed_s": round(now - call.began_at, 3),
                "configuration_age_s": round(now - self.in_force.confirmed_at, 2),
            },
        )


def _count_tokens(request: CallerRequest, organisation: Organisation | None) -> int:
    if organisation is None:
        return 0
    if not organisation.counts_tokens:
        return 1
    if request.prompt_tokens is None or request.output_tokens is None:
        return organisation.tokens_per_plain_request
    return request.prompt_tokens + request.output_tokens


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
