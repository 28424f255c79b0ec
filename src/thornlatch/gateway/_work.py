"""Requests that this host has at targets now."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from thornlatch.exceptions import ErrorKind
from thornlatch.fleet import DecayingSums


@dataclass(eq=False)
class Running:
    """A request between its reading and the end of its answer.

    Parameters
    ----------
    id : str
    ends_at : float
        When its caller must have a final answer.
    is_caller_disconnected : callable
    stop_reason : ErrorKind or None
        Why it was stopped; None while it runs.
    abort : callable or None
        Breaks the connection to the target, if there is one.
    is_gone : bool
        Whether the caller left.
    """

    id: str
    ends_at: float
    is_caller_disconnected: Callable[[], bool]
    key: str = ""
    stop_reason: ErrorKind | None = None
    abort: Callable[[], None] | None = None
    is_gone: bool = False
    lock: threading.Lock = field(default_factory=threading.Lock)

    def set_abort(self, abort: Callable[[], None] | None) -> None:
        """Set how the present call is broken off; at once if already stopped.

        Parameters
        ----------
        abort : callable or None
        """
        with self.lock:
            self.abort = abort
            must_abort = abort is not None and self.stop_reason is not None
        if must_abort and abort is not None:
            abort()

    def stop(self, reason: ErrorKind) -> None:
        """Break off the request.

        Parameters
        ----------
        reason : ErrorKind
        """
        with self.lock:
            if self.stop_reason is not None:
                return
            self.stop_reason = reason
            abort = self.abort
        if abort is not None:
            abort()


@dataclass(eq=False)
class TargetUse:
    """A request's part of the work at a target.

    Parameters
    ----------
    target, adapter : str
    has_ended : bool
    """

    target: str
    adapter: str
    has_ended: bool = False


class WorkTable:
    """Counts requests by target and adapter, and ends those that must end.

    Safe for threads.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.counts: dict[tuple[str, str], int] = {}
        self.totals: dict[str, int] = {}
        self.prompts = DecayingSums()
        self.running: set[Running] = set()

    def add(self, running: Running) -> None:
        """Follow a request until `remove`.

        Parameters
        ----------
        running : Running
        """
        with self.lock:
            self.running.add(running)

    def remove(self, running: Running) -> None:
        """End the following of a request.

        Parameters
        ----------
        running : Running
        """
        with self.lock:
            self.running.discard(running)

    def begin(
        self, target: str, adapter: str, prompt_tokens: int = 0, *, now: float = 0.0
    ) -> TargetUse:
        """Count a request at a target until `end`.

        Parameters
        ----------
        target, adapter : str
        prompt_tokens : int
            Tokens that the target reads before the first event.
        now : float

        Returns
        -------
        TargetUse
        """
        with self.lock:
            key = (target, adapter)
            self.counts[key] = self.counts.get(key, 0) + 1
            self.totals[target] = self.totals.get(target, 0) + 1
            if prompt_tokens:
                self.prompts.add(target, prompt_tokens, now=now)
        return TargetUse(target, adapter)

    def end(self, use: TargetUse) -> None:
        """Count a request at a target no more; a second call changes nothing.

        Parameters
        ----------
        use : TargetUse
        """
        with self.lock:
            if use.has_ended:
                return
            use.has_ended = True
            target = use.target
            key = (target, use.adapter)
            self.counts[key] -= 1
            self.totals[target] -= 1
            if not self.counts[key]:
                del self.counts[key]
            if not self.totals[target]:
                del self.totals[target]

    def get_recent_prompt_tokens(self, target: str, *, now: float) -> float:
        """Return the prompt tokens that this host sent to a target lately.

        Parameters
        ----------
        target : str
        now : float

        Returns
        -------
        float
            The older a prompt, the less it counts.
        """
        return self.prompts.get(target, now=now)

    def list_recent_prompt_tokens(self, *, now: float) -> dict[str, int]:
        """Return prompt tokens sent lately by target, as digests carry them.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict of str to int
        """
        with self.lock:
            return self.prompts.list_rounded_down(now=now)

    def get_total(self, target: str) -> int:
        """Return the requests of this host at a target.

        Parameters
        ----------
        target : str

        Returns
        -------
        int
        """
        return self.totals.get(target, 0)

    def get_uses(self, target: str) -> dict[str, int]:
        """Return the requests of this host at a target by adapter.

        Parameters
        ----------
        target : str

        Returns
        -------
        dict of str to int
        """
        with self.lock:
            return {
                adapter: count
                for (name, adapter), count in self.counts.items()
                if name == target
            }

    def list_counts(self) -> tuple[tuple[str, str, int], ...]:
        """Return all counts, as digests carry them."""
        with self.lock:
            return tuple((t, a, count) for (t, a), count in self.counts.items())

    def stop_expired(self, *, now: float) -> None:
        """Stop requests whose caller left or whose time is over.

        Parameters
        ----------
        now : float
        """
        with self.lock:
            running = list(self.running)
        for one in running:
            if one.stop_reason is not None:
                continue
            if one.is_caller_disconnected():
                one.is_gone = True
                one.stop(ErrorKind.OUTCOME_UNKNOWN)
            elif now >= one.ends_at:
                one.stop(ErrorKind.DEADLINE_UNREACHABLE)
