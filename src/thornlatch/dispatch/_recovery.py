"""Recovery of the outstanding grants of former owners by a new owner."""

from collections.abc import Iterable

from thornlatch.dispatch._messages import GrantInventory, HeldGrant


class GrantRecovery:
    """Requests the inventory of every host that may hold grants.

    The owner neither grants nor evicts until each host has answered or can no longer
    hold grants.

    Parameters
    ----------
    epoch : int
        Epoch of the new owner.
    resend_s : float
        Time between inventory requests to the same host, seconds.
    """

    def __init__(self, epoch: int, resend_s: float) -> None:
        self.epoch = epoch
        self.resend_s = resend_s
        self.answered_hosts: set[str] = set()
        self.requested_at: dict[str, float] = {}
        self.released_grants: set[str] = set()
        self.seen_epoch = -1
        self.handover_epoch = -1
        self.is_complete = False

    @property
    def is_handed_over(self) -> bool:
        """Whether the last former owner has handed over complete state."""
        return self.handover_epoch >= max(self.seen_epoch, 0)

    def collect_due_hosts(self, holders: Iterable[str], now: float) -> list[str]:
        """Return the hosts to request the inventory from now.

        The recovery is complete when no inventory is missing.

        Parameters
        ----------
        holders : iterable of str
            Hosts that may still use grants of former owners.
        now : float
            Seconds.

        Returns
        -------
        list of str
        """
        missing = [host for host in holders if host not in self.answered_hosts]
        if not missing:
            self.is_complete = True
            self.released_grants.clear()
        due = [host for host in missing if self._is_due(host, now)]
        for host in due:
            self.requested_at[host] = now
        return due

    def accept(self, inventory: GrantInventory, sender: str) -> bool:
        """Record a host's inventory; return False if it is repeated or outdated."""
        if inventory.epoch != self.epoch or sender in self.answered_hosts:
            return False
        self.answered_hosts.add(sender)
        self.seen_epoch = max(self.seen_epoch, inventory.seen_epoch)
        self.handover_epoch = max(self.handover_epoch, inventory.handover_epoch)
        return True

    def list_adoptable_grants(self, inventory: GrantInventory) -> list[HeldGrant]:
        """Return the grants of an inventory that weren't released in the meantime.

        A release may overtake the inventory that still contains its grant.
        """
        return [
            held for held in inventory.grants if held.grant not in self.released_grants
        ]

    def note_released(self, grant: str) -> None:
        """Record that a host released a grant before its inventory arrived."""
        if not self.is_complete:
            self.released_grants.add(grant)

    def _is_due(self, host: str, now: float) -> bool:
        requested_at = self.requested_at.get(host)
        return requested_at is None or now - requested_at >= self.resend_s
