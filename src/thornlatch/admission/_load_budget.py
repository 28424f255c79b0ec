"""A host's share of a weight store's load budget."""

from thornlatch.admission._key_shares import KeyShares
from thornlatch.admission._local_share import Need
from thornlatch.admission._shares import MICROTOKENS
from thornlatch.core import Action


class LoadBudgetShare:
    """Limits loads to this host's share of a store's rate and slots.

    A load that a failed host started stays counted: its slot becomes free only when the
    host is no longer a possible holder.

    Parameters
    ----------
    shares : KeyShares
        Shares of the key ``store:<name>``.
    """

    def __init__(self, shares: KeyShares) -> None:
        self.shares = shares
        self.waiting_since: float | None = None

    def try_acquire(self, *, now: float) -> bool:
        """Start a load if the share allows it; return whether it does."""
        if not self.shares.leases.is_confirmed(now=now):
            return False
        return self.shares.local_share.acquire_slot(now=now)

    def release(self, *, now: float) -> None:
        """End a load that `try_acquire` started."""
        local_share = self.shares.local_share
        local_share.used_slots = max(0, local_share.used_slots - 1)

    def set_waiting_loads(self, count: int, *, now: float) -> list[Action]:
        """Set the number of waiting loads, for which this host requests shares.

        Parameters
        ----------
        count : int
            Waiting loads, without those in flight.
        now : float
            Seconds.

        Returns
        -------
        list of Action
        """
        if count <= 0:
            self.waiting_since = None
            self.shares.local_share.need = Need()
            self.shares.local_share.mark_answered()
            return []
        if self.waiting_since is None:
            self.waiting_since = now
        self.shares.local_share.need = Need(
            count * MICROTOKENS, count, self.waiting_since
        )
        members = sum(1 for _ in self.shares.leases.iter_members())
        return self.shares.report(members, now=now)
