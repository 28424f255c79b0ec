"""What an owner knows of the hosts that hold shares of its key."""

from dataclasses import dataclass

from thornlatch.admission._messages import DemandReport
from thornlatch.admission._shares import (
    EMPTY_SHARE,
    MICROTOKENS,
    UNITS,
    Allowance,
    Share,
    compute_depth,
)

NEED_VALID_S = 0.35
RECALL_INTERVAL_S = 0.02


@dataclass(frozen=True)
class Recall:
    """A request that a host return a share.

    Parameters
    ----------
    host : str
    share : Share
    level : int
        Microtokens to return.
    spare_level : int
        Further microtokens to return if the host can spare them.
    """

    host: str
    share: Share
    level: int
    spare_level: int = 0


@dataclass
class HostEstimate:
    """The owner's estimate of one host.

    It guides the division only. That shares don't exceed the allowance follows from
    the inventories and moves alone.

    Parameters
    ----------
    host : str
        Host id.
    share : Share
    level : int
        Microtokens in the host's bucket at `level_at`.
    level_at : float
        Seconds.
    need_since : float
        Seconds at which the oldest waiting request of the host began to wait.
    need_at : float
        Seconds at which the last report arrived.
    answered_number : int
        Number of the last report that a grant or a `DemandAnswer` answered.
    is_recall_open : bool
        Whether the host has returned nothing since the last recall.
    """

    host: str
    share: Share = EMPTY_SHARE
    level: int = 0
    level_at: float = 0.0
    demand: int = 0
    need: int = 0
    slots: int = 0
    need_since: float = 0.0
    need_at: float = float("-inf")
    report_number: int = 0
    answered_number: int = 0
    recall_number: int = 0
    recalled_at: float = float("-inf")
    recalled: Share = EMPTY_SHARE
    recalled_level: int = 0
    is_recall_open: bool = False
    is_closing: bool = False

    def apply_report(self, report: DemandReport, *, now: float) -> bool:
        """Apply a report; return whether it was newer than the last one."""
        if report.number <= self.report_number:
            return False
        self.report_number = report.number
        self.share = report.part
        self.level = report.level
        self.level_at = now
        self.demand = report.demand
        self.need = report.need
        self.is_closing = report.is_closing
        self.slots = report.slots
        self.need_since = now - report.waited_ms / 1000
        self.need_at = now
        return True

    def compute_level(self, allowance: Allowance, *, now: float) -> int:
        """Return the last known level, plus refill, less demand, in microtokens."""
        age_s = max(0.0, now - self.level_at)
        refill = allowance.rate * MICROTOKENS * self.share.rate / UNITS
        level = self.level + int((refill - self.demand) * age_s)
        return max(0, min(level, compute_depth(allowance, self.share.depth)))

    def compute_need(self, *, now: float) -> int:
        """Return the microtokens of waiting requests; 0 if the report is stale."""
        return self.need if now - self.need_at < NEED_VALID_S else 0

    def compute_wanted_slots(self, *, now: float) -> int:
        """Return the slots in use or waited for; 0 if the report is stale."""
        return self.slots if now - self.need_at < NEED_VALID_S else 0

    def note_granted(self, share: Share, level: int) -> None:
        """Add a granted share; a need that it covers is cleared."""
        self.share += share
        self.level += level
        self.answered_number = self.report_number
        if self.level >= self.need:
            self.need = 0

    def note_returned(self, share: Share, level: int) -> None:
        """Subtract a returned share, which completes the recall."""
        self.share -= share
        self.level = max(0, self.level - level)
        self.recalled = EMPTY_SHARE
        self.recalled_level = 0
        self.is_recall_open = False

    def note_recalled(self, recall: Recall, *, now: float) -> None:
        """Record a recall that was sent."""
        self.recall_number += 1
        self.recalled_at = now
        self.recalled = recall.share
        self.recalled_level = recall.level
        self.is_recall_open = True

    def is_recalled(self, retry_s: float, *, now: float) -> bool:
        """Return whether another recall has to wait."""
        gap_s = retry_s if self.is_recall_open else RECALL_INTERVAL_S
        return now - self.recalled_at < gap_s
