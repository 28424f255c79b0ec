"""Tenure of partitions and its fencing tokens."""

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
