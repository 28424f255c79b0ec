"""Content of the status page."""

import time
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from thornlatch.daemon._daemon import Daemon


def build_status(daemon: "Daemon") -> dict[str, Any]:
    """Build the JSON value of ``/status``.

    Parameters
    ----------
    daemon : Daemon

    Returns
    -------
    dict
    """
    now = time.monotonic()
    host_slices = daemon.host_slices
    members = list(host_slices.leases.iter_members())
    counts = daemon.peers.get_counts()
    return {
        "host": host_slices.host,
        "failure_domain": daemon.settings.host.failure_domain,
        "ready": daemon.is_ready(),
        "stopping": daemon.stop.is_requested,
        "confirmed": host_slices.leases.is_confirmed(now=now),
        "running_requests": len(daemon.running),
        "members": [msgspec.to_builtins(member) for member in members],
        "configuration": msgspec.to_builtins(
            host_slices.configuration.get_status(now=now)
        ),
        "owned_pools": sorted(host_slices.dispatch.schedulers),
        "control": {
            "busy_s": daemon.control.busy_s,
            "appends": daemon.appender.append_count,
            "append_failures": daemon.appender.failure_count,
            "log_calls": daemon.log_client.call_count,
            "log_bytes": daemon.log_client.byte_count,
            **msgspec.to_builtins(counts),
        },
    }
