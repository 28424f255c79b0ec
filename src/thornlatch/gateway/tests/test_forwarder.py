"""Answers to callers when a host loses the store or a target during a request."""

from dataclasses import replace
from random import Random
from types import SimpleNamespace

import pytest

from thornlatch.core import read_clock
from thornlatch.exceptions import (
    ANSWERS,
    ErrorKind,
    Execution,
    ForeignAnswer,
    RequestRefused,
    TargetError,
)
from thornlatch.fleet import RegistrySettings, Target, TargetRegistry
from thornlatch.gateway import AnswerHead, CallerRequest, GatewayMetrics
from thornlatch.gateway._admission import Admission
from thornlatch.gateway._call import Call, TargetAnswer
from thornlatch.gateway._choice import Step, TargetOption
from thornlatch.gateway._forwarder import Forwarder
from thornlatch.gateway._health import TargetHealth
from thornlatch.gateway._sender import TargetSender
from thornlatch.gateway._settings import ForwardingSettings
from thornlatch.gateway._suspect_settings import SuspectSettings
from thornlatch.gateway._suspects import CrashSuspects
from thornlatch.gateway._work import RunningRequest, WorkTable
from thornlatch.quota import (
    QuotaSettings,
    RetryBudget,
    RetryBudgetSettings,
    SharedQuota,
)
from thornlatch.routing import (
    CallKind,
    Configuration,
    ConfigurationInForce,
    FreshnessSettings,
    Organisation,
    Route,
)
from thornlatch.targets import TargetCall

SHOP = Organisation("shop", frozenset({"k"}), None, 0.0, 0.0)
ROUTE = Route("r", "h", "/", CallKind.IDEMPOTENT, (("s", 1.0),), 1.0, 0.1)


class Response:
    """An answer whose connection fails."""

    def __init__(self):
        self.response = self.connection = self
        self.call = TargetCall("1.2.3.4:5", "GET", "/")

    def bound_reads(self, limit_s):
        assert limit_s == self.call.timeout_s

    def read_some(self):
        raise TargetError("connection closed", is_sent=True)

    def abort(self):
        pass

    def close(self):
        pass


def build_forwarder(**parts):
    in_force = ConfigurationInForce(FreshnessSettings())
    in_force.install(Configuration(1, (ROUTE,), {}, {"shop": SHOP}))
    names = (
        "quota retries residents work health pacing suspects metrics stream_versions"
    )
    unused = dict.fromkeys(names.split())
    settings = ForwardingSettings()
    return Forwarder(
        admission=Admission(
            settings,
            in_force=in_force,
            quota=parts.get("quota"),
            suspects=parts.get("suspects"),
            random=Random(1),
        ),
        selector=None,
        sender=TargetSender(
            settings,
            protocol=None,
            work=parts.get("work"),
            health=parts.get("health"),
            metrics=parts.get("metrics"),
        ),
        silences=None,
        in_force=in_force,
        **unused | parts,
    )


def build_call(**fields):
    request = CallerRequest(
        "1", "GET", "/", "h", "k", 1.0, "", "", None, None, (), "", (), b""
    )
    now = read_clock()
    running = RunningRequest("1", now + 1, lambda: False)
    fields = {"is_run_charged": True, **fields}
    return Call(request, ROUTE, SHOP, "s", running, now, 1, "f", **fields)


@pytest.mark.parametrize(
    ("may_have_run", "status", "execution"),
    [(False, 503, Execution.NOT_RUN), (True, 502, Execution.OUTCOME_UNKNOWN)],
)
def test_request_that_may_have_run_isn_t_refused_as_not_run(
    may_have_run, status, execution
):
    call = build_call(may_have_run=may_have_run)
    with pytest.raises(RequestRefused) as error:
        build_forwarder()._check_may_send(call)
    assert ANSWERS[error.value.kind].status == status
    assert error.value.execution is execution


def build_suspects():
    return CrashSuspects(SuspectSettings(), TargetRegistry(RegistrySettings()))


class ExhaustedRetryBudget:
    """A retry budget that permits no retries."""

    def __init__(self):
        self.request_count = 0

    def note_request(self, service, *, now):
        self.request_count += 1

    def try_acquire(self, service, *, now):
        return False


def test_refused_connections_use_no_retry_budget_when_many_targets_crash():
    retries, suspects = ExhaustedRetryBudget(), build_suspects()
    forwarder = build_forwarder(retries=retries, suspects=suspects)
    forwarder.in_force.confirm(asked_at=read_clock())
    forwarder.in_force.note_renewal(asked_at=read_clock())
    call = build_call()
    for _ in range(3):
        forwarder._check_may_send(call)
        call.tries += 1
    assert retries.request_count == 1
    call.sends = 1
    with pytest.raises(RequestRefused):
        forwarder._check_may_send(call)


def test_number_of_attempts_with_refused_connections_is_limited():
    retries, suspects = ExhaustedRetryBudget(), build_suspects()
    forwarder = build_forwarder(retries=retries, suspects=suspects)
    forwarder.in_force.confirm(asked_at=read_clock())
    forwarder.in_force.note_renewal(asked_at=read_clock())
    with pytest.raises(RequestRefused):
        forwarder._check_may_send(build_call(is_in_retry_budget=True, tries=6))


@pytest.mark.parametrize(
    ("error", "crashes"),
    [
        (TargetError("no answer", is_sent=True), 1),
        (ForeignAnswer("answer to request 2 instead of 1"), 0),
    ],
)
def test_answer_to_another_request_isn_t_a_suspected_crash(error, crashes):
    forwarder = build_forwarder(
        health=TargetHealth(ForwardingSettings()),
        suspects=build_suspects(),
        metrics=GatewayMetrics(),
    )
    call = build_call()
    target = Target("t", "s", "1.2.3.4:5", "z", 8)
    forwarder._note_failed_send(call, target, error)
    assert forwarder.suspects.count_crashes(call.fingerprint) == crashes
    assert call.may_have_run


def test_aborted_stream_that_can_t_be_resumed_is_subtracted_once():
    """Subtracted twice, it would make the next stream at its target fail."""
    work = WorkTable()
    settings = ForwardingSettings()
    forwarder = build_forwarder(
        work=work,
        health=TargetHealth(settings),
        suspects=build_suspects(),
        metrics=GatewayMetrics(),
        quota=SharedQuota(QuotaSettings(), now=0.0),
    )
    call = build_call(may_have_run=True)
    call.route = replace(ROUTE, kind=CallKind.STREAM)
    use, _ = work.begin("t", ""), work.begin("t", "")
    target = Target("t", "s", "1.2.3.4:5", "z", 8)
    head = AnswerHead(200, "1", True, False, False, "t", None, ())
    answer = TargetAnswer(
        TargetOption(target, Step.SEND, 0, 0), head, Response(), 0.0, use
    )
    with pytest.raises(RequestRefused):
        list(forwarder._stream_events(call, answer))
    assert work.get_total("t") == 1


STREAM = replace(
    ROUTE, kind=CallKind.STREAM, is_resumable=True, max_attempts=2, services=(("s", 1),)
)


def build_failed_answer(status=500):
    target = Target("t1", "s", "1.2.3.4:5", "z", 8)
    option = TargetOption(target, Step.SEND, 0.0, 0.0)
    head = AnswerHead(status, "1", True, False, False, "t1", None, ())
    return TargetAnswer(option, head, Response(), 0.0, None)


def should_repeat(
    route, *, status=500, has_alternative=True, slack=50.0, runs=0, left_s=1.0
):
    now = read_clock()
    quota = SharedQuota(QuotaSettings(), now=now - 60.0)
    quota.set_organisations(
        [Organisation("shop", frozenset(), None, 100.0, 100.0)], now=now
    )
    forwarder = build_forwarder(
        retries=RetryBudget(RetryBudgetSettings(0.0, 10.0, slack)), quota=quota
    )
    forwarder.selector = SimpleNamespace(
        has_alternative=lambda call, target: has_alternative
    )
    call = build_call(runs=runs)
    call.route = route
    call.running.ends_at = now + left_s
    is_repeated = forwarder._should_repeat(call, build_failed_answer(status))
    spent, _ = quota.get_spent(now=now)
    return is_repeated, spent["shop"]


def test_stream_that_a_grey_target_fails_runs_again_if_it_may_be_resumed():
    """All targets failed 45 in 100 runs, and callers got the failures of streams."""
    # The quota counts the second run, too.
    assert should_repeat(STREAM) == (True, 1)


@pytest.mark.parametrize(
    ("route", "options"),
    [
        (replace(STREAM, is_resumable=False), {}),
        (replace(STREAM, max_attempts=1), {}),
        (STREAM, {"runs": 1}),
        (STREAM, {"status": 404}),
        (STREAM, {"has_alternative": False}),
        # A part of the budget is kept for requests that no target answered.
        (STREAM, {"slack": 1.0}),
        (STREAM, {"left_s": 0.05}),
    ],
)
def test_failure_is_passed_on_if_no_other_run_is_allowed(route, options):
    assert should_repeat(route, **options) == (False, 0)


def test_budget_that_answered_requests_leave_serves_others():
    retries = RetryBudget(RetryBudgetSettings(0.0, 10.0, 20.0))
    while retries.may_repeat_answered("s", now=0.0):
        assert retries.try_acquire("s", now=0.0)
    assert retries.try_acquire("s", now=0.0)


def test_request_that_waits_for_peers_delays_other_callers_once():
    """Each digest that woke it added its tokens to what callers have to wait for."""
    now = read_clock()
    quota = SharedQuota(QuotaSettings(resumed_reserve_s=0.0), now=now)
    quota.set_organisations(
        [Organisation("shop", frozenset(), None, 10.0, 10.0)], now=now
    )
    quota.set_peers([f"p{number}" for number in range(9)], now=now)
    waits = []
    quota.wait_for_peers = waits.append
    admission = build_forwarder().admission
    admission.quota = quota
    call = build_call()
    call.tokens, call.route = 10, replace(ROUTE, objective_s=0.05)
    with pytest.raises(RequestRefused):
        admission._spend_when_known(call)
    assert len(waits) > 2
    assert quota.buckets["shop"].promised_tokens <= call.tokens


@pytest.mark.parametrize(("is_answered", "spent"), [(False, 1), (True, 2)])
def test_second_run_that_no_target_takes_is_not_charged(is_answered, spent):
    """The caller paid twice for one run if no other target was free in time."""
    now = read_clock()
    quota = SharedQuota(QuotaSettings(), now=now)
    organisation = Organisation("shop", frozenset(), None, 100.0, 100.0)
    quota.set_organisations([organisation], now=now)
    forwarder = build_forwarder(
        retries=RetryBudget(RetryBudgetSettings(0.0, 10.0, 50.0)),
        quota=quota,
        work=WorkTable(),
        metrics=GatewayMetrics(),
        health=TargetHealth(ForwardingSettings()),
        suspects=SimpleNamespace(note_answer=lambda *args, **kwargs: None),
        stream_versions=SimpleNamespace(note_sent=lambda *args, **kwargs: None),
    )
    forwarder.silences = SimpleNamespace(get_patience_s=None)
    forwarder.selector = SimpleNamespace(has_alternative=lambda *args: True)
    answers = [build_failed_answer(), build_failed_answer()][: 1 + is_answered]

    def choose(call):
        if not answers:
            raise RequestRefused(ErrorKind.NO_TARGET, "no target")
        return answers[0].option

    def finish(call, answer):
        call.runs += 1
        call.may_have_run = True

    forwarder._choose = choose
    forwarder.sender = SimpleNamespace(send=lambda *args: answers.pop(0), finish=finish)
    call = build_call()
    call.route, call.organisation = STREAM, organisation
    quota.try_spend("shop", call.tokens, now=now)
    error = None
    try:
        forwarder._send_until_answered(call)
    except RequestRefused as refusal:
        error = refusal
    forwarder._finish(call, error)
    assert quota.get_spent(now=now)[0]["shop"] == spent


def build_charged_forwarder(outcomes, burst=100.0):
    """Return a forwarder, whose sends have given outcomes, and a charged call."""
    now = read_clock()
    quota = SharedQuota(QuotaSettings(), now=now - 60.0)
    organisation = Organisation("shop", frozenset({"k"}), None, 0.001, burst)
    quota.set_organisations([organisation], now=now - 60.0)
    quota.set_peers([], now=now)
    quota.buckets["shop"].level = burst
    forwarder = build_forwarder(
        retries=RetryBudget(RetryBudgetSettings(0.0, 10.0, 50.0)),
        quota=quota,
        work=WorkTable(),
        metrics=GatewayMetrics(),
        health=TargetHealth(ForwardingSettings()),
        suspects=build_suspects(),
        stream_versions=SimpleNamespace(note_sent=lambda *args, **kwargs: None),
    )
    forwarder.admission.confirm_key = lambda call, *, now: None
    forwarder.silences = SimpleNamespace(get_patience_s=None)
    target = Target("t1", "s", "1.2.3.4:5", "z", 8)
    option = TargetOption(target, Step.SEND, 0.0, 0.0)
    forwarder.selector = SimpleNamespace(
        has_alternative=lambda *args: True,
        may_send=lambda *args: True,
        choose=lambda call: option,
    )

    def send(call, option, get_patience_s):
        outcome = outcomes.pop(0)
        if isinstance(outcome, TargetError):
            call.sends += outcome.is_sent
            raise outcome
        return outcome

    def finish(call, answer):
        call.runs += 1
        call.may_have_run = True

    forwarder.sender = SimpleNamespace(
        send=send, finish=finish, abort=lambda call, answer: None
    )
    call = build_call()
    call.organisation, call.running.ends_at = organisation, now + 10.0
    call.route = replace(ROUTE, max_attempts=3)
    forwarder.admission.spend(call, now=now)
    return forwarder, call, quota


def get_spent(quota):
    return quota.get_spent(now=read_clock())[0]["shop"]


LOST = TargetError("connection closed", is_sent=True, is_connection_lost=True)
REFUSED = TargetError("connection refused", is_sent=False)


# Guards against: second runs that targets began, and that no quota was charged for.
@pytest.mark.parametrize(
    ("outcomes", "spent"),
    [
        ([build_failed_answer(200)], 1),
        ([LOST, build_failed_answer(200)], 2),
        ([REFUSED, build_failed_answer(200)], 1),
        ([build_failed_answer(500), build_failed_answer(200)], 2),
        ([LOST, REFUSED, LOST, build_failed_answer(200)], 3),
    ],
    ids=["one", "connection-lost", "not-connected", "failed", "three"],
)
def test_each_run_of_a_request_is_charged(outcomes, spent):
    forwarder, call, quota = build_charged_forwarder(list(outcomes))
    answer = forwarder._send_until_answered(call)
    forwarder._finish_answer(call, answer)
    assert get_spent(quota) == spent


def test_stream_that_goes_on_at_another_target_is_charged_again():
    outcomes = [build_failed_answer(200), build_failed_answer(200)]
    forwarder, call, quota = build_charged_forwarder(outcomes)
    answer = forwarder._send_until_answered(call)
    call.route = replace(STREAM, max_attempts=3)
    forwarder._resume(call, answer, LOST)
    assert get_spent(quota) == 2


def test_request_ends_if_its_organisation_can_t_pay_for_another_run():
    outcomes = [LOST, build_failed_answer(200)]
    forwarder, call, quota = build_charged_forwarder(outcomes, burst=1.5)
    with pytest.raises(RequestRefused) as caught:
        forwarder._send_until_answered(call)
    # It may have run, so its answer doesn't say that it hasn't.
    assert caught.value.kind is ErrorKind.TARGET_FAILED
    forwarder._finish(call, caught.value)
    assert get_spent(quota) == 1


def test_run_reserved_before_a_silent_target_is_left_is_charged_once():
    forwarder, call, quota = build_charged_forwarder([build_failed_answer(200)])
    call.is_next_run_charged = forwarder.admission.try_charge_run(
        call, now=read_clock()
    )
    forwarder._note_failed_send(call, Target("t0", "s", "a", "z", 1), LOST)
    answer = forwarder._send_until_answered(call)
    forwarder._finish_answer(call, answer)
    assert get_spent(quota) == 2


def test_stream_whose_record_may_be_in_the_store_is_not_charged_again():
    """It waits for its record, and each look took its tokens once more."""
    versions = SimpleNamespace(may_withdraw=lambda request: False)
    forwarder = build_forwarder(stream_versions=versions, quota=None)
    assert not forwarder._may_begin_elsewhere(
        build_call(), Target("t", "s", "a", "z", 1)
    )
