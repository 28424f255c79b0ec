"""Threads of the callers' server, started as requests need them."""

import threading
from typing import Any

from waitress.task import ThreadedTaskDispatcher


class GrowingDispatcher(ThreadedTaskDispatcher):
    """Starts a thread for a request that finds all others taken, up to a limit.

    A stream keeps its thread for seconds, so a host that serves the whole site alone
    needs hundreds, and one among many hosts only a few.

    Parameters
    ----------
    first : int
        Threads that are started at once.
    limit : int
        Most threads; further requests wait.
    """

    def __init__(self, *, first: int, limit: int) -> None:
        super().__init__()
        self.limit = limit
        self.growing = threading.Lock()
        self.set_thread_count(min(first, limit))

    def add_task(self, task: Any) -> None:
        """Queue a task for a thread.

        Parameters
        ----------
        task : waitress.channel.HTTPChannel
        """
        # Requests also come from the threads themselves, on connections that carry
        # several.
        with self.growing:
            with self.lock:
                count = len(self.threads)
                idle = count - self.stop_count - self.active_count
                must_grow = len(self.queue) >= idle and count < self.limit
            if must_grow:
                self.set_thread_count(count + 1)
            super().add_task(task)
