"""Reading and appending while the log service is down."""

import threading
from random import Random

import logbook

from thornlatch.configuration import TargetDrained
from thornlatch.daemon._log_io import WARN_EVERY_S, LogAppender, LogReader
from thornlatch.logservice import FollowerSettings, LogFollower, LogPage, PlatformError


class FakeLog:
    """Stands in for the log client and runs commands at once."""

    def __init__(self):
        self.now = 0.0
        self.is_down = True
        follower = LogFollower(FollowerSettings(), ("s",), host="h.1", random=Random(1))
        self.reader = LogReader(
            self,
            follower,
            submit=lambda command: command(self.now),
            on_delivery=lambda delivery, now: [],
            on_failure=lambda stream, now: [],
            iter_peers=lambda: [],
        )
        # The test starts each read itself.
        self.reader.is_stopping = True

    def read(self, stream, offset, *, limit, wait_s):
        if self.is_down:
            raise PlatformError("no answer", is_outcome_unknown=False)
        return LogPage((), offset, 0)

    def read_at(self, now):
        self.now = now
        follower = self.reader.follower
        plan = follower.plan_read("s", now=now)
        if plan is not None:
            self.reader._read(follower, plan)


def test_failing_reads_are_logged_at_intervals():
    log = FakeLog()
    with logbook.TestHandler() as handler:
        for step in range(400):
            log.read_at(step * 0.05)
        log.is_down = False
        log.read_at(25.0)
        log.read_at(26.0)
    messages = [record.message for record in handler.records]
    assert messages == ["log.read_failed"] * 2 + ["log.read_again"]
    assert handler.records[1].extra["for_s"] >= WARN_EVERY_S
    assert handler.records[2].extra["after_s"] == 25.0


def test_appender_that_waits_for_the_log_doesn_t_end_the_shutdown():
    """The shutdown after it would otherwise be left out."""
    is_asked, is_answered = threading.Event(), threading.Event()

    class SilentLog:
        def append(self, *arguments, **more):
            is_asked.set()
            is_answered.wait()

    appender = LogAppender(SilentLog())
    appender.append("s", TargetDrained("t1", "test", True))
    assert is_asked.wait(10)
    try:
        with logbook.TestHandler() as handler:
            appender.stop(timeout_s=0.01)
    finally:
        is_answered.set()
    appender.finished.exception(timeout=10)
    assert [record.message for record in handler.records] == ["log.append_unfinished"]
