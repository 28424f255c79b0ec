"""Data classes of one configuration version: routes, services and organisations."""

from dataclasses import dataclass, field
from enum import Enum


class CallKind(Enum):
    """Which requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


@dataclass(frozen=True)
class Route:
    """Rules for the requests to one host name and path prefix.

    Parameters
    ----------
    name : str
    host : str
        Host name in the requests of callers.
    path_prefix : str
        Starts and ends with a slash.
    kind : CallKind
    services : tuple of (str, float)
        Names of services with the weight of each in the distribution of requests.
    timeout_s : float
        Longest time that a caller waits for a response, in seconds.
    objective_s : float
        Latency objective in seconds; for streams, until the first event.
    priority : int
        Priority of the requests; 0 is the most urgent.
    max_attempts : int
        Largest number of targets to which one request is sent.
    is_public : bool
        Whether requests need no key.
    is_resumable : bool
        Whether a stream may be resumed at another target.
    gap_s : float
        Longest pause between two events of a stream that meets its objective, in
        seconds.
    regions : frozenset of str
        Regions to whose targets requests may be sent; empty for any.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    services: tuple[tuple[str, float], ...]
    timeout_s: float
    objective_s: float
    priority: int = 5
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    gap_s: float = 0.3
    regions: frozenset[str] = frozenset()

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be repeated after a target may have executed it."""
        return self.kind is CallKind.IDEMPOTENT or self.is_resumable_stream

    @property
    def is_resumable_stream(self) -> bool:
        """Whether a stream may go on at another target after an event."""
        return self.kind is CallKind.STREAM and self.is_resumable


@dataclass(frozen=True)
class ModelSize:
    """A base model that an engine service runs.

    Parameters
    ----------
    name : str
    size_mb : float
        Memory for its weights, in MB.
    load_s : float
        Seconds to load it from the weight store.
    adapter_mb : float
        Memory for each of its adapters, in MB.
    """

    name: str
    size_mb: float
    load_s: float
    adapter_mb: float


@dataclass(frozen=True)
class EngineLimits:
    """Capacity of one engine of a service.

    Parameters
    ----------
    slots : int
        Requests that the engine runs at once.
    cache_tokens : int
        Tokens of running requests and cached prompts together.
    memory_mb : float
        Memory for the weights of models and adapters, in MB.
    adapter_slots : int
        Largest number of adapters, including those in transit.
    models : tuple of ModelSize
    loads_per_s : float
        Model loads per second that the weight store allows over all engines.
    """

    slots: int
    cache_tokens: int
    memory_mb: float
    adapter_slots: int
    models: tuple[ModelSize, ...]
    loads_per_s: float


@dataclass(frozen=True)
class Service:
    """A group of interchangeable targets.

    Parameters
    ----------
    name : str
    health_path : str
    connection_limit : int
        Largest number of connections that one target accepts from all hosts together.
    engine : EngineLimits or None
        None for a plain service.
    cold_s : float
        Seconds for which a target is cold after it starts during traffic.
    cold_rate : float
        Requests a second that a cold target tolerates from all hosts; 0 for any.
    """

    name: str
    health_path: str
    connection_limit: int
    engine: EngineLimits | None = None
    cold_s: float = 0.0
    cold_rate: float = 0.0


@dataclass(frozen=True)
class Organisation:
    """An organisation of callers with its keys and its quota.

    Parameters
    ----------
    name : str
    keys : frozenset of str
    priority : int or None
        Overrides the route's priority, if set.
    rate : float
        Tokens per second over all hosts; 0 for no limit.
    burst : float
        Tokens beyond the rate that may be used at once.
    tokens_per_plain_request : int
        Tokens charged for a request without a declared size.
    counts_tokens : bool
        Whether the quota is in tokens; if not, each request counts as 1.
    regions : frozenset of str
        Regions to whose targets requests may be sent; empty for any.
    """

    name: str
    keys: frozenset[str]
    priority: int | None
    rate: float
    burst: float
    tokens_per_plain_request: int = 1
    counts_tokens: bool = True
    regions: frozenset[str] = frozenset()


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the requests and connections of callers.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest sizes of headers and body.
    idle_s : float
        Seconds for which a connection may stay idle.
    """

    header_bytes: int
    body_bytes: int
    idle_s: float


@dataclass(frozen=True)
class Configuration:
    """One version of the configuration that operators publish.

    Parameters
    ----------
    version : int
    routes : tuple of Route
    services : dict of str to Service
    organisations : dict of str to Organisation
    limits : CallerLimits or None
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    organisations: dict[str, Organisation]
    limits: CallerLimits | None = None
    organisations_by_key: dict[str, Organisation] = field(init=False, compare=False)
    # Services whose streams may be resumed.
    resumable_services: frozenset[str] = field(init=False, compare=False)
    # Whether any route or organisation names allowed regions.
    restricts_regions: bool = field(init=False, compare=False)

    def __post_init__(self) -> None:
        by_key = {
            key: organisation
            for organisation in self.organisations.values()
            for key in organisation.keys
        }
        object.__setattr__(self, "organisations_by_key", by_key)
        resumable = frozenset(
            name
            for route in self.routes
            if route.is_resumable_stream
            for name, _ in route.services
        )
        object.__setattr__(self, "resumable_services", resumable)
        restrictions = [
            *(route.regions for route in self.routes),
            *(organisation.regions for organisation in self.organisations.values()),
        ]
        object.__setattr__(self, "restricts_regions", any(restrictions))
