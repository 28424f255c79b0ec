"""Both sides of lending one key at one host."""

from functools import singledispatchmethod
from typing import Any

from thornlatch.admission._borrower import ShareBorrower
from thornlatch.admission._lender import ShareLender
from thornlatch.admission._messages import (
    DemandAnswer,
    DemandReport,
    PeerRequest,
    ShareInventory,
    ShareInventoryRequest,
    ShareMove,
    ShareMoveAccepted,
    ShareRecall,
)
from thornlatch.admission._parts import Allowance
from thornlatch.admission._settings import AdmissionSettings
from thornlatch.core import Action, LeaseReader


class KeyShares:
    """Holds this host's part of a key and, while it owns the key, lends the rest.

    Parameters
    ----------
    key : str
        Lease key.
    settings : AdmissionSettings
    host : str
        This host's id.
    leases : LeaseReader
    now : float
        Seconds.
    """

    def __init__(
        self,
        key: str,
        settings: AdmissionSettings,
        host: str,
        leases: LeaseReader,
        *,
        now: float,
    ) -> None:
        self.key = key
        self.settings = settings
        self.host = host
        self.leases = leases
        self.borrower = ShareBorrower(key, host, settings, Allowance(), now=now)
        self.lender: ShareLender | None = None
        self.is_configured = False

    @property
    def is_busy(self) -> bool:
        """Whether a need, a move or a round of inventories is open."""
        borrower, lender = self.borrower, self.lender
        if borrower.need.is_waiting or borrower.outbox.pending or borrower.is_closed:
            return True
        if lender is None or lender.is_retired:
            return False
        is_open = not lender.is_complete or lender.is_division_due
        return is_open or bool(lender.outbox.pending)

    @property
    def allowance(self) -> Allowance:
        """That of the whole fleet, by this host's configuration."""
        return self.borrower.allowance

    def set_allowance(self, allowance: Allowance, *, now: float) -> None:
        """Apply a changed allowance to the part and to the pool."""
        self.is_configured = allowance.rate > 0
        self.borrower.holding.set_allowance(allowance, now=now)
        if self.lender is not None:
            self.lender.set_allowance(allowance, now=now)

    def get_lender(self, *, now: float) -> ShareLender | None:
        """Return the lender if this host may lend now; begin a new one if due."""
        epoch = self.leases.get_held_epoch(self.key, now=now)
        if epoch is None or not self.is_configured:
            return None
        if self.lender is None or self.lender.stamp.epoch < epoch:
            self.lender = ShareLender(
                self.key, epoch, self.settings, self.allowance, now=now
            )
        is_current = self.lender.stamp.epoch == epoch and not self.lender.is_retired
        return self.lender if is_current else None

    def tick(self, holders: list[str], peers: list[str], *, now: float) -> list[Action]:
        """Act on the passage of time.

        Parameters
        ----------
        holders : list of str
            Possible holders.
        peers : list of str
            Members but for this host.
        now : float
            Seconds.

        Returns
        -------
        list of Action
        """
        lender = self.get_lender(now=now)
        actions = lender.run(holders, now=now) if lender is not None else []
        actions += self.borrower.outbox.resend(now=now)
        actions += self.report(len(peers) + 1, now=now)
        actions += self.borrower.return_owed_slots(now=now)
        actions += self.borrower.return_all_if_closed(now=now)
        if self.may_take_part(now=now):
            actions += self.borrower.ask_peers(peers, now=now)
        return actions

    def may_take_part(self, *, now: float) -> bool:
        """Return whether this host's part still counts.

        Without confirmation this host may have been expelled, and its part found free,
        before the sender joined. To answer or to move it would count it twice.
        """
        return self.leases.is_confirmed(now=now)

    def report(self, members: int, *, now: float) -> list[Action]:
        """Report demand to the key's owner if it is due."""
        owner = self.leases.get_owner(self.key)
        if owner is None:
            return []
        return self.borrower.report(owner.host, members, now=now)

    def handle(self, message: Any, *, sender: str, now: float) -> list[Action]:
        """Handle a message on this key."""
        return self.dispatch(message, sender, now)

    @singledispatchmethod
    def dispatch(self, message: Any, sender: str, now: float) -> list[Action]:
        """Handle a message by its class; unknown classes are ignored."""
        return []

    @dispatch.register
    def _(
        self, message: ShareInventoryRequest, sender: str, now: float
    ) -> list[Action]:
        if not self.may_take_part(now=now):
            return []
        pool_level = 0
        if self.lender is not None and message.epoch > self.lender.stamp.epoch:
            pool_level = self.lender.retire(now=now)
        return self.borrower.adopt(
            message, pool_level=pool_level, sender=sender, now=now
        )

    @dispatch.register
    def _(self, message: ShareInventory, sender: str, now: float) -> list[Action]:
        lender = self.get_lender(now=now)
        if lender is None:
            return []
        return lender.handle_inventory(message, sender=sender, now=now)

    @dispatch.register
    def _(self, message: DemandReport, sender: str, now: float) -> list[Action]:
        lender = self.get_lender(now=now)
        if lender is None:
            return []
        return lender.handle_report(message, sender=sender, now=now)

    @dispatch.register
    def _(self, message: ShareMove, sender: str, now: float) -> list[Action]:
        if message.lane != "return":
            if not self.may_take_part(now=now):
                return []
            return self.borrower.accept_move(message, sender=sender, now=now)
        lender = self.get_lender(now=now)
        if lender is None:
            return []
        return lender.accept_move(message, sender=sender, now=now)

    @dispatch.register
    def _(self, message: ShareMoveAccepted, sender: str, now: float) -> list[Action]:
        if message.lane != "grant":
            return self.borrower.handle_accepted(message, sender=sender, now=now)
        lender = self.get_lender(now=now)
        if lender is None:
            return []
        return lender.handle_accepted(message, sender=sender, now=now)

    @dispatch.register
    def _(self, message: ShareRecall, sender: str, now: float) -> list[Action]:
        if not self.may_take_part(now=now):
            return []
        return self.borrower.handle_recall(message, sender=sender, now=now)

    @dispatch.register
    def _(self, message: DemandAnswer, sender: str, now: float) -> list[Action]:
        self.borrower.handle_answer(message, now=now)
        return []

    @dispatch.register
    def _(self, message: PeerRequest, sender: str, now: float) -> list[Action]:
        if not self.may_take_part(now=now):
            return []
        return self.borrower.handle_peer_request(message, sender=sender, now=now)
