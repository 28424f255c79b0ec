"""How an owner divides an allowance: waiting requests first, then demand."""

from dataclasses import dataclass, replace

from thornlatch.admission._accounts import Account, Recall
from thornlatch.admission._holding import Holding
from thornlatch.admission._parts import (
    MICROTOKENS,
    NOTHING,
    UNITS,
    Part,
    compute_depth,
    compute_depth_units,
)
from thornlatch.admission._settings import AdmissionSettings

EQUAL_RATIO = 0.1
MOVE_FLOOR = UNITS // 50
MOVE_RATIO = 0.15
KEPT_DEMAND_S = 0.1
PIECES = 8
SPARE_DONORS = 4
LEVEL_DONORS = 8
RESERVE_RATIO = 0.1


@dataclass(frozen=True)
class Grant:
    """A part to move from the pool to a host.

    Parameters
    ----------
    host : str
    part : Part
    level : int
        Microtokens.
    """

    host: str
    part: Part
    level: int


@dataclass(frozen=True)
class Plan:
    """The moves of one division.

    Parameters
    ----------
    grants : tuple of Grant
        At most one for each host.
    recalls : tuple of Recall
        At most one for each host.
    exhausted : frozenset of str
        Hosts whose waiting requests can't be served in time by any division.
    """

    grants: tuple[Grant, ...]
    recalls: tuple[Recall, ...]
    exhausted: frozenset[str]


def plan_division(
    pool: Holding,
    accounts: list[Account],
    settings: AdmissionSettings,
    *,
    now: float,
) -> Plan:
    """Plan the moves that serve waiting requests and follow demand.

    Parameters
    ----------
    pool : Holding
    accounts : list of Account
        Hosts that have adopted the present round.
    settings : AdmissionSettings
    now : float
        Seconds.

    Returns
    -------
    Plan
    """
    planner = _Planner(pool, accounts, settings, now=now)
    planner.recover_slots()
    planner.serve_needs()
    planner.follow_demand()
    return planner.make_plan()


class _Planner:
    """Collects the moves of one division."""

    def __init__(
        self,
        pool: Holding,
        accounts: list[Account],
        settings: AdmissionSettings,
        *,
        now: float,
    ) -> None:
        self.allowance = pool.allowance
        self.accounts = accounts
        self.settings = settings
        self.now = now
        self.free = pool.part
        self.free_level = pool.bucket.level
        self.levels = {
            account.host: account.compute_level(self.allowance, now=now)
            for account in accounts
        }
        self.grants: dict[str, Grant] = {}
        self.recalls: dict[str, Recall] = {}
        self.exhausted: set[str] = set()

    def make_plan(self) -> Plan:
        """Return what was collected."""
        return Plan(
            tuple(self.grants.values()),
            tuple(self.recalls.values()),
            frozenset(self.exhausted),
        )

    def recover_slots(self) -> None:
        """Recall slots that a changed configuration took away."""
        missing = -self.free.slots
        for account in self.accounts:
            if missing <= 0:
                return
            if not account.is_recalled(self.settings.retry_s, now=self.now):
                part = Part(slots=min(missing, account.part.slots))
                self.recall(account, part, 0)
                missing -= part.slots

    # Waiting requests

    def serve_needs(self) -> None:
        """Serve waiting requests in the order in which they began to wait."""
        needy = [account for account in self.accounts if self.is_needy(account)]
        needy.sort(key=lambda account: account.need_since)
        available = self.free_level + sum(self.levels.values())
        in_time = self.compute_refill_in_time()
        wanted = 0
        for account in needy:
            wanted += account.compute_need(now=self.now)
            if wanted > available + in_time:
                self.exhausted.add(account.host)
            self.serve(account)

    def is_needy(self, account: Account) -> bool:
        """Return whether a request waits at the host and its part doesn't do."""
        is_short = account.compute_need(now=self.now) > self.levels[account.host]
        slots = account.compute_wanted_slots(now=self.now)
        return is_short or slots > account.part.slots

    def compute_refill_in_time(self) -> int:
        """Return the microtokens that the fleet refills while a request may wait."""
        return int(self.allowance.rate * MICROTOKENS * self.settings.share_wait_s)

    def serve(self, account: Account) -> None:
        """Grant what a host is short of, and recall the rest from others."""
        short = max(0, account.compute_need(now=self.now) - self.levels[account.host])
        part = Part(
            0,
            self.compute_short_depth(account, short),
            max(0, account.compute_wanted_slots(now=self.now) - account.part.slots),
        )
        granted = part.limit_to(self.free)
        if not self.is_worthwhile(granted, part, short):
            granted = NOTHING
        # Rate goes with depth, or it would overflow where it stays.
        rate = self.free.rate * granted.depth // max(1, self.free.depth)
        granted = replace(granted, rate=max(0, min(rate, self.free.rate)))
        level = self.grant(account, granted, min(short, self.free_level))
        self.gather(account, _subtract(part, granted), short - level)

    def is_worthwhile(self, granted: Part, part: Part, short: int) -> bool:
        """Return whether a grant is the rest of a need or a fair piece of it."""
        if granted == part and self.free_level >= short:
            return True
        return bool(granted.slots) or self.free_level * PIECES >= short

    def compute_short_depth(self, account: Account, short: int) -> int:
        """Return the depth that carries `short` and makes room for the need."""
        need = account.compute_need(now=self.now)
        carried = compute_depth_units(self.allowance, short) if short else 0
        room = compute_depth_units(self.allowance, need) if need else 0
        return max(carried, room - account.part.depth)

    def grant(self, account: Account, part: Part, level: int) -> int:
        """Set a part of the pool aside for a host; return the level it takes along."""
        level = min(level, compute_depth(self.allowance, part.depth))
        if part.is_empty:
            return 0
        earlier = self.grants.get(account.host, Grant(account.host, NOTHING, 0))
        self.grants[account.host] = Grant(
            account.host, earlier.part + part, earlier.level + level
        )
        self.free -= part
        self.free_level -= level
        self.levels[account.host] += level
        return level

    def gather(self, needy: Account, missing: Part, level: int) -> None:
        """Recall a missing part and level from the hosts that can best spare them."""
        donors = [account for account in self.accounts if account is not needy]
        donors.sort(key=self.compute_spare_level, reverse=True)
        if not missing.depth and not missing.slots:
            donors = donors[:LEVEL_DONORS]
        for donor in donors:
            if missing.is_empty and level <= 0:
                return
            if donor.is_recalled(self.settings.retry_s, now=self.now):
                level -= donor.recalled_level
                missing = _subtract(missing, donor.recalled)
                continue
            part, given_level = self.choose_recall(donor, needy, missing, level)
            is_small = given_level * PIECES < level and not part.slots
            if is_small and not missing.depth:
                continue
            self.recall(donor, part, given_level)
            level -= given_level
            missing = _subtract(missing, part)
        if level > 0:
            self.ask_spare(donors, level)

    def ask_spare(self, donors: list[Account], level: int) -> None:
        """Ask for level that by estimate isn't there: hosts know better.

        A host whose demand has just ended looks as busy as in its last report.
        """
        donors = [
            donor
            for donor in donors
            if donor.part.depth
            and not donor.is_recalled(self.settings.retry_s, now=self.now)
        ]
        donors.sort(key=lambda donor: donor.part.depth, reverse=True)
        for donor in donors[:SPARE_DONORS]:
            earlier = self.recalls.get(donor.host, Recall(donor.host, NOTHING, 0))
            self.recalls[donor.host] = replace(earlier, spare_level=level)

    def choose_recall(
        self, donor: Account, needy: Account, missing: Part, level: int
    ) -> tuple[Part, int]:
        """Return what a donor should give towards a need."""
        is_later = donor.need_since > needy.need_since
        spare = self.levels[donor.host] if is_later else self.compute_spare_level(donor)
        given_level = max(0, min(level, spare))
        depth = compute_depth_units(self.allowance, given_level) if given_level else 0
        spare_depth = donor.part.depth
        if not is_later:
            kept = compute_depth_units(self.allowance, donor.compute_need(now=self.now))
            spare_depth -= kept if donor.compute_need(now=self.now) else 0
        wanted = max(depth, min(missing.depth, spare_depth))
        spare_slots = donor.part.slots - donor.compute_wanted_slots(now=self.now)
        part = Part(0, wanted, min(missing.slots, spare_slots))
        return part.limit_to(donor.part), given_level

    def compute_spare_level(self, account: Account) -> int:
        """Return the microtokens that a host won't miss at once."""
        kept = account.compute_need(now=self.now) + int(account.demand * KEPT_DEMAND_S)
        return self.levels[account.host] - kept

    def recall(self, account: Account, part: Part, level: int) -> None:
        """Plan to ask a host for a part."""
        if part.is_empty:
            return
        earlier = self.recalls.get(account.host, Recall(account.host, NOTHING, 0))
        self.recalls[account.host] = Recall(
            account.host,
            (earlier.part + part).limit_to(account.part),
            earlier.level + level,
            earlier.spare_level,
        )
        self.levels[account.host] = max(0, self.levels[account.host] - level)

    # Demand

    def follow_demand(self) -> None:
        """Bring parts of rate and depth closer to the hosts' parts of the demand."""
        targets = self.compute_targets()
        if not targets:
            return
        if self.free.rate > 0 or self.free.depth > 0:
            self.raise_parts(targets)
        for account in self.accounts:
            if not account.is_recalled(self.settings.retry_s, now=self.now):
                self.lower_part(account, targets.get(account.host, 0))

    def compute_targets(self) -> dict[str, int]:
        """Return each host's part in units, by demand with a small equal part."""
        asking = [account for account in self.accounts if account.demand]
        total = sum(account.demand for account in asking)
        if not total:
            return {}
        lent = UNITS * (1 - RESERVE_RATIO) if len(asking) > 1 else UNITS
        equal = lent * EQUAL_RATIO / len(asking)
        by_demand = lent * (1 - EQUAL_RATIO) / total
        return {
            account.host: int(equal + by_demand * account.demand) for account in asking
        }

    def raise_parts(self, targets: dict[str, int]) -> None:
        """Grant what is free to the hosts below their targets."""
        for account in self.accounts:
            target = targets.get(account.host, 0)
            wanted = Part(
                max(0, target - account.part.rate),
                max(0, target - account.part.depth),
            )
            part = wanted.limit_to(self.free)
            if max(part.rate, part.depth) < MOVE_FLOOR:
                continue
            level = self.free_level * part.depth // max(1, self.free.depth)
            self.grant(account, part, level)

    def lower_part(self, account: Account, target: int) -> None:
        """Recall what a host has far above its target."""
        threshold = max(MOVE_FLOOR, int(target * MOVE_RATIO))
        part = Part(
            _excess(account.part.rate, target, threshold),
            _excess(account.part.depth, target, threshold),
        )
        if part.is_empty or account.host in self.recalls:
            return
        need = account.compute_need(now=self.now)
        if need and part.depth:
            room = account.part.depth - compute_depth_units(self.allowance, need)
            part = Part(part.rate, max(0, min(part.depth, room)))
        level = self.levels[account.host] * part.depth // max(1, account.part.depth)
        self.recall(account, part, level)


def _excess(held: int, target: int, threshold: int) -> int:
    return held - target if held - target > threshold else 0


def _subtract(missing: Part, part: Part) -> Part:
    left = missing - part
    return Part(max(0, left.rate), max(0, left.depth), max(0, left.slots))
