"""Which hosts are relays of a failure domain, and whose word of it counts."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

from thornlatch.fleet._domain_messages import DomainDigest
from thornlatch.fleet._newest import NewestWords


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
    orderers : int
        Hosts that order adapters where there are more hosts than partitions; the
        others save the store their renewals.
    orderers_margin : int
        Places beyond `orderers` at which a host that orders goes on doing so.
    """

    mesh_hosts: Annotated[int, Meta(ge=2)] = 16
    relays: Annotated[int, Meta(ge=1)] = 2
    period_s: Annotated[float, Meta(gt=0)] = 0.1
    silent_s: Annotated[float, Meta(gt=0)] = 0.7
    suspect_s: Annotated[float, Meta(gt=0)] = 3.0
    spare_turns: Annotated[int, Meta(ge=1)] = 3
    orderers: Annotated[int, Meta(ge=1)] = 12
    orderers_margin: Annotated[int, Meta(ge=0)] = 4


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


@dataclass
class DomainChoice:
    """Chooses, of what relays say of each domain, the word that says most.

    Parameters
    ----------
    settings : ExchangeSettings
    """

    settings: ExchangeSettings
    heard: NewestWords[tuple[str, str], DomainDigest] = field(
        default_factory=NewestWords
    )
    chosen: dict[str, str] = field(default_factory=dict)

    def take(self, digest: DomainDigest, *, now: float) -> bool:
        """Take a relay's word; return whether it is newer than the one before.

        Parameters
        ----------
        digest : DomainDigest
        now : float

        Returns
        -------
        bool
        """
        key = (digest.spending.domain, digest.spending.relay)
        return self.heard.take(key, digest, now=now)

    def choose(self, *, now: float) -> list[DomainDigest]:
        """Return the word of each domain to go by; forget the silent ones.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of DomainDigest
        """
        fresh = self.heard.list_fresh(now=now, silent_s=self.settings.silent_s)
        self.heard.keep(fresh)
        best: dict[str, DomainDigest] = {}
        for (domain, _), digest in fresh.items():
            known = best.get(domain)
            if known is None or self._rank(digest) > self._rank(known):
                best[domain] = digest
        self.chosen = {domain: one.spending.relay for domain, one in best.items()}
        return list(best.values())

    def _rank(self, digest: DomainDigest) -> tuple[int, bool, bool, str]:
        spending = digest.spending
        is_former = self.chosen.get(spending.domain) == spending.relay
        return (len(spending.live), is_former, not spending.is_spare, spending.relay)


def choose_first(
    members: dict[str, Member], domain: str | None, suspects: Iterable[str], count: int
) -> list[str]:
    """Return the hosts that can take on most for others, the first one first.

    Parameters
    ----------
    members : dict of str to Member
    domain : str or None
        None for the whole fleet.
    suspects : iterable of str
        Hosts that aren't heard of, passed over unless there are no others.
    count : int

    Returns
    -------
    list of str
    """
    candidates = [host for host, one in members.items() if domain in (None, one.domain)]
    candidates.sort(key=lambda host: (-members[host].capacity, host))
    passed_over = set(suspects)
    able = [host for host in candidates if host not in passed_over]
    return (able or candidates)[:count]
