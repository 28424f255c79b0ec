import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thornlatch.timeline import LoggedEvent, merge_events


def make_logs(seed, hosts=4, messages=60, loss=0.2, skew=20.0):
    """Return the logs of hosts that exchange messages and whose clocks differ."""
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
        for arrival in [arrival for arrival in arrivals if arrival[0] <= now + 0.9]:
            arrivals.remove(arrival)
            write(arrival[1], "peer.message_received", arrival[2], arrival[0])
    return [logs[name] for name in names]


def find_misordered(merged):
    sent, last_sequence, misordered = set(), {}, []
    for event in merged:
        if event.event == "peer.message_sent":
            sent.add(event.cause)
        elif event.event == "peer.message_received" and event.cause not in sent:
            misordered.append(event)
        if event.sequence < last_sequence.get(event.host, 0):
            misordered.append(event)
        last_sequence[event.host] = event.sequence
    return misordered


@given(st.integers(0, 10**6))
def test_merge_puts_causes_first(seed):
    logs = make_logs(seed)
    merged = list(merge_events(logs))
    assert find_misordered(merged) == []
    assert len(merged) == sum(len(log) for log in logs)


def test_sorting_by_wall_time_violates_order():
    events = [event for log in make_logs(1) for event in log]
    by_wall = sorted(events, key=lambda event: event.wall)
    assert find_misordered(by_wall)


@pytest.mark.parametrize("missing", range(4))
def test_merge_log_missing(missing):
    logs = make_logs(3)
    del logs[missing]
    merged = list(merge_events(logs))
    assert len(merged) == sum(len(log) for log in logs)
    absent = f"h{missing}:"
    misordered = [
        event for event in find_misordered(merged) if not event.cause.startswith(absent)
    ]
    assert misordered == []


def test_merge_send_event_never_logged():
    receiver = [
        LoggedEvent("peer.message_received", "b", 0, 10.0, cause="a:1"),
        LoggedEvent("x", "b", 1, 11.0),
    ]
    sender = [LoggedEvent("y", "a", index, 10.0 + index) for index in range(200)]
    merged = list(merge_events([receiver, sender], skew_limit_s=5.0))
    assert len(merged) == 202
    position = [event.event for event in merged].index("peer.message_received")
    assert 4 < position < 10, "held for about the skew limit"


def test_merge_cycle_terminates():
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
