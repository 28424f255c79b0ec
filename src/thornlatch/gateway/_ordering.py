"""Sends orders to the targets that this host holds, one at a time each."""

import threading
import zlib
from collections.abc import Callable
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
    Target,
    TargetRegistry,
)
from thornlatch.gateway._load_bucket import LoadTokenBucket
from thornlatch.gateway._metrics import GatewayMetrics
from thornlatch.gateway._ports import TargetProtocol
from thornlatch.gateway._work import WorkTable
from thornlatch.residency import (
    AdapterVersions,
    HolderSettings,
    NumberedOrder,
    OrderOutcome,
    ResidentTable,
    TargetPlanner,
    Tenure,
    build_residents,
)
from thornlatch.routing import ConfigurationInForce, EngineLimits

logger = logbook.Logger("thornlatch.residency")

ORDER_THREADS = 8  # targets that get an order at the same moment
FULL_PERIOD_S = 1.0  # between two full accounts of held targets to the peers
ENGINES_MEMORY_S = 60.0  # engines that crashed are back within some seconds


@dataclass(eq=False)
class _Held:
    target: Target
    partition: int
    planner: TargetPlanner
    orders_from: float
    # Hosts that asked for an adapter and haven't been told when it is there.
    askers: dict[str, set[str]] = field(default_factory=dict)
    lock: threading.Lock = field(default_factory=threading.Lock)
    is_running: bool = False


class OrderManager:
    """Decides and sends orders for held targets; asks other holders for theirs.

    Parameters
    ----------
    settings : HolderSettings
    partitions : int
        Partitions over which targets are spread.
    protocol : TargetProtocol
    in_force : ConfigurationInForce
    registry : TargetRegistry
    peers : PeerView
    versions : AdapterVersions
    residents : ResidentTable
    tenure : Tenure
    work : WorkTable
    metrics : GatewayMetrics
    send : callable
        Sends a message to a peer.
    send_digest_now : callable
        Has the peers told soon of what changed.
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
        self.metrics = metrics
        self.send = send
        self.send_digest_now = send_digest_now
        self.lock = threading.Lock()
        self.held: dict[str, _Held] = {}
        # Held targets of which the peers don't know the newest yet.
        self.changed: set[str] = set()
        self.changing = threading.Lock()
        self.full_at = float("-inf")
        self.most_engines = 0
        self.most_engines_at = float("-inf")
        self.model_loads = LoadTokenBucket()
        self.executor = ThreadPoolExecutor(ORDER_THREADS, "orders")

    def get_partition(self, target: str) -> int:
        """Return the partition that decides who holds a target.

        Parameters
        ----------
        target : str

        Returns
        -------
        int
        """
        return zlib.crc32(target.encode()) % self.partitions

    def is_held(self, target: str, *, now: float) -> bool:
        """Return whether a live host orders a target's adapters.

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
            return now >= held.orders_from and held.planner.sequence is not None
        return self.peers.get_holder(target, now=now) is not None

    def count_requests(self, target: str) -> int:
        """Return the requests of all hosts at a target.

        Parameters
        ----------
        target : str

        Returns
        -------
        int
        """
        return self.work.get_total(target) + self.peers.count_peer_requests(target)

    def count_recent_prompt_tokens(self, target: str, *, now: float) -> float:
        """Return the prompt tokens that all hosts sent to a target lately.

        Parameters
        ----------
        target : str
        now : float

        Returns
        -------
        float
            The older a prompt, the less it counts.
        """
        own = self.work.get_recent_prompt_tokens(target, now=now)
        return own + self.peers.get_recent_prompt_tokens(target, now=now)

    def count_in_transit(self, target: str, *, now: float) -> int:
        """Return the adapters that a target fetches or will fetch.

        Parameters
        ----------
        target : str
        now : float

        Returns
        -------
        int
        """
        residents = self.residents.by_target.get(target, {})
        return sum(1 for one in residents.values() if one.ready_at > now)

    def request_load(
        self, wish: LoadRequested, *, now: float, requester: str = ""
    ) -> None:
        """Have an adapter loaded at a target, by its holder.

        Parameters
        ----------
        wish : LoadRequested
        now : float
        asker : str
            The host that is to be told; empty for this one.
        """
        held = self.held.get(wish.target)
        if held is None:
            holder = self.peers.get_holder(wish.target, now=now)
            if holder is not None:
                self.send(holder, wish)
            return
        is_first = not wish.was_missing and not wish.is_copy
        if is_first and self._is_served_elsewhere(wish):
            return
        with held.lock:
            held.planner.request_load(
                wish.adapter,
                wish.version,
                priority=wish.priority,
                now=now,
                was_missing=wish.was_missing,
            )
            if requester:
                held.askers.setdefault(wish.adapter, set()).add(requester)
        self.publish(held, now)
        self._tell_askers(held, now)
        self._start(held)

    def _is_served_elsewhere(self, wish: LoadRequested) -> bool:
        """Return whether a target with room got the adapter in the meantime.

        Two hosts that miss it at the same moment may choose different targets.
        """
        service = self.held[wish.target].target.service
        for target in self.registry.get_ready(service):
            if target.id == wish.target or target.id in wish.unusable:
                continue
            resident = self.residents.get(target.id, wish.adapter)
            if resident is None or resident.version < wish.version:
                continue
            if self.count_requests(target.id) < target.slots:
                return True
        return False

    def count_engines(self) -> int:
        """Return the engines that take new work, or did until lately.

        The weight store keeps its speed for about as many adapters in transit, also
        while some of them are down and the others have to load what those held.
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
        if count >= self.most_engines or now - self.most_engines_at >= ENGINES_MEMORY_S:
            self.most_engines, self.most_engines_at = count, now
        return self.most_engines

    def update_held_targets(self, *, now: float) -> None:
        """Take up targets whose partition this host holds and drop others.

        Parameters
        ----------
        now : float
        """
        configuration = self.in_force.configuration
        if configuration is None:
            return
        wanted: dict[str, tuple[Target, EngineLimits]] = {}
        for target in list(self.registry.targets.values()):
            service = configuration.services.get(target.service)
            if service is None or service.engine is None or target.is_leaving:
                continue
            if self.get_partition(target.id) in self.tenure.tokens:
                wanted[target.id] = (target, service.engine)
        with self.lock:
            for name in [n for n in self.held if not self._keeps(n, wanted)]:
                del self.held[name]
                logger.info("residency.released", extra={"target": name})
            for name, (target, limits) in wanted.items():
                if name not in self.held:
                    self._take_up(target, limits, now)

    def _keeps(self, name: str, wanted: dict[str, tuple[Target, EngineLimits]]) -> bool:
        kept = wanted.get(name)
        held = self.held[name]
        return kept is not None and kept[0].incarnation == held.target.incarnation

    def _take_up(self, target: Target, limits: EngineLimits, now: float) -> None:
        partition = self.get_partition(target.id)
        orders_from = now
        former = self.peers.get_holder_report(target.id)
        if former is not None and self.peers.get_holder(target.id, now=now):
            # The former holder lives: two hosts must not take turns within a lease.
            last, heard_at = former
            ordered_at = heard_at - last.ordered_ago_s
            orders_from = max(now, ordered_at + self.tenure.settings.lease_s)
        planner = TargetPlanner(self.settings, limits, self.versions)
        planner.former |= self.residents.former_adapters.get(target.id, set())
        self.held[target.id] = _Held(target, partition, planner, orders_from)
        self._note_changed(target.id)
        logger.info(
            "residency.taken_up",
            extra={
                "target": target.id,
                "fencing_token": self.tenure.tokens.get(partition),
                "orders_in_s": round(orders_from - now, 3),
            },
        )

    def tick(self, *, now: float) -> None:
        """Start orders that are due.

        Parameters
        ----------
        now : float
        """
        for held in list(self.held.values()):
            uses = self.get_uses(held.target.id)
            with held.lock:
                held.planner.note_use(uses, now=now)
            self._start(held)

    def build_held_report(self, *, now: float) -> tuple[HeldTarget, ...] | None:
        """Return what peers don't know yet of held targets; now and then, all of it.

        Parameters
        ----------
        now : float

        Returns
        -------
        tuple of HeldTarget or None
            None if nothing changed.
        """
        with self.changing:
            changed, self.changed = self.changed, set()
        is_full = now - self.full_at >= FULL_PERIOD_S
        if not changed and not is_full:
            return None
        if is_full:
            self.full_at = now
        accounts = []
        for held in list(self.held.values()):
            if not is_full and held.target.id not in changed:
                continue
            token = self.tenure.get_token(held.partition, now=now)
            if token is None or held.planner.sequence is None:
                continue
            with held.lock:
                adapters = held.planner.get_residents(now=now)
            target = held.target
            ago_s = min(now - held.planner.ordered_at, 1e6)
            accounts.append(
                HeldTarget(target.id, target.started_ms, token, ago_s, adapters)
            )
        return tuple(accounts)

    def list_held(self) -> tuple[str, ...]:
        """Return the targets that this host orders."""
        now = read_clock()
        return tuple(name for name in self.held if self.is_held(name, now=now))

    def stop(self) -> None:
        """Send no further orders."""
        self.tenure.drop_all()
        with self.lock:
            self.held.clear()
        self.executor.shutdown(wait=False, cancel_futures=True)

    def get_uses(self, target: str) -> dict[str, int]:
        """Return the requests of all hosts at a held target, by adapter.

        Parameters
        ----------
        target : str

        Returns
        -------
        dict of str to int
        """
        uses = dict(self.peers.count_peer_requests_by_adapter(target))
        for adapter, count in self.work.get_uses(target).items():
            uses[adapter] = uses.get(adapter, 0) + count
        return uses

    def _start(self, held: _Held) -> None:
        now = read_clock()
        with held.lock:
            if held.is_running or now < held.orders_from:
                return
            has_report_due = held.planner.needs_report(now=now)
            if not has_report_due and self._next(held, now) is None:
                return
            held.is_running = True
        try:
            self.executor.submit(self._run, held)
        except RuntimeError:
            # The process stops.
            held.is_running = False

    def _next(self, held: _Held, now: float) -> NumberedOrder | None:
        return held.planner.next_order(
            self.get_uses(held.target.id),
            now=now,
            may_load_model=self.model_loads.has_token(now=now),
            may_load_concurrently=self.residents.count_in_transit(now=now)
            < self.count_engines(),
        )

    def _run(self, held: _Held) -> None:
        try:
            while self._step(held):
                pass
        except Exception:
            logger.exception("residency.failed", extra={"target": held.target.id})
        finally:
            held.is_running = False

    def _step(self, held: _Held) -> bool:
        """Send one order or ask for a report; return whether more may follow."""
        now = read_clock()
        if self.held.get(held.target.id) is not held:
            return False
        token = self.tenure.get_token(held.partition, now=now)
        if token is None:
            return False
        with held.lock:
            must_report = held.planner.needs_report(now=now)
            numbered = None if must_report else self._next(held, now)
        if must_report:
            return self._report(held)
        if numbered is None:
            return False
        reply = self.protocol.send_order(
            held.target.address, held.target.id, numbered, token
        )
        self._note_order(held, numbered, reply.outcome, reply.detail, token)
        return reply.outcome in (OrderOutcome.ACCEPTED, OrderOutcome.HOLDS)

    def _note_order(
        self,
        held: _Held,
        numbered: NumberedOrder,
        outcome: OrderOutcome,
        detail: str,
        token: int,
    ) -> None:
        now = read_clock()
        kind = type(numbered.order).__name__
        with held.lock:
            held.planner.apply_outcome(numbered, outcome, now=now)
        if kind == "LoadModel" and outcome is not OrderOutcome.FENCED:
            self.model_loads.note_load(now=now)
        if outcome is OrderOutcome.FENCED:
            self.tenure.note_fenced(held.partition)
        self.publish(held, now)
        self._tell_askers(held, now)
        self.metrics.orders.labels(kind, outcome.value).inc()
        logger.info(
            "residency.ordered",
            extra={
                "target": held.target.id,
                "order": kind,
                "adapter": getattr(numbered.order, "adapter", ""),
                "expected": numbered.expected,
                "fencing_token": token,
                "outcome": outcome.value,
                "detail": detail,
            },
        )

    def _report(self, held: _Held) -> bool:
        try:
            report = self.protocol.read_report(held.target.address, held.target.id)
        except TargetError as error:
            now = read_clock()
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
        self.publish(held, now)
        logger.info(
            "residency.report_taken",
            extra={
                "target": held.target.id,
                "sequence": report.sequence,
                "adapters": sum(len(one.adapters) for one in report.loaded_models),
                "pending": len(report.pending),
            },
        )
        return True

    def publish(self, held: _Held, now: float) -> None:
        """Show this host's requests what a held target holds.

        Parameters
        ----------
        held : _Held
        now : float
        """
        with held.lock:
            told = held.planner.get_residents(now=now)
        residents = build_residents(told, now=now)
        self.residents.apply_holder_report(held.target.id, residents, now=now)
        self._note_changed(held.target.id)
        self.send_digest_now()

    def _note_changed(self, target: str) -> None:
        with self.changing:
            self.changed.add(target)

    def _tell_askers(self, held: _Held, now: float) -> None:
        """Tell the hosts that asked when a load that was ordered will be done."""
        if not held.askers:
            return
        with held.lock:
            residents = {one.name: one for one in held.planner.get_residents(now=now)}
            told = [
                (residents[adapter], hosts)
                for adapter, hosts in held.askers.items()
                if adapter in residents and not residents[adapter].is_queued
            ]
            for resident, _ in told:
                del held.askers[resident.name]
            # Wishes that were dropped have no load to tell of.
            for adapter in [a for a in held.askers if a not in residents]:
                del held.askers[adapter]
        for resident, hosts in told:
            for host in hosts:
                self.send(host, LoadExpected(held.target.id, resident))

    def refresh_residents(self, *, now: float) -> None:
        """Confirm what held targets hold, so that it isn't taken as outdated.

        Parameters
        ----------
        now : float
        """
        for held in list(self.held.values()):
            if held.planner.sequence is not None:
                self.residents.holder_reported_at[held.target.id] = now
