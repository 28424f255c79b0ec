"""Counts of the requests that this host is serving."""

import heapq
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import median

from thornlatch.exceptions import ErrorKind
from thornlatch.fleet import DecayingSums


@dataclass(eq=False)
class RunningRequest:
    """A request that this host has read and not yet answered completely.

    Parameters
    ----------
    id : str
    ends_at : float
        Clock time by which the caller must have a final answer.
    is_caller_disconnected : callable
        Returns whether the caller has closed its connection.
    key : str
        API key of the caller; empty for none.
    stop_reason : ErrorKind or None
        Why the request was stopped; None while it is served.
    abort : callable or None
        Closes the connection to the target; None without a connection.
    has_caller_left : bool
        Whether the request was stopped because its caller disconnected.
    lock : threading.Lock
        Guards `abort` and `stop_reason`.
    """

    id: str
    ends_at: float
    is_caller_disconnected: Callable[[], bool]
    key: str = ""
    stop_reason: ErrorKind | None = None
    abort: Callable[[], None] | None = None
    has_caller_left: bool = False
    lock: threading.Lock = field(default_factory=threading.Lock)

    def set_abort(self, abort: Callable[[], None] | None) -> None:
        """Set the callable that aborts the call to the target.

        It is called at once if the request has been stopped already.

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
        """Stop the request and abort its call to the target.

        Only the first call has an effect.

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
    """One request that is counted at a target.

    Parameters
    ----------
    target, adapter : str
    parts : tuple of str
        Parts of its prompt that other requests may have too.
    sent_at : float
    progressed_at : float or None
        Clock times at which it was sent and of the latest event of its stream; None
        before the first event.
    has_ended : bool
        Whether the request is no longer counted.
    """

    target: str
    adapter: str
    parts: tuple[str, ...] = ()
    sent_at: float = 0.0
    progressed_at: float | None = None
    has_ended: bool = False

    def get_silence_s(self, now: float) -> float:
        """Return the seconds since its target sent something of use, or it was sent."""
        since = self.sent_at if self.progressed_at is None else self.progressed_at
        return now - since


class WorkTable:
    """Counts requests by target and adapter and stops expired ones.

    Safe for use by several threads.

    Parameters
    ----------
    on_use : callable or None
        Called with target, adapter and whether this host uses the adapter there, when
        that changes.
    """

    def __init__(self, on_use: Callable[[str, str, bool], None] | None = None) -> None:
        self.on_use = on_use
        self.lock = threading.Lock()
        self.counts: dict[tuple[str, str], int] = {}
        self.totals: dict[str, int] = {}
        self.part_counts: dict[str, int] = {}
        self.uses: dict[str, set[TargetUse]] = {}
        self.prompt_tokens = DecayingSums()
        self.running: set[RunningRequest] = set()
        # Clock time by which all requests must have a final answer.
        self.ends_by = float("inf")
        # Set while any request is running.
        self.busy = threading.Event()

    def add(self, running: RunningRequest) -> None:
        """Add a request that is being served.

        Parameters
        ----------
        running : RunningRequest
        """
        with self.lock:
            running.ends_at = min(running.ends_at, self.ends_by)
            self.running.add(running)
            self.busy.set()

    def get_end(self, count: int) -> float:
        """Return when this many of the running requests will have ended at the latest.

        Parameters
        ----------
        count : int

        Returns
        -------
        float
            Clock time; if fewer are running, when all of them have ended, and infinity
            for none.
        """
        ends_at = [running.ends_at for running in list(self.running)]
        return max(heapq.nsmallest(count, ends_at), default=float("inf"))

    def end_by(self, at: float) -> None:
        """Answer all requests by a time, also those that come later.

        Parameters
        ----------
        at : float
            Clock time.
        """
        with self.lock:
            self.ends_by = at
            for running in self.running:
                running.ends_at = min(running.ends_at, at)

    def remove(self, running: RunningRequest) -> None:
        """Remove a request that is no longer served.

        Parameters
        ----------
        running : RunningRequest
        """
        with self.lock:
            self.running.discard(running)
            if not self.running:
                self.busy.clear()

    def begin(
        self,
        target: str,
        adapter: str,
        prompt_tokens: int = 0,
        parts: tuple[str, ...] = (),
        *,
        now: float = 0.0,
    ) -> TargetUse:
        """Count a request at a target until `end` is called.

        Parameters
        ----------
        target, adapter : str
        prompt_tokens : int
            Tokens that the target reads before it sends the first event.
        parts : tuple of str
            Parts of its prompt that other requests may have too.
        now : float

        Returns
        -------
        TargetUse
        """
        use = TargetUse(target, adapter, parts, now)
        with self.lock:
            key = (target, adapter)
            self.uses.setdefault(target, set()).add(use)
            self.counts[key] = self.counts.get(key, 0) + 1
            self.totals[target] = self.totals.get(target, 0) + 1
            for part in parts:
                self.part_counts[part] = self.part_counts.get(part, 0) + 1
            if prompt_tokens:
                self.prompt_tokens.add(target, prompt_tokens, now=now)
            is_first = self.counts[key] == 1
        if is_first and adapter and self.on_use is not None:
            self.on_use(target, adapter, True)
        return use

    def end(self, use: TargetUse) -> None:
        """Stop counting a request at a target; further calls have no effect.

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
            self.uses[target].remove(use)
            is_last = not self.counts[key]
            if is_last:
                del self.counts[key]
            if not self.totals[target]:
                del self.totals[target]
                del self.uses[target]
            for part in use.parts:
                self.part_counts[part] -= 1
                if not self.part_counts[part]:
                    del self.part_counts[part]
        if is_last and use.adapter and self.on_use is not None:
            self.on_use(target, use.adapter, False)

    def count_runs(self, part: str) -> int:
        """Return the number of this host's requests at targets with a prompt part.

        Parameters
        ----------
        part : str

        Returns
        -------
        int
        """
        return self.part_counts.get(part, 0)

    def get_recent_prompt_tokens(self, target: str, *, now: float) -> float:
        """Return the prompt tokens that this host sent to a target recently.

        Parameters
        ----------
        target : str
        now : float

        Returns
        -------
        float
            Decayed sum, in which older prompts count less.
        """
        return self.prompt_tokens.get(target, now=now)

    def list_recent_prompt_tokens(self, *, now: float) -> dict[str, int]:
        """Return recent prompt tokens by target, for this host's digests.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict of str to int
        """
        with self.lock:
            return self.prompt_tokens.list_rounded_down(now=now)

    def get_total(self, target: str) -> int:
        """Return the number of this host's requests at a target.

        Parameters
        ----------
        target : str

        Returns
        -------
        int
        """
        return self.totals.get(target, 0)

    def get_median_silence_s(self, target: str, *, now: float) -> float:
        """Return the median of the times for which a target's streams are silent.

        Streams without any event yet don't count.

        Parameters
        ----------
        target : str
        now : float

        Returns
        -------
        float
            Seconds; 0 if no stream of this host runs there.
        """
        silences_s = self._list_stream_silences_s(target, now)
        return median(silences_s) if silences_s else 0.0

    def is_silent(self, target: str, limit_s: float, *, now: float) -> bool:
        """Return whether each running stream of a target is silent for a time.

        Parameters
        ----------
        target : str
        limit_s : float
            Seconds.
        now : float

        Returns
        -------
        bool
            True if no stream of this host runs there.
        """
        return all(s >= limit_s for s in self._list_stream_silences_s(target, now))

    def _list_stream_silences_s(self, target: str, now: float) -> list[float]:
        with self.lock:
            return [
                use.get_silence_s(now)
                for use in self.uses.get(target, ())
                if use.progressed_at is not None
            ]

    def get_uses(self, target: str) -> dict[str, int]:
        """Return the number of this host's requests at a target, by adapter.

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
        """Return target, adapter and count of all requests, for this host's digests."""
        with self.lock:
            return tuple(
                (target, adapter, count)
                for (target, adapter), count in self.counts.items()
            )

    def stop_expired(self, *, now: float) -> None:
        """Stop requests whose caller disconnected or whose deadline has passed.

        Parameters
        ----------
        now : float
        """
        with self.lock:
            requests = list(self.running)
        for request in requests:
            if request.stop_reason is not None:
                continue
            if request.is_caller_disconnected():
                request.has_caller_left = True
                request.stop(ErrorKind.OUTCOME_UNKNOWN)
            elif now >= request.ends_at:
                request.stop(ErrorKind.DEADLINE_UNREACHABLE)
