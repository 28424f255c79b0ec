"""Decides whether a request leaves a target that sends nothing for a while."""

from random import Random

import logbook

from thornlatch.core import read_clock
from thornlatch.exceptions import RequestRefused
from thornlatch.gateway._admission import Admission
from thornlatch.gateway._call import Call, find_retry_obstacle
from thornlatch.gateway._choice import TargetOption
from thornlatch.gateway._health import TargetHealth
from thornlatch.gateway._metrics import GatewayMetrics
from thornlatch.gateway._selector import TargetSelector
from thornlatch.gateway._suspects import CrashSuspects
from thornlatch.gateway._work import TargetUse, WorkTable
from thornlatch.quota import RetryBudget

logger = logbook.Logger("thornlatch.gateway")

# A target that has less time left can't send much of an answer.
MIN_TAKEOVER_S = 0.1
# Between two looks for another target. They differ, so that requests that fell silent
# together don't all go to the same free place.
RECHECK_MIN_S, RECHECK_MAX_S = 0.2, 0.4
# Another target is better if half of its streams are silent for less time, relative to
# the silence of the request that would move there.
BETTER_SILENCE_RATIO = 0.5
# Longest wait at a busy target if the present one sends nothing to anybody.
BUSY_WAIT_S = 0.3
LOAD_REQUEST_PERIOD_S = 1.0


class SilencePolicy:
    """Moves a request from a silent target only if another one can take it soon.

    A target that sends nothing may be slow, preempt the request or have failed. The
    run there ends when the request leaves. So an attempt, retry budget and a confirmed
    key come first, and a target that is likely to start it; without them the request
    stays until its deadline. The old run can't be kept until the new one answers: both
    servers would work on the request.

    Parameters
    ----------
    admission : Admission
    selector : TargetSelector
    retries : RetryBudget
    work : WorkTable
    health : TargetHealth
    suspects : CrashSuspects
    metrics : GatewayMetrics
    random : random.Random
        Source of the differences between requests that look again.
    """

    def __init__(
        self,
        *,
        admission: Admission,
        selector: TargetSelector,
        retries: RetryBudget,
        work: WorkTable,
        health: TargetHealth,
        suspects: CrashSuspects,
        metrics: GatewayMetrics,
        random: Random,
    ) -> None:
        self.admission = admission
        self.selector = selector
        self.retries = retries
        self.work = work
        self.health = health
        self.suspects = suspects
        self.metrics = metrics
        self.random = random

    def get_patience_s(self, call: Call, use: TargetUse) -> float:
        """Return how much longer a request waits for bytes of its target.

        Parameters
        ----------
        call : Call
            If it leaves, its `next_option` is set.
        use : TargetUse
            The request at the silent target.

        Returns
        -------
        float
            Seconds; 0 if it leaves.
        """
        now = read_clock()
        is_first = call.silent_use is not use
        call.silent_use = use
        if not self.health.is_avoided(use.target, now=now):
            # New requests and loads prefer other targets while it is silent.
            self.health.note_failure(use.target, now=now, is_unreachable=True)
        reason = self._reserve(call, use, now)
        if is_first or not reason:
            self._record(call, use, reason, now)
        if not reason:
            call.left_targets.add(use.target)
            return 0.0
        return self.random.uniform(RECHECK_MIN_S, RECHECK_MAX_S)

    def _record(self, call: Call, use: TargetUse, reason: str, now: float) -> None:
        decision = "kept" if reason else "left"
        self.metrics.silences.labels(call.service, decision).inc()
        option = call.next_option
        logger.info(
            "request.target_silent",
            extra={
                "request": call.request.id,
                "target": use.target,
                "silent_s": round(use.get_silence_s(now), 3),
                "leaves_for": option.target.id if option is not None else "",
                "stays_because": reason,
            },
        )

    def _reserve(self, call: Call, use: TargetUse, now: float) -> str:
        """Reserve what a request needs to be sent again; return what is missing."""
        if not call.route.may_repeat:
            return "it may not be repeated"
        if call.running.stop_reason is not None:
            return "it was stopped"
        if call.running.ends_at - now < MIN_TAKEOVER_S:
            return "too little time is left"
        is_blocked = self.suspects.is_blocked(call.fingerprint)
        obstacle = find_retry_obstacle(call, runs=call.runs + 1, is_blocked=is_blocked)
        if obstacle:
            return obstacle
        try:
            if call.organisation is not None:
                self.admission.authenticate(call.request, now=now)
            self.admission.check_parts(call)
        except RequestRefused as error:
            return error.message
        option = self._find_better(call, use, now)
        if option is None:
            return "no better target is free"
        if not self.admission.try_charge_run(call, now=now):
            return "the quota is used up"
        if not self.retries.try_acquire(call.service, now=now):
            self.admission.give_back_run(call, now=now)
            return "the retry budget is used up"
        call.next_option, call.is_next_run_charged = option, True
        return ""

    def _find_better(
        self, call: Call, use: TargetUse, now: float
    ) -> TargetOption | None:
        limit_s = use.get_silence_s(now) * BETTER_SILENCE_RATIO
        is_all_silent = self.work.is_silent(use.target, limit_s, now=now)
        options = self.selector.list_startable(
            call, use.target, within_s=BUSY_WAIT_S if is_all_silent else 0.0, now=now
        )
        for option in options:
            target = option.target.id
            if self.work.get_median_silence_s(target, now=now) <= limit_s:
                return option
        if is_all_silent and now - call.load_requested_at >= LOAD_REQUEST_PERIOD_S:
            call.load_requested_at = now
            self.selector.request_load_elsewhere(call, use.target, now=now)
        return None
