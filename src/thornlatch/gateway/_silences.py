"""Decides whether a request leaves a target that sends nothing for a while."""

import logbook

from thornlatch.core import read_clock
from thornlatch.exceptions import RequestRefused
from thornlatch.gateway._admission import Admission
from thornlatch.gateway._call import TRY_LIMIT, Call
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
RECHECK_S = 0.25  # between two looks for another target
# Another target is better if none of its streams is silent for longer, relative to the
# silence of the request that would move there.
BETTER_SILENCE_RATIO = 0.5


class SilencePolicy:
    """Moves a request from a silent target only if another one can take it at once.

    A target that sends nothing may be slow, preempt the request or have failed, and a
    request that has left it can't return. So everything that it needs to be sent again
    is reserved first, and without it the request stays until its deadline.

    Parameters
    ----------
    admission : Admission
    selector : TargetSelector
    retries : RetryBudget
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
        retries: RetryBudget,
        work: WorkTable,
        health: TargetHealth,
        suspects: CrashSuspects,
        metrics: GatewayMetrics,
    ) -> None:
        self.admission = admission
        self.selector = selector
        self.retries = retries
        self.work = work
        self.health = health
        self.suspects = suspects
        self.metrics = metrics

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
        reason = self._reserve(call, use, now)
        is_first = call.silent_use is not use
        call.silent_use = use
        if is_first or not reason:
            self.metrics.silences.labels(
                call.service, "kept" if reason else "left"
            ).inc()
            logger.info(
                "request.target_silent",
                extra={
                    "request": call.request.id,
                    "target": use.target,
                    "silent_s": round(use.get_silence_s(now), 3),
                    "leaves_for": call.next_option.target.id
                    if call.next_option
                    else "",
                    "stays_because": reason,
                },
            )
        if not reason:
            return 0.0
        if is_first:
            # New requests prefer other targets.
            self.health.note_failure(use.target, now=now, is_unreachable=True)
        return RECHECK_S

    def _reserve(self, call: Call, use: TargetUse, now: float) -> str:
        """Reserve what a request needs to be sent again; return what is missing."""
        if not call.route.may_repeat:
            return "it may not be repeated"
        if call.running.stop_reason is not None:
            return "it was stopped"
        if call.running.ends_at - now < MIN_TAKEOVER_S:
            return "too little time is left"
        if call.tries >= TRY_LIMIT or call.runs + 1 >= call.route.max_attempts:
            return "all attempts are used up"
        if self.suspects.is_blocked(call.fingerprint):
            return "targets aborted too many runs of it"
        try:
            if call.organisation is not None:
                self.admission.authenticate(call.request, now=now)
            self.admission.check_parts(call)
        except RequestRefused as error:
            return error.message
        option = self._find_better(call, use, now)
        if option is None:
            return "no better target is free"
        if not self.retries.try_acquire(call.service, now=now):
            return "the retry budget is used up"
        call.next_option = option
        return ""

    def _find_better(
        self, call: Call, use: TargetUse, now: float
    ) -> TargetOption | None:
        limit_s = use.get_silence_s(now) * BETTER_SILENCE_RATIO
        for option in self.selector.list_free(call, use.target, now=now):
            target = option.target.id
            if self.work.get_longest_silence_s(target, now=now) <= limit_s:
                return option
        is_first = call.silent_use is not use
        if is_first and self.work.is_silent(use.target, limit_s, now=now):
            self.selector.request_load_elsewhere(call, use.target, now=now)
        return None
