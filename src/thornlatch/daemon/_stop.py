"""The planned stop of a daemon.

The host leaves the load balancer's rotation, hands over its keys, finishes its requests
and ends its session.
"""

import signal
import time
from collections.abc import Callable
from typing import Any

from thornlatch.core import Event
from thornlatch.daemon._logs import TimelineWriter
from thornlatch.daemon._running import RunningRequests
from thornlatch.daemon._settings import StopSettings
from thornlatch.daemon._slice_client import SliceClient

POLL_S = 0.02
IDLE_POLL_S = 0.2
SETTLE_LIMIT_S = 5.0
ADMIT_GRACE_S = 0.2


class StopSequence:
    """Waits for a signal and executes the planned stop.

    Parameters
    ----------
    settings : StopSettings
    slice_client : SliceClient
    running : RunningRequests
    timeline : TimelineWriter
    """

    def __init__(
        self,
        settings: StopSettings,
        *,
        slice_client: SliceClient,
        running: RunningRequests,
        timeline: TimelineWriter,
    ) -> None:
        self.settings = settings
        self.slice_client = slice_client
        self.running = running
        self.timeline = timeline
        self.signal_count = 0

    @property
    def is_requested(self) -> bool:
        """Whether the process received a signal to stop."""
        return self.signal_count > 0

    def install(self) -> None:
        """Install the handlers of SIGTERM and SIGINT, which request the stop."""
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)

    def wait(self) -> int:
        """Wait for a signal and execute the stop; a second signal forces it.

        Returns
        -------
        int
            0 if all running requests ended by themselves, 1 after a second signal.
        """
        while not self.is_requested:
            time.sleep(IDLE_POLL_S)
        self.timeline.write(Event("daemon.stop_began"))
        self._pause(self.settings.rotation_s)
        self.slice_client.is_stopping = True
        self.slice_client.submit(
            lambda now: self.slice_client.host_slices.membership.release_keys(now=now)
        )
        # Requests that were accepted before the refusals began still need tokens.
        self._pause(ADMIT_GRACE_S)
        if not self._finish_requests():
            self.timeline.write(
                Event("daemon.stop_forced", detail={"running": len(self.running)})
            )
            return 1
        self._end_session()
        return 0

    def _on_signal(self, *_: Any) -> None:
        self.signal_count += 1

    def _finish_requests(self) -> bool:
        started_at = time.monotonic()
        is_late = False
        are_shares_returned = False
        while self.signal_count < 2:
            if not are_shares_returned and self.slice_client.run(
                self._may_return_shares
            ):
                are_shares_returned = True
                self._return_shares()
            if self.running.wait_until_empty(POLL_S) and not self._is_needed_as_owner():
                return True
            if not is_late and time.monotonic() - started_at > self.settings.limit_s:
                is_late = True
                detail = {"running": len(self.running)}
                self.timeline.write(Event("daemon.stop_late", detail=detail))
        return False

    def _is_needed_as_owner(self) -> bool:
        """Return whether no other host can own the keys that stopping hosts release."""
        host_slices = self.slice_client.host_slices
        return self.slice_client.run(
            lambda now: host_slices.membership.is_needed_as_owner(now=now)
        )

    def _may_return_shares(self, now: float) -> bool:
        # An owner of pools needs its share of load budgets until the pools are handed
        # over. Returning the shares refuses the requests that wait for one.
        host_slices = self.slice_client.host_slices
        return (
            host_slices.membership.has_handed_over
            and not host_slices.admission.has_waiting_requests()
        )

    def _return_shares(self) -> None:
        host_slices = self.slice_client.host_slices
        self.slice_client.submit(lambda now: host_slices.admission.close(now=now))

    def _end_session(self) -> None:
        host_slices = self.slice_client.host_slices

        def are_orders_closed() -> bool:
            return not self.slice_client.run(
                lambda now: host_slices.dispatch.has_open_orders(now=now)
            )

        self.slice_client.submit(lambda now: host_slices.dispatch.close(now))
        self._return_shares()
        _wait_for(lambda: not host_slices.claims.has_unwritten, limit_s=SETTLE_LIMIT_S)
        _wait_for(are_orders_closed, limit_s=SETTLE_LIMIT_S)
        # Peers must receive the messages that return shares and grants before the
        # session ends.
        time.sleep(self.settings.hand_over_s)
        self.slice_client.submit(lambda now: host_slices.membership.close(now=now))
        self.slice_client.run(lambda now: None)

    def _pause(self, duration_s: float) -> None:
        _wait_for(lambda: self.signal_count > 1, limit_s=duration_s)


def _wait_for(is_met: Callable[[], bool], *, limit_s: float) -> None:
    deadline = time.monotonic() + limit_s
    while not is_met() and time.monotonic() < deadline:
        time.sleep(POLL_S)
