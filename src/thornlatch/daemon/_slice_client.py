"""Client through which request threads call the slices."""

import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import Any, TypeVar

from thornlatch.admission import Admitted
from thornlatch.configuration import Adapter, Key, Route
from thornlatch.core import Action, Event
from thornlatch.daemon._control import ControlLoop
from thornlatch.daemon._host_slices import HostSlices
from thornlatch.daemon._logs import TimelineWriter
from thornlatch.daemon._probe import probe_target_failure
from thornlatch.dispatch import Grant, Outcome, RequestSpec
from thornlatch.exceptions import ErrorKind, RequestRefused
from thornlatch.requests import (
    AttemptFailed,
    ClaimWon,
    IsolationRequired,
    RecordedAnswer,
    Refuse,
    RetryPolicy,
    RunIsolated,
    RunNormally,
)

DECISION_SLACK_S = 1.0
CLAIM_WAIT_S = 15.0
COMMAND_TIMEOUT_S = 10.0

T = TypeVar("T")


class SliceClient:
    """Calls that request threads make to the slices; refusals are raised.

    Calls that change a slice run in the control thread.

    Parameters
    ----------
    host_slices : HostSlices
    control : ControlLoop
    timeline : TimelineWriter
    retries : RetryPolicy
    incarnations : mapping of str to str
        Last known incarnation of each target.
    """

    def __init__(
        self,
        host_slices: HostSlices,
        control: ControlLoop,
        timeline: TimelineWriter,
        *,
        retries: RetryPolicy,
        incarnations: Mapping[str, str],
    ) -> None:
        self.host_slices = host_slices
        self.control = control
        self.timeline = timeline
        self.is_stopping = False
        self.retry_lock = threading.Lock()
        self.retries = retries
        self.incarnations = incarnations

    def check_serving(self) -> None:
        """Check that this host accepts requests now.

        Raises
        ------
        RequestRefused
            If the host is stopping or can't confirm its session or its configuration.
        """
        if self.is_stopping:
            raise RequestRefused(
                ErrorKind.HOST_STOPPING, "this host is stopping", retry_after_s=1.0
            )
        self.check_confirmed()
        self.host_slices.configuration.check_fresh(now=time.monotonic())

    def check_confirmed(self) -> None:
        """Check that grants obtained earlier may be used now.

        Raises
        ------
        RequestRefused
            If this host can't confirm its session.
        """
        if not self.host_slices.leases.is_confirmed(now=time.monotonic()):
            raise RequestRefused(
                ErrorKind.HOST_UNCONFIRMED,
                "this host can't confirm that it is a member of the fleet",
                retry_after_s=1.0,
            )

    def authenticate(self, key: str) -> Key:
        """Return the configured key that a bearer key matches.

        Parameters
        ----------
        key : str

        Returns
        -------
        Key

        Raises
        ------
        RequestRefused
            If the key is unknown or withdrawn, or the configuration may be outdated.
        """
        return self.host_slices.configuration.authenticate(key, now=time.monotonic())

    def is_key_in_force(self, digest: str) -> bool:
        """Return whether a key is known and not withdrawn.

        Parameters
        ----------
        digest : str

        Returns
        -------
        bool
        """
        return self.host_slices.configuration.view.get_key(digest) is not None

    def find_adapter(self, model: str) -> Adapter:
        """Return the adapter version that a model name refers to.

        Parameters
        ----------
        model : str
            ``name`` or ``name@version``.

        Returns
        -------
        Adapter

        Raises
        ------
        RequestRefused
            If there is no such adapter version.
        """
        adapter = self.host_slices.configuration.view.find_adapter(
            model.replace("@", "/")
        )
        if adapter is None:
            raise RequestRefused(ErrorKind.UNKNOWN_MODEL, f"no such model: {model}")
        return adapter

    def find_route(self, path: str) -> Route:
        """Return the route with the longest matching prefix.

        Parameters
        ----------
        path : str

        Returns
        -------
        Route

        Raises
        ------
        RequestRefused
            If no route matches.
        """
        route = self.host_slices.configuration.view.find_route(path)
        if route is None:
            raise RequestRefused(ErrorKind.UNKNOWN_ROUTE, f"no such path: {path}")
        return route

    def list_adapters(self, organisation: str) -> list[Adapter]:
        """Return the adapters that an organisation may call.

        Parameters
        ----------
        organisation : str

        Returns
        -------
        list of Adapter
        """
        return list(self.host_slices.configuration.view.iter_adapters(organisation))

    def admit(
        self, request: str, organisation: str, tokens: float, deadline: float
    ) -> Admitted:
        """Take tokens from an organisation's allowance, waiting for them if necessary.

        Parameters
        ----------
        request : str
            Request id.
        organisation : str
        tokens : float
        deadline : float
            Time of the monotonic clock.

        Returns
        -------
        Admitted

        Raises
        ------
        RequestRefused
            If admission refuses the request or doesn't decide in time.
        """

        def build(ticket: str, now: float) -> list[Action]:
            return self.host_slices.admission.admit(
                ticket,
                organisation=organisation,
                tokens=tokens,
                deadline=deadline,
                now=now,
            )

        def cancel(now: float) -> list[Action]:
            self.host_slices.admission.cancel(request, now=now)
            return []

        def undo(admitted: Admitted, now: float) -> list[Action]:
            return self.host_slices.admission.settle(admitted, used=0.0, now=now)

        return self._wait_for_decision(request, build, deadline, cancel, undo)

    def settle(self, admitted: Admitted, used: float) -> None:
        """Return the admitted tokens that weren't used.

        Parameters
        ----------
        admitted : Admitted
        used : float
            Tokens.
        """
        self.control.submit(
            lambda now: self.host_slices.admission.settle(admitted, used=used, now=now)
        )

    def acquire_grant(self, spec: RequestSpec) -> Grant:
        """Wait for a grant to send an attempt to a target.

        Parameters
        ----------
        spec : RequestSpec

        Returns
        -------
        Grant

        Raises
        ------
        RequestRefused
            If the scheduler refuses the attempt or doesn't decide in time.
        """
        ticket = f"{spec.request}/{spec.attempt}"

        def build(ticket: str, now: float) -> list[Action]:
            return self.host_slices.dispatch.request(ticket, spec, now=now)

        def cancel(now: float) -> list[Action]:
            return self.host_slices.dispatch.cancel(ticket, now=now)

        def undo(grant: Grant, now: float) -> list[Action]:
            return self.host_slices.dispatch.release(
                grant, outcome=Outcome.UNUSED, tokens=0.0, now=now
            )

        deadline = time.monotonic() + spec.deadline_in_s
        return self._wait_for_decision(ticket, build, deadline, cancel, undo)

    def release_grant(
        self,
        grant: Grant,
        *,
        outcome: Outcome,
        tokens: float,
        first_token_s: float | None,
    ) -> None:
        """Return a grant and report the outcome of its attempt.

        Parameters
        ----------
        grant : Grant
        outcome : Outcome
        tokens : float
        first_token_s : float or None
            Seconds to the first token; None if none came.
        """
        self.control.submit(
            lambda now: self.host_slices.dispatch.release(
                grant,
                outcome=outcome,
                tokens=tokens,
                first_token_s=first_token_s,
                now=now,
            )
        )

    def emit(self, event: Event) -> None:
        """Write an event to the timeline.

        Parameters
        ----------
        event : Event
        """
        self.timeline.write(event)

    def claim(
        self, request: str, organisation: str, idempotency_key: str, body_digest: str
    ) -> ClaimWon | RecordedAnswer:
        """Claim a call that may run at most once.

        Parameters
        ----------
        request : str
        organisation : str
        idempotency_key : str
        body_digest : str
            Hexadecimal SHA-256 of method, path and body.

        Returns
        -------
        ClaimWon or RecordedAnswer
            A recorded answer if the call ran before.

        Raises
        ------
        RequestRefused
            If the call may not run or isn't decided within `CLAIM_WAIT_S`.
        """
        claims = self.host_slices.claims

        def build(ticket: str, now: float) -> list[Action]:
            return claims.claim(
                ticket,
                organisation=organisation,
                idempotency_key=idempotency_key,
                body_digest=body_digest,
                now=now,
                wall_time=time.time(),
            )

        def cancel(now: float) -> list[Action]:
            return claims.cancel(ticket, now=now)

        def undo(decision: ClaimWon | RecordedAnswer, now: float) -> list[Action]:
            if isinstance(decision, RecordedAnswer):
                return []
            return claims.abandon(decision.claim, is_certain_not_run=True, now=now)

        ticket = f"{request}/claim"
        deadline = time.monotonic() + CLAIM_WAIT_S
        return self._wait_for_decision(ticket, build, deadline, cancel, undo)

    def note_attempt(self, organisation: str, target: str, *, is_first: bool) -> None:
        """Note an attempt that is about to be sent, for the retry budgets.

        Parameters
        ----------
        organisation : str
        target : str
        is_first : bool
        """
        with self.retry_lock:
            self.retries.note_attempt(organisation, target, is_first=is_first)

    def decide_retry(self, failure: AttemptFailed) -> float:
        """Decide whether a failed attempt is retried.

        Parameters
        ----------
        failure : AttemptFailed

        Returns
        -------
        float
            Seconds to wait before the next attempt.

        Raises
        ------
        RequestRefused
            If there is no further attempt.
        """
        with self.retry_lock:
            decision = self.retries.decide(failure, now=time.monotonic())
        if isinstance(decision, RequestRefused):
            raise decision
        return decision.delay_s

    def check_quarantine(
        self, fingerprint: str
    ) -> RunNormally | RunIsolated | IsolationRequired | Refuse:
        """Return how the quarantine lets a request run.

        Parameters
        ----------
        fingerprint : str

        Returns
        -------
        RunNormally, RunIsolated, IsolationRequired or Refuse
        """
        return self.host_slices.quarantine.check(fingerprint, now=time.monotonic())

    def wait_for_isolation(
        self, ticket: str, fingerprint: str, pool: str
    ) -> RunIsolated | RunNormally:
        """Wait until a suspect request may run.

        Parameters
        ----------
        ticket : str
        fingerprint : str
        pool : str

        Returns
        -------
        RunIsolated or RunNormally

        Raises
        ------
        RequestRefused
            If the quarantine refuses the request or doesn't decide in time.
        """
        quarantine = self.host_slices.quarantine

        def build(ticket: str, now: float) -> list[Action]:
            return quarantine.request_isolation(ticket, fingerprint, pool=pool, now=now)

        def cancel(now: float) -> list[Action]:
            return quarantine.cancel_isolation(ticket, now=now)

        def undo(decision: RunIsolated | RunNormally, now: float) -> list[Action]:
            if isinstance(decision, RunNormally):
                return []
            return quarantine.release_isolation(
                decision.isolation_id, fingerprint, now=now
            )

        deadline = time.monotonic() + quarantine.settings.wait_s
        return self._wait_for_decision(ticket, build, deadline, cancel, undo)

    def has_target_failed(self, grant: Grant) -> bool:
        """Probe whether a target that broke off an answer has failed.

        Parameters
        ----------
        grant : Grant

        Returns
        -------
        bool
        """
        # The pool owner's poll may have found the restarted target already, so the
        # grant's incarnation takes precedence.
        incarnation = grant.incarnation or self.incarnations.get(grant.target, "")
        return probe_target_failure(grant.address, incarnation=incarnation)

    def report_target_failure(self, grant: Grant) -> None:
        """Report to the slices that a grant's target failed.

        Parameters
        ----------
        grant : Grant
        """
        target = grant.target
        targets = self.host_slices.dispatch.targets
        known_target = targets.get(target)
        failure_domain = known_target.failure_domain if known_target is not None else ""
        domain_targets = sum(
            other.failure_domain == failure_domain for other in targets.values()
        )

        def report_failure(now: float) -> list[Action]:
            actions = self.host_slices.quarantine.note_target_failure(
                target,
                failure_domain=failure_domain,
                domain_targets=domain_targets,
                now=now,
            )
            return actions + self.host_slices.dispatch.report_target_failure(
                grant, now=now
            )

        # The request's next quarantine check must see the suspicion reported here.
        self.control.submit(report_failure)
        self.run(lambda now: None)

    def run(self, command: Callable[[float], T]) -> T:
        """Run a command in the control thread and return its value.

        Parameters
        ----------
        command : callable
            Takes `now`.

        Returns
        -------
        object

        Raises
        ------
        TimeoutError
            If the command hasn't run within `COMMAND_TIMEOUT_S`.
        """
        future: Future[T] = Future()

        def execute(now: float) -> list[Action]:
            try:
                future.set_result(command(now))
            except Exception as error:
                future.set_exception(error)
            return []

        self.control.submit(execute)
        return future.result(timeout=COMMAND_TIMEOUT_S)

    def submit(self, command: Callable[[float], list[Action]]) -> None:
        """Run a command in the control thread without waiting.

        Parameters
        ----------
        command : callable
            Takes `now` and returns actions.
        """
        self.control.submit(command)

    def _wait_for_decision(
        self,
        ticket: str,
        build: Callable[[str, float], list[Action]],
        deadline: float,
        cancel: Callable[[float], list[Action]],
        undo: Callable[[Any, float], list[Action]],
    ) -> Any:
        future = self.control.request_decision(ticket, build)
        timeout_s = max(0.0, deadline - time.monotonic()) + DECISION_SLACK_S
        try:
            return future.result(timeout=timeout_s)
        except FutureTimeoutError:
            self.control.cancel_decision(ticket, cancel, undo, future)
            raise RequestRefused(
                ErrorKind.DEADLINE_UNREACHABLE,
                f"no decision within {timeout_s:.1f} s",
                retry_after_s=1.0,
            ) from None
