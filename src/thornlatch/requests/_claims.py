"""At-most-once execution of non-idempotent calls by claims on the log.

A call is sent only after its claim was read back as the first one for its key.
Not thread-safe; the control thread owns the table.
"""

import math
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from thornlatch.core import Action, Append, Emit, Event, LeaseReader, Resolve
from thornlatch.exceptions import RequestRefused
from thornlatch.requests import _idempotency as idempotency
from thornlatch.requests._claim_fold import ClaimEntry, ClaimFold, ClaimKey
from thornlatch.requests._claim_records import (
    Claimed,
    ClaimItem,
    Claims,
    ClaimWon,
    Completed,
    RecordedAnswer,
    Released,
    Unresolved,
    build_claims,
)
from thornlatch.requests._departed_hosts import DepartedHosts
from thornlatch.requests._outbox import Outbox
from thornlatch.requests._settings import RequestsSettings
from thornlatch.requests._waiters import Waiter, Waiters

STREAM = "claims"


class ClaimState(Enum):
    """State of a claim that this host made."""

    PENDING = auto()
    WON = auto()
    SENDING = auto()
    ENDED = auto()


@dataclass
class OwnClaim:
    """A claim that this host made; removed when its outcome was read back."""

    record: Claimed
    send_before: float
    state: ClaimState = ClaimState.PENDING


class ClaimTable:
    """Decides which host runs a non-idempotent call.

    Parameters
    ----------
    settings : RequestsSettings
    host : str
        Id of this host, unique for the life of the process.
    leases : LeaseReader
        Provides the members, to detect claimers that have departed.
    """

    def __init__(
        self, settings: RequestsSettings, *, host: str, leases: LeaseReader
    ) -> None:
        self.settings = settings
        self.host = host
        self.leases = leases
        self.fold = ClaimFold(
            clock_skew_s=settings.clock_skew_s,
            answers_limit_bytes=settings.answers_limit_bytes,
        )
        self.outbox: Outbox[ClaimItem] = Outbox(
            batch_s=settings.claim_batch_s,
            retry_s=settings.append_retry_s,
            retry_limit_s=settings.append_retry_limit_s,
            batch_items=settings.claim_batch_items,
            batch_bytes=settings.claim_batch_bytes,
        )
        self.own_claims: dict[str, OwnClaim] = {}
        self.pending_claims: dict[ClaimKey, str] = {}
        self.waiters = Waiters()
        self.departed_hosts = DepartedHosts(settings.gone_grace_s)
        self.departed_hosts.note_members(self._read_members())
        self.claim_count = 0
        self.unconfirmed_since: float | None = None

    @property
    def has_unwritten(self) -> bool:
        """Whether claims or outcomes were not read back from the log yet."""
        return len(self.outbox) > 0

    def claim(
        self,
        ticket: str,
        *,
        organisation: str,
        idempotency_key: str,
        body_digest: str,
        now: float,
        wall_time: float,
    ) -> list[Action]:
        """Request the right to run a call.

        The ticket resolves to `ClaimWon`, `RecordedAnswer` or `RequestRefused`.

        Parameters
        ----------
        ticket : str
            Request id, unique at this host.
        organisation : str
        idempotency_key : str
        body_digest : str
            Hexadecimal SHA-256 of method, path and body.
        now : float
            Monotonic seconds.
        wall_time : float
            Seconds since the epoch.
        """
        key = (organisation, idempotency_key)
        refusal = self._find_refusal(key, now=now, wall_time=wall_time)
        if refusal is not None:
            return [Resolve(ticket, refusal)]
        waiter = Waiter(
            ticket, key, body_digest, wall_time - now, now + self.settings.wait_s
        )
        self.waiters.add(waiter)
        return self._settle(key, now=now)

    def cancel(self, ticket: str, *, now: float) -> list[Action]:
        """Cancel a waiting request whose caller has disconnected.

        After `ClaimWon` the request calls `abandon` instead.
        """
        waiter = self.waiters.remove(ticket)
        if waiter is None or waiter.key in self.waiters:
            return []
        claim = self.pending_claims.get(waiter.key)
        return self._withdraw(claim, now=now) if claim is not None else []

    def begin(self, claim: str, *, now: float) -> bool:
        """Take the one permission to send; call directly before the first byte.

        Returns
        -------
        bool
            False if the call must not be sent, or not any more.
        """
        own = self.own_claims.get(claim)
        if own is None or own.state is not ClaimState.WON or now >= own.send_before:
            return False
        own.state = ClaimState.SENDING
        return True

    def return_unsent(self, claim: str) -> None:
        """Return the permission to send, as no target received a byte."""
        own = self.own_claims.get(claim)
        if own is not None and own.state is ClaimState.SENDING:
            own.state = ClaimState.WON

    def complete(
        self,
        claim: str,
        *,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        now: float,
    ) -> list[Action]:
        """Record the answer to a claimed call, for repeats.

        Parameters
        ----------
        claim : str
        status : int
            HTTP status.
        headers : tuple of (str, str)
        body : bytes
            Complete body as the caller received it.
        now : float
        """
        if not self._mark_ended(claim):
            return []
        room = self.settings.outbox_limit_bytes - self.outbox.size
        limit = max(min(self.settings.answer_limit_bytes, room), 0)
        answer = idempotency.record_answer(status, headers, body, limit_bytes=limit)
        item = Completed(claim, answer)
        self.outbox.put(_outcome_key(claim), item, now=now, size=len(answer.body))
        key = self.fold.complete(item, host=self.host)
        return self._emit(claim, "requests.claim_completed") + self._settle_if_changed(
            key, now=now
        )

    def abandon(
        self, claim: str, *, is_certain_not_run: bool, now: float
    ) -> list[Action]:
        """End a claim without an answer.

        Parameters
        ----------
        claim : str
        is_certain_not_run : bool
            Whether no target received a byte of the call; a repeat may then run.
        now : float
        """
        own = self.own_claims.get(claim)
        if own is None or not self._mark_ended(claim):
            return []
        if is_certain_not_run:
            return self._release(own.record, now=now)
        self.outbox.put(_outcome_key(claim), Unresolved(claim), now=now)
        key = self.fold.mark_unresolved(claim, host=self.host)
        return self._emit(claim, "requests.claim_unresolved") + self._settle_if_changed(
            key, now=now
        )

    def handle(self, message: Any, *, sender: str, now: float) -> list[Action]:
        """Ignore messages; claims are exchanged on the log only."""
        return []

    def handles(self, kind: type) -> bool:
        """Return False; claims are exchanged on the log only."""
        return False

    def apply_record(self, offset: int, record: Any, *, now: float) -> list[Action]:
        """Apply a record of stream ``claims``."""
        if not isinstance(record, Claims):
            return []
        changed_keys = self.fold.apply(record)
        actions: list[Action] = []
        if record.host == self.host:
            self.unconfirmed_since = None
            actions += self._read_back(record, now=now)
        for key in sorted(changed_keys):
            actions += self._settle_if_changed(key, now=now)
        return actions

    def tick(self, *, now: float) -> list[Action]:
        """Append due items, withdraw late claims and resolve late repeats."""
        members = self._read_members()
        self.departed_hosts.note_members(members)
        actions = self._expire(now=now)
        interval = len(members) / self.settings.appends_per_s
        items = self.outbox.take(now=now, interval_s=interval)
        if items:
            self.unconfirmed_since = (
                now if self.unconfirmed_since is None else self.unconfirmed_since
            )
            actions.append(Append(STREAM, build_claims(self.host, items)))
        return actions

    def next_due(self, *, now: float) -> float:
        """Return `now` while a claim or an append is open."""
        is_open = self.pending_claims or self.outbox.entries or self.waiters.get_keys()
        return now if is_open else math.inf

    def _find_refusal(
        self, key: ClaimKey, *, now: float, wall_time: float
    ) -> RequestRefused | None:
        settings = self.settings
        if not idempotency.is_valid_key(key[1]):
            return idempotency.refuse_key(
                "the Idempotency-Key is empty, over 255 characters long or unprintable"
            )
        if len(self.waiters) >= settings.pending_limit:
            return idempotency.refuse_busy(settings.claim_timeout_s)
        if key in self.fold.entries or key in self.pending_claims:
            return None
        made_at = idempotency.get_key_time(key[1])
        if made_at is None and settings.refuses_undated_keys:
            return idempotency.refuse_key(
                "the Idempotency-Key is not a UUID of version 7"
            )
        # The claim is applied after this check, by folds whose clock may be ahead.
        margin = settings.clock_skew_s + settings.claim_timeout_s
        wall_time = max(wall_time, self.fold.clock)
        if made_at is not None and (
            wall_time >= made_at + settings.repeat_window_s - margin
        ):
            return idempotency.refuse_old()
        if self._is_log_silent(now=now):
            return idempotency.refuse_log(settings.append_retry_limit_s)
        if not self.fold.has_room(settings.claims_limit, wall_time=wall_time):
            return idempotency.refuse_busy(settings.append_retry_limit_s)
        return None

    def _is_log_silent(self, *, now: float) -> bool:
        since = self.unconfirmed_since
        return since is not None and now - since >= self.settings.claim_timeout_s

    def _settle(self, key: ClaimKey, *, now: float) -> list[Action]:
        """Resolve the waiters of a key, or claim it for the first of them."""
        entry = self.fold.entries.get(key)
        if entry is not None:
            return self._settle_by_entry(key, entry, now=now)
        if key in self.waiters and key not in self.pending_claims:
            self._make_claim(self.waiters.get(key)[0], now=now)
        return []

    def _settle_by_entry(
        self, key: ClaimKey, entry: ClaimEntry, *, now: float
    ) -> list[Action]:
        actions: list[Action] = []
        for waiter in self.waiters.get(key):
            value = self._get_outcome(entry, waiter, now=now)
            if value is not None:
                actions += self._resolve(waiter, value)
        return actions

    def _get_outcome(self, entry: ClaimEntry, waiter: Waiter, *, now: float) -> Any:
        if entry.body_digest != waiter.body_digest:
            return idempotency.refuse_conflict()
        if entry.answer is not None:
            is_whole = entry.answer.is_whole
            return entry.answer if is_whole else idempotency.refuse_large(entry.answer)
        if entry.is_unresolved or self.departed_hosts.has_departed(entry.host, now=now):
            return idempotency.refuse_unknown()
        if now >= waiter.deadline:
            return idempotency.refuse_running(self.settings.wait_s)
        return None

    def _read_members(self) -> set[str]:
        return {self.host, *(member.host for member in self.leases.iter_members())}

    def _make_claim(self, waiter: Waiter, *, now: float) -> None:
        self.claim_count += 1
        claim = f"{self.host}/{self.claim_count}"
        wall_time = now + waiter.wall_offset
        record = Claimed(
            claim,
            *waiter.key,
            waiter.body_digest,
            claimed_at=wall_time,
            expires_at=wall_time + self.settings.repeat_window_s,
        )
        send_before = now + self.settings.claim_timeout_s + self.settings.send_timeout_s
        self.own_claims[claim] = OwnClaim(record, send_before)
        self.pending_claims[waiter.key] = claim
        self.outbox.put(claim, record, now=now)

    def _read_back(self, batch: Claims, *, now: float) -> list[Action]:
        actions: list[Action] = []
        for claim in batch.get_ended():
            self.outbox.remove(_outcome_key(claim))
            self.own_claims.pop(claim, None)
        for record in batch.claims:
            self.outbox.remove(record.claim)
            actions += self._decide(record, now=now)
        return actions

    def _decide(self, record: Claimed, *, now: float) -> list[Action]:
        own = self.own_claims.get(record.claim)
        if own is None:
            return self._release_duplicate(record, now=now)
        if own.state is not ClaimState.PENDING:
            return []
        key = (record.organisation, record.key)
        self.pending_claims.pop(key, None)
        entry = self.fold.find(record.claim)
        if entry is None:
            del self.own_claims[record.claim]
            return self._emit(record.claim, "requests.claim_lost", record=record)
        own.state = ClaimState.WON
        winner = next(
            (
                waiter
                for waiter in self.waiters.get(key)
                if self._matches_body(waiter, record)
            ),
            None,
        )
        if winner is None:
            return self.abandon(record.claim, is_certain_not_run=True, now=now)
        won = self._resolve(winner, ClaimWon(record.claim, own.send_before))
        won_event = self._emit(
            record.claim, "requests.claim_won", request=winner.ticket
        )
        return won_event + won

    def _release_duplicate(self, record: Claimed, *, now: float) -> list[Action]:
        # This host forgets claims that lost or were released. A late duplicate of such
        # an append may still be the first claim in the log, but nobody would run it.
        entry = self.fold.find(record.claim)
        if entry is None or entry.answer is not None or entry.is_unresolved:
            return []
        return self._release(record, now=now)

    @staticmethod
    def _matches_body(waiter: Waiter, record: Claimed) -> bool:
        return waiter.body_digest == record.body_digest

    def _withdraw(self, claim: str, *, now: float) -> list[Action]:
        own = self.own_claims[claim]
        self.pending_claims.pop((own.record.organisation, own.record.key), None)
        own.state = ClaimState.ENDED
        if not self.outbox.remove(claim):
            del self.own_claims[claim]
            return []
        return self._release(own.record, now=now)

    def _release(self, record: Claimed, *, now: float) -> list[Action]:
        # The release frees the key only when it is read back: until then another host's
        # claim may precede it in the log.
        self.outbox.put(_outcome_key(record.claim), Released(record.claim), now=now)
        return self._emit(record.claim, "requests.claim_released", record=record)

    def _mark_ended(self, claim: str) -> bool:
        own = self.own_claims.get(claim)
        if own is None or own.state not in (ClaimState.WON, ClaimState.SENDING):
            return False
        own.state = ClaimState.ENDED
        return True

    def _settle_if_changed(self, key: ClaimKey | None, *, now: float) -> list[Action]:
        return [] if key is None else self._settle(key, now=now)

    def _expire(self, *, now: float) -> list[Action]:
        actions: list[Action] = []
        cutoff = now - self.settings.claim_timeout_s
        for key, claim in list(self.pending_claims.items()):
            entry = self.outbox.entries.get(claim)
            if entry is None or entry.queued_at > cutoff:
                continue
            actions += self._withdraw(claim, now=now)
            for waiter in self.waiters.get(key):
                refusal = idempotency.refuse_log(self.settings.append_retry_limit_s)
                actions += self._resolve(waiter, refusal)
        for key in self.waiters.get_keys():
            if key in self.pending_claims:
                continue
            actions += self._settle(key, now=now)
        return actions

    def _resolve(self, waiter: Waiter, value: Any) -> list[Action]:
        self.waiters.remove(waiter.ticket)
        actions: list[Action] = [Resolve(waiter.ticket, value)]
        if isinstance(value, RecordedAnswer):
            event = Event(
                "requests.answer_repeated",
                request=waiter.ticket,
                organisation=waiter.key[0],
            )
            actions.append(Emit(event))
        return actions

    def _emit(
        self,
        claim: str,
        name: str,
        *,
        record: Claimed | None = None,
        request: str = "",
    ) -> list[Action]:
        own = self.own_claims.get(claim)
        record = record or (own.record if own else None)
        organisation = record.organisation if record else ""
        event = Event(
            name, request=request, organisation=organisation, detail={"claim": claim}
        )
        return [Emit(event)]


def _outcome_key(claim: str) -> str:
    return claim + "/outcome"
