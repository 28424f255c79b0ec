"""One version of the configuration: routes, services, organisations and limits."""

from dataclasses import dataclass, field
from enum import Enum


class CallKind(Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


@dataclass(frozen=True)
class Route:
    """Rules for the requests of one host name and path prefix.

    Parameters
    ----------
    name : str
    host : str
        Host name that callers ask for.
    path_prefix : str
        Begins and ends with a slash.
    kind : CallKind
    services : tuple of (str, float)
        Names of services with the share of requests that each is to get.
    timeout_s : float
        Longest time that a caller is kept waiting, in seconds.
    objective_s : float
        Latency objective, in seconds; for streams, to the first event.
    priority : int
        Rank among requests, 0 first.
    max_attempts : int
        Most targets that one request is sent to.
    is_public : bool
        Whether requests need no key.
    is_resumable : bool
        Whether a stream may go on at another target.
    gap_s : float
        Longest pause between the events of a stream that is in time, in seconds.
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

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be run again after it may have run."""
        return self.kind is CallKind.IDEMPOTENT or (
            self.kind is CallKind.STREAM and self.is_resumable
        )


@dataclass(frozen=True)
class ModelSize:
    """A base model that an engine service runs.

    Parameters
    ----------
    name : str
    size_mb : float
        Memory for its weights.
    load_s : float
        Seconds to load it from the weight store.
    adapter_mb : float
        Memory for each of its adapters.
    """

    name: str
    size_mb: float
    load_s: float
    adapter_mb: float


@dataclass(frozen=True)
class EngineLimits:
    """What one engine of a service can hold and run.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    cache_tokens : int
        Tokens of running requests and cached prompts together.
    memory_mb : float
        Memory for weights of models and adapters.
    adapter_slots : int
        Adapters, in transit ones included.
    models : tuple of ModelSize
    loads_per_s : float
        Model loads that the weight store allows over all engines.
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
        Connections that one target accepts of all hosts together.
    engine : EngineLimits or None
        None for a plain service.
    """

    name: str
    health_path: str
    connection_limit: int
    engine: EngineLimits | None = None


@dataclass(frozen=True)
class Organisation:
    """A caller's organisation with its keys and its quota.

    Parameters
    ----------
    name : str
    keys : frozenset of str
    priority : int or None
        Goes before the route's, if given.
    rate : float
        Tokens a second over all hosts; 0 for no limit.
    burst : float
        Tokens beyond the rate that may be used at once.
    tokens_per_plain_request : int
        Tokens that a request without a declared size counts for.
    counts_tokens : bool
        Whether the quota is in tokens; else each request counts for 1.
    """

    name: str
    keys: frozenset[str]
    priority: int | None
    rate: float
    burst: float
    tokens_per_plain_request: int = 1
    counts_tokens: bool = True


@dataclass(frozen=True)
class CallerLimits:
    """Bounds on what a caller may send.

    Parameters
    ----------
    header_bytes, body_bytes : int
    idle_s : float
        Seconds for which a connection may stay idle.
    """

    header_bytes: int
    body_bytes: int
    idle_s: float


@dataclass(frozen=True)
class Configuration:
    """One version of everything that operators set.

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

    def __post_init__(self) -> None:
        by_key = {
            key: organisation
            for organisation in self.organisations.values()
            for key in organisation.keys
        }
        object.__setattr__(self, "organisations_by_key", by_key)
