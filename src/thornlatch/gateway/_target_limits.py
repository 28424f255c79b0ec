"""Limits that targets set on the rate of their requests, and this host's share.

A target names one rate for all hosts together. The right to send to it is divided
among a few hosts, chosen by rendezvous hashing, so that the requests that they may send
at once don't grow with the fleet. The hosts also report what they sent lately: together
they send no more in a window than the limit allows, counting what was sent before it
was known.
"""

import copy
import math
import threading
from collections import deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, replace
from random import Random
from typing import Annotated

from msgspec import Meta

from thornlatch.fleet import Incarnation, TargetLimit
from thornlatch.leases import score_key

REPORT_LIMIT = 64  # limits in a digest; 3 KB
ENDED_REPORT_S = 10.0  # in which digests report the end of a limit
# For which a limit is kept whose target isn't registered, as its entry may come back.
UNREGISTERED_MEMORY_S = 60.0
LATE_MESSAGE_S = 1.0  # by which a reported answer may be older than it seems


@dataclass(frozen=True)
class TargetLimitSettings:
    """How a target's limit is kept.

    Parameters
    ----------
    window_s : float
        Seconds over which the platform counts the requests at a target.
    tolerated_ratio, tolerated_requests : float
        A window may hold the limit's requests times the ratio and these requests.
    used_tolerance : float
        Fraction of that tolerance that hosts use for requests at the same time. The
        rest covers changes of the hosts.
    probe_rate : float
        Requests a second to a target whose limit is lower, so that the hosts learn of
        its end.
    """

    window_s: Annotated[float, Meta(gt=0)] = 4.0
    tolerated_ratio: Annotated[float, Meta(ge=1)] = 1.5
    tolerated_requests: Annotated[float, Meta(ge=2)] = 5.0
    used_tolerance: Annotated[float, Meta(gt=0, le=1)] = 0.5
    probe_rate: Annotated[float, Meta(gt=0)] = 0.1

    def compute_burst(self, rate: float) -> float:
        """Return the requests beyond `rate` that the hosts may send at once.

        Parameters
        ----------
        rate : float
            Requests a second.

        Returns
        -------
        float
            At least 1.
        """
        tolerance = (self.tolerated_ratio - 1) * rate * self.window_s
        tolerance += self.tolerated_requests
        return max(tolerance * self.used_tolerance, 1.0)


@dataclass
class _Limit:
    rate: float
    # When this host or a peer last got an answer that named it.
    named_at: float
    # When a request was answered that no longer named it; None while it is in force.
    ended_at: float | None = None
    # Whether this host got the latest of these answers.
    was_seen: bool = False
    # Requests that this host may send now, as of `refilled_at`.
    tokens: float = 0.0
    refilled_at: float = float("-inf")
    # Number of hosts before this one in the target's order, among `ranked_hosts`.
    rank: int = 0
    ranked_hosts: tuple[str, ...] = ()
    # When it came into force, as far as this host knows.
    began_at: float = float("-inf")


class TargetLimits:
    """Decides whether this host may send a request to a target; thread-safe.

    Parameters
    ----------
    settings : TargetLimitSettings
    host : str
        Name of this host.
    count_peer_sends : callable
        Returns the number of requests that the peers sent to a target in the last
        window, by its id.
    random : random.Random or None
        Source of the differences between callers that return; None for one that is
        seeded by the system.
    """

    def __init__(
        self,
        settings: TargetLimitSettings,
        *,
        host: str = "",
        count_peer_sends: Callable[[str], int] = lambda target: 0,
        random: Random | None = None,
    ) -> None:
        self.settings = settings
        self.host = host
        self.count_peer_sends = count_peer_sends
        self.random = random or Random()
        self.lock = threading.Lock()
        self.hosts: tuple[str, ...] = (host,)
        self.limits: dict[Incarnation, _Limit] = {}
        # Times of this host's sends in the last window.
        self.send_times: dict[Incarnation, deque[float]] = {}

    def set_hosts(self, hosts: Iterable[str]) -> None:
        """Set the names of the hosts that share the limits, this one included.

        Parameters
        ----------
        hosts : iterable of str
        """
        self.hosts = tuple(hosts)

    def note_answer(
        self,
        target: Incarnation,
        rate: float | None,
        *,
        sent_at: float,
        may_end: bool,
        now: float,
    ) -> bool:
        """Record what a target's answer to this host says of its limit.

        Parameters
        ----------
        target : (str, int)
        rate : float or None
            Requests a second; None if the answer names no limit.
        sent_at : float
            When the request was sent.
        may_end : bool
            Whether an answer without a limit ends it. It doesn't if the request was
            sent before the limit was named.
        now : float

        Returns
        -------
        bool
            Whether the limit in force has changed.
        """
        with self.lock:
            limit = self.limits.get(target)
            if rate is None:
                if limit is None or not may_end or sent_at <= limit.named_at:
                    return False
                has_changed = limit.ended_at is None
                limit.ended_at, limit.was_seen = now, True
                return has_changed
            return self._name(target, rate, at=now, was_seen=True, now=now)

    def _name(
        self,
        target: Incarnation,
        rate: float,
        *,
        at: float,
        was_seen: bool,
        now: float,
    ) -> bool:
        limit = self.limits.get(target)
        if limit is None:
            # Without tokens: other hosts may have used theirs just now.
            self.limits[target] = _Limit(
                rate, at, None, was_seen, refilled_at=now, began_at=at
            )
            return True
        if at < limit.named_at or (limit.ended_at is not None and at < limit.ended_at):
            return False
        self._refill(target, limit, now)
        has_changed = limit.ended_at is not None or limit.rate != rate
        if limit.ended_at is not None:
            limit.began_at = at
        limit.rate, limit.named_at, limit.ended_at = rate, at, None
        limit.was_seen = limit.was_seen or was_seen
        return has_changed

    def apply_report(self, report: TargetLimit, *, now: float) -> bool:
        """Apply a limit that was named to another host, or its end.

        Parameters
        ----------
        report : TargetLimit
        now : float

        Returns
        -------
        bool
            Whether the limit in force has changed.
        """
        target = (report.target, report.started_ms)
        at = now - report.age_s
        with self.lock:
            if report.rate is not None:
                return self._name(target, report.rate, at=at, was_seen=False, now=now)
            limit = self.limits.get(target)
            if limit is None or limit.ended_at is not None:
                return False
            if at <= limit.named_at + LATE_MESSAGE_S:
                return False
            limit.ended_at = at
            return True

    def build_reports(self, *, now: float) -> tuple[TargetLimit, ...]:
        """Return the limits that were named to this host, for its digests.

        Parameters
        ----------
        now : float

        Returns
        -------
        tuple of TargetLimit
            At most `REPORT_LIMIT`, the latest ones.
        """
        if not self.limits:
            return ()
        with self.lock:
            reports = [
                _build_report(target, limit, now)
                for target, limit in self.limits.items()
                if limit.was_seen
                and (limit.ended_at is None or now - limit.ended_at < ENDED_REPORT_S)
            ]
        reports.sort(key=lambda report: report.age_s)
        return tuple(reports[:REPORT_LIMIT])

    def count_sends(self, *, now: float) -> dict[str, int]:
        """Return this host's sends in the last window to targets with a limit.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict of str to int
            By target, for this host's digests.
        """
        if not self.limits:
            return {}
        with self.lock:
            return {
                target[0]: count
                for target in self.limits
                if (count := self._count_own_sends(target, now))
            }

    def retain(self, targets: Collection[Incarnation], *, now: float) -> None:
        """Drop what is known of targets that restarted or left.

        Parameters
        ----------
        targets : collection of (str, int)
            The registered ones.
        now : float
        """
        if not (self.limits or self.send_times):
            return
        ids = {target for target, _ in targets}
        with self.lock:
            for target, limit in list(self.limits.items()):
                is_old = now - limit.named_at >= UNREGISTERED_MEMORY_S
                if target not in targets and (target[0] in ids or is_old):
                    del self.limits[target]
            for target in list(self.send_times):
                if not self._count_own_sends(target, now):
                    del self.send_times[target]

    def is_limited(self, target: Incarnation) -> bool:
        """Return whether a target limits its requests.

        Parameters
        ----------
        target : (str, int)

        Returns
        -------
        bool
        """
        limit = self.limits.get(target)
        return limit is not None and limit.ended_at is None

    def get_rate(self, target: Incarnation) -> float:
        """Return the requests a second that all hosts together may send to a target.

        Parameters
        ----------
        target : (str, int)

        Returns
        -------
        float
            Infinite without a limit.
        """
        limit = self.limits.get(target)
        if limit is None or limit.ended_at is not None:
            return math.inf
        return max(limit.rate, self.settings.probe_rate)

    def get_share(self, target: Incarnation) -> float:
        """Return the requests a second that this host may send to a target.

        Parameters
        ----------
        target : (str, int)

        Returns
        -------
        float
            Infinite without a limit.
        """
        with self.lock:
            limit = self.limits.get(target)
            if limit is None or limit.ended_at is not None:
                return math.inf
            return self._compute_share(target, limit)[0]

    def get_wait_s(self, target: Incarnation, *, now: float) -> float:
        """Return the seconds until this host may send a request to a target.

        Parameters
        ----------
        target : (str, int)
        now : float

        Returns
        -------
        float
            Infinite if only other hosts may.
        """
        if not self.is_limited(target):
            return 0.0
        with self.lock:
            return self._get_wait_s(target, now)

    def try_send(self, target: Incarnation, *, now: float) -> bool:
        """Count a request that is about to be sent to a target if its limit allows it.

        Parameters
        ----------
        target : (str, int)
        now : float

        Returns
        -------
        bool
        """
        with self.lock:
            if self._get_wait_s(target, now) > 0:
                return False
            limit = self.limits.get(target)
            if limit is not None:
                limit.tokens -= 1
            times = self.send_times.setdefault(target, deque())
            times.append(now)
            self._count_own_sends(target, now)
            return True

    def get_ages(
        self, target: Incarnation, *, now: float
    ) -> tuple[float, float] | None:
        """Return how long a target's limit is in force, and the age of its last report.

        Parameters
        ----------
        target : (str, int)
        now : float

        Returns
        -------
        (float, float) or None
            Seconds; None without a limit.
        """
        limit = self.limits.get(target)
        if limit is None or limit.ended_at is not None:
            return None
        return now - limit.began_at, now - limit.named_at

    def build_copy(self) -> "TargetLimits":
        """Return a copy, to look at without refilling what this host may send.

        Returns
        -------
        TargetLimits
        """
        duplicate = copy.copy(self)
        duplicate.lock = threading.Lock()
        with self.lock:
            duplicate.limits = {
                target: replace(limit) for target, limit in self.limits.items()
            }
            duplicate.send_times = {
                target: times.copy()
                for target, times in self.send_times.items()
                if target in self.limits
            }
        return duplicate

    def _get_wait_s(self, target: Incarnation, now: float) -> float:
        limit = self.limits.get(target)
        if limit is None or limit.ended_at is not None:
            return 0.0
        share, _ = self._compute_share(target, limit)
        if not share:
            return math.inf
        self._refill(target, limit, now)
        wait_s = max(1.0 - limit.tokens, 0.0) / share
        rate = self.get_rate(target)
        settings = self.settings
        allowed = rate * settings.window_s + settings.compute_burst(rate)
        sent = self._count_own_sends(target, now) + self.count_peer_sends(target[0])
        if sent + 1 > allowed:
            # The window is about as full as the limit lets it be for some time.
            wait_s = max(wait_s, (sent + 1 - allowed) / rate)
        return wait_s

    def _refill(self, target: Incarnation, limit: _Limit, now: float) -> None:
        share, capacity = self._compute_share(target, limit)
        elapsed_s = max(now - limit.refilled_at, 0.0)
        limit.tokens = min(limit.tokens + elapsed_s * share, capacity)
        limit.refilled_at = now

    def _compute_share(self, target: Incarnation, limit: _Limit) -> tuple[float, float]:
        """Return this host's rate and the tokens it can hold; zeros without a share."""
        rate = self.get_rate(target)
        if rate is math.inf:
            return 0.0, 0.0
        if limit.ranked_hosts is not self.hosts:
            limit.ranked_hosts = self.hosts
            own_score = score_key(target[0], self.host)
            limit.rank = sum(
                score_key(target[0], host) > own_score for host in limit.ranked_hosts
            )
        burst = self.settings.compute_burst(rate)
        count = min(len(limit.ranked_hosts), int(burst))
        if limit.rank >= count:
            return 0.0, 0.0
        return rate / count, burst / count

    def _count_own_sends(self, target: Incarnation, now: float) -> int:
        times = self.send_times.get(target)
        if times is None:
            return 0
        while times and times[0] <= now - self.settings.window_s:
            times.popleft()
        return len(times)


def _build_report(target: Incarnation, limit: _Limit, now: float) -> TargetLimit:
    if limit.ended_at is None:
        return TargetLimit(*target, limit.rate, now - limit.named_at)
    return TargetLimit(*target, None, now - limit.ended_at)
