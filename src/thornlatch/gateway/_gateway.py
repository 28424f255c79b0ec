"""Gateway host: assembly of its parts, threads, servers and shutdown."""

import os
import signal
import sys
import threading
import traceback
import uuid
import zlib
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import fields
from functools import partial
from random import Random
from typing import Any

import logbook
from prometheus_client import generate_latest

from thornlatch.core import bound_arenas, build_status_line, read_clock, received_memory
from thornlatch.exceptions import ThornlatchError
from thornlatch.fleet import UNKNOWN_EPOCH, PeerView, Target, TargetRegistry
from thornlatch.gateway._admission import Admission
from thornlatch.gateway._app import GatewayApplication, StartResponse
from thornlatch.gateway._evacuations import Evacuations
from thornlatch.gateway._explainer import RequestExplainer
from thornlatch.gateway._explanations import Reason, compute_age_s
from thornlatch.gateway._fleet_link import FleetLink, HostState
from thornlatch.gateway._forwarder import Forwarder
from thornlatch.gateway._health import TargetHealth
from thornlatch.gateway._logs import JsonLineHandler, redirect_library_logs
from thornlatch.gateway._metrics import GatewayMetrics
from thornlatch.gateway._notices import EVACUATION, REGISTRATION, note_cold, record_pace
from thornlatch.gateway._operator_pages import OperatorPages
from thornlatch.gateway._ordering import OrderManager
from thornlatch.gateway._pacing import PromptPacing
from thornlatch.gateway._ports import CallerProtocol, TargetProtocol
from thornlatch.gateway._recent_requests import RecentRequests
from thornlatch.gateway._regions import RegionPolicy
from thornlatch.gateway._replication import AdapterReplicator
from thornlatch.gateway._selector import AVOIDING_PEER_LIMIT, TargetSelector
from thornlatch.gateway._sender import TargetSender
from thornlatch.gateway._servers import build_server, has_unsent_answers
from thornlatch.gateway._settings import GatewaySettings
from thornlatch.gateway._signals import SignalWaiter
from thornlatch.gateway._silences import SilencePolicy
from thornlatch.gateway._status_page import StatusBuilder
from thornlatch.gateway._store_epoch import StoreEpochs
from thornlatch.gateway._stream_versions import PARTITIONS as STREAM_PARTITIONS
from thornlatch.gateway._stream_versions import StreamVersions
from thornlatch.gateway._suspects import CrashSuspects
from thornlatch.gateway._target_limits import TargetLimits
from thornlatch.gateway._tunnels import TunnelServer
from thornlatch.gateway._work import WorkTable
from thornlatch.pace import Pacer
from thornlatch.quota import RetryBudget, SharedQuota
from thornlatch.residency import AdapterVersions, Resident, ResidentTable, Tenure
from thornlatch.routing import Configuration, ConfigurationInForce
from thornlatch.targets import Detours, TunnelHost, drop_idle_connections

logger = logbook.Logger("thornlatch.gateway")

EXPIRY_CHECK_PERIOD_S = 0.1  # for callers that disconnected and expired deadlines
IDLE_WAIT_S = 1.0
SIGNAL_WAIT_S = 10.0
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
ACCOUNT_LOG_PERIOD_S = 0.5
STOP_POLL_PERIOD_S = 0.05  # for the end of running requests


class Gateway:
    """One gateway host's process.

    A platform's adapter passes on what it reads from the platform's store through the
    public methods of this class and of `fleet`.

    Parameters
    ----------
    settings : GatewaySettings
    callers : CallerProtocol
    targets : TargetProtocol
    partitions : int
        Number of partitions by which targets are distributed over the hosts.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        *,
        callers: CallerProtocol,
        targets: TargetProtocol,
        partitions: int,
    ) -> None:
        now = read_clock()
        self.settings = settings
        self.host = f"{settings.host.name}.{uuid.uuid4().hex[:8]}"
        received_memory.limit_bytes = settings.forwarding.received_limit_bytes
        self.log = JsonLineHandler(settings.logs, host=self.host)
        self.metrics = GatewayMetrics()
        self.store_epochs = StoreEpochs(self._handle_store_epoch)
        self.in_force = ConfigurationInForce(settings.freshness)
        self.registry = TargetRegistry(settings.registry)
        self.peers = PeerView(settings.peer_view)
        self.quota = SharedQuota(settings.quota, now=now, random=Random())
        self.retries = RetryBudget(settings.retries)
        self.versions = AdapterVersions(settings.versions)
        self.residents = ResidentTable()
        self.tenure = Tenure(settings.tenure)
        self.work = WorkTable(
            on_use=lambda target, adapter, is_used: self.fleet.note_use(
                target, adapter, is_used=is_used
            )
        )
        self.evacuations = Evacuations(
            registry=self.registry,
            work=self.work,
            metrics=self.metrics,
            on_domain_returned=self._handle_domain_returned,
        )
        self.regions = RegionPolicy(settings.regions, in_force=self.in_force)
        self.health = TargetHealth(
            settings.forwarding,
            random=Random(),
            limits=TargetLimits(
                settings.limits,
                host=settings.host.name,
                count_peer_sends=self.peers.count_recent_sends,
                cold_settings=settings.cold,
                started_at=now,
            ),
            speed_settings=settings.speeds,
            pacer=Pacer(
                settings.pace,
                count_own=self.work.get_total,
                count_peers=self.peers.count_peer_requests,
                get_share=self._get_share_of_requests,
            ),
        )
        self.suspects = CrashSuspects(
            settings.suspects,
            self.registry,
            count_runs=self.work.count_runs,
            host=self.host,
        )
        self.orders = OrderManager(
            settings.holder,
            partitions=partitions,
            protocol=targets,
            in_force=self.in_force,
            registry=self.registry,
            peers=self.peers,
            versions=self.versions,
            residents=self.residents,
            tenure=self.tenure,
            work=self.work,
            health=self.health,
            metrics=self.metrics,
            send=lambda host, message: self.fleet.send(host, message),
            send_digest_now=lambda: self.fleet.send_digest_now(),
        )
        self.stream_versions = StreamVersions(
            settings.stream_versions,
            host=self.host,
            partition=zlib.crc32(settings.host.name.encode()) % STREAM_PARTITIONS,
            list_versions=self.registry.list_software_versions,
            is_manager=lambda: self.fleet.topic_share.must_read_store(),
            get_store_failed_at=lambda: self.registry.store_contact.failed_at,
        )
        self.replicator = AdapterReplicator(
            settings.relief,
            orders=self.orders,
            registry=self.registry,
            residents=self.residents,
            versions=self.versions,
        )
        self.recent = RecentRequests(settings.explanations)
        self.detours = Detours(
            settings.detours,
            self._list_tunnel_hosts,
            Random(),
            on_cut=drop_idle_connections,
        )
        self.forwarder = self._build_forwarder(targets)
        self.app = GatewayApplication(callers, self.forwarder, self.metrics)
        self.stopping = threading.Event()
        self.signals = SignalWaiter()
        # Set during a stop once no request is running.
        self.drained = threading.Event()
        self.tunnels = TunnelServer(
            settings.tunnels,
            settings.host.tunnel_address,
            is_target=self._is_target_address,
            is_stopping=lambda: self.stopping.is_set(),
        )
        self.fleet = FleetLink(
            settings,
            self.host,
            HostState(
                in_force=self.in_force,
                peers=self.peers,
                quota=self.quota,
                retries=self.retries,
                residents=self.residents,
                tenure=self.tenure,
                work=self.work,
                health=self.health,
                suspects=self.suspects,
                orders=self.orders,
                registry=self.registry,
                metrics=self.metrics,
                store_epochs=self.store_epochs,
            ),
            is_stopping=self.stopping.is_set,
            on_tick=self._tick,
        )
        self.configured_at = float("-inf")
        self.pages = self._build_pages()
        self.targets_known = False
        self.reported_ready = False
        self.accounts_due_at = now
        self.live_peers: frozenset[str] = frozenset()
        self.executor = ThreadPoolExecutor(18, "gateway")

    def _build_forwarder(self, targets: TargetProtocol) -> Forwarder:
        settings = self.settings.forwarding
        pacing = PromptPacing(settings)
        admission = Admission(
            settings,
            in_force=self.in_force,
            quota=self.quota,
            suspects=self.suspects,
            random=Random(),
        )
        selector = TargetSelector(
            settings,
            failure_domain=self.settings.host.failure_domain,
            registry=self.registry,
            versions=self.versions,
            residents=self.residents,
            orders=self.orders,
            health=self.health,
            pacing=pacing,
            regions=self.regions,
            random=Random(),
            list_beginnable=self.stream_versions.list_beginnable,
        )
        return Forwarder(
            admission=admission,
            selector=selector,
            sender=TargetSender(
                settings,
                protocol=targets,
                work=self.work,
                health=self.health,
                metrics=self.metrics,
                detours=self.detours,
            ),
            silences=SilencePolicy(
                admission=admission,
                selector=selector,
                retries=self.retries,
                work=self.work,
                health=self.health,
                suspects=self.suspects,
                metrics=self.metrics,
                random=Random(),
            ),
            in_force=self.in_force,
            quota=self.quota,
            retries=self.retries,
            residents=self.residents,
            work=self.work,
            health=self.health,
            pacing=pacing,
            suspects=self.suspects,
            metrics=self.metrics,
            stream_versions=self.stream_versions,
            recent=self.recent,
        )

    def _build_pages(self) -> OperatorPages:
        settings = self.settings.explanations
        return OperatorPages(
            StatusBuilder(
                settings,
                host=self.host,
                state=self.fleet.state,
                list_not_ready=self.list_not_ready,
                get_configured_at=lambda: self.configured_at,
            ),
            RequestExplainer(
                settings,
                host=self.host,
                admission=self.forwarder.admission,
                selector=self.forwarder.selector,
                recent=self.recent,
            ),
        )

    def run(
        self,
        feeds: Iterable[Callable[[], None]] = (),
        read_settings: Callable[[], GatewaySettings] | None = None,
    ) -> int:
        """Serve until a planned stop has completed.

        Parameters
        ----------
        feeds : iterable of callable
            Loops of the platform's adapter, each run in its own thread. Those that
            running requests depend on run until `drained`, the others until `stopping`.
        read_settings : callable or None
            Reads the settings again on SIGHUP.

        Returns
        -------
        int
            Exit status.
        """
        with self.log.applicationbound():
            bound_arenas()
            self.signals.install((*STOP_SIGNALS, signal.SIGHUP))
            redirect_library_logs("waitress")
            logger.info("host.started", extra={"pid": os.getpid()})
            servers = self._build_servers()
            loops = [
                self.log.run,
                self.fleet.peer_loop.run,
                self._stop_expired_requests,
                self.tunnels.run,
            ]
            for loop in (*loops, *feeds, *[server.run for server in servers]):
                self.executor.submit(self._run_loop, loop)
            while not self.stopping.is_set():
                received = self.signals.wait(SIGNAL_WAIT_S)
                if any(number in STOP_SIGNALS for number in received):
                    self.stopping.set()
                elif signal.SIGHUP in received:
                    self._reload(read_settings)
            self._stop_within_grace(caller_server=servers[0])
        return 0

    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests to this host."""
        return not self.list_not_ready(read_clock())

    def list_not_ready(self, now: float) -> tuple[Reason, ...]:
        """Return why the load balancer may not send requests to this host.

        Parameters
        ----------
        now : float

        Returns
        -------
        tuple of Reason
            Empty if it may.
        """
        in_force = self.in_force
        reasons = []
        if self.stopping.is_set():
            reasons.append(Reason("stopping", "a planned stop has begun"))
        if not self.targets_known:
            reasons.append(Reason("no-targets", "the list of targets wasn't read yet"))
        if not self.quota.knows_peers:
            reasons.append(Reason("no-hosts", "the list of hosts wasn't received yet"))
        if in_force.configuration is None:
            reasons.append(Reason("no-configuration", "no configuration was read yet"))
        elif not in_force.is_fresh_for_new_requests(now=now):
            reasons.append(
                Reason(
                    "configuration-unconfirmed",
                    "the store hasn't confirmed it, or this host, lately",
                    age_s=compute_age_s(in_force.last_confirmed_at, now),
                )
            )
        return tuple(reasons)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Bring a configuration into force, unless a newer one already is.

        Parameters
        ----------
        configuration : Configuration
        """
        now = read_clock()
        previous = self.in_force.configuration
        is_in_force = self.in_force.install(configuration)
        logger.info(
            "configuration.read",
            extra={
                "version": configuration.version,
                "routes": len(configuration.routes),
                "in_force": is_in_force,
            },
        )
        if not is_in_force:
            return
        self.configured_at = now
        _log_changed_limits(previous, configuration)
        self.quota.set_organisations(configuration.organisations.values(), now=now)
        self.fleet.divide_model_loads()
        self.health.limits.set_cold_rates(
            {
                service.name: service.cold_rate
                for service in configuration.services.values()
                if service.cold_rate > 0
            }
        )
        for service in configuration.services.values():
            if service.cold_s > 0:
                self.health.pacer.enable_service(service.name)
        self._log_withdrawn_keys(configuration)

    def confirm_configuration(self, *, read_started_at: float) -> None:
        """Record that the configuration in force is the latest as of a time.

        Parameters
        ----------
        read_started_at : float
            When the read of the store began that returned nothing newer.
        """
        self.in_force.confirm(asked_at=read_started_at)

    def apply_announced_version(self, adapter: str, version: int, *, at: float) -> None:
        """Apply an announcement of a new version of an adapter.

        Parameters
        ----------
        adapter : str
            ``model/adapter``.
        version : int
        at : float
            Earliest time of the announcement.
        """
        if self.versions.announce(adapter, version, now=at):
            logger.info(
                "version.announced", extra={"adapter": adapter, "version": version}
            )

    def apply_evacuation(
        self, domain: str, *, is_evacuated: bool, read_started_at: float
    ) -> None:
        """Apply an operator's record that evacuates a failure domain, or its deletion.

        Parameters
        ----------
        domain : str
        is_evacuated : bool
        read_started_at : float
            When the read of the store began that returned the record.
        """
        now = read_clock()
        apply = self.evacuations.begin if is_evacuated else self.evacuations.end
        if apply(domain, read_at=read_started_at, now=now):
            # Otherwise orders would go on until the next tick.
            self.orders.update_held_targets(now=now)

    def replace_evacuations(
        self, domains: frozenset[str], *, read_started_at: float
    ) -> None:
        """Apply a complete read of the operators' records.

        Parameters
        ----------
        domains : frozenset of str
            Evacuated failure domains.
        read_started_at : float
            When the read of the store began.
        """
        now = read_clock()
        if self.evacuations.replace_all(domains, read_at=read_started_at, now=now):
            self.orders.update_held_targets(now=now)

    def apply_target(self, name: str, target: Target | None) -> None:
        """Apply a target's registration, or its removal.

        Parameters
        ----------
        name : str
            Id of the target.
        target : Target or None
            None if the registration was removed.
        """
        now = read_clock()
        if target is not None:
            # Before other threads may choose it.
            note_cold(target, target.cold_s, source=REGISTRATION, health=self.health)
        previous = self.registry.get(name)
        if self.registry.apply(name, target, now=now):
            # A target may leave although its entry doesn't say so.
            current = self.registry.get(name) if target is not None else None
            self._handle_target_change(name, current, previous)
        elif target is None and previous is not None:
            # Its entry may have expired in an outage of the store, or be lost.
            logger.info("target.removal_deferred", extra={"target": name})
        if target is not None and target.loaded_models:
            self.residents.apply_registration(
                name, _build_registered_residents(target, now), now=now
            )

    def replace_targets(self, targets: dict[str, Target]) -> None:
        """Replace all registrations.

        Parameters
        ----------
        targets : dict of str to Target
            Targets by id; others are removed.
        """
        for name in [name for name in self.registry.targets if name not in targets]:
            self.apply_target(name, None)
        for name, target in targets.items():
            self.apply_target(name, target)
        self.targets_known = True

    def renew_tenure(
        self,
        partitions: frozenset[int],
        generation: int,
        *,
        requested_at: float,
        epoch: int = 0,
    ) -> None:
        """Renew the tenure of the partitions that the store assigned to this host.

        Parameters
        ----------
        partitions : frozenset of int
        generation : int
            Generation of the group in the store.
        requested_at : float
            When the renewal was sent to the store.
        epoch : int
            Store epoch of the answer.
        """
        if self.stopping.is_set():
            return
        gained, lost = self.tenure.renew(
            partitions, generation, asked_at=requested_at, epoch=max(epoch, 0)
        )
        self.in_force.note_renewal(asked_at=requested_at)
        if gained or lost:
            logger.info(
                "tenure.changed",
                extra={
                    "epoch": epoch,
                    "generation": generation,
                    "gained": sorted(gained),
                    "lost": sorted(lost),
                },
            )
        self.orders.update_held_targets(now=read_clock())

    def release_tenure(self, *, now: float) -> None:
        """Give up the tenure of all partitions, as a host that doesn't order adapters.

        Parameters
        ----------
        now : float
        """
        # Other hosts don't infer from the group whether such a host still serves, so it
        # counts as renewed.
        self.in_force.note_renewal(asked_at=now)
        self.tenure.drop_all()
        self.orders.update_held_targets(now=now)

    def _handle_store_epoch(self, previous: int, epoch: int) -> None:
        """Prepare for a store that may have lost what hosts know from it."""
        self.metrics.store_epoch.set(epoch)
        if previous == UNKNOWN_EPOCH:
            return
        now = read_clock()
        self.tenure.note_restored(now=now)
        self.in_force.note_restored(now=now)
        self.registry.note_restored(now=now)
        self.fleet.note_store_restored(now=now)
        self.stream_versions.note_restored()
        logger.warning(
            "store.restored",
            extra={
                "previous": previous,
                "epoch": epoch,
                "configuration": self.in_force.version,
                "targets": len(self.registry.targets),
                "partitions": len(self.tenure.tokens),
            },
        )

    def _reload(self, read_settings: Callable[[], GatewaySettings] | None) -> None:
        """Apply the settings that can change while the host runs."""
        if read_settings is None:
            return
        try:
            settings = read_settings()
        except ThornlatchError as error:
            # The previous settings stay in effect.
            logger.warning("host.reload_failed", extra={"error": error.message})
            return
        self.in_force.settings = settings.freshness
        self.registry.settings = settings.registry
        self.retries.settings = settings.retries
        self.versions.settings = settings.versions
        self.regions.regions = settings.regions
        changed = [
            setting.name
            for setting in fields(settings)
            if getattr(settings, setting.name) != getattr(self.settings, setting.name)
        ]
        self.settings = settings
        logger.info("host.reloaded", extra={"changed": changed})

    def _run_loop(self, loop: Callable[[], None]) -> None:
        # Threads don't inherit the log handlers of the thread that started them.
        with self.log.threadbound():
            try:
                loop()
            except Exception:
                logger.exception("host.loop_ended")
                self.stopping.set()
                self.signals.wake()

    def _stop_expired_requests(self) -> None:
        while not self.drained.wait(EXPIRY_CHECK_PERIOD_S):
            # A host without requests wakes rarely.
            if self.work.busy.wait(IDLE_WAIT_S):
                self.work.stop_expired(now=read_clock())

    def _build_servers(self) -> list[Any]:
        host = self.settings.host
        servers = [
            build_server(
                self.app,
                host.caller_address,
                threads=self.settings.forwarding.threads,
                thread_wait_s=self.settings.forwarding.thread_wait_s,
                on_abandoned=self.app.note_abandoned,
            ),
            build_server(self._answer_readiness, host.readiness_address, threads=1),
        ]
        if host.metrics_address:
            servers.append(
                build_server(self._answer_metrics, host.metrics_address, threads=1)
            )
        return servers

    def _answer_readiness(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> list[bytes]:
        is_ready = self.is_ready()
        if is_ready != self.reported_ready:
            self.reported_ready = is_ready
            logger.info("host.readiness", extra={"ready": is_ready})
        body = b"ready\n" if is_ready else b"not ready\n"
        start_response(
            build_status_line(200 if is_ready else 503),
            [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))],
        )
        return [body]

    def _answer_metrics(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> list[bytes]:
        status, media_type = 200, "text/plain; version=0.0.4; charset=utf-8"
        page = self.pages.answer(environ)
        if page is None:
            body = generate_latest(self.metrics.registry)
        else:
            status, media_type, body = page.status, "application/json", page.body
        start_response(
            build_status_line(status),
            [
                ("Content-Type", media_type),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]

    def _tick(self, now: float) -> None:
        for name in self.registry.expire(now=now):
            self._handle_target_change(name, None, None)
        live = frozenset(self.peers.list_live(now=now))
        if live != self.live_peers:
            logger.info(
                "fleet.peers_changed",
                extra={
                    "gained": sorted(live - self.live_peers),
                    "lost": sorted(self.live_peers - live),
                },
            )
            self.live_peers = live
        self.health.limits.retain(
            {target.incarnation for target in list(self.registry.targets.values())},
            now=now,
        )
        for incarnation in self.health.limits.pop_warm(now=now):
            logger.info(
                "target.warm",
                extra={"target": incarnation[0], "started_ms": incarnation[1]},
            )
        self.metrics.cold_targets.set(len(self.health.limits.cold))
        self.evacuations.expire(now=now)
        if self.evacuations.unchecked and self.targets_known:
            self.evacuations.check_unknown(self._list_known_domains())
        self._pace_targets(now, has_peers=bool(live))
        self.orders.update_held_targets(now=now)
        self.orders.refresh_residents(now=now)
        self.orders.tick(now=now)
        self.replicator.tick(now=now)
        if self.in_force.configuration is not None:
            self.stream_versions.tick(
                self.in_force.configuration.resumable_services, now=now
            )
        if now >= self.accounts_due_at:
            self.accounts_due_at = now + ACCOUNT_LOG_PERIOD_S
            self._log_accounts(now)
        self.metrics.pace_targets.set(self.health.pacer.count_paced())
        self.metrics.cut_targets.set(self.detours.count_cut())
        self.metrics.tunnels.set(len(self.tunnels.tunnels))
        self.metrics.running.set(len(self.work.running))
        self.metrics.live_peers.set(len(live))
        self.metrics.received_memory.set(received_memory.used_bytes)

    def _log_accounts(self, now: float) -> None:
        """Log the quotas in use, so that the hosts' views of them can be compared."""
        for account in self.quota.list_pressed(now=now):
            logger.info(
                "quota.account",
                extra={
                    "organisation": account.organisation,
                    "rate": account.rate,
                    "burst": round(account.burst),
                    "level": round(account.level),
                    "spent": account.spent,
                    "given_back": account.given_back,
                    "peers_spent": round(account.peers_spent),
                    "assumed": round(account.assumed),
                    "refused": account.refused,
                },
            )

    def _pace_targets(self, now: float, *, has_peers: bool) -> None:
        """Pace targets that failed, and draw this host's places at paced ones."""
        pacer = self.health.pacer
        if pacer.is_enabled or pacer.known:
            pacer.note_registered(list(self.registry.targets.values()), now=now)
        if pacer.is_enabled and pacer.settings.paces_recovered:
            self._note_avoided(now, has_peers=has_peers)
        for change in pacer.tick(self.registry.get, now=now):
            record_pace(change, self.metrics)

    def _get_share_of_requests(self) -> float:
        """Return the part of the requests of all hosts at targets that are its own."""
        own = sum(list(self.work.totals.values()))
        running = self.peers.running
        peers = sum(by_adapter.get("", 0) for by_adapter in running.values())
        return own / (own + peers) if own else 0.0

    def _note_avoided(self, now: float, *, has_peers: bool) -> None:
        by_service: dict[str, list[Target]] = {}
        for name in self.health.list_avoided(now=now):
            target = self.registry.get(name)
            avoiding = 1 + self.peers.count_peers_avoiding(name)
            # A single host may only have lost its own connection to the target.
            if target is None or (has_peers and avoiding < AVOIDING_PEER_LIMIT):
                continue
            by_service.setdefault(target.service, []).append(target)
        ratio = self.health.pacer.settings.common_ratio
        for service, avoided in by_service.items():
            # Many that fail at once have a common cause, and pacing them would leave
            # callers without targets.
            if len(avoided) > max(ratio * len(self.registry.get_ready(service)), 1):
                continue
            for target in avoided:
                failed_at = self.health.get_avoided_at(target.id)
                self.health.pacer.note_avoided(target, failed_at=failed_at, now=now)

    def _handle_target_change(
        self, name: str, target: Target | None, previous: Target | None
    ) -> None:
        logger.info(
            "target.changed",
            extra={
                "target": name,
                "service": target.service if target else "",
                "address": target.address if target else "",
                "software_version": target.software_version if target else "",
                "leaving": target.is_leaving if target else None,
                "gone": target is None,
            },
        )
        has_incarnation_ended = target is None or (
            previous is not None and previous.incarnation != target.incarnation
        )
        if has_incarnation_ended:
            self.residents.remove(name)
        if target is None:
            self.health.forget(name, now=read_clock())
            targets = list(self.registry.targets.values())
            self.detours.retain(target.address for target in targets)
        else:
            self.health.begin(name, target.started_ms)
            # Pacing of its service may have been enabled after its start.
            is_running = previous is not None and not has_incarnation_ended
            change = self.health.pacer.begin(
                target,
                is_first_read=is_running or not self.targets_known,
                now=read_clock(),
            )
            record_pace(change, self.metrics)

    def _handle_domain_returned(self, domain: str, now: float) -> None:
        """Take the targets of a failure domain for cold when its evacuation ends.

        Their registrations may be from before they became cold.
        """
        targets = self.registry.list_domain_targets(domain)
        logger.info(
            "evacuation.targets_returned",
            extra={
                "domain": domain,
                "targets": sorted(target.id for target in targets),
            },
        )
        configuration = self.in_force.configuration
        services = configuration.services if configuration is not None else {}
        for target in targets:
            service = services.get(target.service)
            if service is not None:
                note_cold(target, service.cold_s, source=EVACUATION, health=self.health)

    def _list_tunnel_hosts(self) -> list[TunnelHost]:
        """Return the live hosts that pass on connections to targets."""
        now = read_clock()
        domain = self.settings.host.failure_domain
        return [
            TunnelHost(host, member.tunnel_address, member.domain == domain)
            for host, member in list(self.fleet.members.items())
            if member.tunnel_address and self.peers.is_live(host, now=now)
        ]

    def _is_target_address(self, address: str) -> bool:
        targets = list(self.registry.targets.values())
        return any(target.address == address for target in targets)

    def _list_known_domains(self) -> set[str]:
        """Return the failure domains that hosts or the settings name."""
        members = list(self.fleet.members.values())
        return {
            self.settings.host.failure_domain,
            *self.settings.regions,
            *(member.domain for member in members),
        }

    def _log_withdrawn_keys(self, configuration: Configuration) -> None:
        """Log the running requests whose key was withdrawn.

        Keys are checked again before each send to a target.
        """
        for running in list(self.work.running):
            if running.key and running.key not in configuration.organisations_by_key:
                logger.info("request.key_withdrawn", extra={"request": running.id})

    def _stop_within_grace(self, *, caller_server: Any) -> None:
        """Stop, and return within the grace even if a part of the stop doesn't end."""
        settings = self.settings.stop
        began_at = read_clock()
        logger.info("host.stopping", extra={"running": len(self.work.running)})
        stop = partial(self._stop, caller_server=caller_server, began_at=began_at)
        thread = threading.Thread(
            target=self._run_loop, args=(stop,), name="stop", daemon=True
        )
        thread.start()
        # The first half of the margin is for the parts of the stop, most of the
        # second one for the log.
        ends_at = began_at + settings.grace_s - settings.margin_s / 2
        thread.join(max(ends_at - read_clock(), 0.0))
        if thread.is_alive():
            logger.error("host.stop_unfinished", extra={"stack": _format_stack(thread)})
        now = read_clock()
        logger.info(
            "host.stopped",
            extra={
                "running": len(self.work.running),
                "unsent": has_unsent_answers(caller_server),
                "stop_s": round(now - began_at, 3),
            },
        )
        log_ends_at = began_at + settings.grace_s - settings.margin_s / 8
        self.log.close(timeout_s=max(log_ends_at - now, 0.0))

    def _stop(self, *, caller_server: Any, began_at: float) -> None:
        settings = self.settings.stop
        self.app.closes_connections = True
        exits_at = began_at + settings.grace_s - settings.margin_s
        self.work.end_by(exits_at - settings.answer_s)
        _call_part(self.orders.stop)
        _call_part(self.fleet.send_digest_now)
        pause = threading.Event()
        while True:
            now = read_clock()
            if now >= exits_at:
                break
            if now >= began_at + settings.linger_s:
                self.app.refuses_requests = True
                # Callers may read more slowly than their requests are served.
                if not (
                    self.work.running
                    or has_unsent_answers(caller_server)
                    or self.tunnels.count_busy(now=now)
                ):
                    break
            pause.wait(STOP_POLL_PERIOD_S)
        self.drained.set()
        _call_part(self.stream_versions.stop)
        _call_part(self.fleet.peer_loop.stop)
        _call_part(self.tunnels.stop)
        pause.wait(STOP_POLL_PERIOD_S)


def _call_part(stop: Callable[[], None]) -> None:
    """Call a part of the stop; the others don't depend on its success."""
    try:
        stop()
    except Exception:
        logger.exception("host.stop_part_failed", extra={"part": stop.__qualname__})


def _format_stack(thread: threading.Thread) -> str:
    frame = sys._current_frames().get(thread.ident or 0)
    return "".join(traceback.format_stack(frame)) if frame else ""


def _log_changed_limits(previous: Configuration | None, current: Configuration) -> None:
    """Log the quotas that a new configuration changes."""
    if previous is None:
        return
    for name, organisation in current.organisations.items():
        known = previous.organisations.get(name)
        if known is not None and (known.rate, known.burst) != (
            organisation.rate,
            organisation.burst,
        ):
            logger.info(
                "quota.limit_changed",
                extra={
                    "organisation": name,
                    "rate": organisation.rate,
                    "burst": organisation.burst,
                },
            )


def _build_registered_residents(target: Target, now: float) -> dict[str, Resident]:
    return {
        f"{loaded.model}/{name}": Resident(version, now)
        for loaded in target.loaded_models
        for name, version in loaded.adapters.items()
    }
