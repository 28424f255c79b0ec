"""State of stream ``quarantine``: suspects, isolation queue and refused requests.

Isolated runs are granted in the order of the log, so that all hosts agree on them.
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
    """A request that ran on targets that failed."""

    targets: tuple[str, ...]
    expires_at: float


@dataclass(frozen=True, slots=True)
class IsolationRequest:
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
        self.isolation_queue: dict[str, IsolationRequest] = {}

    def apply(self, record: QuarantineRecord, *, now: float) -> None:
        """Apply one record."""
        for suspected in record.suspected:
            self.suspect(suspected, now=now)
        for asked in record.asked:
            self._apply_request(asked, record.host)
        for ended in record.ended:
            self.end(ended, now=now)
        for cleared in record.cleared:
            self.clear(cleared.fingerprint)

    def suspect(self, item: Suspected, *, now: float) -> None:
        """Record that a target failed while it ran a request."""
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
        self.isolation_queue.pop(item.ask, None)

    def refuse(self, fingerprint: str, *, now: float) -> None:
        """Refuse a request for `refused_s`; it is no longer suspect.

        Other suspects of the same target stay suspect, as two crashing requests may
        have run on it.
        """
        self.clear(fingerprint)
        self.refused[fingerprint] = now + self.settings.refused_s
        self.refused.move_to_end(fingerprint)
        _trim(self.refused, self.settings.entries_limit)

    def clear(self, fingerprint: str) -> None:
        """Remove a suspect and its requests for isolated runs."""
        self.suspects.pop(fingerprint, None)
        waiting = [
            isolation_id
            for isolation_id, request in self.isolation_queue.items()
            if request.fingerprint == fingerprint
        ]
        for isolation_id in waiting:
            del self.isolation_queue[isolation_id]

    def is_granted(self, isolation_id: str) -> bool:
        """Return whether the isolated run `isolation_id` may start."""
        request = self.isolation_queue.get(isolation_id)
        if request is None:
            return False
        granted_ids: dict[str, str] = {}
        for queued_id, other in self.isolation_queue.items():
            if other.pool == request.pool:
                granted_ids.setdefault(other.fingerprint, queued_id)
            if len(granted_ids) > self.settings.isolated_per_pool:
                return False
            if queued_id == isolation_id:
                return granted_ids[request.fingerprint] == isolation_id
        return False

    def iter_ahead(self, isolation_id: str) -> Iterable[tuple[str, IsolationRequest]]:
        """Iterate over the requests before `isolation_id` in the queue of its pool."""
        request = self.isolation_queue.get(isolation_id)
        for queued_id, other in list(self.isolation_queue.items()):
            if request is None or queued_id == isolation_id:
                return
            if other.pool == request.pool:
                yield queued_id, other

    def expire(self, *, now: float) -> None:
        """Remove expired entries, except suspects with a queued isolated run."""
        waiting = {request.fingerprint for request in self.isolation_queue.values()}
        for fingerprint, suspect in list(self.suspects.items()):
            if suspect.expires_at <= now and fingerprint not in waiting:
                del self.suspects[fingerprint]
        for fingerprint, expires_at in list(self.refused.items()):
            if expires_at > now:
                break
            del self.refused[fingerprint]

    def _apply_request(self, item: IsolationAsked, host: str) -> None:
        if item.fingerprint in self.suspects:
            self.isolation_queue[item.ask] = IsolationRequest(
                host, item.fingerprint, item.pool
            )


def _trim(entries: OrderedDict, limit: int) -> None:
    while len(entries) > limit:
        entries.popitem(last=False)
