"""Deaths of targets, judged when the loss of a failure domain would have shown."""

from dataclasses import dataclass

DOMAIN_LOSS_RATIO = 0.75


@dataclass(frozen=True, slots=True)
class Running:
    """A request in flight on a target; `isolation_id` is set for an isolated run."""

    request: str
    fingerprint: str
    target: str
    isolation_id: str
    started_at: float


@dataclass(frozen=True, slots=True)
class Death:
    """A target's death and what ran on it at this host."""

    target: str
    failure_domain: str
    domain_targets: int
    at: float
    running: tuple[Running, ...]

    @property
    def fingerprints(self) -> set[str]:
        """Fingerprints that were in flight."""
        return {one.fingerprint for one in self.running}


class Deaths:
    """Holds deaths until they can be told from the loss of a domain.

    Parameters
    ----------
    window_s : float
        Seconds within which the deaths of a lost domain show.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.waiting: list[Death] = []
        self.judged: list[Death] = []

    def add(self, death: Death) -> None:
        """Add a death, later than those before."""
        self.waiting.append(death)

    def is_judging(self, fingerprint: str) -> bool:
        """Return whether a death under the request isn't judged yet."""
        return any(fingerprint in death.fingerprints for death in self.waiting)

    def take_due(self, *, now: float) -> list[Death]:
        """Return the deaths to be judged now."""
        due = [one for one in self.waiting if one.at + self.window_s <= now]
        self.waiting = self.waiting[len(due) :]
        kept = now - 2 * self.window_s
        self.judged = [one for one in self.judged if one.at > kept] + due
        return due

    def find_domain_loss(self, death: Death) -> list[Death]:
        """Return the other deaths if the whole failure domain was lost."""
        near = [one for one in self.judged + self.waiting if self._is_near(death, one)]
        died = len({one.target for one in near}) + 1
        # One death alone is no loss of a domain, however few targets it has.
        is_lost = died > 1 and died >= DOMAIN_LOSS_RATIO * death.domain_targets
        return near if is_lost else []

    def _is_near(self, death: Death, other: Death) -> bool:
        return (
            other.target != death.target
            and other.failure_domain == death.failure_domain
            and abs(other.at - death.at) <= self.window_s
        )
