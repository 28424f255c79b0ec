"""State of stream ``claims``, folded identically by every host that reads it.

A key belongs to the first claim in log order. Only a release by the claimer or the
expiry frees it, and both follow from the log alone, so hosts can't disagree.
Not thread-safe; the control thread owns it.
"""

import heapq
import sys
from collections import deque
from dataclasses import dataclass, replace

from thornlatch.core import get_host_name
from thornlatch.requests._claim_records import (
    Claimed,
    Claims,
    Completed,
    RecordedAnswer,
)

ClaimKey = tuple[str, str]


@dataclass(slots=True)
class ClaimEntry:
    """State of the claim that holds a key.

    Parameters
    ----------
    claim : str
    host : str
        Host id of the claimer.
    body_digest : str
    expires_at : float
        Wall time.
    answer : RecordedAnswer or None
    is_unresolved : bool
        Whether the outcome of the call is unknown.
    """

    claim: str
    host: str
    body_digest: str
    expires_at: float
    answer: RecordedAnswer | None = None
    is_unresolved: bool = False


class ClaimFold:
    """Folds stream ``claims``.

    Parameters
    ----------
    clock_skew_s : float
        Seconds added to each expiry.
    answers_limit_bytes : int
        Limit of the bytes of recorded bodies; the oldest are dropped first.
    """

    def __init__(self, *, clock_skew_s: float, answers_limit_bytes: int) -> None:
        self.clock_skew_s = clock_skew_s
        self.answers_limit_bytes = answers_limit_bytes
        self.host_times: list[tuple[float, str]] = []
        self.entries: dict[ClaimKey, ClaimEntry] = {}
        self.keys_by_claim: dict[str, ClaimKey] = {}
        self.expiries: list[tuple[float, str]] = []
        self.answered_claims: deque[str] = deque()
        self.bodies_size_bytes = 0

    @property
    def clock(self) -> float:
        """Wall time that the clocks of at least two hosts have passed.

        It is the second highest of the latest times that the hosts have written, so
        that a single fast clock doesn't make all hosts forget claims too early. Host
        ids of the same name count as one host, as they share a clock.
        """
        return self.host_times[1][0] if len(self.host_times) > 1 else float("-inf")

    def find(self, claim: str) -> ClaimEntry | None:
        """Return the entry of a claim that holds its key."""
        key = self.keys_by_claim.get(claim)
        return self.entries.get(key) if key is not None else None

    def has_room(self, limit: int, *, wall_time: float) -> bool:
        """Return whether another claim fits, once expired ones are removed."""
        if len(self.entries) < limit:
            return True
        return self.expiries[0][0] + self.clock_skew_s <= wall_time

    def apply(self, batch: Claims) -> set[ClaimKey]:
        """Apply one record.

        Returns
        -------
        set of (str, str)
            Organisation and idempotency key of each new or changed claim.
        """
        changed_keys: set[ClaimKey | None] = set()
        for answered in batch.completed:
            changed_keys.add(self.complete(answered, host=batch.host))
        for unresolved in batch.unresolved:
            changed_keys.add(self.mark_unresolved(unresolved.claim, host=batch.host))
        for released in batch.released:
            changed_keys.add(self.release(released.claim, host=batch.host))
        if batch.claims:
            self._advance(max(item.claimed_at for item in batch.claims), batch.host)
        for claimed in batch.claims:
            self._claim(claimed, batch.host)
            changed_keys.add((claimed.organisation, claimed.key))
        return {key for key in changed_keys if key is not None}

    def complete(self, item: Completed, *, host: str) -> ClaimKey | None:
        """Record the answer to a claimed call."""
        entry = self._find_own(item.claim, host)
        if entry is None or entry.answer is not None:
            return None
        entry.answer = item.answer
        self.bodies_size_bytes += len(item.answer.body)
        self.answered_claims.append(entry.claim)
        self._drop_bodies()
        return self.keys_by_claim[item.claim]

    def mark_unresolved(self, claim: str, *, host: str) -> ClaimKey | None:
        """Record that the outcome of a claimed call is unknown."""
        entry = self._find_own(claim, host)
        if entry is None:
            return None
        entry.is_unresolved = True
        return self.keys_by_claim[claim]

    def release(self, claim: str, *, host: str) -> ClaimKey | None:
        """Free the key of a claim whose call was not run."""
        entry = self._find_own(claim, host)
        if entry is None or entry.answer is not None or entry.is_unresolved:
            return None
        key = self.keys_by_claim.pop(claim)
        del self.entries[key]
        return key

    def _claim(self, item: Claimed, host: str) -> None:
        key = (sys.intern(item.organisation), item.key)
        if key in self.entries:
            return
        # A claimer with a slow clock gets the whole repeat window, too.
        expires_at = item.expires_at + max(self.clock - item.claimed_at, 0.0)
        self.entries[key] = ClaimEntry(item.claim, host, item.body_digest, expires_at)
        self.keys_by_claim[item.claim] = key
        heapq.heappush(self.expiries, (expires_at, item.claim))

    def _find_own(self, claim: str, host: str) -> ClaimEntry | None:
        entry = self.find(claim)
        return entry if entry is not None and entry.host == host else None

    def _advance(self, wall_time: float, host: str) -> None:
        host_name = get_host_name(host)
        known = {name: time for time, name in self.host_times}
        known[host_name] = max(known.get(host_name, wall_time), wall_time)
        self.host_times = heapq.nlargest(
            2, ((time, name) for name, time in known.items())
        )
        clock = self.clock - self.clock_skew_s
        while self.expiries and self.expiries[0][0] <= clock:
            self._forget(heapq.heappop(self.expiries)[1])

    def _forget(self, claim: str) -> None:
        key = self.keys_by_claim.pop(claim, None)
        if key is None:
            return
        entry = self.entries.pop(key)
        if entry.answer is not None:
            self.bodies_size_bytes -= len(entry.answer.body)
        while (
            self.answered_claims and self.answered_claims[0] not in self.keys_by_claim
        ):
            self.answered_claims.popleft()

    def _drop_bodies(self) -> None:
        while self.bodies_size_bytes > self.answers_limit_bytes:
            entry = self.find(self.answered_claims.popleft())
            if entry is not None and entry.answer is not None and entry.answer.body:
                self.bodies_size_bytes -= len(entry.answer.body)
                entry.answer = replace(entry.answer, body=b"", is_whole=False)
