"""The view that a host of a large fleet has of the others, from its relays."""

from collections import Counter, OrderedDict
from dataclasses import dataclass

from thornlatch.fleet._decay import DecayingSum, DecayingSums
from thornlatch.fleet._digests import HostDigest, PeerView
from thornlatch.fleet._domain_choice import DomainChoice, ExchangeSettings
from thornlatch.fleet._domain_messages import (
    DomainDigest,
    DomainSpending,
    FleetDigest,
    TargetUses,
    WorkSum,
)
from thornlatch.fleet._newest import NewestWords

SENT_DIGESTS = 30  # own digests that are remembered; a relay echoes one of the last few


@dataclass(frozen=True)
class DomainUpdate:
    """What is new of a domain.

    Parameters
    ----------
    domain, relay : str
    spent : dict of str to int or None
        Organisation to tokens that the domain's other hosts have spent; None if it
        can't be told from what this host has spent itself.
    levels : dict of str to int
    live : tuple of str
        Other hosts that are heard of.
    is_used : bool
        Whether this relay's word is the one to go by.
    """

    domain: str
    relay: str
    spent: dict[str, int] | None
    levels: dict[str, int]
    live: tuple[str, ...]
    is_used: bool


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
        self.messages: NewestWords[str, FleetDigest] = NewestWords()
        self.relay = ""
        self.uses: NewestWords[tuple[str, str], TargetUses] = NewestWords()
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
        if not self.messages.take(message.relay, message, now=now):
            return []
        fresh = [
            row
            for row in message.domains
            if self.choice.take(DomainDigest(row, WorkSum()), now=now)
        ]
        self.choice.choose(now=now)
        self._take_held(message.work, now)
        if self._choose(now) is message:
            self._sum_up(message, now)
        return [self._describe(row, message) for row in fresh]

    def _choose(self, now: float) -> FleetDigest:
        """Return the message to go by: of the relay that hears of most hosts."""
        silent_s = self.choice.settings.silent_s
        fresh = self.messages.list_fresh(now=now, silent_s=silent_s)
        self.messages.keep(fresh)
        chosen = max(fresh.values(), key=self._rank)
        self.relay = chosen.relay
        return chosen

    def _rank(self, message: FleetDigest) -> tuple[int, bool, str]:
        live = sum(len(row.live) for row in message.domains)
        return (live, message.relay == self.relay, message.relay)

    def take_uses(self, message: TargetUses, *, now: float) -> None:
        """Take the use of this host's targets by adapter.

        Parameters
        ----------
        message : TargetUses
        now : float
        """
        self.uses.take((message.domain, message.relay), message, now=now)

    def _get_own(self, message: FleetDigest) -> HostDigest | None:
        """Return this host's digest that is counted in a relay's message."""
        return self.sent.get(message.echoes.get(self.host, 0.0))

    def _describe(self, row: DomainSpending, message: FleetDigest) -> DomainUpdate:
        spent: dict[str, int] | None = row.spent
        if row.domain == self.domain:
            own = self._get_own(message)
            spent = None
            if own is not None:
                spent = {
                    name: total - own.spent.get(name, 0)
                    for name, total in row.spent.items()
                }
        return DomainUpdate(
            row.domain,
            row.relay,
            spent,
            row.levels,
            tuple(host for host in row.live if host != self.host),
            self.choice.chosen.get(row.domain) == row.relay,
        )

    def _take_held(self, work: WorkSum, now: float) -> None:
        for holder, one in work.held:
            if holder != self.host:
                self.peers.held.setdefault(holder, {})[one.target] = (one, now)

    def _sum_up(self, message: FleetDigest, now: float) -> None:
        work = message.work
        totals, prompts = dict(work.running), dict(work.prompts)
        avoiding = Counter(work.avoided)
        own = self._get_own(message)
        if own is not None:
            for target, _, count in own.running:
                totals[target] = totals.get(target, 0) - count
            for target, tokens in own.prompts.items():
                prompts[target] = prompts.get(target, 0) - tokens
            avoiding.subtract(own.avoided)
        running = {target: {"": max(count, 0)} for target, count in totals.items()}
        for (target, adapter), count in self._count_uses(message).items():
            if adapter and count > 0:
                running.setdefault(target, {"": 0})[adapter] = count
        peers = self.peers
        live = {host: peers.live_at[host] for host in peers.iter_live(now=now)}
        for row in message.domains:
            live.update(dict.fromkeys(row.live, now))
        live.pop(self.host, None)
        peers.running = running
        peers.prompts = DecayingSums(
            (target, DecayingSum(max(tokens, 0), now))
            for target, tokens in prompts.items()
        )
        peers.avoiding = avoiding
        peers.holders = {t: h for t, h in work.held_names.items() if h != self.host}
        peers.live_at = live
        self.broken = work.broken

    def _count_uses(self, message: FleetDigest) -> Counter[tuple[str, str]]:
        """Return the other hosts' requests by target and adapter."""
        counts: Counter[tuple[str, str]] = Counter()
        self.uses.keep({(row.domain, row.relay) for row in message.domains})
        for heard in self.uses.heard.values():
            uses = heard.word
            for target, adapter, count in uses.uses:
                counts[target, adapter] += count
            own = self.sent.get(uses.echoed_at)
            if uses.domain == self.domain and own is not None:
                targets = {target for target, _, _ in uses.uses}
                for target, adapter, count in own.running:
                    if target in targets:
                        counts[target, adapter] -= count
        return counts
