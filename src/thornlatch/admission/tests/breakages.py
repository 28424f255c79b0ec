"""Mutations of the slice, each of which the history checks must detect."""

from collections.abc import Callable

import pytest

from thornlatch.admission import (
    _admission,
    _allocator,
    _bucket,
    _key_shares,
    _local_share,
    _transfers,
)
from thornlatch.admission.tests import fleet


def grant_without_taking(patch: pytest.MonkeyPatch) -> None:
    """A grant does not reduce the pool."""
    grant = _allocator.ShareAllocator.grant

    def grant_and_keep(self, grant_plan, *, now):
        share, level = self.pool.share, self.pool.bucket.level
        actions = grant(self, grant_plan, now=now)
        self.pool.set_share(share, now=now)
        self.pool.bucket.level = level
        return actions

    patch.setattr(_allocator.ShareAllocator, "grant", grant_and_keep)


def add_before_return(patch: pytest.MonkeyPatch) -> None:
    """A recalled share enters the pool before its holder has given it up."""
    recall = _allocator.ShareAllocator.recall
    accept = _allocator.ShareAllocator.accept_move

    def recall_and_add(self, plan, *, now):
        self.pool.add(plan.share, plan.level, now=now)
        return recall(self, plan, now=now)

    def accept_without_adding(self, move, *, sender, now):
        share = self.pool.share
        self.pool.add = lambda share, level, *, now: None
        actions = accept(self, move, sender=sender, now=now)
        del self.pool.add
        self.pool.set_share(share if not actions else self.pool.share, now=now)
        return actions

    patch.setattr(_allocator.ShareAllocator, "recall", recall_and_add)
    patch.setattr(_allocator.ShareAllocator, "accept_move", accept_without_adding)


def grant_before_all_answered(patch: pytest.MonkeyPatch) -> None:
    """A new owner treats the share of a host that has not answered as free."""
    patch.setattr(_allocator.ShareAllocator, "has_all_inventories", lambda self: True)


def ignore_expelled_holders(patch: pytest.MonkeyPatch) -> None:
    """An expelled host stops counting as a holder before it knows of its expulsion."""

    def iter_members_only(self, *, now):
        yield from self.members

    patch.setattr(fleet.FakeLeases, "iter_possible_holders", iter_members_only)


def request_from_departed_holders(patch: pytest.MonkeyPatch) -> None:
    """A host whose share was found free may join the round again."""

    def request_inventory(self, host, *, now):
        self.requested_at[host] = now
        return [_allocator.Send(host, self.make_inventory_request())]

    patch.setattr(_allocator.ShareAllocator, "request_inventory", request_inventory)


def spend_while_unconfirmed(patch: pytest.MonkeyPatch) -> None:
    """A host spends tokens although it may have been expelled."""
    patch.setattr(_admission.Admission, "may_spend", lambda self, *, now: True)


def respond_while_unconfirmed(patch: pytest.MonkeyPatch) -> None:
    """A host answers inventories although its share may have been found free."""
    patch.setattr(_key_shares.KeyShares, "is_share_valid", lambda self, *, now: True)


def accept_old_round_id(patch: pytest.MonkeyPatch) -> None:
    """Moves of an earlier epoch or round are accepted."""
    patch.setattr(_local_share.LocalShare, "is_current", lambda self, message: True)
    patch.setattr(_allocator.ShareAllocator, "is_current", lambda self, message: True)


def accept_old_number(patch: pytest.MonkeyPatch) -> None:
    """A duplicated move is accepted again."""
    patch.setattr(_transfers.Inbox, "is_new", lambda self, move, sender: True)


def refund_beyond_depth(patch: pytest.MonkeyPatch) -> None:
    """A refund also returns what would have overflowed since the tokens were spent."""

    def refund_all(self, amount, serial, *, now):
        self.refresh(now=now)
        self.level += amount
        return amount

    patch.setattr(_bucket.TokenBucket, "refund", refund_all)


BREAKAGES: dict[str, Callable[[pytest.MonkeyPatch], None]] = {
    call.__name__: call
    for call in (
        grant_without_taking,
        add_before_return,
        grant_before_all_answered,
        ignore_expelled_holders,
        request_from_departed_holders,
        spend_while_unconfirmed,
        respond_while_unconfirmed,
        accept_old_round_id,
        accept_old_number,
        refund_beyond_depth,
    )
}
