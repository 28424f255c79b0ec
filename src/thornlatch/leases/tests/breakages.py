"""Seeded breakages of the protocol; the history check must catch each."""

from thornlatch.core import Owner
from thornlatch.leases import LeaseTable
from thornlatch.leases.tests.fleet import Classes
from thornlatch.membership import Membership, SessionOpened, ViewFold, Wait
from thornlatch.membership._confirmation import Confirmation, Support


class WaitingForNobody(Membership):
    def iter_waiting(self, *, now):
        return iter(())

    def iter_possible_holders(self, *, now):
        return iter(tuple(self.view.members))


class CountingNewerViews(Membership):
    def __init__(self, settings, **options):
        super().__init__(settings, **options)
        self.confirmation = NewerViewConfirmation(settings, self.host)


class NewerViewConfirmation(Confirmation):
    def _is_view_covered(self, support, view):
        return True


class VotingJoinerView(ViewFold):
    def _apply(self, record, offset):
        super()._apply(record, offset)
        if isinstance(record, SessionOpened) and record.host in self.members:
            self._add_voter(self.members[record.host], offset)


class GhostlessView(ViewFold):
    """Takes slowly expelled voters out of the count at once."""

    def _depart(self, host, offset, wait):
        super()._depart(host, offset, wait)
        if host in self.ghosts:
            self.ghosts.discard(host)
            self._remove_voter(host, offset)


class HastyView(ViewFold):
    """Takes every expulsion for one by a majority."""

    def _depart(self, host, offset, wait):
        is_slow = wait is Wait.SLOW
        super()._depart(host, offset, Wait.FAST if is_slow else wait)


class ForgetfulTieView(ViewFold):
    """Lets half the voters expel a host that may not know of all voters."""

    def _has_acknowledged_voters(self, host):
        return self.is_voter(host)


class HalfOfAnyView(ViewFold):
    """Lets half the voters expel a host, rounded down."""

    def has_lost_majority(self, host):
        return 2 * self._count_accusers(host) >= len(self.voters) - 1


def with_view(view_class):
    class WithView(Membership):
        def __init__(self, settings, **options):
            super().__init__(settings, **options)
            self.view = view_class(voter_limit=settings.voter_limit)

    return WithView


class SupportingTheAccused(Membership):
    def _is_supporting(self, sender, now):
        return sender not in self.view.departed


class ReceiptTimeConfirmation(Confirmation):
    def note_answer(self, voter, answer, *, now):
        if answer.is_supporting:
            self.supports[voter] = Support(now, answer.view_offset)
        return True


class ConfirmingByReceipt(Membership):
    def __init__(self, settings, **options):
        super().__init__(settings, **options)
        self.confirmation = ReceiptTimeConfirmation(settings, self.host)


class EpochOfSession(LeaseTable):
    """Gives the offset of the session in place of that of the ownership."""

    def get_held_epoch(self, key, *, now):
        epoch = super().get_held_epoch(key, now=now)
        host = self.membership.host
        return None if epoch is None else self.view.members[host].offset

    def get_owner(self, key):
        owner = super().get_owner(key)
        return owner and Owner(owner.host, self.view.members[owner.host].offset)


class KeepingGivenUpKeys(LeaseTable):
    def _is_relinquished(self, key, entry):
        return False


class KeepingReleasedKeys(LeaseTable):
    """Goes on as an owner until it reads its own record."""

    def get_held_epoch(self, key, *, now):
        duties = self.membership.duties
        released_at, duties.released_at = duties.released_at, None
        epoch = super().get_held_epoch(key, now=now)
        duties.released_at = released_at
        return epoch


BREAKAGES = {
    "no_wait": Classes(membership=WaitingForNobody),
    "epoch_ignored": Classes(table=EpochOfSession),
    "newer_view_counted": Classes(membership=CountingNewerViews),
    "joiner_votes": Classes(membership=with_view(VotingJoinerView)),
    "receipt_time": Classes(
        membership=ConfirmingByReceipt, date_read=lambda sent_at, now: now
    ),
    "ghosts_uncounted": Classes(membership=with_view(GhostlessView)),
    "slow_taken_for_fast": Classes(membership=with_view(HastyView)),
    "tie_unacknowledged": Classes(membership=with_view(ForgetfulTieView)),
    "less_than_half": Classes(membership=with_view(HalfOfAnyView)),
    "accused_supported": Classes(membership=SupportingTheAccused),
    "keys_kept": Classes(table=KeepingGivenUpKeys),
    "released_keys_kept": Classes(table=KeepingReleasedKeys),
}
