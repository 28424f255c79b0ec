"""Settings of the pace of targets that started or recovered."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta


@dataclass(frozen=True)
class PaceSettings:
    """How the load of a target that started or recovered is raised.

    Parameters
    ----------
    is_enabled : bool
        Whether targets of all services are paced. Otherwise only those of services are
        for which it was enabled while the host runs.
    paces_recovered : bool
        Whether targets that failed and are used again are paced too, not only those
        that started. A target that loses a part of its answers isn't overloaded, and
        pacing it leaves callers without places.
    paces_uneven : bool
        Whether the services are paced whose targets report how long work takes.
    first_window : float
        Requests of all hosts together at a target that has just started.
    growth : float
        Factor of the window in a round in which a response came in time.
    end_ratio : float
        Window in requests per slot at which the target is no longer paced. With 1, all
        requests that wait would be sent there at once. Targets that aren't paced have
        up to about this many requests.
    shrink : float
        Factor of the window after a late, refused or failed request.
    late_ratio : float
        A response is late if it takes more than this many times as long as responses
        to requests of its size usually take at the service's other targets.
    late_slack_s : float
        Seconds that a response may always take in addition.
    round_periods : float
        Periods of digests in a round. A change reaches the hosts of a large fleet
        within three.
    draw_periods : float
        Periods of digests after which a host draws its part of a window's free places
        anew. Until then its view lacks what other hosts have sent since.
    retry_s : float
        Seconds without a response after which a target with a full window gets one
        more request.
    slow_target_s : float
        Seconds after which a target that still isn't as fast as others at its first
        window is compared with its own responses there.
    idle_end_s : float
        Seconds after its start at which a target that got no request is no longer
        paced. It has started long ago by then.
    common_ratio : float
        Part of a service's targets from which on failures have a common cause. Targets
        that are avoided then aren't paced for it when they recover.
    """

    is_enabled: bool = False
    paces_recovered: bool = False
    paces_uneven: bool = False
    first_window: Annotated[float, Meta(ge=1)] = 2.0
    growth: Annotated[float, Meta(gt=1)] = 2.0
    end_ratio: Annotated[float, Meta(ge=1)] = 4.0
    shrink: Annotated[float, Meta(gt=0, lt=1)] = 0.5
    late_ratio: Annotated[float, Meta(gt=1)] = 2.0
    late_slack_s: Annotated[float, Meta(ge=0)] = 0.05
    round_periods: Annotated[float, Meta(ge=1)] = 4.0
    draw_periods: Annotated[float, Meta(ge=1)] = 3.0
    retry_s: Annotated[float, Meta(gt=0)] = 0.8
    slow_target_s: Annotated[float, Meta(gt=0)] = 30.0
    idle_end_s: Annotated[float, Meta(gt=0)] = 5.0
    common_ratio: Annotated[float, Meta(gt=0, le=1)] = 0.2
