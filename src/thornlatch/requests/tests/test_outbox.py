import pytest

from thornlatch.requests._outbox import Outbox


def make_outbox(**changes):
    settings = {
        "batch_s": 0.1,
        "retry_s": 1.0,
        "retry_limit_s": 4.0,
        "batch_items": 3,
        "batch_bytes": 100,
    }
    return Outbox(**settings | changes)


def put_all(outbox, count, size=0):
    for index in range(count):
        outbox.put(f"k{index}", index, now=0.0, size=size)


@pytest.mark.parametrize(
    ("count", "size", "batches"),
    [
        (3, 0, [[0, 1, 2]]),
        (5, 0, [[0, 1, 2], [3, 4]]),
        (3, 60, [[0], [1], [2]]),
        (2, 900, [[0], [1]]),
    ],
    ids=["one", "items", "bytes", "large-items"],
)
def test_take_bounded(count, size, batches):
    outbox = make_outbox()
    put_all(outbox, count, size)
    assert outbox.take(now=0.05) == []
    taken = [outbox.take(now=0.1) for _ in batches]
    assert taken == batches
    assert outbox.take(now=0.1) == []


def test_take_again_until_removed():
    outbox = make_outbox()
    put_all(outbox, 2)
    times = [step / 10 for step in range(200)]
    taken = [now for now in times if outbox.take(now=now)]
    assert taken == pytest.approx([0.1, 1.1, 3.1, 7.1, 11.1, 15.1, 19.1])
    assert outbox.remove("k0")
    assert outbox.take(now=100.0) == [1]
    assert outbox.remove("k1")
    assert not outbox.remove("k1")
    assert outbox.take(now=200.0) == []


def test_remove_returns_whether_item_may_be_on_log():
    outbox = make_outbox()
    put_all(outbox, 1, size=7)
    assert outbox.size == 7
    assert not outbox.remove("k0"), "never handed out"
    assert outbox.size == 0


def test_take_keeps_interval():
    outbox = make_outbox()
    put_all(outbox, 6)
    assert outbox.take(now=0.1, interval_s=1.0) == [0, 1, 2]
    assert outbox.take(now=1.0, interval_s=1.0) == []
    assert outbox.take(now=1.1, interval_s=1.0)


def test_put_replaces():
    outbox = make_outbox()
    outbox.put("k", "old", now=0.0, size=5)
    outbox.put("k", "new", now=0.0, size=6)
    assert outbox.size == 6
    assert outbox.take(now=1.0) == ["new"]
