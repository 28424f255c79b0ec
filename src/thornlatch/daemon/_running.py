"""The requests running on this host, for other threads to stop or wait for."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from thornlatch.exceptions import ErrorKind, Execution, RequestRefused
from thornlatch.targets import TargetResponse

SHORT_DIGEST_CHARACTERS = 16
STOP_MESSAGES = {
    ErrorKind.KEY_WITHDRAWN: "the key was withdrawn",
    ErrorKind.HOST_UNCONFIRMED: "this host lost contact with the fleet",
}


@dataclass
class RunningRequest:
    """A running request and the target's answer that is being read for it.

    Parameters
    ----------
    request : str
    key_digest : str
    stopped_by : ErrorKind or None
        Why the request has to stop; None while it may run.
    response : TargetResponse or None
    lock : threading.Lock
    """

    request: str
    key_digest: str
    stopped_by: ErrorKind | None = None
    response: TargetResponse | None = None
    lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def short_digest(self) -> str:
        """Beginning of the key's digest, as written to logs."""
        return self.key_digest[:SHORT_DIGEST_CHARACTERS]

    def attach(self, response: TargetResponse | None) -> None:
        """Set the answer that is being read, and abort it if the request must stop.

        Parameters
        ----------
        response : TargetResponse or None
        """
        with self.lock:
            self.response = response
            if response is not None and self.stopped_by is not None:
                response.abort()

    def stop(self, kind: ErrorKind) -> None:
        """Abort the answer that is being read, and any that is attached later.

        The kind of the first call is kept.

        Parameters
        ----------
        kind : ErrorKind
        """
        with self.lock:
            self.stopped_by = self.stopped_by or kind
            if self.response is not None:
                self.response.abort()

    def check_stopped(self, *, may_have_run: bool) -> None:
        """Check that the request hasn't been stopped.

        Parameters
        ----------
        may_have_run : bool
            Whether it was sent to a target.

        Raises
        ------
        RequestRefused
            If the request was stopped.
        """
        kind = self.stopped_by
        if kind is not None:
            execution = Execution.OUTCOME_UNKNOWN if may_have_run else None
            raise RequestRefused(kind, STOP_MESSAGES[kind], execution=execution)


class RunningRequests:
    """All requests running on this host; thread-safe.

    Parameters
    ----------
    limit : int
        Largest number of concurrent requests.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.requests: dict[str, RunningRequest] = {}
        self.condition = threading.Condition()

    def try_add(self, running: RunningRequest) -> bool:
        """Add a request unless the limit is reached.

        Parameters
        ----------
        running : RunningRequest

        Returns
        -------
        bool
            Whether the request was added.
        """
        with self.condition:
            if len(self.requests) >= self.limit:
                return False
            self.requests[running.request] = running
            return True

    def remove(self, request: str) -> None:
        """Remove a request that has ended.

        Parameters
        ----------
        request : str
        """
        with self.condition:
            self.requests.pop(request, None)
            self.condition.notify_all()

    def stop(
        self, kind: ErrorKind, is_affected: Callable[[RunningRequest], bool]
    ) -> int:
        """Stop some of the requests.

        Parameters
        ----------
        kind : ErrorKind
            Reason given to the callers.
        is_affected : callable
            Takes a `RunningRequest`.

        Returns
        -------
        int
            Number of requests stopped.
        """
        with self.condition:
            affected = [r for r in self.requests.values() if is_affected(r)]
        for running in affected:
            running.stop(kind)
        return len(affected)

    def wait_until_empty(self, timeout_s: float) -> bool:
        """Wait until no request runs.

        Parameters
        ----------
        timeout_s : float

        Returns
        -------
        bool
            False if the time ran out before.
        """
        with self.condition:
            return self.condition.wait_for(lambda: not self.requests, timeout_s)

    def __len__(self) -> int:
        return len(self.requests)
