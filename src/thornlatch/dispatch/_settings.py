"""Settings of dispatch."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

Seconds = Annotated[float, Meta(gt=0, le=86_400)]
Weight = Annotated[float, Meta(gt=0, le=1)]


@dataclass(frozen=True)
class DispatchSettings:
    """Settings of grants, queues and the choice of targets.

    Parameters
    ----------
    linger_s : float
        Seconds that a host keeps a grant after use for its next request.
    resend_s : float
        Seconds after which an unanswered message is sent again.
    owner_wait_s : float
        Seconds that a request waits for a pool without an owner before it's refused.
    owner_silence_s : float
        Seconds without an answer after which the owner counts as silent and idle
        grants are kept.
    queue_limit : int
        Requests that may wait for one pool.
    batch_aging_s : float
        Seconds of waiting after which batch work ranks as interactive work.
    estimate_weight : float
        Weight of the newest sample in moving averages.
    initial_service_s : float
        Seconds that a grant is held, as assumed before the first answer.
    refusal_margin : float
        Times that the estimated wait counts when a request is refused on arrival;
        below 1 refuses fewer requests that might have met their deadline.
    retry_min_s : float
        Shortest time to come back that a refusal names.
    credit_tokens : float
        Tokens by which an organisation's counter may lag behind the pool's.
    credit_loads : float
        The same for the loads made for an organisation.
    slow_ratio : float
        Times the pool's typical seconds per token from which a target counts as slow.
    failure_limit : int
        Failures in a row after which a target rests.
    failure_rest_s : float
        Seconds of the first rest; it doubles with each further failure.
    failure_rest_max_s : float
        Longest rest.
    orphan_pin_s : float
        Seconds that an adapter version stays pinned after a request on it ended
        without an answer or its host vanished.
    prefix_entries : int
        Prompt prefixes remembered by their last target.
    prefix_bonus : float
        Share of a target's batch slots that a probable prefix hit outweighs.
    death_check_s : float
        Seconds for which a target that a host reported dead gets no new work at most
        while the owner asks it.
    copy_hold_s : float
        Seconds for which copies of a request that never ended well share a target at
        most, and wait after one of them ended without an answer.
    """

    linger_s: Annotated[float, Meta(ge=0, le=60)] = 0.2
    resend_s: Seconds = 0.5
    owner_wait_s: Seconds = 5.0
    owner_silence_s: Seconds = 1.5
    queue_limit: Annotated[int, Meta(ge=1, le=1_000_000)] = 10_000
    batch_aging_s: Seconds = 60.0
    estimate_weight: Weight = 0.05
    initial_service_s: Seconds = 1.0
    refusal_margin: Annotated[float, Meta(gt=0, le=10)] = 0.8
    retry_min_s: Seconds = 0.5
    credit_tokens: Annotated[float, Meta(ge=0, le=1e9)] = 2000.0
    credit_loads: Annotated[float, Meta(ge=0, le=1e6)] = 100.0
    slow_ratio: Annotated[float, Meta(gt=1, le=100)] = 2.0
    failure_limit: Annotated[int, Meta(ge=1, le=1000)] = 3
    failure_rest_s: Seconds = 1.0
    failure_rest_max_s: Seconds = 30.0
    orphan_pin_s: Seconds = 30.0
    prefix_entries: Annotated[int, Meta(ge=0, le=10_000_000)] = 20_000
    prefix_bonus: Annotated[float, Meta(ge=0, le=1)] = 0.25
    death_check_s: Seconds = 1.0
    copy_hold_s: Seconds = 1.0
