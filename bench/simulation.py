"""Simulated clock, weight store and results, shared by all policies."""

import heapq
import itertools
from collections import deque
from dataclasses import dataclass, field

PREFILL_S = 0.05
TOKEN_S = 0.01


def get_service_s(arrival):
    """Return the seconds for which a request holds a batch slot."""
    return PREFILL_S + arrival.tokens * TOKEN_S


class Clock:
    """Event queue over simulated time in seconds."""

    def __init__(self):
        self.now = 0.0
        self.events = []
        self.sequence = itertools.count()

    def call_at(self, at, function, *arguments):
        heapq.heappush(self.events, (at, next(self.sequence), function, arguments))

    def call_in(self, delay_s, function, *arguments):
        self.call_at(self.now + delay_s, function, *arguments)

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)


class StoreModel:
    """Weight store that starts loads in order of arrival at a limited rate.

    When more loads than the limit are in flight, the duration of a load grows in
    proportion to their number.
    """

    def __init__(self, clock, store):
        self.clock = clock
        self.store = store
        self.available_loads = float(store.full_speed_loads)
        self.updated_at = 0.0
        self.queue = deque()
        self.in_flight = 0
        self.loads = 0
        self.is_start_scheduled = False

    def load(self, callback, *arguments):
        self.queue.append((callback, arguments))
        if not self.is_start_scheduled:
            self._start()

    def _start(self):
        self.is_start_scheduled = False
        refilled = (self.clock.now - self.updated_at) * self.store.loads_per_s
        self.available_loads = min(
            self.store.full_speed_loads, self.available_loads + refilled
        )
        self.updated_at = self.clock.now
        while self.queue and self.available_loads >= 1.0 - 1e-6:
            self.available_loads -= 1.0
            self._begin(*self.queue.popleft())
        if self.queue:
            self.is_start_scheduled = True
            delay_s = (1.0 - self.available_loads) / self.store.loads_per_s
            self.clock.call_in(delay_s + 1e-6, self._start)

    def _begin(self, callback, arguments):
        self.in_flight += 1
        self.loads += 1
        slowdown = max(1.0, self.in_flight / self.store.in_flight_loads)
        self.clock.call_in(self.store.load_s * slowdown, self._end, callback, arguments)

    def _end(self, callback, arguments):
        self.in_flight -= 1
        callback(*arguments)


@dataclass
class Result:
    """Measurements of one run of a policy; times are in seconds."""

    arrivals: list
    loads: int = 0
    stall_s: dict = field(default_factory=dict)
    wait_s: dict = field(default_factory=dict)
    finished_at: dict = field(default_factory=dict)
    refused: set = field(default_factory=set)
    started: set = field(default_factory=set)
    busy_intervals: list = field(default_factory=list)

    def begin(self, arrival, now):
        self.started.add(arrival.index)
        self.wait_s[arrival.index] = now - arrival.at
        end = now + get_service_s(arrival)
        self.busy_intervals.append((now, end))
        return end

    def compute_stall_s_per_1000(self):
        return sum(self.stall_s.values()) / len(self.arrivals) * 1000.0

    def compute_busy_s(self, since, until):
        return sum(
            max(0.0, min(end, until) - max(begin, since))
            for begin, end in self.busy_intervals
        )
