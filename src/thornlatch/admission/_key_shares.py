"""Local share and allocation of one key at one host."""

from functools import singledispatchmethod
from typing import Any

from thornlatch.admission._allocator import ShareAllocator
from thornlatch.admission._local_share import LocalShare
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
from thornlatch.admission._settings import AdmissionSettings
from thornlatch.admission._shares import Allowance
from thornlatch.core import Action, LeaseReader


class KeyShares:
    """Holds this host's share of a key and allocates the key while this host owns it.

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
        self.local_share = LocalShare(key, host, settings, Allowance(), now=now)
        self.allocator: ShareAllocator | None = None
        self.is_configured = False

    @property
    def is_busy(self) -> bool:
        """Whether a need, a move, a division or an inventory round is open."""
        local_share, allocator = self.local_share, self.allocator
        if (
            local_share.need.is_waiting
            or local_share.outbox.pending
            or local_share.is_closed
        ):
            return True
        if allocator is None or allocator.is_retired:
            return False
        is_open = not allocator.is_complete or allocator.is_division_due
        return is_open or bool(allocator.outbox.pending)

    @property
    def allowance(self) -> Allowance:
        """Allowance of the whole fleet, by this host's configuration."""
        return self.local_share.allowance

    def set_allowance(self, allowance: Allowance, *, now: float) -> None:
        """Apply a changed allowance to the local share and to the pool."""
        self.is_configured = allowance.rate > 0
        self.local_share.holding.set_allowance(allowance, now=now)
        if self.allocator is not None:
            self.allocator.set_allowance(allowance, now=now)

    def get_allocator(self, *, now: float) -> ShareAllocator | None:
        """Return the allocator if this host owns the key now; create it if needed."""
        epoch = self.leases.get_held_epoch(self.key, now=now)
        if epoch is None or not self.is_configured:
            return None
        if self.allocator is None or self.allocator.round_id.epoch < epoch:
            self.allocator = ShareAllocator(
                self.key, epoch, self.settings, self.allowance, now=now
            )
        is_current = (
            self.allocator.round_id.epoch == epoch and not self.allocator.is_retired
        )
        return self.allocator if is_current else None

    def tick(self, holders: list[str], peers: list[str], *, now: float) -> list[Action]:
        """Send the inventory requests, moves, reports and peer requests that are due.

        Parameters
        ----------
        holders : list of str
            Possible holders.
        peers : list of str
            Members other than this host.
        now : float
            Seconds.

        Returns
        -------
        list of Action
        """
        allocator = self.get_allocator(now=now)
        actions = allocator.run(holders, now=now) if allocator is not None else []
        actions += self.local_share.outbox.resend(now=now)
        actions += self.report(len(peers) + 1, now=now)
        actions += self.local_share.return_owed_slots(now=now)
        actions += self.local_share.return_all_if_closed(now=now)
        if self.is_share_valid(now=now):
            actions += self.local_share.request_from_peers(peers, now=now)
        return actions

    def is_share_valid(self, *, now: float) -> bool:
        """Return whether this host's share is still valid.

        An unconfirmed host may have been expelled and its share found free. A sender
        that joined afterwards may still count it as a holder; answering for the share
        or moving it would then count the share twice.
        """
        return self.leases.is_confirmed(now=now)

    def report(self, members: int, *, now: float) -> list[Action]:
        """Report demand to the key's owner if it is due."""
        owner = self.leases.get_owner(self.key)
        if owner is None:
            return []
        return self.local_share.report(owner.host, members, now=now)

    def handle(self, message: Any, *, sender: str, now: float) -> list[Action]:
        """Handle a message on this key."""
        return self.dispatch(message, sender, now)

    @singledispatchmethod
    def dispatch(self, message: Any, sender: str, now: float) -> list[Action]:
        """Handle a message by its class; messages of unknown classes are ignored."""
        return []

    @dispatch.register
    def _(
        self, message: ShareInventoryRequest, sender: str, now: float
    ) -> list[Action]:
        if not self.is_share_valid(now=now):
            return []
        pool_level = 0
        if self.allocator is not None and message.epoch > self.allocator.round_id.epoch:
            pool_level = self.allocator.retire(now=now)
        return self.local_share.join_round(
            message, pool_level=pool_level, sender=sender, now=now
        )

    @dispatch.register
    def _(self, message: ShareInventory, sender: str, now: float) -> list[Action]:
        allocator = self.get_allocator(now=now)
        if allocator is None:
            return []
        return allocator.handle_inventory(message, sender=sender, now=now)

    @dispatch.register
    def _(self, message: DemandReport, sender: str, now: float) -> list[Action]:
        allocator = self.get_allocator(now=now)
        if allocator is None:
            return []
        return allocator.handle_report(message, sender=sender, now=now)

    @dispatch.register
    def _(self, message: ShareMove, sender: str, now: float) -> list[Action]:
        if message.lane != "return":
            if not self.is_share_valid(now=now):
                return []
            return self.local_share.accept_move(message, sender=sender, now=now)
        allocator = self.get_allocator(now=now)
        if allocator is None:
            return []
        return allocator.accept_move(message, sender=sender, now=now)

    @dispatch.register
    def _(self, message: ShareMoveAccepted, sender: str, now: float) -> list[Action]:
        if message.lane != "grant":
            return self.local_share.handle_accepted(message, sender=sender, now=now)
        allocator = self.get_allocator(now=now)
        if allocator is None:
            return []
        return allocator.handle_accepted(message, sender=sender, now=now)

    @dispatch.register
    def _(self, message: ShareRecall, sender: str, now: float) -> list[Action]:
        if not self.is_share_valid(now=now):
            return []
        return self.local_share.handle_recall(message, sender=sender, now=now)

    @dispatch.register
    def _(self, message: DemandAnswer, sender: str, now: float) -> list[Action]:
        self.local_share.handle_answer(message, now=now)
        return []

    @dispatch.register
    def _(self, message: PeerRequest, sender: str, now: float) -> list[Action]:
        if not self.is_share_valid(now=now):
            return []
        return self.local_share.handle_peer_request(message, sender=sender, now=now)
