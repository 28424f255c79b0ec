"""The admission slice: rate limits on tokens of requests and on adapter loads.

Not thread-safe; the control thread owns its state.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from thornlatch.admission._key_shares import KeyShares
from thornlatch.admission._load_budget import LoadBudgetShare
from thornlatch.admission._messages import (
    DemandAnswer,
    DemandReport,
    PeerRequest,
    ShareInventory,
    ShareInventoryRequest,
    ShareMove,
    ShareMoveAccepted,
    ShareRecall,
)
from thornlatch.admission._settings import AdmissionSettings
from thornlatch.admission._shares import MICROTOKENS, Allowance, to_microtokens
from thornlatch.admission._waiting import WaitingQueue, WaitingRequest
from thornlatch.core import Action, Emit, Event, LeaseReader, Resolve
from thornlatch.exceptions import ErrorKind, RequestRefused

RETRY_AFTER_MIN_S = 0.05
RETRY_AFTER_MAX_S = 60.0
UNCONFIRMED_RETRY_AFTER_S = 1.0

MESSAGE_TYPES = (
    DemandAnswer,
    DemandReport,
    PeerRequest,
    ShareInventory,
    ShareInventoryRequest,
    ShareMove,
    ShareMoveAccepted,
    ShareRecall,
)


@dataclass(frozen=True)
class Admitted:
    """The decision that a request may run.

    Parameters
    ----------
    ticket : str
    organisation : str
    tokens : float
        Tokens that were spent on the request.
    serial : int
        Serial of the spend in the host's bucket, for `Admission.settle`.
    """

    ticket: str
    organisation: str
    tokens: float
    serial: int


class Admission:
    """Admits requests within their organisation's rate and burst over the fleet.

    Parameters
    ----------
    settings : AdmissionSettings
    host : str
        This host's id.
    leases : LeaseReader
    """

    def __init__(
        self, settings: AdmissionSettings, *, host: str, leases: LeaseReader
    ) -> None:
        self.settings = settings
        self.host = host
        self.leases = leases
        self.shares: dict[str, KeyShares] = {}
        self.queues: dict[str, WaitingQueue] = {}
        self.configuration_offset = -1
        self.is_closed = False
        self.active_until = -math.inf

    # Configuration

    def set_allowances(
        self, allowances: Mapping[str, Allowance], *, offset: int, now: float
    ) -> None:
        """Apply the allowances of all organisations and stores.

        Parameters
        ----------
        allowances : mapping of str to Allowance
            By lease key, ``organisation:<name>`` or ``store:<name>``; keys that are
            missing lose their allowance.
        offset : int
            Log offset of the configuration; an offset below the one in force is
            ignored.
        now : float
            Seconds.
        """
        if offset < self.configuration_offset:
            return
        self.configuration_offset = offset
        for key, allowance in allowances.items():
            if self.get_shares(key, now=now).allowance != allowance:
                self.shares[key].set_allowance(allowance, now=now)
        for key in self.shares.keys() - allowances.keys():
            self.shares[key].set_allowance(Allowance(), now=now)

    def get_shares(self, key: str, *, now: float) -> KeyShares:
        """Return the shares of a key, creating them on first use."""
        shares = self.shares.get(key)
        if shares is None:
            shares = KeyShares(key, self.settings, self.host, self.leases, now=now)
            self.shares[key] = shares
            if self.is_closed:
                shares.local_share.close(now=now)
        return shares

    def get_queue(self, key: str, *, now: float) -> WaitingQueue:
        """Return the queue of a key, creating it on first use."""
        queue = self.queues.get(key)
        if queue is None:
            local_share = self.get_shares(key, now=now).local_share
            queue = self.queues[key] = WaitingQueue(local_share, self.settings)
        return queue

    def get_load_budget(self, store: str, *, now: float) -> LoadBudgetShare:
        """Return this host's share of the load budget of a weight store."""
        self.note_activity(now=now)
        return LoadBudgetShare(self.get_shares(f"store:{store}", now=now))

    # Slice interface

    def handle(self, message: Any, *, sender: str, now: float) -> list[Action]:
        """Handle a message from a peer or from this host itself."""
        if not isinstance(message, MESSAGE_TYPES):
            return []
        self.note_activity(now=now)
        shares = self.get_shares(message.key, now=now)
        actions = shares.handle(message, sender=sender, now=now)
        actions += self.serve(message.key, now=now)
        if isinstance(message, DemandAnswer):
            actions += self.refuse_unservable(message.key, now=now)
        return actions

    def handles(self, kind: type) -> bool:
        """Return whether `handle` acts on messages of a class."""
        return issubclass(kind, MESSAGE_TYPES)

    def apply_record(self, offset: int, record: Any, *, now: float) -> list[Action]:
        """Ignore records; `set_allowances` brings the configuration."""
        return []

    def tick(self, *, now: float) -> list[Action]:
        """Decide waiting requests and send the messages of all keys that are due."""
        holders = list(self.leases.iter_possible_holders(now=now))
        peers = [
            member.host
            for member in self.leases.iter_members()
            if member.host != self.host
        ]
        actions: list[Action] = []
        for key, shares in self.shares.items():
            actions += self.serve(key, now=now)
            actions += self.refuse_unservable(key, now=now)
            actions += shares.tick(holders, peers, now=now)
        return actions

    def next_due(self, *, now: float) -> float:
        """Return `now` while a request waits, a key is busy or activity is recent."""
        if now < self.active_until or any(q.requests for q in self.queues.values()):
            return now
        is_open = any(shares.is_busy for shares in self.shares.values())
        return now if is_open else math.inf

    def note_activity(self, *, now: float) -> None:
        """Keep ticks due for `demand_time_s`, while the demand estimate decays."""
        self.active_until = now + self.settings.demand_time_s

    # Requests

    def admit(
        self,
        ticket: str,
        *,
        organisation: str,
        tokens: float,
        deadline: float,
        now: float,
    ) -> list[Action]:
        """Admit a request at once or after waiting for a share.

        Parameters
        ----------
        ticket : str
            Identifier of the request, which `Resolve` returns.
        organisation : str
        tokens : float
            Tokens of the prompt plus the maximum to generate.
        deadline : float
            Seconds by which the ticket is resolved.
        now : float
            Seconds.

        Returns
        -------
        list of Action
            `Resolve` with `Admitted` or `RequestRefused`, or messages if the request
            waits; a later call then returns the `Resolve`.
        """
        key = f"organisation:{organisation}"
        shares = self.get_shares(key, now=now)
        cost = to_microtokens(tokens)
        if self.is_closed:
            error = RequestRefused(ErrorKind.HOST_STOPPING, "the host is stopping")
            return [Resolve(ticket, error)]
        if not shares.is_configured:
            message = f"the organisation {organisation!r} has no allowance"
            return [Resolve(ticket, RequestRefused(ErrorKind.NOT_ALLOWED, message))]
        if cost > shares.allowance.depth:
            message = (
                f"the request costs {tokens:.10g} tokens, more than the burst of its"
                f" organisation ({shares.allowance.burst:.10g})"
            )
            return [Resolve(ticket, RequestRefused(ErrorKind.RATE_EXCEEDED, message))]
        self.note_activity(now=now)
        shares.local_share.demand.record(cost, now=now)
        queue = self.get_queue(key, now=now)
        expires_at = min(now + self.settings.share_wait_s, deadline)
        latest_expiry = max(expires_at, min(now + self.settings.owner_wait_s, deadline))
        queue.append(
            WaitingRequest(ticket, tokens, cost, now, expires_at, latest_expiry)
        )
        actions = self.serve(key, now=now)
        for request in queue.pop_unservable_last(now=now):
            actions.append(self.refuse_rate(queue, request, now=now))
        if queue.requests and queue.requests[-1].ticket == ticket:
            actions += shares.report(self.count_members(), now=now)
        return actions

    def count_members(self) -> int:
        """Return the number of members of the fleet."""
        return sum(1 for _ in self.leases.iter_members())

    def serve(self, key: str, *, now: float) -> list[Action]:
        """Admit or refuse the waiting requests of a key that can be decided."""
        queue = self.queues.get(key)
        if queue is None or not queue.requests:
            return []
        actions: list[Action] = []
        is_confirmed = self.may_spend(now=now)
        if is_confirmed:
            for request in queue.pop_admitted(now=now):
                actions += self.accept(key, request, now=now)
        is_silent = is_confirmed and self.is_owner_silent(key, now=now)
        # An owner that answers without granting may itself wait for shares that hosts
        # return to it as they stop.
        is_exhausted = now < queue.local_share.exhausted_until
        is_undecided = is_silent or (is_confirmed and not is_exhausted)
        for request in queue.pop_expired(is_undecided=is_undecided, now=now):
            if is_confirmed and not is_silent:
                actions.append(self.refuse_rate(queue, request, now=now))
            else:
                actions.append(refuse_unconfirmed(request, is_confirmed=is_confirmed))
        return actions

    def is_owner_silent(self, key: str, *, now: float) -> bool:
        """Return whether the key has no owner or its owner doesn't answer."""
        if self.leases.get_owner(key) is None:
            return True
        return self.shares[key].local_share.is_owner_silent(now=now)

    def refuse_unservable(self, key: str, *, now: float) -> list[Action]:
        """Refuse the waiting requests that can't be admitted in time."""
        queue = self.queues.get(key)
        if queue is None or not self.may_spend(now=now):
            return []
        return [
            self.refuse_rate(queue, request, now=now)
            for request in queue.pop_unservable(now=now)
        ]

    def may_spend(self, *, now: float) -> bool:
        """Return whether this host may spend from its shares at `now`."""
        return self.leases.is_confirmed(now=now)

    def accept(self, key: str, request: WaitingRequest, *, now: float) -> list[Action]:
        """Return the actions that admit a request whose tokens were spent."""
        local_share = self.shares[key].local_share
        organisation = key.partition(":")[2]
        serial = local_share.holding.bucket.headroom.serial
        admitted = Admitted(request.ticket, organisation, request.tokens, serial)
        event = Event(
            "admission.tokens_spent",
            request=request.ticket,
            organisation=organisation,
            key=key,
            epoch=local_share.round_id.epoch,
            detail={
                "tokens": request.tokens,
                "round": local_share.round_id.round_number,
                "waited_s": now - request.since,
            },
        )
        return [Emit(event), Resolve(request.ticket, admitted)]

    def refuse_rate(
        self, queue: WaitingQueue, request: WaitingRequest, *, now: float
    ) -> Action:
        """Return the refusal of a request that exceeds its organisation's rate."""
        wait_s = queue.compute_wait(request.cost, now=now)
        retry_after_s = min(max(wait_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        message = "the organisation's rate limit over the fleet is exhausted"
        error = RequestRefused(
            ErrorKind.RATE_EXCEEDED, message, retry_after_s=retry_after_s
        )
        return Resolve(request.ticket, error)

    def settle(self, admitted: Admitted, *, used: float, now: float) -> list[Action]:
        """Return the tokens that an admitted request did not use.

        Parameters
        ----------
        admitted : Admitted
        used : float
            Tokens of the prompt plus those generated.
        now : float
            Seconds.

        Returns
        -------
        list of Action
        """
        key = f"organisation:{admitted.organisation}"
        shares = self.get_shares(key, now=now)
        self.note_activity(now=now)
        unused = to_microtokens(admitted.tokens) - to_microtokens(used)
        if unused <= 0:
            return []
        bucket = shares.local_share.holding.bucket
        added = bucket.refund(unused, admitted.serial, now=now)
        event = Event(
            "admission.tokens_returned",
            request=admitted.ticket,
            organisation=admitted.organisation,
            key=key,
            epoch=shares.local_share.round_id.epoch,
            detail={"tokens": added / MICROTOKENS, "unused": unused / MICROTOKENS},
        )
        return [Emit(event), *self.serve(key, now=now)]

    def has_waiting_requests(self) -> bool:
        """Return whether a request waits for a share."""
        return any(queue.requests for queue in self.queues.values())

    def cancel(self, ticket: str, *, now: float) -> None:
        """Remove a waiting request; an admitted one has to be settled instead."""
        for queue in self.queues.values():
            queue.remove(ticket)

    def close(self, *, now: float) -> list[Action]:
        """Refuse waiting requests and return all shares, for a graceful stop."""
        self.is_closed = True
        actions: list[Action] = []
        for queue in self.queues.values():
            for request in queue.drop(list(queue.requests)):
                error = RequestRefused(ErrorKind.HOST_STOPPING, "the host is stopping")
                actions.append(Resolve(request.ticket, error))
        for shares in self.shares.values():
            actions += shares.local_share.close(now=now)
        return actions


def refuse_unconfirmed(request: WaitingRequest, *, is_confirmed: bool) -> Resolve:
    """Return the refusal of a request when the use of the rate is unknown."""
    message = "the host can't confirm that it is a member of the fleet"
    if is_confirmed:
        message = "no owner of the organisation's rate limit answers this host"
    error = RequestRefused(
        ErrorKind.HOST_UNCONFIRMED, message, retry_after_s=UNCONFIRMED_RETRY_AFTER_S
    )
    return Resolve(request.ticket, error)
