"""Owner side of dispatch: scheduling of one pool's batch slots."""

from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from random import Random
from typing import Any

from thornlatch.configuration import Pool, Store, Target
from thornlatch.core import Action, Emit, Event, LeaseReader, Order, Send
from thornlatch.dispatch._choice import choose_request, choose_target
from thornlatch.dispatch._deadlines import LatenessEstimate
from thornlatch.dispatch._duplicates import DuplicateTracker
from thornlatch.dispatch._estimate import ServiceEstimate
from thornlatch.dispatch._fairness import FairShares
from thornlatch.dispatch._former import Handover
from thornlatch.dispatch._messages import (
    SETTLED_OUTCOMES,
    GrantCancelled,
    GrantCancelNoted,
    Granted,
    GrantHeld,
    GrantInventory,
    GrantInventoryRequest,
    GrantQueued,
    GrantReleased,
    GrantReleaseNoted,
    GrantRequest,
    HeldGrant,
    OrderInDoubt,
    Outcome,
    PinInDoubt,
    TargetDeathReported,
    get_pool_key,
)
from thornlatch.dispatch._needs import find_needs
from thornlatch.dispatch._prefixes import PrefixMap
from thornlatch.dispatch._queue import (
    RequestKey,
    RequestQueue,
    WaitingRequest,
    make_waiting_request,
)
from thornlatch.dispatch._recalls import Recalls
from thornlatch.dispatch._recovery import GrantRecovery
from thornlatch.dispatch._refusals import Refusals
from thornlatch.dispatch._settings import DispatchSettings
from thornlatch.dispatch._table import GrantRecord, GrantTable, Pin
from thornlatch.dispatch._targets import TargetReport, TargetState, compare_speeds
from thornlatch.placement import (
    AdapterVersion,
    EvictAdapter,
    LoadAdapter,
    LoadBudget,
    Placement,
    PlacementSettings,
)


class PoolScheduler:
    """Queues requests for one pool, grants slots and orders loads.

    There is one scheduler per ownership of the pool. It acts only while the lease of
    its epoch is safe to act on, and grants and evicts only once all hosts that may hold
    grants of former owners have reported them.

    Parameters
    ----------
    settings : DispatchSettings
    pool : Pool
    placement_settings : PlacementSettings
    epoch : int
        Epoch of this ownership.
    started_at : float
        Start of this ownership, seconds; target reports from before are ignored.
    leases : LeaseReader
    budget : LoadBudget
        Limits the loads from the pool's store.
    random : random.Random
    store : Store or None
        None for plain pools.
    get_weight : callable
        Returns the weight of an organisation by name.
    is_known : callable
        Returns whether an adapter is in the inventory.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        pool: Pool,
        *,
        placement_settings: PlacementSettings,
        epoch: int,
        started_at: float,
        leases: LeaseReader,
        budget: LoadBudget,
        random: Random,
        store: Store | None = None,
        get_weight: Callable[[str], float] = lambda name: 1.0,
        is_known: Callable[[str], bool] = lambda adapter: True,
    ) -> None:
        self.settings = settings
        self.pool = pool
        self.key = get_pool_key(pool.name)
        self.epoch = epoch
        self.started_at = started_at
        self.leases = leases
        self.budget = budget
        self.random = random
        self.placement = Placement(
            placement_settings,
            pool,
            random=random,
            get_weight=get_weight,
            is_known=is_known,
        )
        self.queue = RequestQueue()
        self.table = GrantTable()
        self.shares = FairShares(get_weight, settings.credit_tokens)
        self.load_shares = FairShares(get_weight, settings.credit_loads)
        self.service = ServiceEstimate(settings)
        self.lateness = LatenessEstimate(
            settings, self.queue, self.service, self.shares, self.load_shares, store
        )
        self.prefixes = PrefixMap(settings.prefix_entries)
        self.recalls = Recalls(settings, pool.name, self.table)
        self.recovery = GrantRecovery(epoch, settings.resend_s)
        self.duplicates = DuplicateTracker(settings.copy_hold_s)
        self.targets: dict[str, TargetState] = {}
        self.refusals = Refusals(
            settings,
            pool=pool.name,
            key=self.key,
            epoch=epoch,
            queue=self.queue,
            targets=self.targets,
            placement=self.placement,
            lateness=self.lateness,
        )
        self.leaving_by_host_list: set[str] = set()
        self.unknown_use_targets: set[str] = set()
        self.recovered_at = 0.0
        self.possible_holders: set[str] = set()
        self.grant_count = 0
        self.is_load_due = False

    # Inputs from the daemon.

    def set_targets(self, targets: Iterable[Target], *, now: float) -> list[Action]:
        """Replace the pool's targets by those of the current inventory."""
        known = {target.name: target for target in targets}
        for name in [name for name in self.targets if name not in known]:
            del self.targets[name]
        for name, target in known.items():
            state = self.targets.setdefault(name, TargetState(self.settings, target))
            state.target = target
            state.grants = {
                record.grant
                for record in self.table.grants.values()
                if record.target == name
            }
        self.placement.set_targets(known.values())
        return self._update_leaving(now)

    def note_target_leaving(
        self, target: str, *, is_leaving: bool, now: float
    ) -> list[Action]:
        """Record whether the host list marks a target as leaving."""
        if is_leaving:
            self.leaving_by_host_list.add(target)
        else:
            self.leaving_by_host_list.discard(target)
        return self._update_leaving(now)

    def note_target_report(
        self, target: str, report: TargetReport, *, now: float
    ) -> list[Action]:
        """Apply a status report of a target and grant its free slots.

        A report from before the start of this ownership is ignored.
        """
        state = self.targets.get(target)
        if state is None or report.snapshot_at < self.started_at:
            return []
        if state.incarnation not in ("", report.incarnation):
            self.prefixes.remove_target(target)
        state.apply_report(report)
        self.placement.set_open(target, is_open=state.is_open(now))
        if self.recovery.is_complete and report.snapshot_at >= self.recovered_at:
            self._settle_orphan_pins(target, report)
        self.placement.note_loaded(
            target,
            report.loaded,
            incarnation=report.incarnation,
            snapshot_at=report.snapshot_at,
        )
        self.is_load_due = True
        return self._grant_free_slots(target, now)

    def note_order_result(
        self,
        target: str,
        order: LoadAdapter | EvictAdapter,
        *,
        ok: bool,
        is_certain: bool,
        now: float,
    ) -> list[Action]:
        """Record the result of a load or an eviction.

        Parameters
        ----------
        target : str
        order : LoadAdapter or EvictAdapter
            Ignored if it is of another epoch.
        ok : bool
            Whether the target carried it out.
        is_certain : bool
            Whether `ok` is the target's own answer; False if its answer was lost.
        now : float
            Seconds.

        Returns
        -------
        list of Action
        """
        if order.epoch != self.epoch:
            return []
        actions = self.placement.note_order_result(
            target, order, ok=ok, is_certain=is_certain, budget=self.budget, now=now
        )
        self.is_load_due = True
        actions += self._grant_free_slots(target, now)
        if not ok and isinstance(order, LoadAdapter):
            version = AdapterVersion(order.adapter, order.version)
            actions += self.refusals.refuse_unloadable(version, now)
        return actions + self._order_loads(now)

    def mark_target_down(self, target: str, *, now: float) -> list[Action]:
        """Suspend a target that is known to be down."""
        state = self.targets.get(target)
        if state is not None:
            state.mark_down(now)
            self.placement.mark_target_down(target)
            self._update_open_targets(now)
        return []

    def has_restarted(self, target: str, incarnation: str) -> bool:
        """Return whether a target has reported another incarnation than the given."""
        state = self.targets.get(target)
        known = state.incarnation if state is not None else ""
        return bool(known and incarnation) and known != incarnation

    def list_open_orders(self, now: float) -> list[OrderInDoubt]:
        """Return the orders that targets may still carry out."""
        return [
            OrderInDoubt(
                target,
                order.version.adapter,
                order.version.version,
                order.settled_at - now,
            )
            for target, order in self.placement.iter_open_orders()
            if order.settled_at > now
        ]

    def make_handover(self, now: float) -> Handover:
        """Return the state that a later owner needs of this ownership.

        Its epoch is -1 unless this owner knows all uses of the pool's targets.
        """
        pin_s = self.settings.orphan_pin_s
        is_complete = self.recovery.is_complete and not self.unknown_use_targets
        pins = dict.fromkeys((*self.table.orphan_pins, *self.table.pins), now + pin_s)
        return Handover(
            self.epoch if is_complete else -1,
            now,
            tuple(self.list_open_orders(now)),
            tuple(
                PinInDoubt(
                    pin.target, pin.version.adapter, pin.version.version, until - now
                )
                for pin, until in pins.items()
            ),
        )

    def close(self, *, now: float) -> None:
        """End this ownership and release the budget of its loads in flight."""
        self.placement.close(self.budget, now=now)

    # Messages.

    def handle(self, message: Any, *, sender: str, now: float) -> list[Action]:
        """Handle a message from a host that uses the pool.

        Messages are ignored while the pool's lease isn't safe to act on.
        """
        if not self.is_acting(now):
            return []
        return self._handle(message, sender, now)

    @singledispatchmethod
    def _handle(self, message: Any, sender: str, now: float) -> list[Action]:
        return []

    @_handle.register
    def _(self, message: GrantRequest, sender: str, now: float) -> list[Action]:
        key = RequestKey(message.spec.request, message.spec.attempt)
        record = self.table.get_by_request(key)
        if record is not None and record.message is not None:
            return [Send(record.host, record.message)]
        if key in self.queue:
            queued = GrantQueued(key.request, key.attempt, self.pool.name)
            return [Send(sender, queued)]
        if not self._may_hold_grants(sender, now):
            return []
        waiting = make_waiting_request(
            sender, message.spec, aging_s=self.settings.batch_aging_s, now=now
        )
        return self._schedule(waiting, now)

    @_handle.register
    def _(self, message: GrantCancelled, sender: str, now: float) -> list[Action]:
        key = RequestKey(message.request, message.attempt)
        noted = GrantCancelNoted(self.pool.name, key.request, key.attempt)
        actions: list[Action] = [Send(sender, noted)]
        waiting = self.queue.remove(key)
        record = self.table.get_by_request(key)
        if waiting is not None or record is None:
            return actions
        self.shares.correct(record.organisation, -record.tokens)
        return actions + self._free_slot(record, now)

    @_handle.register
    def _(self, message: GrantReleased, sender: str, now: float) -> list[Action]:
        noted = GrantReleaseNoted(
            self.pool.name, message.grant, message.use, message.is_kept
        )
        actions: list[Action] = [Send(sender, noted)]
        record = self.table.grants.get(message.grant)
        if record is None:
            if not message.is_kept:
                self.recovery.note_released(message.grant)
            return actions
        if message.use > record.use:
            actions += self._record_use(record, message, now)
        elif message.outcome is Outcome.UNUSED and not record.is_idle:
            self.shares.correct(record.organisation, -record.tokens)
        if not message.is_kept:
            return actions + self._free_slot(record, now)
        self.table.note_kept(record)
        if self.queue or not self._is_open(record.target, now):
            actions += self.recalls.recall(record, now)
        return actions

    @_handle.register
    def _(self, message: GrantHeld, sender: str, now: float) -> list[Action]:
        record = self.table.grants.get(message.grant)
        if record is not None:
            self.table.confirm(record)
        return []

    @_handle.register
    def _(self, message: TargetDeathReported, sender: str, now: float) -> list[Action]:
        state = self.targets.get(message.target)
        is_current = state is not None and message.incarnation == state.incarnation
        if (
            state is None
            or not is_current
            or not state.failure_reports.add(sender, now)
        ):
            return []
        self._update_open_targets(now)
        detail: dict[str, object] = {"reporter": sender}
        event = Event(
            "dispatch.death_reported",
            target=message.target,
            key=self.key,
            epoch=self.epoch,
            detail=detail,
        )
        return [Emit(event)]

    def is_poll_due(self, target: str, polled_at: float) -> bool:
        """Return whether hosts have reported a failure of a target since its last poll.

        Parameters
        ----------
        target : str
        polled_at : float
            Time of the target's last poll, seconds.
        """
        state = self.targets.get(target)
        if state is None or not state.failure_reports.reporting_hosts:
            return False
        return state.failure_reports.reported_at > polled_at

    @_handle.register
    def _(self, message: GrantInventory, sender: str, now: float) -> list[Action]:
        if not self.recovery.accept(message, sender):
            return []
        for held in self.recovery.list_adoptable_grants(message):
            self._adopt_grant(held, sender, now)
        for order in message.orders:
            version = AdapterVersion(order.adapter, order.version)
            settled_at = now + order.settled_in_s
            self.placement.note_unsettled_order(order.target, version, settled_at)
        for pin in message.pins:
            version = AdapterVersion(pin.adapter, pin.version)
            self.table.add_orphan_pin(Pin(pin.target, version), now + pin.ends_in_s)
        return self._continue_recovery(now)

    # Time.

    def tick(self, *, now: float) -> list[Action]:
        """Act on the passage of time."""
        if not self.is_acting(now):
            return []
        actions = self._continue_recovery(now)
        actions += self._drop_departed_hosts(now)
        actions += self.refusals.refuse_overdue(now)
        actions += self._resend(now)
        if self.recovery.is_complete:
            self.table.expire_orphan_pins(now, self._expires_by_time)
            if now >= self.recovered_at + self.settings.orphan_pin_s:
                expired = {
                    name
                    for name in self.unknown_use_targets
                    if self._expires_by_time(name)
                }
                self.unknown_use_targets -= expired
        self.duplicates.expire(now)
        compare_speeds(self.targets.values())
        self.lateness.measure_queue(self.refusals.is_loaded)
        self._update_open_targets(now)
        for name in self.targets:
            actions += self._grant_free_slots(name, now)
        actions += self._recall_all(now)
        self.is_load_due = True
        return actions + self._order_loads(now)

    @property
    def is_busy(self) -> bool:
        """Whether a request, a grant or the recovery of grants is outstanding."""
        is_open = bool(self.queue.requests or self.table.grants)
        return is_open or not self.recovery.is_complete

    def is_acting(self, now: float) -> bool:
        """Return whether the lease of this ownership is safe to act on."""
        return self.leases.get_held_epoch(self.key, now=now) == self.epoch

    def may_grant(self, now: float) -> bool:
        """Return whether earlier grants are known and the lease is safe to act on."""
        return self.recovery.is_complete and self.is_acting(now)

    def is_pinned(self, target: str, version: AdapterVersion) -> bool:
        """Return whether `version` may be in use on `target`."""
        if not self.recovery.is_complete or target in self.unknown_use_targets:
            return True
        return self.table.is_pinned(target, version)

    def _may_hold_grants(self, host: str, now: float) -> bool:
        if host in self.possible_holders:
            return True
        return host in set(self.leases.iter_possible_holders(now=now))

    # Queue.

    def _schedule(self, waiting: WaitingRequest, now: float) -> list[Action]:
        refused = self.refusals.refuse_on_arrival(waiting, now)
        if refused:
            return refused
        if waiting.version.adapter:
            name = waiting.spec.organisation
            self.placement.note_demand(waiting.version, name, now=now)
        actions = self._try_grant(waiting, now)
        if actions:
            return actions
        refused = self.refusals.refuse_if_late(waiting, now)
        if refused:
            return refused
        self.queue.add(waiting)
        self.refusals.track(waiting)
        self.is_load_due = True
        return self._recall_kept(waiting, now) + self._order_loads(now)

    # Grants.

    def _list_candidates(self, version: AdapterVersion) -> list[TargetState]:
        if not version.adapter:
            return list(self.targets.values())
        return [
            self.targets[name]
            for name in self.placement.get_targets(version)
            if name in self.targets
        ]

    def _try_grant(self, waiting: WaitingRequest, now: float) -> list[Action]:
        if not self.may_grant(now):
            return []
        candidates = self._list_candidates(waiting.version)
        state = choose_target(
            waiting,
            [
                candidate
                for candidate in candidates
                if self._may_run(waiting, candidate.target.name, now)
            ],
            self.prefixes,
            self.settings,
            self.random,
            now,
        )
        return self._grant(waiting, state, now) if state is not None else []

    def _grant_free_slots(self, name: str, now: float) -> list[Action]:
        state = self.targets.get(name)
        if state is None or not self.queue or not self.may_grant(now):
            return []
        actions: list[Action] = []
        while state.count_free(now) > 0:
            waiting = choose_request(
                self.queue,
                self._get_usable_versions(name),
                self.shares,
                lambda waiting: self._may_run(waiting, name, now),
            )
            if waiting is None:
                break
            self.queue.remove(waiting.key)
            actions += self._grant(waiting, state, now)
        return actions

    def _may_run(self, waiting: WaitingRequest, target: str, now: float) -> bool:
        if target in waiting.spec.excluded:
            return False
        return self.duplicates.may_run(waiting.spec, target, now)

    def _get_usable_versions(self, target: str) -> Iterable[AdapterVersion]:
        if self.pool.kind == "plain":
            return (AdapterVersion("", ""),)
        return self.placement.get_resident(target)

    def _grant(
        self, waiting: WaitingRequest, state: TargetState, now: float
    ) -> list[Action]:
        self.grant_count += 1
        spec = waiting.spec
        granted = Granted(
            spec.request,
            spec.attempt,
            f"{self.key}:{self.epoch}:{self.grant_count}",
            self.pool.name,
            state.target.name,
            state.target.address,
            spec.adapter,
            spec.version,
            self.epoch,
            0.0 if self.queue else self.settings.linger_s,
            state.incarnation,
        )
        record = GrantRecord(
            granted.grant,
            waiting.host,
            granted.target,
            waiting.version,
            spec.organisation,
            spec.tokens,
            granted,
            now,
            fingerprint=spec.fingerprint,
        )
        self.table.add(record)
        self.duplicates.note_granted(spec.fingerprint, granted.target, now)
        state.grants.add(granted.grant)
        self.shares.charge(spec.organisation, spec.tokens)
        self.prefixes.note(spec.prefix, granted.target)
        event = Event(
            "dispatch.granted",
            request=spec.request,
            attempt=spec.attempt,
            organisation=spec.organisation,
            target=granted.target,
            key=self.key,
            epoch=self.epoch,
            detail={"grant": granted.grant, "wait_s": now - waiting.arrived_at},
        )
        return [Send(waiting.host, granted), Emit(event)]

    def _record_use(
        self, record: GrantRecord, message: GrantReleased, now: float
    ) -> list[Action]:
        is_first = record.use == 0 and record.message is not None
        charged = record.tokens if is_first else 0.0
        record.use = message.use
        self.shares.correct(message.organisation, message.tokens - charged)
        state = self.targets.get(record.target)
        if state is not None:
            state.record_use(message.outcome, message.tokens, message.duration_s, now)
        if message.outcome is Outcome.OK:
            estimated_tokens = charged or message.tokens
            self.service.add(estimated_tokens, message.duration_s)
        if message.outcome is Outcome.NOT_LOADED:
            self.placement.note_missing(record.target, record.version, now=now)
        if message.outcome not in SETTLED_OUTCOMES:
            self._add_orphan_pin(record, now)
        if not self._end_duplicate(record, message.outcome, now):
            return []
        actions: list[Action] = []
        for name in self.targets:
            actions += self._grant_free_slots(name, now)
        return actions

    def _add_orphan_pin(self, record: GrantRecord, now: float) -> None:
        pin = Pin(record.target, record.version)
        self.table.add_orphan_pin(pin, now + self.settings.orphan_pin_s)

    def _end_duplicate(self, record: GrantRecord, outcome: Outcome, now: float) -> bool:
        # The owner learns of later uses of a kept grant only when they have ended, so
        # only the first use counts as a running duplicate.
        fingerprint, record.fingerprint = record.fingerprint, ""
        return self.duplicates.note_ended(fingerprint, outcome, now)

    def _free_slot(self, record: GrantRecord, now: float) -> list[Action]:
        self._end_duplicate(record, Outcome.UNUSED, now)
        self.table.remove(record.grant)
        state = self.targets.get(record.target)
        if state is not None:
            state.grants.discard(record.grant)
        return self._grant_free_slots(record.target, now)

    # Recall.

    def _is_open(self, target: str, now: float) -> bool:
        state = self.targets.get(target)
        return state is not None and state.is_open(now)

    def _is_leaving(self, target: str) -> bool:
        state = self.targets.get(target)
        return state is None or state.is_leaving

    def _recall_all(self, now: float) -> list[Action]:
        is_contended = bool(self.queue)
        return self.recalls.recall_all(
            self._is_leaving, is_contended=is_contended, now=now
        )

    def _recall_kept(self, waiting: WaitingRequest, now: float) -> list[Action]:
        names = {state.target.name for state in self._list_candidates(waiting.version)}
        return self.recalls.recall_idle(names, now)

    def _update_leaving(self, now: float) -> list[Action]:
        for name, state in self.targets.items():
            state.is_leaving = (
                state.target.is_leaving or name in self.leaving_by_host_list
            )
        self._update_open_targets(now)
        return self._recall_all(now) if self.is_acting(now) else []

    def _update_open_targets(self, now: float) -> None:
        for name, state in self.targets.items():
            self.placement.set_open(name, is_open=state.is_open(now))

    # Orphan pins: versions in use by requests whose end isn't known.

    def _expires_by_time(self, target: str) -> bool:
        """Return whether orphan pins on a target end by time, not by its reports.

        That is the case for a removed target and for one that doesn't report which
        versions are in use.
        """
        state = self.targets.get(target)
        return state is None or state.reports_in_use is False

    def _settle_orphan_pins(self, target: str, report: TargetReport) -> None:
        is_idle = not report.running and not report.waiting
        in_use = () if is_idle else report.in_use
        if in_use is None:
            return
        # A pin that ends later was set after the snapshot, which can't show its use.
        pinned_until = report.snapshot_at + self.settings.orphan_pin_s
        if target in self.unknown_use_targets:
            self.unknown_use_targets.discard(target)
            for version in in_use:
                self.table.add_orphan_pin(Pin(target, version), pinned_until)
        self.table.drop_orphan_pins(target, pinned_until, in_use)

    # Recovery of grants and resending.

    def _continue_recovery(self, now: float) -> list[Action]:
        if self.recovery.is_complete:
            return []
        possible_holders = self.leases.iter_possible_holders(now=now)
        inventory_request = GrantInventoryRequest(self.pool.name, self.epoch)
        due = self.recovery.collect_due_hosts(possible_holders, now)
        if self.recovery.is_complete:
            self._finish_recovery(now)
        return [Send(host, inventory_request) for host in due]

    def _finish_recovery(self, now: float) -> None:
        # Recovery may have ended because the last host without an answer expired; its
        # requests may still run, so the pins are counted from now.
        self.recovered_at = now
        self.table.extend_orphan_pins(now + self.settings.orphan_pin_s)
        if not self.recovery.is_handed_over:
            self.unknown_use_targets = set(self.targets)

    def _adopt_grant(self, held: HeldGrant, host: str, now: float) -> None:
        record = GrantRecord(
            held.grant,
            host,
            held.target,
            AdapterVersion(held.adapter, held.version),
            "",
            0.0,
            None,
            now,
            use=held.use,
            is_idle=held.is_idle,
            is_confirmed=True,
            fingerprint=held.fingerprint,
        )
        self.table.add(record)
        self.duplicates.note_granted(held.fingerprint, held.target, now)
        state = self.targets.get(held.target)
        if state is not None:
            state.grants.add(held.grant)

    def _resend(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for record in self.table.unconfirmed.values():
            if now - record.sent_at >= self.settings.resend_s:
                record.sent_at = now
                actions.append(Send(record.host, record.message))
        return actions

    def _drop_departed_hosts(self, now: float) -> list[Action]:
        possible_holders = set(self.leases.iter_possible_holders(now=now))
        if possible_holders == self.possible_holders:
            return []
        self.possible_holders = possible_holders
        for key, waiting in list(self.queue.requests.items()):
            if waiting.host not in possible_holders:
                self.queue.remove(key)
        actions: list[Action] = []
        for record in list(self.table.grants.values()):
            if record.host not in possible_holders:
                self._add_orphan_pin(record, now)
                actions += self._free_slot(record, now)
        return actions

    # Loads.

    def _order_loads(self, now: float) -> list[Action]:
        if self.pool.kind == "plain" or not self.is_load_due:
            return []
        if self.placement.blocked_until > now:
            return []
        if not self.is_acting(now):
            return []
        self.is_load_due = False
        needs = find_needs(
            self.queue,
            self.placement,
            self.load_shares,
            self.settings,
            lambda name: self._is_open(name, now),
            now,
        )
        actions = self.placement.decide(
            needs, self, self.budget, epoch=self.epoch, now=now
        )
        organisations = {need.version: need.organisation for need in needs}
        for action in actions:
            if isinstance(action, Order) and isinstance(action.order, LoadAdapter):
                order = action.order
                version = AdapterVersion(order.adapter, order.version)
                if version in organisations:
                    self.load_shares.charge(organisations[version], 1.0)
        return actions
