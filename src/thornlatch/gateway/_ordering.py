"""Sends orders to the targets that this host holds, one at a time to each."""

import threading
import zlib
from collections.abc import Callable, Collection, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

import logbook

from thornlatch.core import read_clock
from thornlatch.exceptions import TargetError
from thornlatch.fleet import (
    HeldTarget,
    LoadExpected,
    LoadRequested,
    PeerView,
    ResidentAdapter,
    Target,
    TargetNotice,
    TargetRegistry,
    UseNotes,
)
from thornlatch.gateway._health import TargetHealth
from thornlatch.gateway._load_bucket import LoadTokenBucket
from thornlatch.gateway._metrics import GatewayMetrics
from thornlatch.gateway._notices import (
    is_of_incarnation,
    log_unreadable,
    note_cold,
    note_leaving,
    note_limit,
    note_pause,
)
from thornlatch.gateway._ports import TargetProtocol
from thornlatch.gateway._work import WorkTable
from thornlatch.residency import (
    AdapterVersions,
    HolderSettings,
    LoadModel,
    NumberedOrder,
    OrderOutcome,
    ResidentTable,
    TargetPlanner,
    Tenure,
    build_residents,
)
from thornlatch.routing import Configuration, ConfigurationInForce, EngineLimits

logger = logbook.Logger("thornlatch.residency")

ORDER_THREADS = 8  # targets that receive orders concurrently
FULL_REPORT_PERIOD_S = 1.0  # between reports of all held targets to the peers
PLACE_CHANGE_S = 0.15  # of the time of the next load, from which peers are told
# In which a former holder's digest with its last order arrives.
HAND_OVER_NOTICE_S = 0.15
ENGINE_COUNT_MEMORY_S = 60.0  # crashed engines are back within a few seconds


@dataclass(eq=False)
class _HeldState:
    target: Target
    partition: int
    planner: TargetPlanner
    orders_from: float  # earliest clock time of an order
    # Hosts to be notified of a load, by adapter.
    requesters: dict[str, set[str]] = field(default_factory=dict)
    # When another load can begin, as the peers know.
    reported_place_at: float = float("-inf")
    lock: threading.Lock = field(default_factory=threading.Lock)
    is_sending: bool = False


class OrderManager:
    """Orders the adapters of held targets and forwards load requests for others.

    Parameters
    ----------
    settings : HolderSettings
    partitions : int
        Number of partitions among which targets are divided.
    protocol : TargetProtocol
    in_force : ConfigurationInForce
    registry : TargetRegistry
    peers : PeerView
    versions : AdapterVersions
    residents : ResidentTable
    tenure : Tenure
    work : WorkTable
    health : TargetHealth
    metrics : GatewayMetrics
    send : callable
        Sends a message to a peer.
    send_digest_now : callable
        Sends a digest to the peers without waiting for its period.
    """

    def __init__(
        self,
        settings: HolderSettings,
        *,
        partitions: int,
        protocol: TargetProtocol,
        in_force: ConfigurationInForce,
        registry: TargetRegistry,
        peers: PeerView,
        versions: AdapterVersions,
        residents: ResidentTable,
        tenure: Tenure,
        work: WorkTable,
        health: TargetHealth,
        metrics: GatewayMetrics,
        send: Callable[[str, object], None],
        send_digest_now: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.partitions = partitions
        self.protocol = protocol
        self.in_force = in_force
        self.registry = registry
        self.peers = peers
        self.versions = versions
        self.residents = residents
        self.tenure = tenure
        self.work = work
        self.health = health
        self.metrics = metrics
        self.send = send
        self.send_digest_now = send_digest_now
        self.lock = threading.Lock()
        self.held: dict[str, _HeldState] = {}
        # Targets that were released within a lease, whose last orders peers must know.
        self.released: dict[str, _HeldState] = {}
        # Held targets whose latest state hasn't been reported to the peers.
        self.changed: set[str] = set()
        self.changed_lock = threading.Lock()
        self.last_full_report_at = float("-inf")
        self.max_engine_count = 0
        self.max_engine_count_at = float("-inf")
        self.model_loads = LoadTokenBucket()
        self.use_notes = UseNotes()
        # Whether other hosts' requests are known some tenths of a second late.
        self.is_view_late = False
        self.executor = ThreadPoolExecutor(ORDER_THREADS, "orders")

    def get_partition(self, target: str) -> int:
        """Return the partition of a target; the partition's owner holds the target.

        Parameters
        ----------
        target : str

        Returns
        -------
        int
        """
        return zlib.crc32(target.encode()) % self.partitions

    def is_held(self, target: str, *, now: float) -> bool:
        """Return whether a live host holds a target and may send it orders.

        Parameters
        ----------
        target : str
        now : float

        Returns
        -------
        bool
        """
        held = self.held.get(target)
        if held is not None:
            return now >= held.orders_from and held.planner.is_responding(now=now)
        return self.peers.get_holder(target, now=now) is not None

    def count_requests(self, target: str) -> int:
        """Return the number of all hosts' requests at a target.

        Parameters
        ----------
        target : str

        Returns
        -------
        int
        """
        return self.work.get_total(target) + self.peers.count_peer_requests(target)

    def count_recent_prompt_tokens(self, target: str, *, now: float) -> float:
        """Return the prompt tokens that all hosts sent to a target recently.

        Parameters
        ----------
        target : str
        now : float

        Returns
        -------
        float
            Decayed sum, in which older prompts count less.
        """
        own = self.work.get_recent_prompt_tokens(target, now=now)
        return own + self.peers.get_recent_prompt_tokens(target, now=now)

    def count_in_transit(self, target: str, *, now: float) -> int:
        """Return the number of adapters that a target is loading or will load.

        Parameters
        ----------
        target : str
        now : float

        Returns
        -------
        int
        """
        residents = self.residents.by_target.get(target, {})
        return sum(1 for resident in residents.values() if resident.ready_at > now)

    def request_load(
        self, load_request: LoadRequested, *, now: float, requester: str = ""
    ) -> None:
        """Request the load of an adapter at a target.

        The request is forwarded to the target's holder if that is another host. It is
        dropped if the target has no holder, is evacuated or is in a pause. It is
        dropped, too, if another target with a free slot holds or loads the adapter,
        unless the request's target reported that it lacks it or a copy is requested.

        Parameters
        ----------
        load_request : LoadRequested
        now : float
        requester : str
            The host that is notified of the load; empty for this host.
        """
        target = self.registry.get(load_request.target)
        if target is not None and self.registry.is_evacuated(target):
            return
        held = self.held.get(load_request.target)
        if held is None:
            holder = self.peers.get_holder(load_request.target, now=now)
            if holder is not None:
                self.send(holder, load_request)
            return
        if self.health.get_pause_s(load_request.target, now=now):
            return
        may_drop = not load_request.was_missing and not load_request.is_copy
        adapter = load_request.adapter
        if may_drop and self._is_available_elsewhere(
            held, adapter, load_request.version, load_request.unusable
        ):
            return
        with held.lock:
            held.planner.request_load(
                adapter,
                load_request.version,
                priority=load_request.priority,
                now=now,
                due_s=load_request.due_s,
                useful_s=load_request.useful_s,
                was_missing=load_request.was_missing,
                is_copy=load_request.is_copy,
                unusable=load_request.unusable,
            )
            if requester:
                held.requesters.setdefault(adapter, set()).add(requester)
        self._publish_and_notify(held, now)
        if requester:
            self._notify_of_queue(held, adapter, requester, now)
        self._start_orders(held)

    def _notify_of_queue(
        self, held: _HeldState, adapter: str, requester: str, now: float
    ) -> None:
        """Notify a requesting host if its load has to wait for a place.

        Without a word it would request the adapter at the next target too, and each
        target would load it once a place is free.
        """
        uses = self.get_uses(held.target.id, now=now)
        with held.lock:
            if not held.is_sending and self._choose_order(held, now) is not None:
                return
            for resident in held.planner.get_residents(uses, now=now):
                if resident.name == adapter and resident.is_queued:
                    # Under the lock, so that word of the load's start can't overtake.
                    self.send(requester, LoadExpected(held.target.id, resident))

    def _drop_available(self, held: _HeldState) -> None:
        """Drop queued loads of adapters that another target has begun to load since.

        The requests that they were meant for begin there.
        """
        requested = held.planner.requested
        for adapter, load in list(requested.items()):
            if not load.is_copy and self._is_available_elsewhere(
                held, adapter, load.version, load.unusable, has_started=True
            ):
                del requested[adapter]

    def _is_available_elsewhere(
        self,
        held: _HeldState,
        adapter: str,
        version: int,
        unusable: Collection[str],
        *,
        has_started: bool = False,
    ) -> bool:
        """Return whether another target with a free slot holds or loads an adapter.

        Two hosts that miss an adapter at the same time may request it at different
        targets. Queued loads don't count if `has_started`, or two holders might drop
        each other's.
        """
        for target in self.registry.get_ready(held.target.service):
            if target.id == held.target.id or target.id in unusable:
                continue
            if self.health.limits.is_limited(target.incarnation):
                continue
            resident = self.residents.get(target.id, adapter)
            if resident is None or resident.version < version:
                continue
            if has_started and resident.is_queued:
                continue
            if self.count_requests(target.id) < target.slots:
                return True
        return False

    def count_engines(self) -> int:
        """Return the number of engines that accept requests or did so recently.

        The weight store keeps its speed for about as many adapter loads in transit. It
        does so too while some engines are down and the others have to load their
        adapters, so engines that failed recently are counted.
        """
        configuration = self.in_force.configuration
        if configuration is None:
            return 0
        now = read_clock()
        count = sum(
            len(self.registry.get_ready(service.name))
            for service in configuration.services.values()
            if service.engine is not None
        )
        if (
            count >= self.max_engine_count
            or now - self.max_engine_count_at >= ENGINE_COUNT_MEMORY_S
        ):
            self.max_engine_count, self.max_engine_count_at = count, now
        return self.max_engine_count

    def update_held_targets(self, *, now: float) -> None:
        """Hold the targets whose partitions this host owns and release the others.

        Parameters
        ----------
        now : float
        """
        configuration = self.in_force.configuration
        if configuration is None or not (self.tenure.tokens or self.held):
            return
        with self.lock:
            # Under the lock, or a partition lost meanwhile would be taken up again.
            targets_to_hold = self._list_targets_to_hold(configuration)
            for target_id in [
                held_id
                for held_id in self.held
                if not self._is_still_held(held_id, targets_to_hold)
            ]:
                self.released[target_id] = self.held.pop(target_id)
                self._note_changed(target_id)
                logger.info("residency.released", extra={"target": target_id})
            self.use_notes.retain_targets(set(targets_to_hold))
            for target_id, (target, limits) in targets_to_hold.items():
                if target_id not in self.held:
                    self._begin_holding(target, limits, now)

    def _list_targets_to_hold(
        self, configuration: Configuration
    ) -> dict[str, tuple[Target, EngineLimits]]:
        targets_to_hold = {}
        for target in list(self.registry.targets.values()):
            service = configuration.services.get(target.service)
            if service is None or service.engine is None or target.is_leaving:
                continue
            if self.registry.is_evacuated(target):
                continue
            if self.get_partition(target.id) in self.tenure.tokens:
                targets_to_hold[target.id] = (target, service.engine)
        return targets_to_hold

    def _is_still_held(
        self, target_id: str, targets_to_hold: dict[str, tuple[Target, EngineLimits]]
    ) -> bool:
        entry = targets_to_hold.get(target_id)
        held = self.held[target_id]
        return entry is not None and entry[0].incarnation == held.target.incarnation

    def _begin_holding(self, target: Target, limits: EngineLimits, now: float) -> None:
        partition = self.get_partition(target.id)
        self.released.pop(target.id, None)
        orders_from = max(now, self._get_hand_over_end(target.id, now))
        if orders_from > now:
            # The former holder's last order may not be known yet.
            orders_from = max(orders_from, now + HAND_OVER_NOTICE_S)
        planner = TargetPlanner(self.settings, limits, self.versions)
        planner.former |= self.residents.former_adapters.get(target.id, set())
        self.held[target.id] = _HeldState(target, partition, planner, orders_from)
        self._note_changed(target.id)
        logger.info(
            "residency.taken_up",
            extra={
                "target": target.id,
                "fencing_token": self.tenure.tokens.get(partition),
                "orders_in_s": round(orders_from - now, 3),
            },
        )

    def _get_hand_over_end(self, target: str, now: float) -> float:
        """Return the earliest time of an order after those of live former holders.

        A lease must pass after the last one, or two hosts might send orders
        alternately.
        """
        ordered_at = self.peers.get_last_order_at(target, now=now)
        return ordered_at + self.tenure.settings.lease_s

    def tick(self, *, now: float) -> None:
        """Send the orders that are due.

        Parameters
        ----------
        now : float
        """
        for held in list(self.held.values()):
            uses = self.get_uses(held.target.id, now=now)
            with held.lock:
                held.planner.note_use(uses, now=now)
                place_at = now + self._estimate_place_wait(held, uses, now)
            self._note_place(held, place_at, now)
            self._start_orders(held)

    def _estimate_place_wait(
        self, held: _HeldState, uses: dict[str, int], now: float
    ) -> float:
        """Return the seconds until another load can begin at a held target."""
        pause_s = self.health.get_pause_s(held.target.id, now=now)
        return max(held.planner.estimate_place_wait(uses, now=now), pause_s)

    def _note_place(self, held: _HeldState, place_at: float, now: float) -> None:
        """Update when a held target can load another adapter; report large changes."""
        self.residents.place_at[held.target.id] = place_at
        change_s = max(place_at, now) - max(held.reported_place_at, now)
        if abs(change_s) >= PLACE_CHANGE_S:
            self._note_changed(held.target.id)

    def build_held_report(self, *, now: float) -> tuple[HeldTarget, ...] | None:
        """Return the held targets that changed since the last report to the peers.

        All held targets are returned every `FULL_REPORT_PERIOD_S`.

        Parameters
        ----------
        now : float

        Returns
        -------
        tuple of HeldTarget or None
            None if nothing changed.
        """
        with self.changed_lock:
            changed, self.changed = self.changed, set()
        is_full = now - self.last_full_report_at >= FULL_REPORT_PERIOD_S
        if not changed and not is_full:
            return None
        if is_full:
            self.last_full_report_at = now
        reports = []
        for held in list(self.held.values()):
            if not is_full and held.target.id not in changed:
                continue
            token = self.tenure.get_token(held.partition, now=now)
            if token is None or held.planner.sequence is None:
                # To be reported as soon as the host may order again.
                if held.target.id in changed:
                    self._note_changed(held.target.id)
                continue
            target = held.target
            uses = self.get_uses(target.id, now=now)
            with held.lock:
                adapters = held.planner.get_residents(uses, now=now)
                place_in_s = self._estimate_place_wait(held, uses, now)
            held.reported_place_at = now + place_in_s
            reports.append(
                HeldTarget(
                    target.id,
                    target.started_ms,
                    token,
                    min(now - held.planner.ordered_at, 1e6),
                    adapters,
                    round(max(place_in_s, 0.0), 2),
                )
            )
        reports += self._report_released(now, is_full=is_full, changed=changed)
        return tuple(reports) if reports or is_full else None

    def _report_released(
        self, now: float, *, is_full: bool, changed: Collection[str]
    ) -> list[HeldTarget]:
        """Return the last orders to released targets, for as long as a lease runs."""
        reports = []
        for target_id, released in list(self.released.items()):
            ordered_ago_s = now - released.planner.ordered_at
            if ordered_ago_s >= self.tenure.settings.lease_s:
                del self.released[target_id]
            elif is_full or target_id in changed:
                started_ms = released.target.started_ms
                reports.append(HeldTarget(target_id, started_ms, 0, ordered_ago_s, ()))
        return reports

    def list_held(self) -> tuple[str, ...]:
        """Return the ids of the targets that this host holds and may send orders."""
        now = read_clock()
        # Another thread may hold or release a target meanwhile.
        targets = list(self.held)
        return tuple(target for target in targets if self.is_held(target, now=now))

    def stop(self) -> None:
        """Give up all held targets and send no further orders."""
        self.tenure.drop_all()
        with self.lock:
            self.held.clear()
        self.executor.shutdown(wait=False, cancel_futures=True)

    def get_uses(self, target: str, *, now: float) -> dict[str, int]:
        """Return the number of all hosts' requests at a held target, by adapter.

        Parameters
        ----------
        target : str
        now : float

        Returns
        -------
        dict of str to int
        """
        reported = self.peers.count_peer_requests_by_adapter(target)
        uses = self.use_notes.correct(target, reported, now=now)
        for adapter, count in self.work.get_uses(target).items():
            uses[adapter] = uses.get(adapter, 0) + count
        return uses

    def _start_orders(self, held: _HeldState) -> None:
        now = read_clock()
        if held.planner.ordered_at == float("-inf"):
            hand_over_end = self._get_hand_over_end(held.target.id, now)
            held.orders_from = max(held.orders_from, hand_over_end)
        with held.lock:
            if held.is_sending or now < held.orders_from:
                return
            if self.health.get_pause_s(held.target.id, now=now):
                return
            needs_report = held.planner.needs_report(now=now)
            if not needs_report and self._choose_order(held, now) is None:
                return
            held.is_sending = True
        try:
            self.executor.submit(self._send_orders, held)
        except RuntimeError:
            # The executor has been shut down because the host is stopping.
            with held.lock:
                held.is_sending = False

    def _choose_order(self, held: _HeldState, now: float) -> NumberedOrder | None:
        self._drop_available(held)
        return held.planner.next_order(
            self.get_uses(held.target.id, now=now),
            now=now,
            may_load_model=self.model_loads.has_token(now=now),
            may_load_concurrently=self.residents.count_in_transit(now=now)
            < self.count_engines(),
        )

    def _send_orders(self, held: _HeldState) -> None:
        try:
            while self._send_next(held):
                pass
        except Exception:
            logger.exception("residency.failed", extra={"target": held.target.id})
            self._end_sending(held)

    def _end_sending(self, held: _HeldState) -> None:
        with held.lock:
            held.is_sending = False

    def _send_next(self, held: _HeldState) -> bool:
        """Send one order or read a report; return whether another may follow.

        If not, `is_sending` is cleared, and from then on another sender may run.
        """
        now = read_clock()
        token = self.tenure.get_token(held.partition, now=now)
        is_closed = self.registry.is_evacuated(held.target) or (
            self.health.get_pause_s(held.target.id, now=now) > 0
        )
        if token is None or is_closed or self.held.get(held.target.id) is not held:
            self._end_sending(held)
            return False
        with held.lock:
            needs_report = held.planner.needs_report(now=now)
            numbered_order = None if needs_report else self._choose_order(held, now)
            if (
                numbered_order is not None
                and isinstance(numbered_order.order, LoadModel)
                and not self.model_loads.try_take(now=now)
            ):
                numbered_order = None
            if numbered_order is None and not needs_report:
                # Cleared under the lock: whoever requests a load next starts anew.
                held.is_sending = False
                return False
        if numbered_order is None:
            may_follow = self._read_report(held)
        else:
            may_follow = self._send_order(held, numbered_order, token)
        if not may_follow:
            self._end_sending(held)
        return may_follow

    def _send_order(
        self, held: _HeldState, numbered_order: NumberedOrder, token: int
    ) -> bool:
        reply = self.protocol.send_order(
            held.target.address, held.target.id, numbered_order, token
        )
        self._record_outcome(held, numbered_order, reply.outcome, reply.detail, token)
        self._apply_notice(held, reply.notice, source="order")
        return reply.outcome in (OrderOutcome.ACCEPTED, OrderOutcome.HOLDS)

    def _record_outcome(
        self,
        held: _HeldState,
        numbered_order: NumberedOrder,
        outcome: OrderOutcome,
        detail: str,
        token: int,
    ) -> None:
        now = read_clock()
        kind = type(numbered_order.order).__name__
        with held.lock:
            held.planner.apply_outcome(numbered_order, outcome, now=now)
        if outcome is OrderOutcome.FENCED:
            if isinstance(numbered_order.order, LoadModel):
                self.model_loads.give_back()
            self.tenure.note_fenced(held.partition)
        self._publish_and_notify(held, now)
        self.metrics.orders.labels(kind, outcome.value).inc()
        logger.info(
            "residency.ordered",
            extra={
                "target": held.target.id,
                "order": kind,
                "adapter": getattr(numbered_order.order, "adapter", ""),
                "expected": numbered_order.expected,
                "fencing_token": token,
                "outcome": outcome.value,
                "detail": detail,
            },
        )

    def _read_report(self, held: _HeldState) -> bool:
        try:
            report = self.protocol.read_report(held.target.address, held.target.id)
        except TargetError as error:
            now = read_clock()
            if error.notice is not None:
                self._apply_notice(held, error.notice, source="report")
            with held.lock:
                held.planner.report_due_at = now + self.settings.retry_s
            logger.info(
                "residency.report_failed",
                extra={"target": held.target.id, "error": error.message},
            )
            return False
        now = read_clock()
        with held.lock:
            held.planner.apply_report(report, now=now)
        self._publish_residents(held, now)
        logger.info(
            "residency.report_taken",
            extra={
                "target": held.target.id,
                "sequence": report.sequence,
                "adapters": sum(
                    len(loaded.adapters) for loaded in report.loaded_models
                ),
                "pending": len(report.pending),
            },
        )
        self._apply_notice(held, report.notice, source="report")
        return True

    def _apply_notice(
        self, held: _HeldState, notice: TargetNotice, *, source: str
    ) -> None:
        """Act on what a held target says of itself in an answer."""
        if not is_of_incarnation(held.target, notice):
            return
        log_unreadable(held.target.id, notice, health=self.health)
        note_pause(
            held.target.id,
            notice,
            source=source,
            health=self.health,
            metrics=self.metrics,
        )
        note_cold(held.target, notice.cold_s, source=source, health=self.health)
        note_limit(
            held.target.incarnation,
            notice,
            source=source,
            sent_at=read_clock(),
            # Only answers to callers' requests are known to name a limit in force.
            may_end=False,
            health=self.health,
            metrics=self.metrics,
        )
        if notice.is_leaving:
            note_leaving(
                held.target.incarnation,
                source=source,
                registry=self.registry,
                metrics=self.metrics,
            )
            # Otherwise orders would go on until the next tick.
            self.update_held_targets(now=read_clock())

    def _publish_residents(self, held: _HeldState, now: float) -> None:
        """Update this host's resident table and the peers with a held target's state.

        Parameters
        ----------
        held : _HeldState
        now : float
        """
        uses = self.get_uses(held.target.id, now=now)
        with held.lock:
            adapters = held.planner.get_residents(uses, now=now)
        self._publish(held, adapters, now)

    def _publish_and_notify(self, held: _HeldState, now: float) -> None:
        """Publish a held target's state; notify requesting hosts of ordered loads."""
        uses = self.get_uses(held.target.id, now=now)
        with held.lock:
            adapters = held.planner.get_residents(uses, now=now)
            ordered_loads = _pop_ordered_loads(held.requesters, adapters)
        self._publish(held, adapters, now)
        for ordered_load, hosts in ordered_loads:
            for host in hosts:
                self.send(host, LoadExpected(held.target.id, ordered_load))

    def _publish(
        self, held: _HeldState, adapters: tuple[ResidentAdapter, ...], now: float
    ) -> None:
        residents = build_residents(adapters, now=now)
        self.residents.apply_holder_report(held.target.id, residents, now=now)
        self._note_changed(held.target.id)
        self.send_digest_now()

    def _note_changed(self, target: str) -> None:
        with self.changed_lock:
            self.changed.add(target)

    def refresh_residents(self, *, now: float) -> None:
        """Renew the time stamps of held targets' residents so that they stay valid.

        Parameters
        ----------
        now : float
        """
        for held in list(self.held.values()):
            if held.planner.sequence is not None:
                self.residents.holder_reported_at[held.target.id] = now


def _pop_ordered_loads(
    requesters: dict[str, set[str]], adapters: Iterable[ResidentAdapter]
) -> list[tuple[ResidentAdapter, set[str]]]:
    """Remove adapters from `requesters` unless queued; return those being loaded."""
    ordered_loads = []
    queued = set()
    for adapter in adapters:
        if adapter.is_queued:
            queued.add(adapter.name)
        elif adapter.name in requesters:
            ordered_loads.append((adapter, requesters.pop(adapter.name)))
    # Requests that were dropped have no load to report.
    for name in requesters.keys() - queued:
        del requesters[name]
    return ordered_loads
