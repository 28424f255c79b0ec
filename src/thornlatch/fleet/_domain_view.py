"""View that a host of a large fleet has of its peers, from its relays' digests."""

from collections import Counter, OrderedDict
from dataclasses import dataclass

from thornlatch.fleet._decay import DecayingSum, DecayingSums
from thornlatch.fleet._digests import (
    HostDigest,
    PartReport,
    PeerView,
    TargetLimit,
    TargetPace,
)
from thornlatch.fleet._domain_choice import DomainDigestSelector, ExchangeSettings
from thornlatch.fleet._domain_messages import (
    DomainDigest,
    DomainSpending,
    FleetDigest,
    TargetUses,
    WorkSum,
)
from thornlatch.fleet._latest_messages import LatestMessages

SENT_DIGESTS_KEPT = 30  # relays echo one of the last few


@dataclass(frozen=True)
class DomainUpdate:
    """Changes of a domain in a relay's digest.

    Parameters
    ----------
    domain, relay : str
    spent : dict of str to int or None
        Tokens that the domain's other hosts have spent, by organisation; None if
        they can't be separated from what this host has spent.
    levels : dict of str to int
        As in `DomainSpending`.
    live : tuple of str
        Other hosts whose digests the relay receives.
    is_selected : bool
        Whether this relay's digests are the ones to use for the domain.
    demands : dict of str to int
        Tokens a second that the domain's other hosts are asked for, as in `HostDigest`.
    """

    domain: str
    relay: str
    spent: dict[str, int] | None
    levels: dict[str, int]
    live: tuple[str, ...]
    is_selected: bool
    demands: dict[str, int]


class DomainView:
    """Applies relays' digests to a `PeerView`; not thread-safe.

    Parameters
    ----------
    settings : ExchangeSettings
    peers : PeerView
    host, domain : str
        Id and failure domain of this host.
    """

    def __init__(
        self, settings: ExchangeSettings, peers: PeerView, *, host: str, domain: str
    ) -> None:
        self.peers = peers
        self.host = host
        self.domain = domain
        self.selector = DomainDigestSelector(settings.silent_s)
        self.sent_digests: OrderedDict[float, HostDigest] = OrderedDict()
        self.latest: LatestMessages[str, FleetDigest] = LatestMessages()
        self.selected_relay = ""
        self.target_uses: LatestMessages[tuple[str, str], TargetUses] = LatestMessages()
        # Ids of target crashes by fingerprint of the request that was running.
        self.crashes: dict[str, tuple[str, ...]] = {}
        self.parts = PartReport()
        # Ids and starts of targets that announced to any host that they leave.
        self.leaving: tuple[tuple[str, int], ...] = ()
        self.limits: tuple[TargetLimit, ...] = ()
        # How long work takes at targets, as they reported it to any host.
        self.speeds: dict[str, tuple[int, int]] = {}
        self.paces: tuple[TargetPace, ...] = ()

    def note_sent(self, digest: HostDigest) -> None:
        """Remember a digest of this host until a relay may have echoed it.

        Parameters
        ----------
        digest : HostDigest
        """
        self.sent_digests[digest.sent_at] = digest
        while len(self.sent_digests) > SENT_DIGESTS_KEPT:
            self.sent_digests.popitem(last=False)

    def apply_fleet_digest(
        self, message: FleetDigest, *, now: float
    ) -> list[DomainUpdate]:
        """Apply a relay's digest, unless a later one is known.

        Parameters
        ----------
        message : FleetDigest
        now : float

        Returns
        -------
        list of DomainUpdate
            One for each domain that the digest updates.
        """
        if not self.latest.add(message.relay, message, now=now):
            return []
        updated = [
            spending
            for spending in message.domains
            if self.selector.add(DomainDigest(spending, WorkSum()), now=now)
        ]
        self.selector.select(now=now)
        self._apply_holder_reports(message.work, now)
        if self._select_digest(now) is message:
            self._update_peers(message, now)
        return [self._build_update(spending, message) for spending in updated]

    def _select_digest(self, now: float) -> FleetDigest:
        """Return the digest to use: that with the most live hosts."""
        fresh = self.latest.list_fresh(now=now, silent_s=self.selector.silent_s)
        self.latest.retain(fresh)
        selected = max(fresh.values(), key=self._rank)
        self.selected_relay = selected.relay
        return selected

    def _rank(self, message: FleetDigest) -> tuple[int, bool, str]:
        live_count = sum(len(spending.live) for spending in message.domains)
        return (live_count, message.relay == self.selected_relay, message.relay)

    def apply_target_uses(self, message: TargetUses, *, now: float) -> None:
        """Apply the requests of a domain at the targets that this host holds.

        Parameters
        ----------
        message : TargetUses
        now : float
        """
        self.target_uses.add((message.domain, message.relay), message, now=now)

    def _get_echoed_digest(self, message: FleetDigest) -> HostDigest | None:
        """Return the digest of this host that is included in a relay's digest."""
        return self.sent_digests.get(message.echoes.get(self.host, 0.0))

    def _build_update(
        self, spending: DomainSpending, message: FleetDigest
    ) -> DomainUpdate:
        spent: dict[str, int] | None = spending.spent
        demands = spending.demands
        if spending.domain == self.domain:
            own_digest = self._get_echoed_digest(message)
            spent = None
            if own_digest is not None:
                spent = {
                    name: total - own_digest.spent.get(name, 0)
                    for name, total in spending.spent.items()
                }
                demands = {
                    name: max(tokens - own_digest.demands.get(name, 0), 0)
                    for name, tokens in spending.demands.items()
                }
        return DomainUpdate(
            spending.domain,
            spending.relay,
            spent,
            spending.levels,
            tuple(host for host in spending.live if host != self.host),
            self.selector.selected_relays.get(spending.domain) == spending.relay,
            demands,
        )

    def _apply_holder_reports(self, work: WorkSum, now: float) -> None:
        for holder, report in work.held:
            if holder != self.host:
                self.peers.held.setdefault(holder, {})[report.target] = (report, now)

    def _update_peers(self, message: FleetDigest, now: float) -> None:
        work = message.work
        request_counts, prompt_tokens = dict(work.running), dict(work.prompts)
        avoiding = Counter(work.avoided)
        recent_sends = Counter(work.recent_sends)
        own_digest = self._get_echoed_digest(message)
        if own_digest is not None:
            for target, _, count in own_digest.running:
                request_counts[target] = request_counts.get(target, 0) - count
            for target, tokens in own_digest.prompts.items():
                prompt_tokens[target] = prompt_tokens.get(target, 0) - tokens
            avoiding.subtract(own_digest.avoided)
            recent_sends.subtract(own_digest.recent_sends)
        running = {
            target: {"": max(count, 0)} for target, count in request_counts.items()
        }
        for (target, adapter), count in self._count_peer_requests(message, now).items():
            if adapter and count > 0:
                running.setdefault(target, {"": 0})[adapter] = count
        peers = self.peers
        last_seen_at = {
            host: peers.last_seen_at[host] for host in peers.list_live(now=now)
        }
        for spending in message.domains:
            last_seen_at.update(dict.fromkeys(spending.live, now))
        last_seen_at.pop(self.host, None)
        peers.running = running
        peers.recent_prompt_tokens = DecayingSums(
            (target, DecayingSum(max(tokens, 0), now))
            for target, tokens in prompt_tokens.items()
        )
        peers.avoiding = avoiding
        peers.recent_sends = recent_sends
        peers.holders = {
            name: holder
            for name, holder in work.held_names.items()
            if holder != self.host
        }
        peers.last_seen_at = last_seen_at
        self.crashes = work.broken
        self.parts = work.parts
        self.leaving = work.leaving
        self.limits = work.limits
        self.speeds = work.speeds
        self.paces = work.paces

    def _count_peer_requests(
        self, message: FleetDigest, now: float
    ) -> Counter[tuple[str, str]]:
        """Return the numbers of the peers' requests by target and adapter."""
        by_domain: dict[str, Counter[tuple[str, str]]] = {}
        domains = {spending.domain for spending in message.domains}
        fresh = self.target_uses.list_fresh(now=now, silent_s=self.selector.silent_s)
        self.target_uses.retain(fresh)
        for (domain, _), uses in fresh.items():
            if domain in domains:
                # What a spare relay knows is some turns old; either may lack uses.
                counts = by_domain.setdefault(domain, Counter())
                counts |= self._count_uses(uses)
        return sum(by_domain.values(), Counter())

    def _count_uses(self, uses: TargetUses) -> Counter[tuple[str, str]]:
        counts: Counter[tuple[str, str]] = Counter()
        for target, adapter, count in uses.uses:
            counts[target, adapter] += count
        own_digest = self.sent_digests.get(uses.echoed_at)
        if uses.domain == self.domain and own_digest is not None:
            targets = {target for target, _, _ in uses.uses}
            for target, adapter, count in own_digest.running:
                if target in targets:
                    counts[target, adapter] -= count
        return counts
