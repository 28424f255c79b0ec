"""The daemon's metrics, sent over statsd."""

from typing import TYPE_CHECKING

import statsd

from thornlatch.core import Action
from thornlatch.daemon._settings import MetricsSettings

if TYPE_CHECKING:
    from thornlatch.daemon._daemon import Daemon

METRICS = {
    "membership.members": "Sessions in this host's view.",
    "membership.is_confirmed": "1 while this host may use its rights, else 0.",
    "configuration.offset": "Offset of the last record applied.",
    "configuration.is_fresh": "1 while the configuration is known to be current.",
    "dispatch.owned_pools": "Pools that this host schedules.",
    "requests.running": "Requests in progress at this host.",
    "control.busy_s": "Processor seconds of the control thread since the start.",
    "control.sent_messages": "Messages sent to peers since the start.",
    "control.sent_bytes": "Bytes of them.",
    "control.received_bytes": "Bytes received from peers since the start.",
    "control.refused_messages": "Messages that couldn't be decoded.",
    "platform.appends": "Appends to the log since the start.",
    "platform.append_failures": "Appends that failed or whose reply was lost.",
}


class MetricsReporter:
    """Sends the gauges to the statsd server at intervals.

    Parameters
    ----------
    settings : MetricsSettings
    daemon : Daemon
    """

    def __init__(self, settings: MetricsSettings, daemon: "Daemon") -> None:
        self.settings = settings
        self.daemon = daemon
        self.next_report_at = 0.0
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
        if self.client is None or now < self.next_report_at:
            return []
        self.next_report_at = now + self.settings.every_s
        values = self._collect(now)
        for name in METRICS:
            self.client.gauge(name, values[name])
        return []

    def _collect(self, now: float) -> dict[str, float]:
        daemon = self.daemon
        counts = daemon.peers.get_counts()
        members = sum(1 for _ in daemon.host_slices.leases.iter_members())
        return {
            "membership.members": members,
            "membership.is_confirmed": int(
                daemon.host_slices.leases.is_confirmed(now=now)
            ),
            "configuration.offset": daemon.host_slices.configuration.state.offset,
            "configuration.is_fresh": int(
                daemon.host_slices.configuration.is_fresh(now=now)
            ),
            "dispatch.owned_pools": len(daemon.host_slices.dispatch.schedulers),
            "requests.running": len(daemon.running),
            "control.busy_s": daemon.control.busy_s,
            "control.sent_messages": counts.sent,
            "control.sent_bytes": counts.sent_bytes,
            "control.received_bytes": counts.received_bytes,
            "control.refused_messages": counts.refused,
            "platform.appends": daemon.appender.append_count,
            "platform.append_failures": daemon.appender.failure_count,
        }
