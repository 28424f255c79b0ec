"""Claims non-idempotent calls on the log so that each runs at most once.

A call is sent only after its claim was read back as the first for its key. The table
is touched by the control thread alone.
"""

import math
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from thornlatch.core import Action, Append, Emit, Event, LeaseReader, Resolve
from thornlatch.exceptions import RequestRefused
from thornlatch.requests import _idempotency as idempotency
from thornlatch.requests._claim_fold import ClaimFold, ClaimKey, Entry
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
from thornlatch.requests._gone_hosts import GoneHosts
from thornlatch.requests._outbox import Outbox
from thornlatch.requests._settings import RequestsSettings
from thornlatch.requests._waiters import Waiter, Waiters

STREAM = "claims"


class OwnState(Enum):
    """State of a claim of this host."""

    PENDING = auto()
    WON = auto()
    SENDING = auto()
    ENDED = auto()


@dataclass
class OwnClaim:
    """A claim of this host; it is dropped when its outcome was read back."""

    record: Claimed
    send_before: float
    state: OwnState = OwnState.PENDING


class ClaimTable:
    """Decides which host runs a non-idempotent call.

    Parameters
    ----------
    settings : RequestsSettings
    host : str
        Id of this host, unique for the life of the process.
    leases : LeaseReader
        Tells which claimers are still members.
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
        self.own: dict[str, OwnClaim] = {}
        self.pending: dict[ClaimKey, str] = {}
        self.waiters = Waiters()
        self.gone_hosts = GoneHosts(settings.gone_grace_s)
        self.gone_hosts.note_members(self._read_members())
        self.made = 0
        self.unread_since: float | None = None

    @property
    def has_unwritten(self) -> bool:
        """Whether outcomes or claims still have to reach the log before a stop."""
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
        """Ask for the right to run a call.

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
        refusal = self._refuse(key, now=now, wall_time=wall_time)
        if refusal is not None:
            return [Resolve(ticket, refusal)]
        waiter = Waiter(
            ticket, key, body_digest, wall_time - now, now + self.settings.wait_s
        )
        self.waiters.add(waiter)
        return self._settle(key, now=now)

    def cancel(self, ticket: str, *, now: float) -> list[Action]:
        """Forget a waiting request, since its caller is gone.

        After `ClaimWon` the request calls `abandon` instead.
        """
        waiter = self.waiters.remove(ticket)
        if waiter is None or waiter.key in self.waiters:
            return []
        claim = self.pending.get(waiter.key)
        return self._give_up(claim, now=now) if claim is not None else []

    def begin(self, claim: str, *, now: float) -> bool:
        """Take the only permission to send; call directly before the first byte.

        Returns
        -------
        bool
            False if the call mustn't be sent (any more).
        """
        own = self.own.get(claim)
        if own is None or own.state is not OwnState.WON or now >= own.send_before:
            return False
        own.state = OwnState.SENDING
        return True

    def return_unsent(self, claim: str) -> None:
        """Give the permission back, since no target received a byte."""
        own = self.own.get(claim)
        if own is not None and own.state is OwnState.SENDING:
            own.state = OwnState.WON

    def complete(
        self,
        claim: str,
        *,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        now: float,
    ) -> list[Action]:
        """Record the answer to a claimed call for its repeats.

        Parameters
        ----------
        claim : str
        status : int
            HTTP status.
        headers : tuple of (str, str)
        body : bytes
            Whole body as the caller received it.
        now : float
        """
        if not self._end(claim):
            return []
        room = self.settings.outbox_limit_bytes - self.outbox.size
        limit = max(min(self.settings.answer_limit_bytes, room), 0)
        answer = idempotency.record_answer(status, headers, body, limit_bytes=limit)
        item = Completed(claim, answer)
        self.outbox.put(_outcome(claim), item, now=now, size=len(answer.body))
        key = self.fold.complete(item, host=self.host)
        return self._emit(claim, "requests.claim_completed") + self._wake(key, now=now)

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
        own = self.own.get(claim)
        if own is None or not self._end(claim):
            return []
        if is_certain_not_run:
            return self._release(own.record, now=now)
        self.outbox.put(_outcome(claim), Unresolved(claim), now=now)
        key = self.fold.mark_unresolved(claim, host=self.host)
        return self._emit(claim, "requests.claim_unresolved") + self._wake(key, now=now)

    def handle(self, message: Any, *, sender: str, now: float) -> list[Action]:
        """Ignore messages; claims travel on the log alone."""
        return []

    def handles(self, kind: type) -> bool:
        """Return False; claims travel on the log alone."""
        return False

    def apply_record(self, offset: int, record: Any, *, now: float) -> list[Action]:
        """Apply a record of stream ``claims``."""
        if not isinstance(record, Claims):
            return []
        touched = self.fold.apply(record)
        actions: list[Action] = []
        if record.host == self.host:
            self.unread_since = None
            actions += self._read_back(record, now=now)
        for key in sorted(touched):
            actions += self._wake(key, now=now)
        return actions

    def tick(self, *, now: float) -> list[Action]:
        """Append what is due, give up late claims and answer late repeats."""
        members = self._read_members()
        self.gone_hosts.note_members(members)
        actions = self._expire(now=now)
        interval = len(members) / self.settings.appends_per_s
        items = self.outbox.take(now=now, interval_s=interval)
        if items:
            self.unread_since = now if self.unread_since is None else self.unread_since
            actions.append(Append(STREAM, build_claims(self.host, items)))
        return actions

    def next_due(self, *, now: float) -> float:
        """Return `now` while a claim or an append is open."""
        is_open = self.pending or self.outbox.entries or self.waiters.get_keys()
        return now if is_open else math.inf

    def _refuse(
        self, key: ClaimKey, *, now: float, wall_time: float
    ) -> RequestRefused | None:
        settings = self.settings
        if not idempotency.is_valid_key(key[1]):
            return idempotency.refuse_key("the Idempotency-Key is empty or too long")
        if len(self.waiters) >= settings.pending_limit:
            return idempotency.refuse_busy(settings.claim_timeout_s)
        if key in self.fold.entries or key in self.pending:
            return None
        made_at = idempotency.get_key_time(key[1])
        if made_at is None and settings.refuses_undated_keys:
            return idempotency.refuse_key("the Idempotency-Key is no UUID of version 7")
        # The claim lands later than this check, on a fold whose clock may be ahead.
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
        since = self.unread_since
        return since is not None and now - since >= self.settings.claim_timeout_s

    def _settle(self, key: ClaimKey, *, now: float) -> list[Action]:
        """Answer the waiters of a key, or let the first of them claim it."""
        entry = self.fold.entries.get(key)
        if entry is not None:
            return self._settle_by_entry(key, entry, now=now)
        if key in self.waiters and key not in self.pending:
            self._make_claim(self.waiters.get(key)[0], now=now)
        return []

    def _settle_by_entry(
        self, key: ClaimKey, entry: Entry, *, now: float
    ) -> list[Action]:
        actions: list[Action] = []
        for waiter in self.waiters.get(key):
            value = self._judge(entry, waiter, now=now)
            if value is not None:
                actions += self._resolve(waiter, value)
        return actions

    def _judge(self, entry: Entry, waiter: Waiter, *, now: float) -> Any:
        if entry.body_digest != waiter.body_digest:
            return idempotency.refuse_conflict()
        if entry.answer is not None:
            is_whole = entry.answer.is_whole
            return entry.answer if is_whole else idempotency.refuse_large(entry.answer)
        if entry.is_unresolved or self.gone_hosts.is_gone(entry.host, now=now):
            return idempotency.refuse_unknown()
        if now >= waiter.deadline:
            return idempotency.refuse_running(self.settings.wait_s)
        return None

    def _read_members(self) -> set[str]:
        return {self.host, *(member.host for member in self.leases.iter_members())}

    def _make_claim(self, waiter: Waiter, *, now: float) -> None:
        self.made += 1
        claim = f"{self.host}/{self.made}"
        wall_time = now + waiter.wall_offset
        record = Claimed(
            claim,
            *waiter.key,
            waiter.body_digest,
            claimed_at=wall_time,
            expires_at=wall_time + self.settings.repeat_window_s,
        )
        send_before = now + self.settings.claim_timeout_s + self.settings.send_timeout_s
        self.own[claim] = OwnClaim(record, send_before)
        self.pending[waiter.key] = claim
        self.outbox.put(claim, record, now=now)

    def _read_back(self, batch: Claims, *, now: float) -> list[Action]:
        actions: list[Action] = []
        for claim in batch.get_ended():
            self.outbox.remove(_outcome(claim))
            self.own.pop(claim, None)
        for record in batch.claims:
            self.outbox.remove(record.claim)
            actions += self._decide(record, now=now)
        return actions

    def _decide(self, record: Claimed, *, now: float) -> list[Action]:
        own = self.own.get(record.claim)
        if own is None:
            return self._release_copy(record, now=now)
        if own.state is not OwnState.PENDING:
            return []
        key = (record.organisation, record.key)
        self.pending.pop(key, None)
        entry = self.fold.find(record.claim)
        if entry is None:
            del self.own[record.claim]
            return self._emit(record.claim, "requests.claim_lost", record=record)
        own.state = OwnState.WON
        winner = next(
            (one for one in self.waiters.get(key) if self._fits(one, record)), None
        )
        if winner is None:
            return self.abandon(record.claim, is_certain_not_run=True, now=now)
        won = self._resolve(winner, ClaimWon(record.claim, own.send_before))
        won_event = self._emit(
            record.claim, "requests.claim_won", request=winner.ticket
        )
        return won_event + won

    def _release_copy(self, record: Claimed, *, now: float) -> list[Action]:
        # A claim that lost or was released is forgotten here; a late copy of its append
        # may still be the first in the log, and nobody would run it.
        entry = self.fold.find(record.claim)
        if entry is None or entry.answer is not None or entry.is_unresolved:
            return []
        return self._release(record, now=now)

    @staticmethod
    def _fits(waiter: Waiter, record: Claimed) -> bool:
        return waiter.body_digest == record.body_digest

    def _give_up(self, claim: str, *, now: float) -> list[Action]:
        own = self.own[claim]
        self.pending.pop((own.record.organisation, own.record.key), None)
        own.state = OwnState.ENDED
        if not self.outbox.remove(claim):
            del self.own[claim]
            return []
        return self._release(own.record, now=now)

    def _release(self, record: Claimed, *, now: float) -> list[Action]:
        # The release frees the key only when it is read back: until then another
        # host's claim may precede it in the log.
        self.outbox.put(_outcome(record.claim), Released(record.claim), now=now)
        return self._emit(record.claim, "requests.claim_released", record=record)

    def _end(self, claim: str) -> bool:
        own = self.own.get(claim)
        if own is None or own.state not in (OwnState.WON, OwnState.SENDING):
            return False
        own.state = OwnState.ENDED
        return True

    def _wake(self, key: ClaimKey | None, *, now: float) -> list[Action]:
        return [] if key is None else self._settle(key, now=now)

    def _expire(self, *, now: float) -> list[Action]:
        actions: list[Action] = []
        late = now - self.settings.claim_timeout_s
        for key, claim in list(self.pending.items()):
            entry = self.outbox.entries.get(claim)
            if entry is None or entry.queued_at > late:
                continue
            actions += self._give_up(claim, now=now)
            for waiter in self.waiters.get(key):
                refusal = idempotency.refuse_log(self.settings.append_retry_limit_s)
                actions += self._resolve(waiter, refusal)
        for key in self.waiters.get_keys():
            if key in self.pending:
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
        own = self.own.get(claim)
        record = record or (own.record if own else None)
        organisation = record.organisation if record else ""
        event = Event(
            name, request=request, organisation=organisation, detail={"claim": claim}
        )
        return [Emit(event)]


def _outcome(claim: str) -> str:
    return claim + "/outcome"
