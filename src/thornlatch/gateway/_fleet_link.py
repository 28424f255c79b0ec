"""Exchange of state with the other hosts, and this host's share of common limits."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import logbook

from thornlatch.core import get_host_name, read_clock
from thornlatch.fleet import (
    AdapterUsed,
    DomainExchange,
    DomainView,
    FleetDigest,
    HeldTarget,
    HostDigest,
    Incarnation,
    LoadExpected,
    LoadRequested,
    Member,
    PeerView,
    StoreKnowledge,
    TargetLimit,
    TargetPace,
    TargetRegistry,
    TargetUses,
)
from thornlatch.gateway._health import TargetHealth
from thornlatch.gateway._metrics import GatewayMetrics
from thornlatch.gateway._notices import (
    PEER,
    note_leaving,
    note_peer_limits,
    note_peer_paces,
)
from thornlatch.gateway._ordering import OrderManager
from thornlatch.gateway._peer_loop import PeerHandlers, PeerLoop
from thornlatch.gateway._settings import GatewaySettings
from thornlatch.gateway._store_epoch import StoreEpochs
from thornlatch.gateway._suspects import CrashSuspects
from thornlatch.gateway._topic_share import TopicAnswered, TopicShare
from thornlatch.gateway._work import WorkTable
from thornlatch.quota import RetryBudget, SharedQuota
from thornlatch.residency import ResidentTable, Tenure, build_residents
from thornlatch.routing import ConfigurationInForce

logger = logbook.Logger("thornlatch.gateway")

PEER_DISCOVERY_S = 3.0  # after the start, until all live hosts have sent a digest
SILENCE_LIMIT_PERIODS = 4.5  # without a digest until a host counts as silent


@dataclass(frozen=True)
class HostState:
    """State of a host that is sent in digests or updated from them.

    Parameters
    ----------
    in_force : ConfigurationInForce
    peers : PeerView
    quota : SharedQuota
    retries : RetryBudget
    residents : ResidentTable
    tenure : Tenure
    work : WorkTable
    health : TargetHealth
    suspects : CrashSuspects
    orders : OrderManager
    registry : TargetRegistry
    metrics : GatewayMetrics
    store_epochs : StoreEpochs
    """

    in_force: ConfigurationInForce
    peers: PeerView
    quota: SharedQuota
    retries: RetryBudget
    residents: ResidentTable
    tenure: Tenure
    work: WorkTable
    health: TargetHealth
    suspects: CrashSuspects
    orders: OrderManager
    registry: TargetRegistry
    metrics: GatewayMetrics
    store_epochs: StoreEpochs = field(default_factory=StoreEpochs)


class FleetLink:
    """Exchanges state with the other hosts of the fleet.

    Parameters
    ----------
    settings : GatewaySettings
    host : str
        This host's id.
    state : HostState
    is_stopping : callable
        Returns whether a planned stop has begun.
    on_tick : callable
        Called after each digest, from the thread that runs `peer_loop`.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        host: str,
        state: HostState,
        *,
        is_stopping: Callable[[], bool],
        on_tick: Callable[[float], None],
    ) -> None:
        self.settings = settings
        self.host = host
        self.state = state
        self.is_stopping = is_stopping
        self.started_at = read_clock()
        # When silent hosts were first missing from the store's group.
        self.missing_since: dict[str, float] = {}
        self.store_restored_at = float("-inf")
        # Hosts that the division of limits excludes.
        self.absent: set[str] = set()
        domain = settings.host.failure_domain
        self.exchange = DomainExchange(
            settings.exchange,
            host=host,
            domain=domain,
            capacity=settings.host.capacity,
        )
        self.domain_view = DomainView(
            settings.exchange, state.peers, host=host, domain=domain
        )
        self.topic_share = TopicShare(
            settings.share,
            self.exchange,
            lambda peer: state.peers.is_live(peer, now=read_clock()),
            self.send,
        )
        self.peer_loop = PeerLoop(
            settings.peers,
            host=host,
            address=settings.host.peer_address,
            view=state.peers,
            exchange=self.exchange,
            handlers=PeerHandlers(
                self._build_digest,
                self._apply_digest,
                self.domain_view.note_sent,
                self._apply_fleet_digest,
                self._apply_target_uses,
                self._handle_load_request,
                self._handle_other_message,
                on_tick,
                lambda: bool(state.orders.held),
            ),
        )

    @property
    def members(self) -> dict[str, Member]:
        """The other hosts by id, whether live or not."""
        return self.peer_loop.members

    @property
    def has_standbys(self) -> bool:
        """Whether there are more hosts than partitions, so that some have none."""
        return len(self.members) + 1 > self.state.orders.partitions

    def send(self, host: str, message: object) -> None:
        """Queue a message to another host; it may be lost.

        Parameters
        ----------
        host : str
        message : object
        """
        self.peer_loop.send(host, message)

    def send_digest_now(self) -> None:
        """Send a digest without waiting for the end of the period."""
        self.peer_loop.send_digest_now()

    def set_hosts(self, hosts: dict[str, Member]) -> None:
        """Set the other hosts.

        Parameters
        ----------
        hosts : dict of str to Member
            Hosts by id; this host itself is ignored.
        """
        peers = {host: member for host, member in hosts.items() if host != self.host}
        now = read_clock()
        lost = self.members.keys() - peers.keys()
        for host in lost:
            self.state.peers.forget(host)
        self.state.suspects.retain_hosts(peers, lost=lost, now=now)
        self.state.suspects.parts.retain_hosts(peers, lost=lost, now=now)
        self.peer_loop.set_members(peers)
        self._divide_limits(peers, now)
        logger.info("fleet.hosts_known", extra={"hosts": sorted(peers)})

    def is_orderer(self, *, now: float) -> bool:
        """Return whether this host takes part in ordering adapters.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
        """
        if not self.has_standbys:
            return True
        silent: list[str] = []
        if now - self.started_at >= PEER_DISCOVERY_S:
            silent = self._list_silent_hosts(now)
        return self.exchange.is_orderer(
            silent, orders_now=bool(self.state.tenure.tokens)
        )

    def has_silent_peers(self, *, now: float) -> bool:
        """Return whether any known host is silent.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
        """
        return bool(self._list_silent_hosts(now))

    def _list_silent_hosts(self, now: float) -> list[str]:
        """Return the known hosts that are silent."""
        is_live = self.state.peers.is_live
        return [host for host in list(self.members) if not is_live(host, now=now)]

    def apply_store_members(
        self, names: frozenset[str], *, requested_at: float
    ) -> None:
        """Exclude hosts that can no longer serve from the division of limits.

        A host that isn't in the store's group can't confirm the configuration, so some
        seconds after its last renewal it stops accepting requests with keys.

        Parameters
        ----------
        names : frozenset of str
            Names of the hosts in the store's group.
        requested_at : float
            When the names were requested from the store.
        """
        if self.has_standbys:
            # The store doesn't list members of the group without a partition.
            return
        missing = {
            host
            for host in self._list_silent_hosts(requested_at)
            if get_host_name(host) not in names
        }
        # A restored store may lack a host that renewed its membership just before.
        earliest = self.store_restored_at + self.state.tenure.settings.ttl_s
        self.missing_since = {
            host: max(self.missing_since.get(host, requested_at), earliest)
            for host in missing
        }
        limit_s = self.state.in_force.settings.revocation_s
        limit_s -= self.state.tenure.settings.ttl_s
        absent = {
            name
            for name, since in self.missing_since.items()
            if requested_at - since >= limit_s
        }
        if absent != self.absent:
            self.absent = absent
            logger.info("fleet.hosts_absent", extra={"hosts": sorted(absent)})
            self._divide_limits(list(self.members), requested_at)

    def note_store_restored(self, *, now: float) -> None:
        """Record that the store was restored from a copy.

        Parameters
        ----------
        now : float
        """
        self.store_restored_at = now

    def _note_store_knowledge(self, knowledge: StoreKnowledge, now: float) -> None:
        """Apply what another host knows of the store."""
        self.state.store_epochs.observe(knowledge.epoch)
        in_force = self.state.in_force
        if not in_force.note_published(knowledge.configuration):
            return
        if now - self.started_at < PEER_DISCOVERY_S:
            # The store had an older version when this host read it for the first time.
            in_force.withdraw_confirmation()
            logger.warning(
                "configuration.outdated",
                extra={"version": in_force.version, "newest": in_force.newest_version},
            )

    def _divide_limits(self, peers: Iterable[str], now: float) -> None:
        """Divide the limits of the fleet among its hosts."""
        sharing = [host for host in peers if host not in self.absent]
        self.state.quota.set_large_fleet(
            self.exchange.is_large,
            digest_period_s=self.exchange.timing.period_s,
            now=now,
        )
        self.state.quota.set_peers(sharing, now=now)
        self.state.retries.hosts = len(sharing) + 1
        names = (get_host_name(host) for host in (self.host, *sharing))
        self.state.health.limits.set_hosts(sorted(set(names)))
        self.state.health.pacer.set_fleet(
            hosts=len(sharing) + 1, period_s=self.peer_loop.get_period_s()
        )
        self.divide_model_loads()
        silent_s = self.peer_loop.get_period_s() * SILENCE_LIMIT_PERIODS
        if self.exchange.is_large:
            silent_s = max(silent_s, self.exchange.timing.silent_s)
            self.domain_view.selector.silent_s = self.exchange.timing.silent_s
        self.state.orders.is_view_late = self.exchange.is_large
        self.state.peers.silent_s = max(self.settings.peer_view.silent_s, silent_s)
        self.state.quota.silent_s = max(self.settings.quota.silent_s, silent_s)

    def divide_model_loads(self) -> None:
        """Divide the rate of loads from the weight store among the hosts."""
        configuration = self.state.in_force.configuration
        if configuration is None:
            return
        engines = [
            service.engine
            for service in configuration.services.values()
            if service.engine
        ]
        rate = min((engine.loads_per_s for engine in engines), default=1.0)
        # Hosts without a partition order no loads.
        ordering_hosts = min(self.state.retries.hosts, self.state.orders.partitions)
        self.state.orders.model_loads.set_rate(rate / ordering_hosts)

    def _build_digest(self, now: float) -> HostDigest:
        spent, levels = self.state.quota.get_spent(now=now)
        epoch = self.state.store_epochs.current
        return HostDigest(
            now,
            self.state.work.list_counts(),
            spent,
            levels,
            self.state.orders.build_held_report(now=now),
            self.state.orders.list_held(),
            self.is_stopping(),
            self.state.suspects.list_own_crashes(now=now),
            self.state.work.list_recent_prompt_tokens(now=now),
            self.state.health.list_avoided(now=now),
            self.topic_share.list_reads(now=now, epoch=epoch),
            self.state.suspects.build_part_report(now=now),
            self.state.registry.list_seen_leaving(),
            StoreKnowledge(epoch, self.state.in_force.newest_version),
            self.state.health.limits.build_reports(now=now),
            self.state.health.limits.count_sends(now=now),
            self.state.health.speeds.pop_reports(),
            self.state.health.pacer.build_reports(now=now),
            self.state.quota.get_demands(now=now),
        )

    def _apply_digest(self, host: str, digest: HostDigest, now: float) -> None:
        if host in self.absent:
            self.absent.discard(host)
            self.missing_since.pop(host, None)
            self._divide_limits(list(self.members), now)
        self._note_store_knowledge(digest.store, now)
        self.state.peers.apply_digest(host, digest, now=now)
        self.state.quota.apply_peer_digest(
            host, digest.spent, digest.levels, now, demands=digest.demands
        )
        self.state.suspects.set_peer_crashes(host, digest.broken)
        self.state.suspects.set_part_report(host, digest.parts, now=now)
        for report in digest.held or ():
            self._apply_holder_report(host, report, now)
        self._apply_leaving(digest.leaving)
        self._apply_limits(digest.limits, now)
        self.state.health.speeds.apply_reports(digest.speeds, now=now)
        self._apply_paces(digest.paces, now)

    def _apply_holder_report(self, holder: str, held: HeldTarget, now: float) -> None:
        if self.state.peers.get_holder(held.target, now=now) != holder:
            return
        self.state.residents.place_at[held.target] = now + held.place_in_s
        is_settled = not any(
            adapter.is_queued or adapter.ready_in_s for adapter in held.adapters
        )
        report = held.adapters if is_settled else None
        if self.state.residents.confirm_holder_report(held.target, report, now=now):
            return
        residents = build_residents(held.adapters, now=now)
        self.state.residents.apply_holder_report(
            held.target, residents, now=now, report=report
        )

    def _apply_fleet_digest(self, message: FleetDigest, now: float) -> None:
        self._note_store_knowledge(message.store, now)
        for update in self.domain_view.apply_fleet_digest(message, now=now):
            if update.spent is not None:
                self.state.quota.apply_domain_digest(
                    update.domain,
                    update.relay,
                    update.spent,
                    update.levels,
                    hosts=update.live,
                    is_used=update.is_selected,
                    now=now,
                    demands=update.demands,
                )
        for holder, report in message.work.held:
            self._apply_holder_report(holder, report, now)
        echoed_at = message.echoes.get(self.host)
        if echoed_at is not None:
            self.topic_share.note_reads(
                message.relay,
                message.reads,
                sent_at=echoed_at,
                epoch=message.store.epoch,
            )
        self.state.suspects.set_fleet_crashes(self.domain_view.crashes)
        self.state.suspects.set_fleet_part_report(self.domain_view.parts, now=now)
        self._apply_leaving(self.domain_view.leaving)
        self._apply_limits(self.domain_view.limits, now)
        # Unlike the rest of the view, these figures count each time they are applied.
        speeds, self.domain_view.speeds = self.domain_view.speeds, {}
        self.state.health.speeds.apply_reports(speeds, now=now)
        self._apply_paces(self.domain_view.paces, now)

    def _apply_leaving(self, incarnations: Iterable[Incarnation]) -> None:
        for incarnation in incarnations:
            note_leaving(
                incarnation,
                source=PEER,
                registry=self.state.registry,
                metrics=self.state.metrics,
            )

    def _apply_limits(self, limits: Iterable[TargetLimit], now: float) -> None:
        note_peer_limits(
            limits, health=self.state.health, metrics=self.state.metrics, now=now
        )

    def _apply_paces(self, paces: Iterable[TargetPace], now: float) -> None:
        note_peer_paces(
            paces,
            health=self.state.health,
            registry=self.state.registry,
            metrics=self.state.metrics,
            now=now,
        )

    def _apply_target_uses(self, message: TargetUses, now: float) -> None:
        self.domain_view.apply_target_uses(message, now=now)

    def _handle_other_message(self, sender: str, message: object, now: float) -> None:
        if isinstance(message, LoadExpected):
            self._apply_expected_load(message, now)
        elif isinstance(message, AdapterUsed):
            if message.target in self.state.orders.held:
                self.state.orders.use_notes.add(sender, message, now=now)
        else:
            if isinstance(message, TopicAnswered):
                self.state.store_epochs.observe(message.epoch)
            self.topic_share.handle_message(sender, message, now=now)

    def _handle_load_request(
        self, sender: str, message: LoadRequested, now: float
    ) -> None:
        if message.target in self.state.orders.held:
            # In a full mesh the requester needs no reply: the digest that follows the
            # order arrives as early.
            requester = sender if self.exchange.is_large else ""
            self.state.orders.request_load(message, now=now, requester=requester)

    def note_use(self, target: str, adapter: str, *, is_used: bool) -> None:
        """Tell a target's holder that this host begins or ceases to use an adapter.

        In a full mesh the next digest tells it as early.

        Parameters
        ----------
        target, adapter : str
        is_used : bool
        """
        if not self.exchange.is_large or target in self.state.orders.held:
            return
        holder = self.state.peers.get_holder(target, now=read_clock())
        if holder is not None:
            self.send(holder, AdapterUsed(target, adapter, is_used))

    def _apply_expected_load(self, message: LoadExpected, now: float) -> None:
        residents = build_residents([message.adapter], now=now)
        for adapter, resident in residents.items():
            self.state.residents.note_expected_load(
                message.target, adapter, resident, now=now
            )
