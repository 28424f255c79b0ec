from hypothesis import given
from hypothesis import strategies as st

from thornlatch.admission import TokenBucket

STEPS = st.lists(
    st.tuples(st.integers(0, 3000), st.integers(0, 5000), st.booleans()), max_size=60
)


def make_full_bucket(depth: int = 4000) -> TokenBucket:
    return TokenBucket(1000.0, depth, depth, now=0.0)


@given(STEPS)
def test_bucket_keeps_rate_and_burst_in_every_window(steps):
    bucket = make_full_bucket()
    spends = []
    now_ms = 0
    for wait_ms, amount, _ in steps:
        now_ms += wait_ms
        if bucket.spend(amount, now=now_ms / 1000):
            spends.append((now_ms, amount))
    for first in range(len(spends)):
        total = 0
        for at, amount in spends[first:]:
            total += amount
            assert total <= 4000 + (at - spends[first][0])


@given(STEPS, st.data())
def test_bucket_refund_acts_as_if_less_was_spent(steps, data):
    bucket = make_full_bucket()
    spends, pending = [], []
    now_ms = 0
    for wait_ms, amount, is_settled in steps:
        now_ms += wait_ms
        now = now_ms / 1000
        if bucket.spend(amount, now=now):
            spends.append([now_ms, amount])
            pending.append((len(spends) - 1, bucket.headroom.serial))
        if is_settled and pending:
            index, serial = pending.pop(data.draw(st.integers(0, len(pending) - 1)))
            unused = data.draw(st.integers(0, spends[index][1]))
            spends[index][1] -= bucket.refund(unused, serial, now=now)
        assert 0 <= bucket.level <= bucket.depth
    for first in range(len(spends)):
        total = 0
        for at, amount in spends[first:]:
            total += amount
            assert total <= 4000 + (at - spends[first][0])


def test_bucket_history_stays_bounded():
    bucket = TokenBucket(0.0, 10**9, 10**9, now=0.0)
    for _ in range(5000):
        bucket.spend(1, now=0.0)
    assert len(bucket.headroom.minima) <= 1024
    assert bucket.refund(10**6, 1, now=0.0) <= 5000


def test_bucket_clock_going_backwards_refills_nothing():
    bucket = TokenBucket(1000.0, 4000, 0, now=5.0)
    bucket.refresh(now=4.0)
    assert bucket.level == 0
