"""Assembly of a gateway host: settings, threads, sockets and decisions."""

import os
import signal
import threading
import uuid
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import fields
from typing import Any

import logbook
from prometheus_client import generate_latest

from thornlatch.core import read_clock
from thornlatch.exceptions import ThornlatchError
from thornlatch.fleet import PeerView, Target, TargetRegistry
from thornlatch.gateway._admission import Admission
from thornlatch.gateway._app import GatewayApplication, StartResponse, describe_status
from thornlatch.gateway._fleet_link import FleetLink, HostState
from thornlatch.gateway._forwarder import Forwarder
from thornlatch.gateway._health import TargetHealth
from thornlatch.gateway._logs import JsonLineHandler, redirect_library_logs
from thornlatch.gateway._metrics import GatewayMetrics
from thornlatch.gateway._ordering import OrderManager
from thornlatch.gateway._ports import CallerProtocol, TargetProtocol
from thornlatch.gateway._replication import AdapterReplicator
from thornlatch.gateway._selector import TargetSelector
from thornlatch.gateway._sender import TargetSender
from thornlatch.gateway._servers import build_server
from thornlatch.gateway._settings import GatewaySettings
from thornlatch.gateway._suspects import CrashSuspects
from thornlatch.gateway._work import WorkTable
from thornlatch.quota import RetryBudget, SharedQuota
from thornlatch.residency import AdapterVersions, Resident, ResidentTable, Tenure
from thornlatch.routing import Configuration, ConfigurationInForce

logger = logbook.Logger("thornlatch.gateway")

DUE_PERIOD_S = 0.1  # between two looks for callers that left or ran out of time
MAIN_TURN_S = 10.0  # signals wake the main thread; this is for one that got lost
STOP_TURN_S = 0.05  # between two looks for the end of running requests


class Gateway:
    """One gateway host's process.

    The methods `take_...` and `announce_...`, and those of `fleet`, are what an adapter
    feeds.

    Parameters
    ----------
    settings : GatewaySettings
    callers : CallerProtocol
    targets : TargetProtocol
    partitions : int
        Partitions over which targets are spread among the hosts.
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
        self.log = JsonLineHandler(settings.logs, host=self.host)
        self.metrics = GatewayMetrics()
        self.in_force = ConfigurationInForce(settings.freshness)
        self.registry = TargetRegistry(settings.registry)
        self.peers = PeerView(settings.peer_view)
        self.quota = SharedQuota(settings.quota, now=now)
        self.retries = RetryBudget(settings.retries)
        self.versions = AdapterVersions(settings.versions)
        self.residents = ResidentTable()
        self.tenure = Tenure(settings.tenure)
        self.work = WorkTable()
        self.health = TargetHealth(settings.forwarding)
        self.suspects = CrashSuspects(settings.suspects, self.registry)
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
            metrics=self.metrics,
            send=lambda host, message: self.fleet.send(host, message),
            send_digest_now=lambda: self.fleet.send_digest_now(),
        )
        self.replicator = AdapterReplicator(
            settings.relief,
            orders=self.orders,
            registry=self.registry,
            residents=self.residents,
            versions=self.versions,
        )
        self.forwarder = self._build_forwarder(targets)
        self.app = GatewayApplication(callers, self.forwarder, self.metrics)
        self.stopping = threading.Event()
        self.reloading = threading.Event()
        self.signalled = threading.Event()
        self.ended = threading.Event()  # after `stopping`, when no request runs
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
            ),
            is_stopping=self.stopping.is_set,
            on_tick=self._tick,
        )
        self.targets_known = False
        self.reported_ready = False
        self.live_peers: frozenset[str] = frozenset()
        self.executor = ThreadPoolExecutor(16, "gateway")

    def _build_forwarder(self, targets: TargetProtocol) -> Forwarder:
        settings = self.settings.forwarding
        return Forwarder(
            admission=Admission(
                settings,
                in_force=self.in_force,
                quota=self.quota,
                suspects=self.suspects,
            ),
            selector=TargetSelector(
                settings,
                failure_domain=self.settings.host.failure_domain,
                registry=self.registry,
                versions=self.versions,
                residents=self.residents,
                orders=self.orders,
                health=self.health,
            ),
            sender=TargetSender(
                settings,
                protocol=targets,
                work=self.work,
                health=self.health,
                metrics=self.metrics,
            ),
            in_force=self.in_force,
            quota=self.quota,
            retries=self.retries,
            residents=self.residents,
            work=self.work,
            health=self.health,
            suspects=self.suspects,
            metrics=self.metrics,
        )

    def run(
        self,
        feeds: Iterable[Callable[[], None]] = (),
        read_settings: Callable[[], GatewaySettings] | None = None,
    ) -> int:
        """Serve until a planned stop.

        Parameters
        ----------
        feeds : iterable of callable
            Loops of the adapter, each run in a thread of its own. Those that a request
            needs run until `ended`, the others until `stopping`.
        read_settings : callable or None
            Reads the settings anew at SIGHUP.

        Returns
        -------
        int
            Exit status.
        """
        with self.log.applicationbound():
            for number in (signal.SIGTERM, signal.SIGINT):
                signal.signal(number, lambda *_: self._note_signal(self.stopping))
            signal.signal(signal.SIGHUP, lambda *_: self._note_signal(self.reloading))
            redirect_library_logs("waitress")
            logger.info("host.started", extra={"pid": os.getpid()})
            servers = self._build_servers()
            loops = [self.log.run, self.fleet.loop.run, self._end_due_requests]
            for loop in (*loops, *feeds, *[server.run for server in servers]):
                self.executor.submit(self._run_loop, loop)
            while not self.stopping.is_set():
                self.signalled.wait(MAIN_TURN_S)
                self.signalled.clear()
                if self.reloading.is_set():
                    self.reloading.clear()
                    self._reload(read_settings)
            self._stop()
            logger.info("host.stopped", extra={"running": len(self.work.running)})
            self.log.close()
        return 0

    def _note_signal(self, event: threading.Event) -> None:
        event.set()
        self.signalled.set()

    def is_ready(self) -> bool:
        """Return whether the balancer may send requests here."""
        return (
            not self.stopping.is_set()
            and self.targets_known
            and self.quota.knows_peers
            and self.in_force.configuration is not None
            and self.in_force.is_fresh_for_new_requests(now=read_clock())
        )

    def take_configuration(self, configuration: Configuration) -> None:
        """Bring a configuration into force.

        Parameters
        ----------
        configuration : Configuration
        """
        now = read_clock()
        former = self.in_force.configuration
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
        _log_limits(former, configuration)
        self.quota.set_organisations(configuration.organisations.values(), now=now)
        self.fleet.share_model_loads()
        self._note_withdrawn(configuration)

    def confirm_configuration(self, *, asked_at: float) -> None:
        """Note that the newest configuration is known as of a moment.

        Parameters
        ----------
        asked_at : float
        """
        self.in_force.confirm(asked_at=asked_at)

    def announce_version(self, adapter: str, version: int, *, at: float) -> None:
        """Note a new version of an adapter.

        Parameters
        ----------
        adapter : str
        version : int
        at : float
        """
        if self.versions.announce(adapter, version, now=at):
            logger.info(
                "version.announced", extra={"adapter": adapter, "version": version}
            )

    def take_target(self, name: str, target: Target | None) -> None:
        """Apply a target's registration, or its end.

        Parameters
        ----------
        name : str
        target : Target or None
        """
        now = read_clock()
        former = self.registry.get(name)
        if self.registry.apply(name, target, now=now):
            self._note_target(name, target, former)
        if target is not None and target.loaded_models:
            self.residents.apply_registration(
                name, _list_residents(target, now), now=now
            )

    def take_all_targets(self, targets: dict[str, Target]) -> None:
        """Apply a listing of all registrations.

        Parameters
        ----------
        targets : dict of str to Target
        """
        for name in [name for name in self.registry.targets if name not in targets]:
            self.take_target(name, None)
        for name, target in targets.items():
            self.take_target(name, target)
        self.targets_known = True

    def renew_tenure(
        self, partitions: frozenset[int], generation: int, *, asked_at: float
    ) -> None:
        """Take the store's word on which partitions this host holds.

        Parameters
        ----------
        partitions : frozenset of int
        generation : int
        asked_at : float
        """
        if self.stopping.is_set():
            return
        gained, lost = self.tenure.renew(partitions, generation, asked_at=asked_at)
        self.in_force.note_renewal(asked_at=asked_at)
        if gained or lost:
            logger.info(
                "tenure.changed",
                extra={
                    "generation": generation,
                    "gained": sorted(gained),
                    "lost": sorted(lost),
                },
            )
        self.orders.update_held_targets(now=read_clock())

    def stand_by(self, *, now: float) -> None:
        """Note that this host isn't a member of the group that orders adapters.

        Parameters
        ----------
        now : float
        """
        # Nobody concludes from the group what such a host may do.
        self.in_force.note_renewal(asked_at=now)
        self.tenure.drop_all()
        self.orders.update_held_targets(now=now)

    def note_store_failure(self) -> None:
        """Note that the platform's store couldn't be read."""
        self.registry.note_read_failure(now=read_clock())

    def _reload(self, read_settings: Callable[[], GatewaySettings] | None) -> None:
        """Take over the settings that can change while the host runs."""
        if read_settings is None:
            return
        try:
            settings = read_settings()
        except ThornlatchError as error:
            # The settings in force go on.
            logger.warning("host.reload_failed", extra={"error": error.message})
            return
        self.in_force.settings = settings.freshness
        self.registry.settings = settings.registry
        self.retries.settings = settings.retries
        self.versions.settings = settings.versions
        changed = [
            one.name
            for one in fields(settings)
            if getattr(settings, one.name) != getattr(self.settings, one.name)
        ]
        self.settings = settings
        logger.info("host.reloaded", extra={"changed": changed})

    def _run_loop(self, loop: Callable[[], None]) -> None:
        # A thread doesn't inherit the handlers of the one that started it.
        with self.log.threadbound():
            try:
                loop()
            except Exception:
                logger.exception("host.loop_ended")
                self._note_signal(self.stopping)

    def _end_due_requests(self) -> None:
        while not self.ended.wait(DUE_PERIOD_S):
            self.work.stop_expired(now=read_clock())

    def _build_servers(self) -> list[Any]:
        host = self.settings.host
        servers = [
            build_server(
                self.app, host.caller_address, threads=self.settings.forwarding.threads
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
            describe_status(200 if is_ready else 503),
            [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))],
        )
        return [body]

    def _answer_metrics(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> list[bytes]:
        body = generate_latest(self.metrics.registry)
        start_response(
            describe_status(200),
            [
                ("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]

    def _tick(self, now: float) -> None:
        for name in self.registry.expire(now=now):
            self._note_target(name, None, None)
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
        self.orders.update_held_targets(now=now)
        self.orders.refresh_residents(now=now)
        self.orders.tick(now=now)
        self.replicator.tick(now=now)
        self.metrics.running.set(len(self.work.running))
        self.metrics.live_peers.set(len(live))

    def _note_target(
        self, name: str, target: Target | None, former: Target | None
    ) -> None:
        logger.info(
            "target.changed",
            extra={
                "target": name,
                "service": target.service if target else "",
                "address": target.address if target else "",
                "leaving": target.is_leaving if target else None,
                "gone": target is None,
            },
        )
        is_other = target is None or (
            former is not None and former.incarnation != target.incarnation
        )
        if is_other:
            self.residents.remove(name)
            self.health.forget(name)

    def _note_withdrawn(self, configuration: Configuration) -> None:
        """Log requests under a withdrawn key; each is checked again before a send."""
        for running in list(self.work.running):
            if running.key and running.key not in configuration.organisations_by_key:
                logger.info("request.key_withdrawn", extra={"request": running.id})

    def _stop(self) -> None:
        settings = self.settings.stop
        began_at = read_clock()
        self.app.is_stopping = True
        logger.info("host.stopping", extra={"running": len(self.work.running)})
        self.orders.stop()
        self.fleet.send_digest_now()
        pause = threading.Event()
        while True:
            elapsed = read_clock() - began_at
            if elapsed >= settings.grace_s - settings.margin_s:
                break
            if elapsed >= settings.linger_s:
                self.app.is_closing = True
                if not self.work.running:
                    break
            pause.wait(STOP_TURN_S)
        self.ended.set()
        self.fleet.loop.stop()
        pause.wait(STOP_TURN_S)


def _log_limits(former: Configuration | None, present: Configuration) -> None:
    """Log the quotas that a new configuration changed."""
    if former is None:
        return
    for name, one in present.organisations.items():
        known = former.organisations.get(name)
        if known is not None and (known.rate, known.burst) != (one.rate, one.burst):
            logger.info(
                "quota.limit_changed",
                extra={"organisation": name, "rate": one.rate, "burst": one.burst},
            )


def _list_residents(target: Target, now: float) -> dict[str, Resident]:
    return {
        f"{loaded.model}/{name}": Resident(version, now)
        for loaded in target.loaded_models
        for name, version in loaded.adapters.items()
    }
