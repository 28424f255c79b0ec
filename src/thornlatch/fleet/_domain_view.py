"""The view that a host of a large fleet has of the others, from its relays."""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from thornlatch.fleet._decay import DecayingSum
from thornlatch.fleet._digests import HeldTarget, HostDigest, PeerView
from thornlatch.fleet._domains import (
    DomainChoice,
    DomainDigest,
    ExchangeSettings,
    FleetDigest,
    TargetUses,
    unite_broken,
)

SENT_DIGESTS = 30  # own digests that are remembered; a relay echoes one of the last few


@dataclass(frozen=True)
class DomainUpdate:
    """What is new of a domain.

    Parameters
    ----------
    stream : str
        Domain and relay; what the hosts have spent is counted on for each.
    spent : dict of str to int or None
        Organisation to tokens that the domain's other hosts have spent; None if it
        can't be told from what this host has spent itself.
    levels : dict of str to int
    live : tuple of str
        Other hosts that are heard of.
    is_used : bool
        Whether this relay's digest is the one to go by.
    held : tuple of (str, HeldTarget)
        Holders and what they say of targets.
    """

    stream: str
    spent: dict[str, int] | None
    levels: dict[str, int]
    live: tuple[str, ...]
    is_used: bool
    held: tuple[tuple[str, HeldTarget], ...]


class DomainView:
    """Takes relays' digests and shows their sums in a `PeerView`; for one thread.

    Parameters
    ----------
    settings : ExchangeSettings
    peers : PeerView
    host, domain : str
        This host's.
    """

    def __init__(
        self, settings: ExchangeSettings, peers: PeerView, *, host: str, domain: str
    ) -> None:
        self.peers = peers
        self.host = host
        self.domain = domain
        self.choice = DomainChoice(settings)
        self.sent: OrderedDict[float, HostDigest] = OrderedDict()
        self.echoes: dict[str, float] = {}
        self.uses: dict[tuple[str, str], TargetUses] = {}
        self.broken: dict[str, tuple[str, ...]] = {}

    def note_sent(self, digest: HostDigest) -> None:
        """Remember an own digest until a relay has echoed it.

        Parameters
        ----------
        digest : HostDigest
        """
        self.sent[digest.sent_at] = digest
        while len(self.sent) > SENT_DIGESTS:
            self.sent.popitem(last=False)

    def take(self, message: FleetDigest, *, now: float) -> list[DomainUpdate]:
        """Take a relay's message.

        Parameters
        ----------
        message : FleetDigest
        now : float

        Returns
        -------
        list of DomainUpdate
        """
        fresh = []
        for digest in message.domains:
            if self.choice.take(digest, now=now):
                fresh.append(digest)
                if digest.domain == self.domain:
                    self.echoes[digest.relay] = message.echoed_at
            self._take_held(digest.held, now)
        chosen = self.choice.choose(now=now)
        heard = self.choice.heard
        self.uses = {key: one for key, one in self.uses.items() if key in heard}
        self._sum_up([one for one, _ in chosen.values()], now)
        return [self._describe(digest) for digest in fresh]

    def take_uses(self, message: TargetUses, *, now: float) -> None:
        """Take the use of this host's targets by adapter.

        Parameters
        ----------
        message : TargetUses
        now : float
        """
        key = (message.domain, message.relay)
        former = self.uses.get(key)
        if former is None or message.sent_at > former.sent_at:
            self.uses[key] = message

    def _get_own(self, digest: DomainDigest) -> HostDigest | None:
        """Return this host's digest that is counted in its domain's."""
        if digest.domain != self.domain or self.host not in digest.live:
            return None
        return self.sent.get(self.echoes.get(digest.relay, 0.0))

    def _describe(self, digest: DomainDigest) -> DomainUpdate:
        spent: dict[str, int] | None = digest.spent
        if digest.domain == self.domain:
            own = self._get_own(digest)
            spent = None
            if own is not None:
                spent = {
                    name: total - own.spent.get(name, 0)
                    for name, total in digest.spent.items()
                }
        return DomainUpdate(
            f"{digest.domain}/{digest.relay}",
            spent,
            digest.levels,
            tuple(host for host in digest.live if host != self.host),
            self.choice.chosen.get(digest.domain) == digest.relay,
            digest.held,
        )

    def _take_held(self, held: Iterable[tuple[str, HeldTarget]], now: float) -> None:
        for holder, one in held:
            if holder != self.host:
                self.peers.held.setdefault(holder, {})[one.target] = (one, now)

    def _sum_up(self, digests: list[DomainDigest], now: float) -> None:
        totals: Counter[str] = Counter()
        prompts: Counter[str] = Counter()
        avoiding: Counter[str] = Counter()
        holders: dict[str, str] = {}
        live = {
            host: self.peers.live_at[host] for host in self.peers.iter_live(now=now)
        }
        for digest in digests:
            totals.update(digest.running)
            prompts.update(digest.prompts)
            avoiding.update(digest.avoided)
            holders.update(digest.held_names)
            live.update(dict.fromkeys(digest.live, now))
            own = self._get_own(digest)
            if own is not None:
                totals.subtract(_sum_by_target(own))
                prompts.subtract(own.prompts)
                avoiding.subtract(own.avoided)
        running: dict[str, dict[str, int]] = {
            target: {"": max(count, 0)} for target, count in totals.items()
        }
        for (target, adapter), count in self._count_uses(digests).items():
            if adapter and count > 0:
                running.setdefault(target, {"": 0})[adapter] = count
        live.pop(self.host, None)
        peers = self.peers
        peers.running = running
        peers.prompts = {t: DecayingSum(max(n, 0), now) for t, n in prompts.items()}
        peers.avoiding = avoiding
        peers.holders = {t: h for t, h in holders.items() if h != self.host}
        peers.live_at = live
        self.broken = unite_broken(digest.broken for digest in digests)

    def _count_uses(self, digests: list[DomainDigest]) -> Counter[tuple[str, str]]:
        """Return the other hosts' requests by target and adapter."""
        counts: Counter[tuple[str, str]] = Counter()
        for digest in digests:
            message = self.uses.get((digest.domain, digest.relay))
            if message is None:
                continue
            for target, adapter, count in message.uses:
                counts[target, adapter] += count
            own = self.sent.get(message.echoed_at)
            if digest.domain == self.domain and own is not None:
                targets = {target for target, _, _ in message.uses}
                for target, adapter, count in own.running:
                    if target in targets:
                        counts[target, adapter] -= count
        return counts


def _sum_by_target(digest: HostDigest) -> Counter[str]:
    totals: Counter[str] = Counter()
    for target, _, count in digest.running:
        totals[target] += count
    return totals
