"""Seeded breakages: each breaks one rule that the history check must guard."""

from collections.abc import Callable

import pytest

from thornlatch.admission import (
    _admission,
    _borrower,
    _bucket,
    _key_shares,
    _lender,
    _transfers,
)
from thornlatch.admission.tests import fleet


def lend_twice(patch: pytest.MonkeyPatch) -> None:
    """Grants leave the pool as full as it was."""
    grant = _lender.ShareLender.grant

    def grant_and_keep(self, grant_plan, *, now):
        part, level = self.pool.part, self.pool.bucket.level
        actions = grant(self, grant_plan, now=now)
        self.pool.set_part(part, now=now)
        self.pool.bucket.level = level
        return actions

    patch.setattr(_lender.ShareLender, "grant", grant_and_keep)


def raise_before_lower(patch: pytest.MonkeyPatch) -> None:
    """A recalled part counts as returned before its holder has lowered its own."""
    recall = _lender.ShareLender.recall
    accept = _lender.ShareLender.accept_move

    def recall_and_add(self, plan, *, now):
        self.pool.add(plan.part, plan.level, now=now)
        return recall(self, plan, now=now)

    def accept_without_adding(self, move, *, sender, now):
        part = self.pool.part
        self.pool.add = lambda part, level, *, now: None
        actions = accept(self, move, sender=sender, now=now)
        del self.pool.add
        self.pool.set_part(part if not actions else self.pool.part, now=now)
        return actions

    patch.setattr(_lender.ShareLender, "recall", recall_and_add)
    patch.setattr(_lender.ShareLender, "accept_move", accept_without_adding)


def lend_before_all_answered(patch: pytest.MonkeyPatch) -> None:
    """A new owner takes a silent host's part for free."""
    patch.setattr(_lender.ShareLender, "is_round_answered", lambda self: True)


def forget_expelled_holders(patch: pytest.MonkeyPatch) -> None:
    """An expelled host counts as gone although it may not know it yet."""

    def iter_members_only(self, *, now):
        yield from self.members

    patch.setattr(fleet.FakeLeases, "iter_possible_holders", iter_members_only)


def invite_gone_holders(patch: pytest.MonkeyPatch) -> None:
    """A host whose part was found free may take part in the round again."""

    def invite(self, host, *, now):
        self.asked[host] = now
        return [_lender.Send(host, self.make_request())]

    patch.setattr(_lender.ShareLender, "invite", invite)


def spend_while_unconfirmed(patch: pytest.MonkeyPatch) -> None:
    """A host spends although it may have been expelled."""
    patch.setattr(_admission.Admission, "may_spend", lambda self, *, now: True)


def take_part_while_unconfirmed(patch: pytest.MonkeyPatch) -> None:
    """A host answers inventories although its part may have been found free."""
    patch.setattr(_key_shares.KeyShares, "may_take_part", lambda self, *, now: True)


def accept_old_stamp(patch: pytest.MonkeyPatch) -> None:
    """Moves of an earlier epoch or round are added."""
    patch.setattr(_borrower.ShareBorrower, "is_current", lambda self, message: True)
    patch.setattr(_lender.ShareLender, "is_current", lambda self, message: True)


def accept_old_number(patch: pytest.MonkeyPatch) -> None:
    """A repeated move is added again."""
    patch.setattr(_transfers.Inbox, "is_new", lambda self, move, sender: True)


def refund_beyond_depth(patch: pytest.MonkeyPatch) -> None:
    """A refund ignores what would have overflowed since the spending."""

    def refund_all(self, amount, serial, *, now):
        self.refresh(now=now)
        self.level += amount
        return amount

    patch.setattr(_bucket.TokenBucket, "refund", refund_all)


BREAKAGES: dict[str, Callable[[pytest.MonkeyPatch], None]] = {
    call.__name__: call
    for call in (
        lend_twice,
        raise_before_lower,
        lend_before_all_answered,
        forget_expelled_holders,
        invite_gone_holders,
        spend_while_unconfirmed,
        take_part_while_unconfirmed,
        accept_old_stamp,
        accept_old_number,
        refund_beyond_depth,
    )
}
