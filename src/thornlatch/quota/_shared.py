"""One token bucket an organisation, of which each host keeps its own copy.

Every host tells the others what it has spent so far, and takes what they spent off its
copy; until its next digest, a host is taken to go on spending as it did. A host that
isn't heard of is taken to spend an equal part of the rate, and spends no more than that
itself while it hears of nobody, so that the sum stays within the quota on both sides of
any partition without a holder that could fail.
"""

import math
import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

from thornlatch.quota._window import SpendWindow
from thornlatch.routing import Organisation


@dataclass(frozen=True)
class QuotaSettings:
    """How copies of a bucket begin and how long a peer's figures hold.

    Parameters
    ----------
    first_fill_s : float
        Seconds of the rate that a bucket holds when its host starts; the hosts before
        may have used the whole burst just then.
    settle_s : float
        Seconds after the start in which peers' figures are taken as a beginning.
    silent_s : float
        Seconds without a digest after which a peer's spending is assumed.
    wait_limit_s : float
        Longest time that a refused caller is told to wait.
    large_fleet_ratio : float
        Part of a burst that is used in a large fleet. Its hosts hear of each other's
        spending later, so that several may use up the same tokens.
    window_s : float
        Seconds over which the platform judges a quota: each such window may hold the
        rate's tokens and a burst. 0 for a plain bucket of the rate and the burst.
    sustained_ratio : float
        Part of a burst beyond `late_s` that each window adds to the rate of an
        organisation which goes on asking.
    late_s : float
        Seconds of the rate that are left for what hosts hear late of each other.
    """

    first_fill_s: Annotated[float, Meta(ge=0)] = 1.0
    settle_s: Annotated[float, Meta(ge=0)] = 1.5
    silent_s: Annotated[float, Meta(gt=0)] = 0.45
    wait_limit_s: Annotated[float, Meta(gt=0)] = 5.0
    large_fleet_ratio: Annotated[float, Meta(gt=0, le=1)] = 0.5
    window_s: Annotated[float, Meta(ge=0)] = 0.0
    sustained_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.75
    late_s: Annotated[float, Meta(ge=0)] = 1.0


RATE_SMOOTHING = 0.5  # weight of the newest digest in a peer's rate of spending
ADVANCE_PERIOD_S = 0.005  # between two accounts of what peers are spending


@dataclass
class _Peer:
    heard_at: float
    is_silent: bool = False
    # Tokens a second that it spent lately, by organisation.
    rates: dict[str, float] = field(default_factory=dict)


@dataclass
class _Stream:
    """Tokens that the hosts of a domain have spent, as one relay tells."""

    domain: str
    heard_at: float
    totals: dict[str, int] = field(default_factory=dict)
    # The totals up to which the domain's spending has been taken off already.
    counted: dict[str, int] = field(default_factory=dict)
    rates: dict[str, float] = field(default_factory=dict)


@dataclass
class _Bucket:
    rate: float
    burst: float
    level: float
    spent: int = 0
    # Tokens of refused callers who were told to come back later.
    promised: float = 0.0
    # What silent peers are taken to have spent since they were last heard of.
    assumed: dict[str, float] = field(default_factory=dict)
    # None for a plain bucket.
    window: SpendWindow | None = None
    refill: float = 0.0

    @property
    def window_room(self) -> float:
        """Tokens that the present window may still hold."""
        if self.window is None:
            return math.inf
        limit = _sum_window(self.rate, self.burst, self.window.window_s)
        return limit - self.window.total

    @property
    def room(self) -> float:
        """Tokens that may be spent now."""
        return min(self.level, self.window_room)

    def charge(self, tokens: float, now: float) -> None:
        """Count tokens as spent."""
        self.level = min(self.level - tokens, self.burst)
        if self.window is not None:
            self.window.add(tokens, now=now)

    def give_back(self, tokens: float, now: float, *, since: float) -> None:
        """Count tokens as not spent that were charged from a moment on."""
        self.level = min(self.level + tokens, self.burst)
        if self.window is not None and tokens:
            self.window.take_back(tokens, since=since, now=now)

    def get_wait_s(self, tokens: float, now: float) -> float:
        """Return the seconds until so many tokens may be spent."""
        wait_s = max(tokens - self.level, 0.0) / self.refill
        missing = tokens - self.window_room
        if self.window is None or missing <= 0:
            return wait_s
        return max(wait_s, self.window.get_wait_s(missing, now=now))

    def begin(self, told: float) -> None:
        """Take over what a host knows that was there before."""
        # What was spent before this host's start stands in the level.
        self.level = min(self.level, told - self.spent)


def _sum_window(rate: float, burst: float, window_s: float) -> float:
    """Return the tokens that a window may hold."""
    return rate * window_s + burst


def _smooth(rates: dict[str, float], name: str, newest: float) -> None:
    former = rates.get(name, 0.0)
    rates[name] = former + RATE_SMOOTHING * (newest - former)


class SharedQuota:
    """Decides whether an organisation may spend tokens now; safe for threads.

    Parameters
    ----------
    settings : QuotaSettings
    now : float
        Start of this host.
    """

    def __init__(self, settings: QuotaSettings, *, now: float) -> None:
        self.settings = settings
        self.started_at = now
        self.knows_peers = False
        self.silent_s = settings.silent_s
        self.is_large = False
        self.organisations: tuple[Organisation, ...] = ()
        self.advanced_at = now
        self.lock = threading.Lock()
        self.buckets: dict[str, _Bucket] = {}
        self.peers: dict[str, _Peer] = {}
        self.streams: dict[str, _Stream] = {}
        # Kept after a peer has gone: one that is stopping still speaks for a while.
        self.totals: dict[str, dict[str, int]] = {}

    def set_organisations(
        self, organisations: Iterable[Organisation], *, now: float
    ) -> None:
        """Bring rates and bursts into force.

        Parameters
        ----------
        organisations : iterable of Organisation
        now : float
        """
        with self.lock:
            self._advance(now)
            self.organisations = tuple(organisations)
            self._fit_buckets()

    def set_large_fleet(self, is_large: bool, *, now: float) -> None:
        """Say whether the fleet is large, so that hosts hear of each other late.

        Parameters
        ----------
        is_large : bool
        now : float
        """
        with self.lock:
            self._advance(now)
            self.is_large = is_large
            self._fit_buckets()

    def _fit_buckets(self) -> None:
        ratio = self.settings.large_fleet_ratio if self.is_large else 1.0
        window_s = self.settings.window_s
        for one in self.organisations:
            burst = one.burst * ratio
            bucket = self.buckets.get(one.name)
            if bucket is None:
                first = min(burst, one.rate * self.settings.first_fill_s)
                bucket = self.buckets[one.name] = _Bucket(one.rate, burst, first)
            former = _sum_window(bucket.rate, bucket.burst, window_s)
            if _sum_window(one.rate, burst, window_s) < former:
                # What was spent under a higher limit isn't held against a lower one.
                bucket.window = None
            bucket.rate, bucket.burst = one.rate, burst
            bucket.level = min(bucket.level, burst)
            self._fit_window(bucket)

    def _fit_window(self, bucket: _Bucket) -> None:
        window_s = self.settings.window_s
        bucket.refill = bucket.rate
        if not window_s or self.is_large:
            bucket.window = None
            return
        if bucket.window is None:
            bucket.window = SpendWindow(window_s)
        spare = max(bucket.burst - bucket.rate * self.settings.late_s, 0.0)
        bucket.refill += self.settings.sustained_ratio * spare / window_s

    def set_peers(self, peers: Iterable[str], *, now: float) -> None:
        """Say which other hosts may be spending.

        Parameters
        ----------
        peers : iterable of str
        now : float
        """
        with self.lock:
            self._advance(now)
            self.knows_peers = True
            known = set(peers)
            for name in self.peers.keys() - known:
                del self.peers[name]
                for bucket in self.buckets.values():
                    # It has gone; what it was taken to have spent, it may have.
                    bucket.assumed.pop(name, None)
            for name in known - self.peers.keys():
                # Until it is heard of it may spend its part.
                self.peers[name] = _Peer(float("-inf"))

    def apply_peer_digest(
        self, host: str, spent: Mapping[str, int], levels: Mapping[str, int], now: float
    ) -> None:
        """Take off what a peer has spent since its digest before.

        Parameters
        ----------
        host : str
        spent : mapping of str to int
            Tokens since the peer's start.
        levels : mapping of str to int
            Tokens left in the peer's copy.
        now : float
        """
        with self.lock:
            self._advance(now)
            is_settling = now - self.started_at < self.settings.settle_s
            totals = self.totals.setdefault(host, {})
            peer = self.peers.get(host)
            heard_at = peer.heard_at if peer is not None else now
            for name, bucket in self.buckets.items():
                total = spent.get(name, 0)
                bucket.give_back(bucket.assumed.pop(host, 0.0), now, since=heard_at)
                if name not in totals and is_settling:
                    bucket.begin(levels.get(name, bucket.burst))
                else:
                    fresh = total - totals.get(name, 0)
                    if name not in totals:
                        # What it spent long ago has been made up for by the rate.
                        fresh = min(fresh, int(bucket.burst))
                    bucket.charge(fresh, now)
                    if peer is not None and now > peer.heard_at:
                        _smooth(peer.rates, name, fresh / (now - peer.heard_at))
                totals[name] = total
            if peer is not None:
                peer.heard_at = now
                peer.is_silent = False

    def apply_domain_digest(
        self,
        domain: str,
        relay: str,
        spent: Mapping[str, int],
        levels: Mapping[str, int],
        *,
        hosts: Iterable[str],
        is_used: bool,
        now: float,
    ) -> None:
        """Take off what a domain's other hosts have spent since its word before.

        Parameters
        ----------
        domain, relay : str
            The totals of two relays of a domain begin at different moments, so each is
            counted on by itself, and one of them is used.
        spent, levels : mapping of str to int
            As in `apply_peer_digest`, of all of these hosts together.
        hosts : iterable of str
            Those that the relay hears of.
        is_used : bool
        now : float
        """
        with self.lock:
            self._advance(now)
            name = f"{domain}/{relay}"
            stream = self.streams.get(name)
            is_new = stream is None
            if stream is None:
                stream = self.streams[name] = _Stream(domain, now)
            if is_used and is_new:
                self._begin(levels, now)
            elif is_used:
                self._take_off(name, stream, spent, now)
            else:
                stream.rates = {}
            stream.totals = dict(spent)
            stream.heard_at = now
            if is_used:
                self._note_counted(domain)
            self._hear(hosts, now, are_counted=is_used and not is_new)

    def _begin(self, levels: Mapping[str, int], now: float) -> None:
        if now - self.started_at >= self.settings.settle_s:
            return
        for organisation, bucket in self.buckets.items():
            bucket.begin(levels.get(organisation, bucket.burst))

    def _take_off(
        self, name: str, stream: _Stream, spent: Mapping[str, int], now: float
    ) -> None:
        elapsed = now - stream.heard_at
        others = [n for n, one in self.streams.items() if one.domain == stream.domain]
        others.remove(name)
        for organisation, bucket in self.buckets.items():
            total = spent.get(organisation, 0)
            assumed = bucket.assumed.pop(name, 0.0)
            bucket.give_back(assumed, now, since=stream.heard_at)
            fresh: float = total - stream.counted.get(organisation, 0)
            for other in others:
                # The relay before may have heard of more hosts than this one.
                fresh = max(fresh - bucket.assumed.pop(other, 0.0), min(fresh, 0.0))
            bucket.charge(fresh, now)
            if elapsed > 0:
                change = total - stream.totals.get(organisation, 0)
                _smooth(stream.rates, organisation, max(change, 0) / elapsed)

    def _note_counted(self, domain: str) -> None:
        """Note that a domain's spending is taken off up to now."""
        for stream in self.streams.values():
            if stream.domain == domain:
                # Should this relay be used next, what it has told before is known.
                stream.counted = stream.totals

    def _hear(self, hosts: Iterable[str], now: float, *, are_counted: bool) -> None:
        for host in hosts:
            peer = self.peers.get(host)
            if peer is None:
                continue
            heard_at, peer.heard_at = peer.heard_at, now
            if peer.is_silent:
                peer.is_silent = False
                for bucket in self.buckets.values():
                    assumed = bucket.assumed.pop(host, 0.0)
                    if are_counted:
                        # What it has spent meanwhile stands in its domain's digest.
                        bucket.give_back(assumed, now, since=heard_at)

    def try_spend(self, organisation: str, tokens: int, *, now: float) -> float | None:
        """Spend tokens, or return when there will be enough.

        Parameters
        ----------
        organisation : str
        tokens : int
        now : float

        Returns
        -------
        float or None
            None if they were spent; else seconds until they can be.
        """
        with self.lock:
            self._advance(now)
            bucket = self.buckets.get(organisation)
            if bucket is None or bucket.rate <= 0:
                return None
            # A request larger than the burst would never get through otherwise.
            needed = min(tokens, bucket.burst)
            if bucket.room < needed:
                # Told the same time, all refused callers would come back at once.
                wait_s = bucket.get_wait_s(needed + bucket.promised, now)
                bucket.promised += tokens
                return min(wait_s, self.settings.wait_limit_s)
            bucket.charge(tokens, now)
            bucket.spent += tokens
            return None

    def give_back(self, organisation: str, tokens: int, *, now: float) -> None:
        """Return tokens of a request that has not run.

        Parameters
        ----------
        organisation : str
        tokens : int
        now : float
        """
        with self.lock:
            self._advance(now)
            bucket = self.buckets.get(organisation)
            if bucket is None or bucket.rate <= 0:
                return
            bucket.give_back(tokens, now, since=now)
            bucket.spent -= tokens

    def get_spent(self, *, now: float) -> tuple[dict[str, int], dict[str, int]]:
        """Return tokens spent since the start, and left, by organisation.

        Parameters
        ----------
        now : float

        Returns
        -------
        (dict, dict)
        """
        with self.lock:
            self._advance(now)
            limited = {n: b for n, b in self.buckets.items() if b.rate > 0}
            return (
                {name: bucket.spent for name, bucket in limited.items()},
                {name: int(bucket.room) for name, bucket in limited.items()},
            )

    def _advance(self, now: float) -> None:
        elapsed = now - self.advanced_at
        if elapsed < ADVANCE_PERIOD_S:
            return
        self.advanced_at = now
        part = 1 / (len(self.peers) + 1)
        for name, peer in self.peers.items():
            if peer.is_silent or now - peer.heard_at < self.silent_s:
                continue
            peer.is_silent = True
            for bucket in self.buckets.values():
                # It may use up its part of what was left.
                self._assume(bucket, name, max(bucket.level, 0.0) * part, now)
        # In a large fleet most peers spend in streams, and nothing by themselves.
        spending = [
            (name, peer)
            for name, peer in self.peers.items()
            if peer.is_silent or peer.rates
        ]
        # Others may have spent more just before this host's start than it knows of.
        is_new = now - self.started_at < self.settings.window_s
        for organisation, bucket in self.buckets.items():
            refill = bucket.rate if is_new else bucket.refill
            bucket.level = min(bucket.level + refill * elapsed, bucket.burst)
            bucket.promised = max(bucket.promised - refill * elapsed, 0.0)
            if bucket.window is not None:
                bucket.window.expire(now=now)
            for name, peer in spending:
                rate = peer.rates.get(organisation, 0.0)
                if peer.is_silent:
                    rate = bucket.refill * part
                if rate > 0:
                    self._assume(bucket, name, rate * elapsed, now)
            for name, stream in self.streams.items():
                # Once a relay is silent, its hosts are, each for itself.
                if now - stream.heard_at < self.silent_s:
                    rate = stream.rates.get(organisation, 0.0)
                    self._assume(bucket, name, rate * elapsed, now)

    def _assume(self, bucket: _Bucket, peer: str, tokens: float, now: float) -> None:
        bucket.charge(tokens, now)
        bucket.assumed[peer] = bucket.assumed.get(peer, 0.0) + tokens
