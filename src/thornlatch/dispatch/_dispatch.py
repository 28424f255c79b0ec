"""Dispatch slice: grants for local requests, schedulers of the pools owned here."""

import math
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from random import Random
from typing import Any

from thornlatch.configuration import Adapter, Organisation, Pool, Store, Target
from thornlatch.core import (
    Action,
    Emit,
    Event,
    LeaseReader,
    Owner,
    Resolve,
    Send,
    has_handler,
)
from thornlatch.dispatch._client import ClientGrant, Grant, PendingRequest, PoolClient
from thornlatch.dispatch._former import FormerOwnerships
from thornlatch.dispatch._messages import (
    GrantCancelled,
    GrantCancelNoted,
    Granted,
    GrantHeld,
    GrantInventory,
    GrantInventoryRequest,
    GrantQueued,
    GrantRecalled,
    GrantRefused,
    GrantReleased,
    GrantReleaseNoted,
    GrantRequest,
    Outcome,
    RequestSpec,
    TargetDeathReported,
    get_pool_key,
)
from thornlatch.dispatch._queue import RequestKey
from thornlatch.dispatch._scheduler import PoolScheduler
from thornlatch.dispatch._settings import DispatchSettings
from thornlatch.dispatch._targets import TargetReport
from thornlatch.exceptions import ErrorKind, RequestRefused
from thornlatch.placement import (
    EvictAdapter,
    LoadAdapter,
    LoadBudget,
    PlacementSettings,
    StoreBudget,
)

# Stands for the store of plain pools, which never load adapters.
NO_STORE = Store("none", 1.0, 1, 1, 1.0)


class Dispatch:
    """Obtains grants for local requests and schedules the pools owned by this host.

    Parameters
    ----------
    settings : DispatchSettings
    host : str
        Host id, which is new with each start of the process.
    leases : LeaseReader
    random : random.Random
    placement : PlacementSettings or None
        None for the defaults.
    make_budget : callable
        Creates the load budget of a store; called once per store.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        *,
        host: str,
        leases: LeaseReader,
        random: Random,
        placement: PlacementSettings | None = None,
        make_budget: Callable[[Store], LoadBudget] = StoreBudget,
    ) -> None:
        self.settings = settings
        self.placement_settings = placement or PlacementSettings()
        self.host = host
        self.leases = leases
        self.random = random
        self.make_budget = make_budget
        self.budgets: dict[str, LoadBudget] = {}
        self.offset = -1
        self.pools: dict[str, Pool] = {}
        self.targets: dict[str, Target] = {}
        self.stores: dict[str, Store] = {}
        self.weights: dict[str, float] = {}
        self.get_adapter: Callable[[str], Adapter | None] = lambda name: None
        self.leaving_by_host_list: set[str] = set()
        self.leaving_by_inventory: set[str] = set()
        self.clients: dict[str, PoolClient] = {}
        self.tickets: dict[str, PendingRequest] = {}
        self.schedulers: dict[str, PoolScheduler] = {}
        self.former_ownerships: dict[str, FormerOwnerships] = {}
        self.is_closed = False

    # Inputs from the daemon.

    def set_inventory(
        self,
        pools: Iterable[Pool],
        targets: Iterable[Target],
        get_adapter: Callable[[str], Adapter | None],
        stores: Iterable[Store],
        organisations: Iterable[Organisation] = (),
        *,
        offset: int,
        now: float,
    ) -> list[Action]:
        """Apply the current inventory; one with a lower offset is ignored.

        Parameters
        ----------
        pools : iterable of Pool
        targets : iterable of Target
        get_adapter : callable
            Adapter by name.
        stores : iterable of Store
        organisations : iterable of Organisation
            Their weights divide the batch slots and adapter loads under contention.
        offset : int
            Log offset of the configuration.
        now : float
            Seconds.

        Returns
        -------
        list of Action
        """
        if offset < self.offset:
            return []
        self.offset = offset
        self.pools = {pool.name: pool for pool in pools}
        self.targets = {target.name: target for target in targets}
        self.stores = {store.name: store for store in stores}
        self.weights = {entry.name: entry.weight for entry in organisations}
        self.get_adapter = get_adapter
        self.leaving_by_host_list &= set(self.targets)
        self.leaving_by_inventory = {
            t.name for t in self.targets.values() if t.is_leaving
        }
        for name in self.pools:
            if name not in self.clients:
                self.clients[name] = PoolClient(self.settings, self.host, name)
                self.clients[name].is_closed = self.is_closed
        for name, client in self.clients.items():
            client.note_inventory(has_pool=name in self.pools, now=now)
        actions: list[Action] = []
        for scheduler in self.schedulers.values():
            actions += self._set_targets(scheduler, now)
        return actions + self._return_expired(now)

    def note_target_leaving(
        self, target: str, *, is_leaving: bool = True, now: float
    ) -> list[Action]:
        """Record whether the host list marks a target as leaving.

        To be called on every host, since kept grants on the target are returned too.
        """
        if is_leaving:
            self.leaving_by_host_list.add(target)
        else:
            self.leaving_by_host_list.discard(target)
        actions = self._return_expired(now)
        scheduler = self._get_scheduler_of(target)
        if scheduler is not None:
            actions += scheduler.note_target_leaving(
                target, is_leaving=is_leaving, now=now
            )
        return actions

    def note_target_report(
        self, target: str, report: TargetReport, *, now: float
    ) -> list[Action]:
        """Pass a target's report to its scheduler, if this host owns the pool."""
        scheduler = self._get_scheduler_of(target)
        if scheduler is None:
            return []
        return scheduler.note_target_report(target, report, now=now)

    def note_order_result(
        self,
        target: str,
        order: LoadAdapter | EvictAdapter,
        *,
        ok: bool,
        is_certain: bool,
        now: float,
    ) -> list[Action]:
        """Record the result of a load or eviction that this host ordered."""
        scheduler = self._get_scheduler_of(target)
        if scheduler is None:
            return []
        return scheduler.note_order_result(
            target, order, ok=ok, is_certain=is_certain, now=now
        )

    def report_target_failure(self, grant: Grant, *, now: float) -> list[Action]:
        """Report to the pool's owner that a target failed under a grant of this host.

        If this host is the owner, it suspends the target itself, unless the target is
        known to have restarted since the grant.

        Parameters
        ----------
        grant : Grant
        now : float
            Seconds.

        Returns
        -------
        list of Action
            The report to another host; empty if there is no owner or the grant names
            no incarnation of the target.
        """
        scheduler = self.schedulers.get(grant.pool)
        if scheduler is not None:
            if scheduler.has_restarted(grant.target, grant.incarnation):
                return []
            return self.mark_target_down(grant.target, now=now)
        owner = self.leases.get_owner(get_pool_key(grant.pool))
        if owner is None or not grant.incarnation:
            return []
        report = TargetDeathReported(grant.pool, grant.target, grant.incarnation)
        return [Send(owner.host, report)]

    def is_poll_due(self, target: str, polled_at: float) -> bool:
        """Return whether a target of a pool owned here must be polled at once.

        Parameters
        ----------
        target : str
        polled_at : float
            Time of the last poll, seconds.
        """
        scheduler = self._get_scheduler_of(target)
        return scheduler is not None and scheduler.is_poll_due(target, polled_at)

    def mark_target_down(self, target: str, *, now: float) -> list[Action]:
        """Suspend a target that is known to be down, if this host owns its pool."""
        scheduler = self._get_scheduler_of(target)
        if scheduler is None:
            return []
        return scheduler.mark_target_down(target, now=now)

    # Inputs from local requests.

    def request(self, ticket: str, spec: RequestSpec, *, now: float) -> list[Action]:
        """Obtain a grant for a request.

        Parameters
        ----------
        ticket : str
            Identifies the request in the `Resolve` that answers it.
        spec : RequestSpec
            Its request id and attempt must be unique together.
        now : float
            Seconds.

        Returns
        -------
        list of Action
            This or a later call returns the `Resolve`, with a `Grant` or a
            `RequestRefused`.
        """
        kind = self._find_arrival_refusal(spec, now)
        if kind is not None:
            return [Resolve(ticket, self._make_refusal(kind))]
        client = self.clients[spec.pool]
        deadline = now + spec.deadline_in_s
        pending = PendingRequest(ticket, spec, now, deadline)
        idle = client.find_kept(spec, self._get_leaving_targets())
        actions: list[Action] = []
        if idle is not None:
            if client.may_use_kept(spec, now):
                return self._assign(client, idle, pending, now)
            actions = client.return_grant(idle, None, now)
        client.pending[pending.key] = pending
        self.tickets[ticket] = pending
        return actions + self._request_grant(client, pending, now)

    def release(
        self,
        grant: Grant,
        *,
        outcome: Outcome,
        tokens: float,
        first_token_s: float | None = None,
        now: float,
    ) -> list[Action]:
        """End the use of a grant; further calls for the same use are ignored.

        Parameters
        ----------
        grant : Grant
        outcome : Outcome
        tokens : float
            Tokens served, prompt and completion together.
        first_token_s : float or None
            Seconds from sending the request to the first token.
        now : float
            Seconds.

        Returns
        -------
        list of Action
        """
        client = self.clients.get(grant.pool)
        held = client.grants.get(grant.grant) if client else None
        if client is None or held is None or held.active_use != grant:
            return []
        report = client.end_use(
            held,
            outcome=outcome,
            tokens=tokens,
            first_token_s=first_token_s,
            now=now,
        )
        is_kept = outcome is Outcome.OK and client.may_keep(
            held, self._get_leaving_targets(), now
        )
        if not is_kept or not self.leases.is_confirmed(now=now):
            return client.return_grant(held, report, now)
        pending = client.choose_pending(held, now)
        if pending is None and client.list_suitable_requests(held):
            # Returning the slot lets the owner serve them sooner than a recall would.
            return client.return_grant(held, report, now)
        actions = client.keep_grant(held, report, now)
        if pending is None:
            return actions
        actions += self._assign(client, held, pending, now)
        return actions + client.cancel_pending(pending.key, now)

    def cancel(self, ticket: str, *, now: float) -> list[Action]:
        """Stop waiting for a grant; the ticket is not resolved."""
        pending = self.tickets.pop(ticket, None)
        if pending is None:
            return []
        return self.clients[pending.spec.pool].cancel_pending(pending.key, now)

    def close(self, now: float) -> list[Action]:
        """Refuse pending and new requests and return the kept grants.

        Grants in use are returned when their requests end.
        """
        self.is_closed = True
        actions: list[Action] = []
        for client in self.clients.values():
            client.is_closed = True
            for pending in list(client.pending.values()):
                actions += self._refuse(client, pending, ErrorKind.HOST_STOPPING, now)
        return actions + self._return_expired(now)

    def has_open_orders(self, *, now: float) -> bool:
        """Return whether targets may still carry out orders of this host.

        The host's session must stay open until these orders are settled.
        """
        has_own = any(s.list_open_orders(now) for s in self.schedulers.values())
        return has_own or any(
            former.list_orders(now) for former in self.former_ownerships.values()
        )

    # Slice interface.

    def handle(self, message: Any, *, sender: str, now: float) -> list[Action]:
        """Handle a message from a peer or from this host itself."""
        return self._handle(message, sender, now)

    def handles(self, kind: type) -> bool:
        """Return whether `handle` acts on messages of a class."""
        return has_handler(Dispatch, "_handle", kind)

    def apply_record(self, offset: int, record: Any, *, now: float) -> list[Action]:
        """Ignore records; the daemon passes the inventory to `set_inventory`."""
        return []

    def tick(self, *, now: float) -> list[Action]:
        """Act on the passage of time."""
        actions = self._update_schedulers(now)
        for scheduler in list(self.schedulers.values()):
            actions += scheduler.tick(now=now)
        for client in self.clients.values():
            epoch = self._update_owner(client)
            actions += self._update_pending(client, epoch, now)
            actions += client.resend(now)
        return actions + self._return_expired(now)

    def next_due(self, *, now: float) -> float:
        """Return `now` while work is outstanding, otherwise infinity.

        Outstanding work is a waiting request, a grant, an unacknowledged message or an
        incomplete recovery of grants.
        """
        is_open = any(s.is_busy for s in self.schedulers.values()) or any(
            client.is_busy for client in self.clients.values()
        )
        return now if is_open else math.inf

    @singledispatchmethod
    def _handle(self, message: Any, sender: str, now: float) -> list[Action]:
        return []

    @_handle.register
    def _(self, message: GrantRequest, sender: str, now: float) -> list[Action]:
        return self._forward_to_scheduler(message.spec.pool, message, sender, now)

    @_handle.register(GrantReleased)
    @_handle.register(GrantHeld)
    @_handle.register(GrantInventory)
    @_handle.register(GrantCancelled)
    @_handle.register(TargetDeathReported)
    def _(self, message: Any, sender: str, now: float) -> list[Action]:
        return self._forward_to_scheduler(message.pool, message, sender, now)

    @_handle.register
    def _(self, message: GrantCancelNoted, sender: str, now: float) -> list[Action]:
        client = self.clients.get(message.pool)
        if client is not None:
            client.reset_owner_silence()
            key = RequestKey(message.request, message.attempt)
            client.cancellations.pop(key, None)
        return []

    @_handle.register
    def _(self, message: Granted, sender: str, now: float) -> list[Action]:
        client = self.clients.get(message.pool)
        if client is None:
            return []
        if message.epoch < client.epoch:
            # The inventory sent to a newer owner doesn't contain this grant.
            return []
        client.reset_owner_silence()
        if message.grant in client.grants:
            return client.confirm_held(message)
        key = RequestKey(message.request, message.attempt)
        pending = client.pending.get(key)
        if pending is None:
            return client.return_unused(message, now)
        if message.grant in pending.returned_grants or not self._may_use(message, now):
            pending.returned_grants.add(message.grant)
            return client.return_unused(message, now)
        del client.pending[key]
        held = ClientGrant(message, None, 0, now)
        client.grants[message.grant] = held
        return self._assign(client, held, pending, now)

    @_handle.register
    def _(self, message: GrantRefused, sender: str, now: float) -> list[Action]:
        client = self.clients.get(message.pool)
        key = RequestKey(message.request, message.attempt)
        if client is None or message.epoch < client.epoch:
            return []
        client.reset_owner_silence()
        pending = client.pending.pop(key, None)
        if pending is None:
            return []
        self.tickets.pop(pending.ticket, None)
        refusal = self._make_refusal(message.kind, message.retry_after_s)
        return [Resolve(pending.ticket, refusal)]

    @_handle.register
    def _(self, message: GrantQueued, sender: str, now: float) -> list[Action]:
        client = self.clients.get(message.pool)
        if client is not None:
            client.reset_owner_silence()
        return []

    @_handle.register
    def _(self, message: GrantReleaseNoted, sender: str, now: float) -> list[Action]:
        client = self.clients.get(message.pool)
        if client is not None:
            client.reset_owner_silence()
            client.note_acknowledged(message)
        return []

    @_handle.register
    def _(self, message: GrantRecalled, sender: str, now: float) -> list[Action]:
        client = self.clients.get(message.pool)
        held = client.grants.get(message.grant) if client else None
        if client is None or held is None:
            return []
        client.reset_owner_silence()
        held.is_recalled = True
        return client.return_expired(self._get_leaving_targets(), now)

    @_handle.register
    def _(
        self, message: GrantInventoryRequest, sender: str, now: float
    ) -> list[Action]:
        client = self.clients.get(message.pool)
        if client is None:
            client = PoolClient(self.settings, self.host, message.pool)
            self.clients[message.pool] = client
        scheduler = self.schedulers.get(message.pool)
        if scheduler is not None and scheduler.epoch < message.epoch:
            self._stop_scheduler(scheduler, now)
        return [Send(sender, self._make_inventory(client, message.epoch, now))]

    # Schedulers of the pools that this host owns.

    def _update_schedulers(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for name, scheduler in list(self.schedulers.items()):
            owner = self.leases.get_owner(scheduler.key)
            if name not in self.pools or owner != Owner(self.host, scheduler.epoch):
                self._stop_scheduler(scheduler, now)
        for name, pool in self.pools.items():
            if name in self.schedulers:
                continue
            epoch = self.leases.get_held_epoch(get_pool_key(name), now=now)
            if epoch is not None:
                actions += self._start_scheduler(pool, epoch, now)
        return actions

    def _start_scheduler(self, pool: Pool, epoch: int, now: float) -> list[Action]:
        store = self.stores.get(pool.store)
        scheduler = PoolScheduler(
            self.settings,
            pool,
            placement_settings=self.placement_settings,
            epoch=epoch,
            started_at=now,
            leases=self.leases,
            budget=self._get_budget(store),
            random=self.random,
            store=store,
            get_weight=lambda name: self.weights.get(name, 1.0),
            is_known=lambda adapter: self.get_adapter(adapter) is not None,
        )
        self.schedulers[pool.name] = scheduler
        event = Event("dispatch.pool_owned", key=scheduler.key, epoch=epoch)
        actions: list[Action] = [Emit(event)]
        for target in self.leaving_by_host_list:
            actions += scheduler.note_target_leaving(target, is_leaving=True, now=now)
        return actions + self._set_targets(scheduler, now)

    def _stop_scheduler(self, scheduler: PoolScheduler, now: float) -> None:
        scheduler.close(now=now)
        del self.schedulers[scheduler.pool.name]
        former = self.former_ownerships.setdefault(
            scheduler.pool.name, FormerOwnerships()
        )
        former.add(scheduler.make_handover(now))

    def _make_inventory(
        self, client: PoolClient, epoch: int, now: float
    ) -> GrantInventory:
        former = self.former_ownerships.get(client.pool, FormerOwnerships())
        client.advance_epoch(epoch)
        return GrantInventory(
            self.host,
            client.pool,
            epoch,
            client.list_held_grants(),
            former.list_orders(now),
            (*former.list_pins(now), *client.list_orphan_pins(now)),
            client.former_epoch,
            former.get_epoch(now),
        )

    def _get_budget(self, store: Store | None) -> LoadBudget:
        store = store or NO_STORE
        if store.name not in self.budgets:
            self.budgets[store.name] = self.make_budget(store)
        return self.budgets[store.name]

    def _set_targets(self, scheduler: PoolScheduler, now: float) -> list[Action]:
        name = scheduler.pool.name
        targets = [t for t in self.targets.values() if t.pool == name]
        return scheduler.set_targets(targets, now=now)

    def _get_scheduler_of(self, target: str) -> PoolScheduler | None:
        known = self.targets.get(target)
        return self.schedulers.get(known.pool) if known is not None else None

    def _forward_to_scheduler(
        self, pool: str, message: Any, sender: str, now: float
    ) -> list[Action]:
        scheduler = self.schedulers.get(pool)
        if scheduler is None:
            return []
        return scheduler.handle(message, sender=sender, now=now)

    # Grants for the requests of this host.

    def _find_arrival_refusal(self, spec: RequestSpec, now: float) -> ErrorKind | None:
        if self.is_closed:
            return ErrorKind.HOST_STOPPING
        if not self.leases.is_confirmed(now=now):
            return ErrorKind.HOST_UNCONFIRMED
        if spec.pool not in self.pools:
            return ErrorKind.NO_TARGET
        return None

    def _make_refusal(
        self, kind: ErrorKind, retry_after_s: float | None = None
    ) -> RequestRefused:
        after_s = retry_after_s if retry_after_s else self.settings.retry_min_s
        return RequestRefused(
            kind, "the request was not sent to any target", retry_after_s=after_s
        )

    def _get_leaving_targets(self) -> set[str]:
        return self.leaving_by_inventory | self.leaving_by_host_list

    def _may_use(self, granted: Granted, now: float) -> bool:
        is_known = granted.target in self.targets
        is_leaving = granted.target in self._get_leaving_targets()
        return is_known and not is_leaving and self.leases.is_confirmed(now=now)

    def _assign(
        self, client: PoolClient, held: ClientGrant, pending: PendingRequest, now: float
    ) -> list[Action]:
        self.tickets.pop(pending.ticket, None)
        grant = client.begin_use(held, pending, now)
        event = Event(
            "dispatch.grant_used",
            request=grant.request,
            attempt=grant.attempt,
            organisation=grant.organisation,
            target=grant.target,
            key=get_pool_key(grant.pool),
            epoch=grant.epoch,
            detail={"grant": grant.grant, "use": held.finished_uses + 1},
        )
        return [Resolve(pending.ticket, grant), Emit(event)]

    def _request_grant(
        self, client: PoolClient, pending: PendingRequest, now: float
    ) -> list[Action]:
        return client.request_grant(pending, self._update_owner(client), now)

    def _update_owner(self, client: PoolClient) -> int:
        """Update the pool's owner and return its epoch, or -1 if there is none."""
        owner = self.leases.get_owner(get_pool_key(client.pool))
        name = owner.host if owner is not None else ""
        if name != client.owner:
            client.owner = name
            client.reset_owner_silence()
        return owner.epoch if owner is not None else -1

    def _update_pending(
        self, client: PoolClient, epoch: int, now: float
    ) -> list[Action]:
        actions: list[Action] = []
        is_confirmed = self.leases.is_confirmed(now=now)
        is_silent = client.is_owner_silent(now)
        for pending in list(client.pending.values()):
            kind = self._find_pending_refusal(pending, is_confirmed, is_silent, now)
            if kind is not None:
                actions += self._refuse(client, pending, kind, now)
                continue
            is_due = now - pending.sent_at >= self.settings.resend_s
            if is_due or epoch != pending.sent_epoch:
                actions += client.request_grant(pending, epoch, now)
        return actions

    def _find_pending_refusal(
        self,
        pending: PendingRequest,
        is_confirmed: bool,
        is_silent: bool,
        now: float,
    ) -> ErrorKind | None:
        if not is_confirmed:
            return ErrorKind.HOST_UNCONFIRMED
        has_expired = now >= pending.deadline
        if is_silent:
            # No owner decided that the deadline can't be met.
            has_waited = now - pending.arrived_at >= self.settings.owner_wait_s
            return ErrorKind.NO_TARGET if has_expired or has_waited else None
        return ErrorKind.DEADLINE_UNREACHABLE if has_expired else None

    def _refuse(
        self, client: PoolClient, pending: PendingRequest, kind: ErrorKind, now: float
    ) -> list[Action]:
        actions = client.cancel_pending(pending.key, now)
        self.tickets.pop(pending.ticket, None)
        return [Resolve(pending.ticket, self._make_refusal(kind)), *actions]

    def _return_expired(self, now: float) -> list[Action]:
        leaving = self._get_leaving_targets()
        actions: list[Action] = []
        for client in self.clients.values():
            actions += client.return_expired(leaving, now)
        return actions
