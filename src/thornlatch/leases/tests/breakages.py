"""Deliberately broken variants of the protocol; the history check detects each."""

from thornlatch.core import Owner
from thornlatch.leases import LeaseTable
from thornlatch.leases.tests.fleet import Classes
from thornlatch.membership import Membership, MembershipView, SessionOpened, Wait
from thornlatch.membership._confirmation import Confirmation, Support


class NoTakeoverWaitMembership(Membership):
    def iter_waiting(self, *, now):
        return iter(())

    def iter_possible_holders(self, *, now):
        return iter(tuple(self.view.members))


class NewerViewMembership(Membership):
    def __init__(self, settings, **options):
        super().__init__(settings, **options)
        self.confirmation = NewerViewConfirmation(settings, self.host)


class NewerViewConfirmation(Confirmation):
    def _is_view_covered(self, support, view):
        return True


class VotingJoinerView(MembershipView):
    def _apply(self, record, offset):
        super()._apply(record, offset)
        if isinstance(record, SessionOpened) and record.host in self.members:
            self._add_voter(self.members[record.host], offset)


class UncountedExpelledVoterView(MembershipView):
    """Removes slowly expelled voters from the size of a majority at once."""

    def _depart(self, host, offset, wait):
        super()._depart(host, offset, wait)
        if host in self.expelled_voters:
            self.expelled_voters.discard(host)
            self._remove_voter(host, offset)


class FastExpulsionView(MembershipView):
    """Treats every expulsion as one by a majority."""

    def _depart(self, host, offset, wait):
        is_slow = wait is Wait.SLOW
        super()._depart(host, offset, Wait.FAST if is_slow else wait)


class UnacknowledgedTieView(MembershipView):
    """Lets half of the voters expel a host that may not know all voters."""

    def _has_acknowledged_voters(self, host):
        return self.is_voter(host)


class LessThanHalfView(MembershipView):
    """Lets half of the voters, rounded down, expel a host."""

    def has_lost_majority(self, host):
        return 2 * self._count_accusers(host) >= len(self.voters) - 1


def build_membership_class(view_class):
    class WithView(Membership):
        def __init__(self, settings, **options):
            super().__init__(settings, **options)
            self.view = view_class(voter_limit=settings.voter_limit)

    return WithView


class AccusedSupportingMembership(Membership):
    def _is_supporting(self, sender, now):
        return sender not in self.view.departed


class ReceiptTimeConfirmation(Confirmation):
    def note_answer(self, voter, answer, *, now):
        if answer.is_supporting:
            self.supports[voter] = Support(now, answer.view_offset)
        return True


class ReceiptTimeMembership(Membership):
    def __init__(self, settings, **options):
        super().__init__(settings, **options)
        self.confirmation = ReceiptTimeConfirmation(settings, self.host)


class SessionEpochTable(LeaseTable):
    """Uses the offset of the session as epoch instead of that of the ownership."""

    def get_held_epoch(self, key, *, now):
        epoch = super().get_held_epoch(key, now=now)
        host = self.membership.host
        return None if epoch is None else self.view.members[host].offset

    def get_owner(self, key):
        owner = super().get_owner(key)
        return owner and Owner(owner.host, self.view.members[owner.host].offset)


class KeptRelinquishedKeysTable(LeaseTable):
    def _is_relinquished(self, key, cached):
        return False


class KeptReleasedKeysTable(LeaseTable):
    """Acts as owner until this host reads its own record."""

    def get_held_epoch(self, key, *, now):
        control_writer = self.membership.control_writer
        released_at, control_writer.released_at = control_writer.released_at, None
        epoch = super().get_held_epoch(key, now=now)
        control_writer.released_at = released_at
        return epoch


BREAKAGES = {
    "no_wait": Classes(membership=NoTakeoverWaitMembership),
    "session_epoch": Classes(table=SessionEpochTable),
    "newer_view_counted": Classes(membership=NewerViewMembership),
    "joiner_votes": Classes(membership=build_membership_class(VotingJoinerView)),
    "receipt_time": Classes(
        membership=ReceiptTimeMembership, get_read_time=lambda sent_at, now: now
    ),
    "expelled_voters_uncounted": Classes(
        membership=build_membership_class(UncountedExpelledVoterView)
    ),
    "slow_taken_for_fast": Classes(
        membership=build_membership_class(FastExpulsionView)
    ),
    "tie_unacknowledged": Classes(
        membership=build_membership_class(UnacknowledgedTieView)
    ),
    "less_than_half": Classes(membership=build_membership_class(LessThanHalfView)),
    "accused_supported": Classes(membership=AccusedSupportingMembership),
    "relinquished_keys_kept": Classes(table=KeptRelinquishedKeysTable),
    "released_keys_kept": Classes(table=KeptReleasedKeysTable),
}
