"""Settings of the admission slice."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta


@dataclass(frozen=True)
class AdmissionSettings:
    """Settings of the allocation of shares and of waiting for them.

    Parameters
    ----------
    share_wait_s : float
        Longest time in seconds that a request waits for a share.
    owner_wait_s : float
        Longest time in seconds that a request waits while no owner answers.
    drift_margin : float
        Factor by which the fastest clock of the fleet may run ahead of real time; rates
        are divided by it. It must equal the drift margin of the leases.
    report_interval_s : float
        Shortest time in seconds between two demand reports of a host while no request
        waits.
    urgent_interval_s : float
        Shortest time in seconds between two demand reports of a host while a request
        waits.
    reports_per_s : float
        Limit of demand reports per second to the owner of one key while no request
        waits; ten times as many are allowed while requests wait. Hosts of larger fleets
        report less often.
    retry_s : float
        Seconds after which an unanswered message is sent again.
    division_interval_s : float
        Seconds between two regular divisions of one key.
    demand_time_s : float
        Time constant in seconds of the demand estimate.
    owner_silence_s : float
        Seconds without an answer after which a host with a waiting request turns to
        peers.
    peer_interval_s : float
        Seconds between two rounds of requests to peers.
    peer_count : int
        Peers that receive a request in one round.
    exhaustion_valid_s : float
        Seconds for which an owner's report that the fleet's tokens are exhausted is
        valid.
    """

    share_wait_s: Annotated[float, Meta(ge=0, le=10)] = 0.8
    owner_wait_s: Annotated[float, Meta(ge=0, le=60)] = 8.0
    drift_margin: Annotated[float, Meta(ge=1.0001, le=1.5)] = 1.05
    report_interval_s: Annotated[float, Meta(ge=0.02, le=5)] = 0.2
    urgent_interval_s: Annotated[float, Meta(ge=0.005, le=1)] = 0.02
    reports_per_s: Annotated[float, Meta(ge=10, le=100_000)] = 200.0
    retry_s: Annotated[float, Meta(ge=0.01, le=5)] = 0.1
    division_interval_s: Annotated[float, Meta(ge=0.01, le=5)] = 0.1
    demand_time_s: Annotated[float, Meta(ge=0.1, le=60)] = 2.0
    owner_silence_s: Annotated[float, Meta(ge=0.02, le=5)] = 0.12
    peer_interval_s: Annotated[float, Meta(ge=0.02, le=5)] = 0.05
    peer_count: Annotated[int, Meta(ge=0, le=64)] = 3
    exhaustion_valid_s: Annotated[float, Meta(ge=0.05, le=5)] = 0.3
