"""What a new owner must learn before it acts: grants given before its time."""

from collections.abc import Iterable

from thornlatch.dispatch._messages import GrantInventory, HeldGrant


class GrantRecovery:
    """Asks every possible holder for its grants.

    Until all have answered, or may hold nothing any more, the owner neither evicts nor
    grants.

    Parameters
    ----------
    epoch : int
    resend_s : float
        Seconds between questions to one host.
    """

    def __init__(self, epoch: int, resend_s: float) -> None:
        self.epoch = epoch
        self.resend_s = resend_s
        self.answered: set[str] = set()
        self.asked_at: dict[str, float] = {}
        self.released: set[str] = set()
        self.seen_epoch = -1
        self.handover_epoch = -1
        self.is_complete = False

    @property
    def is_handed_over(self) -> bool:
        """Whether the latest earlier owner has told all that it knew."""
        return self.handover_epoch >= max(self.seen_epoch, 0)

    def find_due(self, holders: Iterable[str], now: float) -> list[str]:
        """Return the hosts to ask now; note completion when none is missing.

        Parameters
        ----------
        holders : iterable of str
            Hosts that may still use rights granted earlier.
        now : float

        Returns
        -------
        list of str
        """
        missing = [host for host in holders if host not in self.answered]
        if not missing:
            self.is_complete = True
            self.released.clear()
        due = [host for host in missing if self._is_due(host, now)]
        for host in due:
            self.asked_at[host] = now
        return due

    def is_first(self, inventory: GrantInventory, sender: str) -> bool:
        """Return whether an answer is a host's first to this owner; note it."""
        if inventory.epoch != self.epoch or sender in self.answered:
            return False
        self.answered.add(sender)
        self.seen_epoch = max(self.seen_epoch, inventory.seen_epoch)
        self.handover_epoch = max(self.handover_epoch, inventory.handover_epoch)
        return True

    def find_grants(self, inventory: GrantInventory) -> list[HeldGrant]:
        """Return the grants to adopt from an answer.

        A release may overtake the answer that still names its grant.
        """
        return [held for held in inventory.grants if held.grant not in self.released]

    def note_released(self, grant: str) -> None:
        """Note that a host gave a grant back before its answer came."""
        if not self.is_complete:
            self.released.add(grant)

    def _is_due(self, host: str, now: float) -> bool:
        asked_at = self.asked_at.get(host)
        return asked_at is None or now - asked_at >= self.resend_s
