"""Settings of the configuration slice."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta


@dataclass(frozen=True)
class ConfigurationSettings:
    """Settings of the configuration in force.

    Parameters
    ----------
    stale_limit_s : float
        Seconds after the last confirmation of its state for which a host accepts
        requests.
    query_after_s : float
        Seconds without a read of the log after which peers are queried.
    query_interval_s : float
        Seconds between two rounds of queries.
    query_peers : int
        Number of peers queried in each round.
    catch_up_after_s : float
        Seconds for which this host lags behind a peer before it fetches the peer's
        snapshot.
    snapshot_every_s : float
        Seconds between snapshots on the log; must be far below the retention time of
        the log.
    snapshot_every_records : int
        Number of records after which a snapshot is due early.
    snapshot_backoff_s : float
        Seconds after which the host with the next rank writes a snapshot that is
        missing.
    """

    stale_limit_s: Annotated[float, Meta(ge=0.5, le=60)] = 4.0
    query_after_s: Annotated[float, Meta(ge=0.1, le=60)] = 1.5
    query_interval_s: Annotated[float, Meta(ge=0.1, le=60)] = 1.0
    query_peers: Annotated[int, Meta(ge=1, le=64)] = 8
    catch_up_after_s: Annotated[float, Meta(ge=0.1, le=600)] = 2.0
    snapshot_every_s: Annotated[float, Meta(ge=1, le=604_800)] = 3600.0
    snapshot_every_records: Annotated[int, Meta(ge=10, le=100_000)] = 1000
    snapshot_backoff_s: Annotated[float, Meta(ge=1, le=3600)] = 30.0
