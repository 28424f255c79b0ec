"""Failures of targets, held back until a loss of the whole failure domain is known."""

from dataclasses import dataclass

DOMAIN_LOSS_RATIO = 0.75


@dataclass(frozen=True, slots=True)
class RunningRequest:
    """A request in flight on a target; `isolation_id` is set for an isolated run."""

    request: str
    fingerprint: str
    target: str
    isolation_id: str
    started_at: float


@dataclass(frozen=True, slots=True)
class TargetFailure:
    """A target's failure and the requests of this host that ran on it."""

    target: str
    failure_domain: str
    domain_targets: int
    failed_at: float
    running: tuple[RunningRequest, ...]

    @property
    def fingerprints(self) -> set[str]:
        """Fingerprints of the requests that ran on the target."""
        return {request.fingerprint for request in self.running}


class TargetFailures:
    """Holds failures until they can be distinguished from the loss of a domain.

    Parameters
    ----------
    window_s : float
        Seconds within which the targets of a lost domain fail.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.waiting: list[TargetFailure] = []
        self.judged: list[TargetFailure] = []

    def add(self, failure: TargetFailure) -> None:
        """Add a failure; failures are added in the order of their times."""
        self.waiting.append(failure)

    def is_judging(self, fingerprint: str) -> bool:
        """Return whether a failure that affected the request is not judged yet."""
        return any(fingerprint in failure.fingerprints for failure in self.waiting)

    def take_due(self, *, now: float) -> list[TargetFailure]:
        """Remove and return the failures that are due to be judged."""
        due = [
            failure
            for failure in self.waiting
            if failure.failed_at + self.window_s <= now
        ]
        self.waiting = self.waiting[len(due) :]
        cutoff = now - 2 * self.window_s
        self.judged = [
            failure for failure in self.judged if failure.failed_at > cutoff
        ] + due
        return due

    def find_domain_loss(self, failure: TargetFailure) -> list[TargetFailure]:
        """Return the other failures of the domain if it was lost, else none."""
        related = [
            other
            for other in self.judged + self.waiting
            if self._is_related(failure, other)
        ]
        failed_targets = len({other.target for other in related}) + 1
        # A single failure is no loss of a domain, however few targets it has.
        is_domain_lost = (
            failed_targets > 1
            and failed_targets >= DOMAIN_LOSS_RATIO * failure.domain_targets
        )
        return related if is_domain_lost else []

    def _is_related(self, failure: TargetFailure, other: TargetFailure) -> bool:
        return (
            other.target != failure.target
            and other.failure_domain == failure.failure_domain
            and abs(other.failed_at - failure.failed_at) <= self.window_s
        )
