"""The weight store's budget of loads, lent over the fleet."""

from thornlatch.admission._key_shares import KeyShares
from thornlatch.admission._local_share import Need
from thornlatch.admission._shares import MICROTOKENS
from thornlatch.core import Action


class LoadBudgetShare:
    """Keeps this host's part of a store's loads per second and loads in flight.

    A load that a dead host began stays counted: its slot comes back only when the host
    is no longer a possible holder.

    Parameters
    ----------
    shares : KeyShares
        Those of ``store:<name>``.
    """

    def __init__(self, shares: KeyShares) -> None:
        self.shares = shares
        self.wanted_since: float | None = None

    def try_acquire(self, *, now: float) -> bool:
        """Begin a load if the budget has room; return whether it has."""
        if not self.shares.leases.is_confirmed(now=now):
            return False
        return self.shares.local_share.acquire_slot(now=now)

    def release(self, *, now: float) -> None:
        """End a load that `try_acquire` began."""
        local_share = self.shares.local_share
        local_share.used_slots = max(0, local_share.used_slots - 1)

    def set_waiting_loads(self, count: int, *, now: float) -> list[Action]:
        """Say how many loads wait; the budget is asked for on their behalf.

        Parameters
        ----------
        count : int
            Loads that wait, not counting those in flight.
        now : float
            Seconds.

        Returns
        -------
        list of Action
        """
        if count <= 0:
            self.wanted_since = None
            self.shares.local_share.need = Need()
            self.shares.local_share.mark_answered()
            return []
        if self.wanted_since is None:
            self.wanted_since = now
        self.shares.local_share.need = Need(
            count * MICROTOKENS, count, self.wanted_since
        )
        members = sum(1 for _ in self.shares.leases.iter_members())
        return self.shares.report(members, now=now)
