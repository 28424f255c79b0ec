"""Settings of membership."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from thornlatch.exceptions import SettingsError

ShortTime = Annotated[float, Meta(gt=0, le=60)]


@dataclass(frozen=True)
class MembershipSettings:
    """Times and bounds of membership; must be equal on all hosts of a fleet.

    Parameters
    ----------
    safe_s : float
        Seconds for which a confirmation lets a host act.
    heartbeat_s : float
        Seconds between heartbeats.
    suspect_s : float
        Seconds without an answer after which a peer is suspected.
    defence_s : float
        Seconds that an accused host has to append its defence.
    drift_margin : float
        Greatest ratio between the rates of two hosts' clocks.
    order_limit_s : float
        Seconds that the longest order to a target may take.
    outage_limit_s : float
        Seconds without the log during which voters may confirm a host.
    acknowledge_s : float
        Seconds that a member has to acknowledge a join before it is suspected.
    settle_s : float
        Longest time in seconds for which a host that has joined isn't ready while
        voters are still being elected.
    record_view_s : float
        Seconds between two records of the view; well below the retention time of the
        log, so that the log always holds one.
    voter_limit : int
        Largest number of voters.
    full_mesh_limit : int
        Largest fleet in which every member watches every other.
    """

    safe_s: ShortTime = 2.0
    heartbeat_s: ShortTime = 0.4
    suspect_s: ShortTime = 1.5
    defence_s: ShortTime = 2.0
    drift_margin: Annotated[float, Meta(ge=1, le=2)] = 1.05
    order_limit_s: ShortTime = 3.0
    outage_limit_s: Annotated[float, Meta(gt=0, le=86_400)] = 4000.0
    acknowledge_s: ShortTime = 10.0
    settle_s: ShortTime = 3.0
    record_view_s: Annotated[float, Meta(gt=0, le=86_400)] = 600.0
    voter_limit: Annotated[int, Meta(ge=1, le=31)] = 15
    full_mesh_limit: Annotated[int, Meta(ge=1, le=64)] = 8

    def __post_init__(self) -> None:
        """Check the settings against each other."""
        _check(
            self.heartbeat_s * 3 <= self.safe_s,
            "heartbeat_s",
            self.heartbeat_s,
            f"at most a third of safe_s ({self.safe_s})",
        )
        _check(
            self.suspect_s >= 2 * self.heartbeat_s,
            "suspect_s",
            self.suspect_s,
            f"at least twice heartbeat_s ({self.heartbeat_s})",
        )
        _check(
            self.outage_limit_s >= self.safe_s,
            "outage_limit_s",
            self.outage_limit_s,
            f"at least safe_s ({self.safe_s})",
        )

    @property
    def expulsion_delay_s(self) -> float:
        """Seconds after its accusation until a host may be expelled slowly.

        Long enough for the other voters to suspect the host as well, since after an
        expulsion by a majority its successors wait much less.
        """
        return self.defence_s + 3 * self.suspect_s

    @property
    def fast_wait_s(self) -> float:
        """Seconds that a successor waits after an expulsion by a majority."""
        return (self.safe_s + self.order_limit_s) * self.drift_margin

    @property
    def slow_wait_s(self) -> float:
        """Seconds that a successor waits after an expulsion without a majority."""
        return (self.outage_limit_s + self.order_limit_s) * self.drift_margin


def _check(is_valid: bool, key: str, value: float, allowed: str) -> None:
    if not is_valid:
        raise SettingsError(
            f"{key} = {value} conflicts with other settings; allowed: {allowed}",
            context=f"membership.{key}",
        )
