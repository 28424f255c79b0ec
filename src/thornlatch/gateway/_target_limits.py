"""Limits on the rate of requests to single targets, and this host's share of them.

A limit holds for all hosts together. The right to send to the target is divided among a
few hosts, chosen by rendezvous hashing, so that the requests that they may send at once
don't grow with the fleet. There are two reasons for a limit, which may hold together:

- A target names a rate in its answers. The hosts also report what they sent lately:
  together they send no more in a window than the limit allows, counting what was sent
  before it was known.
- A target is cold: it has just started, or says so. The configuration names the rate
  that it tolerates. Here the shares alone keep the bound, also among hosts that don't
  hear of each other.
"""

import copy
import math
import threading
from collections import deque
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from functools import lru_cache
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
COLD_LIMIT_S = 60.0  # longest time for which a target is taken to be cold
PEER_SOURCE = "peer"
MIN_USED_RATE = 0.9  # of a cold target's rate, for which fewer hosts get a share
# A host with a bucket of one request and this part of a rate of k requests in a window
# sends no more than k in any window.
FULL_WINDOW_RATIO = 0.99
COLD_EXTENSION_S = 0.5  # shorter extensions of a cold time are no news


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


@dataclass(frozen=True)
class ColdTargetSettings:
    """How many requests a cold target may get.

    Parameters
    ----------
    window_s : float
        Seconds over which the platform counts the requests at a target.
    tolerated_ratio, tolerated_requests : float
        A window may hold the requests of the rate times the ratio and these requests.
    used_ratio : float
        Fraction of that bound that the hosts use together. The rest covers hosts whose
        lists of hosts differ, and requests sent before the target was known to be cold.
    """

    window_s: Annotated[float, Meta(gt=0)] = 1.0
    tolerated_ratio: Annotated[float, Meta(ge=0)] = 1.5
    tolerated_requests: Annotated[float, Meta(ge=0)] = 5.0
    used_ratio: Annotated[float, Meta(gt=0, le=1)] = 0.65

    def divide(self, rate: float, hosts: int) -> "RateShare":
        """Divide the requests that a cold target may get among hosts.

        Parameters
        ----------
        rate : float
            Requests a second that the target tolerates.
        hosts : int
            Number of hosts of the fleet; at least 1.

        Returns
        -------
        RateShare
            In any window the hosts with a share together send no more than
            `used_ratio` of the bound.
        """
        return _divide_cold(self, rate, hosts)


@dataclass(frozen=True)
class RateShare:
    """Token bucket of each of the hosts that share a limit.

    Parameters
    ----------
    hosts : int
        Number of hosts with a share.
    rate : float
        Requests a second of each.
    capacity : float
        Requests that each may send at once.
    """

    hosts: int
    rate: float
    capacity: float


NO_SHARE = RateShare(0, 0.0, 0.0)


@lru_cache(maxsize=256)
def _divide_cold(settings: ColdTargetSettings, rate: float, hosts: int) -> RateShare:
    """Return the share of each of as many hosts as can use the rate together."""
    window_s = settings.window_s
    bound = settings.tolerated_ratio * rate * window_s + settings.tolerated_requests
    usable = bound * settings.used_ratio
    best = NO_SHARE
    for count in range(min(hosts, int(usable)), 0, -1):
        # Whole requests that each may send in any window.
        requests = int(usable / count)
        host_rate = min(rate / count, FULL_WINDOW_RATIO * requests / window_s)
        if best is NO_SHARE or count * host_rate > best.hosts * best.rate:
            capacity = max(requests - host_rate * window_s, 1.0)
            best = RateShare(count, host_rate, capacity)
        if best.hosts * best.rate >= MIN_USED_RATE * rate:
            break
    return best


@dataclass
class _Bucket:
    # Requests that this host may send now, as of `refilled_at`.
    tokens: float = 0.0
    refilled_at: float = float("-inf")
    # Number of hosts before this one in the target's order, among `ranked_hosts`.
    rank: int = 0
    ranked_hosts: tuple[str, ...] = ()

    def refill(self, share: RateShare, now: float) -> None:
        """Add the tokens of the time since the last refill."""
        elapsed_s = max(now - self.refilled_at, 0.0)
        self.tokens = min(self.tokens + elapsed_s * share.rate, share.capacity)
        # A thread may have read the clock before another one that refilled the bucket.
        self.refilled_at = max(self.refilled_at, now)


@dataclass
class _Limit(_Bucket):
    rate: float = math.inf
    # When this host or a peer last got an answer that named it.
    named_at: float = float("-inf")
    # When a request was answered that no longer named it; None while it is in force.
    ended_at: float | None = None
    # Whether this host got the latest of these answers.
    was_seen: bool = False
    # When it came into force, as far as this host knows.
    began_at: float = float("-inf")


@dataclass
class _ColdPeriod(_Bucket):
    # Empty if only peers told of it.
    service: str = ""
    # Requests a second that a peer reported; the configuration's rate goes first.
    reported_rate: float = 0.0
    since: float = float("-inf")
    until: float = float("-inf")
    source: str = ""
    # When this host got an answer that told of it; None if it knows from elsewhere.
    seen_at: float | None = None
    # Whether this host had a share when it last looked.
    had_share: bool = True


@dataclass(frozen=True)
class ColdTarget:
    """A target that is cold, for operators.

    Parameters
    ----------
    target : str
    started_ms : int
    since_s, left_s : float
        Seconds since it became cold as far as this host knows, and until it is warm.
    source : str
        What told of it last.
    rate : float
        Requests a second that all hosts together may send to it.
    share : float
        Those of this host.
    sent : int
        Requests that this host sent to it in the last window.
    """

    target: str
    started_ms: int
    since_s: float
    left_s: float
    source: str
    rate: float
    share: float
    sent: int


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
    cold_settings : ColdTargetSettings
    started_at : float
        When this host started. Its former process may have sent until then.
    """

    def __init__(
        self,
        settings: TargetLimitSettings,
        *,
        host: str = "",
        count_peer_sends: Callable[[str], int] = lambda target: 0,
        random: Random | None = None,
        cold_settings: ColdTargetSettings = ColdTargetSettings(),  # noqa: B008
        started_at: float = float("-inf"),
    ) -> None:
        self.settings = settings
        self.cold_settings = cold_settings
        self.host = host
        self.count_peer_sends = count_peer_sends
        self.random = random or Random()
        self.lock = threading.Lock()
        self.hosts: tuple[str, ...] = (host,)
        self.limits: dict[Incarnation, _Limit] = {}
        self.cold: dict[Incarnation, _ColdPeriod] = {}
        # Requests a second that a cold target of a service tolerates.
        self.cold_rates: dict[str, float] = {}
        self.started_at = started_at
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
                rate=rate,
                named_at=at,
                was_seen=was_seen,
                refilled_at=now,
                began_at=at,
            )
            return True
        if at < limit.named_at or (limit.ended_at is not None and at < limit.ended_at):
            return False
        limit.refill(self._compute_share(target, limit), now)
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
            Whether the limit in force has changed. Cold times aren't limits in force.
        """
        target = (report.target, report.started_ms)
        at = now - report.age_s
        with self.lock:
            if report.ends_in_s is not None:
                left_s = report.ends_in_s - report.age_s
                period = self._extend_cold(target, left_s, "", PEER_SOURCE, now)
                if period is not None:
                    period.reported_rate = report.rate or 0.0
                return False
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
        if not (self.limits or self.cold):
            return ()
        with self.lock:
            reports = [
                _build_report(target, limit, now)
                for target, limit in self.limits.items()
                if limit.was_seen
                and (limit.ended_at is None or now - limit.ended_at < ENDED_REPORT_S)
            ]
            reports += [
                TargetLimit(
                    *target,
                    self._get_cold_rate(period),
                    now - period.seen_at,
                    period.until - period.seen_at,
                )
                for target, period in self.cold.items()
                if period.seen_at is not None and now < period.until
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

        Later incarnations than the registered ones are kept: peers may tell of them
        first, and another thread may register one meanwhile.

        Parameters
        ----------
        targets : collection of (str, int)
            The registered ones.
        now : float
        """
        if not (self.limits or self.send_times or self.cold):
            return
        started_ms = dict(targets)

        def has_restarted(target: Incarnation) -> bool:
            return target[1] < started_ms.get(target[0], target[1])

        with self.lock:
            for target in list(self.cold):
                if has_restarted(target):
                    del self.cold[target]
            for target, limit in list(self.limits.items()):
                is_old = now - limit.named_at >= UNREGISTERED_MEMORY_S
                if has_restarted(target) or (is_old and target not in targets):
                    del self.limits[target]
            for target in list(self.send_times):
                if not self._count_own_sends(target, now):
                    del self.send_times[target]

    def set_cold_rates(self, rates: Mapping[str, float]) -> None:
        """Set the requests a second that cold targets tolerate.

        Parameters
        ----------
        rates : mapping of str to float
            By service; services without a limit are absent.
        """
        with self.lock:
            self.cold_rates = dict(rates)

    def note_cold(
        self,
        target: Incarnation,
        service: str,
        remaining_s: float,
        *,
        source: str,
        now: float,
        was_seen: bool = False,
    ) -> bool:
        """Record that a target is cold; a known time is only ever lengthened.

        Parameters
        ----------
        target : (str, int)
        service : str
        remaining_s : float
            Seconds from now; cut at `COLD_LIMIT_S`, without effect if not positive.
        source : str
            What told of it, for operators.
        now : float
        was_seen : bool
            Whether it is from an answer to this host, which peers don't know of.

        Returns
        -------
        bool
            Whether the time has begun or has been lengthened noticeably.
        """
        with self.lock:
            known = self.cold.get(target)
            known_until = known.until if known is not None else float("-inf")
            period = self._extend_cold(target, remaining_s, service, source, now)
            if period is None:
                return False
            if was_seen:
                period.seen_at = now
            return period.until - max(known_until, now) > COLD_EXTENSION_S

    def _extend_cold(
        self,
        target: Incarnation,
        remaining_s: float,
        service: str,
        source: str,
        now: float,
    ) -> _ColdPeriod | None:
        if not remaining_s > 0:
            return None
        until = now + min(remaining_s, COLD_LIMIT_S)
        period = self.cold.get(target)
        if period is None or now >= period.until:
            period = _ColdPeriod(service=service, since=now, refilled_at=now)
            share = self._compute_cold_share(target, period)
            period.had_share = share.rate > 0
            if period.had_share and not self._may_have_just_sent(target, now):
                # Hosts with a share begin one after the other, not all at once after
                # the time in which an empty bucket fills.
                period.tokens = period.rank / share.hosts
            self.cold[target] = period
        period.service = period.service or service
        if until > period.until:
            period.until, period.source = until, source
        return period

    def _may_have_just_sent(self, target: Incarnation, now: float) -> bool:
        """Return whether this host, or its former process, may have sent just now."""
        if now - self.started_at < self.cold_settings.window_s:
            return True
        return self._count_own_sends(target, now) > 0

    def pop_warm(self, *, now: float) -> tuple[Incarnation, ...]:
        """Drop the targets whose cold time has ended, and return them.

        Parameters
        ----------
        now : float

        Returns
        -------
        tuple of (str, int)
        """
        if not self.cold:
            return ()
        with self.lock:
            warm = [
                target for target, period in self.cold.items() if now >= period.until
            ]
            for target in warm:
                del self.cold[target]
        return tuple(warm)

    def list_cold(self, *, now: float) -> tuple[ColdTarget, ...]:
        """Return the targets that are cold, for operators.

        Parameters
        ----------
        now : float

        Returns
        -------
        tuple of ColdTarget
        """
        with self.lock:
            cold = [self._describe_cold(target, now) for target in self.cold]
        return tuple(target for target in cold if target is not None)

    def describe_cold(self, target: Incarnation, *, now: float) -> ColdTarget | None:
        """Return the cold time of a target, for operators.

        Parameters
        ----------
        target : (str, int)
        now : float

        Returns
        -------
        ColdTarget or None
            None if it isn't cold.
        """
        with self.lock:
            return self._describe_cold(target, now)

    def _describe_cold(self, target: Incarnation, now: float) -> ColdTarget | None:
        period = self.cold.get(target)
        if period is None or now >= period.until:
            return None
        window_s = self.cold_settings.window_s
        return ColdTarget(
            *target,
            round(now - period.since, 3),
            round(period.until - now, 3),
            period.source,
            self._get_cold_rate(period),
            self._compute_cold_share(target, period).rate,
            sum(
                sent_at > now - window_s for sent_at in self.send_times.get(target, ())
            ),
        )

    def is_cold(self, target: Incarnation) -> bool:
        """Return whether a target is cold and its requests are limited for that.

        Parameters
        ----------
        target : (str, int)

        Returns
        -------
        bool
            Up to a turn later than its end.
        """
        return self._get_cold(target) is not None

    def is_limited(self, target: Incarnation) -> bool:
        """Return whether a target limits its requests, or is cold.

        Parameters
        ----------
        target : (str, int)

        Returns
        -------
        bool
        """
        return self._get_named(target) is not None or self.is_cold(target)

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
        rate = self._get_named_rate(target)
        period = self._get_cold(target)
        if period is not None:
            rate = min(rate, self._get_cold_rate(period))
        return rate

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
        share = math.inf
        with self.lock:
            limit = self._get_named(target)
            if limit is not None:
                share = self._compute_share(target, limit).rate
            period = self._get_cold(target)
            if period is not None:
                share = min(share, self._compute_cold_share(target, period).rate)
        return share

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
        """Count a request that is about to be sent to a target if its limits allow it.

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
            for buckets in (self.limits, self.cold):
                bucket = buckets.get(target)
                if bucket is not None:
                    bucket.tokens -= 1
            times = self.send_times.setdefault(target, deque())
            times.append(now)
            self._count_own_sends(target, now)
            return True

    def _get_named(self, target: Incarnation) -> _Limit | None:
        """Return the limit in force that a target named."""
        limit = self.limits.get(target)
        return limit if limit is not None and limit.ended_at is None else None

    def _get_cold(self, target: Incarnation) -> _ColdPeriod | None:
        """Return the cold time of a target whose requests are limited for it."""
        period = self.cold.get(target)
        is_limited = period is not None and self._get_cold_rate(period) > 0
        return period if is_limited else None

    def _get_named_rate(self, target: Incarnation) -> float:
        limit = self._get_named(target)
        if limit is None:
            return math.inf
        return max(limit.rate, self.settings.probe_rate)

    def _get_cold_rate(self, period: _ColdPeriod) -> float:
        """Return the requests a second that a cold target tolerates; 0 for no limit."""
        return self.cold_rates.get(period.service, period.reported_rate)

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
        limit = self._get_named(target)
        if limit is None:
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
            duplicate.cold = {
                target: replace(period) for target, period in self.cold.items()
            }
            duplicate.send_times = {
                target: times.copy()
                for target, times in self.send_times.items()
                if target in self.limits or target in self.cold
            }
        return duplicate

    def _get_wait_s(self, target: Incarnation, now: float) -> float:
        return max(
            self._get_named_wait_s(target, now), self._get_cold_wait_s(target, now)
        )

    def _get_cold_wait_s(self, target: Incarnation, now: float) -> float:
        period = self._get_cold(target)
        if period is None or now >= period.until:
            return 0.0
        share = self._compute_cold_share(target, period)
        left_s = period.until - now
        if not share.rate:
            # Other hosts' requests keep the target busy meanwhile.
            period.had_share = False
            return left_s
        if not period.had_share:
            # Hosts that had the share before may just have sent.
            period.had_share, period.tokens = True, 0.0
            period.refilled_at = max(period.refilled_at, now)
        period.refill(share, now)
        return min(max(1.0 - period.tokens, 0.0) / share.rate, left_s)

    def _get_named_wait_s(self, target: Incarnation, now: float) -> float:
        limit = self._get_named(target)
        if limit is None:
            return 0.0
        share = self._compute_share(target, limit)
        if not share.rate:
            return math.inf
        limit.refill(share, now)
        wait_s = max(1.0 - limit.tokens, 0.0) / share.rate
        rate = self._get_named_rate(target)
        settings = self.settings
        allowed = rate * settings.window_s + settings.compute_burst(rate)
        sent = self._count_own_sends(target, now) + self.count_peer_sends(target[0])
        if sent + 1 > allowed:
            # The window is about as full as the limit lets it be for some time.
            wait_s = max(wait_s, (sent + 1 - allowed) / rate)
        return wait_s

    def _compute_share(self, target: Incarnation, limit: _Limit) -> RateShare:
        """Return this host's share of a limit that a target named."""
        rate = self._get_named_rate(target)
        if rate is math.inf:
            return NO_SHARE
        self._rank(target, limit)
        burst = self.settings.compute_burst(rate)
        count = min(len(limit.ranked_hosts), int(burst))
        if limit.rank >= count:
            return NO_SHARE
        return RateShare(count, rate / count, burst / count)

    def _compute_cold_share(
        self, target: Incarnation, period: _ColdPeriod
    ) -> RateShare:
        """Return this host's share of what a cold target tolerates."""
        self._rank(target, period)
        rate = self._get_cold_rate(period)
        share = self.cold_settings.divide(rate, max(len(period.ranked_hosts), 1))
        return share if period.rank < share.hosts else NO_SHARE

    def _rank(self, target: Incarnation, bucket: _Bucket) -> None:
        if bucket.ranked_hosts is not self.hosts:
            bucket.ranked_hosts = self.hosts
            own_score = score_key(target[0], self.host)
            bucket.rank = sum(
                score_key(target[0], host) > own_score for host in bucket.ranked_hosts
            )

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
