"""Signals that wake the main thread, whichever thread receives them."""

import os
import select
import signal
from collections import deque
from collections.abc import Collection
from types import FrameType


class SignalWaiter:
    """Lets the main thread wait for signals.

    The system gives a signal to any thread of the process: often to another than the
    main one if that has not yet run since it was continued after a pause. Python's
    handlers run in the main thread, which a signal to another thread doesn't wake. The
    interpreter writes to a pipe whichever thread receives the signal, so the main
    thread waits for the pipe.

    Handlers take no locks, as they interrupt a thread that may hold them.
    """

    def __init__(self) -> None:
        self.received: deque[int] = deque()
        self.wake_reader, self.wake_writer = os.pipe()
        os.set_blocking(self.wake_writer, False)
        self.poller = select.poll()
        self.poller.register(self.wake_reader, select.POLLIN)

    def install(self, signal_numbers: Collection[int]) -> None:
        """Set the handlers; called by the main thread.

        Signals that were blocked until now are received if they came meanwhile.

        Parameters
        ----------
        signal_numbers : collection of int
        """
        signal.set_wakeup_fd(self.wake_writer, warn_on_full_buffer=False)
        for signal_number in signal_numbers:
            signal.signal(signal_number, self._handle)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, signal_numbers)

    def wake(self) -> None:
        """End a wait, from any thread."""
        try:
            os.write(self.wake_writer, b"x")
        except BlockingIOError:
            # The pipe is full, so the main thread will wake up anyway.
            return

    def wait(self, timeout_s: float) -> list[int]:
        """Wait for a signal or for `wake`.

        Parameters
        ----------
        timeout_s : float

        Returns
        -------
        list of int
            Numbers of the signals that were received since the last call.
        """
        # Nothing can be read if the wait times out.
        if self.poller.poll(timeout_s * 1000):
            os.read(self.wake_reader, 4096)
        received = []
        while self.received:
            received.append(self.received.popleft())
        return received

    def _handle(self, signal_number: int, frame: FrameType | None) -> None:
        self.received.append(signal_number)
