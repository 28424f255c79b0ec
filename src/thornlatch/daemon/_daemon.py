"""Builds a daemon from its settings and runs it."""

import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from random import Random
from typing import Any

import waitress

from thornlatch.core import Action, Event, Slice
from thornlatch.daemon._app import Application, StatusPages
from thornlatch.daemon._control import ControlLoop
from thornlatch.daemon._host_list import HostListReader
from thornlatch.daemon._host_slices import HostSlices
from thornlatch.daemon._log_io import LogAppender, LogReader, decode_records
from thornlatch.daemon._logs import TimelineWriter, build_handler
from thornlatch.daemon._metrics import MetricsReporter
from thornlatch.daemon._orders import OrderRunner
from thornlatch.daemon._relay import StreamRelay
from thornlatch.daemon._running import SHORT_DIGEST_CHARACTERS, RunningRequests
from thornlatch.daemon._settings import DaemonSettings
from thornlatch.daemon._slice_client import SliceClient
from thornlatch.daemon._status import build_status
from thornlatch.daemon._stop import StopSequence
from thornlatch.exceptions import ErrorKind
from thornlatch.logservice import Delivery, HostList, LogClient, LogFollower
from thornlatch.mesh import PeerMesh
from thornlatch.requests import RetryPolicy

PATIENT_STREAMS = ("claims", "quarantine")
STREAMS = ("control", "configuration", *PATIENT_STREAMS)


class Daemon:
    """The daemon process of one host.

    Parameters
    ----------
    settings : DaemonSettings
    """

    def __init__(self, settings: DaemonSettings) -> None:
        self.settings = settings
        self.random = Random(uuid.uuid4().int)
        self.timeline = TimelineWriter()
        self.log_client = LogClient(settings.platform, client=settings.host.name)
        self.appender = LogAppender(self.log_client)
        self.host_slices = self._build_host_slices(HostList())
        self.log_handler = build_handler(
            self.host_slices.host, level=settings.logs.level
        )
        self.peers = PeerMesh(
            settings.peers,
            host=self.host_slices.host,
            address=settings.host.peer_address,
        )
        self.control = ControlLoop(
            host=self.host_slices.host,
            slices=self.host_slices.slices,
            peers=self.peers,
            appender=self.appender,
            timeline=self.timeline,
        )
        self.orders = OrderRunner(
            settings.targets,
            dispatch=self.host_slices.dispatch,
            submit=self.control.submit,
            timeline=self.timeline,
        )
        self.control.orders = self.orders
        self.slice_client = SliceClient(
            self.host_slices,
            self.control,
            self.timeline,
            retries=RetryPolicy(settings.slices.requests, rng=self.random),
            incarnations=self.orders.incarnations,
        )
        http_settings = settings.http
        self.relay = StreamRelay()
        self.running = RunningRequests(
            http_settings.threads - http_settings.spare_threads
        )
        self.stop = StopSequence(
            settings.stop,
            slice_client=self.slice_client,
            running=self.running,
            timeline=self.timeline,
        )
        self.app = Application(
            http_settings=http_settings,
            target_settings=settings.targets,
            slice_client=self.slice_client,
            running=self.running,
            relay=self.relay,
            pages=StatusPages(self.get_status, self.is_ready),
        )
        self.log_reader = LogReader(
            self.log_client,
            self._build_follower(),
            submit=self.control.submit,
            on_delivery=self._apply_delivery,
            on_failure=self._note_log_failure,
            iter_peers=lambda: [m.host for m in self.host_slices.leases.iter_members()],
        )
        self.host_list = HostListReader(
            settings.platform,
            submit=self.control.submit,
            on_list=lambda hosts, now: self.host_slices.note_host_list(hosts, now=now),
        )
        self.control.replace_slices(self.host_slices.host, self._get_slices())
        self.unconfirmed_since: float | None = None
        self.checked_offset = -1
        self.metrics = MetricsReporter(settings.metrics, self)
        self.control.on_tick += [
            lambda now: self.host_slices.tick(now=now),
            self._update_peers,
            self._follow_configuration,
            self.orders.poll_reports,
            self._stop_if_unconfirmed,
            self._renew_session,
            self.metrics.report,
        ]
        self.executor = ThreadPoolExecutor(3, "daemon")

    def run(self) -> int:
        """Serve requests until the planned stop has ended.

        Returns
        -------
        int
            Exit status: 0 if the stop interrupted no request, 1 otherwise.
        """
        with self.log_handler.applicationbound():
            server = self._build_server()
            self.stop.install()
            self.executor.submit(self.control.run)
            self.control.submit(
                lambda now: self.host_slices.membership.open_session(now=now)
            )
            self.executor.submit(server.run)
            self.host_list.start()
            self.executor.submit(self.relay.run)
            address = self.settings.host.http_address
            self.timeline.write(Event("daemon.started", detail={"http": address}))
            status = self.stop.wait()
            self._shut_down(server)
            self.timeline.write(Event("daemon.stopped", detail={"status": status}))
        return status

    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests to this host."""
        now = time.monotonic()
        return (
            not self.stop.is_requested
            and self.host_slices.leases.is_confirmed(now=now)
            and self.host_slices.configuration.view.inventory_offset >= 0
            and self.host_slices.configuration.is_fresh(now=now)
            and self.host_slices.membership.has_settled(now=now)
        )

    def get_status(self) -> dict[str, Any]:
        """Return the JSON value of the status page."""
        return build_status(self)

    def _build_host_slices(self, host_list: HostList) -> HostSlices:
        host = self.settings.host
        return HostSlices(
            self.settings.slices,
            host=f"{host.name}.{uuid.uuid4().hex[:8]}",
            address=host.peer_address,
            failure_domain=host.failure_domain,
            random=self.random,
            host_list=host_list,
        )

    def _build_server(self) -> Any:
        host, _, port = self.settings.host.http_address.rpartition(":")
        http = self.settings.http
        return waitress.create_server(
            self.app,
            host=host.strip("[]"),
            port=int(port),
            threads=http.threads,
            connection_limit=http.threads * 4,
            channel_timeout=http.idle_timeout_s,
            max_request_body_size=http.body_limit_bytes,
            max_request_header_size=1 << 16,
            channel_request_lookahead=1,
            asyncore_use_poll=True,
            ident=None,
        )

    def _shut_down(self, server: Any) -> None:
        self.host_list.stop()
        self.log_reader.stop()
        self.orders.stop()
        self.appender.stop(timeout_s=2.0)
        self.control.stop()
        self.relay.stop()
        server.close()
        server.task_dispatcher.shutdown(timeout=2)

    def _build_follower(self) -> LogFollower:
        return LogFollower(
            self.settings.slices.follower,
            STREAMS,
            host=self.host_slices.host,
            random=self.random,
            patient_streams=PATIENT_STREAMS,
        )

    def _get_slices(self) -> tuple[Slice, ...]:
        return (self.log_reader, *self.host_slices.slices)

    def _apply_delivery(self, delivery: Delivery, now: float) -> list[Action]:
        records = decode_records(delivery.stream, delivery.records)
        if delivery.gap_until is not None and delivery.stream == "control":
            self.host_slices.membership.note_log_gap(
                first_offset=delivery.gap_until, now=now
            )
        actions = self.host_slices.apply_records(records, now=now)
        if delivery.tail_sent_at is not None:
            actions += self._note_log_read(delivery.stream, delivery.tail_sent_at, now)
        self._update_peers(now)
        self._stop_requests_of_withdrawn_keys()
        return actions

    def _follow_configuration(self, now: float) -> list[Action]:
        # A peer's snapshot changes the configuration without a delivery of the log.
        self._stop_requests_of_withdrawn_keys()
        return self.host_slices.distribute_configuration(now=now)

    def _note_log_read(self, stream: str, sent_at: float, now: float) -> list[Action]:
        if stream == "control":
            return self.host_slices.membership.note_log_read(sent_at=sent_at, now=now)
        if stream == "configuration":
            next_offset = self.log_reader.follower.get_next_offset(stream)
            return self.host_slices.configuration.note_log_read(
                sent_at=sent_at, now=now, next_offset=next_offset
            )
        return []

    def _note_log_failure(self, stream: str, now: float) -> list[Action]:
        if stream != "control":
            return []
        return self.host_slices.membership.note_log_unavailable(now=now)

    def _update_peers(self, now: float) -> list[Action]:
        addresses = {m.host: m.address for m in self.host_slices.leases.iter_members()}
        if addresses != self.peers.addresses:
            self.peers.set_members(addresses)
        return []

    def _stop_requests_of_withdrawn_keys(self) -> None:
        configuration = self.host_slices.configuration
        if configuration.state.offset == self.checked_offset:
            return
        withdrawn = frozenset(configuration.iter_withdrawn_since(self.checked_offset))
        self.checked_offset = configuration.state.offset
        for digest in sorted(withdrawn):
            detail = {"digest": digest[:SHORT_DIGEST_CHARACTERS]}
            self.timeline.write(Event("configuration.key_withdrawn", detail=detail))
        if withdrawn:
            self.running.stop(
                ErrorKind.KEY_WITHDRAWN, lambda request: request.key_digest in withdrawn
            )

    def _stop_if_unconfirmed(self, now: float) -> list[Action]:
        if not self.host_slices.configuration.is_fresh(now=now):
            # A key may have been withdrawn without this host's knowledge.
            self.running.stop(ErrorKind.HOST_UNCONFIRMED, lambda request: True)
            return []
        if self.host_slices.leases.is_confirmed(now=now):
            self.unconfirmed_since = None
            return []
        if self.unconfirmed_since is None:
            self.unconfirmed_since = now
        # A new owner waits `order_limit_s` beyond the end of this host's confirmation,
        # so requests sent under a grant may run on until then.
        limit_s = self.settings.slices.membership.order_limit_s
        if now - self.unconfirmed_since >= limit_s:
            self.running.stop(ErrorKind.HOST_UNCONFIRMED, lambda request: True)
        return []

    def _renew_session(self, now: float) -> list[Action]:
        if not self.host_slices.membership.is_expelled or self.stop.is_requested:
            return []
        self.timeline.write(
            Event("daemon.session_lost", detail={"host": self.host_slices.host})
        )
        self.running.stop(ErrorKind.HOST_UNCONFIRMED, lambda request: True)
        self.host_slices = self._build_host_slices(self.host_slices.host_list)
        self.checked_offset = -1
        self.log_reader.replace_follower(self._build_follower())
        self.log_handler.host = self.host_slices.host
        self.peers.host = self.host_slices.host
        self.control.replace_slices(self.host_slices.host, self._get_slices())
        self.orders.dispatch = self.host_slices.dispatch
        self.slice_client.host_slices = self.host_slices
        return self.host_slices.membership.open_session(now=now)
