"""Passes requests through the quarantine of those that crash targets."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from thornlatch.daemon._services import Services
from thornlatch.dispatch import Grant, Outcome, RequestSpec
from thornlatch.exceptions import RequestRefused
from thornlatch.requests import (
    Refuse,
    RunIsolated,
    RunNormally,
    make_fingerprint,
)

# Enough for the scheduler, for which a collision only means a shared target.
FINGERPRINT_DIGITS = 16


@dataclass(frozen=True)
class Turn:
    """Permission to send one attempt.

    Parameters
    ----------
    isolation_id : str
        Names an isolated run; empty for a normal one.
    excluded : tuple of str
        Targets that died under the request.
    """

    isolation_id: str = ""
    excluded: tuple[str, ...] = ()


@dataclass(frozen=True)
class Permit:
    """A grant, and the turn under which it is used.

    Parameters
    ----------
    grant : Grant
    isolation_id : str
        Names an isolated run; empty for a normal one.
    """

    grant: Grant
    isolation_id: str


class SuspectGate:
    """What one request asks of the quarantine and of the scheduler for its attempts.

    Parameters
    ----------
    services : Services
    request : str
    organisation : str
    adapter_version : str
        Or the path of a plain service's route.
    pool : str
    body : bytes
    """

    def __init__(
        self,
        services: Services,
        *,
        request: str,
        organisation: str,
        adapter_version: str,
        pool: str,
        body: bytes,
    ) -> None:
        self.services = services
        self.request = request
        self.pool = pool
        self.fingerprint = make_fingerprint(organisation, adapter_version, body)
        self.entered = 0
        self.excluded: tuple[str, ...] = ()

    def exclude(self, target: str) -> None:
        """Send no further attempt to a target.

        Parameters
        ----------
        target : str
        """
        self.excluded = (*self.excluded, target)

    def acquire(
        self,
        begin_attempt: Callable[[], RequestSpec],
        complete_refusal: Callable[[RequestRefused], RequestRefused],
    ) -> Permit:
        """Wait until an attempt may be sent to a target.

        Parameters
        ----------
        begin_attempt : callable
            Counts a new attempt and returns its needs.
        complete_refusal : callable
            Says in a refusal of the scheduler what earlier attempts have done.

        Returns
        -------
        Permit

        Raises
        ------
        RequestRefused
            If no attempt may be sent in time.
        """
        while True:
            turn = self.enter()
            spec = self._complete_spec(begin_attempt(), turn)
            try:
                grant = self.services.acquire_grant(spec)
            except RequestRefused as error:
                self.leave_unused(turn)
                raise complete_refusal(error) from error
            if turn.isolation_id or not self.is_suspect():
                return Permit(grant, turn.isolation_id)
            # A copy took its target down while this request waited for the grant.
            self.services.release_grant(
                grant, outcome=Outcome.UNUSED, tokens=0.0, first_token_s=None
            )

    def is_suspect(self) -> bool:
        """Return whether the request must not run beside others now."""
        verdict = self.services.check_suspect(self.fingerprint)
        return not isinstance(verdict, RunNormally)

    def _complete_spec(self, spec: RequestSpec, turn: Turn) -> RequestSpec:
        return replace(
            spec,
            excluded=tuple(dict.fromkeys((*self.excluded, *turn.excluded))),
            fingerprint=self.fingerprint[:FINGERPRINT_DIGITS],
            is_isolated=bool(turn.isolation_id),
        )

    def enter(self) -> Turn:
        """Wait until the request may be sent.

        Returns
        -------
        Turn

        Raises
        ------
        RequestRefused
            If it crashed two targets, or its turn doesn't come in time.
        """
        verdict = self.services.check_suspect(self.fingerprint)
        if isinstance(verdict, Refuse):
            raise verdict.refusal
        if isinstance(verdict, RunNormally):
            return Turn()
        self.entered += 1
        ticket = f"{self.request}/suspect-{self.entered}"
        decision = self.services.enter_quarantine(ticket, self.fingerprint, self.pool)
        if isinstance(decision, RunIsolated):
            return Turn(decision.isolation_id, decision.excluded)
        return Turn()

    def leave_unused(self, turn: Turn) -> None:
        """Give back a turn under which no byte was sent.

        Parameters
        ----------
        turn : Turn
        """
        if turn.isolation_id:
            self.services.submit(
                lambda now: self.services.host_slices.quarantine.release_isolation(
                    turn.isolation_id, self.fingerprint, now=now
                )
            )

    def note_started(self, target: str, isolation_id: str) -> None:
        """Note that an attempt is about to be sent.

        Parameters
        ----------
        target : str
        isolation_id : str
        """
        quarantine = self.services.host_slices.quarantine

        def start(now: float) -> None:
            quarantine.note_started(
                self.request,
                self.fingerprint,
                target=target,
                now=now,
                isolation_id=isolation_id,
            )

        self.services.run(start)

    def note_ended(self, grant: Grant, outcome: Outcome, *, is_sent: bool) -> None:
        """Note the end of an attempt, and the target's death if it died.

        Parameters
        ----------
        grant : Grant
        outcome : Outcome
        is_sent : bool
            Whether the target may have received a byte; a target that was dead before
            says nothing against the request.
        """
        quarantine = self.services.host_slices.quarantine
        if not is_sent:
            self.services.submit(
                lambda now: quarantine.note_unsent(self.request, now=now)
            )
        is_suspicious = outcome in (Outcome.UNKNOWN, Outcome.FAILED)
        if is_suspicious and self.services.is_target_dead(grant):
            self.services.report_target_failure(grant)
            return
        self.services.submit(
            lambda now: quarantine.note_finished(self.request, now=now)
        )
