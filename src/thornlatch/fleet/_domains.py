"""Digests of whole failure domains, for fleets too large for a full mesh.

Each host sends its digest to two relays of its failure domain. A relay adds them up,
sends the sum to the relays of the other domains, and sums of all domains to its hosts.
So a host hears of two others however large the fleet is, and any host may be a relay.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from typing import Annotated, Any

from msgspec import Meta

from thornlatch.core import register
from thornlatch.fleet._digests import HeldTarget, HostDigest


@dataclass(frozen=True)
class ExchangeSettings:
    """When and how domains exchange digests.

    Parameters
    ----------
    mesh_hosts : int
        Hosts up to which each sends its digest to all others.
    relays : int
        Relays of a domain; the others are there if the first one dies.
    period_s : float
        Seconds between two digests of a host, also of a relay.
    silent_s : float
        Seconds without a word after which a host is taken as silent.
    suspect_s : float
        Seconds for which a relay that hasn't answered isn't chosen.
    spare_turns : int
        Turns between two words of a relay that isn't the first of its domain.
    """

    mesh_hosts: Annotated[int, Meta(ge=2)] = 16
    relays: Annotated[int, Meta(ge=1)] = 2
    period_s: Annotated[float, Meta(gt=0)] = 0.1
    silent_s: Annotated[float, Meta(gt=0)] = 0.7
    suspect_s: Annotated[float, Meta(gt=0)] = 3.0
    spare_turns: Annotated[int, Meta(ge=1)] = 3


@dataclass(frozen=True)
class Member:
    """A host of the fleet.

    Parameters
    ----------
    address : str
        ``ip:port`` for other hosts.
    domain : str
        Its failure domain.
    capacity : float
        The larger, the sooner it is a relay.
    """

    address: str
    domain: str = ""
    capacity: float = 0.0


@register
@dataclass(frozen=True)
class DomainDigest:
    """The work of a failure domain's hosts, as its relay has heard of it.

    Parameters
    ----------
    domain : str
    relay : str
        Host id.
    sent_at : float
        Seconds of the relay's clock.
    live : tuple of str
        Hosts that the relay hears of, itself included.
    running : dict of str to int
        Target to requests there.
    spent : dict of str to int
        Organisation to tokens that the hosts have spent since the relay heard of them.
    levels : dict of str to int
        Organisation to tokens that the relay believes are left over all hosts.
    prompts : dict of str to int
        Target to prompt tokens sent to it lately.
    avoided : dict of str to int
        Target to hosts that it failed lately.
    broken : dict of str to tuple of str
        Fingerprints of requests to the targets that broke them off.
    held : tuple of (str, HeldTarget)
        Holder and what it says of a target, if that is new.
    held_names : dict of str to str
        Target to its holder.
    """

    domain: str
    relay: str
    sent_at: float
    live: tuple[str, ...]
    running: dict[str, int]
    spent: dict[str, int]
    levels: dict[str, int]
    prompts: dict[str, int]
    avoided: dict[str, int]
    broken: dict[str, tuple[str, ...]]
    held: tuple[tuple[str, HeldTarget], ...]
    held_names: dict[str, str]


@register
@dataclass(frozen=True)
class FleetDigest:
    """What a relay tells a host of its domain.

    Parameters
    ----------
    domains : tuple of DomainDigest
    echoed_at : float
        `sent_at` of the host's own digest that is counted in its domain's.
    """

    domains: tuple[DomainDigest, ...]
    echoed_at: float


@register
@dataclass(frozen=True)
class TargetUses:
    """Requests of a domain's hosts by adapter, for the host that orders a target.

    Parameters
    ----------
    domain, relay : str
    sent_at : float
    echoed_at : float
        As in `FleetDigest`; 0 if the holder is of another domain.
    uses : tuple of (str, str, int)
        Target, adapter and requests.
    """

    domain: str
    relay: str
    sent_at: float
    echoed_at: float
    uses: tuple[tuple[str, str, int], ...]


@dataclass
class _Heard:
    digest: HostDigest
    heard_at: float


@dataclass
class DomainRelay:
    """Adds up what the hosts of a domain say; used by one thread.

    Parameters
    ----------
    domain, host : str
        The domain and this host, its relay.
    settings : ExchangeSettings
    """

    domain: str
    host: str
    settings: ExchangeSettings
    heard: dict[str, _Heard] = field(default_factory=dict)
    totals: dict[str, dict[str, int]] = field(default_factory=dict)
    spent: Counter[str] = field(default_factory=Counter)
    held: dict[str, tuple[str, HeldTarget]] = field(default_factory=dict)
    tokens: dict[tuple[str, str], int] = field(default_factory=dict)
    began_at: float | None = None

    def take(self, host: str, digest: HostDigest, *, now: float) -> None:
        """Take a host's digest.

        Parameters
        ----------
        host : str
        digest : HostDigest
        now : float
        """
        former = self.heard.get(host)
        if former is not None and digest.sent_at <= former.digest.sent_at:
            return
        if self.began_at is None:
            self.began_at = now
        self.heard[host] = _Heard(digest, now)
        known = self.totals.get(host)
        # What a host has spent before this one was a relay is known otherwise.
        is_settling = now - self.began_at < self.settings.silent_s
        if known is not None or not is_settling:
            for organisation, total in digest.spent.items():
                self.spent[organisation] += total - (known or {}).get(organisation, 0)
        self.totals[host] = digest.spent
        for one in digest.held or ():
            self.held[one.target] = (host, one)
            self.tokens[host, one.target] = one.fencing_token

    def list_live(self, *, now: float) -> dict[str, HostDigest]:
        """Return the newest digests of the hosts that are heard of.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict of str to HostDigest
        """
        return {
            host: heard.digest
            for host, heard in self.heard.items()
            if now - heard.heard_at < self.settings.silent_s
        }

    def build(self, *, now: float) -> DomainDigest:
        """Return the domain's digest; what was said of targets goes out once.

        Parameters
        ----------
        now : float

        Returns
        -------
        DomainDigest
        """
        live = self.list_live(now=now)
        running: Counter[str] = Counter()
        prompts: Counter[str] = Counter()
        avoided: Counter[str] = Counter()
        holders: dict[str, str] = {}
        tokens: dict[str, int] = {}
        for host, digest in live.items():
            for target, _, count in digest.running:
                running[target] += count
            prompts.update(digest.prompts)
            avoided.update(digest.avoided)
            for name in digest.held_names:
                token = self.tokens.get((host, name), 0)
                if token >= tokens.get(name, -1):
                    tokens[name], holders[name] = token, host
        held = tuple(entry for entry in self.held.values() if entry[0] in live)
        self.held = {}
        own = live.get(self.host)
        return DomainDigest(
            self.domain,
            self.host,
            now,
            tuple(live),
            dict(running),
            dict(self.spent),
            own.levels if own is not None else {},
            dict(prompts),
            dict(avoided),
            unite_broken(digest.broken for digest in live.values()),
            held,
            holders,
        )

    def get_echo(self, host: str) -> float:
        """Return when a host sent the digest of it that is counted.

        Parameters
        ----------
        host : str

        Returns
        -------
        float
        """
        heard = self.heard.get(host)
        return heard.digest.sent_at if heard is not None else 0.0

    def build_uses(
        self, targets: Iterable[str], *, holder: str, now: float
    ) -> TargetUses:
        """Return the use of a holder's targets by adapter.

        Parameters
        ----------
        targets : iterable of str
        holder : str
        now : float

        Returns
        -------
        TargetUses
        """
        wanted = set(targets)
        uses: Counter[tuple[str, str]] = Counter()
        for digest in self.list_live(now=now).values():
            for target, adapter, count in digest.running:
                if target in wanted:
                    uses[target, adapter] += count
        rows = tuple((target, adapter, n) for (target, adapter), n in uses.items())
        return TargetUses(self.domain, self.host, now, self.get_echo(holder), rows)

    def forget(self, known: Iterable[str]) -> None:
        """Forget hosts that aren't in the fleet any more.

        Parameters
        ----------
        known : iterable of str
        """
        kept = {*known, self.host}
        self.heard = {host: one for host, one in self.heard.items() if host in kept}
        self.totals = {host: one for host, one in self.totals.items() if host in kept}
        self.tokens = {key: one for key, one in self.tokens.items() if key[0] in kept}


@dataclass
class DomainChoice:
    """Chooses, of the relays' digests of each domain, the one that says most.

    Parameters
    ----------
    settings : ExchangeSettings
    """

    settings: ExchangeSettings
    heard: dict[tuple[str, str], tuple[DomainDigest, float]] = field(
        default_factory=dict
    )
    chosen: dict[str, str] = field(default_factory=dict)

    def take(self, digest: DomainDigest, *, now: float) -> bool:
        """Take a digest; return whether it is newer than the one before.

        Parameters
        ----------
        digest : DomainDigest
        now : float

        Returns
        -------
        bool
        """
        key = (digest.domain, digest.relay)
        former = self.heard.get(key)
        if former is not None and digest.sent_at <= former[0].sent_at:
            return False
        self.heard[key] = (digest, now)
        return True

    def choose(self, *, now: float) -> dict[str, tuple[DomainDigest, float]]:
        """Return the digest of each domain to go by, and when it was heard.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict of str to (DomainDigest, float)
        """
        best: dict[str, tuple[DomainDigest, float]] = {}
        for key, (digest, heard_at) in list(self.heard.items()):
            if now - heard_at >= self.settings.silent_s:
                del self.heard[key]
                continue
            known = best.get(digest.domain)
            if known is None or self._rank(digest) > self._rank(known[0]):
                best[digest.domain] = (digest, heard_at)
        self.chosen = {domain: digest.relay for domain, (digest, _) in best.items()}
        return best

    def _rank(self, digest: DomainDigest) -> tuple[int, bool, str]:
        is_former = self.chosen.get(digest.domain) == digest.relay
        return (len(digest.live), is_former, digest.relay)


def unite_broken(
    parts: Iterable[dict[str, tuple[str, ...]]],
) -> dict[str, tuple[str, ...]]:
    """Return the targets that each request broke off at, over several hosts.

    Parameters
    ----------
    parts : iterable of dict of str to tuple of str
        Fingerprint to targets.

    Returns
    -------
    dict of str to tuple of str
    """
    united: dict[str, set[str]] = {}
    for part in parts:
        for fingerprint, targets in part.items():
            united.setdefault(fingerprint, set()).update(targets)
    return {fingerprint: tuple(sorted(some)) for fingerprint, some in united.items()}


def choose_relays(
    members: dict[str, Member],
    domain: str | None,
    suspects: Iterable[str],
    settings: ExchangeSettings,
) -> list[str]:
    """Return the hosts that a domain's hosts take as relays, the first one first.

    Parameters
    ----------
    members : dict of str to Member
    domain : str or None
        None for the whole fleet.
    suspects : iterable of str
        Hosts that haven't answered as relays.
    settings : ExchangeSettings

    Returns
    -------
    list of str
    """
    candidates = [host for host, one in members.items() if domain in (None, one.domain)]
    candidates.sort(key=lambda host: (-members[host].capacity, host))
    passed_over = set(suspects)
    able = [host for host in candidates if host not in passed_over]
    return (able or candidates)[: settings.relays]


class DomainExchange:
    """Says what to send to whom in each turn of a large fleet; used by one thread.

    Parameters
    ----------
    settings : ExchangeSettings
    host : str
        This host's id.
    domain : str
    capacity : float
    """

    def __init__(
        self, settings: ExchangeSettings, *, host: str, domain: str, capacity: float
    ) -> None:
        self.settings = settings
        self.host = host
        self.domain = domain
        self.capacity = capacity
        self.members: dict[str, Member] = {}
        self.relay = DomainRelay(domain, host, settings)
        self.choice = DomainChoice(settings)
        self.pending: dict[str, dict[str, tuple[str, HeldTarget]]] = {}
        # Since when a relay owes an answer, and until when it isn't chosen.
        self.owing: dict[str, float] = {}
        self.suspects: dict[str, float] = {}
        self.turns = 0

    def set_members(self, others: dict[str, Member]) -> None:
        """Set the other hosts.

        Parameters
        ----------
        others : dict of str to Member
        """
        own = Member("", self.domain, self.capacity)
        self.members = {**others, self.host: own}
        self.relay.forget(self.members)
        self.owing = {h: at for h, at in self.owing.items() if h in self.members}
        self.suspects = {h: at for h, at in self.suspects.items() if h in self.members}

    @property
    def is_large(self) -> bool:
        """Whether the fleet is too large for a full mesh."""
        return len(self.members) > self.settings.mesh_hosts

    def get_relays(self, domain: str, *, now: float) -> list[str]:
        """Return the relays of a domain, the first one first.

        Parameters
        ----------
        domain : str
        now : float

        Returns
        -------
        list of str
        """
        # Other threads ask, too, while the one that owns this changes it.
        suspects = [h for h, until in list(self.suspects.items()) if now < until]
        return choose_relays(self.members, domain, suspects, self.settings)

    def take(self, sender: str, message: Any, *, now: float) -> bool:
        """Take a message of another host; return whether it was meant for a relay.

        Parameters
        ----------
        sender : str
        message : object
        now : float

        Returns
        -------
        bool
        """
        self.owing.pop(sender, None)
        self.suspects.pop(sender, None)
        if isinstance(message, HostDigest):
            self.relay.take(sender, message, now=now)
            return True
        if isinstance(message, DomainDigest):
            if message.domain != self.domain and self.choice.take(message, now=now):
                pending = self.pending.setdefault(message.domain, {})
                pending.update({held.target: (h, held) for h, held in message.held})
            return True
        return False

    def run_turn(
        self, digest: HostDigest, *, now: float
    ) -> tuple[list[tuple[str, Any]], list[Any]]:
        """Return the messages of a turn: to others, and to this host itself.

        Parameters
        ----------
        digest : HostDigest
            This host's own.
        now : float

        Returns
        -------
        (list of (str, object), list of object)
        """
        self.turns += 1
        self._note_owing(now)
        outgoing: list[tuple[str, Any]] = []
        relays = self.get_relays(self.domain, now=now)
        for relay in relays:
            if relay != self.host:
                outgoing.append((relay, digest))
                self.owing.setdefault(relay, now)
        served = [host for host in self.relay.list_live(now=now) if host != self.host]
        if self.host not in relays and not served:
            return outgoing, []
        self.relay.take(self.host, digest, now=now)
        is_spare = bool(relays) and relays[0] != self.host
        if is_spare and self.turns % self.settings.spare_turns:
            return outgoing, []
        to_others, to_self = self._relay(digest, served, now)
        return outgoing + to_others, to_self

    def _note_owing(self, now: float) -> None:
        for host, since in list(self.owing.items()):
            if now - since >= self.settings.silent_s:
                del self.owing[host]
                self.suspects[host] = now + self.settings.suspect_s

    def _relay(
        self, digest: HostDigest, served: Sequence[str], now: float
    ) -> tuple[list[tuple[str, Any]], list[Any]]:
        own = self.relay.build(now=now)
        outgoing: list[tuple[str, Any]] = []
        others = {one.domain for one in self.members.values()} - {self.domain}
        for domain in sorted(others):
            for relay in self.get_relays(domain, now=now):
                outgoing.append((relay, own))
                self.owing.setdefault(relay, now)
        known = [one for one, _ in self.choice.choose(now=now).values()]
        domains = (own, *(self._add_pending(one) for one in known))
        self.pending = {}
        for host in served:
            echo = self.relay.get_echo(host)
            outgoing.append((host, FleetDigest(domains, echo)))
        to_self: list[Any] = [FleetDigest(domains, digest.sent_at)]
        by_holder: dict[str, list[str]] = {}
        for one in domains:
            for target, holder in one.held_names.items():
                by_holder.setdefault(holder, []).append(target)
        for holder, targets in by_holder.items():
            uses = self.relay.build_uses(targets, holder=holder, now=now)
            if holder == self.host:
                to_self.append(uses)
            elif holder in self.members:
                outgoing.append((holder, uses))
        return outgoing, to_self

    def _add_pending(self, digest: DomainDigest) -> DomainDigest:
        held = tuple(self.pending.get(digest.domain, {}).values())
        return replace(digest, held=held)
