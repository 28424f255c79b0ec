"""The fold of stream ``quarantine``: suspects, queues for isolation, refusals.

Turns follow the order of the log, so that hosts agree on who runs a suspect alone.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from thornlatch.requests._quarantine_records import (
    IsolationAsked,
    IsolationEnded,
    IsolationOutcome,
    QuarantineRecord,
    Suspected,
)
from thornlatch.requests._settings import QuarantineSettings


@dataclass(slots=True)
class Suspect:
    """A request that ran on targets which died."""

    targets: tuple[str, ...]
    expires_at: float


@dataclass(frozen=True, slots=True)
class Ask:
    """A place in the queue for isolated runs."""

    host: str
    fingerprint: str
    pool: str


class QuarantineFold:
    """Folds stream ``quarantine``.

    Parameters
    ----------
    settings : QuarantineSettings
    """

    def __init__(self, settings: QuarantineSettings) -> None:
        self.settings = settings
        self.suspects: OrderedDict[str, Suspect] = OrderedDict()
        self.refused: OrderedDict[str, float] = OrderedDict()
        self.asks: dict[str, Ask] = {}

    def apply(self, record: QuarantineRecord, *, now: float) -> None:
        """Apply one record."""
        for suspected in record.suspected:
            self.suspect(suspected, now=now)
        for asked in record.asked:
            self._ask(asked, record.host)
        for ended in record.ended:
            self.end(ended, now=now)
        for cleared in record.cleared:
            self.clear(cleared.fingerprint)

    def suspect(self, item: Suspected, *, now: float) -> None:
        """Note that a target died under a request."""
        known = self.suspects.pop(item.fingerprint, None)
        targets = known.targets if known else ()
        if item.target not in targets:
            targets += (item.target,)
        expires_at = now + self.settings.suspect_s
        self.suspects[item.fingerprint] = Suspect(targets, expires_at)
        _trim(self.suspects, self.settings.entries_limit)

    def end(self, item: IsolationEnded, *, now: float) -> None:
        """Apply the outcome of an isolated run."""
        if item.outcome is IsolationOutcome.CRASHED:
            self.refuse(item.fingerprint, now=now)
        elif item.outcome is IsolationOutcome.CLEARED:
            self.clear(item.fingerprint)
        self.asks.pop(item.ask, None)

    def refuse(self, fingerprint: str, *, now: float) -> None:
        """Refuse a request for good.

        Those that were beside it stay suspect: two crashing requests may have shared
        the target.
        """
        self.clear(fingerprint)
        self.refused[fingerprint] = now + self.settings.refused_s
        self.refused.move_to_end(fingerprint)
        _trim(self.refused, self.settings.entries_limit)

    def clear(self, fingerprint: str) -> None:
        """Forget a suspect and all who wait to run it alone."""
        self.suspects.pop(fingerprint, None)
        waiting = [
            isolation_id
            for isolation_id, one in self.asks.items()
            if one.fingerprint == fingerprint
        ]
        for isolation_id in waiting:
            del self.asks[isolation_id]

    def has_turn(self, isolation_id: str) -> bool:
        """Return whether the queue has come to `isolation_id`."""
        mine = self.asks.get(isolation_id)
        if mine is None:
            return False
        running: dict[str, str] = {}
        for name, other in self.asks.items():
            if other.pool == mine.pool:
                running.setdefault(other.fingerprint, name)
            if len(running) > self.settings.isolated_per_pool:
                return False
            if name == isolation_id:
                return running[mine.fingerprint] == isolation_id
        return False

    def iter_ahead(self, isolation_id: str) -> Iterable[tuple[str, Ask]]:
        """Iterate over the places ahead of `isolation_id` in the queue of its pool."""
        mine = self.asks.get(isolation_id)
        for name, other in list(self.asks.items()):
            if mine is None or name == isolation_id:
                return
            if other.pool == mine.pool:
                yield name, other

    def expire(self, *, now: float) -> None:
        """Forget what is too old; whoever waits for a run keeps its suspect."""
        waiting = {ask.fingerprint for ask in self.asks.values()}
        for fingerprint, suspect in list(self.suspects.items()):
            if suspect.expires_at <= now and fingerprint not in waiting:
                del self.suspects[fingerprint]
        for fingerprint, expires_at in list(self.refused.items()):
            if expires_at > now:
                break
            del self.refused[fingerprint]

    def _ask(self, item: IsolationAsked, host: str) -> None:
        if item.fingerprint in self.suspects:
            self.asks[item.ask] = Ask(host, item.fingerprint, item.pool)


def _trim(entries: OrderedDict, limit: int) -> None:
    while len(entries) > limit:
        entries.popitem(last=False)
