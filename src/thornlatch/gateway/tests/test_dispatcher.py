"""Growth of the callers' thread pool under different load patterns."""

import threading
import time

import pytest

from thornlatch.gateway._dispatcher import GrowingDispatcher

WAIT_S = 10.0


class Request:
    """Occupies a thread until it is released."""

    def __init__(self):
        self.began = threading.Event()
        self.released = threading.Event()
        self.shortage = None

    def service(self):
        self.began.set()
        self.released.wait(WAIT_S)

    def cancel(self):
        self.released.set()

    def refuse(self, shortage):
        self.shortage = shortage
        self.began.set()


def wait_until(condition):
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.001)


@pytest.fixture
def dispatcher():
    pool = GrowingDispatcher(first=2, limit=20)
    yield pool
    pool.shutdown(timeout=WAIT_S)


def test_burst_of_long_streams_gets_a_thread_for_each(dispatcher):
    requests = [Request() for _ in range(20)]
    for request in requests:
        dispatcher.add_task(request)
    assert all(request.began.wait(WAIT_S) for request in requests)
    for request in requests:
        request.released.set()


def test_sequential_requests_start_no_further_threads(dispatcher):
    for _ in range(30):
        wait_until(lambda: dispatcher.active_count == 0)
        request = Request()
        request.released.set()
        dispatcher.add_task(request)
        assert request.began.wait(WAIT_S)
    assert len(dispatcher.threads) == 2


def test_requests_beyond_the_thread_limit_wait_for_a_free_thread(dispatcher):
    requests = [Request() for _ in range(21)]
    for request in requests:
        dispatcher.add_task(request)
    assert all(request.began.wait(WAIT_S) for request in requests[:20])
    assert not requests[20].began.is_set()
    requests[7].released.set()
    assert requests[20].began.wait(WAIT_S)
    for request in requests:
        request.released.set()


@pytest.fixture
def refusing_dispatcher():
    pool = GrowingDispatcher(first=2, limit=3, wait_s=0.05)
    yield pool
    pool.shutdown(timeout=WAIT_S)


def test_requests_that_get_no_thread_in_time_are_refused(refusing_dispatcher):
    """They waited for as long as all threads were busy."""
    requests = [Request() for _ in range(5)]
    for request in requests:
        refusing_dispatcher.add_task(request)
    assert all(request.began.wait(WAIT_S) for request in requests)
    assert [request.shortage is None for request in requests] == [True] * 3 + [
        False
    ] * 2
    first, second = (request.shortage for request in requests[3:])
    assert first.waited_s >= 0.05
    assert (first.threads, first.refused, second.refused) == (3, 1, 2)
    # It goes on as before, also in the next shortage.
    wait_until(lambda: not refusing_dispatcher.is_refusing)
    for request in requests[:3]:
        request.released.set()
    wait_until(lambda: refusing_dispatcher.active_count == 0)
    later = [Request() for _ in range(4)]
    for request in later:
        refusing_dispatcher.add_task(request)
    assert all(request.began.wait(WAIT_S) for request in later)
    assert [request.shortage is None for request in later] == [True] * 3 + [False]
    for request in later:
        request.released.set()


def test_failed_refusal_doesn_t_stop_the_next_ones(refusing_dispatcher):
    requests = [Request() for _ in range(5)]
    requests[3].refuse = None
    for request in requests:
        refusing_dispatcher.add_task(request)
    assert requests[4].began.wait(WAIT_S)
    assert requests[4].shortage is not None
    for request in requests:
        request.released.set()
