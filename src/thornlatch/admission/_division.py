"""Division of an allowance by its owner: waiting requests first, then demand."""

from dataclasses import dataclass, replace

from thornlatch.admission._holding import Holding
from thornlatch.admission._host_estimates import HostEstimate, Recall
from thornlatch.admission._settings import AdmissionSettings
from thornlatch.admission._shares import (
    EMPTY_SHARE,
    MICROTOKENS,
    UNITS,
    Share,
    compute_depth,
    compute_depth_units,
)

EQUAL_SHARE_RATIO = 0.1
MIN_MOVE_UNITS = UNITS // 50
MIN_EXCESS_RATIO = 0.15
RESERVED_DEMAND_S = 0.1
SMALL_MOVE_DIVISOR = 8
MAX_SPARE_DONORS = 4
MAX_LEVEL_DONORS = 8
RESERVE_RATIO = 0.1


@dataclass(frozen=True)
class Grant:
    """A share to move from the pool to a host.

    Parameters
    ----------
    host : str
    share : Share
    level : int
        Microtokens.
    """

    host: str
    share: Share
    level: int


@dataclass(frozen=True)
class Plan:
    """Moves planned by one division.

    Parameters
    ----------
    grants : tuple of Grant
        At most one for each host.
    recalls : tuple of Recall
        At most one for each host.
    exhausted : frozenset of str
        Hosts whose waiting requests no division can serve in time.
    """

    grants: tuple[Grant, ...]
    recalls: tuple[Recall, ...]
    exhausted: frozenset[str]


def plan_division(
    pool: Holding,
    estimates: list[HostEstimate],
    settings: AdmissionSettings,
    *,
    now: float,
) -> Plan:
    """Plan the moves that serve waiting requests and follow demand.

    Parameters
    ----------
    pool : Holding
    estimates : list of HostEstimate
        Hosts that have joined the present round.
    settings : AdmissionSettings
    now : float
        Seconds.

    Returns
    -------
    Plan
    """
    planner = _Planner(pool, estimates, settings, now=now)
    planner.recover_slots()
    planner.serve_needs()
    planner.follow_demand()
    return planner.make_plan()


class _Planner:
    """Collects the moves of one division."""

    def __init__(
        self,
        pool: Holding,
        estimates: list[HostEstimate],
        settings: AdmissionSettings,
        *,
        now: float,
    ) -> None:
        self.allowance = pool.allowance
        self.estimates = estimates
        self.settings = settings
        self.now = now
        self.free = pool.share
        self.free_level = pool.bucket.level
        self.levels = {
            estimate.host: estimate.compute_level(self.allowance, now=now)
            for estimate in estimates
        }
        self.grants: dict[str, Grant] = {}
        self.recalls: dict[str, Recall] = {}
        self.exhausted: set[str] = set()

    def make_plan(self) -> Plan:
        """Return the collected moves."""
        return Plan(
            tuple(self.grants.values()),
            tuple(self.recalls.values()),
            frozenset(self.exhausted),
        )

    def recover_slots(self) -> None:
        """Recall the slots that a changed configuration removed."""
        missing = -self.free.slots
        for estimate in self.estimates:
            if missing <= 0:
                return
            if not estimate.is_recalled(self.settings.retry_s, now=self.now):
                share = Share(slots=min(missing, estimate.share.slots))
                self.recall(estimate, share, 0)
                missing -= share.slots

    # Waiting requests

    def serve_needs(self) -> None:
        """Serve waiting requests, the longest waiting first."""
        waiting_hosts = [
            estimate for estimate in self.estimates if self.has_unmet_need(estimate)
        ]
        waiting_hosts.sort(key=lambda estimate: estimate.need_since)
        available = self.free_level + sum(self.levels.values())
        in_time = self.compute_refill_in_time()
        total_need = 0
        for estimate in waiting_hosts:
            total_need += estimate.compute_need(now=self.now)
            if total_need > available + in_time:
                self.exhausted.add(estimate.host)
            self.serve(estimate)

    def has_unmet_need(self, estimate: HostEstimate) -> bool:
        """Return whether the host's share doesn't cover its waiting requests."""
        is_level_short = (
            estimate.compute_need(now=self.now) > self.levels[estimate.host]
        )
        slots = estimate.compute_wanted_slots(now=self.now)
        return is_level_short or slots > estimate.share.slots

    def compute_refill_in_time(self) -> int:
        """Return the microtokens that the fleet refills within `share_wait_s`."""
        return int(self.allowance.rate * MICROTOKENS * self.settings.share_wait_s)

    def serve(self, estimate: HostEstimate) -> None:
        """Grant a host what it lacks, and recall the rest from other hosts."""
        shortage = max(
            0, estimate.compute_need(now=self.now) - self.levels[estimate.host]
        )
        share = Share(
            0,
            self.compute_missing_depth(estimate, shortage),
            max(0, estimate.compute_wanted_slots(now=self.now) - estimate.share.slots),
        )
        granted = share.limit_to(self.free)
        if not self.is_worthwhile(granted, share, shortage):
            granted = EMPTY_SHARE
        # Rate without depth overflows, so both are granted in proportion.
        rate = self.free.rate * granted.depth // max(1, self.free.depth)
        granted = replace(granted, rate=max(0, min(rate, self.free.rate)))
        level = self.grant(estimate, granted, min(shortage, self.free_level))
        self.recall_from_donors(estimate, _subtract(share, granted), shortage - level)

    def is_worthwhile(self, granted: Share, share: Share, shortage: int) -> bool:
        """Return whether a grant covers a shortage or a sufficient fraction of it."""
        if granted == share and self.free_level >= shortage:
            return True
        return bool(granted.slots) or self.free_level * SMALL_MOVE_DIVISOR >= shortage

    def compute_missing_depth(self, estimate: HostEstimate, shortage: int) -> int:
        """Return the depth that a shortage and the whole need require."""
        need = estimate.compute_need(now=self.now)
        carried = compute_depth_units(self.allowance, shortage) if shortage else 0
        room = compute_depth_units(self.allowance, need) if need else 0
        return max(carried, room - estimate.share.depth)

    def grant(self, estimate: HostEstimate, share: Share, level: int) -> int:
        """Reserve a share of the pool for a host; return the level that it carries."""
        level = min(level, compute_depth(self.allowance, share.depth))
        if share.is_empty:
            return 0
        earlier = self.grants.get(estimate.host, Grant(estimate.host, EMPTY_SHARE, 0))
        self.grants[estimate.host] = Grant(
            estimate.host, earlier.share + share, earlier.level + level
        )
        self.free -= share
        self.free_level -= level
        self.levels[estimate.host] += level
        return level

    def recall_from_donors(
        self, requester: HostEstimate, missing: Share, level: int
    ) -> None:
        """Recall a missing share and level from the hosts with the most to spare."""
        donors = [estimate for estimate in self.estimates if estimate is not requester]
        donors.sort(key=self.compute_spare_level, reverse=True)
        if not missing.depth and not missing.slots:
            donors = donors[:MAX_LEVEL_DONORS]
        for donor in donors:
            if missing.is_empty and level <= 0:
                return
            if donor.is_recalled(self.settings.retry_s, now=self.now):
                level -= donor.recalled_level
                missing = _subtract(missing, donor.recalled)
                continue
            share, given_level = self.choose_recall(donor, requester, missing, level)
            is_small = given_level * SMALL_MOVE_DIVISOR < level and not share.slots
            if is_small and not missing.depth:
                continue
            self.recall(donor, share, given_level)
            level -= given_level
            missing = _subtract(missing, share)
        if level > 0:
            self.request_spare_level(donors, level)

    def request_spare_level(self, donors: list[HostEstimate], level: int) -> None:
        """Recall spare level that the estimates don't show.

        A host whose demand has just ended is still estimated by its last report.
        """
        donors = [
            donor
            for donor in donors
            if donor.share.depth
            and not donor.is_recalled(self.settings.retry_s, now=self.now)
        ]
        donors.sort(key=lambda donor: donor.share.depth, reverse=True)
        for donor in donors[:MAX_SPARE_DONORS]:
            earlier = self.recalls.get(donor.host, Recall(donor.host, EMPTY_SHARE, 0))
            self.recalls[donor.host] = replace(earlier, spare_level=level)

    def choose_recall(
        self, donor: HostEstimate, requester: HostEstimate, missing: Share, level: int
    ) -> tuple[Share, int]:
        """Return the share and level to recall from a donor."""
        is_later = donor.need_since > requester.need_since
        spare = self.levels[donor.host] if is_later else self.compute_spare_level(donor)
        given_level = max(0, min(level, spare))
        depth = compute_depth_units(self.allowance, given_level) if given_level else 0
        spare_depth = donor.share.depth
        if not is_later:
            kept = compute_depth_units(self.allowance, donor.compute_need(now=self.now))
            spare_depth -= kept if donor.compute_need(now=self.now) else 0
        wanted = max(depth, min(missing.depth, spare_depth))
        spare_slots = donor.share.slots - donor.compute_wanted_slots(now=self.now)
        share = Share(0, wanted, min(missing.slots, spare_slots))
        return share.limit_to(donor.share), given_level

    def compute_spare_level(self, estimate: HostEstimate) -> int:
        """Return a host's microtokens beyond its need and near-term demand."""
        kept = estimate.compute_need(now=self.now) + int(
            estimate.demand * RESERVED_DEMAND_S
        )
        return self.levels[estimate.host] - kept

    def recall(self, estimate: HostEstimate, share: Share, level: int) -> None:
        """Add a recall to the plan."""
        if share.is_empty:
            return
        earlier = self.recalls.get(estimate.host, Recall(estimate.host, EMPTY_SHARE, 0))
        self.recalls[estimate.host] = Recall(
            estimate.host,
            (earlier.share + share).limit_to(estimate.share),
            earlier.level + level,
            earlier.spare_level,
        )
        self.levels[estimate.host] = max(0, self.levels[estimate.host] - level)

    # Demand

    def follow_demand(self) -> None:
        """Move rate and depth towards the hosts' proportions of the demand."""
        desired_units = self.compute_desired_units()
        if not desired_units:
            return
        if self.free.rate > 0 or self.free.depth > 0:
            self.grant_free_share(desired_units)
        for estimate in self.estimates:
            if not estimate.is_recalled(self.settings.retry_s, now=self.now):
                self.recall_excess(estimate, desired_units.get(estimate.host, 0))

    def compute_desired_units(self) -> dict[str, int]:
        """Return each host's desired units: a small equal share and a share by demand.

        If several hosts have demand, `RESERVE_RATIO` of the units stays in the pool.
        """
        demanding = [estimate for estimate in self.estimates if estimate.demand]
        total = sum(estimate.demand for estimate in demanding)
        if not total:
            return {}
        divisible_units = UNITS * (1 - RESERVE_RATIO) if len(demanding) > 1 else UNITS
        equal_units = divisible_units * EQUAL_SHARE_RATIO / len(demanding)
        units_per_demand = divisible_units * (1 - EQUAL_SHARE_RATIO) / total
        return {
            estimate.host: int(equal_units + units_per_demand * estimate.demand)
            for estimate in demanding
        }

    def grant_free_share(self, desired_units: dict[str, int]) -> None:
        """Grant free rate and depth to the hosts below their desired units."""
        for estimate in self.estimates:
            desired = desired_units.get(estimate.host, 0)
            wanted = Share(
                max(0, desired - estimate.share.rate),
                max(0, desired - estimate.share.depth),
            )
            share = wanted.limit_to(self.free)
            if max(share.rate, share.depth) < MIN_MOVE_UNITS:
                continue
            level = self.free_level * share.depth // max(1, self.free.depth)
            self.grant(estimate, share, level)

    def recall_excess(self, estimate: HostEstimate, desired: int) -> None:
        """Recall rate and depth that exceed the desired units by a threshold."""
        threshold = max(MIN_MOVE_UNITS, int(desired * MIN_EXCESS_RATIO))
        share = Share(
            _excess(estimate.share.rate, desired, threshold),
            _excess(estimate.share.depth, desired, threshold),
        )
        if share.is_empty or estimate.host in self.recalls:
            return
        need = estimate.compute_need(now=self.now)
        if need and share.depth:
            room = estimate.share.depth - compute_depth_units(self.allowance, need)
            share = Share(share.rate, max(0, min(share.depth, room)))
        level = self.levels[estimate.host] * share.depth // max(1, estimate.share.depth)
        self.recall(estimate, share, level)


def _excess(held: int, desired: int, threshold: int) -> int:
    return held - desired if held - desired > threshold else 0


def _subtract(missing: Share, share: Share) -> Share:
    left = missing - share
    return Share(max(0, left.rate), max(0, left.depth), max(0, left.slots))
