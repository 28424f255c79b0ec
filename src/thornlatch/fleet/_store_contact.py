"""When the platform's store failed this host's calls, and when it answered again."""

import threading

import logbook

logger = logbook.Logger("thornlatch.fleet")


class StoreContact:
    """Outages of the store, as the calls of all clients of a host show them.

    A call that waits for changes can fail long after the store is back: its answer was
    lost with the outage in which it was due. So a failure counts as of its call's start
    if a later call has been answered. Thread-safe.

    Parameters
    ----------
    outage_s : float
        Shortest time in seconds between two answered calls that counts as an outage,
        if a call failed in between.
    """

    def __init__(self, outage_s: float = 1.0) -> None:
        self.outage_s = outage_s
        self.lock = threading.Lock()
        # Start of the latest call that was answered, by this host or one that reads
        # for it.
        self.answered_at = float("-inf")
        self.failed_at = float("-inf")
        self.returned_at = float("-inf")

    def note_answer(self, started_at: float) -> None:
        """Record that the store answered a call.

        Parameters
        ----------
        started_at : float
            When the call began, also of another host that reads for this one.
        """
        with self.lock:
            if started_at <= self.answered_at:
                return
            away_s = started_at - self.answered_at
            has_failed = self.failed_at > self.answered_at
            self.answered_at = started_at
            # Before its first answer a host knows nothing that might have expired.
            if not has_failed or not self.outage_s <= away_s < float("inf"):
                return
            self.returned_at = started_at
        logger.info("store.outage_ended", extra={"away_s": round(away_s, 3)})

    def note_failure(self, started_at: float, *, now: float) -> None:
        """Record that a call failed or was refused.

        Parameters
        ----------
        started_at : float
            When the call began.
        now : float
        """
        with self.lock:
            is_outdated = started_at < self.answered_at
            failed_at = started_at if is_outdated else now
            self.failed_at = max(self.failed_at, failed_at)
            answered_ago_s = now - self.answered_at
        if is_outdated:
            logger.info(
                "store.failure_outdated",
                extra={
                    "call_s": round(now - started_at, 3),
                    "answered_ago_s": round(answered_ago_s, 3),
                },
            )
