"""Decision whether and when a failed attempt is retried."""

import random
from collections import OrderedDict
from dataclasses import dataclass

from thornlatch.exceptions import ErrorKind, Execution, RequestRefused
from thornlatch.requests._settings import RequestsSettings

NAMES_LIMIT = 20_000


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """State of a request after a failed attempt.

    Parameters
    ----------
    organisation : str
    target : str
        Target of the attempt; empty if none was chosen.
    attempt : int
        Number of the failed attempt, from 1.
    is_idempotent : bool
    may_have_run : bool
        Whether a target may have received a byte in this attempt.
    may_have_run_earlier : bool
        Whether a target may have received a byte in an earlier attempt.
    deadline : float
        Monotonic time.
    """

    organisation: str
    target: str
    attempt: int
    is_idempotent: bool
    may_have_run: bool
    may_have_run_earlier: bool = False
    deadline: float = float("inf")


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """Retry after a delay in seconds."""

    delay_s: float


class RetryBudget:
    """Limits retries to a ratio of the requests, separately for each name.

    Parameters
    ----------
    ratio : float
        Retries earned by each request.
    burst : float
        Limit of the retries that a name can accumulate; new names start with it.
    """

    def __init__(self, *, ratio: float, burst: float) -> None:
        self.ratio = ratio
        self.burst = burst
        self.levels: OrderedDict[str, float] = OrderedDict()

    def note_request(self, name: str) -> None:
        """Credit a name with `ratio` of a retry."""
        self._set(name, min(self.get_level(name) + self.ratio, self.burst))

    def get_level(self, name: str) -> float:
        """Return the retries that are available to `name`."""
        return self.levels.get(name, self.burst)

    def spend(self, name: str) -> None:
        """Use one retry."""
        self._set(name, self.get_level(name) - 1)

    def _set(self, name: str, level: float) -> None:
        self.levels[name] = level
        self.levels.move_to_end(name)
        if len(self.levels) > NAMES_LIMIT:
            self.levels.popitem(last=False)


class RetryPolicy:
    """Retries requests that did not run or are idempotent, within budgets.

    Parameters
    ----------
    settings : RequestsSettings
    rng : random.Random
        Source of the jitter.
    """

    def __init__(self, settings: RequestsSettings, *, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.organisations = self._make_budget()
        self.targets = self._make_budget()

    def note_attempt(self, organisation: str, target: str, *, is_first: bool) -> None:
        """Record an attempt that is about to be sent.

        Targets earn retries by all attempts, so that a target that receives only
        retries of requests that failed on other targets can still be retried.
        """
        if is_first:
            self.organisations.note_request(organisation)
        self.targets.note_request(target)

    def decide(
        self, failure: AttemptFailed, *, now: float
    ) -> RetryAfter | RequestRefused:
        """Decide whether a failed attempt is retried.

        Parameters
        ----------
        failure : AttemptFailed
        now : float

        Returns
        -------
        RetryAfter or RequestRefused
            The refusal says "not run" only if no target received a byte.
        """
        if failure.may_have_run and not failure.is_idempotent:
            return RequestRefused(
                ErrorKind.OUTCOME_UNKNOWN,
                "the target failed after the call was sent; it may have run",
            )
        delay = self._draw_delay(failure.attempt)
        if failure.attempt >= self.settings.attempts_limit:
            return self._make_refusal(failure, "all attempts failed")
        if now + delay >= failure.deadline:
            return self._make_refusal(failure, "no time is left for another attempt")
        if not self._spend_budgets(failure):
            return self._make_refusal(failure, "the retry budget is exhausted")
        return RetryAfter(delay)

    def _spend_budgets(self, failure: AttemptFailed) -> bool:
        budgets = [(self.organisations, failure.organisation)]
        if failure.target:
            budgets.append((self.targets, failure.target))
        if any(budget.get_level(name) < 1 for budget, name in budgets):
            return False
        for budget, name in budgets:
            budget.spend(name)
        return True

    def _draw_delay(self, attempt: int) -> float:
        # Full jitter: the delay is uniform below a limit that doubles.
        limit = 2 * self.settings.retry_base_s * 2.0 ** min(attempt - 1, 30)
        return self.rng.uniform(0, min(limit, self.settings.retry_delay_limit_s))

    def _make_refusal(self, failure: AttemptFailed, reason: str) -> RequestRefused:
        may_have_run = failure.may_have_run or failure.may_have_run_earlier
        return RequestRefused(
            ErrorKind.TARGET_FAILED,
            f"attempt {failure.attempt} failed; {reason}",
            retry_after_s=self.settings.retry_delay_limit_s,
            execution=Execution.OUTCOME_UNKNOWN if may_have_run else Execution.NOT_RUN,
        )

    def _make_budget(self) -> RetryBudget:
        return RetryBudget(
            ratio=self.settings.retry_ratio, burst=self.settings.retry_burst
        )
