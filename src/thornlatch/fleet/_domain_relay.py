"""The sum of what the hosts of a failure domain say."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from thornlatch.fleet._digests import HeldTarget, HostDigest
from thornlatch.fleet._domain_choice import ExchangeSettings
from thornlatch.fleet._domain_messages import (
    DomainDigest,
    DomainSpending,
    TargetUses,
    WorkSum,
    add_counts,
    unite_broken,
)
from thornlatch.fleet._newest import NewestWords


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
    digests: NewestWords[str, HostDigest] = field(default_factory=NewestWords)
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
        if not self.digests.take(host, digest, now=now):
            return
        if self.began_at is None:
            self.began_at = now
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
        return self.digests.list_fresh(now=now, silent_s=self.settings.silent_s)

    def build(self, *, is_spare: bool = False, now: float) -> DomainDigest:
        """Return the domain's digest; what was said of targets goes out once.

        Parameters
        ----------
        is_spare : bool
            Whether another host is the domain's first relay.
        now : float

        Returns
        -------
        DomainDigest
        """
        live = self.list_live(now=now)
        running: dict[str, int] = {}
        avoided: Counter[str] = Counter()
        holders: dict[str, str] = {}
        tokens: dict[str, int] = {}
        for host, digest in live.items():
            for target, _, count in digest.running:
                running[target] = running.get(target, 0) + count
            avoided.update(digest.avoided)
            for name in digest.held_names:
                token = self.tokens.get((host, name), 0)
                if token >= tokens.get(name, -1):
                    tokens[name], holders[name] = token, host
        held = tuple(entry for entry in self.held.values() if entry[0] in live)
        self.held = {}
        own = live.get(self.host)
        spending = DomainSpending(
            self.domain,
            self.host,
            now,
            tuple(live),
            dict(self.spent),
            own.levels if own is not None else {},
            is_spare,
        )
        work = WorkSum(
            running,
            add_counts(digest.prompts for digest in live.values()),
            dict(avoided),
            unite_broken(digest.broken for digest in live.values()),
            held,
            holders,
        )
        return DomainDigest(spending, work)

    def list_echoes(self, *, now: float) -> dict[str, float]:
        """Return when each host that is heard of sent the digest that is counted.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict of str to float
        """
        return {host: one.sent_at for host, one in self.list_live(now=now).items()}

    def list_uses(
        self, holders: Mapping[str, str], *, now: float
    ) -> dict[str, TargetUses]:
        """Return the use of targets by adapter, for the hosts that order them.

        Parameters
        ----------
        holders : mapping of str to str
            Target to its holder.
        now : float

        Returns
        -------
        dict of str to TargetUses
            By holder.
        """
        uses: dict[str, Counter[tuple[str, str]]] = {
            holder: Counter() for holder in holders.values()
        }
        for digest in self.list_live(now=now).values():
            for target, adapter, count in digest.running:
                if target in holders:
                    uses[holders[target]][target, adapter] += count
        return {
            holder: TargetUses(
                self.domain,
                self.host,
                now,
                self._get_echo(holder),
                tuple((target, adapter, n) for (target, adapter), n in counts.items()),
            )
            for holder, counts in uses.items()
        }

    def _get_echo(self, host: str) -> float:
        """Return when a host sent the digest of it that is counted."""
        heard = self.digests.heard.get(host)
        return heard.word.sent_at if heard is not None else 0.0

    def forget(self, known: Iterable[str]) -> None:
        """Forget hosts that aren't in the fleet any more.

        Parameters
        ----------
        known : iterable of str
        """
        kept = {*known, self.host}
        self.digests.keep(kept)
        self.totals = {host: one for host, one in self.totals.items() if host in kept}
        self.tokens = {key: one for key, one in self.tokens.items() if key[0] in kept}
