"""Quotas of organisations as token buckets, of which each host keeps a replica.

Every host sends its total spending to the others, which charge it to their replicas.
Between two digests a peer is assumed to spend at its recent rate. A peer without a
recent digest is assumed to spend an equal share of the rate. A host that receives no
digests spends no more than that share itself. The sum therefore stays within the quota
on both sides of a network partition, without a central owner that could fail.
"""

import copy
import math
import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from random import Random
from types import MappingProxyType
from typing import Annotated

from msgspec import Meta

from thornlatch.quota._demand import RecentDemand, compute_admitted_ratio
from thornlatch.quota._window import SpendWindow
from thornlatch.routing import Organisation


@dataclass(frozen=True)
class QuotaSettings:
    """How buckets start, and how the spending of peers is accounted for.

    Parameters
    ----------
    first_fill_s : float
        Initial level of a bucket, in seconds of the rate. The hosts that ran before may
        have just used the whole burst.
    resumed_reserve_s : float
        Part of a bucket that is kept for streams that callers resume, in seconds of
        the rate; half of the burst at most. After the loss of all hosts they come
        together, and pay in full, as a target runs them again.
    resumed_first_s : float
        Seconds after the start in which that part falls to nothing.
    settle_s : float
        Seconds after the start during which a host adopts the levels of its peers.
    discovery_s : float
        Seconds after the start for which a host may not have heard from its peers.
        Requests that its own share of a quota doesn't cover may wait that long.
    silent_s : float
        Seconds without a digest after which a peer's spending is assumed.
    wait_limit_s : float
        Longest wait that a refused caller is given, in seconds.
    reserve_s, reserve_periods : float
        Seconds after which the hosts of a large fleet hear of each other's spending: a
        fixed part and a multiple of the period of digests. That many seconds of the
        rate aren't used of a burst, as several hosts may spend the same tokens, and
        hosts admit together what they may spend in that time.
    tolerance : float
        Tokens by which a window may exceed the quota because of late reports. The
        reserve is smaller by as much.
    window_s : float
        Length of the window over which the platform evaluates a quota, in seconds. A
        window may hold the tokens of the rate and one burst. 0 for a plain bucket with
        rate and burst, which a large fleet uses in any case.
    sustained_ratio : float
        Fraction of the burst beyond `late_s` that each window adds to the rate of an
        organisation with sustained demand.
    late_s : float
        Seconds of the rate reserved for spending that peers report late.
    """

    first_fill_s: Annotated[float, Meta(ge=0)] = 1.0
    resumed_reserve_s: Annotated[float, Meta(ge=0)] = 1.0
    resumed_first_s: Annotated[float, Meta(gt=0)] = 4.0
    settle_s: Annotated[float, Meta(ge=0)] = 1.5
    discovery_s: Annotated[float, Meta(ge=0)] = 2.0
    silent_s: Annotated[float, Meta(gt=0)] = 0.45
    wait_limit_s: Annotated[float, Meta(gt=0)] = 5.0
    reserve_s: Annotated[float, Meta(ge=0)] = 0.475
    reserve_periods: Annotated[float, Meta(ge=0)] = 1.65
    tolerance: Annotated[float, Meta(ge=0)] = 0.0
    window_s: Annotated[float, Meta(ge=0)] = 0.0
    sustained_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.75
    late_s: Annotated[float, Meta(ge=0)] = 1.0


# Longest time between two relays of a domain for which its spending is assumed.
GAP_LIMIT_S = 2.0
GAP_RATIO = 2.0  # of what the domain spent before, or of its part of the rate
RATE_SMOOTHING = 0.5  # weight of the latest digest in a peer's spending rate
# After this time, windows and buckets hold nothing of what was spent before.
FORGET_S = 60.0
HEARD_RATIO = 0.6  # of the peers, from which on a host knows what is spent
# Of the tolerance, by which repeats may overdraw: new requests wait until it is paid.
REPEAT_DEBT_RATIO = 0.5
MIN_SHARE = 0.2  # of an equal part of the demand that a host counts as its own
MIN_BURST_RATIO = 0.1  # of a burst that is used in any fleet
ADVANCE_PERIOD_S = 0.005  # smallest time between two updates of the buckets


@dataclass
class _Peer:
    last_heard_at: float
    is_silent: bool = False
    # Smoothed spending in tokens per second, by organisation.
    rates: dict[str, float] = field(default_factory=dict)
    # Tokens asked for in a second, by organisation.
    demands: Mapping[str, int] = field(default_factory=dict)


@dataclass
class _RelayState:
    """Spending of a failure domain's hosts, as reported by one relay."""

    domain: str
    last_heard_at: float
    totals: dict[str, int] = field(default_factory=dict)
    # Totals up to which the domain's spending has been charged.
    charged_totals: dict[str, int] = field(default_factory=dict)
    rates: dict[str, float] = field(default_factory=dict)
    demands: Mapping[str, int] = field(default_factory=dict)
    first_heard_at: float = float("-inf")
    was_used: bool = False


@dataclass(frozen=True)
class QuotaAccount:
    """What a host's replica of an organisation's bucket holds, and how it came about.

    Parameters
    ----------
    organisation : str
    rate, burst : float
        Tokens per second, and the part of the burst in use.
    level : float
        Tokens left; negative if hosts spent the same ones.
    spent, given_back : int
        Tokens charged at this host since its start, less those given back, and the
        latter alone.
    peers_spent : float
        Tokens that peers reported.
    assumed : float
        Tokens charged for peers that haven't reported them.
    refused : int
        Tokens of refused requests.
    """

    organisation: str
    rate: float
    burst: float
    level: float
    spent: int
    given_back: int
    peers_spent: float
    assumed: float
    refused: int


@dataclass
class _Bucket:
    rate: float
    burst: float
    level: float
    # The organisation's, of which a large fleet uses a part.
    whole_burst: float = math.inf
    spent: int = 0
    # Totals since this host's start, for its log.
    given_back: int = 0
    peers_spent: float = 0.0
    refused: int = 0
    # Tokens of refused requests whose callers were told to retry later.
    promised_tokens: float = 0.0
    # Assumed spending since the latest digest, by host or relay.
    assumed: dict[str, float] = field(default_factory=dict)
    # When it was last full.
    full_at: float = -math.inf
    # None for a plain bucket.
    window: SpendWindow | None = None
    refill_rate: float = 0.0
    demand: RecentDemand = field(default_factory=RecentDemand)
    # This host's part of the demand of all hosts.
    share: float = 1.0

    @property
    def window_tokens_left(self) -> float:
        """Tokens that may still be spent in the current window."""
        if self.window is None:
            return math.inf
        limit = _get_window_limit(self.rate, self.burst, self.window.window_s)
        return limit - self.window.total

    @property
    def tokens_left(self) -> float:
        """Tokens that may be spent now, by the level and by the window."""
        return min(self.level, self.window_tokens_left)

    def charge(self, tokens: float, now: float) -> None:
        """Subtract tokens that were spent."""
        self.level = min(self.level - tokens, self.burst)
        if self.window is not None:
            self.window.add(tokens, now=now)

    def give_back(self, tokens: float, now: float, *, since: float) -> None:
        """Credit tokens that were charged after `since` but not spent."""
        self.level = min(self.level + tokens, self.burst)
        if self.window is not None and tokens:
            self.window.give_back(tokens, since=since, now=now)

    def forget_charge(self, tokens: float, *, charged_at: float, now: float) -> None:
        """Remove tokens that weren't spent from the window in which they count."""
        if self.window is not None:
            self.window.forget(tokens, added_at=charged_at, now=now)

    def get_wait_s(self, tokens: float, now: float) -> float:
        """Return the seconds until the given number of tokens may be spent."""
        wait_s = max(tokens - self.level, 0.0) / self.refill_rate
        missing_tokens = tokens - self.window_tokens_left
        if self.window is None or missing_tokens <= 0:
            return wait_s
        return max(wait_s, self.window.get_wait_s(missing_tokens, now=now))

    def adopt_level(self, peer_level: float) -> None:
        """Lower the level to that of a peer, less this host's own spending."""
        # The peer's level already reflects all spending before this host's start.
        self.level = min(self.level, peer_level - self.spent)


def _get_window_limit(rate: float, burst: float, window_s: float) -> float:
    """Return the number of tokens that may be spent in a window."""
    return rate * window_s + burst


def _smooth(rates: dict[str, float], name: str, latest_rate: float) -> None:
    rate = rates.get(name, 0.0)
    rates[name] = rate + RATE_SMOOTHING * (latest_rate - rate)


class SharedQuota:
    """Decides whether an organisation may spend tokens now; thread-safe.

    Parameters
    ----------
    settings : QuotaSettings
    now : float
        Time of this host's start.
    random : random.Random or None
        Chooses the requests that are admitted if not all can be; None for one that is
        seeded by the system.
    """

    def __init__(
        self, settings: QuotaSettings, *, now: float, random: Random | None = None
    ) -> None:
        self.settings = settings
        self.random = random or Random()
        self.started_at = now
        self.knows_peers = False
        self.silent_s = settings.silent_s
        self.is_large_fleet = False
        self.digest_period_s = 0.0
        self.organisations: tuple[Organisation, ...] = ()
        self.advanced_at = now
        self.heard_count = 0  # peers heard lately
        self.lock = threading.Lock()
        # Notified when peers have been heard, by which buckets may have filled.
        self.heard = threading.Condition()
        self.buckets: dict[str, _Bucket] = {}
        self.peers: dict[str, _Peer] = {}
        self.relays: dict[str, _RelayState] = {}
        # Kept after a peer is removed, because a stopping host still sends digests.
        self.totals: dict[str, dict[str, int]] = {}
        # When hosts were last heard, listed or not, and organisations were removed.
        self.heard_at: dict[str, float] = {}
        self.removed_at: dict[str, float] = {}

    def set_organisations(
        self, organisations: Iterable[Organisation], *, now: float
    ) -> None:
        """Set the rates and bursts of all organisations.

        Parameters
        ----------
        organisations : iterable of Organisation
        now : float
        """
        with self.lock:
            self._advance(now)
            self.organisations = tuple(organisations)
            self._update_buckets(now)
            self._forget_organisations(now)

    def _forget_organisations(self, now: float) -> None:
        """Drop the buckets of organisations that were removed long ago.

        One that returns soon must not get a new burst.
        """
        known = {organisation.name for organisation in self.organisations}
        self.removed_at = {
            name: self.removed_at.get(name, now) for name in self.buckets.keys() - known
        }
        for name, removed_at in self.removed_at.items():
            if now - removed_at >= FORGET_S:
                del self.buckets[name]

    def _forget_hosts(self, now: float) -> None:
        """Drop the spending of hosts and relays that were silent for long."""
        self.heard_at = {
            host: heard_at
            for host, heard_at in self.heard_at.items()
            if host in self.peers or now - heard_at < FORGET_S
        }
        self.totals = {
            host: totals
            for host, totals in self.totals.items()
            if host in self.heard_at
        }
        silent = [
            name
            for name, state in self.relays.items()
            if now - state.last_heard_at >= FORGET_S
        ]
        for name in silent:
            del self.relays[name]
            for bucket in self.buckets.values():
                bucket.assumed.pop(name, None)

    def set_large_fleet(
        self, is_large_fleet: bool, *, digest_period_s: float, now: float
    ) -> None:
        """Set whether the fleet is so large that digests of peers arrive late.

        Parameters
        ----------
        is_large_fleet : bool
        digest_period_s : float
            Seconds between two digests of a host.
        now : float
        """
        with self.lock:
            self._advance(now)
            self.is_large_fleet = is_large_fleet
            self.digest_period_s = digest_period_s
            self._update_buckets(now)

    def _update_buckets(self, now: float) -> None:
        window_s = self.settings.window_s
        silent = [name for name, peer in self.peers.items() if peer.is_silent]
        for organisation in self.organisations:
            is_new = organisation.name not in self.buckets
            burst = self._compute_usable_burst(organisation)
            bucket = self.buckets.get(organisation.name)
            if bucket is None:
                initial_level = min(
                    burst, organisation.rate * self.settings.first_fill_s
                )
                bucket = self.buckets[organisation.name] = _Bucket(
                    organisation.rate, burst, initial_level
                )
            old_limit = _get_window_limit(bucket.rate, bucket.burst, window_s)
            if _get_window_limit(organisation.rate, burst, window_s) < old_limit:
                # Spending allowed by a higher limit doesn't count against a lower one.
                bucket.window = None
            bucket.rate, bucket.burst = organisation.rate, burst
            bucket.whole_burst = organisation.burst
            bucket.level = min(bucket.level, burst)
            self._update_window(bucket)
            if is_new:
                self._charge_shares(bucket, silent, now)

    def _compute_usable_burst(self, organisation: Organisation) -> float:
        if not self.is_large_fleet:
            return organisation.burst
        reserve = organisation.rate * self.horizon_s - self.settings.tolerance
        reserve = max(reserve, 0.0)
        least_burst = organisation.burst * MIN_BURST_RATIO
        return max(organisation.burst - reserve, least_burst)

    @property
    def horizon_s(self) -> float:
        """Seconds after which hosts of a large fleet hear of each other's spending."""
        settings = self.settings
        return settings.reserve_s + settings.reserve_periods * self.digest_period_s

    def _update_window(self, bucket: _Bucket) -> None:
        window_s = self.settings.window_s
        bucket.refill_rate = bucket.rate
        if not window_s or self.is_large_fleet:
            bucket.window = None
            return
        if bucket.window is None:
            bucket.window = SpendWindow(window_s)
        usable_burst = max(bucket.burst - bucket.rate * self.settings.late_s, 0.0)
        bucket.refill_rate += self.settings.sustained_ratio * usable_burst / window_s

    def set_peers(self, peers: Iterable[str], *, now: float) -> None:
        """Set the other hosts that may be spending.

        Parameters
        ----------
        peers : iterable of str
        now : float
        """
        with self.lock:
            self._advance(now)
            self.knows_peers = True
            self._forget_hosts(now)
            known = set(peers)
            for name in self.peers.keys() - known:
                del self.peers[name]
                for bucket in self.buckets.values():
                    # A departed host may have spent its assumed tokens, so they stay
                    # charged.
                    bucket.assumed.pop(name, None)
            for name in known - self.peers.keys():
                # Until its first digest it may spend its share. A host that has just
                # started may have that digest before the list.
                self.peers[name] = _Peer(self.heard_at.get(name, float("-inf")))
            self._note_silent(now)

    def apply_peer_digest(
        self,
        host: str,
        spent: Mapping[str, int],
        levels: Mapping[str, int],
        now: float,
        *,
        demands: Mapping[str, int] = MappingProxyType({}),
    ) -> None:
        """Charge what a peer has spent since its previous digest.

        Parameters
        ----------
        host : str
        spent : mapping of str to int
            Tokens spent since the peer's start, by organisation.
        levels : mapping of str to int
            Tokens left in the peer's replica, by organisation.
        now : float
        demands : mapping of str to int
            Tokens that the peer is asked for in a second, by organisation.
        """
        with self.lock:
            self._advance(now)
            is_settling = now - self.started_at < self.settings.settle_s
            totals = self.totals.setdefault(host, {})
            self.heard_at[host] = now
            peer = self.peers.get(host)
            last_heard_at = peer.last_heard_at if peer is not None else now
            for name, bucket in self.buckets.items():
                total = spent.get(name, 0)
                bucket.give_back(
                    bucket.assumed.pop(host, 0.0), now, since=last_heard_at
                )
                if name not in totals and is_settling:
                    bucket.adopt_level(levels.get(name, bucket.burst))
                else:
                    new_tokens = total - totals.get(name, 0)
                    if name not in totals:
                        # Older spending has been refilled by the rate.
                        new_tokens = min(new_tokens, int(bucket.burst))
                    bucket.charge(new_tokens, now)
                    bucket.peers_spent += new_tokens
                    if peer is not None and now > peer.last_heard_at:
                        _smooth(
                            peer.rates, name, new_tokens / (now - peer.last_heard_at)
                        )
                totals[name] = total
            if peer is not None:
                peer.last_heard_at = now
                peer.is_silent = False
                peer.demands = demands
        self._notify_heard()

    def _notify_heard(self) -> None:
        with self.heard:
            self.heard.notify_all()

    def wait_for_peers(self, timeout_s: float) -> None:
        """Wait until the next digest is applied.

        Parameters
        ----------
        timeout_s : float
        """
        with self.heard:
            self.heard.wait(timeout_s)

    def is_discovering(self, *, now: float) -> bool:
        """Return whether this host has just started and hasn't heard most peers yet.

        It takes the others to spend their shares until it hears from them, so it may
        refuse what the quota allows.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
        """
        if now - self.started_at >= self.settings.discovery_s:
            return False
        with self.lock:
            return self._is_discovering(now)

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
        demands: Mapping[str, int] = MappingProxyType({}),
    ) -> None:
        """Charge what a domain's other hosts have spent since its previous digest.

        Parameters
        ----------
        domain, relay : str
            The totals of two relays of a domain start at different times, so they are
            tracked separately and only those of one relay are charged.
        spent, levels, demands : mapping of str to int
            As in `apply_peer_digest`, summed over the domain's other hosts.
        hosts : iterable of str
            Hosts from which the relay receives digests.
        is_used : bool
            Whether the totals of this relay are the ones to charge.
        now : float
        """
        with self.lock:
            self._advance(now)
            name = f"{domain}/{relay}"
            state = self.relays.get(name)
            is_new_relay = state is None
            if state is None:
                # What it counted before is charged already, through another relay or
                # as assumed spending, also if it isn't used before its next digest.
                state = self.relays[name] = _RelayState(
                    domain, now, charged_totals=dict(spent), first_heard_at=now
                )
            if is_used and is_new_relay:
                self._adopt_levels(levels, now)
            elif is_used:
                self._charge_domain(name, state, spent, now)
            else:
                state.rates = {}
            state.totals = dict(spent)
            state.demands = demands if is_used else {}
            state.last_heard_at = now
            if is_used:
                self._mark_charged(domain)
            self._mark_heard(hosts, now, is_charged=is_used and not is_new_relay)
        self._notify_heard()

    def _adopt_levels(self, levels: Mapping[str, int], now: float) -> None:
        if now - self.started_at >= self.settings.settle_s:
            return
        for organisation, bucket in self.buckets.items():
            bucket.adopt_level(levels.get(organisation, bucket.burst))

    def _charge_domain(
        self, name: str, state: _RelayState, spent: Mapping[str, int], now: float
    ) -> None:
        elapsed = now - state.last_heard_at
        other_relays = [
            relay
            for relay, other in self.relays.items()
            if other.domain == state.domain
        ]
        other_relays.remove(name)
        # Time between the latest digest of another relay and the first one of this.
        domain_count = len({relay.domain for relay in self.relays.values()})
        heard_at = [self.relays[relay].last_heard_at for relay in other_relays]
        gap_s = max(state.first_heard_at - max(heard_at, default=now), 0.0)
        gap_s = min(gap_s, GAP_LIMIT_S) if not state.was_used else 0.0
        state.was_used = True
        for organisation, bucket in self.buckets.items():
            total = spent.get(organisation, 0)
            assumed = bucket.assumed.pop(name, 0.0)
            bucket.give_back(assumed, now, since=state.last_heard_at)
            new_tokens: float = total - state.charged_totals.get(organisation, 0)
            # The domain may have spent more than before until this relay's totals
            # begin, and a part of that is charged as assumed.
            rates = [
                self.relays[relay].rates.get(organisation, 0.0)
                for relay in other_relays
            ]
            rate = max(rates, default=0.0) * GAP_RATIO
            if bucket.burst < self.settings.tolerance:
                # Its few requests come in clumps, which recent rates don't show.
                rate = max(rate, bucket.rate * GAP_RATIO / domain_count)
            missing = min(rate, bucket.rate) * gap_s
            for other_relay in other_relays:
                assumed = bucket.assumed.pop(other_relay, 0.0)
                if self.relays[other_relay].last_heard_at < state.first_heard_at:
                    missing -= assumed
                else:
                    # The relay used before may have covered more hosts than this one.
                    new_tokens = max(new_tokens - assumed, min(new_tokens, 0.0))
            bucket.charge(max(missing, 0.0), now)
            bucket.charge(new_tokens, now)
            bucket.peers_spent += max(missing, 0.0) + new_tokens
            if elapsed > 0:
                change = total - state.totals.get(organisation, 0)
                _smooth(state.rates, organisation, max(change, 0) / elapsed)

    def _mark_charged(self, domain: str) -> None:
        """Record that a domain's spending is charged up to now."""
        for state in self.relays.values():
            if state.domain == domain:
                # If another relay is used next, its totals up to now count as charged.
                state.charged_totals = state.totals

    def _mark_heard(
        self, hosts: Iterable[str], now: float, *, is_charged: bool
    ) -> None:
        for host in hosts:
            self.heard_at[host] = now
            peer = self.peers.get(host)
            if peer is None:
                continue
            last_heard_at, peer.last_heard_at = peer.last_heard_at, now
            if peer.is_silent:
                peer.is_silent = False
                for bucket in self.buckets.values():
                    assumed = bucket.assumed.pop(host, 0.0)
                    if is_charged:
                        # The domain's digest includes what it spent in the meantime.
                        bucket.give_back(assumed, now, since=last_heard_at)

    def try_spend(
        self,
        organisation: str,
        tokens: int,
        *,
        now: float,
        is_resumed: bool = False,
        is_repeat: bool = False,
        is_waiting: bool = False,
    ) -> float | None:
        """Spend tokens, or return the time until enough are available.

        Parameters
        ----------
        organisation : str
        tokens : int
        now : float
        is_resumed : bool
            Whether they are for a stream that a caller resumes.
        is_repeat : bool
            Whether they are for another run of a request that was admitted, which
            comes before new requests.
        is_waiting : bool
            Whether the request asks again soon, so that later callers needn't wait
            for its tokens as well.

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
            if not is_waiting:
                bucket.demand.add(tokens, now=now)
            if tokens <= self._get_discovery_tokens(bucket, now):
                bucket.charge(tokens, now)
                bucket.spent += tokens
                return None
            # A request larger than the burst would never be accepted otherwise.
            required = min(tokens, bucket.burst)
            reserve = 0.0 if is_resumed else self._get_reserve(bucket, now)
            if self.is_large_fleet:
                is_admitted = self._may_admit(
                    organisation, bucket, required + reserve, now, is_repeat=is_repeat
                )
            else:
                debt = self.settings.tolerance * REPEAT_DEBT_RATIO if is_repeat else 0.0
                is_admitted = bucket.tokens_left + debt >= required + reserve
            if not is_admitted:
                # With equal waits, all refused callers would retry at the same time.
                # Other hosts promise their parts of the refill to their callers.
                wait_s = bucket.get_wait_s(required + reserve, now)
                queued_tokens = bucket.promised_tokens + (0 if wait_s else required)
                wait_s += queued_tokens / (bucket.refill_rate * bucket.share)
                if not is_waiting:
                    bucket.promised_tokens += required
                    bucket.refused += tokens
                return min(wait_s, self.settings.wait_limit_s)
            bucket.charge(tokens, now)
            bucket.spent += tokens
            return None

    def _may_admit(
        self,
        organisation: str,
        bucket: _Bucket,
        required: float,
        now: float,
        *,
        is_repeat: bool,
    ) -> bool:
        """Return whether a host of a large fleet may spend tokens.

        What isn't used of the burst bears what is heard late. Its hosts may draw on it
        too, as far as they hear of each other: the closer they are to its end, the
        fewer requests they admit, so that they don't all stop and start together.
        """
        known_ratio = (1 + self.heard_count) / (len(self.peers) + 1)
        lent = max(bucket.whole_burst - bucket.burst, 0.0) * known_ratio
        if bucket.level + lent < required:
            return False
        if is_repeat:
            return True
        demand = max(self._get_demand(organisation, bucket, now), bucket.rate)
        ratio = compute_admitted_ratio(
            bucket.rate, bucket.level, demand, delay_s=self.horizon_s
        )
        return ratio >= 1 or self.random.random() < ratio

    def _get_demand(self, organisation: str, bucket: _Bucket, now: float) -> float:
        """Return the tokens a second that all heard hosts are asked for."""
        demand = own_demand = bucket.demand.get(now=now)
        states: list[_Peer | _RelayState] = [*self.peers.values()]
        states += self.relays.values()
        for state in states:
            if now - state.last_heard_at >= self.silent_s:
                continue
            # Hosts report the demand of organisations that they refuse something.
            demand += max(
                state.demands.get(organisation, 0), state.rates.get(organisation, 0.0)
            )
        bucket.share = own_demand / demand if demand > 0 else 1.0
        bucket.share = max(bucket.share, MIN_SHARE / (len(self.peers) + 1))
        return demand

    def _get_reserve(self, bucket: _Bucket, now: float) -> float:
        """Return the tokens that only resumed streams may spend now."""
        settings = self.settings
        left_ratio = 1 - (now - self.started_at) / settings.resumed_first_s
        if left_ratio <= 0:
            return 0.0
        reserve = min(bucket.rate * settings.resumed_reserve_s, bucket.burst / 2)
        # A host that hasn't heard from its peers has a share of the level only, and so
        # a share of the reserve.
        known_hosts = 1 + self.heard_count
        return reserve * left_ratio * known_hosts / (len(self.peers) + 1)

    def _get_discovery_tokens(self, bucket: _Bucket, now: float) -> float:
        """Return the tokens left of this host's own share while it hears of few peers.

        The shares of all hosts together are the tokens with which a bucket starts and
        those of the rate since then. No part is kept for late reports, as nothing is
        spent on them.
        """
        if not self._is_discovering(now):
            return 0.0
        tokens = min(bucket.rate * self.settings.first_fill_s, bucket.whole_burst)
        tokens += bucket.rate * (now - self.started_at)
        return tokens / (len(self.peers) + 1) - bucket.spent

    def _is_discovering(self, now: float) -> bool:
        if now - self.started_at >= self.settings.discovery_s:
            return False
        return self._count_heard(now) < len(self.peers) * HEARD_RATIO

    def _count_heard(self, now: float) -> int:
        return sum(
            now - peer.last_heard_at < self.silent_s for peer in self.peers.values()
        )

    def give_back(
        self, organisation: str, tokens: int, *, charged_at: float, now: float
    ) -> None:
        """Credit the tokens of a request that was not executed.

        Parameters
        ----------
        organisation : str
        tokens : int
        charged_at : float
            When they were spent.
        now : float
        """
        with self.lock:
            self._advance(now)
            bucket = self.buckets.get(organisation)
            if bucket is None or bucket.rate <= 0:
                return
            if charged_at < bucket.full_at:
                # The rate has made up for them. Peers count on the rate, too.
                bucket.forget_charge(tokens, charged_at=charged_at, now=now)
                return
            bucket.level = min(bucket.level + tokens, bucket.burst)
            bucket.forget_charge(tokens, charged_at=charged_at, now=now)
            bucket.spent -= tokens
            bucket.given_back += tokens

    def get_demands(self, *, now: float) -> dict[str, int]:
        """Return the tokens a second that this host is asked for, of pressed buckets.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict of str to int
            By organisation.
        """
        with self.lock:
            return {
                name: round(bucket.demand.get(now=now))
                for name, bucket in self.buckets.items()
                if bucket.rate > 0 and bucket.level < bucket.burst / 2
            }

    def get_spent(self, *, now: float) -> tuple[dict[str, int], dict[str, int]]:
        """Return the tokens spent since the start and those left, by organisation.

        Parameters
        ----------
        now : float

        Returns
        -------
        (dict, dict)
        """
        with self.lock:
            self._advance(now)
            limited_buckets = {
                name: bucket for name, bucket in self.buckets.items() if bucket.rate > 0
            }
            return (
                {name: bucket.spent for name, bucket in limited_buckets.items()},
                {
                    name: int(bucket.tokens_left)
                    for name, bucket in limited_buckets.items()
                },
            )

    def list_pressed(self, *, now: float) -> list[QuotaAccount]:
        """Return the accounts of organisations that have used half of their burst.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of QuotaAccount
        """
        with self.lock:
            self._advance(now)
            return [
                QuotaAccount(
                    name,
                    bucket.rate,
                    bucket.burst,
                    bucket.tokens_left,
                    bucket.spent,
                    bucket.given_back,
                    bucket.peers_spent,
                    sum(bucket.assumed.values()),
                    bucket.refused,
                )
                for name, bucket in self.buckets.items()
                if bucket.rate > 0 and bucket.tokens_left < bucket.burst / 2
            ]

    def build_copy(self, organisation: str) -> "SharedQuota":
        """Return a copy with the bucket of one organisation, to try what it allows.

        Parameters
        ----------
        organisation : str

        Returns
        -------
        SharedQuota
            What is spent there changes nothing here.
        """
        duplicate = copy.copy(self)
        duplicate.random = copy.copy(self.random)
        duplicate.lock = threading.Lock()
        with self.lock:
            duplicate.advanced_at = self.advanced_at
            duplicate.buckets = {
                name: copy.deepcopy(bucket)
                for name, bucket in self.buckets.items()
                if name == organisation
            }
            duplicate.peers = {
                name: replace(peer, rates=dict(peer.rates))
                for name, peer in self.peers.items()
            }
            duplicate.relays = {
                name: replace(state, rates=dict(state.rates))
                for name, state in self.relays.items()
            }
        return duplicate

    def _advance(self, now: float) -> None:
        elapsed = now - self.advanced_at
        if elapsed < ADVANCE_PERIOD_S:
            return
        self.advanced_at = now
        self._note_silent(now)
        self.heard_count = self._count_heard(now)
        equal_share = 1 / (len(self.peers) + 1)
        # In a large fleet the spending of most peers is in digests of their domains.
        spending = [
            (name, peer)
            for name, peer in self.peers.items()
            if peer.is_silent or peer.rates
        ]
        # The windows of a new host may lack what peers spent before its start, so its
        # buckets refill at the plain rate.
        is_new_host = now - self.started_at < self.settings.window_s
        for organisation, bucket in self.buckets.items():
            refill_rate = bucket.rate if is_new_host else bucket.refill_rate
            bucket.level = min(bucket.level + refill_rate * elapsed, bucket.burst)
            if bucket.level >= bucket.burst:
                bucket.full_at = now
            bucket.promised_tokens = max(
                bucket.promised_tokens - refill_rate * bucket.share * elapsed, 0.0
            )
            if bucket.window is not None:
                bucket.window.expire(now=now)
            for name, peer in spending:
                rate = peer.rates.get(organisation, 0.0)
                if peer.is_silent:
                    rate = bucket.refill_rate * equal_share
                if rate > 0:
                    self._charge_assumed(bucket, name, rate * elapsed, now)
            for name, state in self.relays.items():
                # The hosts of a silent relay become silent peers themselves.
                if now - state.last_heard_at < self.silent_s:
                    rate = state.rates.get(organisation, 0.0)
                    self._charge_assumed(bucket, name, rate * elapsed, now)

    def _note_silent(self, now: float) -> None:
        """Charge the shares of the level that peers which fell silent may spend."""
        fallen_silent = [
            name
            for name, peer in self.peers.items()
            if not peer.is_silent and now - peer.last_heard_at >= self.silent_s
        ]
        if not fallen_silent:
            return
        for name in fallen_silent:
            self.peers[name].is_silent = True
        for bucket in self.buckets.values():
            self._charge_shares(bucket, fallen_silent, now)

    def _charge_shares(
        self, bucket: _Bucket, silent: Iterable[str], now: float
    ) -> None:
        # Each may spend its share of the present level.
        share = max(bucket.level, 0.0) / (len(self.peers) + 1)
        for name in silent:
            self._charge_assumed(bucket, name, share, now)

    def _charge_assumed(
        self, bucket: _Bucket, peer: str, tokens: float, now: float
    ) -> None:
        bucket.charge(tokens, now)
        bucket.assumed[peer] = bucket.assumed.get(peer, 0.0) + tokens
