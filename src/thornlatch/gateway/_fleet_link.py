"""What a host tells the others, takes from them, and may use beside them."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import logbook

from thornlatch.core import get_host_name, read_clock
from thornlatch.fleet import (
    DomainExchange,
    DomainView,
    FleetDigest,
    HeldTarget,
    HostDigest,
    LoadExpected,
    LoadRequested,
    Member,
    PeerView,
    TargetUses,
)
from thornlatch.gateway._health import TargetHealth
from thornlatch.gateway._ordering import OrderManager
from thornlatch.gateway._peer_loop import PeerHandlers, PeerLoop
from thornlatch.gateway._settings import GatewaySettings
from thornlatch.gateway._suspects import CrashSuspects
from thornlatch.gateway._topic_share import TopicShare
from thornlatch.gateway._work import WorkTable
from thornlatch.quota import RetryBudget, SharedQuota
from thornlatch.residency import ResidentTable, Tenure, build_residents
from thornlatch.routing import ConfigurationInForce

logger = logbook.Logger("thornlatch.gateway")

PEERS_KNOWN_S = 3.0  # after its start a host has heard of all others that are there
SILENT_PERIODS = 4.5  # without a digest until a host counts as silent


@dataclass(frozen=True)
class HostState:
    """What of a host's state goes into digests or comes from them.

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


class FleetLink:
    """Ties a host to the rest of its fleet.

    Parameters
    ----------
    settings : GatewaySettings
    host : str
        This host's id.
    state : HostState
    is_stopping : callable
        Whether a planned stop has begun.
    on_tick : callable
        Called after each digest, from the thread that runs `loop`.
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
        self.missing_since: dict[str, float] = {}
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
        self.share = TopicShare(
            settings.share,
            self.exchange,
            lambda other: state.peers.is_live(other, now=read_clock()),
            self.send,
        )
        self.loop = PeerLoop(
            settings.peers,
            host=host,
            address=settings.host.peer_address,
            view=state.peers,
            exchange=self.exchange,
            handlers=PeerHandlers(
                self._build_digest,
                self._take_digest,
                self.domain_view.note_sent,
                self._take_fleet,
                self._take_uses,
                self._take_load_request,
                self._take_other,
                on_tick,
            ),
        )

    @property
    def members(self) -> dict[str, Member]:
        """The other hosts by id, live or not."""
        return self.loop.members

    @property
    def has_standbys(self) -> bool:
        """Whether there are more hosts than partitions, so that some hold none."""
        return len(self.members) + 1 > self.state.orders.partitions

    def send(self, host: str, message: object) -> None:
        """Send a message to another host soon; it may be lost.

        Parameters
        ----------
        host : str
        message : object
        """
        self.loop.send(host, message)

    def send_digest_now(self) -> None:
        """Tell the others of a change without waiting for the next digest."""
        self.loop.send_digest_now()

    def take_hosts(self, hosts: dict[str, Member]) -> None:
        """Set the other hosts.

        Parameters
        ----------
        hosts : dict of str to Member
            This host itself is left out.
        """
        others = {host: member for host, member in hosts.items() if host != self.host}
        now = read_clock()
        for host in self.members.keys() - others.keys():
            self.state.peers.forget(host)
        self.state.suspects.retain_hosts(others)
        self.loop.set_members(others)
        self._share_among(others, now)
        logger.info("fleet.hosts_known", extra={"hosts": sorted(others)})

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
        if now - self.started_at >= PEERS_KNOWN_S:
            silent = self._list_silent(now)
        return self.exchange.is_orderer(
            silent, orders_now=bool(self.state.tenure.tokens)
        )

    def has_silent_peers(self, *, now: float) -> bool:
        """Return whether a known host isn't heard of.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
        """
        return bool(self._list_silent(now))

    def _list_silent(self, now: float) -> list[str]:
        """Return the known hosts that aren't heard of."""
        is_live = self.state.peers.is_live
        return [host for host in list(self.members) if not is_live(host, now=now)]

    def take_store_members(self, names: frozenset[str], *, asked_at: float) -> None:
        """Stop setting aside a part for hosts that can't serve any more.

        A host that isn't in the store's group can't confirm the configuration, and so
        takes no requests with keys, some seconds after its last renewal.

        Parameters
        ----------
        names : frozenset of str
            Names of the hosts that the store's group holds.
        asked_at : float
        """
        if self.has_standbys:
            # Members of the group without a partition aren't listed.
            return
        missing = {
            host
            for host in self._list_silent(asked_at)
            if get_host_name(host) not in names
        }
        self.missing_since = {
            host: self.missing_since.get(host, asked_at) for host in missing
        }
        limit_s = self.state.in_force.settings.revocation_s
        limit_s -= self.state.tenure.settings.ttl_s
        absent = {h for h, at in self.missing_since.items() if asked_at - at >= limit_s}
        if absent != self.absent:
            self.absent = absent
            logger.info("fleet.hosts_absent", extra={"hosts": sorted(absent)})
            self._share_among(list(self.members), asked_at)

    def _share_among(self, others: Iterable[str], now: float) -> None:
        """Divide what all hosts together may use."""
        sharing = [host for host in others if host not in self.absent]
        self.state.quota.set_large_fleet(self.exchange.is_large, now=now)
        self.state.quota.set_peers(sharing, now=now)
        self.state.retries.hosts = len(sharing) + 1
        self.share_model_loads()
        silent_s = self.loop.get_period_s() * SILENT_PERIODS
        if self.exchange.is_large:
            silent_s = max(silent_s, self.settings.exchange.silent_s)
        self.state.peers.silent_s = max(self.settings.peer_view.silent_s, silent_s)
        self.state.quota.silent_s = max(self.settings.quota.silent_s, silent_s)

    def share_model_loads(self) -> None:
        """Divide what the store of weights allows."""
        configuration = self.state.in_force.configuration
        if configuration is None:
            return
        engines = [one.engine for one in configuration.services.values() if one.engine]
        rate = min((engine.loads_per_s for engine in engines), default=1.0)
        # However many hosts there are, a host without a partition loads nothing.
        loading = min(self.state.retries.hosts, self.state.orders.partitions)
        self.state.orders.model_loads.set_rate(rate / loading)

    def _build_digest(self, now: float) -> HostDigest:
        spent, levels = self.state.quota.get_spent(now=now)
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
            self.share.list_reads(now=now),
        )

    def _take_digest(self, host: str, digest: HostDigest, now: float) -> None:
        if host in self.absent:
            self.absent.discard(host)
            self.missing_since.pop(host, None)
            self._share_among(list(self.members), now)
        self.state.peers.apply_digest(host, digest, now=now)
        self.state.quota.apply_peer_digest(host, digest.spent, digest.levels, now=now)
        self.state.suspects.set_peer_crashes(host, digest.broken)
        for held in digest.held or ():
            self._take_held(host, held, now)

    def _take_held(self, holder: str, held: HeldTarget, now: float) -> None:
        if self.state.peers.get_holder(held.target, now=now) != holder:
            return
        is_settled = not any(one.is_queued or one.ready_in_s for one in held.adapters)
        report = held.adapters if is_settled else None
        if self.state.residents.confirm_holder_report(held.target, report, now=now):
            return
        residents = build_residents(held.adapters, now=now)
        self.state.residents.apply_holder_report(
            held.target, residents, now=now, report=report
        )

    def _take_fleet(self, message: FleetDigest, now: float) -> None:
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
                )
        for holder, held in message.work.held:
            self._take_held(holder, held, now)
        echoed_at = message.echoes.get(self.host)
        if echoed_at is not None:
            self.share.note_reads(message.relay, message.reads, sent_at=echoed_at)
        self.state.suspects.set_fleet_crashes(self.domain_view.broken)

    def _take_uses(self, message: TargetUses, now: float) -> None:
        self.domain_view.apply_target_uses(message, now=now)

    def _take_other(self, sender: str, message: object, now: float) -> None:
        if isinstance(message, LoadExpected):
            self._take_load_expected(message, now)
        else:
            self.share.take(sender, message, now=now)

    def _take_load_request(
        self, sender: str, message: LoadRequested, now: float
    ) -> None:
        if message.target in self.state.orders.held:
            # In a full mesh the digest that follows an order is as quick.
            requester = sender if self.exchange.is_large else ""
            self.state.orders.request_load(message, now=now, requester=requester)

    def _take_load_expected(self, message: LoadExpected, now: float) -> None:
        told = build_residents([message.adapter], now=now)
        for adapter, resident in told.items():
            self.state.residents.note_expected_load(
                message.target, adapter, resident, now=now
            )
