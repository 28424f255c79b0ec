"""Settings of a daemon."""

from dataclasses import dataclass, field
from typing import Annotated, Literal

from msgspec import Meta

from thornlatch.daemon._host_slices import SliceSettings
from thornlatch.logservice import PlatformSettings
from thornlatch.mesh import PeerSettings

Address = Annotated[str, Meta(pattern=r"^[0-9A-Fa-f.:\[\]]+:\d{1,5}$")]


@dataclass(frozen=True)
class HostSettings:
    """Identity and addresses of the host.

    Parameters
    ----------
    name : str
        Name of the host. The host id is the name and an incarnation, which is new in
        each session.
    failure_domain : str
    peer_address : str
        ``ip:port`` for messages between daemons.
    http_address : str
        ``ip:port`` for callers.
    """

    name: Annotated[str, Meta(pattern=r"^[\w-]{1,64}$")]
    failure_domain: Annotated[str, Meta(min_length=1, max_length=100)]
    peer_address: Address
    http_address: Address


@dataclass(frozen=True)
class HttpSettings:
    """The HTTP interface for callers.

    Parameters
    ----------
    threads : int
        Threads that serve requests, `spare_threads` included.
    spare_threads : int
        Threads reserved for status pages. When all other threads are busy, further
        requests are refused.
    body_limit_bytes : int
        Largest request body.
    idle_timeout_s : int
        Seconds after which a connection without progress is closed.
    default_deadline_s : float
        Seconds within which the first token, or a plain service's answer, is due, for
        requests without a deadline of their own.
    batch_deadline_s : float
        Default deadline of requests with priority ``batch``, in seconds.
    max_tokens : int
        Largest ``max_tokens`` of a request.
    """

    threads: Annotated[int, Meta(ge=4, le=2000)] = 96
    spare_threads: Annotated[int, Meta(ge=1, le=100)] = 4
    body_limit_bytes: Annotated[int, Meta(ge=1024, le=1 << 28)] = 4 << 20
    idle_timeout_s: Annotated[int, Meta(ge=1, le=3600)] = 30
    default_deadline_s: Annotated[float, Meta(gt=0, le=3600)] = 10.0
    batch_deadline_s: Annotated[float, Meta(gt=0, le=86400)] = 600.0
    max_tokens: Annotated[int, Meta(ge=1, le=1_000_000)] = 4096


@dataclass(frozen=True)
class TargetSettings:
    """Calls to targets.

    Parameters
    ----------
    silence_limit_s : float
        Seconds without a byte after which a call fails.
    report_every_s : float
        Seconds between reads of a target's report by the owner of its pool.
    order_timeout_s : float
        Seconds without a byte after which an order or a read of a report fails.
    order_threads : int
        Orders and reads of reports that run concurrently.
    attempts : int
        Unused: `slices.requests.attempts_limit` limits a request's attempts.
    """

    silence_limit_s: Annotated[float, Meta(gt=0, le=600)] = 10.0
    report_every_s: Annotated[float, Meta(gt=0, le=60)] = 1.0
    order_timeout_s: Annotated[float, Meta(gt=0, le=600)] = 10.0
    order_threads: Annotated[int, Meta(ge=1, le=256)] = 24
    attempts: Annotated[int, Meta(ge=1, le=10)] = 3


@dataclass(frozen=True)
class StopSettings:
    """The planned stop.

    Parameters
    ----------
    rotation_s : float
        Seconds that the load balancer takes to notice that the host isn't ready; new
        requests are served until then.
    limit_s : float
        Seconds after which a stop that still waits for requests is logged as late.
    hand_over_s : float
        Seconds between returning shares and grants and ending the session.
    """

    rotation_s: Annotated[float, Meta(ge=0, le=600)] = 2.0
    limit_s: Annotated[float, Meta(gt=0, le=86400)] = 600.0
    hand_over_s: Annotated[float, Meta(ge=0, le=60)] = 0.3


@dataclass(frozen=True)
class MetricsSettings:
    """The statsd server.

    Parameters
    ----------
    address : str
        ``ip:port``; no metrics are sent if it is empty.
    prefix : str
        Prefix of the metrics' names.
    every_s : float
        Seconds between sending the gauges.
    """

    address: str = ""
    prefix: str = "thornlatch"
    every_s: Annotated[float, Meta(gt=0, le=3600)] = 5.0


@dataclass(frozen=True)
class LogSettings:
    """The daemon's log on standard error.

    Parameters
    ----------
    level : {"DEBUG", "INFO", "WARNING", "ERROR"}
        Lowest level that is written.
    """

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


@dataclass(frozen=True)
class DaemonSettings:
    """All settings that ``thornlatch serve`` reads from its file.

    Parameters
    ----------
    host : HostSettings
    platform : PlatformSettings
    http : HttpSettings
    peers : PeerSettings
    targets : TargetSettings
    stop : StopSettings
    metrics : MetricsSettings
    logs : LogSettings
    slices : SliceSettings
        Tables ``slices.membership``, ``slices.admission`` and so on.
    """

    host: HostSettings
    platform: PlatformSettings
    http: HttpSettings = field(default_factory=HttpSettings)
    peers: PeerSettings = field(default_factory=PeerSettings)
    targets: TargetSettings = field(default_factory=TargetSettings)
    stop: StopSettings = field(default_factory=StopSettings)
    metrics: MetricsSettings = field(default_factory=MetricsSettings)
    logs: LogSettings = field(default_factory=LogSettings)
    slices: SliceSettings = field(default_factory=SliceSettings)
