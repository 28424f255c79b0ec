"""Thread pool of the callers' server that grows on demand."""

import threading
import time
from collections import deque
from dataclasses import dataclass
from typing import Any

from waitress.task import ThreadedTaskDispatcher

from thornlatch.core import read_clock

RATE_WINDOW_S = 2.0  # of the rates in a shortage of threads
RATE_EVENTS = 256  # that are kept for a rate


@dataclass(frozen=True)
class ThreadShortage:
    """Why a request got no thread.

    Parameters
    ----------
    threads : int
        Number of threads, all of them busy.
    waited_s : float
        Seconds that the request waited for one.
    refused : int
        Requests that were refused lately, this one included.
    freed_per_s : float
        Rate at which threads were freed lately.
    """

    threads: int
    waited_s: float
    refused: int
    freed_per_s: float


class GrowingDispatcher(ThreadedTaskDispatcher):
    """Starts another thread if a request finds all threads busy, up to a limit.

    A stream occupies its thread for seconds. A host that serves a whole site alone
    therefore needs hundreds of threads, and one among many hosts only a few.

    Parameters
    ----------
    first : int
        Threads that are started initially.
    limit : int
        Maximum number of threads.
    wait_s : float or None
        Seconds that a task waits for a thread, after which its `refuse` is called
        with a `ThreadShortage` instead of `service`; None for no limit.
    """

    def __init__(self, *, first: int, limit: int, wait_s: float | None = None) -> None:
        super().__init__()
        self.limit = limit
        self.wait_s = wait_s
        self.grow_lock = threading.Lock()
        self.is_refusing = False
        self.freed_at: deque[float] = deque(maxlen=RATE_EVENTS)
        self.refused_at: deque[float] = deque(maxlen=RATE_EVENTS)
        self.set_thread_count(min(first, limit))

    def add_task(self, task: Any) -> None:
        """Queue a task for the next idle thread.

        Parameters
        ----------
        task : CallerChannel
        """
        task.queued_at = read_clock()
        # Worker threads add tasks too, for pipelined requests on their connections.
        with self.grow_lock:
            with self.lock:
                thread_count = len(self.threads)
                idle_count = thread_count - self.stop_count - self.active_count
                must_grow = len(self.queue) >= idle_count and thread_count < self.limit
            if must_grow:
                self.set_thread_count(thread_count + 1)
            super().add_task(task)
        if self.wait_s is not None:
            self._begin_refusing()

    def note_freed(self) -> None:
        """Record that a thread has served a request."""
        self.freed_at.append(read_clock())

    def _begin_refusing(self) -> None:
        """Start the thread that refuses tasks, unless it runs or isn't needed."""
        with self.lock:
            if self.is_refusing or not self._is_short():
                return
            self.is_refusing = True
        threading.Thread(
            target=self._refuse_waiting, name="refuse", daemon=True
        ).start()

    def _is_short(self) -> bool:
        """Return whether tasks are queued for which there is no thread."""
        thread_count = len(self.threads)
        idle_count = thread_count - self.stop_count - self.active_count
        return thread_count >= self.limit and len(self.queue) > idle_count

    def _refuse_waiting(self) -> None:
        """Refuse the tasks that have waited too long, until none waits."""
        wait_s = self.wait_s or 0.0
        while True:
            with self.lock:
                if not self._is_short():
                    self.is_refusing = False
                    return
                now = read_clock()
                due_in_s = self.queue[0].queued_at + wait_s - now
                task = self.queue.popleft() if due_in_s <= 0 else None
            if task is None:
                time.sleep(due_in_s)
                continue
            self.refused_at.append(now)
            shortage = ThreadShortage(
                self.limit,
                now - task.queued_at,
                _count_recent(self.refused_at, now),
                _count_recent(self.freed_at, now) / RATE_WINDOW_S,
            )
            try:
                task.refuse(shortage)
            except Exception:
                self.logger.exception("Exception when refusing %r", task)


def _count_recent(times: deque[float], now: float) -> int:
    return sum(now - at < RATE_WINDOW_S for at in list(times))
