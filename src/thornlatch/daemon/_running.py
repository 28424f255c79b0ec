"""The requests that run on this host, so that others can stop or await them."""

import threading
from dataclasses import dataclass, field

from thornlatch.targets import TargetResponse


@dataclass
class RunningRequest:
    """One request and the target's answer that it reads.

    Parameters
    ----------
    request : str
    key_digest : str
    is_key_withdrawn : bool
        Set when its key was withdrawn while it ran.
    response : TargetResponse or None
    lock : threading.Lock
    """

    request: str
    key_digest: str
    is_key_withdrawn: bool = False
    response: TargetResponse | None = None
    lock: threading.Lock = field(default_factory=threading.Lock)

    def attach(self, response: TargetResponse | None) -> None:
        """Set the answer that is being read; breaks it if the key is withdrawn."""
        with self.lock:
            self.response = response
            if response is not None and self.is_key_withdrawn:
                response.abort()

    def withdraw_key(self) -> None:
        """Break the answer that is being read."""
        with self.lock:
            self.is_key_withdrawn = True
            if self.response is not None:
                self.response.abort()


class RunningRequests:
    """All requests that run on this host; safe to use from any thread.

    Parameters
    ----------
    limit : int
        Most requests at once.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.requests: dict[str, RunningRequest] = {}
        self.condition = threading.Condition()

    def try_add(self, running: RunningRequest) -> bool:
        """Add a request unless too many run.

        Parameters
        ----------
        running : RunningRequest

        Returns
        -------
        bool
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

    def withdraw_keys(self, digests: frozenset[str]) -> None:
        """Stop the requests that came with one of these keys.

        Parameters
        ----------
        digests : frozenset of str
        """
        with self.condition:
            affected = [r for r in self.requests.values() if r.key_digest in digests]
        for running in affected:
            running.withdraw_key()

    def wait_until_empty(self, timeout_s: float) -> bool:
        """Wait for all requests to end.

        Parameters
        ----------
        timeout_s : float

        Returns
        -------
        bool
            Whether none runs any more.
        """
        with self.condition:
            return self.condition.wait_for(lambda: not self.requests, timeout_s)

    def __len__(self) -> int:
        return len(self.requests)
