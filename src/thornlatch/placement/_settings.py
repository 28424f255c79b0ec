"""Settings of placement."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

Seconds = Annotated[float, Meta(gt=0, le=86_400)]
Ratio = Annotated[float, Meta(ge=0, le=1)]


@dataclass(frozen=True)
class PlacementSettings:
    """Settings of the loads and evictions of one pool.

    Parameters
    ----------
    demand_half_life_s : float
        Half-life of requests in the long-term estimate of demand, in seconds.
    recent_half_life_s : float
        Half-life of requests in the short-term estimate, which follows changes of
        popularity, in seconds.
    recent_weight : float
        Weight of the short-term estimate relative to the long-term one.
    max_copies : int
        Largest number of targets that hold one adapter version.
    copy_wait_s : float
        Seconds that a request waits for a busy copy before another copy is loaded.
    copy_demand_per_s : float
        Requests per second from which an adapter version gets a copy in a second
        failure domain.
    copy_slots_ratio : float
        Fraction of a pool's adapter slots that such copies may use.
    spare_copy_value : float
        Value of a copy beyond the first, relative to the first.
    heat_weight : float
        Weight of a target's demand per batch slot, relative to the demand for the
        victim, in the choice of a target for a load.
    hysteresis : float
        Factor by which the demand for a prefetched version must exceed that for its
        victim.
    eviction_lead : int
        Largest number of evictions in flight for loads that wait for the store's
        budget.
    prefetch_loads : int
        Largest number of prefetches in flight; 0 disables prefetch.
    prefetch_interval_s : float
        Seconds between two decisions on prefetches.
    order_limit_s : float
        Seconds after which a target must no longer start an order.
    load_limit_s : float
        Longest duration of a load once it has started, in seconds.
    retry_min_s : float
        Limit of the backoff after the first failed load on a target, in seconds.
    retry_max_s : float
        Upper limit of the exponential backoff, in seconds.
    failed_targets : int
        Number of targets on which a load fails before waiting requests are refused.
    """

    demand_half_life_s: Seconds = 900.0
    recent_half_life_s: Seconds = 60.0
    recent_weight: Annotated[float, Meta(ge=0, le=100)] = 0.06
    max_copies: Annotated[int, Meta(ge=1, le=1000)] = 4
    copy_wait_s: Seconds = 0.3
    copy_demand_per_s: Annotated[float, Meta(ge=0, le=1e6)] = 0.2
    copy_slots_ratio: Ratio = 0.1
    spare_copy_value: Ratio = 0.1
    heat_weight: Annotated[float, Meta(ge=0, le=1000)] = 0.01
    hysteresis: Annotated[float, Meta(ge=1, le=1000)] = 4.0
    eviction_lead: Annotated[int, Meta(ge=1, le=1000)] = 2
    prefetch_loads: Annotated[int, Meta(ge=0, le=1000)] = 1
    prefetch_interval_s: Seconds = 0.5
    order_limit_s: Seconds = 5.0
    load_limit_s: Seconds = 10.0
    retry_min_s: Seconds = 0.5
    retry_max_s: Seconds = 30.0
    failed_targets: Annotated[int, Meta(ge=1, le=100)] = 2
