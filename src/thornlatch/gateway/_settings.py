"""Settings of a gateway host."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

from thornlatch.fleet import ExchangeSettings, PeerViewSettings, RegistrySettings
from thornlatch.gateway._explanation_settings import ExplanationSettings
from thornlatch.gateway._logs import LogSettings
from thornlatch.gateway._stream_versions import StreamVersionSettings
from thornlatch.gateway._suspect_settings import SuspectSettings
from thornlatch.gateway._target_limits import ColdTargetSettings, TargetLimitSettings
from thornlatch.gateway._target_speeds import SpeedSettings
from thornlatch.gateway._topic_share import TopicShareSettings
from thornlatch.gateway._tunnels import TunnelSettings
from thornlatch.mesh import PeerSettings
from thornlatch.pace import PaceSettings
from thornlatch.quota import QuotaSettings, RetryBudgetSettings
from thornlatch.residency import (
    HolderSettings,
    ReplicationSettings,
    TenureSettings,
    VersionSettings,
)
from thornlatch.routing import FreshnessSettings
from thornlatch.targets import DetourSettings

Seconds = Annotated[float, Meta(gt=0)]


@dataclass(frozen=True)
class HostAddresses:
    """Identity and listening addresses of this host.

    Parameters
    ----------
    name : str
    failure_domain : str
    caller_address : str
        ``ip:port`` for callers.
    readiness_address : str
        ``ip:port`` that the load balancer polls; any path is answered.
    peer_address : str
        ``ip:port`` for other hosts.
    metrics_address : str
        ``ip:port``; empty for none.
    capacity : float
        Hosts with larger values are preferred as relays of their failure domain in a
        large fleet.
    tunnel_address : str
        ``ip:port`` for other hosts that are cut off from targets; empty for none.
    """

    name: str
    failure_domain: str
    caller_address: str
    readiness_address: str
    peer_address: str
    metrics_address: str = ""
    capacity: float = 0.0
    tunnel_address: str = ""


@dataclass(frozen=True)
class ForwardingSettings:
    """Timeouts, limits and cost weights for forwarding requests to targets.

    A penalty is added to the cost of a target when hosts choose one. It is the
    additional wait, in seconds, that a host accepts at another target instead.

    Parameters
    ----------
    threads : int
        Maximum number of requests that are served concurrently.
    thread_wait_s : float
        Seconds that a request waits while all threads are busy, before it is refused.
    received_limit_bytes : int
        Memory for received bodies and unfinished events, over all requests. A single
        one may take half of it.
    connect_s : float
        Timeout in seconds for connecting to a target; two round trips take a few ms.
    plain_head_s : float
        Seconds without bytes of an answer after which a plain request that may be
        repeated is sent to another target, if one can take it at once.
    stream_head_objectives : float
        Time without a first event after which a stream that may be repeated is sent to
        another target, if one can take it at once, as a multiple of the route's latency
        objective.
    wait_objectives : float
        Time that a request may wait before it is sent, as a multiple of the route's
        latency objective.
    discovery_wait_objectives : float
        Time that a request may wait for its organisation's quota at a host that has
        just started and hasn't heard from its peers, as a multiple of the route's
        latency objective.
    wait_budget_ratio : float
        Time that a request may wait before it is sent, as a fraction of its deadline.
        The longer of the two times applies.
    stream_silence_s : float
        Seconds without an event after which a running stream goes on at another target,
        if one can take it at once; callers give up after 2.4 s at the earliest.
    avoid_s : float
        Seconds for which a failed target is avoided; doubles with each failure.
    avoid_limit_s : float
        Upper limit of `avoid_s` after repeated failures; also the penalty of an avoided
        target.
    default_deadline_s : float
        Deadline in seconds of requests that specify none.
    load_penalty_s : float
        Penalty of a load from the weight store.
    home_penalty_s : float
        Penalty of the last target in an adapter's hash order; proportionally less for
        the targets before it, so that all hosts prefer the same ones.
    former_home_penalty_s : float
        The same among targets that held the adapter before.
    crowd_penalty_s : float
        Penalty of a target with one request per slot; proportional to its requests.
    prefill_ratio : float
        Weight of the time that a target needs to read the prompts sent to it recently.
        They delay the streams that run there too.
    prefill_limit_gaps : float
        Time of recent prompts at a target above which a request waits, as a multiple of
        the longest pause that its route allows between events. Streams may pause too
        long if their target reads prompts most of the time, so this holds at first and
        at least.
    prefill_limit_max_gaps : float
        Upper limit of `prefill_limit_gaps`, which rises while streams don't pause too
        long.
    pace_objectives : float
        Maximum wait because of `prefill_limit_gaps`, as a multiple of the route's
        latency objective.
    herd_spread_s : float
        Upper limit of a random addition to a target's cost in a large fleet. Hosts
        learn of each other's choices late there, and would all choose the same target.
    domain_penalty_s : float
        Penalty of a target in another failure domain.
    slow_work_weight : float
        Part of the additional seconds that a request takes at a slow target which
        counts as a penalty of that target.
    too_slow_penalty_s : float
        Penalty of a target at which a request wouldn't end before its deadline.
    """

    threads: Annotated[int, Meta(ge=8, le=2000)] = 320
    thread_wait_s: Annotated[float, Meta(ge=0, le=10)] = 0.2
    received_limit_bytes: Annotated[int, Meta(ge=1 << 20)] = 32 << 20
    connect_s: Seconds = 0.3
    plain_head_s: Seconds = 0.35
    stream_head_objectives: Seconds = 2.5
    wait_objectives: Seconds = 1.0
    discovery_wait_objectives: Annotated[float, Meta(ge=0)] = 0.6
    wait_budget_ratio: Annotated[float, Meta(gt=0, le=1)] = 0.35
    stream_silence_s: Seconds = 1.8
    avoid_s: Seconds = 0.5
    avoid_limit_s: Seconds = 4.0
    default_deadline_s: Seconds = 10.0
    load_penalty_s: Annotated[float, Meta(ge=0)] = 0.5
    home_penalty_s: Annotated[float, Meta(ge=0)] = 0.5
    former_home_penalty_s: Annotated[float, Meta(ge=0)] = 0.03
    crowd_penalty_s: Annotated[float, Meta(ge=0)] = 0.3
    prefill_ratio: Annotated[float, Meta(ge=0)] = 1.5
    prefill_limit_gaps: Seconds = 0.4
    prefill_limit_max_gaps: Seconds = 16.0
    pace_objectives: Annotated[float, Meta(ge=0)] = 0.6
    herd_spread_s: Annotated[float, Meta(ge=0)] = 0.15
    domain_penalty_s: Annotated[float, Meta(ge=0)] = 0.002
    slow_work_weight: Annotated[float, Meta(ge=0)] = 0.2
    too_slow_penalty_s: Annotated[float, Meta(ge=0)] = 1.0


@dataclass(frozen=True)
class StopSettings:
    """Times of a planned stop.

    Parameters
    ----------
    grace_s : float
        Seconds after which the platform kills the process.
    margin_s : float
        Seconds of `grace_s` that are reserved for the exit.
    answer_s : float
        Seconds before the exit in which requests that targets haven't finished are
        answered with an error.
    linger_s : float
        Seconds for which new connections may still arrive after the host has reported
        that it isn't ready.
    """

    grace_s: Seconds = 8.0
    margin_s: Annotated[float, Meta(ge=0)] = 0.5
    answer_s: Annotated[float, Meta(ge=0)] = 0.4
    linger_s: Annotated[float, Meta(ge=0)] = 2.5


@dataclass(frozen=True)
class GatewaySettings:
    """All settings of a gateway host.

    Parameters
    ----------
    host : HostAddresses
    freshness : FreshnessSettings
    registry : RegistrySettings
    peers : PeerSettings
    peer_view : PeerViewSettings
    exchange : ExchangeSettings
    share : TopicShareSettings
    quota : QuotaSettings
    retries : RetryBudgetSettings
    holder : HolderSettings
    tenure : TenureSettings
    versions : VersionSettings
    relief : ReplicationSettings
    forwarding : ForwardingSettings
    suspects : SuspectSettings
    limits : TargetLimitSettings
    cold : ColdTargetSettings
    speeds : SpeedSettings
    pace : PaceSettings
    stream_versions : StreamVersionSettings
    stop : StopSettings
    logs : LogSettings
    explanations : ExplanationSettings
    detours : DetourSettings
    tunnels : TunnelSettings
    regions : mapping of str to str
        Regions by failure domain. Other domains have none, and requests that are
        restricted to regions aren't sent there.
    """

    host: HostAddresses
    freshness: FreshnessSettings = field(default_factory=FreshnessSettings)
    registry: RegistrySettings = field(default_factory=RegistrySettings)
    peers: PeerSettings = field(default_factory=PeerSettings)
    peer_view: PeerViewSettings = field(default_factory=PeerViewSettings)
    exchange: ExchangeSettings = field(default_factory=ExchangeSettings)
    share: TopicShareSettings = field(default_factory=TopicShareSettings)
    quota: QuotaSettings = field(default_factory=QuotaSettings)
    retries: RetryBudgetSettings = field(default_factory=RetryBudgetSettings)
    holder: HolderSettings = field(default_factory=HolderSettings)
    tenure: TenureSettings = field(default_factory=TenureSettings)
    versions: VersionSettings = field(default_factory=VersionSettings)
    relief: ReplicationSettings = field(default_factory=ReplicationSettings)
    forwarding: ForwardingSettings = field(default_factory=ForwardingSettings)
    suspects: SuspectSettings = field(default_factory=SuspectSettings)
    limits: TargetLimitSettings = field(default_factory=TargetLimitSettings)
    cold: ColdTargetSettings = field(default_factory=ColdTargetSettings)
    speeds: SpeedSettings = field(default_factory=SpeedSettings)
    pace: PaceSettings = field(default_factory=PaceSettings)
    stream_versions: StreamVersionSettings = field(
        default_factory=StreamVersionSettings
    )
    stop: StopSettings = field(default_factory=StopSettings)
    logs: LogSettings = field(default_factory=LogSettings)
    explanations: ExplanationSettings = field(default_factory=ExplanationSettings)
    detours: DetourSettings = field(default_factory=DetourSettings)
    tunnels: TunnelSettings = field(default_factory=TunnelSettings)
    regions: Mapping[str, str] = field(default_factory=dict)
