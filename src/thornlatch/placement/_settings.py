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
        Seconds in which old demand loses half of its weight in the long-term estimate.
    recent_half_life_s : float
        The same for the short-term estimate, which follows shifts of popularity.
    recent_weight : float
        Weight of the short-term estimate's rate against the long-term one's.
    max_copies : int
        Targets that may hold one adapter version.
    copy_wait_s : float
        Seconds that a request waits for a busy copy before another copy is loaded.
    copy_demand_per_s : float
        Requests per second from which an adapter version deserves a copy in a second
        failure domain.
    copy_slots_ratio : float
        Share of a pool's adapter slots that such copies may take.
    spare_copy_value : float
        Value of a copy beyond the first, relative to the first.
    heat_weight : float
        Requests per second of a victim that outweigh a target filled with demand, when
        a target for a load is chosen.
    hysteresis : float
        Times by which a prefetched version's demand must exceed its victim's.
    eviction_lead : int
        Evictions in flight for loads that wait for the store's budget.
    prefetch_loads : int
        Prefetches in flight; 0 turns prefetch off.
    prefetch_interval_s : float
        Seconds between decisions on prefetches.
    order_limit_s : float
        Seconds after which a target must not begin an order.
    load_limit_s : float
        Seconds that a load may take once begun.
    retry_min_s : float
        Seconds before a failed load is tried again on the same target.
    retry_max_s : float
        Upper limit of the exponential backoff.
    failed_targets : int
        Targets on which a load fails before the waiting requests are refused.
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
