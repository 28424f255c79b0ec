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
        Name of the host; each life of the process adds an incarnation.
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
    """The callers' interface.

    Parameters
    ----------
    threads : int
        Requests served at once.
    spare_threads : int
        Threads kept for status pages; requests beyond the others are refused.
    body_limit_bytes : int
    idle_timeout_s : int
        Seconds after which a connection without progress is closed.
    default_deadline_s : float
        Seconds to the first token for requests that name no deadline.
    batch_deadline_s : float
        The same for requests of priority batch.
    max_tokens : int
        Most tokens that one request may ask for.
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
        Seconds without a byte after which a call has failed.
    report_every_s : float
        Seconds between reads of a target's report by its pool's owner.
    order_timeout_s : float
        Seconds that an order to a target may take.
    order_threads : int
        Orders and report reads that run at once.
    attempts : int
        Not in use: `slices.requests.attempts_limit` limits a request's attempts.
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
        Seconds that the balancer takes to see that the host isn't ready; requests
        are still served meanwhile.
    limit_s : float
        Seconds after which a stop that waits for requests is reported as late.
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
        ``ip:port``; empty sends no metrics.
    prefix : str
    every_s : float
        Seconds between gauges.
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
    """

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


@dataclass(frozen=True)
class DaemonSettings:
    """Everything that ``thornlatch serve`` reads from its file.

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
