"""The budget of received bytes over all messages."""

import pytest

from thornlatch.core import MemoryBudget, MemoryExceeded, MemoryUse

LIMIT_BYTES = 1 << 20


def fill(budget, *, step_bytes=1000):
    """Let a message grow until it may not; return it."""
    use = MemoryUse(budget, uncounted_bytes=0)
    with pytest.raises(MemoryExceeded, match="others hold"):
        while True:
            use.add(step_bytes)
    return use


def test_many_endless_messages_take_no_more_than_the_limit():
    budget = MemoryBudget(LIMIT_BYTES)
    uses = [fill(budget) for _ in range(50)]
    assert sum(use.held_bytes for use in uses) == budget.used_bytes
    assert budget.used_bytes <= LIMIT_BYTES


def test_single_message_takes_half_and_leaves_the_rest_to_others():
    budget = MemoryBudget(LIMIT_BYTES)
    assert fill(budget).held_bytes == pytest.approx(LIMIT_BYTES / 2, abs=1000)
    first = fill(budget)
    sound = MemoryUse(budget)
    sound.add(LIMIT_BYTES // 8)
    with pytest.raises(MemoryExceeded):
        first.add(1000)


def test_short_messages_pass_whatever_others_take():
    budget = MemoryBudget(LIMIT_BYTES)
    large = [fill(budget) for _ in range(30)]
    short = [MemoryUse(budget, uncounted_bytes=1000) for _ in range(100)]
    for use in short:
        use.add(1000)
    assert budget.used_bytes == sum(use.held_bytes for use in large)


@pytest.mark.parametrize("how", ["release", "shrink", "drop"])
def test_memory_is_free_again(how):
    budget = MemoryBudget(LIMIT_BYTES)
    use = fill(budget)
    if how == "release":
        use.release()
    elif how == "shrink":
        use.set_held(0)
    else:
        del use
    assert budget.used_bytes == 0


def test_message_that_may_not_grow_keeps_what_it_holds():
    budget = MemoryBudget(LIMIT_BYTES)
    use = fill(budget)
    held_bytes = use.held_bytes
    with pytest.raises(MemoryExceeded):
        use.add(LIMIT_BYTES)
    assert use.held_bytes == budget.used_bytes == held_bytes
