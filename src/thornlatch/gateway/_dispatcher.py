"""Thread pool of the callers' server that grows on demand."""

import threading
from typing import Any

from waitress.task import ThreadedTaskDispatcher


class GrowingDispatcher(ThreadedTaskDispatcher):
    """Starts another thread if a request finds all threads busy, up to a limit.

    A stream occupies its thread for seconds. A host that serves a whole site alone
    therefore needs hundreds of threads, and one among many hosts only a few.

    Parameters
    ----------
    first : int
        Threads that are started initially.
    limit : int
        Maximum number of threads; further requests wait.
    """

    def __init__(self, *, first: int, limit: int) -> None:
        super().__init__()
        self.limit = limit
        self.grow_lock = threading.Lock()
        self.set_thread_count(min(first, limit))

    def add_task(self, task: Any) -> None:
        """Queue a task for the next idle thread.

        Parameters
        ----------
        task : waitress.channel.HTTPChannel
        """
        # Worker threads add tasks too, for pipelined requests on their connections.
        with self.grow_lock:
            with self.lock:
                thread_count = len(self.threads)
                idle_count = thread_count - self.stop_count - self.active_count
                must_grow = len(self.queue) >= idle_count and thread_count < self.limit
            if must_grow:
                self.set_thread_count(thread_count + 1)
            super().add_task(task)
