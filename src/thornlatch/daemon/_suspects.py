"""Admission of requests by the quarantine, which isolates those that crash targets."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from thornlatch.daemon._slice_client import SliceClient
from thornlatch.dispatch import Grant, Outcome, RequestSpec
from thornlatch.exceptions import RequestRefused
from thornlatch.requests import (
    Refuse,
    RunIsolated,
    RunNormally,
    make_fingerprint,
)

# Enough for the scheduler, where a collision only makes a request share another's
# target or wait.
FINGERPRINT_DIGITS = 16


@dataclass(frozen=True)
class Clearance:
    """Permission of the quarantine to send one attempt.

    Parameters
    ----------
    isolation_id : str
        Identifies an isolated run; empty for a normal one.
    excluded : tuple of str
        Targets that failed while they ran the request.
    """

    isolation_id: str = ""
    excluded: tuple[str, ...] = ()


@dataclass(frozen=True)
class Permit:
    """A grant and the clearance for its use.

    Parameters
    ----------
    grant : Grant
    isolation_id : str
        Identifies an isolated run; empty for a normal one.
    """

    grant: Grant
    isolation_id: str


class SuspectGate:
    """Obtains clearances and grants for the attempts of one request.

    Parameters
    ----------
    slice_client : SliceClient
    request : str
    organisation : str
    adapter_version : str
        For a plain service, the path of the request instead.
    pool : str
    body : bytes
    """

    def __init__(
        self,
        slice_client: SliceClient,
        *,
        request: str,
        organisation: str,
        adapter_version: str,
        pool: str,
        body: bytes,
    ) -> None:
        self.slice_client = slice_client
        self.request = request
        self.pool = pool
        self.fingerprint = make_fingerprint(organisation, adapter_version, body)
        self.isolation_count = 0
        self.excluded: tuple[str, ...] = ()

    def exclude(self, target: str) -> None:
        """Exclude a target from further attempts.

        Parameters
        ----------
        target : str
        """
        self.excluded = (*self.excluded, target)

    def acquire(
        self,
        begin_attempt: Callable[[], RequestSpec],
        adjust_refusal: Callable[[RequestRefused], RequestRefused],
    ) -> Permit:
        """Wait until an attempt may be sent to a target.

        Parameters
        ----------
        begin_attempt : callable
            Counts a new attempt and returns its specification.
        adjust_refusal : callable
            Returns a scheduler's refusal with its execution adjusted to what earlier
            attempts may have done.

        Returns
        -------
        Permit

        Raises
        ------
        RequestRefused
            If no attempt may be sent in time.
        """
        while True:
            clearance = self.wait_for_clearance()
            spec = self._complete_spec(begin_attempt(), clearance)
            try:
                grant = self.slice_client.acquire_grant(spec)
            except RequestRefused as error:
                self.release_unused(clearance)
                raise adjust_refusal(error) from error
            if clearance.isolation_id or not self.is_suspect():
                return Permit(grant, clearance.isolation_id)
            # A duplicate crashed its target while this request waited for the grant.
            self.slice_client.release_grant(
                grant, outcome=Outcome.UNUSED, tokens=0.0, first_token_s=None
            )

    def is_suspect(self) -> bool:
        """Return whether the request must not run alongside others now."""
        check_result = self.slice_client.check_quarantine(self.fingerprint)
        return not isinstance(check_result, RunNormally)

    def _complete_spec(self, spec: RequestSpec, clearance: Clearance) -> RequestSpec:
        return replace(
            spec,
            excluded=tuple(dict.fromkeys((*self.excluded, *clearance.excluded))),
            fingerprint=self.fingerprint[:FINGERPRINT_DIGITS],
            is_isolated=bool(clearance.isolation_id),
        )

    def wait_for_clearance(self) -> Clearance:
        """Wait until the quarantine lets the request be sent.

        Returns
        -------
        Clearance

        Raises
        ------
        RequestRefused
            If the request crashed two targets or can't be isolated in time.
        """
        check_result = self.slice_client.check_quarantine(self.fingerprint)
        if isinstance(check_result, Refuse):
            raise check_result.refusal
        if isinstance(check_result, RunNormally):
            return Clearance()
        self.isolation_count += 1
        ticket = f"{self.request}/suspect-{self.isolation_count}"
        decision = self.slice_client.wait_for_isolation(
            ticket, self.fingerprint, self.pool
        )
        if isinstance(decision, RunIsolated):
            return Clearance(decision.isolation_id, decision.excluded)
        return Clearance()

    def release_unused(self, clearance: Clearance) -> None:
        """Release a clearance under which no byte was sent.

        Parameters
        ----------
        clearance : Clearance
        """
        if clearance.isolation_id:
            self.slice_client.submit(
                lambda now: self.slice_client.host_slices.quarantine.release_isolation(
                    clearance.isolation_id, self.fingerprint, now=now
                )
            )

    def note_started(self, target: str, isolation_id: str) -> None:
        """Note that an attempt is about to be sent.

        Parameters
        ----------
        target : str
        isolation_id : str
        """
        quarantine = self.slice_client.host_slices.quarantine

        def start(now: float) -> None:
            quarantine.note_started(
                self.request,
                self.fingerprint,
                target=target,
                now=now,
                isolation_id=isolation_id,
            )

        self.slice_client.run(start)

    def note_ended(self, grant: Grant, outcome: Outcome, *, is_sent: bool) -> None:
        """Note the end of an attempt, and the target's failure if it failed.

        Parameters
        ----------
        grant : Grant
        outcome : Outcome
        is_sent : bool
            Whether the target may have received a byte; if not, its failure doesn't
            make the request suspect.
        """
        quarantine = self.slice_client.host_slices.quarantine
        if not is_sent:
            self.slice_client.submit(
                lambda now: quarantine.note_unsent(self.request, now=now)
            )
        is_suspicious = outcome in (Outcome.UNKNOWN, Outcome.FAILED)
        if is_suspicious and self.slice_client.has_target_failed(grant):
            self.slice_client.report_target_failure(grant)
            return
        self.slice_client.submit(
            lambda now: quarantine.note_finished(self.request, now=now)
        )
