"""Tenure of partitions and its fencing tokens."""

import pytest

from thornlatch.residency import Tenure, TenureSettings


def build_tenure(is_fenced=True):
    return Tenure(TenureSettings(lease_s=3.0, ttl_s=2.0, is_fenced=is_fenced))


def test_token_is_the_generation_at_which_a_partition_was_gained():
    tenure = build_tenure()
    tenure.renew(frozenset({1}), 5, asked_at=1.0)
    tenure.renew(frozenset({1, 2}), 8, asked_at=2.0)
    assert tenure.get_token(1, now=2.0) == 5
    assert tenure.get_token(2, now=2.0) == 8


def test_regained_partition_has_a_higher_token():
    tenure = build_tenure()
    tenure.renew(frozenset({1}), 5, asked_at=1.0)
    assert tenure.renew(frozenset(), 6, asked_at=2.0) == (frozenset(), frozenset({1}))
    assert tenure.get_token(1, now=2.0) is None
    tenure.renew(frozenset({1}), 7, asked_at=3.0)
    assert tenure.get_token(1, now=3.0) == 7


def test_fenced_token_is_not_used_again():
    tenure = build_tenure()
    tenure.renew(frozenset({1}), 5, asked_at=1.0)
    tenure.note_fenced(1)
    assert tenure.get_token(1, now=1.0) is None
    tenure.renew(frozenset({1}), 5, asked_at=2.0)
    assert tenure.get_token(1, now=2.0) is None
    # This host missed that another one held the partition in between.
    tenure.renew(frozenset({1}), 9, asked_at=3.0)
    assert tenure.get_token(1, now=3.0) == 9


def test_expired_tenure_ends_if_targets_do_not_fence():
    tenure = build_tenure(is_fenced=False)
    tenure.renew(frozenset({1}), 5, asked_at=1.0)
    assert tenure.get_token(1, now=2.9) == 5
    assert tenure.get_token(1, now=3.1) is None


def test_expired_tenure_continues_if_targets_fence():
    tenure = build_tenure()
    tenure.renew(frozenset({1}), 5, asked_at=1.0)
    assert tenure.get_token(1, now=30.0) == 5


def test_tokens_of_a_later_store_epoch_are_higher_with_any_generation():
    """The group's generation goes back when the store is restored from a copy."""
    tenure = build_tenure()
    tenure.renew(frozenset({1}), 5000, asked_at=1.0, epoch=3)
    former = tenure.get_token(1, now=1.0)
    restarted = build_tenure()
    restarted.renew(frozenset({1}), 2, asked_at=1.0, epoch=4)
    assert restarted.get_token(1, now=1.0) > former
    assert former > 5000


def test_token_of_a_kept_partition_rises_with_the_store_epoch():
    """Another host may have held it in the new epoch before this one renewed."""
    former, other = build_tenure(), build_tenure()
    former.renew(frozenset({1}), 50, asked_at=1.0, epoch=1)
    former.note_restored(now=1.5)
    other.renew(frozenset({1}), 46, asked_at=1.5, epoch=2)
    other.renew(frozenset(), 47, asked_at=2.0, epoch=2)
    former.renew(frozenset({1}), 47, asked_at=2.0, epoch=2)
    first = former.get_token(1, now=2.0)
    assert first == (2 << 32) + 47
    former.renew(frozenset({1}), 48, asked_at=2.5, epoch=2)
    assert former.get_token(1, now=2.5) == first


@pytest.mark.parametrize(
    ("epoch", "generation"), [(2, 46), (1, 900)], ids=["generation", "epoch"]
)
def test_renewal_with_a_lower_number_gives_no_partition(epoch, generation):
    tenure = build_tenure()
    tenure.renew(frozenset({1, 2}), 50, asked_at=1.0, epoch=2)
    gained, lost = tenure.renew(
        frozenset({2, 3}), generation, asked_at=2.0, epoch=epoch
    )
    assert (gained, lost) == (frozenset(), frozenset({1}))
    tenure.renew(frozenset({2, 3}), 51, asked_at=3.0, epoch=2)
    assert tenure.get_token(3, now=3.0) == (2 << 32) + 51


def test_fenced_token_of_an_earlier_epoch_is_replaced():
    tenure = build_tenure()
    tenure.renew(frozenset({1}), 50, asked_at=1.0, epoch=1)
    tenure.note_fenced(1)
    assert tenure.get_token(1, now=1.0) is None
    tenure.note_restored(now=1.5)
    tenure.renew(frozenset({1}), 45, asked_at=8.0, epoch=2)
    assert tenure.get_token(1, now=8.0) == (2 << 32) + 45


def test_partition_gained_after_a_restore_gets_no_orders_for_a_lease():
    """Its holder before the restore may not know yet that it lost it."""
    tenure = build_tenure()
    tenure.renew(frozenset({1}), 50, asked_at=1.0, epoch=1)
    tenure.note_restored(now=2.0)
    tenure.renew(frozenset({1, 2}), 45, asked_at=2.1, epoch=2)
    assert tenure.get_token(1, now=2.1) is not None
    assert tenure.get_token(2, now=6.9) is None
    assert tenure.get_token(2, now=7.1) is not None
    tenure.renew(frozenset({1, 2, 3}), 46, asked_at=7.2, epoch=2)
    assert tenure.get_token(3, now=7.2) is not None


def test_partition_that_returns_to_its_holder_needs_no_wait():
    """The first host that joins a group without members gets all partitions."""
    tenure = build_tenure()
    tenure.renew(frozenset({1}), 50, asked_at=1.0, epoch=1)
    tenure.note_restored(now=2.0)
    tenure.renew(frozenset(), 46, asked_at=2.1, epoch=2)
    tenure.note_restored(now=2.5)
    tenure.renew(frozenset({1}), 46, asked_at=2.6, epoch=3)
    assert tenure.get_token(1, now=2.6) == (3 << 32) + 46


def test_partition_gained_between_two_restores_waits_from_the_second():
    tenure = build_tenure()
    tenure.note_restored(now=2.0)
    tenure.renew(frozenset({2}), 45, asked_at=2.1, epoch=2)
    tenure.note_restored(now=4.0)
    tenure.renew(frozenset({2}), 44, asked_at=4.1, epoch=3)
    assert tenure.get_token(2, now=8.9) is None
    assert tenure.get_token(2, now=9.1) is not None


def test_expired_tenure_is_no_claim_on_a_partition_if_targets_do_not_fence():
    """Another host may have taken over after the time of the copy."""
    tenure = build_tenure(is_fenced=False)
    tenure.renew(frozenset({1}), 50, asked_at=1.0, epoch=1)
    tenure.note_restored(now=30.0)
    tenure.renew(frozenset({1}), 45, asked_at=30.1, epoch=2)
    assert tenure.get_token(1, now=30.2) is None
    tenure.renew(frozenset({1}), 45, asked_at=34.9, epoch=2)
    assert tenure.get_token(1, now=35.1) is not None
