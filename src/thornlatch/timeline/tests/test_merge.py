import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thornlatch.timeline import LoggedEvent, merge_events


def make_logs(seed, hosts=4, messages=60, loss=0.2, skew=20.0):
    """Return the logs of hosts with different clocks that exchange messages."""
    rng = random.Random(seed)
    names = [f"h{index}" for index in range(hosts)]
    clocks = {name: rng.uniform(-skew, skew) for name in names}
    logs = {name: [] for name in names}

    def write(name, event, cause, now):
        log = logs[name]
        log.append(LoggedEvent(event, name, len(log), now + clocks[name], cause=cause))

    arrivals = []
    for index in range(messages):
        now = 1000.0 + index
        sender, recipient = rng.sample(names, 2)
        cause = f"{sender}:{index}"
        write(sender, "peer.message_sent", cause, now)
        if rng.random() >= loss:
            arrivals.append((now + rng.choice([0.1, 0.5, 3.0]), recipient, cause))
        for one in [one for one in arrivals if one[0] <= now + 0.9]:
            arrivals.remove(one)
            write(one[1], "peer.message_received", one[2], one[0])
    return [logs[name] for name in names]


def find_broken_order(merged):
    sent, last, broken = set(), {}, []
    for event in merged:
        if event.event == "peer.message_sent":
            sent.add(event.cause)
        elif event.event == "peer.message_received" and event.cause not in sent:
            broken.append(event)
        if event.sequence < last.get(event.host, 0):
            broken.append(event)
        last[event.host] = event.sequence
    return broken


@given(st.integers(0, 10**6))
def test_merge_causes_first(seed):
    logs = make_logs(seed)
    merged = list(merge_events(logs))
    assert find_broken_order(merged) == []
    assert len(merged) == sum(len(log) for log in logs)


def test_merge_by_wall_alone_is_caught():
    everything = [event for log in make_logs(1) for event in log]
    by_wall = sorted(everything, key=lambda event: event.wall)
    assert find_broken_order(by_wall)


@pytest.mark.parametrize("missing", range(4))
def test_merge_log_missing(missing):
    logs = make_logs(3)
    del logs[missing]
    merged = list(merge_events(logs))
    assert len(merged) == sum(len(log) for log in logs)
    absent = f"h{missing}:"
    broken = [e for e in find_broken_order(merged) if not e.cause.startswith(absent)]
    assert broken == []


def test_merge_sending_never_logged():
    receiver = [
        LoggedEvent("peer.message_received", "b", 0, 10.0, cause="a:1"),
        LoggedEvent("x", "b", 1, 11.0),
    ]
    sender = [LoggedEvent("y", "a", index, 10.0 + index) for index in range(200)]
    merged = list(merge_events([receiver, sender], skew_limit_s=5.0))
    assert len(merged) == 202
    place = [event.event for event in merged].index("peer.message_received")
    assert 4 < place < 10, "held no longer than clocks may differ"


def test_merge_cycle_ends():
    logs = [
        [
            LoggedEvent("peer.message_received", host, 0, 1.0, cause=f"{other}:1"),
            LoggedEvent("peer.message_sent", host, 1, 2.0, cause=f"{host}:1"),
        ]
        for host, other in [("a", "b"), ("b", "a")]
    ]
    assert len(list(merge_events(logs))) == 4


def test_merge_clock_set_back():
    log = [LoggedEvent("x", "a", index, wall) for index, wall in enumerate([5, 1, 6])]
    assert [event.sequence for event in merge_events([log])] == [0, 1, 2]
