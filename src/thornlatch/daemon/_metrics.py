"""Metrics of the daemon over statsd."""

from typing import TYPE_CHECKING

import statsd

from thornlatch.core import Action
from thornlatch.daemon._settings import MetricsSettings

if TYPE_CHECKING:
    from thornlatch.daemon._daemon import Daemon


class MetricsReporter:
    """Sends gauges at intervals.

    Parameters
    ----------
    settings : MetricsSettings
    daemon : Daemon
    """

    def __init__(self, settings: MetricsSettings, daemon: "Daemon") -> None:
        self.settings = settings
        self.daemon = daemon
        self.due = 0.0
        self.client = None
        if settings.address:
            host, _, port = settings.address.rpartition(":")
            self.client = statsd.StatsClient(host, int(port), prefix=settings.prefix)

    def report(self, now: float) -> list[Action]:
        """Send the gauges if they are due; called by the control thread.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Action
            Always empty.
        """
        if self.client is None or now < self.due:
            return []
        self.due = now + self.settings.every_s
        for name, value in self._collect(now).items():
            self.client.gauge(name, value)
        return []

    def _collect(self, now: float) -> dict[str, float]:
        daemon = self.daemon
        counts = daemon.peers.get_counts()
        members = sum(1 for _ in daemon.node.leases.iter_members())
        return {
            "membership.members": members,
            "membership.is_confirmed": int(daemon.node.leases.is_confirmed(now=now)),
            "configuration.offset": daemon.node.configuration.state.offset,
            "configuration.is_fresh": int(daemon.node.configuration.is_fresh(now=now)),
            "dispatch.owned_pools": len(daemon.node.dispatch.schedulers),
            "requests.running": len(daemon.running),
            "control.busy_s": daemon.control.busy_s,
            "control.sent_messages": counts.sent,
            "control.sent_bytes": counts.sent_bytes,
            "control.received_bytes": counts.received_bytes,
            "control.refused_messages": counts.refused,
            "platform.appends": daemon.appender.append_count,
            "platform.append_failures": daemon.appender.failure_count,
        }
