"""Bounds the memory that received bytes take in the whole process."""

import ctypes
import threading

M_ARENA_MAX = -8  # of glibc's mallopt
ARENAS = 2
DEFAULT_LIMIT_BYTES = 32 << 20
# Short messages are kept whatever others take; a read of a stream is one at most.
UNCOUNTED_BYTES = 1 << 16


class MemoryExceeded(OSError):
    """Raised when a message would take too much of the memory that is left."""


class MemoryBudget:
    """Memory for all received bytes that the process holds.

    A message may take as much as is left for others (a dynamic threshold, as in the
    shared buffers of switches): a single one may take half of the memory, and while
    many are large, the largest is the first that may not grow.

    Safe for use by several threads.

    Parameters
    ----------
    limit_bytes : int
        Memory in bytes, besides what isn't counted of each message.
    """

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        # A finalizer may run while this thread changes the sum.
        self.lock = threading.RLock()

    def resize(self, counted_bytes: int, new_bytes: int) -> None:
        """Change what a message takes.

        Parameters
        ----------
        counted_bytes, new_bytes : int
            What it has taken so far, and what it takes from now on.

        Raises
        ------
        MemoryExceeded
            If it grows beyond what is left for others.
        """
        with self.lock:
            added_bytes = new_bytes - counted_bytes
            left_bytes = self.limit_bytes - self.used_bytes - added_bytes
            if added_bytes > 0 and new_bytes > left_bytes:
                raise MemoryExceeded(
                    f"it would hold {new_bytes} bytes, others hold"
                    f" {self.used_bytes - counted_bytes} of {self.limit_bytes}"
                )
            self.used_bytes += added_bytes


class MemoryUse:
    """What one message takes of a budget, until it is released or dropped.

    Parameters
    ----------
    budget : MemoryBudget
    uncounted_bytes : int
        Bytes that it may hold whatever others take.

    Attributes
    ----------
    held_bytes : int
    """

    def __init__(
        self, budget: MemoryBudget, *, uncounted_bytes: int = UNCOUNTED_BYTES
    ) -> None:
        self.budget = budget
        self.uncounted_bytes = uncounted_bytes
        self.held_bytes = 0
        self.counted_bytes = 0

    def add(self, count: int) -> None:
        """Record that further bytes were received.

        Raises
        ------
        MemoryExceeded
            If the message takes too much; it holds the bytes before then.
        """
        self.set_held(self.held_bytes + count)

    def set_held(self, held_bytes: int) -> None:
        """Record how many bytes are held.

        Raises
        ------
        MemoryExceeded
            If the message takes too much.
        """
        counted_bytes = max(held_bytes - self.uncounted_bytes, 0)
        if counted_bytes != self.counted_bytes:
            self.budget.resize(self.counted_bytes, counted_bytes)
            self.counted_bytes = counted_bytes
        self.held_bytes = held_bytes

    def release(self) -> None:
        """Give back all that the message takes."""
        self.set_held(0)

    def __del__(self) -> None:
        self.release()


received_memory = MemoryBudget()


def bound_arenas() -> bool:
    """Let all threads of the process share a few arenas of the system's allocator.

    By default glibc gives threads up to eight arenas a processor. Each keeps freed
    memory for itself, so that hundreds of threads hold a multiple of what is in use.

    Returns
    -------
    bool
        Whether the allocator took the limit; others than glibc's have none.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return bool(mallopt(M_ARENA_MAX, ARENAS))
