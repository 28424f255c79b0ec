"""What a host tells operators of its decisions: the pages of its metrics address.

A host encodes these classes as JSON, and the commands decode the same ones.
"""

import math
from dataclasses import dataclass

from thornlatch.gateway._where_query import WhereQuery

GATEWAY_PAGE = "gateway-host"  # tells these hosts' status pages from daemons' ones
READY = "ready"  # state of a target without any other
REFUSE = "refuse"  # action besides the steps of a target


def compute_age_s(at: float, now: float) -> float | None:
    """Return the seconds since a time.

    Parameters
    ----------
    at : float
        Minus infinity if it hasn't come yet.
    now : float

    Returns
    -------
    float or None
        None if it hasn't come yet.
    """
    return now - at if math.isfinite(at) else None


@dataclass(frozen=True)
class Reason:
    """A state of a target, or of a host, that decides about requests.

    Parameters
    ----------
    code : str
    detail : str
    until_s : float or None
        Seconds until it ends; None if that isn't known.
    age_s : float or None
        Seconds since it began; None if that isn't known.
    """

    code: str
    detail: str = ""
    until_s: float | None = None
    age_s: float | None = None


@dataclass(frozen=True)
class DataAge:
    """Age of what a result was determined from.

    Parameters
    ----------
    data : str
    age_s : float or None
        Seconds; None if the host never got it.
    detail : str
    """

    data: str
    age_s: float | None
    detail: str = ""


@dataclass(frozen=True)
class Refusal:
    """The refusal of a request.

    Parameters
    ----------
    code : str
    message : str
    status : int
        HTTP status that the caller gets.
    retry_after_s : float or None
        Seconds until it may be accepted, as the caller is told; None if a repetition
        doesn't help.
    """

    code: str
    message: str
    status: int
    retry_after_s: float | None = None


@dataclass(frozen=True)
class Outcome:
    """What would happen to a request now.

    Parameters
    ----------
    action : str
        ``refuse``, ``await-target`` if all targets are paused or limited for now, or
        the step of the best target.
    target : str
        Empty if there is none.
    wait_s : float
        Seconds until it is sent, or refused.
    allowed_wait_s : float
        Seconds that it may wait.
    requests_load : bool
        Whether the host would request the load of its adapter.
    """

    action: str
    target: str = ""
    wait_s: float = 0.0
    allowed_wait_s: float = 0.0
    requests_load: bool = False


@dataclass(frozen=True)
class ServiceWeight:
    """A service among which a route distributes its requests.

    Parameters
    ----------
    service : str
    weight : float
    """

    service: str
    weight: float


@dataclass(frozen=True)
class QuotaState:
    """The quota of an organisation, as one host sees it.

    Parameters
    ----------
    organisation : str
    rate, burst : float
        Tokens per second, and beyond that; a rate of 0 is no limit.
    tokens_left : int or None
        None without a limit.
    request_tokens : int
        Tokens that the request takes.
    """

    organisation: str
    rate: float
    burst: float
    tokens_left: int | None
    request_tokens: int


@dataclass(frozen=True)
class AdapterState:
    """What a host knows of an adapter.

    Parameters
    ----------
    adapter : str
    required_version, newest_version : int
        Lowest version that the request may use, and the latest one announced; 0 for
        any or none.
    announced_ago_s : float or None
        None if none was announced, or before the host's start.
    is_known : bool
        Whether a version was announced or a target has or had the adapter.
    """

    adapter: str
    required_version: int
    newest_version: int
    announced_ago_s: float | None
    is_known: bool


@dataclass(frozen=True)
class TargetExplanation:
    """How a host sees a target for a request.

    Parameters
    ----------
    target, failure_domain, software_version : str
    step : str
        What would have to happen next for the request to run there; empty if the
        target isn't an option.
    wait_s, cost_s : float or None
        None if the target isn't an option.
    requests, slots : int
        Requests of all hosts there, and how many it runs at once.
    prompt_tokens : int
        Prompt tokens that all hosts sent there lately, decayed by age.
    adapter_version : int or None
        None if it doesn't hold or load the adapter.
    reasons : tuple of Reason
    load_age_s, adapters_age_s : float or None
        Age of the load that it reported, and of what its holder reported; None
        without a report.
    """

    target: str
    failure_domain: str
    software_version: str
    step: str
    wait_s: float | None
    cost_s: float | None
    requests: int
    slots: int
    prompt_tokens: int
    adapter_version: int | None
    reasons: tuple[Reason, ...]
    load_age_s: float | None = None
    adapters_age_s: float | None = None


@dataclass(frozen=True)
class Explanation:
    """Where a request would be sent by one host now, and why.

    Parameters
    ----------
    host : str
    query : WhereQuery
        The request that was explained.
    configuration_version : int
    route : str
    service : str
    services : tuple of ServiceWeight
    outcome : Outcome
    refusals : tuple of Refusal
        Those that would hold now; the caller gets the first one.
    quota : QuotaState or None
        None if no organisation was given, or the route is public.
    adapter : AdapterState or None
    targets : tuple of TargetExplanation
        Those that could serve it by cost, then the others by id.
    target_count : int
        Number of targets, also of those that aren't listed.
    ages : tuple of DataAge
    notes : tuple of str
        What was not considered.
    """

    host: str
    query: WhereQuery
    configuration_version: int
    route: str
    service: str
    services: tuple[ServiceWeight, ...]
    outcome: Outcome
    refusals: tuple[Refusal, ...]
    quota: QuotaState | None
    adapter: AdapterState | None
    targets: tuple[TargetExplanation, ...]
    target_count: int
    ages: tuple[DataAge, ...]
    notes: tuple[str, ...] = ()


@dataclass(frozen=True)
class PageError:
    """Why a page can't be shown.

    Parameters
    ----------
    code : str
    message : str
    """

    code: str
    message: str


@dataclass(frozen=True)
class ErrorPage:
    """Body of an answer without a page.

    Parameters
    ----------
    error : PageError
    """

    error: PageError


@dataclass(frozen=True)
class ConfigurationStatus:
    """The configuration that a host has in force.

    Parameters
    ----------
    version : int
        0 if none.
    newest_version : int
        Newest one that the host has heard of.
    in_force_s : float or None
        Seconds since it came into force on this host.
    confirmed_age_s : float or None
        Seconds since it was confirmed to be the latest one.
    renewed_age_s : float or None
        Seconds since the store last listed this host.
    is_fresh : bool
        Whether keys are accepted.
    """

    version: int
    newest_version: int
    in_force_s: float | None
    confirmed_age_s: float | None
    renewed_age_s: float | None
    is_fresh: bool


@dataclass(frozen=True)
class PeerStatus:
    """Another host.

    Parameters
    ----------
    host : str
    digest_age_s : float
        Seconds since its latest digest arrived.
    is_live : bool
    """

    host: str
    digest_age_s: float
    is_live: bool


@dataclass(frozen=True)
class TargetStatus:
    """States of one target.

    Parameters
    ----------
    target, service : str
    requests, slots : int
        Requests of all hosts there, and how many it runs at once.
    states : tuple of Reason
        ``ready`` if there is no other.
    """

    target: str
    service: str
    requests: int
    slots: int
    states: tuple[Reason, ...]


@dataclass(frozen=True)
class StateCount:
    """Number of targets of a service in a state.

    Parameters
    ----------
    service, state : str
    count : int
    """

    service: str
    state: str
    count: int


@dataclass(frozen=True)
class GatewayStatus:
    """Status page of a gateway host.

    Parameters
    ----------
    host : str
    ready : bool
        Whether the load balancer may send requests to this host.
    not_ready : tuple of Reason
        Why not.
    configuration : ConfigurationStatus
    store_epoch : int or None
        None if the store hasn't told.
    running : int
        Requests that this host serves.
    peers : tuple of PeerStatus
    states : tuple of StateCount
    targets : tuple of TargetStatus
        First those that aren't ready, then the others, both by id.
    target_count : int
        Number of targets, also of those that aren't listed.
    page : str
    """

    host: str
    ready: bool
    not_ready: tuple[Reason, ...]
    configuration: ConfigurationStatus
    store_epoch: int | None
    running: int
    peers: tuple[PeerStatus, ...]
    states: tuple[StateCount, ...]
    targets: tuple[TargetStatus, ...]
    target_count: int
    page: str = GATEWAY_PAGE
