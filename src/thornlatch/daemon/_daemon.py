"""Assembly of a daemon: settings, threads, sockets, slices, and the planned stop."""

import signal
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import logbook
import waitress

from thornlatch.core import Event
from thornlatch.daemon._app import Application, Pages
from thornlatch.daemon._control import ControlLoop
from thornlatch.daemon._journal import Journal, build_handler
from thornlatch.daemon._log_io import LogAppender, LogReader, decode_page
from thornlatch.daemon._peers import PeerMesh
from thornlatch.daemon._running import RunningRequests
from thornlatch.daemon._settings import DaemonSettings
from thornlatch.daemon._thin import ThinServices
from thornlatch.platform import LogClient, LogPage, PlatformError

logger = logbook.Logger("thornlatch.daemon")

STREAMS = ("configuration",)
STOP_POLL_S = 0.05


class Daemon:
    """One host's process.

    Parameters
    ----------
    settings : DaemonSettings
    """

    def __init__(self, settings: DaemonSettings) -> None:
        self.settings = settings
        self.host = f"{settings.host.name}.{uuid.uuid4().hex[:8]}"
        self.journal = Journal()
        self.client = LogClient(settings.platform, client=settings.host.name)
        self.appender = LogAppender(self.client)
        self.peers = PeerMesh(
            settings.peers, host=self.host, address=settings.host.peer_address
        )
        self.control = ControlLoop(
            host=self.host,
            slices=(),
            peers=self.peers,
            appender=self.appender,
            journal=self.journal,
        )
        self.services = ThinServices(self.journal)
        http = settings.http
        self.running = RunningRequests(http.threads - http.spare_threads)
        self.stop_requests = 0
        self.app = Application(
            http=http,
            targets=settings.targets,
            services=self.services,
            running=self.running,
            pages=Pages(self.get_status, self.is_ready),
        )
        self.reader = LogReader(
            self.client, STREAMS, on_page=self._on_page, on_failure=self._on_failure
        )
        self.executor = ThreadPoolExecutor(3, "daemon")

    def run(self) -> int:
        """Serve until a planned stop.

        Returns
        -------
        int
            Exit status: 0 after a stop that cut no request, 1 otherwise.
        """
        handler = build_handler(self.host, level=self.settings.logs.level)
        with handler.applicationbound():
            server = self._build_server()
            signal.signal(signal.SIGTERM, self._on_signal)
            signal.signal(signal.SIGINT, self._on_signal)
            self.executor.submit(self.control.run)
            self.reader.start()
            self.executor.submit(server.run)
            address = self.settings.host.http_address
            self.journal.write(Event("daemon.started", detail={"http": address}))
            status = self._wait_for_stop()
            self._shut_down(server)
            self.journal.write(Event("daemon.stopped", detail={"status": status}))
        return status

    def is_ready(self) -> bool:
        """Return whether the balancer may send requests here."""
        return self.stop_requests == 0 and bool(self.services.inventory.pools)

    def get_status(self) -> dict[str, Any]:
        """Return the JSON value of the status page."""
        return {
            "host": self.host,
            "ready": self.is_ready(),
            "stopping": self.stop_requests > 0,
            "running_requests": len(self.running),
        }

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

    def _on_signal(self, *_: Any) -> None:
        self.stop_requests += 1

    def _wait_for_stop(self) -> int:
        while not self.stop_requests:
            time.sleep(STOP_POLL_S)
        self.journal.write(Event("daemon.stop_requested"))
        rotation_end = time.monotonic() + self.settings.stop.rotation_s
        while time.monotonic() < rotation_end and self.stop_requests < 2:
            time.sleep(STOP_POLL_S)
        while self.stop_requests < 2:
            if self.running.wait_until_empty(STOP_POLL_S):
                return 0
        return 1

    def _shut_down(self, server: Any) -> None:
        self.reader.stop()
        self.appender.stop(timeout_s=2.0)
        self.control.stop()
        server.close()
        server.task_dispatcher.shutdown(timeout=2)

    def _on_page(self, stream: str, page: LogPage, sent_at: float) -> None:
        for _, record in decode_page(page):
            self.services.apply(record)

    def _on_failure(self, stream: str, error: PlatformError) -> None:
        logger.warning(
            "log.read_failed", extra={"stream": stream, "error": error.message}
        )
