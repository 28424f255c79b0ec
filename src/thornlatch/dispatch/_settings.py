"""Settings of the dispatch slice."""

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
        Time for which a host keeps a grant after use for its next request, seconds.
    resend_s : float
        Time after which an unanswered message is resent, seconds.
    owner_wait_s : float
        Time for which a request waits for a pool whose owner is missing or silent
        before it's refused, seconds. Longer than the takeover from a failed owner, or
        requests would wait in vain.
    owner_silence_s : float
        Time without an answer after which the owner counts as silent and unused grants
        are kept beyond `linger_s`, seconds.
    queue_limit : int
        Maximum number of requests that wait for one pool.
    batch_aging_s : float
        Waiting time after which a batch request ranks before interactive ones that
        arrive later, seconds.
    estimate_weight : float
        Weight of the newest sample in the moving averages of service times.
    initial_service_s : float
        Time for which a grant is assumed to be held before the first use ends, seconds.
    refusal_margin : float
        Factor applied to the estimated wait and service time of a request when its
        deadline is checked; a value below 1 refuses fewer requests that might have met
        it.
    retry_min_s : float
        Shortest time after which a refused request may be retried, and time for which a
        target that was too busy gets no new work, seconds.
    credit_tokens : float
        Tokens by which an organisation may lag behind the pool's virtual time, that is
        the unused service that it can catch up on.
    credit_loads : float
        Adapter loads by which an organisation may lag behind the virtual time of the
        pool's loads.
    slow_ratio : float
        Multiple of the pool's median time per token above which a target is slow.
    failure_limit : int
        Number of failures in a row after which a target is suspended.
    failure_rest_s : float
        Duration of the first suspension, which doubles with each further failure,
        seconds.
    failure_rest_max_s : float
        Longest suspension, seconds.
    orphan_pin_s : float
        Time for which an adapter version stays pinned after a request for it ended
        without an answer or its host left, seconds. On a target that reports the
        versions in use, the pin lasts until a newer report no longer lists the version.
    prefix_entries : int
        Maximum number of prompt prefixes whose last target is remembered.
    prefix_bonus : float
        Share of a target's batch slots by which a probable prefix cache hit lowers its
        load in the choice of a target.
    death_check_s : float
        Longest time for which a target that a host reported as failed gets no new work
        while the owner polls it, seconds.
    copy_hold_s : float
        Longest time for which duplicates of a request that never succeeded share a
        target, and time for which they wait after one of them ended without an answer,
        seconds.
    """

    linger_s: Annotated[float, Meta(ge=0, le=60)] = 0.2
    resend_s: Seconds = 0.5
    owner_wait_s: Seconds = 10.0
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
